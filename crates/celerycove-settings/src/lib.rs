//! Settings of the daemon, read from INI and checked as a whole.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod read;
pub mod schema;
pub mod unit;

pub use read::{Fault, parse};
pub use schema::{Control, Entry, Home, Log, Process, Settings, Sidecar, Standin};
