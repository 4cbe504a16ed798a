//! Fault injection against the real processes on loopback, with checks of what callers and backend
//! servers observe.
//!
//! A fault [`plan`] is generated from a seed and executed by a [`run`]: processes are stopped,
//! paused, killed, lose their files and restart; a [`proxy`] delays, blocks and resets connections
//! between them; [backend servers](backend) return errors; configuration updates race. The
//! [`checker`] compares the observations with the system's guarantees. Clock faults are not
//! covered, because the clocks of a single process can't be changed from outside.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod backend;
pub mod caller;
pub mod checker;
pub mod cost;
pub mod fleet;
pub mod plan;
pub mod proxy;
pub mod run;
