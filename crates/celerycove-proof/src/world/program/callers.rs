//! The simulated callers, the calls that entries run for them, and the invariants of both.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use celerycove_program::{
    Request, Response,
    op::{Answer, CallId, ChatMessage, Outcome, ServiceAnswer},
    request::{Grant, Refusal},
};
use celerycove_types::{Timestamp, Violation, id};
use rand::{Rng, RngExt};

/// Identifies one run of a call or payment by an entry; a resend is a new op.
pub(super) type OpId = u64;

/// The phase of an op.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waits for the shard to open the program.
    Opening,
    /// Waits for the shard to permit the dispatch.
    Beginning,
    /// The engine or service runs the dispatch.
    Running,
    /// Waits for the shard to record how the dispatch ended.
    Ending,
}

/// Callers that make the calls of an agent in a program, two for each program.
const PROGRAM_CALLERS: usize = 6;
/// Callers that send payments: non-idempotent requests, each with an idempotency key.
const PAYMENT_CALLERS: usize = 2;
const CALLERS: usize = PROGRAM_CALLERS + PAYMENT_CALLERS;
const BUDGET: id::Tokens = 700;
/// How long a caller waits before it resends through another entry.
const RESEND_TIMEOUT: Duration = Duration::from_millis(1500);
/// Calls of a caller after which its program ends and the next one starts.
const CALLS_PER_PROGRAM: usize = 8;

/// One caller and the answers it received.
#[derive(Debug, Default)]
struct Caller {
    /// Number of the current program or payment.
    generation: u64,
    /// Whether its program is open.
    opened: bool,
    /// Acknowledged turns and answers, in order.
    history: Vec<(ChatMessage, Answer)>,
    /// When it last sent a request; `None` if it awaits no reply.
    sent_at: Option<Timestamp>,
    /// Counts acknowledged answers and finished programs or payments.
    progress: u64,
}

/// A call or payment that an entry runs.
struct RunningCall {
    entry: usize,
    caller: usize,
    generation: u64,
    phase: Phase,
    /// The run of the entry that dispatches the call.
    dispatcher: id::Process,
    call: id::Call,
    grant: Option<Grant>,
    attempt: id::Attempt,
    /// The answer of the engine, whether or not it has reached the entry.
    answer: Option<Answer>,
    /// Whether the dispatch ran; `None` while it is not known.
    ending: Option<bool>,
}

/// All callers and the calls that run.
pub(super) struct Callers {
    states: Vec<Caller>,
    running_calls: BTreeMap<OpId, RunningCall>,
    last_op: OpId,
    /// Tokens that engines spent, by program.
    spent_by_program: BTreeMap<id::Program, id::Tokens>,
    /// How often each payment ran, and whether its caller was told that it is done.
    payments: BTreeMap<Arc<str>, (u32, bool)>,
    acknowledged: u64,
}

fn is_payment_caller(caller: usize) -> bool {
    caller >= PROGRAM_CALLERS
}

impl Callers {
    pub(super) fn new() -> Self {
        Self {
            states: (0..CALLERS).map(|_| Caller::default()).collect(),
            running_calls: BTreeMap::new(),
            last_op: 0,
            spent_by_program: BTreeMap::new(),
            payments: BTreeMap::new(),
            acknowledged: 0,
        }
    }

    /// Two callers share a program, as a sub-agent does with its parent.
    fn program_id(caller: usize, generation: u64) -> id::Program {
        format!("p{}.{generation}", caller / 2).into()
    }

    fn payment_key(caller: usize, generation: u64) -> Arc<str> {
        format!("k{caller}.{generation}").into()
    }

    fn agent_id(caller: usize) -> id::Agent {
        if caller.is_multiple_of(2) {
            "main"
        } else {
            "sub"
        }
        .into()
    }

    pub(super) fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    pub(super) fn progress(&self) -> Vec<u64> {
        self.states.iter().map(|caller| caller.progress).collect()
    }

    /// Returns whether an entry still runs a request.
    pub(super) fn is_running(&self, entry: usize, request: &id::Request) -> bool {
        let op = request[1..].parse().unwrap_or(0);
        self.running_calls
            .get(&op)
            .is_some_and(|running| running.entry == entry)
    }

    /// Forgets the calls of an entry that crashed.
    pub(super) fn remove_entry(&mut self, entry: usize) {
        self.running_calls
            .retain(|_, running| running.entry != entry);
    }

    /// Lets callers that have waited for too long resend.
    pub(super) fn expire_requests(&mut self, now: Timestamp) {
        for caller in &mut self.states {
            if caller
                .sent_at
                .is_some_and(|sent_at| now >= sent_at + RESEND_TIMEOUT)
            {
                caller.sent_at = None;
            }
        }
    }

    /// Returns whether an op of the entry is in a phase.
    pub(super) fn is_waiting(&self, entry: usize, op: OpId, phase: Phase) -> bool {
        self.running_calls
            .get(&op)
            .is_some_and(|running| running.entry == entry && running.phase == phase)
    }

    /// Starts an op for a random idle caller, if there is one.
    pub(super) fn start_op(
        &mut self,
        entry: usize,
        dispatcher: &id::Process,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<(OpId, Phase)> {
        let idle: Vec<usize> = (0..CALLERS)
            .filter(|c| self.states[*c].sent_at.is_none())
            .collect();
        let caller = *idle.get(rng.random_range(0..idle.len().max(1)))?;
        let state = &mut self.states[caller];
        state.sent_at = Some(now);
        let phase = if state.opened || is_payment_caller(caller) {
            Phase::Beginning
        } else {
            Phase::Opening
        };
        self.last_op += 1;
        let running = RunningCall {
            entry,
            caller,
            generation: state.generation,
            phase,
            dispatcher: dispatcher.clone(),
            call: id::Call::try_from(state.history.len()).unwrap_or(0) + 1,
            grant: None,
            attempt: 0,
            answer: None,
            ending: None,
        };
        self.running_calls.insert(self.last_op, running);
        Some((self.last_op, phase))
    }

    /// Returns the key that determines the shard of an op: the program or the payment key.
    pub(super) fn shard_key(&self, op: OpId) -> Arc<str> {
        let Some(running) = self.running_calls.get(&op) else {
            return "".into();
        };
        if is_payment_caller(running.caller) {
            return Self::payment_key(running.caller, running.generation);
        }
        Self::program_id(running.caller, running.generation)
    }

    /// Builds the request of an op in a phase; every retry builds the same request.
    pub(super) fn request(&self, op: OpId, phase: Phase) -> Option<Request> {
        let running = self.running_calls.get(&op)?;
        let program = Self::program_id(running.caller, running.generation);
        let key = Self::payment_key(running.caller, running.generation);
        let name = CallId {
            program: program.clone(),
            agent: Self::agent_id(running.caller),
            call: running.call,
        };
        let request: id::Request = format!("r{op}").into();
        let is_payment = is_payment_caller(running.caller);
        Some(match phase {
            Phase::Opening => Request::Open {
                program,
                organisation: "org".into(),
                budget: Some(BUDGET),
                deadline: None,
            },
            Phase::Beginning if is_payment => Request::Intend {
                key: key.clone(),
                digest: key,
                request,
                entry: running.dispatcher.clone(),
            },
            Phase::Beginning => Request::Begin {
                name,
                organisation: "org".into(),
                digest: format!("d{}", running.call).into(),
                turns: vec![turn_text(running)],
                turn_tokens: 10,
                max_tokens: None,
                default_tokens: 30,
                request,
                entry: running.dispatcher.clone(),
            },
            Phase::Ending if is_payment => Request::Conclude {
                key,
                attempt: running.attempt,
                ending: payment_ending(running, || ServiceAnswer {
                    status: 200,
                    content_type: None,
                    body: Some(b"paid".to_vec()),
                }),
            },
            Phase::Ending => Request::Settle {
                name,
                attempt: running.attempt,
                ending: match (&running.answer, running.ending) {
                    (Some(answer), Some(true)) => Outcome::Done(answer.clone()),
                    (_, Some(false)) => Outcome::NotRun,
                    _ => Outcome::Unknown,
                },
            },
            Phase::Running => return None,
        })
    }

    /// Handles the reply of a home. Returns `true` if the op may be dispatched now.
    pub(super) fn handle_reply(
        &mut self,
        op: OpId,
        phase: Phase,
        response: &Response,
    ) -> Result<bool, Violation> {
        match (phase, response) {
            (Phase::Opening, Response::Done) => {
                self.finish_opening(op);
                Ok(false)
            }
            (Phase::Beginning, Response::Granted(grant)) => {
                self.accept_grant(op, grant).map(|()| true)
            }
            (Phase::Beginning, Response::Intended { attempt }) => {
                if let Some(running) = self.running_calls.get_mut(&op) {
                    running.attempt = *attempt;
                    running.phase = Phase::Running;
                }
                Ok(true)
            }
            (Phase::Beginning, Response::Recorded(answer)) => {
                let answer = answer.clone();
                self.acknowledge_answer(op, answer).map(|()| false)
            }
            (Phase::Beginning, Response::Served(_)) => {
                self.acknowledge_payment(op);
                Ok(false)
            }
            (Phase::Ending, Response::Done) => self.finish_ending(op).map(|()| false),
            (_, Response::Refused(refusal)) => self.handle_refusal(op, refusal).map(|()| false),
            _ => Ok(false),
        }
    }

    fn finish_opening(&mut self, op: OpId) {
        if let Some(running) = self.running_calls.remove(&op) {
            let caller = &mut self.states[running.caller];
            if caller.generation == running.generation {
                caller.opened = true;
                caller.sent_at = None;
            }
        }
    }

    /// Checks that the grant carries exactly the history acknowledged to the caller, and that no
    /// other op runs the same call.
    fn accept_grant(&mut self, op: OpId, grant: &Grant) -> Result<(), Violation> {
        let Some(running) = self.running_calls.get(&op) else {
            return Ok(());
        };
        let caller = &self.states[running.caller];
        let expected: Vec<ChatMessage> = caller
            .history
            .iter()
            .flat_map(|(turn, answer)| [turn.clone(), answer.message.clone()])
            .collect();
        if caller.generation == running.generation {
            Violation::unless(grant.history == expected, "history-whole", || {
                format!(
                    "call {} of caller {}: history {:?} instead of {expected:?}",
                    running.call, running.caller, grant.history
                )
            })?;
        }
        let duplicate = self.running_calls.iter().find(|(other, r)| {
            **other != op
                && (r.caller, r.generation, r.call)
                    == (running.caller, running.generation, running.call)
                && r.phase == Phase::Running
        });
        Violation::unless(duplicate.is_none(), "one-dispatch-at-a-time", || {
            format!(
                "call {} of caller {} is dispatched twice",
                running.call, running.caller
            )
        })?;
        if let Some(running) = self.running_calls.get_mut(&op) {
            running.attempt = grant.attempt;
            running.grant = Some(grant.clone());
            running.phase = Phase::Running;
        }
        Ok(())
    }

    /// Runs the dispatch at the engine or service.
    pub(super) fn execute(&mut self, op: OpId, rng: &mut impl Rng) -> Result<(), Violation> {
        let Some(running) = self.running_calls.get(&op) else {
            return Ok(());
        };
        if is_payment_caller(running.caller) {
            let key = Self::payment_key(running.caller, running.generation);
            let (count, _) = self.payments.entry(key.clone()).or_default();
            *count += 1;
            let count = *count;
            return Violation::unless(count <= 1, "at-most-once", || {
                format!("payment {key} ran {count} times")
            });
        }
        let Some(grant) = running.grant.clone() else {
            return Ok(());
        };
        let prompt_tokens = grant.history_tokens + rng.random_range(1..=10);
        let completion_tokens = rng.random_range(1..=grant.max_tokens.max(1));
        let answer = Answer {
            message: format!("a{op}").into(),
            finish: "stop".into(),
            model: "m".into(),
            prompt_tokens,
            completion_tokens,
            backend: "b".into(),
        };
        let program = Self::program_id(running.caller, running.generation);
        let spent = self.spent_by_program.entry(program.clone()).or_default();
        *spent += prompt_tokens + completion_tokens;
        let spent = *spent;
        if let Some(running) = self.running_calls.get_mut(&op) {
            running.answer = Some(answer);
        }
        Violation::unless(spent <= BUDGET, "budget-kept", || {
            format!("program {program} spent {spent} of {BUDGET} tokens")
        })
    }

    /// Ends a dispatch as seen by the entry. Returns `true` if the entry must report it to the
    /// home.
    pub(super) fn end_dispatch(&mut self, entry: usize, op: OpId, ran: bool, lost: bool) -> bool {
        let Some(running) = self.running_calls.get_mut(&op).filter(|r| r.entry == entry) else {
            return false;
        };
        running.ending = if lost { None } else { Some(ran) };
        running.phase = Phase::Ending;
        true
    }

    fn finish_ending(&mut self, op: OpId) -> Result<(), Violation> {
        let Some(running) = self.running_calls.get(&op) else {
            return Ok(());
        };
        match (
            running.ending,
            is_payment_caller(running.caller),
            running.answer.clone(),
        ) {
            (Some(true), true, _) => {
                self.acknowledge_payment(op);
                Ok(())
            }
            (Some(true), false, Some(answer)) => self.acknowledge_answer(op, answer),
            _ => {
                self.acknowledge_failure(op);
                Ok(())
            }
        }
    }

    fn acknowledge_failure(&mut self, op: OpId) {
        if let Some(running) = self.running_calls.remove(&op) {
            let caller = &mut self.states[running.caller];
            if caller.generation == running.generation {
                caller.sent_at = None;
            }
        }
    }

    fn acknowledge_payment(&mut self, op: OpId) {
        let Some(running) = self.running_calls.remove(&op) else {
            return;
        };
        let key = Self::payment_key(running.caller, running.generation);
        self.payments.entry(key).or_default().1 = true;
        self.start_next_generation(running.caller, running.generation);
    }

    fn acknowledge_answer(&mut self, op: OpId, answer: Answer) -> Result<(), Violation> {
        let Some(running) = self.running_calls.remove(&op) else {
            return Ok(());
        };
        let caller = &mut self.states[running.caller];
        if caller.generation != running.generation {
            return Ok(());
        }
        let position = usize::try_from(running.call - 1).unwrap_or(usize::MAX);
        if let Some((_, acknowledged)) = caller.history.get(position) {
            return Violation::unless(
                acknowledged.message == answer.message,
                "answer-stays",
                || {
                    format!(
                        "call {}: answer {} instead of the acknowledged {}",
                        running.call, answer.message, acknowledged.message
                    )
                },
            );
        }
        caller.history.push((turn_text(&running), answer));
        caller.sent_at = None;
        caller.progress += 1;
        self.acknowledged += 1;
        if caller.history.len() >= CALLS_PER_PROGRAM {
            self.start_next_generation(running.caller, running.generation);
        }
        Ok(())
    }

    /// Moves a caller to its next program or payment; both callers of a program move together.
    fn start_next_generation(&mut self, caller: usize, generation: u64) {
        let affected = if is_payment_caller(caller) {
            caller..=caller
        } else {
            caller / 2 * 2..=caller / 2 * 2 + 1
        };
        for caller in affected {
            let state = &mut self.states[caller];
            if state.generation == generation {
                let progress = state.progress + 1;
                *state = Caller {
                    generation: generation + 1,
                    progress,
                    ..Caller::default()
                };
            }
        }
        self.acknowledged += 1;
    }

    fn handle_refusal(&mut self, op: OpId, refusal: &Refusal) -> Result<(), Violation> {
        let Some(running) = self.running_calls.get(&op) else {
            return Ok(());
        };
        let (caller, generation) = (running.caller, running.generation);
        let is_current = self.states[caller].generation == generation;
        match refusal {
            // The budget is spent, or the payment may have run and must not be sent again, so the
            // caller gives up on it.
            Refusal::Budget { .. } | Refusal::Unknown => {
                self.running_calls.remove(&op);
                self.start_next_generation(caller, generation);
                Ok(())
            }
            Refusal::UnderWay => {
                // The caller resends after its timeout.
                self.running_calls.remove(&op);
                Ok(())
            }
            refusal => {
                self.running_calls.remove(&op);
                Violation::unless(!is_current, "program-kept", || {
                    format!("caller {caller} generation {generation}: {refusal}")
                })
            }
        }
    }

    /// Checks that payments acknowledged as done ran exactly once.
    pub(super) fn check(&self) -> Result<(), Violation> {
        for (key, (count, acknowledged)) in &self.payments {
            Violation::unless(!acknowledged || *count == 1, "done-ran-once", || {
                format!("payment {key} ran {count} times")
            })?;
        }
        Ok(())
    }
}

fn turn_text(running: &RunningCall) -> ChatMessage {
    format!(
        "t{}.{}.{}",
        running.caller, running.generation, running.call
    )
    .into()
}

fn payment_ending<T>(running: &RunningCall, done: impl FnOnce() -> T) -> Outcome<T> {
    match running.ending {
        Some(true) => Outcome::Done(done()),
        Some(false) => Outcome::NotRun,
        None => Outcome::Unknown,
    }
}
