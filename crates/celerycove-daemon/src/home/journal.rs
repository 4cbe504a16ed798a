//! Writes the journal of the shards on a thread of its own, with one sync for many batches.

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
        mpsc::{Receiver, Sender, channel},
    },
    time::Duration,
};

use celerycove_disk::{
    Journal,
    journal::{Batch, Recovered},
    value,
};
use celerycove_program::message::{Position, Snapshot};
use celerycove_types::id;
use tokio::sync::mpsc;

use super::Input;

/// The most further batches that are written with the sync of the first one.
const MAX_EXTRA_BATCHES: usize = 256;
/// How long to wait after a failed write until the journal is recovered.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

type Positions = Vec<(id::Shard, Position)>;

enum Command {
    Append(Batch, Positions),
    Rewrite(Vec<(id::Shard, Snapshot)>),
}

/// A handle to the thread that writes the journal.
pub(crate) struct Writer {
    commands: Sender<Command>,
    is_failing: Arc<AtomicBool>,
}

impl Writer {
    /// Opens the journal and starts the thread. Returns the incarnation stored in the folder, or
    /// the one given if the folder is new, and the recovered shards.
    pub(crate) fn open(
        folder: &Path,
        incarnation: id::Incarnation,
        inputs: mpsc::Sender<Input>,
    ) -> Result<(Self, id::Incarnation, Recovered), value::Error> {
        // If the folder can't be created, opening it below fails and reports the error.
        let _ = std::fs::create_dir_all(folder);
        let identity = folder.join("home");
        let incarnation = if let Some(stored) = value::load(&identity)? {
            stored
        } else {
            value::save(&identity, &incarnation)?;
            incarnation
        };
        let (journal, recovered) = Journal::open(folder)?;
        let (commands, receiver) = channel();
        let is_failing = Arc::<AtomicBool>::default();
        let writer = Self {
            commands,
            is_failing: is_failing.clone(),
        };
        std::thread::spawn(move || run(journal, &receiver, &inputs, &is_failing));
        Ok((writer, incarnation, recovered))
    }

    /// Whether the last write failed, and the journal is not recovered yet.
    pub(crate) fn is_failing(&self) -> bool {
        self.is_failing.load(Relaxed)
    }

    /// Appends a batch, after which the shards are on disk up to the given positions.
    pub(crate) fn append(&self, batch: Batch, positions: Positions) {
        // The thread ends only with the process.
        let _ = self.commands.send(Command::Append(batch, positions));
    }

    /// Replaces the journal by snapshots of the shards.
    pub(crate) fn rewrite(&self, snapshots: Vec<(id::Shard, Snapshot)>) {
        // The thread ends only with the process.
        let _ = self.commands.send(Command::Rewrite(snapshots));
    }
}

/// Writes until the task of the replicas has ended. After a failed write it tries again until it succeeds;
/// nothing is acknowledged in the meantime.
fn run(
    mut journal: Journal,
    commands: &Receiver<Command>,
    inputs: &mpsc::Sender<Input>,
    is_failing: &AtomicBool,
) {
    while let Ok(first) = commands.recv() {
        let mut work = Work::collect(first, commands);
        while let Err(error) = work.carry_out(&mut journal, inputs) {
            log::error!(target: "home", error:% = error;
                "could not write the journal: no changes are acknowledged until it can be written");
            is_failing.store(true, Relaxed);
            loop {
                std::thread::sleep(RETRY_INTERVAL);
                if inputs.is_closed() {
                    return;
                }
                match journal.recover() {
                    Ok(()) => break,
                    Err(error) => log::warn!(target: "home", error:% = error;
                        "could not recover the journal"),
                }
            }
        }
        if is_failing.swap(false, Relaxed) {
            log::info!(target: "home", "the journal is recovered; changes are acknowledged again");
        }
    }
}

/// Commands that are carried out together.
struct Work {
    batch: Batch,
    positions: Positions,
    rewrite: Option<Vec<(id::Shard, Snapshot)>>,
}

impl Work {
    /// Takes the first command, together with those that wait behind it.
    fn collect(first: Command, commands: &Receiver<Command>) -> Self {
        let mut work = Self {
            batch: Batch::default(),
            positions: Positions::new(),
            rewrite: None,
        };
        let more = std::iter::from_fn(|| commands.try_recv().ok()).take(MAX_EXTRA_BATCHES);
        for command in std::iter::once(first).chain(more) {
            match command {
                Command::Append(batch, positions) => {
                    work.batch.extend(batch);
                    work.positions.extend(positions);
                }
                Command::Rewrite(snapshots) => {
                    work.rewrite = Some(snapshots);
                    break;
                }
            }
        }
        work
    }

    /// Carries out what has not been carried out yet. A rewrite that fails isn't repeated: another one is
    /// due after the next batch.
    fn carry_out(
        &mut self,
        journal: &mut Journal,
        inputs: &mpsc::Sender<Input>,
    ) -> Result<(), value::Error> {
        if !self.batch.is_empty() {
            journal.save(&self.batch)?;
            self.batch = Batch::default();
            let positions = std::mem::take(&mut self.positions);
            // Sending fails only while the process shuts down.
            let _ = inputs.blocking_send(Input::Synced(positions, journal.needs_rewrite()));
        }
        match self.rewrite.take() {
            Some(snapshots) => journal.rewrite(snapshots),
            None => Ok(()),
        }
    }
}

#[cfg(test)]
#[path = "journal_tests.rs"]
mod tests;
