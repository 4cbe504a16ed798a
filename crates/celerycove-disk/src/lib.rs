//! Checksummed files for the control log and for program shards.
//!
//! A file of records survives a crash at any point: a torn tail is cut, a damaged record in the
//! middle is refused. Nothing is reported as saved before it is synced.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod control;
pub mod journal;
pub mod records;
pub mod whole;

pub use control::Store;
pub use journal::Journal;
