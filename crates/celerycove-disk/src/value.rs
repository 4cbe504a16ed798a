//! Small files that hold a single value and are replaced atomically.

use std::path::Path;

use serde::{Serialize, de::DeserializeOwned};

use crate::records::{self, Records};

/// An error of a file of encoded values.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The record file can't be read or written.
    #[error(transparent)]
    Records(#[from] records::Error),
    /// An intact payload can't be decoded to the expected type.
    #[error("could not decode {path}")]
    Decode {
        /// The file.
        path: std::path::PathBuf,
        /// The cause.
        #[source]
        source: rmp_serde::decode::Error,
    },
    /// The value can't be encoded.
    #[error("could not encode {path}")]
    Encode {
        /// The file.
        path: std::path::PathBuf,
        /// The cause.
        #[source]
        source: rmp_serde::encode::Error,
    },
}

/// Atomically replaces the content of a file with a value, and syncs it.
///
/// # Errors
///
/// Returns an error unless the new value is in place and synced.
pub fn save<T: Serialize>(path: &Path, value: &T) -> Result<(), Error> {
    records::replace_with(path, |mut writer| {
        rmp_serde::encode::write_named(&mut writer, value).map_err(|source| Error::Encode {
            path: path.to_owned(),
            source,
        })
    })
}

/// Reads the value of a file; returns `None` if there is no file or it is empty.
///
/// # Errors
///
/// Returns an error if the file is corrupt or holds a value of another type.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, Error> {
    if !path.exists() {
        return Ok(None);
    }
    if let Some(payload) = records::open_single(path)? {
        let value =
            rmp_serde::from_read(payload.into_reader()?).map_err(|source| Error::Decode {
                path: path.to_owned(),
                source,
            })?;
        return Ok(Some(value));
    }
    let (_, payloads) = Records::open(path)?;
    payloads
        .last()
        .map(|payload| decode(path, payload))
        .transpose()
}

/// Encodes a value as `MessagePack` with field names, so that files stay readable when fields are
/// added or removed.
pub(crate) fn encode<T: Serialize>(path: &Path, value: &T) -> Result<Vec<u8>, Error> {
    rmp_serde::to_vec_named(value).map_err(|source| Error::Encode {
        path: path.to_owned(),
        source,
    })
}

/// Decodes a value that [`encode`] wrote.
pub(crate) fn decode<T: DeserializeOwned>(path: &Path, payload: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(payload).map_err(|source| Error::Decode {
        path: path.to_owned(),
        source,
    })
}
