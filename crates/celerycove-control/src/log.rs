//! Entries of the control log and the part of it that is kept in memory.

use std::collections::{BTreeSet, VecDeque};

use celerycove_config::Proposal;
use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::placement;

/// Counts elections.
pub type Term = u64;
/// The position of an entry, from 1.
pub type Index = u64;
/// The instances that agree on the log.
pub type Members = BTreeSet<id::Process>;

/// What an entry does to the state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Nothing.
    Noop,
    /// Replaces the members; takes hold when appended. A new leader states them with its first entry,
    /// which also commits the entries before it.
    Members(Members),
    /// Judges a proposal of an operator.
    Configure(Proposal),
    /// Moves shards; each change names the epoch that it was made for.
    Place(Vec<placement::Change>),
    /// Takes the next fencing number.
    Fence,
    /// Changes the agreed state of a directly routed fleet.
    Fleet(celerycove_fleet::Command),
    /// Begins or ends a turn.
    Turn(celerycove_turn::Command),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that appended it.
    pub term: Term,
    /// Its position.
    pub index: Index,
    /// What it does.
    pub command: Command,
}

/// The entries after the snapshot.
#[derive(Debug, Clone, Default)]
pub struct Log {
    base: Index,
    base_term: Term,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Starts a log after a snapshot of the entries up to `base`.
    #[must_use]
    pub fn new(base: Index, base_term: Term, entries: Vec<Entry>) -> Self {
        let entries = entries.into_iter().filter(|e| e.index > base).collect();
        Self {
            base,
            base_term,
            entries,
        }
    }

    /// The position of the last entry.
    #[must_use]
    pub fn last_index(&self) -> Index {
        self.entries.back().map_or(self.base, |entry| entry.index)
    }

    /// The term of the last entry.
    #[must_use]
    pub fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// The position up to which entries are only in the snapshot.
    #[must_use]
    pub fn base(&self) -> Index {
        self.base
    }

    /// The term at a position, if it is known.
    #[must_use]
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at a position, if it is in memory.
    #[must_use]
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// At most `limit` entries from a position on.
    #[must_use]
    pub fn slice(&self, from: Index, limit: usize) -> Vec<Entry> {
        (from..=self.last_index())
            .take(limit)
            .filter_map(|index| self.get(index).cloned())
            .collect()
    }

    /// All entries in memory.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Appends entries, cutting the log first where they overlap it.
    pub fn append(&mut self, entries: &[Entry]) {
        for entry in entries {
            while self.last_index() >= entry.index && !self.entries.is_empty() {
                self.entries.pop_back();
            }
            self.entries.push_back(entry.clone());
        }
    }

    /// Forgets the entries up to `base`, which a snapshot holds now.
    pub fn compact(&mut self, base: Index, base_term: Term) {
        while self.entries.front().is_some_and(|e| e.index <= base) {
            self.entries.pop_front();
        }
        self.base = base;
        self.base_term = base_term;
    }
}
