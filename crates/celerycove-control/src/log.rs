//! Commands and entries of the control log, and the entries kept in memory after the latest
//! snapshot.

use std::{
    collections::{BTreeSet, VecDeque},
    io,
};

use celerycove_config::Proposal;
use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::placement;

/// A Raft term: the number of an election.
pub type Term = u64;
/// The position of an entry in the log, starting at 1.
pub type Index = u64;
/// The instances that agree on the log.
pub type Members = BTreeSet<id::Process>;

/// A command of the replicated state machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing.
    Noop,
    /// Replaces the members as soon as it is appended. A new leader repeats the current members in
    /// the first entry of its term, which also commits the entries of earlier terms.
    Members(Members),
    /// Accepts or rejects an operator's proposal to change the configuration.
    Configure(Proposal),
    /// Changes shard assignments; each applies only if its epoch follows the shard's current one.
    Place(Vec<placement::Change>),
    /// Allocates the next fencing number.
    Fence,
    /// Changes the replicated state of a directly routed fleet.
    Fleet(celerycove_fleet::Command),
    /// Begins or ends a turn.
    Turn(celerycove_turn::Command),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that appended it.
    pub term: Term,
    /// The entry's position.
    pub index: Index,
    /// The command to apply once the entry is committed.
    pub command: Command,
}

impl Entry {
    /// The size of the entry on the disk in bytes, without the record's header.
    #[must_use]
    pub fn encoded_bytes(&self) -> u64 {
        encoded_bytes(self)
    }
}

impl Command {
    /// The size of the encoded command in bytes.
    #[must_use]
    pub fn encoded_bytes(&self) -> u64 {
        encoded_bytes(self)
    }
}

fn encoded_bytes(value: &impl Serialize) -> u64 {
    let mut counter = ByteCounter::default();
    // Writing to a counter can't fail; an entry that can't be encoded halts the instance when it is
    // appended to the storage.
    let _ = rmp_serde::encode::write_named(&mut counter, value);
    counter.0
}

/// Counts the bytes written to it.
#[derive(Debug, Default)]
struct ByteCounter(u64);

impl io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// How much a [`Log`] holds in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Usage {
    /// The number of entries.
    pub entries: usize,
    /// The sum of their [`Entry::encoded_bytes`].
    pub bytes: u64,
}

/// The entries after the latest snapshot.
#[derive(Debug, Clone, Default)]
pub struct Log {
    snapshot_index: Index,
    snapshot_term: Term,
    entries: VecDeque<Stored>,
}

/// An entry and its place in the sequence of all encoded entries.
#[derive(Debug, Clone)]
struct Stored {
    entry: Entry,
    /// Where the encoded entry ends, counted from the log's first entry since the start.
    end: u64,
    /// The size of the encoded entry.
    bytes: u64,
}

impl Log {
    /// Creates a log that follows a snapshot of the entries up to `snapshot_index`.
    #[must_use]
    pub fn new(snapshot_index: Index, snapshot_term: Term, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            snapshot_index,
            snapshot_term,
            entries: VecDeque::new(),
        };
        let after_snapshot = entries.into_iter().filter(|e| e.index > snapshot_index);
        after_snapshot.for_each(|entry| log.push(entry));
        log
    }

    fn push(&mut self, entry: Entry) {
        let bytes = entry.encoded_bytes();
        let end = self.entries.back().map_or(0, |last| last.end) + bytes;
        self.entries.push_back(Stored { entry, end, bytes });
    }

    /// How much the log holds in memory.
    #[must_use]
    pub fn usage(&self) -> Usage {
        Usage {
            entries: self.entries.len(),
            bytes: self.bytes_in(self.snapshot_index, self.last_index()),
        }
    }

    /// The size in bytes of the entries after `previous` and up to `last` that are in memory.
    #[must_use]
    pub fn bytes_in(&self, previous: Index, last: Index) -> u64 {
        let end_of = |index: Index| self.stored(index).map(|stored| stored.end);
        let start = match self.entries.front() {
            Some(first) => end_of(previous).unwrap_or(first.end - first.bytes),
            None => return 0,
        };
        end_of(last).map_or(0, |end| end.saturating_sub(start))
    }

    /// The position of the last entry.
    #[must_use]
    pub fn last_index(&self) -> Index {
        self.entries
            .back()
            .map_or(self.snapshot_index, |last| last.entry.index)
    }

    /// The term of the last entry.
    #[must_use]
    pub fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.snapshot_term, |last| last.entry.term)
    }

    /// The position of the last entry that the snapshot includes.
    #[must_use]
    pub fn snapshot_index(&self) -> Index {
        self.snapshot_index
    }

    /// The term at a position, or `None` outside the log in memory.
    #[must_use]
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot_index {
            return Some(self.snapshot_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at a position, if it is in memory.
    #[must_use]
    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.stored(index).map(|stored| &stored.entry)
    }

    fn stored(&self, index: Index) -> Option<&Stored> {
        let offset = index.checked_sub(self.snapshot_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from a position on: at most `limit`, and after the first only as many as
    /// fit in `max_bytes` together.
    #[must_use]
    pub fn slice(&self, from: Index, limit: usize, max_bytes: u64) -> Vec<Entry> {
        let previous = from.saturating_sub(1);
        (from..=self.last_index())
            .take(limit)
            .take_while(|index| *index == from || self.bytes_in(previous, *index) <= max_bytes)
            .filter_map(|index| self.get(index).cloned())
            .collect()
    }

    /// Returns all entries after a position.
    #[must_use]
    pub fn entries_after(&self, index: Index) -> Vec<Entry> {
        self.slice(index + 1, usize::MAX, u64::MAX)
    }

    /// All entries in memory.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().map(|stored| &stored.entry)
    }

    /// Appends entries, truncating the log first where they overlap it.
    pub fn append(&mut self, entries: &[Entry]) {
        for entry in entries {
            while self.last_index() >= entry.index && !self.entries.is_empty() {
                self.entries.pop_back();
            }
            self.push(entry.clone());
        }
    }

    /// Drops the entries up to `snapshot_index`, which a new snapshot includes.
    pub fn compact(&mut self, snapshot_index: Index, snapshot_term: Term) {
        while self
            .entries
            .front()
            .is_some_and(|first| first.entry.index <= snapshot_index)
        {
            self.entries.pop_front();
        }
        self.snapshot_index = snapshot_index;
        self.snapshot_term = snapshot_term;
    }
}
