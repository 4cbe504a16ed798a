//! A disk in memory.

use std::sync::{Arc, Mutex};

use celerycove_control::{
    Entry, Storage,
    storage::{Ballot, Error, PersistentState, Snapshot},
};

/// The contents of a disk, which outlive the instance that writes them.
#[derive(Debug, Clone, Default)]
pub struct Disk(Arc<Mutex<PersistentState>>);

impl Storage for Disk {
    fn load(&mut self) -> Result<PersistentState, Error> {
        Ok(self.0.lock().expect("a disk").clone())
    }

    fn save_ballot(&mut self, ballot: &Ballot) -> Result<(), Error> {
        self.0.lock().expect("a disk").ballot = Some(ballot.clone());
        Ok(())
    }

    fn append(&mut self, entries: &[Entry]) -> Result<(), Error> {
        let mut persisted = self.0.lock().expect("a disk");
        for entry in entries {
            persisted
                .entries
                .retain(|stored| stored.index < entry.index);
            persisted.entries.push(entry.clone());
        }
        Ok(())
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot, tail: &[Entry]) -> Result<(), Error> {
        let mut persisted = self.0.lock().expect("a disk");
        persisted.snapshot = Some(snapshot.clone());
        persisted.entries = tail.to_vec();
        Ok(())
    }
}
