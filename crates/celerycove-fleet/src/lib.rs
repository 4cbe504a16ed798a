//! The replicated state of a fleet whose entry processes connect to backend servers directly.
//!
//! [`Config`] is a complete configuration; a higher version replaces a lower one. [`Fleet`] is the
//! state machine of the replicated control log: the configuration, evacuated data centres, the
//! entry processes that share rate limits, the stores, and the rollouts of services. [`Registry`] merges the heartbeats of
//! backend servers, which may arrive in any order and over several paths.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod change;
pub mod config;
pub mod index;
pub mod registry;
pub mod state;

pub use celerycove_rollout::{Rollout, Stage};
pub use change::Change;
pub use config::Config;
pub use index::Index;
pub use registry::Registry;
pub use state::{Command, Effect, Fleet};
