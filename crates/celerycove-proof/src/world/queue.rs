//! The sidecar's queue before an engine that turns cold unannounced and falls over under load.

use std::{collections::BTreeMap, time::Duration};

use celerycove_queue::{
    Action, Event, Gate, Job, Options, Queue, Refusal,
    ramp::{self, Sample},
};
use celerycove_types::{Timestamp, Violation, id};
use rand::RngExt;

use crate::net::Net;

const CAPACITY: u32 = 12;
const COLD: u32 = 3;
const TICK: Duration = Duration::from_millis(25);
const HOLD: Duration = Duration::from_secs(2);
const ORGANISATIONS: usize = 3;
/// How long the run may take to serve again once all faults are over.
const RECOVERY: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
enum Input {
    Tick,
    Ended(id::Request, Sample),
    Again(Job),
}

struct World {
    net: Net<Input>,
    queue: Queue,
    cold_until: Timestamp,
    /// Whether the sidecar was told of the latest restart.
    told: bool,
    running: BTreeMap<id::Request, Job>,
    started: BTreeMap<id::Request, u32>,
    waiting: BTreeMap<id::Request, Job>,
    jobs: BTreeMap<id::Request, Job>,
    released: Vec<(id::Program, Timestamp)>,
    count: u64,
    served: u64,
    faults: bool,
}

/// Runs from a seed.
///
/// # Errors
///
/// Returns the first broken invariant.
pub fn run(seed: u64, steps: usize, step: &mut usize) -> Result<u64, Violation> {
    let mut world = World::new(seed);
    for at in 0..steps {
        *step = at;
        world.step()?;
    }
    world.recover()?;
    Ok(world.served)
}

impl World {
    fn new(seed: u64) -> Self {
        let mut net = Net::new(seed, 1);
        net.after(TICK, 0, Input::Tick);
        let options = Options {
            ramp: ramp::Options {
                capacity: CAPACITY,
                ..ramp::Options::default()
            },
            max_queued: 40,
            hold_lease: HOLD,
            ..Options::default()
        };
        let mut queue = Queue::new(options, net.clock(0));
        queue.step(net.clock(0), Event::Gate(Gate::Open));
        Self {
            net,
            queue,
            cold_until: Timestamp::ZERO,
            told: true,
            running: BTreeMap::new(),
            started: BTreeMap::new(),
            waiting: BTreeMap::new(),
            jobs: BTreeMap::new(),
            released: Vec::new(),
            count: 0,
            served: 0,
            faults: true,
        }
    }

    fn step(&mut self) -> Result<(), Violation> {
        let Some((_, input)) = self.net.pop() else {
            return Ok(());
        };
        match input {
            Input::Tick => {
                self.net.after(TICK, 0, Input::Tick);
                if self.faults {
                    self.disturb()?;
                }
                self.arrive()?;
                self.event(Event::Tick)?;
            }
            Input::Ended(id, sample) => {
                let ran = self.running.remove(&id).is_some();
                let sample = ran.then_some(sample);
                if matches!(sample, Some(Sample::Served { .. })) {
                    self.served += 1;
                }
                self.event(Event::Finish { id, sample })?;
            }
            Input::Again(job) => self.event(Event::Arrive(job))?,
        }
        self.check()
    }

    fn disturb(&mut self) -> Result<(), Violation> {
        if self.net.chance(0.01) {
            // Turns cold; the mark reaches the sidecar later.
            self.cold_until = self.net.now() + Duration::from_millis(1500);
            self.told = false;
        }
        if !self.told && self.net.chance(0.3) {
            self.told = true;
            self.event(Event::Restarted)?;
        }
        if self.net.chance(0.03) {
            let gates = [Gate::Open, Gate::Drained, Gate::Stale, Gate::Open];
            let gate = gates[self.net.below(gates.len())];
            self.event(Event::Gate(gate))?;
        }
        if self.net.chance(0.05)
            && let Some(id) = self.waiting.keys().next().cloned()
        {
            self.waiting.remove(&id);
            self.event(Event::Cancel(id))?;
        }
        if self.net.chance(0.1) {
            let program: id::Program = format!("p{}", self.net.below(8)).into();
            if self.net.chance(0.5) {
                self.event(Event::Renew(vec![program]))?;
            } else {
                self.released.push((program.clone(), self.net.clock(0)));
                self.event(Event::Release(program))?;
            }
        }
        Ok(())
    }

    fn arrive(&mut self) -> Result<(), Violation> {
        let arrivals = self.net.below(4);
        for _ in 0..arrivals {
            self.count += 1;
            let organisation = self.net.below(ORGANISATIONS);
            let program = self.net.below(8);
            let deadline = self
                .net
                .chance(0.3)
                .then(|| self.net.clock(0) + Duration::from_millis(800));
            let job = Job {
                id: format!("j{}", self.count).into(),
                organisation: format!("o{organisation}").into(),
                weight: 1 + u32::try_from(organisation).unwrap_or(0),
                program: Some(format!("p{program}").into()),
                attained_tokens: self.net.rng.random_range(0..5000),
                cost: self.net.rng.random_range(5.0..50.0),
                deadline,
                at_most_once: self.net.chance(0.5),
            };
            if self.net.chance(0.05) {
                // The same dispatch comes a second time, late.
                let late = Duration::from_millis(self.net.rng.random_range(0..2000));
                self.net.after(late, 0, Input::Again(job.clone()));
            }
            self.waiting.insert(job.id.clone(), job.clone());
            self.jobs.insert(job.id.clone(), job.clone());
            self.event(Event::Arrive(job))?;
        }
        Ok(())
    }

    fn event(&mut self, event: Event) -> Result<(), Violation> {
        let now = self.net.clock(0);
        for action in self.queue.step(now, event) {
            match action {
                Action::Start(id) => self.start(id)?,
                Action::Refuse(id, refusal) => {
                    let gone = self.waiting.remove(&id).is_some();
                    let again = refusal == Refusal::Duplicate;
                    let ran = self.running.contains_key(&id) && !again;
                    Violation::unless(gone || !ran, "refused-did-not-run", || {
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
            || format!("{id} behind {:?}", self.queue.gate()),
        )?;
        let starts = self.started.entry(id.clone()).or_default();
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
        let bears = if cold { COLD } else { CAPACITY };
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX) + 1;
        let sample = if running > bears * 2 {
            Sample::Failed
        } else {
            let slow = if cold { 3.0 } else { 1.0 };
            let crowded = (f64::from(running) / f64::from(bears)).max(1.0);
            let took = Duration::from_secs_f64(job.cost * 0.002 * slow * crowded);
            Sample::Served {
                took,
                cost: job.cost,
            }
        };
        let took = match sample {
            Sample::Served { took, .. } => took,
            Sample::Failed => Duration::from_millis(5),
        };
        self.running.insert(id.clone(), job);
        self.net.after(took, 0, Input::Ended(id, sample));
        Ok(())
    }

    fn check(&self) -> Result<(), Violation> {
        let load = self.queue.load();
        Violation::unless(load.running <= CAPACITY, "within-capacity", || {
            format!("{} run", load.running)
        })?;
        let overdue = HOLD + TICK * 4;
        let now = self.net.clock(0);
        let stale = now
            .checked_sub(overdue)
            .and_then(|before| self.queue.overdue(before).next().cloned());
        Violation::unless(stale.is_none(), "holds-end", || {
            format!("{stale:?} is held too long")
        })
    }

    /// Ends all faults and expects the whole capacity to be used again.
    fn recover(&mut self) -> Result<(), Violation> {
        self.faults = false;
        self.event(Event::Gate(Gate::Open))?;
        let before = self.served;
        let deadline = self.net.now() + RECOVERY;
        while self.net.now() < deadline {
            self.step()?;
            if self.served > before + 100 && self.queue.ramp().is_warm() {
                return Ok(());
            }
        }
        Violation::unless(false, "serves-again", || {
            format!("{before} then {}, {:?}", self.served, self.queue.ramp())
        })
    }
}
