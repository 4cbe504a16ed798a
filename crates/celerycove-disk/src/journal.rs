//! The journal of a process's shard replicas: one append-only file, compacted when it grows.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
};

use celerycove_program::{
    Record, State,
    message::{Position, Snapshot},
};
use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::{
    records::{self, Records},
    value,
};

/// The file is rewritten once it is longer than this and than twice its length after the last
/// rewrite.
const MIN_REWRITE_BYTES: u64 = 64 << 20;

/// An entry of the journal.
#[derive(Debug, Serialize, Deserialize)]
enum Entry {
    /// Replaces a shard's state.
    #[serde(rename = "Image")]
    Snapshot(id::Shard, Box<Snapshot>),
    /// Appends a record to a shard.
    Record(id::Shard, Record),
    /// Removes a shard.
    Drop(id::Shard),
}

/// Entries that must be saved together, with one sync.
#[derive(Debug, Default)]
pub struct Batch {
    entries: Vec<Entry>,
}

impl Batch {
    /// Appends records to a shard.
    pub fn append(&mut self, shard: id::Shard, records: Vec<Record>) {
        let entries = records
            .into_iter()
            .map(|record| Entry::Record(shard, record));
        self.entries.extend(entries);
    }

    /// Replaces a shard's state.
    pub fn replace(&mut self, shard: id::Shard, snapshot: Box<Snapshot>) {
        self.entries.push(Entry::Snapshot(shard, snapshot));
    }

    /// Removes a shard.
    pub fn remove_shard(&mut self, shard: id::Shard) {
        self.entries.push(Entry::Drop(shard));
    }

    /// Appends the entries of another batch.
    pub fn extend(&mut self, other: Self) {
        self.entries.extend(other.entries);
    }

    /// Returns whether there is nothing to save.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// The journal of the shards that one process holds.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    records: Records,
    /// Length after the last rewrite, or when opened.
    rewritten_bytes: u64,
    /// Whether the last rewrite failed, so that the file may be the old or the new one.
    rewrite_failed: bool,
}

/// State of the shards that earlier runs of the process saved.
pub type Recovered = BTreeMap<id::Shard, Snapshot>;

impl Journal {
    /// Opens the journal in a directory and returns the shards that it holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or is corrupt other than by a torn tail.
    pub fn open(directory: &Path) -> Result<(Self, Recovered), value::Error> {
        let path = directory.join("shards");
        let (records, payloads) = Records::open(&path)?;
        let mut recovered = Recovered::new();
        for payload in payloads {
            apply(&mut recovered, value::decode(&path, &payload)?);
        }
        let rewritten_bytes = records.length();
        let journal = Self {
            path,
            records,
            rewritten_bytes,
            rewrite_failed: false,
        };
        Ok((journal, recovered))
    }

    /// Saves and syncs a batch.
    ///
    /// # Errors
    ///
    /// Returns an error unless the batch is synced; none of it may be acknowledged then, and the journal
    /// must be [recovered](Self::recover) before it is used again.
    pub fn save(&mut self, batch: &Batch) -> Result<(), value::Error> {
        let payloads = self.encode(&batch.entries)?;
        self.records.append(&payloads)?;
        Ok(())
    }

    /// Returns whether the file has grown enough to be rewritten.
    #[must_use]
    pub fn needs_rewrite(&self) -> bool {
        self.records.length() > MIN_REWRITE_BYTES.max(self.rewritten_bytes * 2)
    }

    /// Compacts the file to one snapshot per shard.
    ///
    /// # Errors
    ///
    /// Returns an error unless the new file is in place and synced. The journal must be
    /// [recovered](Self::recover) then before it is used again.
    pub fn rewrite(&mut self, snapshots: Vec<(id::Shard, Snapshot)>) -> Result<(), value::Error> {
        let entries: Vec<Entry> = snapshots
            .into_iter()
            .map(|(shard, snapshot)| Entry::Snapshot(shard, Box::new(snapshot)))
            .collect();
        let payloads = self.encode(&entries)?;
        self.rewrite_failed = true;
        self.records = records::replace(&self.path, &payloads)?;
        self.rewrite_failed = false;
        self.rewritten_bytes = self.records.length();
        Ok(())
    }

    /// Makes the journal usable again after a failed write: it holds what was saved before, and nothing of
    /// the batch that failed.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or still can't be written.
    pub fn recover(&mut self) -> Result<(), value::Error> {
        records::discard_successor(&self.path)?;
        self.records = if self.rewrite_failed {
            // Both files hold the same state, as nothing was appended since.
            Records::open_each(&self.path, |_| {})?
        } else {
            Records::reopen(&self.path, self.records.length())?
        };
        self.rewrite_failed = false;
        Ok(())
    }

    fn encode(&self, entries: &[Entry]) -> Result<Vec<Vec<u8>>, value::Error> {
        entries
            .iter()
            .map(|entry| value::encode(&self.path, entry))
            .collect()
    }
}

fn apply(recovered: &mut Recovered, entry: Entry) {
    match entry {
        Entry::Snapshot(shard, snapshot) => {
            recovered.insert(shard, *snapshot);
        }
        Entry::Drop(shard) => {
            recovered.remove(&shard);
        }
        Entry::Record(shard, record) => {
            let snapshot = recovered.entry(shard).or_insert_with(|| Snapshot {
                last: Position::default(),
                state: State::default(),
            });
            snapshot.state.apply(record.at, &record.op);
            snapshot.last = record.position;
        }
    }
}
