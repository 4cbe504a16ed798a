//! The state machine of one replica of a shard.

use std::{collections::VecDeque, time::Duration};

use celerycove_types::{Timestamp, id};

use crate::{
    message::{Body, Message, Position, Record, Round, Snapshot},
    op::Retention,
    primary::Leadership,
    request::{Request, Response},
    state::State,
};

/// Identifies a request, so that its response can be matched to it.
pub type Token = u64;

/// Settings of a replica.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How long programs and idempotency records are kept.
    pub retention: Retention,
    /// Interval at which the primary asks dispatchers whether their long-running calls are still in
    /// flight; also the age at which a call counts as long-running.
    pub confirm_interval: Duration,
    /// How long a primary waits for a replica before it sends the next probe.
    pub resend_interval: Duration,
    /// Whether records must be synced to disk before they are acknowledged.
    pub durable: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retention: Retention::default(),
            confirm_interval: Duration::from_secs(5),
            resend_interval: Duration::from_millis(300),
            durable: false,
        }
    }
}

/// The role of this replica of a shard in an epoch, and the other replicas.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Assignment {
    /// The epoch.
    pub epoch: id::Epoch,
    /// Whether this replica is the primary.
    pub primary: bool,
    /// The backups.
    pub backups: Vec<id::Process>,
    /// The learners.
    pub learners: Vec<id::Process>,
    /// The epoch in which the shard was last created empty; state from older epochs is discarded.
    pub origin: id::Epoch,
}

/// An input of a replica.
#[derive(Debug, Clone)]
pub enum Event {
    /// The control plane assigned the replicas of the shard.
    Assign(Assignment),
    /// An entry process sent a request.
    Request {
        /// Returned with the response.
        token: Token,
        /// The request.
        request: Request,
    },
    /// Another replica sent a message.
    Message {
        /// The sender.
        from: id::Process,
        /// The message.
        message: Message,
    },
    /// All records up to a position are synced to disk.
    Synced(Position),
    /// A process has terminated; the outcome of the calls that it dispatched is unknown.
    DispatcherLost(id::Process),
    /// A dispatcher reported that it does not know these requests, or no longer does.
    CallsAbandoned(Vec<id::Request>),
    /// Time has passed.
    Tick,
}

/// An output of a replica; actions are carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to another replica.
    Send {
        /// The receiver.
        to: id::Process,
        /// The message.
        message: Message,
    },
    /// Answer a request of an entry process.
    Respond {
        /// The token of the request.
        token: Token,
        /// The response.
        response: Response,
    },
    /// Sync records to disk, then report [`Event::Synced`].
    Persist(Vec<Record>),
    /// Replace the shard's state on disk by a snapshot, then report [`Event::Synced`].
    Replace(Box<Snapshot>),
    /// Tell the control plane that the learners of this epoch are up to date.
    LearnersCaughtUp(id::Epoch),
    /// Ask a process whether long-running calls are still in flight; those that it does not know
    /// come back as [`Event::CallsAbandoned`].
    ConfirmCalls {
        /// The process that dispatched the calls.
        dispatcher: id::Process,
        /// The requests of these calls.
        requests: Vec<id::Request>,
    },
    /// Release resources that engines hold for a program that has ended.
    Release {
        /// The program.
        program: id::Program,
        /// Backend servers that may hold resources of the program.
        backends: Vec<id::Backend>,
    },
}

/// One replica of a shard, as a state machine without I/O: it takes events and returns actions.
#[derive(Debug)]
pub struct Shard {
    pub(crate) id: id::Shard,
    pub(crate) options: Options,
    /// The latest epoch known to this replica.
    pub(crate) epoch: id::Epoch,
    /// The position of the last record held.
    pub(crate) last: Position,
    /// The position up to which records are durable.
    pub(crate) synced: Position,
    pub(crate) state: State,
    /// The latest records, to bring other replicas up to date without a snapshot.
    pub(crate) recent: VecDeque<Record>,
    /// The position of the record before the first of `recent`.
    pub(crate) recent_base: Position,
    /// Present while this replica is the primary.
    pub(crate) leadership: Option<Leadership>,
    /// The primary whose messages are acknowledged, while this replica follows one.
    pub(crate) primary: Option<id::Process>,
    /// The epoch of the primary whose records or snapshot this replica applied last.
    pub(crate) adopted_epoch: id::Epoch,
    /// The latest round of a probe from the primary.
    pub(crate) latest_round: Round,
    pub(crate) now: Timestamp,
    /// The time of the next search for expired programs, records and calls.
    pub(crate) housekeeping_due: Timestamp,
    /// The time at which dispatchers are next asked about long-running calls.
    pub(crate) confirm_due: Timestamp,
    /// Actions of the current step.
    pub(crate) actions: Vec<Action>,
}

impl Shard {
    /// Creates a replica with empty state.
    #[must_use]
    pub fn new(id: id::Shard, options: Options, now: Timestamp) -> Self {
        Self {
            id,
            options,
            epoch: 0,
            last: Position::default(),
            synced: Position::default(),
            state: State::default(),
            recent: VecDeque::new(),
            recent_base: Position::default(),
            leadership: None,
            primary: None,
            adopted_epoch: 0,
            latest_round: 0,
            now,
            housekeeping_due: now,
            confirm_due: now,
            actions: Vec::new(),
        }
    }

    /// Creates a replica from the snapshot recovered from disk.
    #[must_use]
    pub fn recover(id: id::Shard, snapshot: Snapshot, options: Options, now: Timestamp) -> Self {
        Self {
            epoch: snapshot.last.epoch,
            last: snapshot.last,
            synced: snapshot.last,
            state: snapshot.state,
            recent_base: snapshot.last,
            ..Self::new(id, options, now)
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn step(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let elapsed = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if self.leadership.is_some() {
            self.state.at += elapsed;
        }
        match event {
            Event::Assign(assignment) => self.handle_assignment(assignment),
            Event::Request { token, request } => self.handle_request(token, &request),
            Event::Message { from, message } => self.handle_message(&from, message),
            Event::Synced(position) => self.handle_synced(position),
            Event::DispatcherLost(process) => {
                self.end_calls(|_, dispatcher| *dispatcher == process);
            }
            Event::CallsAbandoned(requests) => {
                self.end_calls(|request, _| requests.contains(request));
            }
            Event::Tick => self.handle_tick(),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of the shard.
    #[must_use]
    pub fn id(&self) -> id::Shard {
        self.id
    }

    /// Returns the latest epoch known to this replica.
    #[must_use]
    pub fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Returns whether this replica is the primary.
    #[must_use]
    pub fn is_primary(&self) -> bool {
        self.leadership.is_some()
    }

    /// Returns the state, including records that may not be acknowledged yet.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the position of the last record held.
    #[must_use]
    pub fn last_position(&self) -> Position {
        self.last
    }

    /// Returns a snapshot of the whole state, for the disk or another replica.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            last: self.last,
            state: self.state.clone(),
        }
    }

    fn handle_assignment(&mut self, assignment: Assignment) {
        let is_current = assignment.epoch == self.epoch && self.leadership.is_some();
        if assignment.epoch < self.epoch || is_current {
            return;
        }
        if self.last.epoch < assignment.origin {
            self.reset();
        }
        if assignment.epoch > self.epoch {
            self.latest_round = 0;
        }
        self.epoch = assignment.epoch;
        if assignment.primary {
            self.become_primary(assignment);
        } else {
            self.step_down();
        }
    }

    /// Discards all state.
    fn reset(&mut self) {
        self.state = State::default();
        self.last = Position::default();
        self.synced = Position::default();
        self.recent.clear();
        self.recent_base = Position::default();
    }

    fn handle_message(&mut self, from: &id::Process, message: Message) {
        if message.epoch < self.epoch {
            if !matches!(message.body, Body::Held { .. } | Body::Stale) {
                self.send(from, Body::Stale);
            }
            return;
        }
        if message.epoch > self.epoch {
            self.epoch = message.epoch;
            self.latest_round = 0;
            self.step_down();
        }
        match message.body {
            Body::Held { last, round } => self.handle_held(from, last, round),
            Body::Probe(round) => self.handle_probe(from, round),
            Body::Append { previous, records } => self.handle_append(from, previous, records),
            Body::Install(snapshot) => self.handle_install(from, *snapshot),
            Body::Stale => {}
        }
    }

    pub(crate) fn send(&mut self, to: &id::Process, body: Body) {
        let message = Message {
            shard: self.id,
            epoch: self.epoch,
            body,
        };
        self.actions.push(Action::Send {
            to: to.clone(),
            message,
        });
    }
}
