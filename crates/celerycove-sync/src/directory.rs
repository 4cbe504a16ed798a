//! The processes known, so that a follower can be sent only what changed.

use std::{collections::BTreeMap, time::Duration};

use celerycove_types::{Timestamp, id};
use serde::{Deserialize, Serialize};

use crate::announce::Announcement;

/// Names one life of a directory: its control leader's term.
pub type Term = u64;
/// Counts the changes of a directory.
pub type Sequence = u64;

/// One process as the directory has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The change that brought the entry here.
    pub sequence: Sequence,
    /// The latest announcement.
    pub announcement: Announcement,
    /// Whether the process is silent or has gone.
    pub gone: bool,
}

/// What changed in a directory after a sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Delta {
    /// The directory's life.
    pub term: Term,
    /// The newest change.
    pub sequence: Sequence,
    /// Whether the entries are all there are.
    pub whole: bool,
    /// The entries that changed.
    pub entries: Vec<Entry>,
}

/// The processes known. Its authority is the control leader; others hold copies.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    term: Term,
    sequence: Sequence,
    entries: BTreeMap<id::Process, Entry>,
    heard: BTreeMap<id::Process, Heard>,
    relays: BTreeMap<id::Process, Timestamp>,
}

/// When a process was heard, and through whom.
#[derive(Debug, Clone, Default)]
struct Heard {
    at: Timestamp,
    via: Option<id::Process>,
}

impl Directory {
    /// Starts the directory of a new control leader: what it knew as a copy stays until each
    /// process had time to announce itself again.
    pub fn begin(&mut self, term: Term, now: Timestamp) {
        self.term = term;
        self.sequence += 1;
        let sequence = self.sequence;
        self.relays.clear();
        for (process, entry) in &mut self.entries {
            entry.sequence = sequence;
            let at = now;
            self.heard.insert(process.clone(), Heard { at, via: None });
        }
    }

    /// Takes an announcement in that came through `via`.
    pub fn hear(&mut self, announcement: &Announcement, via: &id::Process, now: Timestamp) {
        let known = self.entries.get(&announcement.process);
        if known.is_some_and(|entry| entry.announcement.incarnation > announcement.incarnation) {
            return;
        }
        let heard = Heard {
            at: now,
            via: Some(via.clone()),
        };
        self.heard.insert(announcement.process.clone(), heard);
        let fresh =
            known.is_none_or(|entry| entry.gone || announcement.is_newer(&entry.announcement));
        if fresh {
            self.put(announcement.clone(), false);
        }
    }

    /// Notes that a relay spoke, which vouches for all processes heard through it.
    pub fn hear_relay(&mut self, relay: &id::Process, now: Timestamp) {
        self.relays.insert(relay.clone(), now);
    }

    /// Takes a relay's word that a process which it vouched for is silent.
    pub fn miss(&mut self, process: &id::Process, via: &id::Process) {
        if let Some(heard) = self.heard.get_mut(process)
            && heard.via.as_ref() == Some(via)
        {
            heard.via = None;
        }
    }

    fn last_heard(&self, process: &id::Process) -> Timestamp {
        let Some(heard) = self.heard.get(process) else {
            return Timestamp::ZERO;
        };
        let vouched = heard.via.as_ref().and_then(|via| self.relays.get(via));
        heard.at.max(vouched.copied().unwrap_or_default())
    }

    /// Marks the processes as gone that were silent for `timeout`, and drops those silent for ten
    /// times as long.
    pub fn expire(&mut self, now: Timestamp, timeout: Duration) {
        let silent = |heard: Timestamp, limit| now >= heard + limit;
        let gone: Vec<Announcement> = self
            .entries
            .iter()
            .filter(|(process, entry)| !entry.gone && silent(self.last_heard(process), timeout))
            .map(|(_, entry)| entry.announcement.clone())
            .collect();
        for announcement in gone {
            self.put(announcement, true);
        }
        let dropped: Vec<id::Process> = self
            .entries
            .iter()
            .filter(|(process, entry)| entry.gone && silent(self.last_heard(process), timeout * 10))
            .map(|(process, _)| process.clone())
            .collect();
        for process in dropped {
            self.entries.remove(&process);
            self.heard.remove(&process);
        }
        self.relays.retain(|_, at| !silent(*at, timeout * 10));
    }

    fn put(&mut self, announcement: Announcement, gone: bool) {
        self.sequence += 1;
        let entry = Entry {
            sequence: self.sequence,
            announcement: announcement.clone(),
            gone,
        };
        self.entries.insert(announcement.process, entry);
    }

    /// What a copy lacks that has everything up to `sequence` of `term`.
    #[must_use]
    pub fn since(&self, term: Term, sequence: Sequence) -> Delta {
        let whole = term != self.term;
        let after = if whole { 0 } else { sequence };
        // Most copies lack nothing; they must not cost a look at every process.
        let entries = if after >= self.sequence {
            Vec::new()
        } else {
            let newer = self.entries.values().filter(|e| e.sequence > after);
            newer.cloned().collect()
        };
        Delta {
            term: self.term,
            sequence: self.sequence,
            whole,
            entries,
        }
    }

    /// Brings a copy up to date. Entries of an earlier leader stay until the new one says that
    /// they are gone, so that a change of leader empties nothing.
    pub fn merge(&mut self, delta: Delta) {
        if delta.term < self.term || (delta.term == self.term && delta.sequence < self.sequence) {
            return;
        }
        self.term = delta.term;
        self.sequence = delta.sequence;
        for entry in delta.entries {
            let process = entry.announcement.process.clone();
            let older = self.entries.get(&process).is_some_and(|known| {
                known.announcement.incarnation > entry.announcement.incarnation
            });
            if !older {
                self.entries.insert(process, entry);
            }
        }
    }

    /// The term and the newest change.
    #[must_use]
    pub fn position(&self) -> (Term, Sequence) {
        (self.term, self.sequence)
    }

    /// The processes that are not gone, by id.
    pub fn live(&self) -> impl Iterator<Item = &Announcement> {
        self.entries
            .values()
            .filter(|entry| !entry.gone)
            .map(|entry| &entry.announcement)
    }

    /// All processes with whether each is gone.
    pub fn all(&self) -> impl Iterator<Item = (&Announcement, bool)> {
        self.entries
            .values()
            .map(|entry| (&entry.announcement, entry.gone))
    }

    /// A process that is not gone.
    #[must_use]
    pub fn get(&self, process: &id::Process) -> Option<&Announcement> {
        self.entries
            .get(process)
            .filter(|entry| !entry.gone)
            .map(|entry| &entry.announcement)
    }

    /// The process beside a backend server.
    #[must_use]
    pub fn beside(&self, backend: &id::Backend) -> Option<&id::Process> {
        self.live()
            .find(|a| a.backend.as_ref().is_some_and(|own| own.id == *backend))
            .map(|announcement| &announcement.process)
    }

    /// Tells whether a process is known to be gone or to have restarted since `incarnation`.
    #[must_use]
    pub fn is_over(&self, process: &id::Process, incarnation: id::Incarnation) -> bool {
        self.entries
            .get(process)
            .is_some_and(|entry| entry.gone || entry.announcement.incarnation > incarnation)
    }
}
