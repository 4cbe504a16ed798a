//! The directory of known processes, replicated to followers by deltas.

use std::{collections::BTreeMap, time::Duration};

use celerycove_types::{Timestamp, id};
use serde::{Deserialize, Serialize};

use crate::announce::Announcement;

/// The term of the control leader that maintains the directory; sequence numbers are comparable
/// only within one term.
pub type Term = u64;
/// The number of a change to the directory.
pub type Sequence = u64;

/// The directory entry of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The change that last modified the entry.
    pub sequence: Sequence,
    /// The latest announcement of the process.
    pub announcement: Announcement,
    /// Whether the process has timed out.
    pub gone: bool,
}

/// The changes to a directory after a sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Delta {
    /// The term of the directory.
    pub term: Term,
    /// The newest change.
    pub sequence: Sequence,
    /// Whether `entries` holds the complete directory instead of only the changed entries.
    pub whole: bool,
    /// The entries that changed.
    pub entries: Vec<Entry>,
}

/// The known processes. The control leader maintains the authoritative directory; other processes
/// hold copies.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    term: Term,
    sequence: Sequence,
    entries: BTreeMap<id::Process, Entry>,
    contacts: BTreeMap<id::Process, Contact>,
    /// When each process last pulled from the leader.
    last_pulls: BTreeMap<id::Process, Timestamp>,
}

/// The time of a process's last announcement, and the process that forwarded it.
#[derive(Debug, Clone, Default)]
struct Contact {
    at: Timestamp,
    /// `None` once the forwarder has reported the process as silent.
    via: Option<id::Process>,
}

impl Directory {
    /// Turns a copy into the authoritative directory of a new control leader.
    ///
    /// The entries stay, and each process gets the full timeout to announce itself again.
    pub fn begin_term(&mut self, term: Term, now: Timestamp) {
        self.term = term;
        self.sequence += 1;
        let sequence = self.sequence;
        self.last_pulls.clear();
        for (process, entry) in &mut self.entries {
            entry.sequence = sequence;
            let at = now;
            self.contacts
                .insert(process.clone(), Contact { at, via: None });
        }
    }

    /// Records an announcement that was forwarded by `via`.
    pub fn record_announcement(
        &mut self,
        announcement: &Announcement,
        via: &id::Process,
        now: Timestamp,
    ) {
        let known = self.entries.get(&announcement.process);
        if known.is_some_and(|entry| entry.announcement.incarnation > announcement.incarnation) {
            return;
        }
        let contact = Contact {
            at: now,
            via: Some(via.clone()),
        };
        self.contacts.insert(announcement.process.clone(), contact);
        let is_changed =
            known.is_none_or(|entry| entry.gone || announcement.is_newer(&entry.announcement));
        if is_changed {
            self.upsert(announcement.clone(), false);
        }
    }

    /// Records a pull by a relay, which counts as contact with every process whose announcements it
    /// forwarded.
    pub fn record_pull(&mut self, relay: &id::Process, now: Timestamp) {
        self.last_pulls.insert(relay.clone(), now);
    }

    /// Records a relay's report that a process whose announcements it forwarded is silent.
    ///
    /// Pulls by the relay no longer count as contact with that process.
    pub fn record_silence(&mut self, process: &id::Process, via: &id::Process) {
        if let Some(contact) = self.contacts.get_mut(process)
            && contact.via.as_ref() == Some(via)
        {
            contact.via = None;
        }
    }

    fn last_contact(&self, process: &id::Process) -> Timestamp {
        let Some(contact) = self.contacts.get(process) else {
            return Timestamp::ZERO;
        };
        let forwarder_pull = contact
            .via
            .as_ref()
            .and_then(|via| self.last_pulls.get(via));
        contact.at.max(forwarder_pull.copied().unwrap_or_default())
    }

    /// Marks the processes without contact for `timeout` as gone, and removes those without contact
    /// for ten times as long.
    pub fn expire(&mut self, now: Timestamp, timeout: Duration) {
        let is_overdue = |last_contact: Timestamp, limit| now >= last_contact + limit;
        let gone: Vec<Announcement> = self
            .entries
            .iter()
            .filter(|(process, entry)| {
                !entry.gone && is_overdue(self.last_contact(process), timeout)
            })
            .map(|(_, entry)| entry.announcement.clone())
            .collect();
        for announcement in gone {
            self.upsert(announcement, true);
        }
        let removed: Vec<id::Process> = self
            .entries
            .iter()
            .filter(|(process, entry)| {
                entry.gone && is_overdue(self.last_contact(process), timeout * 10)
            })
            .map(|(process, _)| process.clone())
            .collect();
        for process in removed {
            self.entries.remove(&process);
            self.contacts.remove(&process);
        }
        self.last_pulls
            .retain(|_, at| !is_overdue(*at, timeout * 10));
    }

    fn upsert(&mut self, announcement: Announcement, gone: bool) {
        self.sequence += 1;
        let entry = Entry {
            sequence: self.sequence,
            announcement: announcement.clone(),
            gone,
        };
        self.entries.insert(announcement.process, entry);
    }

    /// Returns the changes for a copy that is up to date to `sequence` of `term`.
    #[must_use]
    pub fn since(&self, term: Term, sequence: Sequence) -> Delta {
        let whole = term != self.term;
        let after = if whole { 0 } else { sequence };
        // Most copies are up to date and must not cost a scan of all entries.
        let entries = if after >= self.sequence {
            Vec::new()
        } else {
            let changed = self.entries.values().filter(|e| e.sequence > after);
            changed.cloned().collect()
        };
        Delta {
            term: self.term,
            sequence: self.sequence,
            whole,
            entries,
        }
    }

    /// Applies a delta to a copy.
    ///
    /// Entries from an earlier leader stay until the new leader marks them as gone, so that a
    /// change of leader does not empty the directory.
    pub fn merge(&mut self, delta: Delta) {
        if delta.term < self.term || (delta.term == self.term && delta.sequence < self.sequence) {
            return;
        }
        self.term = delta.term;
        self.sequence = delta.sequence;
        for entry in delta.entries {
            let process = entry.announcement.process.clone();
            let is_outdated = self.entries.get(&process).is_some_and(|known| {
                known.announcement.incarnation > entry.announcement.incarnation
            });
            if !is_outdated {
                self.entries.insert(process, entry);
            }
        }
    }

    /// Returns the term and the number of the newest change.
    #[must_use]
    pub fn position(&self) -> (Term, Sequence) {
        (self.term, self.sequence)
    }

    /// Returns the processes that are not gone, in the order of their ids.
    pub fn live(&self) -> impl Iterator<Item = &Announcement> {
        self.entries
            .values()
            .filter(|entry| !entry.gone)
            .map(|entry| &entry.announcement)
    }

    /// Returns all processes, and whether each is gone.
    pub fn all(&self) -> impl Iterator<Item = (&Announcement, bool)> {
        self.entries
            .values()
            .map(|entry| (&entry.announcement, entry.gone))
    }

    /// Returns the announcement of a process that is not gone.
    #[must_use]
    pub fn get(&self, process: &id::Process) -> Option<&Announcement> {
        self.entries
            .get(process)
            .filter(|entry| !entry.gone)
            .map(|entry| &entry.announcement)
    }

    /// Returns the sidecar process of a backend server.
    #[must_use]
    pub fn sidecar_of(&self, backend: &id::Backend) -> Option<&id::Process> {
        self.live()
            .find(|a| {
                a.backend
                    .as_ref()
                    .is_some_and(|announced| announced.id == *backend)
            })
            .map(|announcement| &announcement.process)
    }

    /// Returns whether a process is known to be gone or to have restarted since `incarnation`.
    #[must_use]
    pub fn has_ended(&self, process: &id::Process, incarnation: id::Incarnation) -> bool {
        self.entries
            .get(process)
            .is_some_and(|entry| entry.gone || entry.announcement.incarnation > incarnation)
    }
}
