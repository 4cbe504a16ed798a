//! Snapshots on their way between instances, in files.

use std::{
    fs::File,
    io::{BufReader, ErrorKind, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

use bytes::Bytes;
use celerycove_control::storage::{Error, ReadSnapshot, Snapshot, WriteSnapshot};

use super::storage_error;
use crate::{
    records::{self, Payload},
    value,
};

/// Opens a saved snapshot for sending.
pub(super) fn open_saved(path: &Path) -> Result<Box<dyn ReadSnapshot>, Error> {
    let operation = "open a snapshot of";
    if let Some(payload) = records::open_single(path).map_err(storage_error(operation))? {
        return Ok(Box::new(Saved(payload)));
    }
    // Earlier versions appended to the file, which then holds more than one record.
    let snapshot = value::load::<Snapshot>(path).map_err(storage_error(operation))?;
    let snapshot = snapshot.ok_or_else(|| Error {
        operation,
        cause: "none was saved".to_owned(),
    })?;
    let encoded = value::encode(path, &snapshot).map_err(storage_error(operation))?;
    Ok(Box::new(Bytes::from(encoded)))
}

/// A saved snapshot that is being sent.
#[derive(Debug)]
struct Saved(Payload);

impl ReadSnapshot for Saved {
    fn total_bytes(&self) -> usize {
        self.0.length()
    }

    fn bytes_in_memory(&self) -> usize {
        0
    }

    fn read(&mut self, offset: usize, max_bytes: usize) -> Result<Bytes, Error> {
        let part = self.0.read_at(offset, max_bytes);
        Ok(part.map_err(storage_error("read a snapshot of"))?.into())
    }
}

/// Removes what an earlier process has received of a snapshot.
pub(super) fn discard(path: &Path) -> Result<(), Error> {
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => {
            Err(storage_error("remove a received snapshot of")(error))
        }
        _ => Ok(()),
    }
}

/// A file with what has been received of a snapshot. It is never synced: after a restart the transfer
/// starts anew.
#[derive(Debug)]
pub(super) struct Received {
    path: PathBuf,
    file: File,
    bytes: usize,
}

impl Received {
    /// Creates the file, or empties it.
    pub(super) fn create(path: PathBuf) -> Result<Self, Error> {
        let file = File::options()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(&path)
            .map_err(storage_error("receive a snapshot for"))?;
        Ok(Self {
            path,
            file,
            bytes: 0,
        })
    }
}

impl WriteSnapshot for Received {
    fn received_bytes(&self) -> usize {
        self.bytes
    }

    fn bytes_in_memory(&self) -> usize {
        0
    }

    fn append(&mut self, part: &[u8]) -> Result<(), Error> {
        self.file
            .write_all(part)
            .map_err(storage_error("receive a snapshot for"))?;
        self.bytes += part.len();
        Ok(())
    }

    fn finish(mut self: Box<Self>) -> Result<Snapshot, Error> {
        self.file
            .seek(SeekFrom::Start(0))
            .map_err(storage_error("read a received snapshot for"))?;
        let snapshot = rmp_serde::from_read(BufReader::new(&mut self.file))
            .map_err(storage_error("decode a received snapshot for"))?;
        // The room is needed for the snapshot when it is saved.
        std::fs::remove_file(&self.path).map_err(storage_error("remove a received snapshot of"))?;
        Ok(snapshot)
    }
}
