//! What an instance of the control log holds, whatever its role.

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
    storage::{Ballot, Error, Snapshot, Storage},
    transfer::{Incoming, Outgoing, Position},
};

/// What a leader knows of a follower.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    pub(crate) matched: Index,
    /// Whether it said that it has a vote.
    pub(crate) voter: bool,
    pub(crate) next: Index,
    pub(crate) round: Round,
    pub(crate) sent: Timestamp,
    /// When entries were sent from where the logs may agree. Until that is answered, or is late,
    /// no others are sent.
    pub(crate) probing: Option<Timestamp>,
    /// How much of a snapshot it holds, while it is sent one.
    pub(crate) installing: Option<Position>,
    /// Answers to earlier rounds may come from a life before the follower lost its disk.
    pub(crate) valid_from: Round,
}

impl Progress {
    /// Notes an answer: its round, and whether the follower has a vote.
    pub(crate) fn note(&mut self, round: Round, voter: bool) {
        self.round = self.round.max(round);
        self.voter = voter;
    }
}

pub(crate) struct Core {
    pub(crate) me: id::Process,
    pub(crate) options: Options,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) storage: Box<dyn Storage>,
    pub(crate) ballot: Ballot,
    pub(crate) log: Log,
    pub(crate) state: State,
    pub(crate) feed: Feed,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    pub(crate) base_members: Members,
    pub(crate) members: Members,
    pub(crate) leader: Option<id::Process>,
    pub(crate) now: Timestamp,
    pub(crate) election_due: Timestamp,
    pub(crate) heard: Option<Timestamp>,
    pub(crate) votes: BTreeSet<id::Process>,
    pub(crate) progress: BTreeMap<id::Process, Progress>,
    pub(crate) rounds: BTreeMap<Round, Timestamp>,
    pub(crate) round: Round,
    pub(crate) confirmed: Option<Timestamp>,
    /// The latest round that a quorum of voters has answered, for a leader.
    pub(crate) confirmed_round: Round,
    /// The first round that an instance without a vote heard of the leader of a term.
    pub(crate) first_heard: Option<(Term, Round)>,
    pub(crate) heartbeat_due: Timestamp,
    pub(crate) led_since: Index,
    pub(crate) waiting: BTreeMap<Index, Token>,
    pub(crate) actions: Vec<Action>,
    pub(crate) failed: Option<Error>,
    /// The snapshot that is sent to followers.
    pub(crate) outgoing: Option<Outgoing>,
    /// The snapshot that a leader is sending.
    pub(crate) incoming: Option<Incoming>,
}

impl Core {
    pub(crate) fn open(
        me: id::Process,
        bootstrap: Option<Members>,
        mut storage: Box<dyn Storage>,
        options: Options,
        seed: u64,
        now: Timestamp,
    ) -> Result<Self, Error> {
        let durable = storage.load()?;
        let first = durable.ballot.is_none();
        let ballot = durable.ballot.unwrap_or(Ballot {
            voter: bootstrap.is_some(),
            ..Ballot::default()
        });
        let snapshot = durable.snapshot.unwrap_or_else(|| Snapshot {
            index: 0,
            term: 0,
            members: bootstrap.unwrap_or_default(),
            state: State::default(),
        });
        if first && ballot.voter {
            storage.save_snapshot(&snapshot, &[])?;
            storage.save_ballot(&ballot)?;
        }
        let mut core = Self {
            me,
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            storage,
            ballot,
            log: Log::new(snapshot.index, snapshot.term, durable.entries),
            feed: Feed::new(snapshot.state.store.config.clone()),
            state: snapshot.state,
            commit: snapshot.index,
            applied: snapshot.index,
            base_members: snapshot.members.clone(),
            members: snapshot.members,
            leader: None,
            now,
            election_due: now,
            heard: None,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            rounds: BTreeMap::new(),
            round: 0,
            confirmed: None,
            confirmed_round: 0,
            first_heard: None,
            heartbeat_due: now,
            led_since: Index::MAX,
            waiting: BTreeMap::new(),
            actions: Vec::new(),
            failed: None,
            outgoing: None,
            incoming: None,
        };
        core.refresh_members();
        core.restart_election_timer();
        Ok(core)
    }

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

    pub(crate) fn others(&self) -> Vec<id::Process> {
        let mut others: Vec<id::Process> = self.members.iter().cloned().collect();
        others.retain(|member| *member != self.me);
        others
    }

    pub(crate) fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    pub(crate) fn is_member(&self) -> bool {
        self.members.contains(&self.me)
    }

    pub(crate) fn restart_election_timer(&mut self) {
        let spread = self.rng.random_range(1.0..2.0);
        self.election_due = self.now + self.options.election.mul_f64(spread);
    }

    /// Saves a ballot before anything that follows from it may be sent.
    pub(crate) fn save_ballot(&mut self, ballot: Ballot) {
        if self.ballot == ballot || self.failed.is_some() {
            return;
        }
        match self.storage.save_ballot(&ballot) {
            Ok(()) => self.ballot = ballot,
            Err(error) => self.failed = Some(error),
        }
    }

    /// Syncs entries, then takes them into the log.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        if entries.is_empty() || self.failed.is_some() {
            return;
        }
        if let Err(error) = self.storage.append(entries) {
            self.failed = Some(error);
            return;
        }
        let replaces = entries[0].index <= self.log.last_index();
        self.log.append(entries);
        if replaces {
            self.refresh_members();
        } else if let Some(members) = last_members(entries.iter()) {
            self.members = members;
        }
    }

    /// Takes the members from the last entry that names them, committed or not.
    pub(crate) fn refresh_members(&mut self) {
        let latest = last_members(self.log.iter());
        self.members = latest.unwrap_or_else(|| self.base_members.clone());
    }

    pub(crate) fn commit_to(&mut self, index: Index) {
        self.commit = self.commit.max(index.min(self.log.last_index()));
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else {
                break;
            };
            self.apply(&entry);
        }
        self.compact();
    }

    fn apply(&mut self, entry: &Entry) {
        self.applied = entry.index;
        let effect = self.state.apply(&entry.command);
        let answer = match effect {
            Effect::None => Answer::Done,
            Effect::Configured(outcome, step) => {
                if let Some(step) = step {
                    self.feed
                        .update(celerycove_config::Update::Steps(vec![step]));
                }
                Answer::Configured(outcome)
            }
            Effect::Placed(changes) => Answer::Placed(changes),
            Effect::Fenced(fence) => Answer::Fenced(fence),
            Effect::Fleet(effect) => Answer::Fleet(effect),
            Effect::Turn(outcome) => Answer::Turn(outcome),
        };
        if let Some(token) = self.waiting.remove(&entry.index) {
            self.actions.push(Action::Answer { token, answer });
        }
    }

    fn compact(&mut self) {
        let behind = self.applied - self.log.base();
        if behind < self.options.snapshot_after || self.failed.is_some() {
            return;
        }
        let Some(term) = self.log.term_at(self.applied) else {
            return;
        };
        let members = self.members_at(self.applied);
        let snapshot = Snapshot {
            index: self.applied,
            term,
            members: members.clone(),
            state: self.state.clone(),
        };
        let tail = self.log.slice(self.applied + 1, usize::MAX);
        if let Err(error) = self.storage.save_snapshot(&snapshot, &tail) {
            self.failed = Some(error);
            return;
        }
        self.log.compact(snapshot.index, term);
        self.base_members = members;
    }

    fn members_at(&self, index: Index) -> Members {
        let until = self.log.iter().take_while(|entry| entry.index <= index);
        last_members(until).unwrap_or_else(|| self.base_members.clone())
    }

    /// Replaces log and state by a leader's snapshot.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        if snapshot.index <= self.commit || self.failed.is_some() {
            return;
        }
        let agrees = self.log.term_at(snapshot.index) == Some(snapshot.term);
        let tail = if agrees {
            self.log.slice(snapshot.index + 1, usize::MAX)
        } else {
            Vec::new()
        };
        if let Err(error) = self.storage.save_snapshot(&snapshot, &tail) {
            self.failed = Some(error);
            return;
        }
        self.log = Log::new(snapshot.index, snapshot.term, tail);
        self.feed.update(celerycove_config::Update::Whole(Box::new(
            snapshot.state.store.config.clone(),
        )));
        self.state = snapshot.state;
        self.base_members = snapshot.members;
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.refresh_members();
    }

    /// Tells those who wait that their command may or may not be committed later.
    pub(crate) fn abandon_waiting(&mut self) {
        for token in std::mem::take(&mut self.waiting).into_values() {
            self.actions.push(Action::Answer {
                token,
                answer: Answer::Unknown,
            });
        }
    }
}

/// The members that the last entry to name any names.
fn last_members<'a>(entries: impl Iterator<Item = &'a Entry>) -> Option<Members> {
    let named = entries.filter_map(|entry| match &entry.command {
        Command::Members(members) => Some(members),
        _ => None,
    });
    named.last().cloned()
}
