//! Operations of the replicated log and their effect on the state of a shard.

use std::{sync::Arc, time::Duration};

use celerycove_types::{Timestamp, id};
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

use crate::state::{Chain, Pending, Program, Progress, ServiceCall, State, Status};

/// One chat message, as the text of a JSON object.
pub type ChatMessage = Arc<str>;

/// The answer of an engine to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The assistant's message.
    pub message: ChatMessage,
    /// The reason why generation stopped, as reported by the engine.
    pub finish: Arc<str>,
    /// The model that answered.
    pub model: Arc<str>,
    /// The number of tokens in the prompt.
    pub prompt_tokens: id::Tokens,
    /// The number of tokens generated.
    pub completion_tokens: id::Tokens,
    /// The backend server that answered and may still have the history in its cache.
    pub backend: id::Backend,
}

/// The answer of a plain service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if it had one.
    pub content_type: Option<String>,
    /// The body; `None` if it was too large to store.
    #[serde_as(as = "Option<Base64>")]
    pub body: Option<Vec<u8>>,
}

/// The outcome of a dispatched call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome<T> {
    /// It ran and was answered.
    Done(T),
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Identifies a call of a program.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// The program.
    pub program: id::Program,
    /// The agent whose chain the call belongs to.
    pub agent: id::Agent,
    /// The number of the call in the chain, counted from 1.
    pub call: id::Call,
}

/// An operation; it has the same effect on every replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Opens a program.
    Open {
        /// The id of the program.
        program: id::Program,
        /// The organisation that owns it.
        organisation: id::Organisation,
        /// Its token budget; `None` is without limit.
        budget: Option<id::Tokens>,
        /// The shard time from which new calls are refused.
        deadline: Option<Timestamp>,
    },
    /// Records that a call is about to be dispatched.
    Begin {
        /// The call.
        name: CallId,
        /// The digest of its body.
        digest: Arc<str>,
        /// The chat messages that the call adds.
        turns: Vec<ChatMessage>,
        /// The tokens to reserve for it.
        reserve: id::Tokens,
        /// The request that asked for the dispatch.
        request: id::Request,
        /// The entry process that dispatches it.
        entry: id::Process,
    },
    /// Records the outcome of a dispatched call.
    Settle {
        /// The call.
        name: CallId,
        /// The number of its dispatch.
        attempt: id::Attempt,
        /// The outcome.
        ending: Outcome<Answer>,
    },
    /// Ends a program and drops its history; the rest is removed after a retention time.
    End {
        /// The program.
        program: id::Program,
    },
    /// Records that a call to a plain service is about to be dispatched under an idempotency key.
    Intend {
        /// The idempotency key, qualified by organisation and route.
        key: Arc<str>,
        /// The digest of the request's body.
        digest: Arc<str>,
        /// The request that asked for the dispatch.
        request: id::Request,
        /// The entry process that dispatches it.
        entry: id::Process,
    },
    /// Records the outcome of a dispatched call to a plain service.
    Conclude {
        /// The idempotency key, qualified by organisation and route.
        key: Arc<str>,
        /// The number of its dispatch.
        attempt: id::Attempt,
        /// The outcome.
        ending: Outcome<ServiceAnswer>,
    },
    /// Removes programs and idempotency records whose retention time is over.
    Forget {
        /// The programs.
        programs: Vec<id::Program>,
        /// The keys of the idempotency records.
        keys: Vec<Arc<str>>,
    },
}

impl State {
    /// Applies an operation at a shard time.
    pub fn apply(&mut self, at: Timestamp, op: &Op) {
        self.at = self.at.max(at);
        match op {
            Op::Open {
                program,
                organisation,
                budget,
                deadline,
            } => {
                self.programs.insert(
                    program.clone(),
                    Program::new(organisation.clone(), *budget, *deadline, at),
                );
            }
            Op::Begin { .. } => self.apply_begin(at, op),
            Op::Settle {
                name,
                attempt,
                ending,
            } => self.apply_settle(at, name, *attempt, ending),
            Op::End { program } => {
                if let Some(program) = self.programs.get_mut(program) {
                    program.status = Status::Ended;
                    program.touched = at;
                    program.chains.values_mut().for_each(Chain::clear_history);
                }
            }
            Op::Intend {
                key,
                digest,
                request,
                entry,
            } => self.apply_intend(at, key, digest, request, entry),
            Op::Conclude {
                key,
                attempt,
                ending,
            } => self.apply_conclude(at, key, *attempt, ending),
            Op::Forget { programs, keys } => {
                for program in programs {
                    self.programs.remove(program);
                }
                for key in keys {
                    self.dispatches.remove(key);
                }
            }
        }
    }

    fn apply_begin(&mut self, at: Timestamp, op: &Op) {
        let Op::Begin {
            name,
            digest,
            turns,
            reserve,
            request,
            entry,
        } = op
        else {
            return;
        };
        let Some(program) = self.programs.get_mut(&name.program) else {
            return;
        };
        program.touched = at;
        program.reserved += reserve;
        let chain = program.chains.entry(name.agent.clone()).or_default();
        let attempt = chain.pending.as_ref().map_or(0, |p| p.attempt) + 1;
        chain.pending = Some(Pending {
            digest: digest.clone(),
            turns: turns.clone(),
            reserve: *reserve,
            attempt,
            request: request.clone(),
            entry: entry.clone(),
            since: at,
            live: true,
        });
    }

    fn apply_settle(
        &mut self,
        at: Timestamp,
        name: &CallId,
        attempt: id::Attempt,
        ending: &Outcome<Answer>,
    ) {
        let Some(program) = self.programs.get_mut(&name.program) else {
            return;
        };
        let Some(chain) = program.chains.get_mut(&name.agent) else {
            return;
        };
        let next_call = chain.next_call();
        let Some(pending) = chain
            .pending
            .as_mut()
            .filter(|p| p.live && p.attempt == attempt && name.call == next_call)
        else {
            return;
        };
        program.touched = at;
        pending.live = false;
        program.reserved -= pending.reserve;
        match ending {
            Outcome::NotRun => {}
            // A call that may have run counts with its full reservation.
            Outcome::Unknown => program.spent += pending.reserve,
            Outcome::Done(answer) => {
                program.spent += answer.prompt_tokens + answer.completion_tokens;
                chain.complete(answer.clone());
            }
        }
    }

    fn apply_intend(
        &mut self,
        at: Timestamp,
        key: &Arc<str>,
        digest: &Arc<str>,
        request: &id::Request,
        entry: &id::Process,
    ) {
        let attempt = self.dispatches.get(key).map_or(0, |d| d.attempt) + 1;
        self.dispatches.insert(
            key.clone(),
            ServiceCall {
                digest: digest.clone(),
                attempt,
                request: request.clone(),
                entry: entry.clone(),
                touched: at,
                reply: Progress::Pending,
            },
        );
    }

    fn apply_conclude(
        &mut self,
        at: Timestamp,
        key: &Arc<str>,
        attempt: id::Attempt,
        ending: &Outcome<ServiceAnswer>,
    ) {
        let Some(service_call) = self
            .dispatches
            .get_mut(key)
            .filter(|d| d.attempt == attempt && d.reply == Progress::Pending)
        else {
            return;
        };
        service_call.touched = at;
        service_call.reply = match ending {
            Outcome::Done(served) => Progress::Done(served.clone()),
            Outcome::NotRun => Progress::NotRun,
            Outcome::Unknown => Progress::Unknown,
        };
    }
}

/// Retention times, in shard time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retention {
    /// How long an ended program is kept.
    pub ended: Duration,
    /// How long an open program without activity is kept.
    pub idle: Duration,
    /// How long the idempotency record of a finished call is kept.
    pub record: Duration,
    /// How long a dispatched call may be in flight before its outcome counts as unknown.
    pub pending: Duration,
}

impl Default for Retention {
    fn default() -> Self {
        const MINUTE: Duration = Duration::from_mins(1);
        Self {
            ended: MINUTE * 10,
            idle: MINUTE * 60 * 24,
            record: MINUTE * 60 * 24,
            pending: MINUTE * 15,
        }
    }
}
