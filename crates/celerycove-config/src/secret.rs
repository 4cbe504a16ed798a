//! API keys, written `cck_ID_SECRET`, and operator credentials; both are stored only as digests.

use celerycove_types::id;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::document::Config;

/// The prefix of every API key.
const KEY_PREFIX: &str = "cck_";

/// Returns the SHA-256 of a secret in hexadecimal.
#[must_use]
pub fn digest(secret: &str) -> String {
    hex::encode(Sha256::digest(secret.as_bytes()))
}

/// Compares two secrets or digests in constant time for a given length.
#[must_use]
pub fn constant_time_eq(a: &str, b: &str) -> bool {
    a.as_bytes().ct_eq(b.as_bytes()).into()
}

/// Formats an API key as callers present it.
#[must_use]
pub fn format_key(id: &str, secret: &str) -> String {
    format!("{KEY_PREFIX}{id}_{secret}")
}

/// Looks up the API key that a caller presents, by its public id and the digest of its secret.
#[must_use]
pub fn authenticate(config: &Config, presented: &str) -> Option<(id::Key, id::Organisation)> {
    let (id, secret) = presented.strip_prefix(KEY_PREFIX)?.rsplit_once('_')?;
    let (id, key) = config.keys.get_key_value(id)?;
    constant_time_eq(&digest(secret), &key.digest).then(|| (id.clone(), key.organisation.clone()))
}
