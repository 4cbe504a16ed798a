//! The simulations, one module for each [`World`](crate::World).

pub mod control;
pub mod limit;
pub mod program;
pub mod queue;
pub mod turns;
