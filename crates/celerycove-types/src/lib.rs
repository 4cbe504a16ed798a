//! Identifiers, labels, label requirements, status codes and time, shared by all crates of celerycove.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod id;
pub mod label;
pub mod map;
pub mod order;
pub mod status;
pub mod violation;

pub use label::{Labels, Requirements};
pub use map::{Map, Set};
pub use violation::Violation;

/// Time on a clock whose origin is private to one process; not comparable between processes.
pub type Timestamp = std::time::Duration;

/// Converts a time to whole microseconds, for storage in an atomic counter.
#[must_use]
pub fn micros(time: Timestamp) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
