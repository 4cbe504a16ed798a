//! The daemon: runs the roles, listeners, logs and metrics of one process.
//!
//! Decisions are made by state machines in other crates that do no I/O. This crate connects them to
//! sockets, clocks and disks.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod admin;
pub mod control;
pub mod entry;
pub mod home;
pub mod http;
pub mod internal;
pub mod links;
pub mod logging;
pub mod metrics;
pub mod operator;
pub mod options;
pub mod peer;
pub mod process;
pub mod puller;
pub mod requests;
pub mod run;
pub mod secret;
pub mod sidecar;
pub mod state;

pub use run::{Running, start};
