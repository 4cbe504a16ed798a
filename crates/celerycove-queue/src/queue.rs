//! The queue of one backend server.

use std::{collections::BTreeMap, time::Duration};

use celerycove_types::{Timestamp, Violation, id};

use crate::{
    fair::{Job, Line},
    hold::Holds,
    ramp::{self, Ramp, Sample},
};

/// Whether new work may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// It may.
    Open,
    /// The backend server or its data centre is drained.
    Drained,
    /// The process leaves.
    Leaving,
    /// The configuration may not be the newest.
    Stale,
}

/// How a queue behaves.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How the limit grows and falls.
    pub ramp: ramp::Options,
    /// How many requests may wait.
    pub waiting: usize,
    /// How long engine memory is held for a program without a renewal.
    pub hold: Duration,
    /// How long the dispatch of a call that must not be repeated is remembered.
    pub remember: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ramp: ramp::Options::default(),
            waiting: 256,
            hold: Duration::from_secs(30),
            remember: Duration::from_mins(10),
        }
    }
}

/// What goes into a queue.
#[derive(Debug, Clone)]
pub enum Event {
    /// A request came.
    Arrive(Job),
    /// The caller went away or no longer wants the answer.
    Cancel(id::Request),
    /// A running request ended.
    Finish {
        /// Which.
        id: id::Request,
        /// How it went; `None` says nothing about the backend server.
        sample: Option<Sample>,
    },
    /// The backend server restarted or can't be reached.
    Restarted,
    /// New work may start or no longer.
    Gate(Gate),
    /// The homes of programs renew their holds.
    Renew(Vec<id::Program>),
    /// A program ended.
    Release(id::Program),
    /// Time passed.
    Tick,
}

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The queue is full.
    #[error("the queue of the backend server is full")]
    Full,
    /// The backend server or its data centre is drained.
    #[error("the backend server is drained")]
    Drained,
    /// The process leaves.
    #[error("the backend server is leaving")]
    Leaving,
    /// The configuration may not be the newest.
    #[error("the configuration may be out of date")]
    Stale,
    /// The backend server fails.
    #[error("the backend server is failing")]
    Failing,
    /// The deadline passed in the queue.
    #[error("the deadline passed before the request could start")]
    Deadline,
    /// The same dispatch came before.
    #[error("the same dispatch came before")]
    Duplicate,
}

/// What a queue wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to the backend server.
    Start(id::Request),
    /// Tell that the request did not run.
    Refuse(id::Request, Refusal),
    /// Cancel the request at the backend server.
    Abort(id::Request),
    /// Release what the engine holds for a program.
    Evict(id::Program),
}

/// The load, as told to entries with each answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Requests waiting.
    pub waiting: u32,
    /// Requests running.
    pub running: u32,
    /// Requests that may run at once.
    pub limit: u32,
    /// Cost of all that waits.
    pub cost: f64,
}

/// The queue of one backend server.
#[derive(Debug)]
pub struct Queue {
    options: Options,
    ramp: Ramp,
    line: Line,
    gate: Gate,
    running: BTreeMap<id::Request, Job>,
    holds: Holds,
    dispatched: BTreeMap<id::Request, Timestamp>,
    now: Timestamp,
}

impl Queue {
    /// Starts cold and closed, until the configuration is known.
    #[must_use]
    pub fn new(options: Options, now: Timestamp) -> Self {
        Self {
            options,
            ramp: Ramp::new(options.ramp, now),
            line: Line::default(),
            gate: Gate::Stale,
            running: BTreeMap::new(),
            holds: Holds::default(),
            dispatched: BTreeMap::new(),
            now,
        }
    }

    /// Takes one event in and gives the actions that follow from it.
    pub fn step(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        let mut actions = Vec::new();
        match event {
            Event::Arrive(job) => self.arrive(job, &mut actions),
            Event::Cancel(id) => self.cancel(&id, &mut actions),
            Event::Finish { id, sample } => self.finish(&id, sample),
            Event::Restarted => {
                self.ramp.handle(ramp::Input::Restarted);
                self.holds.clear();
            }
            Event::Gate(gate) => self.set_gate(gate, &mut actions),
            Event::Renew(programs) => {
                for program in &programs {
                    self.holds.renew(program, self.now, self.options.hold);
                }
            }
            Event::Release(program) => {
                if self.holds.release(&program) {
                    actions.push(Action::Evict(program));
                }
            }
            Event::Tick => self.tick(&mut actions),
        }
        self.start(&mut actions);
        actions
    }

    /// The load as of now.
    #[must_use]
    pub fn load(&self) -> Load {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Load {
            waiting: count(self.line.len()),
            running: count(self.running.len()),
            limit: self.ramp.limit(),
            cost: self.line.cost(),
        }
    }

    /// Whether new work may start.
    #[must_use]
    pub fn gate(&self) -> Gate {
        self.gate
    }

    /// The limit and its mode.
    #[must_use]
    pub fn ramp(&self) -> &Ramp {
        &self.ramp
    }

    /// How many programs the engine holds memory for.
    #[must_use]
    pub fn held(&self) -> usize {
        self.holds.len()
    }

    /// The programs whose hold ended before a time and is still there, for checks.
    pub fn overdue(&self, before: Timestamp) -> impl Iterator<Item = &id::Program> {
        self.holds.overdue(before)
    }

    /// Whether nothing runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.line.is_empty()
    }

    /// Checks the queue's invariants.
    ///
    /// # Errors
    ///
    /// Returns the broken invariant.
    pub fn check(&self) -> Result<(), Violation> {
        Violation::unless(
            self.line.len() <= self.options.waiting,
            "queue-bounded",
            || format!("{} waiting", self.line.len()),
        )?;
        Violation::unless(
            self.gate == Gate::Open || self.line.is_empty(),
            "closed-gate-holds-nothing",
            || format!("{:?} with {} waiting", self.gate, self.line.len()),
        )?;
        let slack = self.ramp.limit().saturating_sub(self.load().running);
        Violation::unless(
            self.line.is_empty() || slack == 0,
            "work-conserving",
            || format!("{} waiting with {slack} free", self.line.len()),
        )
    }

    fn arrive(&mut self, job: Job, actions: &mut Vec<Action>) {
        let refusal = match self.gate {
            _ if self.is_known(&job.id) => Some(Refusal::Duplicate),
            Gate::Drained => Some(Refusal::Drained),
            Gate::Leaving => Some(Refusal::Leaving),
            Gate::Stale => Some(Refusal::Stale),
            Gate::Open if self.ramp.is_failing() => Some(Refusal::Failing),
            Gate::Open => None,
        };
        if let Some(refusal) = refusal {
            actions.push(Action::Refuse(job.id, refusal));
            return;
        }
        self.line.push(job, self.now);
        if self.line.len() > self.options.waiting
            && let Some(shed) = self.line.shed()
        {
            actions.push(Action::Refuse(shed.id, Refusal::Full));
        }
    }

    fn is_known(&self, id: &id::Request) -> bool {
        self.dispatched.contains_key(id) || self.running.contains_key(id) || self.line.contains(id)
    }

    fn cancel(&mut self, id: &id::Request, actions: &mut Vec<Action>) {
        if self.line.remove(id).is_none() && self.running.contains_key(id) {
            actions.push(Action::Abort(id.clone()));
        }
    }

    fn finish(&mut self, id: &id::Request, sample: Option<Sample>) {
        let Some(job) = self.running.remove(id) else {
            return;
        };
        let cost = match sample {
            Some(Sample::Served { cost, .. }) => cost,
            _ => job.cost,
        };
        self.line.settle(&job, cost);
        if let Some(program) = &job.program {
            self.holds.end(program, self.now, self.options.hold);
        }
        if let Some(sample) = sample {
            self.ramp.handle(ramp::Input::Tick(self.now));
            self.ramp.handle(ramp::Input::Sample(sample));
        }
    }

    fn set_gate(&mut self, gate: Gate, actions: &mut Vec<Action>) {
        self.gate = gate;
        let refusal = match gate {
            Gate::Open => return,
            Gate::Drained => Refusal::Drained,
            Gate::Leaving => Refusal::Leaving,
            Gate::Stale => Refusal::Stale,
        };
        self.refuse_waiting(refusal, actions);
    }

    fn refuse_waiting(&mut self, refusal: Refusal, actions: &mut Vec<Action>) {
        let waiting = self.line.drain();
        actions.extend(
            waiting
                .into_iter()
                .map(|job| Action::Refuse(job.id, refusal)),
        );
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        self.ramp.handle(ramp::Input::Tick(self.now));
        for job in self.line.expired(self.now) {
            actions.push(Action::Refuse(job.id, Refusal::Deadline));
        }
        for program in self.holds.expired(self.now) {
            actions.push(Action::Evict(program));
        }
        let (now, remember) = (self.now, self.options.remember);
        self.dispatched.retain(|_, at| now < *at + remember);
    }

    fn start(&mut self, actions: &mut Vec<Action>) {
        if self.ramp.is_failing() {
            self.refuse_waiting(Refusal::Failing, actions);
            return;
        }
        while self.load_running() < self.ramp.limit()
            && let Some(job) = self.line.pop(self.now)
        {
            if let Some(program) = &job.program {
                self.holds.begin(program, self.now);
            }
            if job.once {
                self.dispatched.insert(job.id.clone(), self.now);
            }
            actions.push(Action::Start(job.id.clone()));
            self.running.insert(job.id.clone(), job);
        }
    }

    fn load_running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }
}
