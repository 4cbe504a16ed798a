//! Turns of programs that continue from a turn by its name, and token budgets by program.
//!
//! [`Turns`] is a state machine for the replicated log of the stores. Before a backend server runs
//! a turn, [`Command::Begin`] reserves the most that it may generate; [`Command::End`] settles the
//! reservation and keeps the turn. A reservation without an end counts as spent for good, so a
//! program never gets more than its budget, whoever fails in between.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod account;
pub mod command;
mod state;

pub use command::{Begin, Command, End, Keep, Outcome};
pub use state::Turns;
