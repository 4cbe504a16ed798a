//! The steps that the state of a shard is made of.

use std::{sync::Arc, time::Duration};

use celerycove_types::{Timestamp, id};
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

use crate::state::{Chain, Dispatch, Pending, Program, Reply, State, Status};

/// A JSON object with one message of a chat, as text.
pub type Turn = Arc<str>;

/// What an engine answered to one call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The assistant's message.
    pub message: Turn,
    /// Why generation stopped, as the engine says it.
    pub finish: Arc<str>,
    /// Which model answered.
    pub model: Arc<str>,
    /// Tokens of the prompt.
    pub prompt_tokens: id::Tokens,
    /// Tokens generated.
    pub completion_tokens: id::Tokens,
    /// Which backend server answered and may still cache the history.
    pub backend: id::Backend,
}

/// What a plain service answered.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if it had one.
    pub content_type: Option<String>,
    /// The body; `None` if it was too long to keep.
    #[serde_as(as = "Option<Base64>")]
    pub body: Option<Vec<u8>>,
}

/// How a dispatched call ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending<T> {
    /// It ran and this is its answer.
    Done(T),
    /// It surely did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Names one call of a program.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallName {
    /// The program.
    pub program: id::Program,
    /// The chain.
    pub agent: id::Agent,
    /// The number in the chain.
    pub call: id::Call,
}

/// One step; the same on every replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// A program begins.
    Open {
        /// Its id.
        program: id::Program,
        /// Whose it is.
        organisation: id::Organisation,
        /// Tokens it may spend; `None` is without limit.
        budget: Option<id::Tokens>,
        /// When it must be done, in shard time.
        deadline: Option<Timestamp>,
    },
    /// A call is about to be dispatched.
    Begin {
        /// Which call.
        name: CallName,
        /// Digest of its body.
        digest: Arc<str>,
        /// The new turns.
        turns: Vec<Turn>,
        /// The most it may cost.
        reserve: id::Tokens,
        /// The request that asked.
        request: id::Request,
        /// The process that dispatches.
        entry: id::Process,
    },
    /// A dispatched call ended.
    Settle {
        /// Which call.
        name: CallName,
        /// Which dispatch of it.
        attempt: id::Attempt,
        /// How it ended.
        ending: Ending<Answer>,
    },
    /// A program ended; its history is forgotten after a while.
    End {
        /// Which program.
        program: id::Program,
    },
    /// A call of a plain service is about to be dispatched under an idempotency key.
    Intend {
        /// The key with its organisation and route.
        key: Arc<str>,
        /// Digest of the request's body.
        digest: Arc<str>,
        /// The request that asked.
        request: id::Request,
        /// The process that dispatches.
        entry: id::Process,
    },
    /// A dispatched call of a plain service ended.
    Conclude {
        /// The key.
        key: Arc<str>,
        /// Which dispatch.
        attempt: id::Attempt,
        /// How it ended.
        ending: Ending<Served>,
    },
    /// Idle programs and old records are forgotten.
    Forget {
        /// Programs.
        programs: Vec<id::Program>,
        /// Idempotency keys.
        keys: Vec<Arc<str>>,
    },
}

impl State {
    /// Applies one step at a shard time.
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
            Op::Begin { .. } => self.begin(at, op),
            Op::Settle {
                name,
                attempt,
                ending,
            } => self.settle(at, name, *attempt, ending),
            Op::End { program } => {
                if let Some(program) = self.programs.get_mut(program) {
                    program.status = Status::Ended;
                    program.touched = at;
                    program.chains.values_mut().for_each(Chain::forget);
                }
            }
            Op::Intend {
                key,
                digest,
                request,
                entry,
            } => self.intend(at, key, digest, request, entry),
            Op::Conclude {
                key,
                attempt,
                ending,
            } => self.conclude(at, key, *attempt, ending),
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

    fn begin(&mut self, at: Timestamp, op: &Op) {
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

    fn settle(
        &mut self,
        at: Timestamp,
        name: &CallName,
        attempt: id::Attempt,
        ending: &Ending<Answer>,
    ) {
        let Some(program) = self.programs.get_mut(&name.program) else {
            return;
        };
        let Some(chain) = program.chains.get_mut(&name.agent) else {
            return;
        };
        let next = chain.next_call();
        let Some(pending) = chain
            .pending
            .as_mut()
            .filter(|p| p.live && p.attempt == attempt && name.call == next)
        else {
            return;
        };
        program.touched = at;
        pending.live = false;
        program.reserved -= pending.reserve;
        match ending {
            Ending::NotRun => {}
            // What may have run counts in full.
            Ending::Unknown => program.spent += pending.reserve,
            Ending::Done(answer) => {
                program.spent += answer.prompt_tokens + answer.completion_tokens;
                chain.complete(answer.clone());
            }
        }
    }

    fn intend(
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
            Dispatch {
                digest: digest.clone(),
                attempt,
                request: request.clone(),
                entry: entry.clone(),
                touched: at,
                reply: Reply::Pending,
            },
        );
    }

    fn conclude(
        &mut self,
        at: Timestamp,
        key: &Arc<str>,
        attempt: id::Attempt,
        ending: &Ending<Served>,
    ) {
        let Some(dispatch) = self
            .dispatches
            .get_mut(key)
            .filter(|d| d.attempt == attempt && d.reply == Reply::Pending)
        else {
            return;
        };
        dispatch.touched = at;
        dispatch.reply = match ending {
            Ending::Done(served) => Reply::Done(served.clone()),
            Ending::NotRun => Reply::NotRun,
            Ending::Unknown => Reply::Unknown,
        };
    }
}

/// How long what has ended or is idle is remembered, in shard time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retention {
    /// An ended program.
    pub ended: Duration,
    /// A program without calls.
    pub idle: Duration,
    /// An idempotency record.
    pub record: Duration,
    /// A dispatched call without an ending.
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
