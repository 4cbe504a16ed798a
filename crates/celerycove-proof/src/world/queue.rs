//! The sidecar's queue before an engine that turns cold without notice and fails requests under
//! overload.

use std::{collections::BTreeMap, time::Duration};

use celerycove_queue::{
    Action, Event, Gate, Job, Options, Queue, Refusal,
    ramp::{self, Sample},
};
use celerycove_types::{Timestamp, Violation, id};
use rand::RngExt;

use crate::net::Network;

/// Requests that the engine can run at once.
const CAPACITY: u32 = 12;
/// Requests that the engine can run at once while its cache is cold.
const COLD_CAPACITY: u32 = 3;
const TICK_INTERVAL: Duration = Duration::from_millis(25);
const HOLD_DURATION: Duration = Duration::from_secs(2);
const ORGANISATIONS: usize = 3;
/// Time within which the full capacity must be used again after all faults have stopped.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
enum Input {
    Tick,
    /// The engine has ended a request.
    Ended(id::Request, Sample),
    /// A dispatch that arrives a second time.
    Duplicate(Job),
}

struct Simulation {
    net: Network<Input>,
    queue: Queue,
    cold_until: Timestamp,
    /// Whether the sidecar was notified of the latest engine restart.
    restart_reported: bool,
    running: BTreeMap<id::Request, Job>,
    /// How often each request was started.
    start_counts: BTreeMap<id::Request, u32>,
    /// Requests that were submitted and not yet started, refused or cancelled.
    waiting: BTreeMap<id::Request, Job>,
    jobs: BTreeMap<id::Request, Job>,
    /// Programs whose holds were released, and when.
    released: Vec<(id::Program, Timestamp)>,
    job_count: u64,
    served: u64,
    faults_enabled: bool,
}

/// Runs `steps` steps with faults, then stops the faults and checks that progress resumes. `step`
/// is set to the step that runs. Returns the number of requests served.
///
/// # Errors
///
/// Returns the first invariant violation.
pub fn run(seed: u64, steps: usize, step: &mut usize) -> Result<u64, Violation> {
    let mut simulation = Simulation::new(seed);
    for current in 0..steps {
        *step = current;
        simulation.step()?;
    }
    simulation.check_recovery()?;
    Ok(simulation.served)
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut net = Network::new(seed, 1);
        net.schedule(TICK_INTERVAL, 0, Input::Tick);
        let options = Options {
            ramp: ramp::Options {
                capacity: CAPACITY,
                ..ramp::Options::default()
            },
            max_queued: 40,
            hold_lease: HOLD_DURATION,
            ..Options::default()
        };
        let mut queue = Queue::new(options, net.clock(0));
        queue.step(net.clock(0), Event::Gate(Gate::Open));
        Self {
            net,
            queue,
            cold_until: Timestamp::ZERO,
            restart_reported: true,
            running: BTreeMap::new(),
            start_counts: BTreeMap::new(),
            waiting: BTreeMap::new(),
            jobs: BTreeMap::new(),
            released: Vec::new(),
            job_count: 0,
            served: 0,
            faults_enabled: true,
        }
    }

    fn step(&mut self) -> Result<(), Violation> {
        let Some((_, input)) = self.net.next_event() else {
            return Ok(());
        };
        match input {
            Input::Tick => {
                self.net.schedule(TICK_INTERVAL, 0, Input::Tick);
                if self.faults_enabled {
                    self.inject_faults()?;
                }
                self.submit_jobs()?;
                self.step_queue(Event::Tick)?;
            }
            Input::Ended(id, sample) => {
                let ran = self.running.remove(&id).is_some();
                let sample = ran.then_some(sample);
                if matches!(sample, Some(Sample::Served { .. })) {
                    self.served += 1;
                }
                self.step_queue(Event::Finish { id, sample })?;
            }
            Input::Duplicate(job) => self.step_queue(Event::Arrive(job))?,
        }
        self.check()
    }

    fn inject_faults(&mut self) -> Result<(), Violation> {
        if self.net.chance(0.01) {
            // The engine restarts with a cold cache; the sidecar is notified later.
            self.cold_until = self.net.now() + Duration::from_millis(1500);
            self.restart_reported = false;
        }
        if !self.restart_reported && self.net.chance(0.3) {
            self.restart_reported = true;
            self.step_queue(Event::Restarted)?;
        }
        if self.net.chance(0.03) {
            let gates = [Gate::Open, Gate::Drained, Gate::Stale, Gate::Open];
            let gate = gates[self.net.random_below(gates.len())];
            self.step_queue(Event::Gate(gate))?;
        }
        if self.net.chance(0.05)
            && let Some(id) = self.waiting.keys().next().cloned()
        {
            self.waiting.remove(&id);
            self.step_queue(Event::Cancel(id))?;
        }
        if self.net.chance(0.1) {
            let program: id::Program = format!("p{}", self.net.random_below(8)).into();
            if self.net.chance(0.5) {
                self.step_queue(Event::Renew(vec![program]))?;
            } else {
                self.released.push((program.clone(), self.net.clock(0)));
                self.step_queue(Event::Release(program))?;
            }
        }
        Ok(())
    }

    fn submit_jobs(&mut self) -> Result<(), Violation> {
        let arrivals = self.net.random_below(4);
        for _ in 0..arrivals {
            self.job_count += 1;
            let organisation = self.net.random_below(ORGANISATIONS);
            let program = self.net.random_below(8);
            let deadline = self
                .net
                .chance(0.3)
                .then(|| self.net.clock(0) + Duration::from_millis(800));
            let job = Job {
                id: format!("j{}", self.job_count).into(),
                organisation: format!("o{organisation}").into(),
                weight: 1 + u32::try_from(organisation).unwrap_or(0),
                program: Some(format!("p{program}").into()),
                attained_tokens: self.net.rng.random_range(0..5000),
                cost: self.net.rng.random_range(5.0..50.0),
                deadline,
                at_most_once: self.net.chance(0.5),
            };
            if self.net.chance(0.05) {
                // The same dispatch arrives a second time, after a delay.
                let delay = Duration::from_millis(self.net.rng.random_range(0..2000));
                self.net.schedule(delay, 0, Input::Duplicate(job.clone()));
            }
            self.waiting.insert(job.id.clone(), job.clone());
            self.jobs.insert(job.id.clone(), job.clone());
            self.step_queue(Event::Arrive(job))?;
        }
        Ok(())
    }

    fn step_queue(&mut self, event: Event) -> Result<(), Violation> {
        let now = self.net.clock(0);
        for action in self.queue.step(now, event) {
            match action {
                Action::Start(id) => self.start(id)?,
                Action::Refuse(id, refusal) => {
                    let was_waiting = self.waiting.remove(&id).is_some();
                    let duplicate = refusal == Refusal::Duplicate;
                    let ran = self.running.contains_key(&id) && !duplicate;
                    Violation::unless(was_waiting || !ran, "refused-did-not-run", || {
                        format!("{id}: {refusal}")
                    })?;
                }
                Action::Abort(_) | Action::Evict(_) => {}
            }
        }
        self.queue.check()
    }

    fn start(&mut self, id: id::Request) -> Result<(), Violation> {
        Violation::unless(
            self.queue.gate() == Gate::Open,
            "closed-starts-nothing",
            || format!("{id} started while the gate is {:?}", self.queue.gate()),
        )?;
        let starts = self.start_counts.entry(id.clone()).or_default();
        *starts += 1;
        let starts = *starts;
        self.waiting.remove(&id);
        let Some(job) = self.jobs.get(&id).cloned() else {
            return Ok(());
        };
        Violation::unless(starts == 1 || !job.at_most_once, "dispatched-once", || {
            format!("{id} started {starts} times")
        })?;
        let cold = self.net.now() < self.cold_until;
        let capacity = if cold { COLD_CAPACITY } else { CAPACITY };
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX) + 1;
        let sample = if running > capacity * 2 {
            Sample::Failed
        } else {
            let slowdown = if cold { 3.0 } else { 1.0 };
            let overload = (f64::from(running) / f64::from(capacity)).max(1.0);
            let duration = Duration::from_secs_f64(job.cost * 0.002 * slowdown * overload);
            Sample::Served {
                took: duration,
                cost: job.cost,
            }
        };
        let duration = match sample {
            Sample::Served { took, .. } => took,
            Sample::Failed => Duration::from_millis(5),
        };
        self.running.insert(id.clone(), job);
        self.net.schedule(duration, 0, Input::Ended(id, sample));
        Ok(())
    }

    fn check(&self) -> Result<(), Violation> {
        let load = self.queue.load();
        Violation::unless(load.running <= CAPACITY, "within-capacity", || {
            format!("{} requests are running", load.running)
        })?;
        let tolerance = HOLD_DURATION + TICK_INTERVAL * 4;
        let now = self.net.clock(0);
        let expired = now
            .checked_sub(tolerance)
            .and_then(|before| self.queue.overdue(before).next().cloned());
        Violation::unless(expired.is_none(), "holds-end", || {
            format!("{expired:?} is held for too long")
        })
    }

    /// Stops all faults and checks that the full capacity is used again.
    fn check_recovery(&mut self) -> Result<(), Violation> {
        self.faults_enabled = false;
        self.step_queue(Event::Gate(Gate::Open))?;
        let before = self.served;
        let deadline = self.net.now() + RECOVERY_TIMEOUT;
        while self.net.now() < deadline {
            self.step()?;
            if self.served > before + 100 && self.queue.ramp().is_warm() {
                return Ok(());
            }
        }
        Violation::unless(false, "serves-again", || {
            format!(
                "requests served: {before} before the faults stopped, {} after; {:?}",
                self.served,
                self.queue.ramp()
            )
        })
    }
}
