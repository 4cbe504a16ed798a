//! Replays a trace as a discrete-event simulation in virtual time.

mod admit;
mod pools;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

use celerycove_limit::{Owner, owner::LeaseId};
use celerycove_queue::{
    Action, Event as QueueEvent, Gate, Job, Options as QueueOptions, Queue, ramp,
};
use celerycove_route::{Options as RouteOptions, Pool, Report, Request, Stats, select};
use celerycove_types::{Timestamp, id};
use rand::{SeedableRng, rngs::StdRng};

use crate::{
    engine::{Engine, Run},
    measure::{FinishedProgram, Outcome, summarise},
    policy::{Candidate, Policy},
    trace::{Fault, Kind, Trace},
};

/// Number of entries: proxies that receive calls and route them, each by its own load statistics.
const ENTRIES: usize = 3;
/// Interval between the ticks of all queues.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a call that no engine accepts is routed again.
const REROUTE_DELAY: Duration = Duration::from_millis(50);
/// Shortest time that a caller waits after a refusal by the rate limit.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Engine crashes that a program survives; it fails at the next one.
const MAX_CRASHES: u32 = 5;
/// Tokens that a call is assumed to generate when it is routed; the true number is known only at
/// its end.
const EXPECTED_TOKENS: u64 = 150;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A program sends its next call.
    Receive(usize),
    /// A call that passed the rate limit and that no engine accepted is routed again.
    Reroute(usize),
    /// A dispatch ends.
    Complete(u64),
    /// All queues tick.
    Tick,
    /// The fault with this index in the trace happens.
    Fault(usize),
}

/// One attempt to run a call, waiting or running at an engine.
struct Dispatch {
    program: usize,
    engine: usize,
    entry: usize,
    /// Expected cost, in units of the time to generate one token.
    cost: f64,
    started: Option<Timestamp>,
    /// History tokens prefilled again because they were not cached.
    wasted_tokens: u64,
}

/// Progress of a program.
struct Progress {
    next_call: usize,
    history_tokens: u64,
    last_engine: Option<usize>,
    /// Engine crashes that interrupted its calls.
    crashes: u32,
}

/// State of a running replay.
struct Replay<'t> {
    trace: &'t Trace,
    policy: Policy,
    engines: Vec<Engine>,
    /// Whether each engine is drained.
    drained: Vec<bool>,
    /// Waiting dispatches of each engine with a baseline policy.
    fifos: Vec<VecDeque<u64>>,
    /// Queues of each engine with the `Celerycove` policy.
    queues: Vec<Queue>,
    /// Engines that each entry may route to.
    pools: Vec<Pool>,
    /// Progress of each program.
    progress: Vec<Progress>,
    /// Waiting and running dispatches by number.
    dispatches: BTreeMap<u64, Dispatch>,
    /// Scheduled events by time and sequence.
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    /// Counter that orders simultaneous events and numbers dispatches.
    sequence: u64,
    now: Timestamp,
    rng: StdRng,
    finished: Vec<FinishedProgram>,
    /// Programs that have neither finished nor failed.
    unfinished: usize,
    /// Programs that failed.
    failed: u64,
    wasted_tokens: u64,
    /// Attempts to route a call, except those after a failed dispatch.
    calls: u32,
    /// Dispatches that failed or were refused.
    retries: u32,
    rate_limiter: Owner,
    /// Latest lease of each organisation; its token is spent at once.
    spent_leases: BTreeMap<String, LeaseId>,
    /// Calls refused by the rate limit, without those of `org-0`.
    refused_others: u64,
}

/// Replays a trace with a policy.
#[must_use]
pub fn replay(trace: &Trace, policy: Policy, seed: u64) -> Outcome {
    let mut replay = Replay::new(trace, policy, seed);
    while replay.unfinished > 0
        && let Some(Reverse((at, _, event))) = replay.events.pop()
    {
        replay.now = at;
        replay.handle(event);
    }
    let crashes = replay.engines.iter().map(|engine| engine.crashes).sum();
    let retries_per_call = f64::from(replay.retries) / f64::from(replay.calls.max(1));
    let policy_name = format!("{policy:?}");
    summarise(
        policy_name,
        &replay.finished,
        replay.failed,
        replay.wasted_tokens,
        crashes,
        retries_per_call,
        replay.refused_others,
    )
}

fn backend_id(engine: usize) -> id::Backend {
    format!("e{engine}").into()
}

fn request_id(dispatch: u64) -> id::Request {
    format!("d{dispatch}").into()
}

/// Parses the number in an id made by [`backend_id`] or [`request_id`].
fn parse_number(id: &str) -> Option<u64> {
    id[1..].parse().ok()
}

impl<'t> Replay<'t> {
    fn new(trace: &'t Trace, policy: Policy, seed: u64) -> Self {
        let engines: Vec<Engine> = trace.engines.iter().cloned().map(Engine::new).collect();
        let mut queues: Vec<Queue> = trace
            .engines
            .iter()
            .map(|engine| {
                let options = QueueOptions {
                    ramp: ramp::Options {
                        capacity: engine.capacity,
                        ..ramp::Options::default()
                    },
                    max_queued: 4096,
                    ..QueueOptions::default()
                };
                Queue::new(options, Timestamp::ZERO)
            })
            .collect();
        for queue in &mut queues {
            queue.step(Timestamp::ZERO, QueueEvent::Gate(Gate::Open));
        }
        let mut replay = Self {
            policy,
            drained: vec![false; engines.len()],
            fifos: engines.iter().map(|_| VecDeque::new()).collect(),
            queues,
            pools: Vec::new(),
            progress: trace.programs.iter().map(|_| initial_progress()).collect(),
            dispatches: BTreeMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: Timestamp::ZERO,
            rng: StdRng::seed_from_u64(seed),
            finished: Vec::new(),
            unfinished: trace.programs.len(),
            failed: 0,
            wasted_tokens: 0,
            calls: 0,
            retries: 0,
            rate_limiter: Owner::new(1, Timestamp::ZERO, true),
            spent_leases: BTreeMap::new(),
            refused_others: 0,
            engines,
            trace,
        };
        replay.build_pools();
        replay.schedule(TICK_INTERVAL, Event::Tick);
        for (index, program) in trace.programs.iter().enumerate() {
            replay.schedule(Duration::from_millis(program.at_ms), Event::Receive(index));
        }
        for (index, fault) in trace.faults.iter().enumerate() {
            replay.schedule(Duration::from_millis(fault.at_ms), Event::Fault(index));
        }
        replay
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Receive(program) => self.receive_call(program),
            Event::Reroute(program) => self.dispatch_call(program, Vec::new()),
            Event::Complete(dispatch) => self.complete(dispatch),
            Event::Tick => {
                for engine in 0..self.queues.len() {
                    self.step_queue(engine, QueueEvent::Tick);
                }
                self.schedule(TICK_INTERVAL, Event::Tick);
            }
            Event::Fault(index) => {
                let fault = self.trace.faults[index].clone();
                self.apply_fault(&fault);
            }
        }
    }

    fn apply_fault(&mut self, fault: &Fault) {
        let now = self.now;
        match fault.kind {
            Kind::Cold(engine) => self.engines[engine].turn_cold(now),
            Kind::Drain(data_centre) => self.set_drained(data_centre, true),
            Kind::Restore(data_centre) => {
                for engine in self
                    .engines
                    .iter_mut()
                    .filter(|engine| engine.spec.data_centre == data_centre)
                {
                    engine.turn_cold(now);
                }
                self.set_drained(data_centre, false);
            }
        }
    }

    /// Drains or restores all engines of a data centre.
    fn set_drained(&mut self, data_centre: usize, drained: bool) {
        for engine in 0..self.engines.len() {
            if self.engines[engine].spec.data_centre != data_centre {
                continue;
            }
            self.drained[engine] = drained;
            let gate = if drained { Gate::Drained } else { Gate::Open };
            if !drained {
                self.step_queue(engine, QueueEvent::Restarted);
            }
            self.step_queue(engine, QueueEvent::Gate(gate));
            // Baselines route waiting requests again as well, so that the comparison shows only the
            // choice of engine.
            for dispatch in std::mem::take(&mut self.fifos[engine]) {
                self.retry(dispatch);
            }
        }
        self.build_pools();
    }

    /// Routes a program's next call to an engine, or schedules another attempt if there is none.
    /// Only the `Celerycove` policy heeds `avoid`, the engines where an earlier dispatch failed.
    fn dispatch_call(&mut self, program: usize, excluded: Vec<id::Backend>) {
        self.calls += u32::from(excluded.is_empty());
        let entry = program % ENTRIES;
        let Some((engine, cost)) = self.choose_engine(program, entry, excluded) else {
            self.schedule(REROUTE_DELAY, Event::Reroute(program));
            return;
        };
        self.sequence += 1;
        let dispatch = self.sequence;
        self.dispatches.insert(
            dispatch,
            Dispatch {
                program,
                engine,
                entry,
                cost,
                started: None,
                wasted_tokens: 0,
            },
        );
        if self.policy == Policy::Celerycove {
            self.update_stats(entry, engine, |stats| stats.record_dispatch(cost));
            let job = self.job(program, dispatch, cost);
            self.step_queue(engine, QueueEvent::Arrive(job));
        } else {
            self.fifos[engine].push_back(dispatch);
            self.start_waiting(engine);
        }
    }

    /// Describes a dispatch to the queue of its engine.
    fn job(&self, program: usize, dispatch: u64, cost: f64) -> Job {
        Job {
            id: request_id(dispatch),
            organisation: self.trace.programs[program].organisation.as_str().into(),
            weight: 1,
            program: Some(format!("p{program}").into()),
            attained_tokens: self.progress[program].history_tokens,
            cost,
            deadline: None,
            at_most_once: false,
        }
    }

    /// Chooses an engine for a program's next call and returns it with the cost of the call.
    fn choose_engine(
        &mut self,
        program: usize,
        entry: usize,
        excluded: Vec<id::Backend>,
    ) -> Option<(usize, f64)> {
        let progress = &self.progress[program];
        let call = &self.trace.programs[program].calls[progress.next_call];
        if self.policy != Policy::Celerycove {
            let candidates: Vec<Candidate<'_>> = (0..self.engines.len())
                .filter(|engine| !self.drained[*engine])
                .map(|engine| Candidate {
                    index: engine,
                    engine: &self.engines[engine],
                    in_flight: self.fifos[engine].len() + self.engines[engine].running.len(),
                })
                .collect();
            let sequence = usize::try_from(self.sequence).unwrap_or(0);
            let engine = self
                .policy
                .choose(&candidates, program, sequence, &mut self.rng)?;
            return Some((engine, 1.0));
        }
        let request = Request {
            prompt_tokens: progress.history_tokens + call.prompt,
            cached_tokens: progress.history_tokens,
            output_tokens: EXPECTED_TOKENS,
            last_backend: progress.last_engine.map(backend_id),
            excluded,
        };
        // The ratio of prefill to generation time is that of the engines in generated traces.
        let options = RouteOptions {
            prefill_cost: 250.0 / 12_000.0,
            default_unit_time: Duration::from_millis(12),
            ..RouteOptions::default()
        };
        let choice = select(
            self.now,
            &self.pools[entry],
            &request,
            &options,
            &mut self.rng,
        )?;
        let engine = usize::try_from(parse_number(&choice.member.backend)?).ok()?;
        Some((engine, choice.cost))
    }

    /// Updates what an entry knows of the load of an engine.
    fn update_stats(&self, entry: usize, engine: usize, update: impl FnOnce(&Stats)) {
        if let Some(member) = self.pools[entry].find(&backend_id(engine)) {
            update(&member.stats);
        }
    }

    /// Feeds an event to the queue of an engine and carries out the actions it returns.
    fn step_queue(&mut self, engine: usize, event: QueueEvent) {
        for action in self.queues[engine].step(self.now, event) {
            match action {
                Action::Start(id) => {
                    if let Some(dispatch) = parse_number(&id) {
                        self.start(dispatch);
                    }
                }
                Action::Refuse(id, _) => {
                    if let Some(dispatch) = parse_number(&id) {
                        self.retry(dispatch);
                    }
                }
                Action::Abort(_) | Action::Evict(_) => {}
            }
        }
    }

    /// Starts waiting dispatches of a baseline policy while the engine has capacity.
    fn start_waiting(&mut self, engine: usize) {
        let capacity = usize::try_from(self.engines[engine].spec.capacity).unwrap_or(usize::MAX);
        while self.engines[engine].running.len() < capacity
            && let Some(dispatch) = self.fifos[engine].pop_front()
        {
            self.start(dispatch);
        }
    }

    /// Starts a dispatch at its engine.
    fn start(&mut self, dispatch: u64) {
        let Some(started) = self.dispatches.get_mut(&dispatch) else {
            return;
        };
        let (program, engine) = (started.program, started.engine);
        started.started = Some(self.now);
        let progress = &self.progress[program];
        let call = &self.trace.programs[program].calls[progress.next_call];
        let run =
            self.engines[engine].begin(self.now, dispatch, program, progress.history_tokens, call);
        match run {
            Run::Completed(took, wasted_tokens) => {
                if let Some(running) = self.dispatches.get_mut(&dispatch) {
                    running.wasted_tokens = wasted_tokens;
                }
                self.schedule(took, Event::Complete(dispatch));
            }
            Run::Crash => self.fail_running(engine),
        }
    }

    /// Fails all running dispatches of an engine that crashed.
    fn fail_running(&mut self, engine: usize) {
        for dispatch in std::mem::take(&mut self.engines[engine].running).into_keys() {
            let sample = Some(ramp::Sample::Failed);
            let id = request_id(dispatch);
            self.step_queue(engine, QueueEvent::Finish { id, sample });
            if let Some(failed) = self.dispatches.get(&dispatch) {
                self.progress[failed.program].crashes += 1;
                let (entry, now) = (failed.entry, self.now);
                self.update_stats(entry, engine, |stats| stats.record_failure(now));
            }
            self.retry(dispatch);
        }
    }

    /// Routes the call of a failed or refused dispatch again, avoiding its engine; fails the program
    /// after too many crashes.
    fn retry(&mut self, dispatch: u64) {
        let Some(failed) = self.dispatches.remove(&dispatch) else {
            return;
        };
        self.update_stats(failed.entry, failed.engine, |stats| {
            stats.record_completion(failed.cost);
        });
        self.retries += 1;
        if self.progress[failed.program].crashes > MAX_CRASHES {
            self.failed += 1;
            self.unfinished -= 1;
            return;
        }
        self.dispatch_call(failed.program, vec![backend_id(failed.engine)]);
    }

    /// Ends a dispatch, unless its engine crashed meanwhile.
    fn complete(&mut self, dispatch: u64) {
        let engine = self.dispatches.get(&dispatch).map(|running| running.engine);
        let Some(engine) =
            engine.filter(|engine| self.engines[*engine].running.remove(&dispatch).is_some())
        else {
            return;
        };
        let Some(completed) = self.dispatches.remove(&dispatch) else {
            return;
        };
        let took = self
            .now
            .saturating_sub(completed.started.unwrap_or(self.now));
        let now = self.now;
        if self.policy == Policy::Celerycove {
            let sample = Some(ramp::Sample::Served {
                took,
                cost: completed.cost,
            });
            let id = request_id(dispatch);
            self.step_queue(engine, QueueEvent::Finish { id, sample });
            let load = self.queues[engine].load();
            self.update_stats(completed.entry, engine, |stats| {
                stats.record_completion(completed.cost);
                stats.record_service_time(took, completed.cost);
                stats.record_report(
                    now,
                    Report {
                        cost: load.cost,
                        running: load.running,
                        limit: load.limit,
                    },
                );
            });
        } else {
            self.start_waiting(engine);
        }
        self.wasted_tokens += completed.wasted_tokens;
        self.advance(completed.program, engine);
    }

    /// Adds a completed call to its program, which then pauses before the next call or finishes.
    fn advance(&mut self, program: usize, engine: usize) {
        let program_trace = &self.trace.programs[program];
        let progress = &mut self.progress[program];
        let call = &program_trace.calls[progress.next_call];
        progress.history_tokens += call.prompt + call.generate;
        progress.last_engine = Some(engine);
        progress.next_call += 1;
        if let Some(next) = program_trace.calls.get(progress.next_call) {
            let pause = Duration::from_millis(next.pause_ms);
            self.schedule(pause, Event::Receive(program));
            return;
        }
        self.unfinished -= 1;
        let pauses: u64 = program_trace.calls.iter().map(|call| call.pause_ms).sum();
        let end_ms = self.now.as_secs_f64() * 1e3;
        let start_ms = Duration::from_millis(program_trace.at_ms + pauses).as_secs_f64() * 1e3;
        let spec = &self.engines[engine].spec;
        let unloaded_us: u64 = program_trace
            .calls
            .iter()
            .map(|call| call.prompt * spec.prefill_us + call.generate * spec.token_us)
            .sum();
        self.finished.push(FinishedProgram {
            organisation: program_trace.organisation.clone(),
            latency_ms: end_ms - start_ms,
            unloaded_ms: Duration::from_micros(unloaded_us).as_secs_f64() * 1e3,
        });
    }
}

fn initial_progress() -> Progress {
    Progress {
        next_call: 0,
        history_tokens: 0,
        last_engine: None,
        crashes: 0,
    }
}
