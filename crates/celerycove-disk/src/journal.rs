//! The shards of one process on a disk: one file of records, rewritten when it grows.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
};

use celerycove_program::{
    Record, State,
    message::{Image, Position},
};
use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::{
    records::{self, Records},
    whole::{self, WholeError},
};

/// The file is rewritten when it is this long and twice as long as after the last time.
const REWRITE_BYTES: u64 = 64 << 20;

#[derive(Debug, Serialize, Deserialize)]
enum Line {
    Image(id::Shard, Box<Image>),
    Record(id::Shard, Record),
    Drop(id::Shard),
}

/// What must be saved together.
#[derive(Debug, Default)]
pub struct Batch {
    lines: Vec<Line>,
}

impl Batch {
    /// Adds records of a shard.
    pub fn append(&mut self, shard: id::Shard, records: Vec<Record>) {
        let lines = records.into_iter().map(|r| Line::Record(shard, r));
        self.lines.extend(lines);
    }

    /// Replaces a shard.
    pub fn replace(&mut self, shard: id::Shard, image: Box<Image>) {
        self.lines.push(Line::Image(shard, image));
    }

    /// Forgets a shard.
    pub fn drop_shard(&mut self, shard: id::Shard) {
        self.lines.push(Line::Drop(shard));
    }

    /// Adds all of another batch.
    pub fn extend(&mut self, other: Self) {
        self.lines.extend(other.lines);
    }

    /// Whether there is nothing to save.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// The shards of one process on a disk.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    records: Records,
    rewritten: u64,
}

/// What an earlier life saved, by shard.
pub type Recovered = BTreeMap<id::Shard, Image>;

impl Journal {
    /// Opens the journal in a folder and gives the shards that it holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or is damaged other than by a torn tail.
    pub fn open(folder: &Path) -> Result<(Self, Recovered), WholeError> {
        let path = folder.join("shards");
        let (records, payloads) = Records::open(&path)?;
        let mut recovered = Recovered::new();
        for payload in payloads {
            replay(&mut recovered, whole::decode(&path, &payload)?);
        }
        let rewritten = records.length();
        let journal = Self {
            path,
            records,
            rewritten,
        };
        Ok((journal, recovered))
    }

    /// Saves a batch; when it returns, the batch is synced.
    ///
    /// # Errors
    ///
    /// Returns an error unless the batch is synced; nothing of it may be acknowledged then.
    pub fn save(&mut self, batch: &Batch) -> Result<(), WholeError> {
        let payloads = self.encode(&batch.lines)?;
        self.records.append(&payloads)?;
        Ok(())
    }

    /// Whether the file should be rewritten.
    #[must_use]
    pub fn is_long(&self) -> bool {
        self.records.length() > REWRITE_BYTES.max(self.rewritten * 2)
    }

    /// Replaces the file by images of all shards.
    ///
    /// # Errors
    ///
    /// Returns an error unless the new file is in place and synced.
    pub fn rewrite(&mut self, images: Vec<(id::Shard, Image)>) -> Result<(), WholeError> {
        let lines: Vec<Line> = images
            .into_iter()
            .map(|(shard, image)| Line::Image(shard, Box::new(image)))
            .collect();
        let payloads = self.encode(&lines)?;
        self.records = records::replace(&self.path, &payloads)?;
        self.rewritten = self.records.length();
        Ok(())
    }

    fn encode(&self, lines: &[Line]) -> Result<Vec<Vec<u8>>, WholeError> {
        lines
            .iter()
            .map(|line| whole::encode(&self.path, line))
            .collect()
    }
}

fn replay(recovered: &mut Recovered, line: Line) {
    match line {
        Line::Image(shard, image) => {
            recovered.insert(shard, *image);
        }
        Line::Drop(shard) => {
            recovered.remove(&shard);
        }
        Line::Record(shard, record) => {
            let image = recovered.entry(shard).or_insert_with(|| Image {
                last: Position::default(),
                state: State::default(),
            });
            image.state.apply(record.at, &record.op);
            image.last = record.position;
        }
    }
}
