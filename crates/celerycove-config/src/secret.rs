//! Keys and credentials: written `cck_ID_SECRET`, kept only as digests.

use celerycove_types::id;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::document::Config;

/// What every key of a caller begins with.
const PREFIX: &str = "cck_";

/// Gives the SHA-256 of a secret in hexadecimal.
#[must_use]
pub fn digest(secret: &str) -> String {
    hex::encode(Sha256::digest(secret.as_bytes()))
}

/// Compares two secrets or digests in time that depends only on their lengths.
#[must_use]
pub fn equal(a: &str, b: &str) -> bool {
    a.as_bytes().ct_eq(b.as_bytes()).into()
}

/// Writes a key as callers present it.
#[must_use]
pub fn format_key(id: &str, secret: &str) -> String {
    format!("{PREFIX}{id}_{secret}")
}

/// Finds the key that a caller presents, by its public id and the digest of its secret.
#[must_use]
pub fn authenticate(config: &Config, presented: &str) -> Option<(id::Key, id::Organisation)> {
    let (id, secret) = presented.strip_prefix(PREFIX)?.rsplit_once('_')?;
    let (id, key) = config.keys.get_key_value(id)?;
    equal(&digest(secret), &key.digest).then(|| (id.clone(), key.organisation.clone()))
}
