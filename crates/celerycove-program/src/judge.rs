//! Judges requests against the state: what to answer and which step to take first.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use celerycove_types::id;

use crate::{
    op::{CallName, Ending, Op, Retention},
    request::{Account, Grant, Refusal, Request, Response},
    state::{Chain, Dispatch, Pending, Program, Reply, State, Status},
};

/// The step to take, if the state changes, and the answer to give once all replicas hold it.
pub type Verdict = (Option<Op>, Response);

/// A call under way.
pub(crate) struct UnderWay<'a> {
    pub(crate) request: &'a id::Request,
    pub(crate) dispatcher: &'a id::Process,
    pub(crate) since: Duration,
}

impl<'a> UnderWay<'a> {
    fn call(pending: &'a Pending) -> Self {
        Self {
            request: &pending.request,
            dispatcher: &pending.entry,
            since: pending.since,
        }
    }

    fn service(dispatch: &'a Dispatch) -> Self {
        Self {
            request: &dispatch.request,
            dispatcher: &dispatch.entry,
            since: dispatch.touched,
        }
    }
}

impl State {
    /// Judges a request; the state is left alone.
    #[must_use]
    pub fn judge(&self, request: &Request) -> Verdict {
        let verdict = match request {
            Request::Open {
                program,
                organisation,
                budget,
                deadline,
            } => self.judge_open(program, organisation, *budget, *deadline),
            Request::Begin { .. } => self.judge_begin(request),
            Request::Settle {
                name,
                attempt,
                ending,
            } => Ok(self.judge_settle(name, *attempt, ending)),
            Request::Intend { .. } => self.judge_intend(request),
            Request::Conclude {
                key,
                attempt,
                ending,
            } => {
                let op = Op::Conclude {
                    key: key.clone(),
                    attempt: *attempt,
                    ending: ending.clone(),
                };
                Ok((Some(op), Response::Done))
            }
            Request::Show {
                program,
                organisation,
            } => self
                .find(program, organisation.as_ref())
                .map(|found| (None, Response::Account(account(program, found)))),
            Request::End {
                program,
                organisation,
            } => self.find(program, Some(organisation)).map(|found| {
                let op = (found.status == Status::Open).then(|| Op::End {
                    program: program.clone(),
                });
                (op, Response::Done)
            }),
            Request::List => {
                let accounts = self.programs.iter().map(|(id, p)| account(id, p));
                Ok((None, Response::Accounts(accounts.collect())))
            }
        };
        verdict.unwrap_or_else(|refusal| (None, Response::Refused(refusal)))
    }

    /// Finds a program; one of another organisation is as unknown as one that never was.
    fn find(
        &self,
        program: &id::Program,
        organisation: Option<&id::Organisation>,
    ) -> Result<&Program, Refusal> {
        self.programs
            .get(program)
            .filter(|found| organisation.is_none_or(|o| *o == found.organisation))
            .ok_or(Refusal::UnknownProgram)
    }

    fn judge_open(
        &self,
        program: &id::Program,
        organisation: &id::Organisation,
        budget: Option<id::Tokens>,
        deadline: Option<Duration>,
    ) -> Result<Verdict, Refusal> {
        if let Some(found) = self.programs.get(program) {
            let resent = found.organisation == *organisation && found.budget == budget;
            return if resent {
                Ok((None, Response::Done))
            } else {
                Err(Refusal::Taken)
            };
        }
        let op = Op::Open {
            program: program.clone(),
            organisation: organisation.clone(),
            budget,
            deadline: deadline.map(|deadline| self.at + deadline),
        };
        Ok((Some(op), Response::Done))
    }

    fn judge_begin(&self, request: &Request) -> Result<Verdict, Refusal> {
        let Request::Begin {
            name,
            organisation,
            digest,
            turns,
            turn_tokens,
            max_tokens,
            default_tokens,
            request,
            entry,
        } = request
        else {
            return Err(Refusal::UnknownProgram);
        };
        let program = self.find(&name.program, Some(organisation))?;
        if program.status == Status::Ended {
            return Err(Refusal::Ended);
        }
        let empty = Chain::default();
        let chain = program.chains.get(&name.agent).unwrap_or(&empty);
        if let Some(answered) = recorded(chain, name, digest)? {
            return Ok((None, answered));
        }
        if let Some(pending) = chain.pending.as_ref().filter(|p| p.live) {
            if pending.request == *request {
                let max_tokens = pending.reserve.saturating_sub(chain.tokens() + turn_tokens);
                let granted = grant(program, chain, pending.attempt, max_tokens);
                return Ok((None, granted));
            }
            return Err(Refusal::UnderWay);
        }
        if program.deadline.is_some_and(|deadline| self.at >= deadline) {
            return Err(Refusal::Deadline);
        }
        let prompt = chain.tokens() + turn_tokens;
        let max_tokens = generation_limit(program, prompt, *max_tokens, *default_tokens)?;
        let attempt = chain.pending.as_ref().map_or(0, |p| p.attempt) + 1;
        let op = Op::Begin {
            name: name.clone(),
            digest: digest.clone(),
            turns: turns.clone(),
            reserve: prompt + max_tokens,
            request: request.clone(),
            entry: entry.clone(),
        };
        Ok((Some(op), grant(program, chain, attempt, max_tokens)))
    }

    fn judge_settle(
        &self,
        name: &CallName,
        attempt: id::Attempt,
        ending: &Ending<crate::op::Answer>,
    ) -> Verdict {
        let under_way = self
            .programs
            .get(&name.program)
            .and_then(|program| program.chains.get(&name.agent))
            .filter(|chain| chain.next_call() == name.call)
            .and_then(|chain| chain.pending.as_ref())
            .is_some_and(|pending| pending.live && pending.attempt == attempt);
        let op = under_way.then(|| Op::Settle {
            name: name.clone(),
            attempt,
            ending: ending.clone(),
        });
        (op, Response::Done)
    }

    fn judge_intend(&self, request: &Request) -> Result<Verdict, Refusal> {
        let Request::Intend {
            key,
            digest,
            request,
            entry,
        } = request
        else {
            return Err(Refusal::Unknown);
        };
        let mut attempt = 1;
        if let Some(dispatch) = self.dispatches.get(key) {
            if dispatch.digest != *digest {
                return Err(Refusal::KeyReused);
            }
            match &dispatch.reply {
                Reply::Done(served) => return Ok((None, Response::Served(served.clone()))),
                Reply::Unknown => return Err(Refusal::Unknown),
                Reply::Pending if dispatch.request == *request => {
                    let attempt = dispatch.attempt;
                    return Ok((None, Response::Intended { attempt }));
                }
                Reply::Pending => return Err(Refusal::UnderWay),
                Reply::NotRun => attempt = dispatch.attempt + 1,
            }
        }
        let op = Op::Intend {
            key: key.clone(),
            digest: digest.clone(),
            request: request.clone(),
            entry: entry.clone(),
        };
        Ok((Some(op), Response::Intended { attempt }))
    }

    /// Gives the steps that are due by time: calls without an ending, and what may be forgotten.
    #[must_use]
    pub fn overdue(&self, retention: Retention) -> Vec<Op> {
        let due = |since: Duration, keep: Duration| since + keep <= self.at;
        let mut ops = self.unresolved(|call| due(call.since, retention.pending));
        let programs: Vec<id::Program> = self
            .programs
            .iter()
            .filter(|(_, p)| !p.is_busy())
            .filter(|(_, p)| {
                let keep = match p.status {
                    Status::Open => retention.idle,
                    Status::Ended => retention.ended,
                };
                due(p.touched, keep)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let keys: Vec<_> = self
            .dispatches
            .iter()
            .filter(|(_, d)| d.reply != Reply::Pending && due(d.touched, retention.record))
            .map(|(key, _)| key.clone())
            .collect();
        if !programs.is_empty() || !keys.is_empty() {
            ops.push(Op::Forget { programs, keys });
        }
        ops
    }

    /// Gives the steps that end as unknown the calls under way which match.
    pub(crate) fn unresolved(&self, matches: impl Fn(UnderWay<'_>) -> bool) -> Vec<Op> {
        let mut ops = Vec::new();
        for (id, program) in &self.programs {
            for (agent, chain) in &program.chains {
                let Some(pending) = chain.pending.as_ref().filter(|p| p.live) else {
                    continue;
                };
                if matches(UnderWay::call(pending)) {
                    ops.push(Op::Settle {
                        name: CallName {
                            program: id.clone(),
                            agent: agent.clone(),
                            call: chain.next_call(),
                        },
                        attempt: pending.attempt,
                        ending: Ending::Unknown,
                    });
                }
            }
        }
        for (key, dispatch) in &self.dispatches {
            if dispatch.reply == Reply::Pending && matches(UnderWay::service(dispatch)) {
                ops.push(Op::Conclude {
                    key: key.clone(),
                    attempt: dispatch.attempt,
                    ending: Ending::Unknown,
                });
            }
        }
        ops
    }

    /// All calls under way.
    fn all_under_way(&self) -> impl Iterator<Item = UnderWay<'_>> {
        let calls = self
            .programs
            .values()
            .flat_map(|program| program.chains.values())
            .filter_map(|chain| chain.pending.as_ref().filter(|p| p.live))
            .map(UnderWay::call);
        let services = self
            .dispatches
            .values()
            .filter(|dispatch| dispatch.reply == Reply::Pending)
            .map(UnderWay::service);
        calls.chain(services)
    }

    /// The processes that have calls under way.
    #[must_use]
    pub fn dispatchers(&self) -> BTreeSet<id::Process> {
        self.all_under_way()
            .map(|call| call.dispatcher.clone())
            .collect()
    }

    /// The requests under way since a shard time or longer, by the process that dispatched them.
    pub(crate) fn under_way(&self, since: Duration) -> BTreeMap<id::Process, Vec<id::Request>> {
        let mut requests: BTreeMap<id::Process, Vec<id::Request>> = BTreeMap::new();
        for call in self.all_under_way().filter(|call| call.since <= since) {
            let of = requests.entry(call.dispatcher.clone()).or_default();
            of.push(call.request.clone());
        }
        requests
    }
}

/// Answers a call that was completed before, and refuses one that is out of order.
fn recorded(
    chain: &Chain,
    name: &CallName,
    digest: &std::sync::Arc<str>,
) -> Result<Option<Response>, Refusal> {
    let expected = chain.next_call();
    let call = name.call;
    if call == 0 || call > expected {
        return Err(Refusal::Order { call, expected });
    }
    let position = usize::try_from(call - 1).unwrap_or(usize::MAX);
    match chain.calls.get(position) {
        None => Ok(None),
        Some(completed) if completed.digest == *digest => {
            Ok(Some(Response::Recorded(completed.answer.clone())))
        }
        Some(_) => Err(Refusal::Reused(call)),
    }
}

/// The most tokens to generate: what the caller asks for must fit whole, a default may shrink.
fn generation_limit(
    program: &Program,
    prompt: id::Tokens,
    asked: Option<id::Tokens>,
    default: id::Tokens,
) -> Result<id::Tokens, Refusal> {
    let Some(remaining) = program.remaining() else {
        return Ok(asked.unwrap_or(default));
    };
    let least = asked.unwrap_or(1).max(1);
    if prompt + least > remaining {
        return Err(Refusal::Budget {
            needed: prompt + least,
            remaining,
        });
    }
    Ok(asked.unwrap_or_else(|| default.min(remaining - prompt)))
}

fn grant(
    program: &Program,
    chain: &Chain,
    attempt: id::Attempt,
    max_tokens: id::Tokens,
) -> Response {
    Response::Granted(Grant {
        attempt,
        history: chain.history.clone(),
        history_tokens: chain.tokens(),
        max_tokens,
        backend: chain.calls.last().map(|c| c.answer.backend.clone()),
        spent: program.spent,
    })
}

fn account(id: &id::Program, program: &Program) -> Account {
    Account {
        program: id.clone(),
        organisation: program.organisation.clone(),
        budget: program.budget,
        spent: program.spent,
        reserved: program.reserved,
        calls: program
            .chains
            .iter()
            .map(|(agent, chain)| (agent.clone(), chain.next_call() - 1))
            .collect(),
        ended: program.status == Status::Ended,
    }
}
