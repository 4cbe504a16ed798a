//! Storage of the control log in the files `ballot`, `snapshot` and `log`.

use std::path::{Path, PathBuf};

use celerycove_control::{
    Entry,
    storage::{Ballot, Error, PersistentState, ReadSnapshot, Snapshot, Storage, WriteSnapshot},
};

use serde::{Deserialize, Serialize};

use crate::{
    records::{self, Records},
    value,
};

mod transfer;

/// The file of term and vote. An instance writes it before any other, so it marks a directory that
/// is in use.
const BALLOT_FILE: &str = "ballot";
/// The file that holds a [`FirstStart`].
const FIRST_START_FILE: &str = "first-start";

/// What a directory without a log records of the first start of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FirstStart {
    /// The process itself was started as part of it.
    Own,
    /// The process was started later, and was told then that no log had been opened yet.
    Told,
}

/// The control log in a directory.
#[derive(Debug)]
pub struct Store {
    directory: PathBuf,
    log: Option<Records>,
}

fn storage_error<E: std::error::Error>(operation: &'static str) -> impl FnOnce(E) -> Error {
    move |error| Error {
        operation,
        cause: error_chain(&error),
    }
}

/// Formats an error with its sources, separated by colons.
fn error_chain(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {}", error_chain(source)),
        None => error.to_string(),
    }
}

impl Store {
    /// Uses a directory, which is created if it is missing.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory can't be created.
    pub fn new(directory: PathBuf) -> Result<Self, Error> {
        std::fs::create_dir_all(&directory).map_err(storage_error("create the directory of"))?;
        Ok(Self {
            directory,
            log: None,
        })
    }

    /// Returns whether a directory holds the log of an instance.
    #[must_use]
    pub fn has_log(directory: &Path) -> bool {
        directory.join(BALLOT_FILE).exists()
    }

    /// Records what is known of the first start of the system, so that a process which is killed before
    /// it opens its log still knows it when it starts again. Keeps an earlier record. Creates the
    /// directory if it is missing.
    ///
    /// # Errors
    ///
    /// Returns an error unless the record is in place and synced.
    pub fn record_first_start(directory: &Path, record: FirstStart) -> Result<(), Error> {
        if Self::first_start(directory).is_some() {
            return Ok(());
        }
        std::fs::create_dir_all(directory).map_err(storage_error("create the directory of"))?;
        value::save(&directory.join(FIRST_START_FILE), &record)
            .map_err(storage_error("record the first start of"))
    }

    /// Returns the record of the first start, if no log was opened since. A record that can't be read
    /// counts as none.
    #[must_use]
    pub fn first_start(directory: &Path) -> Option<FirstStart> {
        if Self::has_log(directory) {
            return None;
        }
        value::load(&directory.join(FIRST_START_FILE)).ok()?
    }

    /// Removes the record of the first start, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be removed.
    pub fn clear_first_start(directory: &Path) -> Result<(), Error> {
        match std::fs::remove_file(directory.join(FIRST_START_FILE)) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
                Err(storage_error("clear the first start of")(error))
            }
            _ => Ok(()),
        }
    }

    fn ballot_path(&self) -> PathBuf {
        self.directory.join(BALLOT_FILE)
    }

    fn log_path(&self) -> PathBuf {
        self.directory.join("log")
    }

    fn snapshot_path(&self) -> PathBuf {
        self.directory.join("snapshot")
    }

    fn received_path(&self) -> PathBuf {
        self.directory.join("snapshot.received")
    }

    fn encode(&self, entries: &[Entry]) -> Result<Vec<Vec<u8>>, Error> {
        entries
            .iter()
            .map(|entry| value::encode(&self.log_path(), entry).map_err(storage_error("encode")))
            .collect()
    }
}

impl Storage for Store {
    fn recover(&mut self) -> Result<PersistentState, Error> {
        // What a failed write left of a new file takes up room.
        for file in [self.ballot_path(), self.snapshot_path(), self.log_path()] {
            records::discard_successor(&file).map_err(storage_error("recover"))?;
        }
        // The smallest file comes first: while it can't be written, the others aren't read. Its sync
        // makes renamed files of the directory durable, which includes the snapshot; a snapshot's
        // content is synced before it is renamed.
        if let Some(ballot) =
            value::load::<Ballot>(&self.ballot_path()).map_err(storage_error("recover"))?
        {
            self.save_ballot(&ballot)?;
        }
        let persisted = self.load()?;
        let payloads = self.encode(&persisted.entries)?;
        let records =
            records::replace(&self.log_path(), &payloads).map_err(storage_error("recover"))?;
        self.log = Some(records);
        Ok(persisted)
    }

    fn load(&mut self) -> Result<PersistentState, Error> {
        transfer::discard(&self.received_path())?;
        let ballot = value::load::<Ballot>(&self.ballot_path()).map_err(storage_error("load"))?;
        let snapshot =
            value::load::<Snapshot>(&self.snapshot_path()).map_err(storage_error("load"))?;
        let snapshot_index = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let mut decoded = Vec::new();
        let records = Records::open_each(&self.log_path(), |payload| {
            decoded.push(value::decode::<Entry>(&self.log_path(), &payload));
        });
        self.log = Some(records.map_err(storage_error("load"))?);
        let mut entries: Vec<Entry> = Vec::new();
        for entry in decoded {
            let entry = entry.map_err(storage_error("load"))?;
            if entry.index <= snapshot_index {
                continue;
            }
            // An entry replaces earlier ones at the same index and after: a new leader's entries
            // supersede uncommitted ones. Those that remain are in order, so only the end is looked at.
            while entries.pop_if(|last| last.index >= entry.index).is_some() {}
            if entry.index != entries.last().map_or(snapshot_index, |last| last.index) + 1 {
                return Err(Error {
                    operation: "load",
                    cause: format!("entry {} does not follow the previous entry", entry.index),
                });
            }
            entries.push(entry);
        }
        Ok(PersistentState {
            ballot,
            snapshot,
            entries,
        })
    }

    fn save_ballot(&mut self, ballot: &Ballot) -> Result<(), Error> {
        value::save(&self.ballot_path(), ballot).map_err(storage_error("save the ballot of"))
    }

    fn append(&mut self, entries: &[Entry]) -> Result<(), Error> {
        let payloads = self.encode(entries)?;
        let log = self.log.as_mut().ok_or_else(|| Error {
            operation: "append to",
            cause: "the log was not loaded".to_owned(),
        })?;
        log.append(&payloads).map_err(storage_error("append to"))
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot, tail: &[Entry]) -> Result<(), Error> {
        // A crash before the log is replaced is harmless: loading skips the entries that the
        // snapshot includes.
        value::save(&self.snapshot_path(), snapshot)
            .map_err(storage_error("save a snapshot of"))?;
        let payloads = self.encode(tail)?;
        let records =
            records::replace(&self.log_path(), &payloads).map_err(storage_error("compact"))?;
        self.log = Some(records);
        Ok(())
    }

    fn open_snapshot(&mut self) -> Result<Box<dyn ReadSnapshot>, Error> {
        transfer::open_saved(&self.snapshot_path())
    }

    fn receive_snapshot(&mut self) -> Result<Box<dyn WriteSnapshot>, Error> {
        let received = transfer::Received::create(self.received_path())?;
        Ok(Box::new(received))
    }
}
