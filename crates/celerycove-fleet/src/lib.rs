//! The agreed state of a fleet whose entries reach backend servers directly.
//!
//! [`Config`] is a complete configuration that replaces the one before when its version is higher.
//! [`Fleet`] is the state machine that the control log drives: the configuration, evacuated data
//! centres, the entries that share allowances, and the stores. [`Registry`] merges the heartbeats
//! of backend servers, in whatever order and over whatever path they arrive.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod config;
pub mod index;
pub mod registry;
pub mod state;

pub use config::Config;
pub use index::Index;
pub use registry::Registry;
pub use state::{Command, Effect, Fleet};
