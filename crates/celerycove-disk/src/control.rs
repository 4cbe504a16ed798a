//! The control log's files: `ballot`, `snapshot` and `log`.

use std::path::{Path, PathBuf};

use celerycove_control::{
    Entry,
    storage::{Ballot, Durable, Error, Snapshot, Storage},
};

use crate::{
    records::{self, Records},
    whole,
};

/// The file that an instance writes first.
const BALLOT: &str = "ballot";

/// The control log on a disk.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    log: Option<Records>,
}

fn fault<E: std::error::Error>(attempt: &'static str) -> impl FnOnce(E) -> Error {
    move |error| Error {
        attempt,
        cause: chain(&error),
    }
}

fn chain(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {}", chain(source)),
        None => error.to_string(),
    }
}

impl Store {
    /// Uses a folder, which is created if it is missing.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be created.
    pub fn new(folder: PathBuf) -> Result<Self, Error> {
        std::fs::create_dir_all(&folder).map_err(fault("create the folder of"))?;
        Ok(Self { folder, log: None })
    }

    /// Whether an instance has kept its log in a folder before.
    #[must_use]
    pub fn is_used(folder: &Path) -> bool {
        folder.join(BALLOT).exists()
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join("log")
    }

    fn encode(&self, entries: &[Entry]) -> Result<Vec<Vec<u8>>, Error> {
        entries
            .iter()
            .map(|entry| whole::encode(&self.log_path(), entry).map_err(fault("encode")))
            .collect()
    }
}

impl Storage for Store {
    fn load(&mut self) -> Result<Durable, Error> {
        let ballot = whole::load::<Ballot>(&self.folder.join(BALLOT)).map_err(fault("load"))?;
        let snapshot =
            whole::load::<Snapshot>(&self.folder.join("snapshot")).map_err(fault("load"))?;
        let (records, payloads) = Records::open(&self.log_path()).map_err(fault("load"))?;
        self.log = Some(records);
        let base = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let mut entries: Vec<Entry> = Vec::new();
        for payload in payloads {
            let entry: Entry = whole::decode(&self.log_path(), &payload).map_err(fault("load"))?;
            if entry.index <= base {
                continue;
            }
            // A later record for a position replaces it and all after it.
            entries.retain(|known| known.index < entry.index);
            if entry.index != entries.last().map_or(base, |e| e.index) + 1 {
                return Err(Error {
                    attempt: "load",
                    cause: format!("entry {} does not follow the one before", entry.index),
                });
            }
            entries.push(entry);
        }
        Ok(Durable {
            ballot,
            snapshot,
            entries,
        })
    }

    fn save_ballot(&mut self, ballot: &Ballot) -> Result<(), Error> {
        whole::save(&self.folder.join(BALLOT), ballot).map_err(fault("save the ballot of"))
    }

    fn append(&mut self, entries: &[Entry]) -> Result<(), Error> {
        let payloads = self.encode(entries)?;
        let log = self.log.as_mut().ok_or_else(|| Error {
            attempt: "append to",
            cause: "it was not loaded".to_owned(),
        })?;
        log.append(&payloads).map_err(fault("append to"))
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot, tail: &[Entry]) -> Result<(), Error> {
        // Until the log is replaced, loading skips the entries that the snapshot includes.
        whole::save(&self.folder.join("snapshot"), snapshot)
            .map_err(fault("save a snapshot of"))?;
        let payloads = self.encode(tail)?;
        let records = records::replace(&self.log_path(), &payloads).map_err(fault("compact"))?;
        self.log = Some(records);
        Ok(())
    }
}
