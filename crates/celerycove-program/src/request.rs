//! What entries ask of the primary of a shard.

use std::{sync::Arc, time::Duration};

use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::op::{Answer, CallName, Ending, Served, Turn};

/// A question to the primary; each may be sent again with the same result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Opens a program.
    Open {
        /// Its id, chosen by the entry.
        program: id::Program,
        /// Whose it is.
        organisation: id::Organisation,
        /// Tokens it may spend.
        budget: Option<id::Tokens>,
        /// Time from now in which it must be done.
        deadline: Option<Duration>,
    },
    /// Asks to dispatch a call.
    Begin {
        /// Which call.
        name: CallName,
        /// Whose key came with it.
        organisation: id::Organisation,
        /// Digest of its body.
        digest: Arc<str>,
        /// The new turns.
        turns: Vec<Turn>,
        /// The most tokens that the new turns can count.
        turn_tokens: id::Tokens,
        /// The most tokens to generate, if the caller says so.
        max_tokens: Option<id::Tokens>,
        /// The most tokens to generate otherwise.
        default_tokens: id::Tokens,
        /// Names the request, so that it may be sent again.
        request: id::Request,
        /// The process that will dispatch.
        entry: id::Process,
    },
    /// Tells how a dispatched call ended.
    Settle {
        /// Which call.
        name: CallName,
        /// Which dispatch of it.
        attempt: id::Attempt,
        /// How it ended.
        ending: Ending<Answer>,
    },
    /// Asks to dispatch a call of a plain service.
    Intend {
        /// The idempotency key with its organisation and route.
        key: Arc<str>,
        /// Digest of the body.
        digest: Arc<str>,
        /// Names the request.
        request: id::Request,
        /// The process that will dispatch.
        entry: id::Process,
    },
    /// Tells how a call of a plain service ended.
    Conclude {
        /// The key.
        key: Arc<str>,
        /// Which dispatch.
        attempt: id::Attempt,
        /// How it ended.
        ending: Ending<Served>,
    },
    /// Asks for a program's account.
    Show {
        /// Which program.
        program: id::Program,
        /// Whose key came with the question; `None` for an operator.
        organisation: Option<id::Organisation>,
    },
    /// Ends a program.
    End {
        /// Which program.
        program: id::Program,
        /// Whose key came with it.
        organisation: id::Organisation,
    },
    /// Asks for the accounts of all programs, for an operator.
    List,
}

/// The primary's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// It is done.
    Done,
    /// The call may be dispatched, once.
    Granted(Grant),
    /// The call was completed before.
    Recorded(Answer),
    /// The service call may be dispatched, once.
    Intended {
        /// Which dispatch this is.
        attempt: id::Attempt,
    },
    /// The service call was completed before.
    Served(Served),
    /// A program's account.
    Account(Account),
    /// Accounts by program.
    Accounts(Vec<Account>),
    /// It can't be done.
    Refused(Refusal),
    /// This process is not the shard's primary, or ceased to be; ask again.
    NotPrimary,
}

/// Leave to dispatch a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Which dispatch this is.
    pub attempt: id::Attempt,
    /// The whole history before the new turns.
    pub history: Vec<Turn>,
    /// Tokens that the history counts.
    pub history_tokens: id::Tokens,
    /// The most tokens to generate.
    pub max_tokens: id::Tokens,
    /// Where the chain last ran.
    pub backend: Option<id::Backend>,
    /// Tokens spent by the whole program.
    pub spent: id::Tokens,
}

/// What a program has spent and done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The program.
    pub program: id::Program,
    /// Whose it is.
    pub organisation: id::Organisation,
    /// Tokens it may spend.
    pub budget: Option<id::Tokens>,
    /// Tokens spent.
    pub spent: id::Tokens,
    /// Tokens reserved.
    pub reserved: id::Tokens,
    /// Completed calls by agent.
    pub calls: std::collections::BTreeMap<id::Agent, id::Call>,
    /// Whether it has ended.
    pub ended: bool,
}

/// Why a request can't be done; nothing was run for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// There is no such program, or it belongs to another organisation.
    #[error("the program is unknown")]
    UnknownProgram,
    /// The program has ended.
    #[error("the program has ended")]
    Ended,
    /// The program's id is taken.
    #[error("the program's id is taken")]
    Taken,
    /// The budget does not cover the most that the call can cost.
    #[error("the call can cost {needed} tokens and {remaining} remain")]
    Budget {
        /// Tokens that the call can cost.
        needed: id::Tokens,
        /// Tokens not yet spent or reserved.
        remaining: id::Tokens,
    },
    /// The program's deadline has passed.
    #[error("the program's deadline has passed")]
    Deadline,
    /// The call is not the next of its chain.
    #[error("call {call} is out of order: {expected} comes next")]
    Order {
        /// The call's number.
        call: id::Call,
        /// The number that comes next.
        expected: id::Call,
    },
    /// The call's number was used with another body.
    #[error("call {0} was sent before with another body")]
    Reused(id::Call),
    /// The call is under way.
    #[error("the call is under way")]
    UnderWay,
    /// The idempotency key was used with another body.
    #[error("the idempotency key was used before with another body")]
    KeyReused,
    /// The service call may have run; it is never sent again.
    #[error("the call may have run; it is not sent again")]
    Unknown,
}
