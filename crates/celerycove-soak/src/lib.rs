//! Runs the real processes on loopback, injects faults from outside and checks what callers and
//! backend servers see.
//!
//! A [`plan`] is drawn from a seed; a [`run`] plays it: processes are stopped, paused, killed, lose
//! their files and start again, connections between them are delayed, held up and reset by a
//! [`proxy`], backend servers misbehave, operators race. The [`ledger`] holds what was seen against
//! the promises. Clocks are not disturbed: a process's clocks can't be changed from outside.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod caller;
pub mod cost;
pub mod fleet;
pub mod ledger;
pub mod plan;
pub mod proxy;
pub mod run;
pub mod server;
