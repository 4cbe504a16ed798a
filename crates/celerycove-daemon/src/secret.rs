//! Secrets in files that only their owner may read.

use std::{
    fs::OpenOptions,
    io::{self, Write},
    os::unix::fs::{OpenOptionsExt, PermissionsExt},
    path::{Path, PathBuf},
};

use rand::RngExt;

/// What is wrong with a file of secrets.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It can't be read or created.
    #[error("could not {attempt} the secret file {path}")]
    Io {
        /// What was attempted, as a verb.
        attempt: &'static str,
        /// The file.
        path: PathBuf,
        /// Why it failed.
        #[source]
        source: io::Error,
    },
    /// Others may read it.
    #[error("the secret file {path} has mode {mode:o}: it must be 600 or 400")]
    Mode {
        /// The file.
        path: PathBuf,
        /// Its mode.
        mode: u32,
    },
    /// It holds nothing usable.
    #[error("the secret file {path} is empty or has a line that is not name:credential")]
    Content {
        /// The file.
        path: PathBuf,
    },
}

/// Gives a fresh secret of 256 bits in hexadecimal.
#[must_use]
pub fn fresh() -> String {
    hex::encode(rand::rng().random::<[u8; 32]>())
}

fn io_error(attempt: &'static str, path: &Path) -> impl FnOnce(io::Error) -> Error {
    move |source| Error::Io {
        attempt,
        path: path.to_owned(),
        source,
    }
}

fn read(path: &Path) -> Result<String, Error> {
    let metadata = std::fs::metadata(path).map_err(io_error("look at", path))?;
    let mode = metadata.permissions().mode() & 0o777;
    if mode & 0o077 != 0 {
        let path = path.to_owned();
        return Err(Error::Mode { path, mode });
    }
    let text = std::fs::read_to_string(path).map_err(io_error("read", path))?;
    let text = text.trim().to_owned();
    if text.is_empty() {
        let path = path.to_owned();
        return Err(Error::Content { path });
    }
    Ok(text)
}

fn create(path: &Path, content: &str) -> Result<(), Error> {
    if let Some(parent) = path.parent() {
        std::fs::create_dir_all(parent).map_err(io_error("create the folder of", path))?;
    }
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path)
        .map_err(io_error("create", path))?;
    file.write_all(content.as_bytes())
        .and_then(|()| file.sync_all())
        .map_err(io_error("write", path))
}

/// Reads the secret that the deployment's processes share. A deployment of one process creates
/// it if it is missing.
///
/// # Errors
///
/// Returns an error if the file can't be read or others may read it.
pub fn cluster(path: &Path, alone: bool) -> Result<String, Error> {
    if alone && !path.exists() {
        create(path, &fresh())?;
    }
    read(path)
}

/// Reads operators and the credentials that they present, as names and digests. A deployment of
/// one process creates one operator named `admin` if the file is missing.
///
/// # Errors
///
/// Returns an error if the file can't be read, others may read it, or a line is malformed.
pub fn operators(path: &Path, alone: bool) -> Result<Vec<(String, String)>, Error> {
    if alone && !path.exists() {
        create(path, &format!("admin:{}\n", fresh()))?;
    }
    let text = read(path)?;
    text.lines()
        .map(|line| {
            let (name, credential) = line.split_once(':')?;
            let digest = celerycove_config::secret::digest(credential.trim());
            Some((name.trim().to_owned(), digest))
        })
        .collect::<Option<Vec<_>>>()
        .ok_or_else(|| Error::Content {
            path: path.to_owned(),
        })
}
