//! Commands of the state machine and their outcomes.

use std::time::Duration;

use bytes::Bytes;
use celerycove_types::id;
use serde::{Deserialize, Serialize};

/// Milliseconds since the Unix epoch, read from the clock of the leader that proposed a command.
pub type UnixMillis = u64;

/// A request to run a turn.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Begin {
    /// The time at which the leader proposed the command.
    pub at: UnixMillis,
    /// The request id, unique to one attempt of the caller.
    pub request: id::Request,
    /// The organisation that owns the turn.
    pub organisation: id::Organisation,
    /// The program and its budget: the tokens that all its turns together may generate.
    pub budget: Option<(id::Program, id::Tokens)>,
    /// The maximum number of tokens that this turn may generate.
    #[serde(rename = "most")]
    pub max_tokens: id::Tokens,
    /// The request id of the turn that this one continues.
    pub previous: Option<id::Request>,
    /// Whether the proposer already has the texts of the chain up to `previous`, so that the
    /// outcome can leave them out.
    pub holds_chain: bool,
    /// How long the program's account is kept after this command.
    pub retention: Duration,
}

/// A completed turn to store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Keep {
    /// The request id of the turn that this one continued.
    pub previous: Option<id::Request>,
    /// The turn's input and the data of its events, in the form in which a later turn sends them to
    /// an engine.
    pub text: Bytes,
}

/// The end of a turn.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// The time at which the leader proposed the command.
    pub at: UnixMillis,
    /// The request id, unique to one attempt of the caller.
    pub request: id::Request,
    /// The organisation that owns the turn.
    pub organisation: id::Organisation,
    /// The program, if it has a budget.
    pub program: Option<id::Program>,
    /// Tokens delivered to the caller.
    pub spent: id::Tokens,
    /// The turn to store, so that later turns can continue it; `None` if it ended incomplete.
    pub keep: Option<Keep>,
    /// How long the turn and the program's account are kept.
    pub retention: Duration,
}

/// A command in the replicated log of the store processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Reserves tokens and looks up the chain to continue.
    Begin(Begin),
    /// Settles a reservation and stores the turn.
    End(End),
}

/// The outcome of a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The turn may run. Holds the texts of the chain, oldest first; empty if the proposer already
    /// has them.
    Begun(Vec<Bytes>),
    /// The remaining budget is smaller than the maximum that the turn may generate.
    OverBudget {
        /// Tokens spent.
        spent: id::Tokens,
        /// Tokens reserved by turns that have not ended.
        reserved: id::Tokens,
    },
    /// The organisation has no turn with the id in `previous`, or a part of its chain is missing.
    NoTurn,
    /// The end was recorded.
    Ended,
}
