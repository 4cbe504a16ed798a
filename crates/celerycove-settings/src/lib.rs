//! Parsing and validation of the daemon's INI settings.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod read;
pub mod schema;
pub mod unit;

pub use read::{Error, parse};
pub use schema::{Control, Entry, Home, Log, Process, Settings, Sidecar, Standin};
