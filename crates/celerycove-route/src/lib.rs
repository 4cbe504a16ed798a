//! The choice of a backend server for one request.
//!
//! A [`Pool`] lists the backend servers that some traffic may reach; it changes with the
//! configuration and the directory, never with load. A choice weighs the one where the program
//! last ran and a few others taken at random, so its cost does not grow with the fleet.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod choose;
pub mod direct;
pub mod pool;
pub mod prefix;
pub mod stats;

pub use choose::{Choice, Need, Options, Reason, choose};
pub use pool::{Member, Pool};
pub use stats::{Report, Stats};
