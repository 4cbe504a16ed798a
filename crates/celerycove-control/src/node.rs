//! One instance of the control log.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use celerycove_config::{Feed, Outcome, Proposal};
use celerycove_types::{Timestamp, id};
use statig::blocking::{IntoStateMachineExt, StateMachine};

use crate::{
    log::{Command, Entry, Index, Members, Term, Usage},
    membership::Learner,
    message::{Body, Message},
    raft::Raft,
    role::{self, Input},
    state::State,
    storage::{Error, Storage},
};

/// Why a leader refuses to add an instance that it has not brought up to date; see [`Event::Learn`].
pub const NOT_CAUGHT_UP: &str = "the new member has not caught up yet";

/// Identifies a proposal, so that its answer can be matched to it.
pub type Token = u64;

/// Timing and size parameters of the control log.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The interval between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// The minimum election timeout. The actual timeout is random, up to twice as long.
    pub election_timeout: Duration,
    /// The number of applied entries after which a snapshot replaces them.
    pub snapshot_interval: Index,
    /// The most bytes of encoded entries that the log holds, in memory and on the disk.
    pub max_log_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(150),
            election_timeout: Duration::from_secs(1),
            snapshot_interval: 1024,
            max_log_bytes: 16 << 20,
        }
    }
}

/// A command and the token of its answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposed {
    /// Returned with the answer.
    pub token: Token,
    /// The command to commit.
    pub command: Command,
}

/// An input of an instance.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message was received from another instance.
    Message {
        /// The sender.
        from: id::Process,
        /// The message.
        message: Message,
    },
    /// Commands were proposed; they are written together.
    Propose(Vec<Proposed>),
    /// A leader is to bring this instance up to date, so that it can become a member, in place of an
    /// earlier one; none if `None`. Other instances ignore it, and a new leader begins without one.
    Learn(Option<id::Process>),
}

/// The result of a proposed command.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The command is committed.
    Done,
    /// The outcome of an operator's proposal.
    Configured(Outcome),
    /// The number of placement changes applied; the others were made for another epoch.
    Placed(usize),
    /// The fencing number allocated.
    Fenced(id::FencingToken),
    /// Whether the fleet's state changed.
    Fleet(celerycove_fleet::Effect),
    /// The outcome of a turn command.
    Turn(celerycove_turn::Outcome),
    /// This instance is not the leader and did nothing; holds the leader, if known.
    NotLeader(Option<id::Process>),
    /// The command is not allowed now and was not appended.
    Refused(&'static str),
    /// The instance stopped leading before the command was committed; it may still be committed.
    Unknown,
}

/// An action that the caller must perform, in the given order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a message.
    Send {
        /// The receiver.
        to: id::Process,
        /// The message.
        message: Message,
    },
    /// Answers a proposal.
    Answer {
        /// The token of the proposal.
        token: Token,
        /// The result.
        answer: Answer,
    },
    /// Stops the instance: its storage failed, or a snapshot can't be encoded or decoded. It
    /// performs no other action and must acknowledge nothing from now on. [`Node::recover`] opens it anew.
    Halt(Error),
}

/// One instance of the control log.
pub struct Node {
    machine: StateMachine<Raft>,
    halted: bool,
}

impl Node {
    /// Opens an instance from its storage. If the storage is empty, an instance with `bootstrap`
    /// becomes a voter of a new deployment; one without doesn't vote until a leader has brought it
    /// up to date.
    ///
    /// # Errors
    ///
    /// Returns an error if the storage can't be read or is corrupt.
    pub fn open(
        own_id: id::Process,
        bootstrap: Option<Members>,
        mut storage: Box<dyn Storage>,
        options: Options,
        seed: u64,
        now: Timestamp,
    ) -> Result<Self, Error> {
        let persisted = storage.load()?;
        let raft = Raft::open(own_id, bootstrap, storage, persisted, options, seed, now)?;
        Ok(Self::new(raft))
    }

    /// Opens an instance anew after its storage failed. It is as after a restart of its process: what it
    /// acknowledged is in its storage, and all else it learns from the other instances.
    ///
    /// # Errors
    ///
    /// Returns an error if the storage can't be read or still can't be written.
    pub fn recover(
        own_id: id::Process,
        mut storage: Box<dyn Storage>,
        options: Options,
        seed: u64,
        now: Timestamp,
    ) -> Result<Self, Error> {
        let persisted = storage.recover()?;
        let raft = Raft::open(own_id, None, storage, persisted, options, seed, now)?;
        Ok(Self::new(raft))
    }

    fn new(raft: Raft) -> Self {
        let mut machine = raft.state_machine();
        machine.init_with_context(&mut Vec::new());
        Self {
            machine,
            halted: false,
        }
    }

    /// Handles one event and returns the resulting actions; none after [`Action::Halt`].
    pub fn step(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        if self.halted {
            return Vec::new();
        }
        let mut actions = Vec::new();
        self.dispatch(&Input::SetTime(now), &mut actions);
        match event {
            Event::Tick => self.dispatch(&Input::Tick, &mut actions),
            Event::Propose(proposed) => self.dispatch(&Input::Propose(proposed), &mut actions),
            Event::Learn(learner) => self.dispatch(&Input::Learn(learner), &mut actions),
            Event::Message { from, message } => self.handle_message(from, message, &mut actions),
        }
        self.dispatch(&Input::TakeActions, &mut actions);
        if let Some(error) = self.machine.fatal_error.clone() {
            self.halted = true;
            return vec![Action::Halt(error)];
        }
        actions
    }

    fn handle_message(&mut self, from: id::Process, message: Message, actions: &mut Vec<Action>) {
        // These messages carry a term that would start if the vote were held.
        let is_prospective_term = matches!(
            message.body,
            Body::PreVote { .. } | Body::PreVoteReply { granted: true }
        );
        if !is_prospective_term && message.term > self.machine.ballot.term {
            self.dispatch(&Input::NewerTerm(message.term), actions);
        }
        self.dispatch(&Input::Message(from, message), actions);
    }

    fn dispatch(&mut self, input: &Input, actions: &mut Vec<Action>) {
        self.machine.handle_with_context(input, actions);
        // With a quorum of one, both the pre-vote and the vote are won within one input.
        self.machine
            .handle_with_context(&Input::CountVotes, actions);
        self.machine
            .handle_with_context(&Input::CountVotes, actions);
    }

    /// The replicated state after the applied entries.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.machine.state
    }

    /// The configuration and its latest steps, which followers of the configuration are sent.
    #[must_use]
    pub fn feed(&self) -> &Feed {
        &self.machine.feed
    }

    /// Whether this instance leads.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        !self.halted && *self.machine.state() == role::State::Leader {}
    }

    /// The leader, if this instance knows it.
    #[must_use]
    pub fn leader(&self) -> Option<&id::Process> {
        self.machine.leader.as_ref()
    }

    /// The latest term seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.machine.ballot.term
    }

    /// The position up to which the log is known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> Index {
        self.machine.commit_index
    }

    /// The committed entries after a position, as far as they are still in memory.
    pub fn committed_after(&self, index: Index) -> impl Iterator<Item = &Entry> {
        let commit = self.machine.commit_index;
        let entries = self.machine.log.iter();
        entries.filter(move |entry| entry.index > index && entry.index <= commit)
    }

    /// How much the log holds in memory.
    #[must_use]
    pub fn log_usage(&self) -> Usage {
        self.machine.log.usage()
    }

    /// How many bytes of snapshots that are being sent or received are in memory.
    #[must_use]
    pub fn transfer_bytes(&self) -> usize {
        self.machine.transfer_bytes()
    }

    /// The position up to which entries are applied.
    #[must_use]
    pub fn applied_index(&self) -> Index {
        self.machine.applied_index
    }

    /// The time since the last contact: on a leader, since the start of the latest round that a
    /// quorum acknowledged; on a follower, since the last message from the leader.
    #[must_use]
    pub fn time_since_contact(&self, now: Timestamp) -> Option<Duration> {
        self.machine.last_contact.map(|at| now.saturating_sub(at))
    }

    /// The instances that agree on the log.
    #[must_use]
    pub fn members(&self) -> &Members {
        &self.machine.members
    }

    /// Whether the entry that set the [`members`](Self::members) is known to be committed.
    #[must_use]
    pub fn has_committed_members(&self) -> bool {
        self.machine.members_index <= self.machine.commit_index
    }

    /// On a leader, the members and the learner that stated in one of the last rounds that they may
    /// vote, itself included. Older statements don't count, as an instance can lose its disk, and with
    /// it the right to vote, at any time.
    #[must_use]
    pub fn voters(&self) -> Members {
        let peers = self.machine.progress.iter();
        let voters = peers.filter(|(_, peer)| self.machine.is_recent_voter(peer));
        let own = self.is_leader().then(|| self.machine.own_id.clone());
        voters.map(|(peer, _)| peer.clone()).chain(own).collect()
    }

    /// On a leader, the instance that it brings up to date.
    #[must_use]
    pub fn learner(&self) -> Option<Learner> {
        let process = self.machine.learner.clone().filter(|_| self.is_leader())?;
        let caught_up = self.machine.has_caught_up(&process);
        Some(Learner { process, caught_up })
    }

    /// On a leader, when each of the other members and the learner last replied to it. One whose storage failed
    /// does not reply, though its process runs.
    #[must_use]
    pub fn replied_at(&self) -> BTreeMap<id::Process, Timestamp> {
        let peers = self.machine.progress.iter();
        let peers = peers.filter(|_| self.is_leader());
        peers
            .map(|(peer, progress)| (peer.clone(), progress.replied_at))
            .collect()
    }

    /// On a leader that has applied all committed entries, the time since a quorum last confirmed
    /// it; its state is at most this far behind. `None` otherwise.
    #[must_use]
    pub fn staleness(&self, now: Timestamp) -> Option<Duration> {
        if !self.is_leader() {
            return None;
        }
        let age = self.machine.staleness()?;
        Some(age + now.saturating_sub(self.machine.now))
    }

    pub(crate) fn raft(&self) -> &Raft {
        &self.machine
    }

    /// Returns the event that proposes an operator's change of the configuration.
    #[must_use]
    pub fn configure(token: Token, proposal: Proposal) -> Event {
        Event::Propose(vec![Proposed {
            token,
            command: Command::Configure(proposal),
        }])
    }

    /// The newest configuration.
    #[must_use]
    pub fn config(&self) -> Arc<celerycove_config::Config> {
        self.machine.feed.config().clone()
    }
}
