//! An append-only file of checksummed records.

use std::{
    fs::{File, OpenOptions},
    io::{self, Read, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

/// Marks the start of a record.
const MAGIC: u32 = 0xCE1E_C0DE;
/// Size of a record's header: magic, length and checksum, four bytes each.
const HEADER_BYTES: usize = 12;
/// Longest payload; a larger length field means that the record is corrupt.
const MAX_PAYLOAD_BYTES: usize = 1 << 30;

/// An error of a record file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file could not be read or written.
    #[error("could not {operation} {path}")]
    Io {
        /// The operation that failed, as a verb.
        operation: &'static str,
        /// The file.
        path: PathBuf,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// A record before intact ones is corrupt.
    #[error("{path} is corrupt at byte {offset}, before intact records; the file was not changed")]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Offset of the corrupt record.
        offset: usize,
    },
}

/// An open record file.
#[derive(Debug)]
pub struct Records {
    path: PathBuf,
    file: File,
    length: u64,
}

impl Records {
    /// Opens or creates a file, truncates a torn tail and returns the payloads of the records.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or truncated, or if a record before an intact one
    /// is corrupt.
    pub fn open(path: &Path) -> Result<(Self, Vec<Vec<u8>>), Error> {
        let error_in = |operation| move |source| io_error(operation, path, source);
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
            .map_err(error_in("open"))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(error_in("read"))?;
        let mut payloads = Vec::new();
        let mut offset = 0;
        while let Some(payload) = decode(&bytes[offset..]) {
            payloads.push(payload.to_vec());
            offset += HEADER_BYTES + payload.len();
        }
        if offset < bytes.len() {
            let intact_after = (offset + 1..bytes.len()).any(|at| decode(&bytes[at..]).is_some());
            if intact_after {
                let path = path.to_owned();
                return Err(Error::Corrupt { path, offset });
            }
            file.set_len(offset as u64).map_err(error_in("truncate"))?;
            file.sync_all().map_err(error_in("sync"))?;
        }
        file.seek(SeekFrom::Start(offset as u64))
            .map_err(error_in("seek in"))?;
        sync_parent(path)?;
        let records = Self {
            path: path.to_owned(),
            file,
            length: offset as u64,
        };
        Ok((records, payloads))
    }

    /// Appends records with one sync. After an error the file must not be used any more.
    ///
    /// # Errors
    ///
    /// Returns an error unless all records are synced.
    pub fn append<P: AsRef<[u8]>>(&mut self, payloads: &[P]) -> Result<(), Error> {
        let mut buffer = Vec::new();
        for payload in payloads {
            encode(payload.as_ref(), &mut buffer);
        }
        self.file
            .write_all(&buffer)
            .map_err(|source| io_error("append to", &self.path, source))?;
        self.file
            .sync_data()
            .map_err(|source| io_error("sync", &self.path, source))?;
        self.length += buffer.len() as u64;
        Ok(())
    }

    /// The file's length in bytes.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length
    }
}

/// Atomically replaces the file at `path`: writes and syncs a temporary file beside it, then
/// renames it.
///
/// # Errors
///
/// Returns an error unless the new file is in place and synced.
pub fn replace<P: AsRef<[u8]>>(path: &Path, payloads: &[P]) -> Result<Records, Error> {
    let temporary = path.with_extension("new");
    let mut buffer = Vec::new();
    for payload in payloads {
        encode(payload.as_ref(), &mut buffer);
    }
    let mut file = File::create(&temporary).map_err(|e| io_error("create", &temporary, e))?;
    file.write_all(&buffer)
        .map_err(|e| io_error("write", &temporary, e))?;
    file.sync_all()
        .map_err(|e| io_error("sync", &temporary, e))?;
    std::fs::rename(&temporary, path).map_err(|e| io_error("replace", path, e))?;
    sync_parent(path)?;
    Ok(Records {
        path: path.to_owned(),
        file,
        length: buffer.len() as u64,
    })
}

/// Syncs the directory of `path`, so that the file's creation or renaming is durable.
fn sync_parent(path: &Path) -> Result<(), Error> {
    let Some(parent) = path.parent() else {
        return Ok(());
    };
    File::open(parent)
        .and_then(|directory| directory.sync_all())
        .map_err(|source| io_error("sync", parent, source))
}

fn io_error(operation: &'static str, path: &Path, source: io::Error) -> Error {
    Error::Io {
        operation,
        path: path.to_owned(),
        source,
    }
}

fn encode(payload: &[u8], buffer: &mut Vec<u8>) {
    // Payloads stay far below MAX_PAYLOAD_BYTES, which is enforced on reading.
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    buffer.extend_from_slice(&MAGIC.to_le_bytes());
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&checksum(length, payload).to_le_bytes());
    buffer.extend_from_slice(payload);
}

fn checksum(length: u32, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Returns the payload of the record that `bytes` start with, if it is complete and its checksum is
/// right.
fn decode(bytes: &[u8]) -> Option<&[u8]> {
    let read_u32 = |at: usize| -> Option<u32> {
        let bytes = bytes.get(at..at + 4)?;
        Some(u32::from_le_bytes(bytes.try_into().ok()?))
    };
    if read_u32(0)? != MAGIC {
        return None;
    }
    let length = read_u32(4)?;
    let size = usize::try_from(length)
        .ok()
        .filter(|size| *size <= MAX_PAYLOAD_BYTES)?;
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES.checked_add(size)?)?;
    (checksum(length, payload) == read_u32(8)?).then_some(payload)
}
