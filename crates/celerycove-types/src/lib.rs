//! Identifiers, labels, selectors and time shared by all crates of celerycove.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod id;
pub mod label;
pub mod map;
pub mod order;
pub mod violation;

pub use label::{Labels, Requirements};
pub use map::{Map, Set};
pub use violation::Violation;

/// Time since an epoch that only the one process knows; never compared between processes.
pub type Timestamp = std::time::Duration;

/// Whole microseconds of a time, for counters that are read without locks.
#[must_use]
pub fn micros(time: Timestamp) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
