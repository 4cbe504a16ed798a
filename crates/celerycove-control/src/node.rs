//! One instance of the control log.

use std::{sync::Arc, time::Duration};

use celerycove_config::{Feed, Outcome, Proposal};
use celerycove_types::{Timestamp, id};
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::{
    core::Core,
    log::{Command, Entry, Index, Members, Term},
    message::{Body, Message, Round},
    role::{self, Input},
    state::State,
    storage::{Error, Storage},
};

/// Rounds after which a member that has not answered may have lost its vote meanwhile; enough for answers
/// that take a few heartbeats.
const RECENT_ROUNDS: Round = 5;

/// Matches an answer to its question.
pub type Token = u64;

/// Times and sizes of the control log.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How often a leader asks its followers.
    pub heartbeat: Duration,
    /// The shortest time without a leader before an election; the longest is twice as long.
    pub election: Duration,
    /// How many entries are applied before a snapshot replaces them.
    pub snapshot_after: Index,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(150),
            election: Duration::from_secs(1),
            snapshot_after: 1024,
        }
    }
}

/// A command and whom to answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposed {
    /// Given back with the answer.
    pub token: Token,
    /// What to commit.
    pub command: Command,
}

/// What goes into an instance.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed.
    Tick,
    /// Another instance sent a message.
    Message {
        /// Who sent it.
        from: id::Process,
        /// What it says.
        message: Message,
    },
    /// Commands to commit together.
    Propose(Vec<Proposed>),
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// It is committed.
    Done,
    /// A proposal's outcome.
    Configured(Outcome),
    /// How many changes of the placement still fitted.
    Placed(usize),
    /// The fencing number taken.
    Fenced(id::Fence),
    /// Whether the fleet's state changed.
    Fleet(celerycove_fleet::Effect),
    /// What became of a turn's command.
    Turn(celerycove_turn::Outcome),
    /// This instance does not lead; nothing was done.
    NotLeader(Option<id::Process>),
    /// It can't be done and was not.
    Refused(&'static str),
    /// The instance stopped leading first; the command may be committed or not.
    Unknown,
}

/// What an instance wants done, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message.
    Send {
        /// To whom.
        to: id::Process,
        /// What.
        message: Message,
    },
    /// Answer a proposer.
    Answer {
        /// The proposer's token.
        token: Token,
        /// What became of its command.
        answer: Answer,
    },
    /// Stop: the disk failed, and nothing may be acknowledged any more.
    Halt(Error),
}

/// One instance of the control log.
pub struct Node {
    machine: StateMachine<Core>,
    halted: bool,
}

impl Node {
    /// Starts from what the storage holds. With `bootstrap`, an empty storage becomes a voter of
    /// a new deployment; without, it does not vote until a leader has brought it up to date.
    ///
    /// # Errors
    ///
    /// Returns an error if the storage can't be read or is corrupt.
    pub fn open(
        me: id::Process,
        bootstrap: Option<Members>,
        storage: Box<dyn Storage>,
        options: Options,
        seed: u64,
        now: Timestamp,
    ) -> Result<Self, Error> {
        let core = Core::open(me, bootstrap, storage, options, seed, now)?;
        let mut machine = core.state_machine();
        machine.init_with_context(&mut Vec::new());
        Ok(Self {
            machine,
            halted: false,
        })
    }

    /// Takes one event in and gives the actions that follow from it.
    pub fn step(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        if self.halted {
            return Vec::new();
        }
        let mut actions = Vec::new();
        self.dispatch(&Input::Clock(now), &mut actions);
        match event {
            Event::Tick => self.dispatch(&Input::Tick, &mut actions),
            Event::Propose(proposed) => self.dispatch(&Input::Propose(proposed), &mut actions),
            Event::Message { from, message } => self.take_message(from, message, &mut actions),
        }
        self.dispatch(&Input::Finish, &mut actions);
        if let Some(error) = self.machine.failed.clone() {
            self.halted = true;
            return vec![Action::Halt(error)];
        }
        actions
    }

    fn take_message(&mut self, from: id::Process, message: Message, actions: &mut Vec<Action>) {
        let asks_only = matches!(
            message.body,
            Body::PreVote { .. } | Body::PreVoteReply { granted: true }
        );
        if !asks_only && message.term > self.machine.ballot.term {
            self.dispatch(&Input::StepDown(message.term), actions);
        }
        self.dispatch(&Input::Message(from, message), actions);
    }

    fn dispatch(&mut self, input: &Input, actions: &mut Vec<Action>) {
        self.machine.handle_with_context(input, actions);
        // A pre-vote and a vote may both be won at once where the quorum is one.
        self.machine.handle_with_context(&Input::Count, actions);
        self.machine.handle_with_context(&Input::Count, actions);
    }

    /// The state that the committed entries make.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.machine.state
    }

    /// The configuration with its latest steps.
    #[must_use]
    pub fn feed(&self) -> &Feed {
        &self.machine.feed
    }

    /// Whether this instance leads.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        !self.halted && *self.machine.state() == role::State::Leader {}
    }

    /// Who leads, as far as this instance knows.
    #[must_use]
    pub fn leader(&self) -> Option<&id::Process> {
        self.machine.leader.as_ref()
    }

    /// The latest term seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.machine.ballot.term
    }

    /// Up to where the log is known to be committed.
    #[must_use]
    pub fn commit(&self) -> Index {
        self.machine.commit
    }

    /// The committed entries in memory after a position.
    pub fn committed_after(&self, index: Index) -> impl Iterator<Item = &Entry> {
        let commit = self.machine.commit;
        let entries = self.machine.log.iter();
        entries.filter(move |entry| entry.index > index && entry.index <= commit)
    }

    /// The position up to which entries are applied.
    #[must_use]
    pub fn applied(&self) -> Index {
        self.machine.applied
    }

    /// How long ago a quorum (for a leader) or the leader (for a follower) was heard.
    #[must_use]
    pub fn heard(&self, now: Timestamp) -> Option<Duration> {
        self.machine.heard.map(|heard| now.saturating_sub(heard))
    }

    /// The instances that agree on the log.
    #[must_use]
    pub fn members(&self) -> &Members {
        &self.machine.members
    }

    /// For a leader: the members that said in one of the last rounds that they have a vote, itself
    /// included. What was said before may no longer hold: a disk can be lost at any time.
    #[must_use]
    pub fn voters(&self) -> Members {
        let since = self.machine.round.saturating_sub(RECENT_ROUNDS);
        let peers = self.machine.progress.iter();
        let voters = peers.filter(|(_, peer)| peer.voter && peer.round >= since);
        let own = self.is_leader().then(|| self.machine.me.clone());
        voters.map(|(peer, _)| peer.clone()).chain(own).collect()
    }

    /// For a leader: how long ago its state was surely the newest.
    #[must_use]
    pub fn freshness(&self, now: Timestamp) -> Option<Duration> {
        if !self.is_leader() {
            return None;
        }
        let age = self.machine.freshness()?;
        Some(age + now.saturating_sub(self.machine.now))
    }

    pub(crate) fn core(&self) -> &Core {
        &self.machine
    }

    /// Wraps a proposal of an operator.
    #[must_use]
    pub fn configure(token: Token, proposal: Proposal) -> Event {
        Event::Propose(vec![Proposed {
            token,
            command: Command::Configure(proposal),
        }])
    }

    /// The newest configuration held, shared.
    #[must_use]
    pub fn config(&self) -> Arc<celerycove_config::Config> {
        self.machine.feed.config().clone()
    }
}
