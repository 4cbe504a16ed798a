//! Requests of entry processes to the primary of a shard, and the responses.

use std::{sync::Arc, time::Duration};

use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::op::{Answer, CallId, ChatMessage, Outcome, ServiceAnswer};

/// A request to the primary; all of them are idempotent and may be sent again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Opens a program.
    Open {
        /// Its id, chosen by the entry process.
        program: id::Program,
        /// The organisation that owns it.
        organisation: id::Organisation,
        /// Its token budget; `None` is without limit.
        budget: Option<id::Tokens>,
        /// The time from now after which new calls are refused.
        deadline: Option<Duration>,
    },
    /// Asks to dispatch a call.
    Begin {
        /// The call.
        name: CallId,
        /// The organisation of the API key that came with the request.
        organisation: id::Organisation,
        /// The digest of its body.
        digest: Arc<str>,
        /// The chat messages that the call adds.
        turns: Vec<ChatMessage>,
        /// An upper bound on the tokens of these messages.
        turn_tokens: id::Tokens,
        /// The maximum number of tokens to generate, if the caller set one.
        max_tokens: Option<id::Tokens>,
        /// The maximum number of tokens to generate otherwise; less if the budget requires it.
        default_tokens: id::Tokens,
        /// The id of the request; the same when it is sent again.
        request: id::Request,
        /// The entry process that will dispatch the call.
        entry: id::Process,
    },
    /// Reports the outcome of a dispatched call.
    Settle {
        /// The call.
        name: CallId,
        /// The number of its dispatch.
        attempt: id::Attempt,
        /// The outcome.
        ending: Outcome<Answer>,
    },
    /// Asks to dispatch a call to a plain service.
    Intend {
        /// The idempotency key, qualified by organisation and route.
        key: Arc<str>,
        /// The digest of the body.
        digest: Arc<str>,
        /// The id of the request; the same when it is sent again.
        request: id::Request,
        /// The entry process that will dispatch the call.
        entry: id::Process,
    },
    /// Reports the outcome of a call to a plain service.
    Conclude {
        /// The idempotency key, qualified by organisation and route.
        key: Arc<str>,
        /// The number of its dispatch.
        attempt: id::Attempt,
        /// The outcome.
        ending: Outcome<ServiceAnswer>,
    },
    /// Asks for a program's account.
    Show {
        /// The program.
        program: id::Program,
        /// The organisation of the API key that came with the request; `None` for an operator.
        organisation: Option<id::Organisation>,
    },
    /// Ends a program.
    End {
        /// The program.
        program: id::Program,
        /// The organisation of the API key that came with the request.
        organisation: id::Organisation,
    },
    /// Asks for the accounts of all programs, for an operator.
    List,
}

/// A response of the primary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The request was carried out.
    Done,
    /// The call may be dispatched once.
    Granted(Grant),
    /// The call was completed earlier; this is its answer.
    Recorded(Answer),
    /// The service call may be dispatched once.
    Intended {
        /// The number of this dispatch.
        attempt: id::Attempt,
    },
    /// The service call was completed earlier; this is its answer.
    Served(ServiceAnswer),
    /// A program's account.
    Account(Account),
    /// The accounts of all programs, in order of their ids.
    Accounts(Vec<Account>),
    /// The request was refused.
    Refused(Refusal),
    /// This process is not, or no longer, the primary of the shard, or has too many responses
    /// waiting; the request should be sent again.
    NotPrimary,
}

/// Permission to dispatch a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The number of this dispatch.
    pub attempt: id::Attempt,
    /// The whole history before the messages that the call adds.
    pub history: Vec<ChatMessage>,
    /// The number of tokens in the history.
    pub history_tokens: id::Tokens,
    /// The maximum number of tokens to generate.
    pub max_tokens: id::Tokens,
    /// The backend server that answered the previous call of the chain.
    pub backend: Option<id::Backend>,
    /// Tokens spent by the whole program so far.
    pub spent: id::Tokens,
}

/// The token usage and completed calls of a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The program.
    pub program: id::Program,
    /// The organisation that owns it.
    pub organisation: id::Organisation,
    /// Its token budget; `None` is without limit.
    pub budget: Option<id::Tokens>,
    /// Tokens spent.
    pub spent: id::Tokens,
    /// Tokens reserved by calls in flight.
    pub reserved: id::Tokens,
    /// The number of completed calls of each agent.
    pub calls: std::collections::BTreeMap<id::Agent, id::Call>,
    /// Whether it has ended.
    pub ended: bool,
}

/// The reason why a request was refused; nothing was dispatched for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// There is no such program, or it belongs to another organisation.
    #[error("the program is unknown")]
    UnknownProgram,
    /// The program has ended.
    #[error("the program has ended")]
    Ended,
    /// The program's id is already in use.
    #[error("the program's id is taken")]
    Taken,
    /// The remaining budget does not cover the maximum cost of the call.
    #[error("the call can cost {needed} tokens and {remaining} remain")]
    Budget {
        /// The maximum cost of the call in tokens.
        needed: id::Tokens,
        /// Tokens that are neither spent nor reserved.
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
    /// The call's number was used earlier with another body.
    #[error("call {0} was sent before with another body")]
    Reused(id::Call),
    /// The call is in flight.
    #[error("the call is under way")]
    UnderWay,
    /// The idempotency key was used earlier with another body.
    #[error("the idempotency key was used before with another body")]
    KeyReused,
    /// The service call may have run; it is never dispatched again.
    #[error("the call may have run; it is not sent again")]
    Unknown,
}
