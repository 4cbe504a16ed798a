//! Real processes on loopback: kills, graceful shutdowns, cut links and restarts.

#[path = "processes/caller.rs"]
mod caller;
#[path = "processes/deployment.rs"]
mod deployment;
#[path = "processes/faults.rs"]
mod faults;
#[path = "processes/operators.rs"]
mod operators;
#[path = "processes/path.rs"]
mod path;
#[path = "processes/shutdown.rs"]
mod shutdown;
