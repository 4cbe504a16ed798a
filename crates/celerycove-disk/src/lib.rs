//! Checksummed files for the control log and for program shards.
//!
//! A record file survives a crash at any point: a torn tail is truncated when the file is opened. A
//! corrupt record before intact ones is an error. Nothing is reported as saved before it is synced.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod control;
pub mod journal;
pub mod records;
pub mod value;

pub use control::Store;
pub use journal::Journal;
