//! An append-only file of checksummed records.

use std::{
    fs::{File, OpenOptions},
    io::{self, BufReader, BufWriter, Read, Seek, SeekFrom, Write},
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
        offset: u64,
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
        let mut payloads = Vec::new();
        let records = Self::open_each(path, |payload| payloads.push(payload))?;
        Ok((records, payloads))
    }

    /// Opens a file like [`open`](Self::open) and passes each payload on as it is read, so that the
    /// file is never in memory as a whole.
    ///
    /// # Errors
    ///
    /// Returns an error in the same cases as [`open`](Self::open).
    pub fn open_each(path: &Path, mut on_payload: impl FnMut(Vec<u8>)) -> Result<Self, Error> {
        let error_in = |operation| move |source| io_error(operation, path, source);
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
            .map_err(error_in("open"))?;
        let file_length = file.metadata().map_err(error_in("read"))?.len();
        let mut offset = 0;
        let mut reader = BufReader::new(&mut file);
        while let Some(payload) =
            read_record(&mut reader, file_length - offset).map_err(error_in("read"))?
        {
            offset += (HEADER_BYTES + payload.len()) as u64;
            on_payload(payload);
        }
        if offset < file_length {
            let mut tail = Vec::new();
            file.seek(SeekFrom::Start(offset))
                .and_then(|_| file.read_to_end(&mut tail))
                .map_err(error_in("read"))?;
            let intact_after = (1..tail.len()).any(|at| decode(&tail[at..]).is_some());
            if intact_after {
                let path = path.to_owned();
                return Err(Error::Corrupt { path, offset });
            }
            file.set_len(offset).map_err(error_in("truncate"))?;
            file.sync_all().map_err(error_in("sync"))?;
        }
        file.seek(SeekFrom::Start(offset))
            .map_err(error_in("seek in"))?;
        sync_parent(path)?;
        Ok(Self {
            path: path.to_owned(),
            file,
            length: offset,
        })
    }

    /// Opens a file anew after a failed append, and removes what that left after the first `length` bytes, which
    /// are known to be synced.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is shorter, or can't be opened, truncated or synced.
    pub fn reopen(path: &Path, length: u64) -> Result<Self, Error> {
        let error_in = |operation| move |source| io_error(operation, path, source);
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(length == 0)
            .truncate(false)
            .open(path)
            .map_err(error_in("open"))?;
        if file.metadata().map_err(error_in("read"))?.len() < length {
            let path = path.to_owned();
            let offset = length;
            return Err(Error::Corrupt { path, offset });
        }
        file.set_len(length).map_err(error_in("truncate"))?;
        file.sync_all().map_err(error_in("sync"))?;
        file.seek(SeekFrom::Start(length))
            .map_err(error_in("seek in"))?;
        sync_parent(path)?;
        Ok(Self {
            path: path.to_owned(),
            file,
            length,
        })
    }

    /// Appends records with one sync. After an error the file must be opened anew.
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

/// The file that is written to replace the one at `path`.
fn successor_of(path: &Path) -> PathBuf {
    path.with_extension("new")
}

/// Removes what a failed replacement of the file at `path` has left.
///
/// # Errors
///
/// Returns an error if there is such a file and it can't be removed.
pub fn discard_successor(path: &Path) -> Result<(), Error> {
    let temporary = successor_of(path);
    match std::fs::remove_file(&temporary) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            Err(io_error("remove", &temporary, error))
        }
        _ => Ok(()),
    }
}

/// Atomically replaces the file at `path`: writes and syncs a temporary file beside it, then
/// renames it.
///
/// # Errors
///
/// Returns an error unless the new file is in place and synced.
pub fn replace<P: AsRef<[u8]>>(path: &Path, payloads: &[P]) -> Result<Records, Error> {
    let temporary = successor_of(path);
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

/// Atomically replaces the file at `path` by one record whose payload `write` produces. The payload
/// is never in memory as a whole.
///
/// # Errors
///
/// Returns an error unless the new file is in place and synced.
pub fn replace_with<E: From<Error>>(
    path: &Path,
    write: impl FnOnce(&mut dyn Write) -> Result<(), E>,
) -> Result<(), E> {
    let temporary = successor_of(path);
    let error_in = |operation| move |source| io_error(operation, path, source);
    let mut file = File::create(&temporary).map_err(error_in("create a successor of"))?;
    file.write_all(&[0; HEADER_BYTES])
        .map_err(error_in("write a successor of"))?;
    let mut writer = Checksummed {
        inner: BufWriter::new(file),
        hasher: crc32fast::Hasher::new(),
        length: 0,
    };
    write(&mut writer)?;
    writer.flush().map_err(error_in("write a successor of"))?;
    let Checksummed {
        inner,
        hasher: payload_hasher,
        length,
    } = writer;
    let mut file = inner
        .into_inner()
        .map_err(io::IntoInnerError::into_error)
        .map_err(error_in("write a successor of"))?;
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.combine(&payload_hasher);
    let header = header(length, hasher.finalize());
    file.seek(SeekFrom::Start(0))
        .and_then(|_| file.write_all(&header))
        .map_err(error_in("write a successor of"))?;
    file.sync_all().map_err(error_in("sync a successor of"))?;
    std::fs::rename(&temporary, path).map_err(error_in("replace"))?;
    sync_parent(path)?;
    Ok(())
}

/// The payload of a file that consists of one intact record. It stays readable when the file is
/// replaced.
#[derive(Debug)]
pub struct Payload {
    path: PathBuf,
    file: File,
    length: u32,
}

impl Payload {
    /// The size of the payload in bytes.
    #[must_use]
    pub fn length(&self) -> usize {
        self.length as usize
    }

    /// Reads at most `max_bytes` from an offset on.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read.
    pub fn read_at(&mut self, offset: usize, max_bytes: usize) -> Result<Vec<u8>, Error> {
        let left = self.length().saturating_sub(offset);
        let mut part = vec![0; max_bytes.min(left)];
        self.file
            .seek(SeekFrom::Start((HEADER_BYTES + offset) as u64))
            .and_then(|_| self.file.read_exact(&mut part))
            .map_err(|source| io_error("read", &self.path, source))?;
        Ok(part)
    }

    /// Returns a reader of the whole payload.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read.
    pub fn into_reader(mut self) -> Result<impl Read, Error> {
        self.file
            .seek(SeekFrom::Start(HEADER_BYTES as u64))
            .map_err(|source| io_error("seek in", &self.path, source))?;
        Ok(BufReader::new(self.file))
    }
}

/// Opens a file that [`replace_with`] wrote, after a check of the whole payload. Returns `None` if the
/// file does not consist of one intact record.
///
/// # Errors
///
/// Returns an error if the file can't be read.
pub fn open_single(path: &Path) -> Result<Option<Payload>, Error> {
    let error_in = |operation| move |source| io_error(operation, path, source);
    let mut file = File::open(path).map_err(error_in("open"))?;
    let file_length = file.metadata().map_err(error_in("read"))?.len();
    let mut start = [0; HEADER_BYTES];
    if file_length < HEADER_BYTES as u64 {
        return Ok(None);
    }
    file.read_exact(&mut start).map_err(error_in("read"))?;
    let Some(length) = payload_length(&start) else {
        return Ok(None);
    };
    if u64::from(length) != file_length - HEADER_BYTES as u64 {
        return Ok(None);
    }
    let mut sink = Checksummed {
        inner: io::sink(),
        hasher: crc32fast::Hasher::new(),
        length: 0,
    };
    sink.hasher.update(&length.to_le_bytes());
    io::copy(&mut BufReader::new(&mut file), &mut sink).map_err(error_in("read"))?;
    if header(length, sink.hasher.finalize()) != start {
        return Ok(None);
    }
    Ok(Some(Payload {
        path: path.to_owned(),
        file,
        length,
    }))
}

/// Writes to `inner` and computes the length and checksum of what was written.
struct Checksummed<W> {
    inner: W,
    hasher: crc32fast::Hasher,
    length: u32,
}

impl<W: Write> Write for Checksummed<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.inner.write(bytes)?;
        self.hasher.update(&bytes[..written]);
        // Payloads stay far below MAX_PAYLOAD_BYTES, which is enforced on reading.
        let length = u32::try_from(written).unwrap_or(u32::MAX);
        self.length = self.length.saturating_add(length);
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
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
    buffer.extend_from_slice(&header(length, checksum(length, payload)));
    buffer.extend_from_slice(payload);
}

fn header(length: u32, checksum: u32) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&MAGIC.to_le_bytes());
    header[4..8].copy_from_slice(&length.to_le_bytes());
    header[8..].copy_from_slice(&checksum.to_le_bytes());
    header
}

/// Returns the payload's length if the header may begin a record.
fn payload_length(header: &[u8; HEADER_BYTES]) -> Option<u32> {
    let read_u32 = |at: usize| u32::from_le_bytes([0, 1, 2, 3].map(|n| header[at + n]));
    let length = read_u32(4);
    (read_u32(0) == MAGIC && length as usize <= MAX_PAYLOAD_BYTES).then_some(length)
}

/// Reads the payload of the next record, or `None` if the `available` bytes don't begin with an
/// intact one.
fn read_record(reader: &mut impl Read, available: u64) -> io::Result<Option<Vec<u8>>> {
    let mut start = [0; HEADER_BYTES];
    if available < HEADER_BYTES as u64 {
        return Ok(None);
    }
    reader.read_exact(&mut start)?;
    let Some(length) = payload_length(&start) else {
        return Ok(None);
    };
    if available < HEADER_BYTES as u64 + u64::from(length) {
        return Ok(None);
    }
    let mut payload = vec![0; length as usize];
    reader.read_exact(&mut payload)?;
    let is_intact = header(length, checksum(length, &payload)) == start;
    Ok(is_intact.then_some(payload))
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
    let start = bytes.get(..HEADER_BYTES)?.try_into().ok()?;
    let length = payload_length(start)?;
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES + length as usize)?;
    (header(length, checksum(length, payload)) == *start).then_some(payload)
}
