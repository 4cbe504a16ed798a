//! The identity of a request, which is the same each time that a caller sends it.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use sha2::{Digest as _, Sha256};

/// Length of a digest: collisions can't be constructed in practice, and hundreds fit in one message.
const LENGTH_BYTES: usize = 16;

/// The digests of one request: of the whole of it, and of its target alone. Requests with different
/// bodies may crash backend servers because of what they all name; and one of many bodies that are
/// sent to one target may do so because of what it holds.
pub type Digests = [Digest; 2];

/// What a digest is computed from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Subject<'a> {
    /// The organisation, so that evidence on its requests holds for no other; `None` for anonymous
    /// callers.
    pub organisation: Option<&'a str>,
    /// The method.
    pub method: &'a str,
    /// The path with the query.
    pub target: &'a str,
    /// The turn that the request continues: it is part of what the backend server runs.
    pub previous_turn: Option<&'a str>,
    /// The body as the caller sent it.
    pub body: &'a [u8],
}

/// Identifies a request whichever id, deadline or position in its stream it is sent with.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(#[serde_as(as = "Bytes")] [u8; LENGTH_BYTES]);

impl Subject<'_> {
    /// Computes the digests of a request.
    #[must_use]
    pub fn digests(&self) -> Digests {
        [Digest::new(self), Digest::of_target(self)]
    }
}

impl Digest {
    /// Computes the digest of a request.
    #[must_use]
    pub fn new(subject: &Subject<'_>) -> Self {
        Self::of_fields(subject.previous_turn, Some(subject.body), subject)
    }

    /// Computes the digest of a request's organisation, method and target.
    #[must_use]
    pub fn of_target(subject: &Subject<'_>) -> Self {
        Self::of_fields(None, None, subject)
    }

    fn of_fields(previous_turn: Option<&str>, body: Option<&[u8]>, subject: &Subject<'_>) -> Self {
        let fields = [
            subject.organisation.map(str::as_bytes),
            Some(subject.method.as_bytes()),
            Some(subject.target.as_bytes()),
            previous_turn.map(str::as_bytes),
            body,
        ];
        let mut hasher = Sha256::new();
        for field in fields {
            // A prefix that tells a missing field from an empty one, and where each field ends.
            hasher.update([u8::from(field.is_some())]);
            let field = field.unwrap_or_default();
            hasher.update(field.len().to_be_bytes());
            hasher.update(field);
        }
        let hash = hasher.finalize();
        let mut bytes = [0; LENGTH_BYTES];
        bytes.copy_from_slice(&hash[..LENGTH_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
