//! Small files that are replaced as a whole.

use std::path::Path;

use serde::{Serialize, de::DeserializeOwned};

use crate::records::{self, Error, Records};

/// What went wrong with a file that is replaced as a whole.
#[derive(Debug, thiserror::Error)]
pub enum WholeError {
    /// The file's records.
    #[error(transparent)]
    Records(#[from] Error),
    /// The payload is intact but not what was expected.
    #[error("could not decode {path}")]
    Decode {
        /// The file.
        path: std::path::PathBuf,
        /// Why.
        #[source]
        source: rmp_serde::decode::Error,
    },
    /// The value can't be written down.
    #[error("could not encode {path}")]
    Encode {
        /// The file.
        path: std::path::PathBuf,
        /// Why.
        #[source]
        source: rmp_serde::encode::Error,
    },
}

/// Replaces a file by one value and syncs it.
///
/// # Errors
///
/// Returns an error unless the new value is in place and synced.
pub fn save<T: Serialize>(path: &Path, value: &T) -> Result<(), WholeError> {
    let payload = encode(path, value)?;
    records::replace(path, &[payload])?;
    Ok(())
}

/// Reads the value of a file, if there is one.
///
/// # Errors
///
/// Returns an error if the file is damaged or holds something else.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, WholeError> {
    if !path.exists() {
        return Ok(None);
    }
    let (_, payloads) = Records::open(path)?;
    payloads
        .last()
        .map(|payload| decode(path, payload))
        .transpose()
}

/// Encodes with field names, so that files outlive fields that come and go.
pub(crate) fn encode<T: Serialize>(path: &Path, value: &T) -> Result<Vec<u8>, WholeError> {
    rmp_serde::to_vec_named(value).map_err(|source| WholeError::Encode {
        path: path.to_owned(),
        source,
    })
}

pub(crate) fn decode<T: DeserializeOwned>(path: &Path, payload: &[u8]) -> Result<T, WholeError> {
    rmp_serde::from_slice(payload).map_err(|source| WholeError::Decode {
        path: path.to_owned(),
        source,
    })
}
