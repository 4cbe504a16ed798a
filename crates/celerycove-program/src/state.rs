//! The state of one shard.

use std::{collections::BTreeMap, sync::Arc};

use celerycove_types::{Timestamp, id};
use serde::{Deserialize, Serialize};

use crate::op::{Answer, Served, Turn};

/// Programs and idempotency records of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct State {
    /// Shard time: it goes on from replica to replica and never back.
    pub at: Timestamp,
    /// Programs by id.
    pub programs: BTreeMap<id::Program, Program>,
    /// Calls of plain services by idempotency key.
    pub dispatches: BTreeMap<Arc<str>, Dispatch>,
}

/// Whether a program takes calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It does.
    Open,
    /// It has ended.
    Ended,
}

/// One program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// Whose it is.
    pub organisation: id::Organisation,
    /// Tokens it may spend.
    pub budget: Option<id::Tokens>,
    /// When it must be done, in shard time.
    pub deadline: Option<Timestamp>,
    /// Whether it takes calls.
    pub status: Status,
    /// Tokens spent, with those of calls that may have run.
    pub spent: id::Tokens,
    /// Tokens that calls under way may still spend.
    pub reserved: id::Tokens,
    /// The last change, in shard time.
    pub touched: Timestamp,
    /// One chain for each agent.
    pub chains: BTreeMap<id::Agent, Chain>,
}

/// The calls of one agent, in order.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Chain {
    /// The whole history, answers included.
    pub history: Vec<Turn>,
    /// Completed calls.
    pub calls: Vec<Completed>,
    /// The latest dispatch of the next call.
    pub pending: Option<Pending>,
}

/// A completed call; its answer is served again to a resend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completed {
    /// Digest of its body.
    pub digest: Arc<str>,
    /// Its answer, whose message shares its text with the history.
    pub answer: Answer,
}

/// A dispatch of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pending {
    /// Digest of the call's body.
    pub digest: Arc<str>,
    /// The new turns.
    pub turns: Vec<Turn>,
    /// The most it may cost.
    pub reserve: id::Tokens,
    /// Which dispatch of the call.
    pub attempt: id::Attempt,
    /// The request that asked.
    pub request: id::Request,
    /// The process that dispatches.
    pub entry: id::Process,
    /// When it began, in shard time.
    pub since: Timestamp,
    /// Whether it is still under way.
    pub live: bool,
}

/// A call of a plain service under an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Digest of the request's body.
    pub digest: Arc<str>,
    /// Which dispatch.
    pub attempt: id::Attempt,
    /// The request that asked.
    pub request: id::Request,
    /// The process that dispatches.
    pub entry: id::Process,
    /// The last change, in shard time.
    pub touched: Timestamp,
    /// How it ended.
    pub reply: Reply,
}

/// What is known of the end of a service call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// It is under way.
    Pending,
    /// It surely did not run and may be dispatched again.
    NotRun,
    /// It may have run and is never dispatched again.
    Unknown,
    /// It ran.
    Done(Served),
}

impl Program {
    /// Begins a program.
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

    /// Tokens that may still be reserved.
    #[must_use]
    pub fn remaining(&self) -> Option<id::Tokens> {
        self.budget
            .map(|budget| budget.saturating_sub(self.spent + self.reserved))
    }

    /// Tells whether a call is under way.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.chains
            .values()
            .any(|chain| chain.pending.as_ref().is_some_and(|p| p.live))
    }
}

impl Chain {
    /// The number of the call that comes next.
    #[must_use]
    pub fn next_call(&self) -> id::Call {
        id::Call::try_from(self.calls.len()).unwrap_or(id::Call::MAX - 1) + 1
    }

    /// Tokens of the whole history as the engine last counted them.
    #[must_use]
    pub fn tokens(&self) -> id::Tokens {
        self.calls.last().map_or(0, |completed| {
            completed.answer.prompt_tokens + completed.answer.completion_tokens
        })
    }

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

    pub(crate) fn forget(&mut self) {
        self.history = Vec::new();
        self.calls = Vec::new();
    }
}
