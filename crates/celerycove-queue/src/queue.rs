//! The request queue of one backend server.

use std::{collections::BTreeMap, time::Duration};

use celerycove_types::{Timestamp, Violation, id};

use crate::{
    fair::{Job, Scheduler},
    hold::Holds,
    ramp::{self, Ramp, Sample},
};

/// Whether new requests are admitted, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// New requests are admitted.
    Open,
    /// The backend server or its data centre is drained.
    Drained,
    /// The process is shutting down.
    Leaving,
    /// The configuration may be out of date.
    Stale,
}

/// Parameters of a queue.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Parameters of the concurrency limit.
    pub ramp: ramp::Options,
    /// The maximum number of queued requests.
    pub max_queued: usize,
    /// The lease on engine memory held for a program.
    pub hold_lease: Duration,
    /// How long the dispatch of an at-most-once request is remembered, to refuse duplicates.
    pub duplicate_window: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ramp: ramp::Options::default(),
            max_queued: 256,
            hold_lease: Duration::from_secs(30),
            duplicate_window: Duration::from_mins(10),
        }
    }
}

/// An input of a queue.
#[derive(Debug, Clone)]
pub enum Event {
    /// A request arrived.
    Arrive(Job),
    /// The caller disconnected or cancelled the request.
    Cancel(id::Request),
    /// A running request ended.
    Finish {
        /// The request.
        id: id::Request,
        /// The outcome; `None` if it says nothing about the backend server.
        sample: Option<Sample>,
    },
    /// The backend server restarted or can't be reached.
    Restarted,
    /// Sets whether new requests are admitted.
    Gate(Gate),
    /// Renews the holds of programs, on behalf of the processes that manage them.
    Renew(Vec<id::Program>),
    /// A program ended, so its hold ends too.
    Release(id::Program),
    /// Advances the time: expires deadlines, holds and remembered dispatches.
    Tick,
}

/// Why a request was refused without running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The queue is full.
    #[error("the queue of the backend server is full")]
    Full,
    /// The backend server or its data centre is drained.
    #[error("the backend server is drained")]
    Drained,
    /// The process is shutting down.
    #[error("the backend server is leaving")]
    Leaving,
    /// The configuration may be out of date.
    #[error("the configuration may be out of date")]
    Stale,
    /// The backend server is failing.
    #[error("the backend server is failing")]
    Failing,
    /// The deadline passed while the request was queued.
    #[error("the deadline passed before the request could start")]
    Deadline,
    /// A dispatch with the same id arrived before.
    #[error("the same dispatch came before")]
    Duplicate,
}

/// An action that the owner of the queue must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to the backend server.
    Start(id::Request),
    /// Tell the caller that the request did not run.
    Refuse(id::Request, Refusal),
    /// Cancel the running request at the backend server.
    Abort(id::Request),
    /// Release the engine memory held for a program.
    Evict(id::Program),
}

/// The load of a backend server, reported to the entry processes with each response.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Queued requests.
    pub queued: u32,
    /// Running requests.
    pub running: u32,
    /// The concurrency limit.
    pub limit: u32,
    /// Estimated cost of all queued requests.
    pub cost: f64,
}

/// The request queue of one backend server.
#[derive(Debug)]
pub struct Queue {
    options: Options,
    ramp: Ramp,
    scheduler: Scheduler,
    gate: Gate,
    running: BTreeMap<id::Request, Job>,
    holds: Holds,
    /// When each recent at-most-once request was dispatched.
    dispatched_at: BTreeMap<id::Request, Timestamp>,
    now: Timestamp,
}

impl Queue {
    /// Starts cold, and refuses requests until the first [`Event::Gate`] that opens it.
    #[must_use]
    pub fn new(options: Options, now: Timestamp) -> Self {
        Self {
            options,
            ramp: Ramp::new(options.ramp, now),
            scheduler: Scheduler::default(),
            gate: Gate::Stale,
            running: BTreeMap::new(),
            holds: Holds::default(),
            dispatched_at: BTreeMap::new(),
            now,
        }
    }

    /// Processes one event and returns the actions that follow from it.
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
                    self.holds.renew(program, self.now, self.options.hold_lease);
                }
            }
            Event::Release(program) => {
                if self.holds.release(&program) {
                    actions.push(Action::Evict(program));
                }
            }
            Event::Tick => self.tick(&mut actions),
        }
        self.start_ready(&mut actions);
        actions
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> Load {
        let to_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Load {
            queued: to_u32(self.scheduler.len()),
            running: to_u32(self.running.len()),
            limit: self.ramp.limit(),
            cost: self.scheduler.cost(),
        }
    }

    /// Returns whether new requests are admitted.
    #[must_use]
    pub fn gate(&self) -> Gate {
        self.gate
    }

    /// Returns the concurrency limit.
    #[must_use]
    pub fn ramp(&self) -> &Ramp {
        &self.ramp
    }

    /// Returns the number of programs that the engine holds memory for.
    #[must_use]
    pub fn held_programs(&self) -> usize {
        self.holds.len()
    }

    /// Returns the programs whose hold expired before a time but still exists, for invariant
    /// checks.
    pub fn overdue(&self, before: Timestamp) -> impl Iterator<Item = &id::Program> {
        self.holds.overdue(before)
    }

    /// Returns whether no request is queued or running.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.scheduler.is_empty()
    }

    /// Checks the queue's invariants.
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        Violation::unless(
            self.scheduler.len() <= self.options.max_queued,
            "queue-bounded",
            || format!("{} waiting", self.scheduler.len()),
        )?;
        Violation::unless(
            self.gate == Gate::Open || self.scheduler.is_empty(),
            "closed-gate-holds-nothing",
            || format!("{:?} with {} waiting", self.gate, self.scheduler.len()),
        )?;
        let free_slots = self.ramp.limit().saturating_sub(self.load().running);
        Violation::unless(
            self.scheduler.is_empty() || free_slots == 0,
            "work-conserving",
            || format!("{} waiting with {free_slots} free", self.scheduler.len()),
        )
    }

    fn arrive(&mut self, job: Job, actions: &mut Vec<Action>) {
        let refusal = match self.gate {
            _ if self.is_duplicate(&job.id) => Some(Refusal::Duplicate),
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
        self.scheduler.push(job, self.now);
        if self.scheduler.len() > self.options.max_queued
            && let Some(shed_job) = self.scheduler.shed()
        {
            actions.push(Action::Refuse(shed_job.id, Refusal::Full));
        }
    }

    fn is_duplicate(&self, id: &id::Request) -> bool {
        self.dispatched_at.contains_key(id)
            || self.running.contains_key(id)
            || self.scheduler.contains(id)
    }

    fn cancel(&mut self, id: &id::Request, actions: &mut Vec<Action>) {
        if self.scheduler.remove(id).is_none() && self.running.contains_key(id) {
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
        self.scheduler.finish(&job, cost);
        if let Some(program) = &job.program {
            self.holds
                .end_request(program, self.now, self.options.hold_lease);
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
        self.refuse_queued(refusal, actions);
    }

    fn refuse_queued(&mut self, refusal: Refusal, actions: &mut Vec<Action>) {
        let queued = self.scheduler.drain();
        actions.extend(
            queued
                .into_iter()
                .map(|job| Action::Refuse(job.id, refusal)),
        );
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        self.ramp.handle(ramp::Input::Tick(self.now));
        for job in self.scheduler.drain_expired(self.now) {
            actions.push(Action::Refuse(job.id, Refusal::Deadline));
        }
        for program in self.holds.remove_expired(self.now) {
            actions.push(Action::Evict(program));
        }
        let (now, window) = (self.now, self.options.duplicate_window);
        self.dispatched_at.retain(|_, at| now < *at + window);
    }

    fn start_ready(&mut self, actions: &mut Vec<Action>) {
        if self.ramp.is_failing() {
            self.refuse_queued(Refusal::Failing, actions);
            return;
        }
        while self.running_count() < self.ramp.limit()
            && let Some(job) = self.scheduler.pop(self.now)
        {
            if let Some(program) = &job.program {
                self.holds.start_request(program, self.now);
            }
            if job.at_most_once {
                self.dispatched_at.insert(job.id.clone(), self.now);
            }
            actions.push(Action::Start(job.id.clone()));
            self.running.insert(job.id.clone(), job);
        }
    }

    fn running_count(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }
}
