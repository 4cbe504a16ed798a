//! Saves shards on a thread of its own, many batches with one sync.

use std::{
    path::Path,
    sync::mpsc::{Receiver, Sender, channel},
};

use celerycove_disk::{
    Journal,
    journal::{Batch, Recovered},
    whole::{self, WholeError},
};
use celerycove_program::message::{Image, Position};
use celerycove_types::id;
use tokio::sync::mpsc;

use super::Input;

/// How many batches one sync covers.
const TOGETHER: usize = 256;

type Saved = Vec<(id::Shard, Position)>;

enum Work {
    Save(Batch, Saved),
    Rewrite(Vec<(id::Shard, Image)>),
}

/// The way to the thread.
pub(crate) struct Disk {
    work: Sender<Work>,
}

impl Disk {
    /// Opens the journal and starts the thread. The life of the state goes on from the disk.
    pub(crate) fn open(
        folder: &Path,
        incarnation: id::Incarnation,
        done: mpsc::Sender<Input>,
    ) -> Result<(Self, id::Incarnation, Recovered), WholeError> {
        // A folder that can't be created can't be opened either, which is reported then.
        let _ = std::fs::create_dir_all(folder);
        let identity = folder.join("home");
        let incarnation = if let Some(known) = whole::load(&identity)? {
            known
        } else {
            whole::save(&identity, &incarnation)?;
            incarnation
        };
        let (journal, recovered) = Journal::open(folder)?;
        let (work, receiver) = channel();
        std::thread::spawn(move || run(journal, &receiver, &done));
        Ok((Self { work }, incarnation, recovered))
    }

    pub(crate) fn save(&self, batch: Batch, saved: Saved) {
        // If the thread has stopped, nothing is acknowledged any more.
        let _ = self.work.send(Work::Save(batch, saved));
    }

    pub(crate) fn rewrite(&self, images: Vec<(id::Shard, Image)>) {
        // As above.
        let _ = self.work.send(Work::Rewrite(images));
    }
}

fn run(mut journal: Journal, work: &Receiver<Work>, done: &mpsc::Sender<Input>) {
    while let Ok(first) = work.recv() {
        if let Err(error) = handle(&mut journal, first, work, done) {
            log::error!(target: "home", error:% = error; "the disk failed: nothing more is acknowledged");
            return;
        }
    }
}

fn handle(
    journal: &mut Journal,
    first: Work,
    work: &Receiver<Work>,
    done: &mpsc::Sender<Input>,
) -> Result<(), WholeError> {
    let (mut batch, mut saved) = match first {
        Work::Save(batch, saved) => (batch, saved),
        Work::Rewrite(images) => return journal.rewrite(images),
    };
    let mut rewrite = None;
    for next in std::iter::from_fn(|| work.try_recv().ok()).take(TOGETHER) {
        match next {
            Work::Save(more, also) => {
                batch.extend(more);
                saved.extend(also);
            }
            Work::Rewrite(images) => {
                rewrite = Some(images);
                break;
            }
        }
    }
    journal.save(&batch)?;
    // The task ends with the process.
    let _ = done.blocking_send(Input::Synced(saved, journal.is_long()));
    match rewrite {
        Some(images) => journal.rewrite(images),
        None => Ok(()),
    }
}
