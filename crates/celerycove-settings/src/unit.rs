//! Values with units: `250ms`, `64MiB`.

use std::{fmt, str::FromStr, time::Duration};

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// A size in bytes, parsed from a number with an optional unit: `B`, `KiB`, `MiB` or `GiB`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub struct Bytes(pub usize);

/// A duration, parsed from numbers with units: `250ms`, `1m 30s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub struct Span(pub Duration);

/// Error of parsing a value with a unit.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not a size in bytes.
    #[error("expected a size such as 64MiB, got {0:?}")]
    Bytes(String),
    /// The text is not a duration.
    #[error("expected a time such as 250ms, got {0:?}")]
    Span(String),
}

/// Suffixes and their sizes in bytes. `B` is last, as it is a suffix of the others.
const BYTE_UNITS: [(&str, usize); 4] = [
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("B", 1),
];

impl FromStr for Bytes {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error::Bytes(text.to_owned());
        let (number, unit_bytes) = BYTE_UNITS
            .iter()
            .find_map(|(unit, size)| text.strip_suffix(unit).map(|number| (number, *size)))
            .unwrap_or((text, 1));
        let number: usize = number.trim().parse().map_err(|_| invalid())?;
        number.checked_mul(unit_bytes).map(Self).ok_or_else(invalid)
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let largest_divisor = BYTE_UNITS[..3]
            .iter()
            .rev()
            .find(|(_, size)| self.0 >= *size && self.0.is_multiple_of(*size));
        match largest_divisor {
            Some((unit, size)) => write!(f, "{}{unit}", self.0 / size),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        humantime::parse_duration(text)
            .map(Self)
            .map_err(|_| Error::Span(text.to_owned()))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.0).fmt(f)
    }
}
