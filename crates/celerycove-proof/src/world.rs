//! The kinds of runs.

pub mod control;
pub mod limit;
pub mod program;
pub mod queue;
pub mod turns;
