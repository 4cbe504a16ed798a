//! Tests with real processes on loopback addresses: killed processes, graceful shutdowns, cut links
//! and restarts.

#[path = "processes/caller.rs"]
mod caller;
#[path = "processes/deployment.rs"]
mod deployment;
#[path = "processes/end_to_end.rs"]
mod end_to_end;
#[path = "processes/faults.rs"]
mod faults;
#[path = "processes/operators.rs"]
mod operators;
#[path = "processes/shutdown.rs"]
mod shutdown;
