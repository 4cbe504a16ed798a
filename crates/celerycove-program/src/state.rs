//! The replicated state of one shard.

use std::{collections::BTreeMap, sync::Arc};

use celerycove_types::{Timestamp, id};
use serde::{Deserialize, Serialize};

use crate::op::{Answer, ChatMessage, ServiceAnswer};

/// The programs and idempotency records of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct State {
    /// Shard time: a clock that advances only while a replica is primary, is carried over to the
    /// next primary, and never goes back.
    pub at: Timestamp,
    /// Programs by id.
    pub programs: BTreeMap<id::Program, Program>,
    /// Calls to plain services by idempotency key.
    pub dispatches: BTreeMap<Arc<str>, ServiceCall>,
}

/// Whether a program accepts calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It accepts calls.
    Open,
    /// It has ended and accepts none.
    Ended,
}

/// A program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// The organisation that owns it.
    pub organisation: id::Organisation,
    /// Its token budget; `None` is without limit.
    pub budget: Option<id::Tokens>,
    /// The shard time from which new calls are refused.
    pub deadline: Option<Timestamp>,
    /// Whether it accepts calls.
    pub status: Status,
    /// Tokens spent, including the full reservation of calls that may have run.
    pub spent: id::Tokens,
    /// Tokens reserved by calls in flight.
    pub reserved: id::Tokens,
    /// The shard time of the last change.
    pub touched: Timestamp,
    /// The chain of calls of each agent.
    pub chains: BTreeMap<id::Agent, Chain>,
}

/// The sequence of calls of one agent.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Chain {
    /// All messages of the chat so far, including answers.
    pub history: Vec<ChatMessage>,
    /// Completed calls, in order.
    pub calls: Vec<Completed>,
    /// The latest dispatch of the call that comes next.
    pub pending: Option<Pending>,
}

/// A completed call, whose answer is returned again when the call is resent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completed {
    /// The digest of its body.
    pub digest: Arc<str>,
    /// Its answer; the message text is shared with the history.
    pub answer: Answer,
}

/// The latest dispatch of a call that has no answer yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pending {
    /// The digest of the call's body.
    pub digest: Arc<str>,
    /// The chat messages that the call adds.
    pub turns: Vec<ChatMessage>,
    /// The tokens reserved for it.
    pub reserve: id::Tokens,
    /// The number of the dispatch, counted per call from 1.
    pub attempt: id::Attempt,
    /// The request that asked for the dispatch.
    pub request: id::Request,
    /// The entry process that dispatches it.
    pub entry: id::Process,
    /// The shard time at which it began.
    pub since: Timestamp,
    /// Whether it is in flight; `false` once it ended without an answer.
    pub live: bool,
}

/// A call to a plain service under an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCall {
    /// The digest of the request's body.
    pub digest: Arc<str>,
    /// The number of the latest dispatch, counted from 1.
    pub attempt: id::Attempt,
    /// The request that asked for the dispatch.
    pub request: id::Request,
    /// The entry process that dispatches it.
    pub entry: id::Process,
    /// The shard time of the last change.
    pub touched: Timestamp,
    /// Its outcome so far.
    pub reply: Progress,
}

/// What is known about the outcome of a service call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// It is in flight.
    Pending,
    /// It did not run and may be dispatched again.
    NotRun,
    /// It may have run; it is never dispatched again.
    Unknown,
    /// It ran and was answered.
    Done(ServiceAnswer),
}

impl Program {
    /// Creates an open program.
    #[must_use]
    pub fn new(
        organisation: id::Organisation,
        budget: Option<id::Tokens>,
        deadline: Option<Timestamp>,
        at: Timestamp,
    ) -> Self {
        Self {
            organisation,
            budget,
            deadline,
            status: Status::Open,
            spent: 0,
            reserved: 0,
            touched: at,
            chains: BTreeMap::new(),
        }
    }

    /// Returns the tokens that may still be reserved; `None` is without limit.
    #[must_use]
    pub fn remaining(&self) -> Option<id::Tokens> {
        self.budget
            .map(|budget| budget.saturating_sub(self.spent + self.reserved))
    }

    /// Returns whether a call is in flight.
    #[must_use]
    pub fn has_calls_in_flight(&self) -> bool {
        self.chains
            .values()
            .any(|chain| chain.pending.as_ref().is_some_and(|p| p.live))
    }
}

impl Chain {
    /// Returns the number of the call that comes next.
    #[must_use]
    pub fn next_call(&self) -> id::Call {
        id::Call::try_from(self.calls.len()).unwrap_or(id::Call::MAX - 1) + 1
    }

    /// Returns the tokens of the whole history, as counted by the engine for the last call.
    #[must_use]
    pub fn tokens(&self) -> id::Tokens {
        self.calls.last().map_or(0, |completed| {
            completed.answer.prompt_tokens + completed.answer.completion_tokens
        })
    }

    /// Adds the pending call with its answer to the completed calls and the history.
    pub(crate) fn complete(&mut self, answer: Answer) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.history.extend(pending.turns);
        self.history.push(answer.message.clone());
        self.calls.push(Completed {
            digest: pending.digest,
            answer,
        });
    }

    /// Drops the history and completed calls of an ended program to free memory.
    pub(crate) fn clear_history(&mut self) {
        self.history = Vec::new();
        self.calls = Vec::new();
    }
}
