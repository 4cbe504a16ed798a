//! Loads and creates secret files, which only their owner may read.

use std::{
    fs::OpenOptions,
    io::{self, Write},
    os::unix::fs::{OpenOptionsExt, PermissionsExt},
    path::{Path, PathBuf},
};

use rand::RngExt;

/// An error about a secret file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read or created.
    #[error("could not {action} the secret file {path}")]
    Io {
        /// The operation that failed, as a verb.
        action: &'static str,
        /// The file.
        path: PathBuf,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The file's mode lets other users access it.
    #[error("the secret file {path} has mode {mode:o}: it must be 600 or 400")]
    Mode {
        /// The file.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// The file is empty or has a malformed line.
    #[error("the secret file {path} is empty or has a line that is not name:credential")]
    Content {
        /// The file.
        path: PathBuf,
    },
}

/// Generates a random secret of 256 bits in hexadecimal.
#[must_use]
pub fn generate() -> String {
    hex::encode(rand::rng().random::<[u8; 32]>())
}

fn io_error(action: &'static str, path: &Path) -> impl FnOnce(io::Error) -> Error {
    move |source| Error::Io {
        action,
        path: path.to_owned(),
        source,
    }
}

fn read(path: &Path) -> Result<String, Error> {
    let metadata = std::fs::metadata(path).map_err(io_error("read the mode of", path))?;
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

/// Reads the secret that all processes of the deployment share. In a deployment with a single
/// control instance, that process creates the file if it is missing.
///
/// # Errors
///
/// Returns an error if the file can't be read or created, is empty, or is accessible to other
/// users.
pub fn load_cluster_secret(path: &Path, single_control: bool) -> Result<String, Error> {
    if single_control && !path.exists() {
        create(path, &generate())?;
    }
    read(path)
}

/// Reads the operators as pairs of name and credential digest. In a deployment with a single
/// control instance, that process creates a file with one operator named `admin` if it is missing.
///
/// # Errors
///
/// Returns an error if the file can't be read or created, is accessible to other users, or has a
/// malformed line.
pub fn load_operators(path: &Path, single_control: bool) -> Result<Vec<(String, String)>, Error> {
    if single_control && !path.exists() {
        create(path, &format!("admin:{}\n", generate()))?;
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
