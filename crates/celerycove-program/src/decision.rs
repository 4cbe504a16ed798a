//! Decisions on requests: the response and the operation that must be replicated before it is sent.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use celerycove_types::id;

use crate::{
    op::{CallId, Op, Outcome, Retention},
    request::{Account, Grant, Refusal, Request, Response},
    state::{Chain, Pending, Program, Progress, ServiceCall, State, Status},
};

/// The operation to replicate, if the state changes, and the response to send once all required
/// replicas hold it.
pub type Decision = (Option<Op>, Response);

/// A call in flight, to a model or to a plain service.
pub(crate) struct InFlightCall<'a> {
    pub(crate) request: &'a id::Request,
    pub(crate) dispatcher: &'a id::Process,
    /// The shard time at which it was dispatched.
    pub(crate) since: Duration,
}

impl<'a> InFlightCall<'a> {
    fn from_pending(pending: &'a Pending) -> Self {
        Self {
            request: &pending.request,
            dispatcher: &pending.entry,
            since: pending.since,
        }
    }

    fn from_service_call(call: &'a ServiceCall) -> Self {
        Self {
            request: &call.request,
            dispatcher: &call.entry,
            since: call.touched,
        }
    }
}

impl State {
    /// Decides on a request without changing the state.
    #[must_use]
    pub fn decide(&self, request: &Request) -> Decision {
        let decision = match request {
            Request::Open {
                program,
                organisation,
                budget,
                deadline,
            } => self.decide_open(program, organisation, *budget, *deadline),
            Request::Begin { .. } => self.decide_begin(request),
            Request::Settle {
                name,
                attempt,
                ending,
            } => Ok(self.decide_settle(name, *attempt, ending)),
            Request::Intend { .. } => self.decide_intend(request),
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
                .find_program(program, organisation.as_ref())
                .map(|found| (None, Response::Account(account(program, found)))),
            Request::End {
                program,
                organisation,
            } => self.find_program(program, Some(organisation)).map(|found| {
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
        decision.unwrap_or_else(|refusal| (None, Response::Refused(refusal)))
    }

    /// Returns a program. A program of another organisation is reported as unknown, so that its
    /// existence is not disclosed.
    fn find_program(
        &self,
        program: &id::Program,
        organisation: Option<&id::Organisation>,
    ) -> Result<&Program, Refusal> {
        self.programs
            .get(program)
            .filter(|found| organisation.is_none_or(|o| *o == found.organisation))
            .ok_or(Refusal::UnknownProgram)
    }

    fn decide_open(
        &self,
        program: &id::Program,
        organisation: &id::Organisation,
        budget: Option<id::Tokens>,
        deadline: Option<Duration>,
    ) -> Result<Decision, Refusal> {
        if let Some(existing) = self.programs.get(program) {
            let is_resend = existing.organisation == *organisation && existing.budget == budget;
            return if is_resend {
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

    fn decide_begin(&self, request: &Request) -> Result<Decision, Refusal> {
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
        let program = self.find_program(&name.program, Some(organisation))?;
        if program.status == Status::Ended {
            return Err(Refusal::Ended);
        }
        let empty_chain = Chain::default();
        let chain = program.chains.get(&name.agent).unwrap_or(&empty_chain);
        if let Some(response) = recorded_response(chain, name, digest)? {
            return Ok((None, response));
        }
        if let Some(pending) = chain.pending.as_ref().filter(|p| p.live) {
            if pending.request == *request {
                let max_tokens = pending.reserve.saturating_sub(chain.tokens() + turn_tokens);
                let response = granted_response(program, chain, pending.attempt, max_tokens);
                return Ok((None, response));
            }
            return Err(Refusal::UnderWay);
        }
        if program.deadline.is_some_and(|deadline| self.at >= deadline) {
            return Err(Refusal::Deadline);
        }
        let prompt_tokens = chain.tokens() + turn_tokens;
        let max_tokens =
            max_generated_tokens(program, prompt_tokens, *max_tokens, *default_tokens)?;
        let attempt = chain.pending.as_ref().map_or(0, |p| p.attempt) + 1;
        let op = Op::Begin {
            name: name.clone(),
            digest: digest.clone(),
            turns: turns.clone(),
            reserve: prompt_tokens + max_tokens,
            request: request.clone(),
            entry: entry.clone(),
        };
        Ok((
            Some(op),
            granted_response(program, chain, attempt, max_tokens),
        ))
    }

    fn decide_settle(
        &self,
        name: &CallId,
        attempt: id::Attempt,
        ending: &Outcome<crate::op::Answer>,
    ) -> Decision {
        let is_in_flight = self
            .programs
            .get(&name.program)
            .and_then(|program| program.chains.get(&name.agent))
            .filter(|chain| chain.next_call() == name.call)
            .and_then(|chain| chain.pending.as_ref())
            .is_some_and(|pending| pending.live && pending.attempt == attempt);
        let op = is_in_flight.then(|| Op::Settle {
            name: name.clone(),
            attempt,
            ending: ending.clone(),
        });
        (op, Response::Done)
    }

    fn decide_intend(&self, request: &Request) -> Result<Decision, Refusal> {
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
        if let Some(service_call) = self.dispatches.get(key) {
            if service_call.digest != *digest {
                return Err(Refusal::KeyReused);
            }
            match &service_call.reply {
                Progress::Done(served) => return Ok((None, Response::Served(served.clone()))),
                Progress::Unknown => return Err(Refusal::Unknown),
                Progress::Pending if service_call.request == *request => {
                    let attempt = service_call.attempt;
                    return Ok((None, Response::Intended { attempt }));
                }
                Progress::Pending => return Err(Refusal::UnderWay),
                Progress::NotRun => attempt = service_call.attempt + 1,
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

    /// Returns the operations that are due: those that end calls which have been in flight for too
    /// long, and one that removes programs and records whose retention time is over.
    #[must_use]
    pub fn cleanup_ops(&self, retention: Retention) -> Vec<Op> {
        let is_expired = |since: Duration, keep: Duration| since + keep <= self.at;
        let mut ops = self.ops_ending_as_unknown(|call| is_expired(call.since, retention.pending));
        let programs: Vec<id::Program> = self
            .programs
            .iter()
            .filter(|(_, p)| !p.has_calls_in_flight())
            .filter(|(_, p)| {
                let keep = match p.status {
                    Status::Open => retention.idle,
                    Status::Ended => retention.ended,
                };
                is_expired(p.touched, keep)
            })
            .map(|(id, _)| id.clone())
            .collect();
        let keys: Vec<_> = self
            .dispatches
            .iter()
            .filter(|(_, d)| {
                d.reply != Progress::Pending && is_expired(d.touched, retention.record)
            })
            .map(|(key, _)| key.clone())
            .collect();
        if !programs.is_empty() || !keys.is_empty() {
            ops.push(Op::Forget { programs, keys });
        }
        ops
    }

    /// Returns the operations that end the matching calls in flight as unknown.
    pub(crate) fn ops_ending_as_unknown(
        &self,
        matches: impl Fn(InFlightCall<'_>) -> bool,
    ) -> Vec<Op> {
        let mut ops = Vec::new();
        for (id, program) in &self.programs {
            for (agent, chain) in &program.chains {
                let Some(pending) = chain.pending.as_ref().filter(|p| p.live) else {
                    continue;
                };
                if matches(InFlightCall::from_pending(pending)) {
                    ops.push(Op::Settle {
                        name: CallId {
                            program: id.clone(),
                            agent: agent.clone(),
                            call: chain.next_call(),
                        },
                        attempt: pending.attempt,
                        ending: Outcome::Unknown,
                    });
                }
            }
        }
        for (key, service_call) in &self.dispatches {
            if service_call.reply == Progress::Pending
                && matches(InFlightCall::from_service_call(service_call))
            {
                ops.push(Op::Conclude {
                    key: key.clone(),
                    attempt: service_call.attempt,
                    ending: Outcome::Unknown,
                });
            }
        }
        ops
    }

    /// Returns all calls in flight.
    fn calls_in_flight(&self) -> impl Iterator<Item = InFlightCall<'_>> {
        let calls = self
            .programs
            .values()
            .flat_map(|program| program.chains.values())
            .filter_map(|chain| chain.pending.as_ref().filter(|p| p.live))
            .map(InFlightCall::from_pending);
        let service_calls = self
            .dispatches
            .values()
            .filter(|service_call| service_call.reply == Progress::Pending)
            .map(InFlightCall::from_service_call);
        calls.chain(service_calls)
    }

    /// Returns the processes that have dispatched calls which are still in flight.
    #[must_use]
    pub fn dispatchers(&self) -> BTreeSet<id::Process> {
        self.calls_in_flight()
            .map(|call| call.dispatcher.clone())
            .collect()
    }

    /// Returns the requests of calls dispatched at or before a shard time, by dispatcher.
    pub(crate) fn in_flight_since(
        &self,
        time: Duration,
    ) -> BTreeMap<id::Process, Vec<id::Request>> {
        let mut requests: BTreeMap<id::Process, Vec<id::Request>> = BTreeMap::new();
        for call in self.calls_in_flight().filter(|call| call.since <= time) {
            let dispatcher_requests = requests.entry(call.dispatcher.clone()).or_default();
            dispatcher_requests.push(call.request.clone());
        }
        requests
    }
}

/// Returns the recorded response if the call was completed earlier.
///
/// # Errors
///
/// Refuses a call that is out of order, and one that was completed with another body.
fn recorded_response(
    chain: &Chain,
    name: &CallId,
    digest: &std::sync::Arc<str>,
) -> Result<Option<Response>, Refusal> {
    let expected = chain.next_call();
    let call = name.call;
    if call == 0 || call > expected {
        return Err(Refusal::Order { call, expected });
    }
    let index = usize::try_from(call - 1).unwrap_or(usize::MAX);
    match chain.calls.get(index) {
        None => Ok(None),
        Some(completed) if completed.digest == *digest => {
            Ok(Some(Response::Recorded(completed.answer.clone())))
        }
        Some(_) => Err(Refusal::Reused(call)),
    }
}

/// Returns the maximum number of tokens to generate.
///
/// # Errors
///
/// Refuses the call if the remaining budget does not cover the prompt and the requested maximum. A
/// default maximum is reduced to the remaining budget instead; only a budget without room for one
/// generated token is refused then.
fn max_generated_tokens(
    program: &Program,
    prompt_tokens: id::Tokens,
    requested: Option<id::Tokens>,
    default: id::Tokens,
) -> Result<id::Tokens, Refusal> {
    let Some(remaining) = program.remaining() else {
        return Ok(requested.unwrap_or(default));
    };
    let min_tokens = requested.unwrap_or(1).max(1);
    if prompt_tokens + min_tokens > remaining {
        return Err(Refusal::Budget {
            needed: prompt_tokens + min_tokens,
            remaining,
        });
    }
    Ok(requested.unwrap_or_else(|| default.min(remaining - prompt_tokens)))
}

fn granted_response(
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
