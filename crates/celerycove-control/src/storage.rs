//! The durable storage that the control log requires.

use std::fmt;

use bytes::{Bytes, BytesMut};
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

/// A failed read or write, or a snapshot that can't be encoded or decoded; the instance halts until
/// its storage is recovered.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("could not {operation} the control log: {cause}")]
pub struct Error {
    /// The failed operation, as a verb phrase that precedes "the control log".
    pub operation: &'static str,
    /// The underlying error.
    pub cause: String,
}

impl Error {
    /// Creates an error of a failed operation.
    #[must_use]
    pub fn of(operation: &'static str, cause: &dyn std::error::Error) -> Self {
        Self {
            operation,
            cause: cause.to_string(),
        }
    }
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

    /// Reads what was saved, after a write has failed, and makes it durable: what a failed write left
    /// behind can be read, though it may not survive a loss of power.
    ///
    /// Unless a storage overrides this method, everything is saved anew.
    ///
    /// # Errors
    ///
    /// Returns an error if the files can't be read, or if they still can't be written.
    fn recover(&mut self) -> Result<PersistentState, Error> {
        let persisted = self.load()?;
        if let Some(ballot) = &persisted.ballot {
            self.save_ballot(ballot)?;
        }
        match &persisted.snapshot {
            Some(snapshot) => self.save_snapshot(snapshot, &persisted.entries)?,
            None => self.append(&persisted.entries)?,
        }
        Ok(persisted)
    }

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

    /// Opens the saved snapshot, to send it to a follower. What is read does not change when another
    /// snapshot is saved.
    ///
    /// Unless a storage overrides this method, the encoded snapshot is kept in memory.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no snapshot or it can't be read.
    fn open_snapshot(&mut self) -> Result<Box<dyn ReadSnapshot>, Error> {
        let snapshot = self.load()?.snapshot.ok_or_else(|| Error {
            operation: "open a snapshot of",
            cause: "none was saved".to_owned(),
        })?;
        let encoded = rmp_serde::to_vec_named(&snapshot)
            .map_err(|error| Error::of("encode a snapshot of", &error))?;
        Ok(Box::new(Bytes::from(encoded)))
    }

    /// Starts to receive a snapshot from a leader.
    ///
    /// Unless a storage overrides this method, the encoded snapshot is kept in memory.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no place to keep what is received.
    fn receive_snapshot(&mut self) -> Result<Box<dyn WriteSnapshot>, Error> {
        Ok(Box::new(BytesMut::new()))
    }
}

/// A saved snapshot in its encoded form.
pub trait ReadSnapshot: fmt::Debug + Send {
    /// The size of the encoded snapshot in bytes.
    fn total_bytes(&self) -> usize;

    /// How many bytes of it are in memory.
    fn bytes_in_memory(&self) -> usize;

    /// Reads at most `max_bytes` from an offset on.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot can't be read.
    fn read(&mut self, offset: usize, max_bytes: usize) -> Result<Bytes, Error>;
}

impl ReadSnapshot for Bytes {
    fn total_bytes(&self) -> usize {
        self.len()
    }

    fn bytes_in_memory(&self) -> usize {
        self.len()
    }

    fn read(&mut self, offset: usize, max_bytes: usize) -> Result<Bytes, Error> {
        let end = offset.saturating_add(max_bytes).min(self.len());
        Ok(self.slice(offset.min(end)..end))
    }
}

/// An encoded snapshot that is being received; it need not survive a restart.
pub trait WriteSnapshot: fmt::Debug + Send {
    /// How many bytes were received.
    fn received_bytes(&self) -> usize;

    /// How many of them are in memory.
    fn bytes_in_memory(&self) -> usize;

    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if they can't be kept.
    fn append(&mut self, part: &[u8]) -> Result<(), Error>;

    /// Decodes the completely received snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be read or decoded.
    fn finish(self: Box<Self>) -> Result<Snapshot, Error>;
}

impl WriteSnapshot for BytesMut {
    fn received_bytes(&self) -> usize {
        self.len()
    }

    fn bytes_in_memory(&self) -> usize {
        self.len()
    }

    fn append(&mut self, part: &[u8]) -> Result<(), Error> {
        self.extend_from_slice(part);
        Ok(())
    }

    fn finish(self: Box<Self>) -> Result<Snapshot, Error> {
        rmp_serde::from_slice(&self).map_err(|error| Error::of("decode a snapshot for", &error))
    }
}
