//! Replicated state of turns and of the token budgets of programs.
//!
//! A turn is one request to a model together with its answer. It may continue an earlier turn of
//! the same organisation, which it names by that turn's request id; such turns form a chain.
//!
//! [`Turns`] is a state machine driven by the replicated log of the store processes. Before a
//! backend server runs a turn, [`Command::Begin`] reserves the maximum number of tokens that the
//! turn may generate. [`Command::End`] replaces the reservation by the tokens actually generated
//! and stores the turn. A reservation that never gets an end keeps counting against the budget, so
//! a program can't exceed it, whichever process fails between the two commands.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod account;
pub mod command;
mod state;

pub use command::{Begin, Command, End, Keep, Outcome};
pub use state::Turns;
