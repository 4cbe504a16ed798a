//! What the control log needs of a disk.

use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::{
    log::{Entry, Index, Members, Term},
    state::State,
};

/// The state after all entries up to `index`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry included.
    pub index: Index,
    /// Its term.
    pub term: Term,
    /// The members as of that entry.
    pub members: Members,
    /// The state.
    pub state: State,
}

/// The term and vote, which must survive before they are acted upon.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Ballot {
    /// The latest term seen.
    pub term: Term,
    /// Who got the vote in that term.
    pub vote: Option<id::Process>,
    /// Whether the instance may vote: false from an empty disk until a leader has caught it up.
    pub voter: bool,
}

/// What is found at start.
#[derive(Debug, Clone, Default)]
pub struct Durable {
    /// The ballot, if one was ever saved.
    pub ballot: Option<Ballot>,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// A failed save or load; the instance steps aside.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("could not {attempt} the control log: {cause}")]
pub struct Error {
    /// What was attempted, as a verb.
    pub attempt: &'static str,
    /// Why it failed.
    pub cause: String,
}

/// Keeps what must survive; each call returns only when its data is synced.
pub trait Storage: Send {
    /// Reads what an earlier life saved.
    ///
    /// # Errors
    ///
    /// Returns an error if the files can't be read or are corrupt other than by a torn tail.
    fn load(&mut self) -> Result<Durable, Error>;

    /// Saves term and vote.
    ///
    /// # Errors
    ///
    /// Returns an error unless the ballot is synced.
    fn save_ballot(&mut self, ballot: &Ballot) -> Result<(), Error>;

    /// Appends entries; they replace any at their positions and after.
    ///
    /// # Errors
    ///
    /// Returns an error unless the entries are synced.
    fn append(&mut self, entries: &[Entry]) -> Result<(), Error>;

    /// Saves a snapshot and keeps only `tail` of the entries.
    ///
    /// # Errors
    ///
    /// Returns an error unless the snapshot is synced.
    fn save_snapshot(&mut self, snapshot: &Snapshot, tail: &[Entry]) -> Result<(), Error>;
}
