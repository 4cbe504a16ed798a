//! Selects the backend server for a request.
//!
//! A [`Pool`] lists the backend servers that one class of traffic may reach. It is rebuilt when the
//! configuration or the directory of announcements changes, never because of load. A selection
//! compares the backend server where the program last ran with a few random ones, so its cost does
//! not grow with the size of the fleet.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod choose;
pub mod direct;
pub mod hedge;
pub mod pool;
pub mod prefix;
pub mod stats;

pub use choose::{Options, Reason, Request, Selection, select};
pub use pool::{Member, Pool};
pub use stats::{Report, Stats};
