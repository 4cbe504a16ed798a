//! Raft state of one instance, independent of its role, and the application of committed entries.

use std::collections::{BTreeMap, BTreeSet};

use celerycove_config::Feed;
use celerycove_types::{Timestamp, id};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    log::{Command, Entry, Index, Log, Members, Term},
    message::{Body, Message, Round},
    node::{Action, Answer, Options, Token},
    state::{Effect, State},
    storage::{Ballot, Error, PersistentState, Snapshot, Storage},
    transfer::{Incoming, Outgoing, Position},
};

/// The replication progress of one follower, as its leader tracks it.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// The highest index known to be replicated on the follower.
    pub(crate) match_index: Index,
    /// Whether the follower reported that it may vote.
    pub(crate) voter: bool,
    /// The index of the next entry to send.
    pub(crate) next_index: Index,
    /// The latest heartbeat round that the follower acknowledged.
    pub(crate) acked_round: Round,
    /// When the follower last replied, or when this instance began to track it.
    pub(crate) replied_at: Timestamp,
    pub(crate) last_sent_at: Timestamp,
    /// When a probe (entries from the presumed match point, or a snapshot chunk) was last sent.
    /// Until the probe is answered or known to be lost, no other entries are sent.
    pub(crate) probe_sent_at: Option<Timestamp>,
    /// The round in which a probe was last sent. Connections keep the order of messages, so a probe
    /// is lost if a later round is acknowledged before it is answered.
    pub(crate) probe_round: Round,
    /// Progress of the snapshot transfer, if one is in progress.
    pub(crate) snapshot_position: Option<Position>,
    /// Replies to earlier rounds are ignored: the follower may have sent them before it lost its
    /// disk.
    pub(crate) min_valid_round: Round,
}

impl Progress {
    /// Records that a probe is sent in a round.
    pub(crate) fn begin_probe(&mut self, now: Timestamp, round: Round) {
        self.probe_sent_at = Some(now);
        self.probe_round = round;
    }

    /// Records the round that the follower acknowledged and whether it may vote.
    pub(crate) fn record_reply(&mut self, now: Timestamp, round: Round, voter: bool) {
        self.replied_at = now;
        self.acked_round = self.acked_round.max(round);
        self.voter = voter;
    }
}

/// The state of one instance, shared by all roles of the state machine in [`role`](crate::role).
pub(crate) struct Raft {
    pub(crate) own_id: id::Process,
    pub(crate) options: Options,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) storage: Box<dyn Storage>,
    pub(crate) ballot: Ballot,
    pub(crate) log: Log,
    pub(crate) state: State,
    pub(crate) feed: Feed,
    pub(crate) commit_index: Index,
    pub(crate) applied_index: Index,
    /// The members as of the latest snapshot.
    pub(crate) snapshot_members: Members,
    /// The members as of the last entry in the log, committed or not.
    pub(crate) members: Members,
    /// The index of the entry, or of the snapshot, that [`members`](Self::members) are from.
    pub(crate) members_index: Index,
    /// On a leader, the instance that it brings up to date so that it can become a member. A learner
    /// counts for no quorum.
    pub(crate) learner: Option<id::Process>,
    pub(crate) leader: Option<id::Process>,
    pub(crate) now: Timestamp,
    pub(crate) election_deadline: Timestamp,
    /// On a follower, when the leader last sent a message; on a leader, the start of the latest
    /// round that a quorum acknowledged.
    pub(crate) last_contact: Option<Timestamp>,
    /// The members that granted their vote or pre-vote in the current election.
    pub(crate) votes: BTreeSet<id::Process>,
    /// On a leader, the replication progress of each follower.
    pub(crate) progress: BTreeMap<id::Process, Progress>,
    /// On a leader, the start times of the rounds since the latest one that a quorum acknowledged.
    pub(crate) round_starts: BTreeMap<Round, Timestamp>,
    /// The latest heartbeat round started by this instance.
    pub(crate) round: Round,
    /// On a leader, the start of the latest round that a quorum acknowledged.
    pub(crate) quorum_confirmed_at: Option<Timestamp>,
    /// On a leader, the latest round that a quorum of voters has acknowledged.
    pub(crate) confirmed_round: Round,
    /// The first round received from the leader of the given term.
    pub(crate) first_leader_round: Option<(Term, Round)>,
    pub(crate) next_heartbeat: Timestamp,
    /// On a leader, the index of the first entry of its own term; `Index::MAX` otherwise.
    pub(crate) own_term_start: Index,
    /// The tokens of the proposals that are not yet committed, by log index.
    pub(crate) pending_proposals: BTreeMap<Index, Token>,
    pub(crate) actions: Vec<Action>,
    /// The error that halts the instance: a failed write or a snapshot that can't be encoded or
    /// decoded.
    pub(crate) fatal_error: Option<Error>,
    /// The snapshot that is being sent to followers.
    pub(crate) outgoing_snapshot: Option<Outgoing>,
    /// The partially received snapshot from the leader.
    pub(crate) incoming_snapshot: Option<Incoming>,
}

impl Raft {
    pub(crate) fn open(
        own_id: id::Process,
        bootstrap: Option<Members>,
        mut storage: Box<dyn Storage>,
        persisted: PersistentState,
        options: Options,
        seed: u64,
        now: Timestamp,
    ) -> Result<Self, Error> {
        let storage_is_empty = persisted.ballot.is_none();
        let ballot = persisted.ballot.unwrap_or(Ballot {
            voter: bootstrap.is_some(),
            ..Ballot::default()
        });
        // A snapshot without a ballot is from a bootstrap that broke off between the two. Its members may
        // be others than those given now if nobody has been sent them.
        let unfinished = storage_is_empty && bootstrap.is_some();
        let saved = persisted.snapshot.filter(|_| !unfinished);
        let snapshot = saved.unwrap_or_else(|| Snapshot {
            index: 0,
            term: 0,
            members: bootstrap.unwrap_or_default(),
            state: State::default(),
        });
        if storage_is_empty && ballot.voter {
            storage.save_snapshot(&snapshot, &[])?;
            storage.save_ballot(&ballot)?;
        }
        let mut raft = Self {
            own_id,
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            storage,
            ballot,
            log: Log::new(snapshot.index, snapshot.term, persisted.entries),
            feed: Feed::new(snapshot.state.store.config.clone()),
            state: snapshot.state,
            commit_index: snapshot.index,
            applied_index: snapshot.index,
            snapshot_members: snapshot.members.clone(),
            members: snapshot.members,
            members_index: snapshot.index,
            learner: None,
            leader: None,
            now,
            election_deadline: now,
            last_contact: None,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            round_starts: BTreeMap::new(),
            round: 0,
            quorum_confirmed_at: None,
            confirmed_round: 0,
            first_leader_round: None,
            next_heartbeat: now,
            own_term_start: Index::MAX,
            pending_proposals: BTreeMap::new(),
            actions: Vec::new(),
            fatal_error: None,
            outgoing_snapshot: None,
            incoming_snapshot: None,
        };
        raft.refresh_members();
        raft.restart_election_timer();
        Ok(raft)
    }

    /// Queues a message with the current term.
    pub(crate) fn send(&mut self, to: &id::Process, body: Body) {
        let message = Message {
            term: self.ballot.term,
            body,
        };
        self.send_message(to, message);
    }

    pub(crate) fn send_message(&mut self, to: &id::Process, message: Message) {
        self.actions.push(Action::Send {
            to: to.clone(),
            message,
        });
    }

    pub(crate) fn peers(&self) -> Vec<id::Process> {
        let mut peers: Vec<id::Process> = self.members.iter().cloned().collect();
        peers.retain(|member| *member != self.own_id);
        peers
    }

    pub(crate) fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    pub(crate) fn is_member(&self) -> bool {
        self.members.contains(&self.own_id)
    }

    /// Draws a new election deadline, one to two election timeouts from now.
    pub(crate) fn restart_election_timer(&mut self) {
        let factor = self.rng.random_range(1.0..2.0);
        self.election_deadline = self.now + self.options.election_timeout.mul_f64(factor);
    }

    /// Persists a ballot; messages that depend on it may only be sent afterwards.
    pub(crate) fn save_ballot(&mut self, ballot: Ballot) {
        if self.ballot == ballot || self.fatal_error.is_some() {
            return;
        }
        match self.storage.save_ballot(&ballot) {
            Ok(()) => self.ballot = ballot,
            Err(error) => self.fatal_error = Some(error),
        }
    }

    /// Persists entries, then appends them to the log in memory.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        if entries.is_empty() || self.fatal_error.is_some() {
            return;
        }
        if let Err(error) = self.storage.append(entries) {
            self.fatal_error = Some(error);
            return;
        }
        let overwrites = entries[0].index <= self.log.last_index();
        self.log.append(entries);
        if overwrites {
            self.refresh_members();
        } else if let Some((index, members)) = latest_members(entries.iter()) {
            self.members = members;
            self.members_index = index;
        }
    }

    /// Sets the members from the last `Members` entry, committed or not, or else from the snapshot.
    pub(crate) fn refresh_members(&mut self) {
        let of_snapshot = || (self.log.snapshot_index(), self.snapshot_members.clone());
        let (index, members) = latest_members(self.log.iter()).unwrap_or_else(of_snapshot);
        self.members = members;
        self.members_index = index;
    }

    /// Advances the commit index, applies the newly committed entries and compacts the log.
    pub(crate) fn commit_to(&mut self, index: Index) {
        self.commit_index = self.commit_index.max(index.min(self.log.last_index()));
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1).cloned() else {
                break;
            };
            self.apply(&entry);
        }
        self.compact();
    }

    fn apply(&mut self, entry: &Entry) {
        self.applied_index = entry.index;
        let effect = self.state.apply(&entry.command);
        let answer = match effect {
            Effect::None => Answer::Done,
            Effect::Configured(outcome, step) => {
                if let Some(step) = step {
                    self.feed
                        .apply(celerycove_config::Update::Steps(vec![step]));
                }
                Answer::Configured(outcome)
            }
            Effect::Placed(changes) => Answer::Placed(changes),
            Effect::Fenced(fence) => Answer::Fenced(fence),
            Effect::Fleet(effect) => Answer::Fleet(effect),
            Effect::Turn(outcome) => Answer::Turn(outcome),
        };
        if let Some(token) = self.pending_proposals.remove(&entry.index) {
            self.actions.push(Action::Answer { token, answer });
        }
    }

    /// Whether a snapshot is to replace the applied entries: there are enough of them, or they take up
    /// half of the log's bytes; the other half is for entries that are not applied yet. While a
    /// follower is being sent a snapshot, the entries that follow it are kept as long as possible.
    fn is_compaction_due(&self) -> bool {
        let start = self.log.snapshot_index();
        let bytes = self.log.bytes_in(start, self.applied_index);
        let max_bytes = match self.outgoing_snapshot {
            Some(_) => self.options.max_log_bytes / 4 * 3,
            None => self.options.max_log_bytes / 2,
        };
        let is_long = self.applied_index - start >= self.options.snapshot_interval;
        is_long || (bytes > 0 && bytes >= max_bytes)
    }

    /// Replaces the applied entries by a snapshot once that is due.
    fn compact(&mut self) {
        if !self.is_compaction_due() || self.fatal_error.is_some() {
            return;
        }
        let Some(term) = self.log.term_at(self.applied_index) else {
            return;
        };
        let members = self.members_at(self.applied_index);
        // The state is moved rather than copied: it may take up much of the instance's memory.
        let snapshot = Snapshot {
            index: self.applied_index,
            term,
            members: members.clone(),
            state: std::mem::take(&mut self.state),
        };
        let tail = self.log.entries_after(self.applied_index);
        let saved = self.storage.save_snapshot(&snapshot, &tail);
        self.state = snapshot.state;
        if let Err(error) = saved {
            self.fatal_error = Some(error);
            return;
        }
        self.log.compact(self.applied_index, term);
        self.snapshot_members = members;
    }

    /// Returns the members as of an entry that is not older than the snapshot.
    pub(crate) fn members_at(&self, index: Index) -> Members {
        let until = self.log.iter().take_while(|entry| entry.index <= index);
        latest_members(until).map_or_else(|| self.snapshot_members.clone(), |(_, members)| members)
    }

    /// Replaces the log and the state with a leader's snapshot.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot) {
        if snapshot.index <= self.commit_index || self.fatal_error.is_some() {
            return;
        }
        let log_matches = self.log.term_at(snapshot.index) == Some(snapshot.term);
        let tail = if log_matches {
            self.log.entries_after(snapshot.index)
        } else {
            Vec::new()
        };
        if let Err(error) = self.storage.save_snapshot(&snapshot, &tail) {
            self.fatal_error = Some(error);
            return;
        }
        self.log = Log::new(snapshot.index, snapshot.term, tail);
        self.feed.apply(celerycove_config::Update::Whole(Box::new(
            snapshot.state.store.config.clone(),
        )));
        self.state = snapshot.state;
        self.snapshot_members = snapshot.members;
        self.commit_index = snapshot.index;
        self.applied_index = snapshot.index;
        self.refresh_members();
    }

    /// Answers all pending proposals with [`Answer::Unknown`]: they may or may not be committed
    /// later.
    pub(crate) fn abandon_pending_proposals(&mut self) {
        for token in std::mem::take(&mut self.pending_proposals).into_values() {
            self.actions.push(Action::Answer {
                token,
                answer: Answer::Unknown,
            });
        }
    }
}

/// Returns the members from the last `Members` entry, and its index.
fn latest_members<'a>(entries: impl Iterator<Item = &'a Entry>) -> Option<(Index, Members)> {
    let changes = entries.filter_map(|entry| match &entry.command {
        Command::Members(members) => Some((entry.index, members)),
        _ => None,
    });
    changes
        .last()
        .map(|(index, members)| (index, members.clone()))
}
