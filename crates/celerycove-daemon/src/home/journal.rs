//! Writes the journal of the shards on a thread of its own, with one sync for many batches.

use std::{
    path::Path,
    sync::mpsc::{Receiver, Sender, channel},
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

type Positions = Vec<(id::Shard, Position)>;

enum Command {
    Append(Batch, Positions),
    Rewrite(Vec<(id::Shard, Snapshot)>),
}

/// A handle to the thread that writes the journal.
pub(crate) struct Writer {
    commands: Sender<Command>,
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
        std::thread::spawn(move || run(journal, &receiver, &inputs));
        Ok((Self { commands }, incarnation, recovered))
    }

    /// Appends a batch, after which the shards are on disk up to the given positions.
    pub(crate) fn append(&self, batch: Batch, positions: Positions) {
        // If the thread has stopped after an error, nothing is acknowledged any more.
        let _ = self.commands.send(Command::Append(batch, positions));
    }

    /// Replaces the journal by snapshots of the shards.
    pub(crate) fn rewrite(&self, snapshots: Vec<(id::Shard, Snapshot)>) {
        // If the thread has stopped after an error, nothing is acknowledged any more.
        let _ = self.commands.send(Command::Rewrite(snapshots));
    }
}

fn run(mut journal: Journal, commands: &Receiver<Command>, inputs: &mpsc::Sender<Input>) {
    while let Ok(first) = commands.recv() {
        if let Err(error) = handle(&mut journal, first, commands, inputs) {
            log::error!(target: "home", error:% = error;
                "could not write the journal: no further changes are acknowledged");
            return;
        }
    }
}

/// Carries out the first command, together with those that wait behind it.
fn handle(
    journal: &mut Journal,
    first: Command,
    commands: &Receiver<Command>,
    inputs: &mpsc::Sender<Input>,
) -> Result<(), value::Error> {
    let (mut batch, mut positions) = match first {
        Command::Append(batch, positions) => (batch, positions),
        Command::Rewrite(snapshots) => return journal.rewrite(snapshots),
    };
    let mut rewrite = None;
    for next in std::iter::from_fn(|| commands.try_recv().ok()).take(MAX_EXTRA_BATCHES) {
        match next {
            Command::Append(next_batch, next_positions) => {
                batch.extend(next_batch);
                positions.extend(next_positions);
            }
            Command::Rewrite(snapshots) => {
                rewrite = Some(snapshots);
                break;
            }
        }
    }
    journal.save(&batch)?;
    // Sending fails only while the process shuts down.
    let _ = inputs.blocking_send(Input::Synced(positions, journal.needs_rewrite()));
    match rewrite {
        Some(snapshots) => journal.rewrite(snapshots),
        None => Ok(()),
    }
}
