//! In-memory storage of a replicated log that survives process restarts and can be made to fail.

use std::sync::{Arc, Mutex, PoisonError};

use celerycove_control::{
    Command, Entry, Storage,
    log::Members,
    storage::{Ballot, Error, PersistentState, Snapshot},
};

/// Contents of a simulated disk, which survive a restart of its process.
#[derive(Debug, Default)]
pub struct Disk {
    /// The persisted state of the replicated log.
    pub durable: PersistentState,
    /// Whether writes fail.
    pub failing: bool,
}

impl Disk {
    /// Returns the instances that were members as of any entry or snapshot on the disk.
    #[must_use]
    pub fn members(&self) -> Members {
        let of_snapshot = self.durable.snapshot.iter();
        let of_snapshot = of_snapshot.map(|snapshot| &snapshot.members);
        let entries = self.durable.entries.iter();
        let of_entries = entries.filter_map(|entry| match &entry.command {
            Command::Members(members) => Some(members),
            _ => None,
        });
        of_snapshot.chain(of_entries).flatten().cloned().collect()
    }
}

/// A disk shared by a process and the simulation, which injects faults into it.
#[derive(Debug, Clone, Default)]
pub struct Shared(Arc<Mutex<Disk>>);

impl Shared {
    /// Runs `work` on the locked disk.
    pub fn with<T>(&self, work: impl FnOnce(&mut Disk) -> T) -> T {
        work(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn save(
        &self,
        operation: &'static str,
        work: impl FnOnce(&mut PersistentState),
    ) -> Result<(), Error> {
        self.with(|disk| {
            if disk.failing {
                let cause = "injected".to_owned();
                return Err(Error { operation, cause });
            }
            work(&mut disk.durable);
            Ok(())
        })
    }
}

impl Storage for Shared {
    fn load(&mut self) -> Result<PersistentState, Error> {
        Ok(self.with(|disk| disk.durable.clone()))
    }

    fn save_ballot(&mut self, ballot: &Ballot) -> Result<(), Error> {
        self.save("save", |durable| durable.ballot = Some(ballot.clone()))
    }

    fn append(&mut self, entries: &[Entry]) -> Result<(), Error> {
        self.save("append to", |durable| {
            for entry in entries {
                durable.entries.retain(|known| known.index < entry.index);
                durable.entries.push(entry.clone());
            }
        })
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot, tail: &[Entry]) -> Result<(), Error> {
        self.save("snapshot", |durable| {
            durable.snapshot = Some(snapshot.clone());
            durable.entries = tail.to_vec();
        })
    }
}
