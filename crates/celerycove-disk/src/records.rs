//! A file of checksummed records, appended to and synced.

use std::{
    fs::{File, OpenOptions},
    io::{self, Read, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

/// Marks the beginning of a record.
const MAGIC: u32 = 0xCE1E_C0DE;
/// Magic, length and checksum, four bytes each.
const HEADER: usize = 12;
/// The longest payload; a longer length is damage.
const LONGEST: usize = 1 << 30;

/// What went wrong with a file of records.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file could not be read or written.
    #[error("could not {attempt} {path}")]
    Io {
        /// What was attempted, as a verb.
        attempt: &'static str,
        /// The file.
        path: PathBuf,
        /// Why it failed.
        #[source]
        source: io::Error,
    },
    /// A record in the middle is damaged.
    #[error("{path} is damaged at byte {offset}, before intact records: it is left as it is")]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damage begins.
        offset: usize,
    },
}

/// An open file of records.
#[derive(Debug)]
pub struct Records {
    path: PathBuf,
    file: File,
    length: u64,
}

impl Records {
    /// Opens or creates a file, gives the payloads of its records and cuts a torn tail.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or if a damaged record stands before an intact
    /// one.
    pub fn open(path: &Path) -> Result<(Self, Vec<Vec<u8>>), Error> {
        let fault = |attempt| move |source| io_error(attempt, path, source);
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
            .map_err(fault("open"))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(fault("read"))?;
        let mut payloads = Vec::new();
        let mut offset = 0;
        while let Some(payload) = intact(&bytes[offset..]) {
            payloads.push(payload.to_vec());
            offset += HEADER + payload.len();
        }
        if offset < bytes.len() {
            let intact_after = (offset + 1..bytes.len()).any(|at| intact(&bytes[at..]).is_some());
            if intact_after {
                let path = path.to_owned();
                return Err(Error::Damaged { path, offset });
            }
            file.set_len(offset as u64).map_err(fault("cut"))?;
            file.sync_all().map_err(fault("sync"))?;
        }
        file.seek(SeekFrom::Start(offset as u64))
            .map_err(fault("seek in"))?;
        sync_parent(path)?;
        let records = Self {
            path: path.to_owned(),
            file,
            length: offset as u64,
        };
        Ok((records, payloads))
    }

    /// Appends records and syncs them together. After an error the file must not be used.
    ///
    /// # Errors
    ///
    /// Returns an error unless all are synced.
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

/// Writes a new file of records beside `path`, syncs it, and puts it in the place of the old one.
///
/// # Errors
///
/// Returns an error unless the new file is in place and synced.
pub fn replace<P: AsRef<[u8]>>(path: &Path, payloads: &[P]) -> Result<Records, Error> {
    let fresh = path.with_extension("new");
    let mut buffer = Vec::new();
    for payload in payloads {
        encode(payload.as_ref(), &mut buffer);
    }
    let mut file = File::create(&fresh).map_err(|e| io_error("create", &fresh, e))?;
    file.write_all(&buffer)
        .map_err(|e| io_error("write", &fresh, e))?;
    file.sync_all().map_err(|e| io_error("sync", &fresh, e))?;
    std::fs::rename(&fresh, path).map_err(|e| io_error("replace", path, e))?;
    sync_parent(path)?;
    Ok(Records {
        path: path.to_owned(),
        file,
        length: buffer.len() as u64,
    })
}

fn sync_parent(path: &Path) -> Result<(), Error> {
    let Some(parent) = path.parent() else {
        return Ok(());
    };
    File::open(parent)
        .and_then(|folder| folder.sync_all())
        .map_err(|source| io_error("sync", parent, source))
}

fn io_error(attempt: &'static str, path: &Path, source: io::Error) -> Error {
    Error::Io {
        attempt,
        path: path.to_owned(),
        source,
    }
}

fn encode(payload: &[u8], buffer: &mut Vec<u8>) {
    // No writer comes near the limit, which open checks on every length.
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

fn intact(bytes: &[u8]) -> Option<&[u8]> {
    let word = |at: usize| -> Option<u32> {
        let bytes = bytes.get(at..at + 4)?;
        Some(u32::from_le_bytes(bytes.try_into().ok()?))
    };
    if word(0)? != MAGIC {
        return None;
    }
    let length = word(4)?;
    let size = usize::try_from(length)
        .ok()
        .filter(|size| *size <= LONGEST)?;
    let payload = bytes.get(HEADER..HEADER.checked_add(size)?)?;
    (checksum(length, payload) == word(8)?).then_some(payload)
}
