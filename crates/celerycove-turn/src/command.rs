//! What changes the state, and what became of it.

use std::time::Duration;

use bytes::Bytes;
use celerycove_types::id;
use serde::{Deserialize, Serialize};

/// Milliseconds of the time of day, as the leader that proposed a command read it.
pub type Millis = u64;

/// Asks to run a turn.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Begin {
    /// When it was proposed.
    pub at: Millis,
    /// The caller's attempt.
    pub request: id::Request,
    /// Whose turn it is.
    pub organisation: id::Organisation,
    /// The program and the tokens that all its turns may generate.
    pub budget: Option<(id::Program, id::Tokens)>,
    /// The most tokens that this turn generates.
    pub most: id::Tokens,
    /// The turn that it continues from.
    pub previous: Option<id::Request>,
    /// Whether the proposer holds the chain up to `previous` already.
    pub holds_chain: bool,
    /// How long the program's account is kept.
    pub retention: Duration,
}

/// A turn to keep.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Keep {
    /// The turn that it continued from.
    pub previous: Option<id::Request>,
    /// Its input and the data of its events, as they are given to an engine later.
    pub text: Bytes,
}

/// Tells how a turn ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// When it was proposed.
    pub at: Millis,
    /// The caller's attempt.
    pub request: id::Request,
    /// Whose turn it was.
    pub organisation: id::Organisation,
    /// The program, if its turns have a budget.
    pub program: Option<id::Program>,
    /// Tokens handed to the caller.
    pub spent: id::Tokens,
    /// What later turns may continue from; `None` if the turn did not end whole.
    pub keep: Option<Keep>,
    /// How long it is kept.
    pub retention: Duration,
}

/// A command of the stores' log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Reserves tokens and looks the chain up.
    Begin(Begin),
    /// Settles a reservation and keeps the turn.
    End(End),
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The turn may run; the chain's texts, oldest first, unless the proposer holds them.
    Begun(Vec<Bytes>),
    /// The budget does not hold the most that the turn may generate.
    OverBudget {
        /// Tokens spent.
        spent: id::Tokens,
        /// Tokens reserved by turns that have not ended.
        reserved: id::Tokens,
    },
    /// The organisation has no such turn.
    NoTurn,
    /// The end is settled.
    Ended,
}
