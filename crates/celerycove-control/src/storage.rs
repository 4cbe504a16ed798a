//! The durable storage that the control log requires.

use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::{
    log::{Entry, Index, Members, Term},
    state::State,
};

/// The state after all entries up to `index`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The position of the last entry included.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The members as of that entry.
    pub members: Members,
    /// The state after that entry.
    pub state: State,
}

/// The term and vote, which must be durable before any message that depends on them is sent.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Ballot {
    /// The latest term seen.
    pub term: Term,
    /// The candidate that received this instance's vote in that term.
    pub vote: Option<id::Process>,
    /// Whether the instance may vote. An instance that starts with an empty disk may not until a
    /// leader has brought it up to date, as it may have lost the record of a vote.
    pub voter: bool,
}

/// The persisted data that is loaded at start.
#[derive(Debug, Clone, Default)]
pub struct PersistentState {
    /// The ballot, or `None` if none was ever saved.
    pub ballot: Option<Ballot>,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// A failed read or write, or a snapshot that can't be encoded or decoded; the instance halts.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("could not {operation} the control log: {cause}")]
pub struct Error {
    /// The failed operation, as a verb phrase that precedes "the control log".
    pub operation: &'static str,
    /// The underlying error.
    pub cause: String,
}

/// Durable storage; each call returns only once its data is synced.
pub trait Storage: Send {
    /// Reads what was saved before the last restart.
    ///
    /// # Errors
    ///
    /// Returns an error if the files can't be read, or if they are corrupt anywhere but in an
    /// incomplete last record.
    fn load(&mut self) -> Result<PersistentState, Error>;

    /// Saves the term and the vote.
    ///
    /// # Errors
    ///
    /// Returns an error unless the ballot is synced.
    fn save_ballot(&mut self, ballot: &Ballot) -> Result<(), Error>;

    /// Appends entries, replacing all existing ones at the same positions and later.
    ///
    /// # Errors
    ///
    /// Returns an error unless the entries are synced.
    fn append(&mut self, entries: &[Entry]) -> Result<(), Error>;

    /// Saves a snapshot and replaces the stored entries with `tail`, the ones after it.
    ///
    /// # Errors
    ///
    /// Returns an error unless the snapshot is synced.
    fn save_snapshot(&mut self, snapshot: &Snapshot, tail: &[Entry]) -> Result<(), Error>;
}
