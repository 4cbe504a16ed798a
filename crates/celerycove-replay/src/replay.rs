//! The event loop of a replay.

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
    measure::{Finished, Outcome, sum_up},
    policy::{Policy, View},
    trace::{Fault, Kind, Trace},
};

/// Entries, each with its own knowledge of load.
const ENTRIES: usize = 3;
const TICK: Duration = Duration::from_millis(50);
/// How long a call that nobody takes waits before it is tried again.
const AGAIN: Duration = Duration::from_millis(50);
/// How long a caller that was refused waits at least.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// How often a call whose engine failed is tried again.
const FAILURES: u32 = 5;
/// Tokens that a call is expected to generate; what it does generate shows only at its end.
const EXPECTED: u64 = 150;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call(usize),
    /// A call that was admitted and that no engine took.
    Again(usize),
    End(u64),
    Tick,
    Fault(usize),
}

/// A dispatch under way.
struct Dispatch {
    program: usize,
    engine: usize,
    entry: usize,
    cost: f64,
    started: Option<Timestamp>,
    wasted: u64,
}

struct State {
    next: usize,
    history: u64,
    last: Option<usize>,
    failures: u32,
}

struct Replay<'t> {
    trace: &'t Trace,
    policy: Policy,
    engines: Vec<Engine>,
    closed: Vec<bool>,
    fifos: Vec<VecDeque<u64>>,
    queues: Vec<Queue>,
    pools: Vec<Pool>,
    states: Vec<State>,
    dispatches: BTreeMap<u64, Dispatch>,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    order: u64,
    now: Timestamp,
    rng: StdRng,
    finished: Vec<Finished>,
    open: usize,
    failed: u64,
    wasted: u64,
    calls: u32,
    retries: u32,
    owner: Owner,
    /// The latest lease of each organisation, spent at once.
    spent: BTreeMap<String, LeaseId>,
    refused_others: u64,
}

/// Replays a trace with a policy.
#[must_use]
pub fn replay(trace: &Trace, policy: Policy, seed: u64) -> Outcome {
    let mut replay = Replay::new(trace, policy, seed);
    while replay.open > 0
        && let Some(Reverse((at, _, event))) = replay.events.pop()
    {
        replay.now = at;
        replay.handle(event);
    }
    let crashes = replay.engines.iter().map(|engine| engine.crashes).sum();
    let retries = f64::from(replay.retries) / f64::from(replay.calls.max(1));
    let name = format!("{policy:?}");
    sum_up(
        name,
        &replay.finished,
        replay.failed,
        replay.wasted,
        crashes,
        retries,
        replay.refused_others,
    )
}

fn backend(engine: usize) -> id::Backend {
    format!("e{engine}").into()
}

fn name(dispatch: u64) -> id::Request {
    format!("d{dispatch}").into()
}

fn number(name: &str) -> Option<u64> {
    name[1..].parse().ok()
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
            closed: vec![false; engines.len()],
            fifos: engines.iter().map(|_| VecDeque::new()).collect(),
            queues,
            pools: Vec::new(),
            states: trace.programs.iter().map(|_| new_state()).collect(),
            dispatches: BTreeMap::new(),
            events: BinaryHeap::new(),
            order: 0,
            now: Timestamp::ZERO,
            rng: StdRng::seed_from_u64(seed),
            finished: Vec::new(),
            open: trace.programs.len(),
            failed: 0,
            wasted: 0,
            calls: 0,
            retries: 0,
            owner: Owner::new(1, Timestamp::ZERO, true),
            spent: BTreeMap::new(),
            refused_others: 0,
            engines,
            trace,
        };
        replay.build_pools();
        replay.after(TICK, Event::Tick);
        for (n, program) in trace.programs.iter().enumerate() {
            replay.after(Duration::from_millis(program.at_ms), Event::Call(n));
        }
        for (n, fault) in trace.faults.iter().enumerate() {
            replay.after(Duration::from_millis(fault.at_ms), Event::Fault(n));
        }
        replay
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.order += 1;
        self.events
            .push(Reverse((self.now + delay, self.order, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call(program) => self.arrive(program),
            Event::Again(program) => self.call(program, Vec::new()),
            Event::End(dispatch) => self.end(dispatch),
            Event::Tick => {
                for engine in 0..self.queues.len() {
                    self.queue_event(engine, QueueEvent::Tick);
                }
                self.after(TICK, Event::Tick);
            }
            Event::Fault(n) => {
                let fault = self.trace.faults[n].clone();
                self.fault(&fault);
            }
        }
    }

    fn fault(&mut self, fault: &Fault) {
        let now = self.now;
        match fault.kind {
            Kind::Cold(engine) => self.engines[engine].turn_cold(now),
            Kind::Drain(centre) => self.gate(centre, true),
            Kind::Restore(centre) => {
                for engine in self
                    .engines
                    .iter_mut()
                    .filter(|e| e.set.data_centre == centre)
                {
                    engine.turn_cold(now);
                }
                self.gate(centre, false);
            }
        }
    }

    fn gate(&mut self, centre: usize, closed: bool) {
        for engine in 0..self.engines.len() {
            if self.engines[engine].set.data_centre != centre {
                continue;
            }
            self.closed[engine] = closed;
            let gate = if closed { Gate::Drained } else { Gate::Open };
            if !closed {
                self.queue_event(engine, QueueEvent::Restarted);
            }
            self.queue_event(engine, QueueEvent::Gate(gate));
            // A baseline's queue is moved on too, so that the comparison is about the choice.
            for dispatch in std::mem::take(&mut self.fifos[engine]) {
                self.retry(dispatch);
            }
        }
        self.build_pools();
    }

    /// A program's next call goes to an engine.
    fn call(&mut self, program: usize, avoid: Vec<id::Backend>) {
        self.calls += u32::from(avoid.is_empty());
        let entry = program % ENTRIES;
        let Some((engine, cost)) = self.choose(program, entry, avoid) else {
            self.after(AGAIN, Event::Again(program));
            return;
        };
        self.order += 1;
        let dispatch = self.order;
        self.dispatches.insert(
            dispatch,
            Dispatch {
                program,
                engine,
                entry,
                cost,
                started: None,
                wasted: 0,
            },
        );
        if self.policy == Policy::Celerycove {
            self.stats(entry, engine, |stats| stats.record_dispatch(cost));
            let job = self.job(program, dispatch, cost);
            self.queue_event(engine, QueueEvent::Arrive(job));
        } else {
            self.fifos[engine].push_back(dispatch);
            self.drain_fifo(engine);
        }
    }

    fn job(&self, program: usize, dispatch: u64, cost: f64) -> Job {
        Job {
            id: name(dispatch),
            organisation: self.trace.programs[program].organisation.as_str().into(),
            weight: 1,
            program: Some(format!("p{program}").into()),
            attained_tokens: self.states[program].history,
            cost,
            deadline: None,
            at_most_once: false,
        }
    }

    fn choose(
        &mut self,
        program: usize,
        entry: usize,
        avoid: Vec<id::Backend>,
    ) -> Option<(usize, f64)> {
        let state = &self.states[program];
        let call = &self.trace.programs[program].calls[state.next];
        if self.policy != Policy::Celerycove {
            let views: Vec<View<'_>> = (0..self.engines.len())
                .filter(|engine| !self.closed[*engine])
                .map(|engine| View {
                    number: engine,
                    engine: &self.engines[engine],
                    in_flight: self.fifos[engine].len() + self.engines[engine].running.len(),
                })
                .collect();
            let turn = usize::try_from(self.order).unwrap_or(0);
            let engine = self.policy.choose(&views, program, turn, &mut self.rng)?;
            return Some((engine, 1.0));
        }
        let need = Request {
            prompt_tokens: state.history + call.prompt,
            cached_tokens: state.history,
            output_tokens: EXPECTED,
            last_backend: state.last.map(backend),
            excluded: avoid,
        };
        // The machine has the same ratio of prefill to generation that the traces' engines have.
        let options = RouteOptions {
            prefill_cost: 250.0 / 12_000.0,
            default_unit_time: Duration::from_millis(12),
            ..RouteOptions::default()
        };
        let choice = select(self.now, &self.pools[entry], &need, &options, &mut self.rng)?;
        let engine = usize::try_from(number(&choice.member.backend)?).ok()?;
        Some((engine, choice.cost))
    }

    fn stats(&self, entry: usize, engine: usize, work: impl FnOnce(&Stats)) {
        if let Some(member) = self.pools[entry].find(&backend(engine)) {
            work(&member.stats);
        }
    }

    fn queue_event(&mut self, engine: usize, event: QueueEvent) {
        for action in self.queues[engine].step(self.now, event) {
            match action {
                Action::Start(id) => {
                    if let Some(dispatch) = number(&id) {
                        self.start(dispatch);
                    }
                }
                Action::Refuse(id, _) => {
                    if let Some(dispatch) = number(&id) {
                        self.retry(dispatch);
                    }
                }
                Action::Abort(_) | Action::Evict(_) => {}
            }
        }
    }

    fn drain_fifo(&mut self, engine: usize) {
        let capacity = usize::try_from(self.engines[engine].set.capacity).unwrap_or(usize::MAX);
        while self.engines[engine].running.len() < capacity
            && let Some(dispatch) = self.fifos[engine].pop_front()
        {
            self.start(dispatch);
        }
    }

    fn start(&mut self, dispatch: u64) {
        let Some(found) = self.dispatches.get_mut(&dispatch) else {
            return;
        };
        let (program, engine) = (found.program, found.engine);
        found.started = Some(self.now);
        let state = &self.states[program];
        let call = &self.trace.programs[program].calls[state.next];
        let run = self.engines[engine].begin(self.now, dispatch, program, state.history, call);
        match run {
            Run::Served(took, wasted) => {
                if let Some(found) = self.dispatches.get_mut(&dispatch) {
                    found.wasted = wasted;
                }
                self.after(took, Event::End(dispatch));
            }
            Run::Crash => self.crash(engine),
        }
    }

    /// An engine fell over: all that it ran has failed.
    fn crash(&mut self, engine: usize) {
        for dispatch in std::mem::take(&mut self.engines[engine].running).into_keys() {
            let sample = Some(ramp::Sample::Failed);
            let id = name(dispatch);
            self.queue_event(engine, QueueEvent::Finish { id, sample });
            if let Some(found) = self.dispatches.get(&dispatch) {
                self.states[found.program].failures += 1;
                let (entry, now) = (found.entry, self.now);
                self.stats(entry, engine, |stats| stats.record_failure(now));
            }
            self.retry(dispatch);
        }
    }

    fn retry(&mut self, dispatch: u64) {
        let Some(gone) = self.dispatches.remove(&dispatch) else {
            return;
        };
        self.stats(gone.entry, gone.engine, |stats| {
            stats.record_completion(gone.cost);
        });
        self.retries += 1;
        if self.states[gone.program].failures > FAILURES {
            self.failed += 1;
            self.open -= 1;
            return;
        }
        self.call(gone.program, vec![backend(gone.engine)]);
    }

    fn end(&mut self, dispatch: u64) {
        let running = self.dispatches.get(&dispatch).map(|d| d.engine);
        let Some(engine) = running.filter(|e| self.engines[*e].running.remove(&dispatch).is_some())
        else {
            return;
        };
        let Some(done) = self.dispatches.remove(&dispatch) else {
            return;
        };
        let took = self.now.saturating_sub(done.started.unwrap_or(self.now));
        let now = self.now;
        if self.policy == Policy::Celerycove {
            let sample = Some(ramp::Sample::Served {
                took,
                cost: done.cost,
            });
            let id = name(dispatch);
            self.queue_event(engine, QueueEvent::Finish { id, sample });
            let load = self.queues[engine].load();
            self.stats(done.entry, engine, |stats| {
                stats.record_completion(done.cost);
                stats.record_service_time(took, done.cost);
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
            self.drain_fifo(engine);
        }
        self.wasted += done.wasted;
        self.advance(done.program, engine);
    }

    /// The call is done: the program pauses for its tools, or is done as well.
    fn advance(&mut self, program: usize, engine: usize) {
        let trace = &self.trace.programs[program];
        let state = &mut self.states[program];
        let call = &trace.calls[state.next];
        state.history += call.prompt + call.generate;
        state.last = Some(engine);
        state.next += 1;
        if let Some(next) = trace.calls.get(state.next) {
            let pause = Duration::from_millis(next.pause_ms);
            self.after(pause, Event::Call(program));
            return;
        }
        self.open -= 1;
        let pauses: u64 = trace.calls.iter().map(|call| call.pause_ms).sum();
        let whole = self.now.as_secs_f64() * 1e3;
        let began = Duration::from_millis(trace.at_ms + pauses).as_secs_f64() * 1e3;
        let set = &self.engines[engine].set;
        let alone: u64 = trace
            .calls
            .iter()
            .map(|call| call.prompt * set.prefill_us + call.generate * set.token_us)
            .sum();
        self.finished.push(Finished {
            organisation: trace.organisation.clone(),
            took_ms: whole - began,
            alone_ms: Duration::from_micros(alone).as_secs_f64() * 1e3,
        });
    }
}

fn new_state() -> State {
    State {
        next: 0,
        history: 0,
        last: None,
        failures: 0,
    }
}
