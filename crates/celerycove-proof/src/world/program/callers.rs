//! Callers, the calls that entries run for them, and what must hold of both.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use celerycove_program::{
    Request, Response,
    op::{Answer, CallId, ChatMessage, Outcome, ServiceAnswer},
    request::{Grant, Refusal},
};
use celerycove_types::{Timestamp, Violation, id};
use rand::{Rng, RngExt};

/// Names one call that an entry runs.
pub(super) type Op = u64;

/// What an op waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    Opening,
    Beginning,
    Running,
    Ending,
}

/// Programs and services that callers use.
const CHAINS: usize = 6;
const PAYERS: usize = 2;
const CALLERS: usize = CHAINS + PAYERS;
const BUDGET: id::Tokens = 700;
/// How long a caller waits before it sends again through another entry.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Calls after which a program ends and the next begins.
const CALLS: usize = 8;

/// One caller and what it was told.
#[derive(Debug, Default)]
struct Caller {
    /// Counts its programs or payments.
    generation: u64,
    opened: bool,
    /// Turns and answers acknowledged, in order.
    told: Vec<(ChatMessage, Answer)>,
    /// When it last sent; `None` if it waits for nothing.
    sent: Option<Timestamp>,
    progress: u64,
}

/// A call that an entry runs.
struct Running {
    entry: usize,
    caller: usize,
    generation: u64,
    phase: Phase,
    dispatcher: id::Process,
    call: id::Call,
    grant: Option<Grant>,
    attempt: id::Attempt,
    answer: Option<Answer>,
    ending: Option<bool>,
}

/// Callers and running calls.
pub(super) struct Callers {
    all: Vec<Caller>,
    running: BTreeMap<Op, Running>,
    next: Op,
    /// Tokens that engines really spent, by program.
    spent: BTreeMap<id::Program, id::Tokens>,
    /// How often a payment really ran, and whether its caller was told that it is done.
    payments: BTreeMap<Arc<str>, (u32, bool)>,
    acknowledged: u64,
}

fn is_payer(caller: usize) -> bool {
    caller >= CHAINS
}

impl Callers {
    pub(super) fn new() -> Self {
        Self {
            all: (0..CALLERS).map(|_| Caller::default()).collect(),
            running: BTreeMap::new(),
            next: 0,
            spent: BTreeMap::new(),
            payments: BTreeMap::new(),
            acknowledged: 0,
        }
    }

    /// Two chains share a program, as a sub-agent does with its parent.
    fn program(caller: usize, generation: u64) -> id::Program {
        format!("p{}.{generation}", caller / 2).into()
    }

    fn key(caller: usize, generation: u64) -> Arc<str> {
        format!("k{caller}.{generation}").into()
    }

    fn agent(caller: usize) -> id::Agent {
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
        self.all.iter().map(|caller| caller.progress).collect()
    }

    /// Whether an entry still runs a request.
    pub(super) fn knows(&self, entry: usize, request: &id::Request) -> bool {
        let op = request[1..].parse().unwrap_or(0);
        self.running
            .get(&op)
            .is_some_and(|running| running.entry == entry)
    }

    pub(super) fn entry_died(&mut self, entry: usize) {
        self.running.retain(|_, running| running.entry != entry);
    }

    pub(super) fn resend_overdue(&mut self, now: Timestamp) {
        for caller in &mut self.all {
            if caller.sent.is_some_and(|sent| now >= sent + PATIENCE) {
                caller.sent = None;
            }
        }
    }

    pub(super) fn waits(&self, entry: usize, op: Op, phase: Phase) -> bool {
        self.running
            .get(&op)
            .is_some_and(|running| running.entry == entry && running.phase == phase)
    }

    pub(super) fn begin(
        &mut self,
        entry: usize,
        dispatcher: &id::Process,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<(Op, Phase)> {
        let idle: Vec<usize> = (0..CALLERS)
            .filter(|c| self.all[*c].sent.is_none())
            .collect();
        let caller = *idle.get(rng.random_range(0..idle.len().max(1)))?;
        let state = &mut self.all[caller];
        state.sent = Some(now);
        let phase = if state.opened || is_payer(caller) {
            Phase::Beginning
        } else {
            Phase::Opening
        };
        self.next += 1;
        let running = Running {
            entry,
            caller,
            generation: state.generation,
            phase,
            dispatcher: dispatcher.clone(),
            call: id::Call::try_from(state.told.len()).unwrap_or(0) + 1,
            grant: None,
            attempt: 0,
            answer: None,
            ending: None,
        };
        self.running.insert(self.next, running);
        Some((self.next, phase))
    }

    pub(super) fn home_key(&self, op: Op) -> Arc<str> {
        let Some(running) = self.running.get(&op) else {
            return "".into();
        };
        if is_payer(running.caller) {
            return Self::key(running.caller, running.generation);
        }
        Self::program(running.caller, running.generation)
    }

    /// The question that an op asks in a phase; the same each time.
    pub(super) fn request(&self, op: Op, phase: Phase) -> Option<Request> {
        let running = self.running.get(&op)?;
        let program = Self::program(running.caller, running.generation);
        let key = Self::key(running.caller, running.generation);
        let name = CallId {
            program: program.clone(),
            agent: Self::agent(running.caller),
            call: running.call,
        };
        let request: id::Request = format!("r{op}").into();
        let payer = is_payer(running.caller);
        Some(match phase {
            Phase::Opening => Request::Open {
                program,
                organisation: "org".into(),
                budget: Some(BUDGET),
                deadline: None,
            },
            Phase::Beginning if payer => Request::Intend {
                key: key.clone(),
                digest: key,
                request,
                entry: running.dispatcher.clone(),
            },
            Phase::Beginning => Request::Begin {
                name,
                organisation: "org".into(),
                digest: format!("d{}", running.call).into(),
                turns: vec![turn(running)],
                turn_tokens: 10,
                max_tokens: None,
                default_tokens: 30,
                request,
                entry: running.dispatcher.clone(),
            },
            Phase::Ending if payer => Request::Conclude {
                key,
                attempt: running.attempt,
                ending: ending(running, || ServiceAnswer {
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

    /// Takes the home's answer; true if the call may be dispatched now.
    pub(super) fn take_reply(
        &mut self,
        op: Op,
        phase: Phase,
        response: &Response,
    ) -> Result<bool, Violation> {
        match (phase, response) {
            (Phase::Opening, Response::Done) => {
                self.open(op);
                Ok(false)
            }
            (Phase::Beginning, Response::Granted(grant)) => self.granted(op, grant).map(|()| true),
            (Phase::Beginning, Response::Intended { attempt }) => {
                if let Some(running) = self.running.get_mut(&op) {
                    running.attempt = *attempt;
                    running.phase = Phase::Running;
                }
                Ok(true)
            }
            (Phase::Beginning, Response::Recorded(answer)) => {
                let answer = answer.clone();
                self.tell_answer(op, answer).map(|()| false)
            }
            (Phase::Beginning, Response::Served(_)) => {
                self.tell_paid(op);
                Ok(false)
            }
            (Phase::Ending, Response::Done) => self.ended(op).map(|()| false),
            (_, Response::Refused(refusal)) => self.refused(op, refusal).map(|()| false),
            _ => Ok(false),
        }
    }

    fn open(&mut self, op: Op) {
        if let Some(running) = self.running.remove(&op) {
            let caller = &mut self.all[running.caller];
            if caller.generation == running.generation {
                caller.opened = true;
                caller.sent = None;
            }
        }
    }

    /// A grant must carry exactly what the caller was told, and be the only one.
    fn granted(&mut self, op: Op, grant: &Grant) -> Result<(), Violation> {
        let Some(running) = self.running.get(&op) else {
            return Ok(());
        };
        let caller = &self.all[running.caller];
        let told: Vec<ChatMessage> = caller
            .told
            .iter()
            .flat_map(|(turn, answer)| [turn.clone(), answer.message.clone()])
            .collect();
        if caller.generation == running.generation {
            Violation::unless(grant.history == told, "history-whole", || {
                format!(
                    "call {} of {}: {:?} instead of {told:?}",
                    running.call, running.caller, grant.history
                )
            })?;
        }
        let rival = self.running.iter().find(|(other, r)| {
            **other != op
                && (r.caller, r.generation, r.call)
                    == (running.caller, running.generation, running.call)
                && r.phase == Phase::Running
        });
        Violation::unless(rival.is_none(), "one-dispatch-at-a-time", || {
            format!(
                "call {} of {} is dispatched twice",
                running.call, running.caller
            )
        })?;
        if let Some(running) = self.running.get_mut(&op) {
            running.attempt = grant.attempt;
            running.grant = Some(grant.clone());
            running.phase = Phase::Running;
        }
        Ok(())
    }

    /// The engine or service really runs the call.
    pub(super) fn execute(&mut self, op: Op, rng: &mut impl Rng) -> Result<(), Violation> {
        let Some(running) = self.running.get(&op) else {
            return Ok(());
        };
        if is_payer(running.caller) {
            let key = Self::key(running.caller, running.generation);
            let (count, _) = self.payments.entry(key.clone()).or_default();
            *count += 1;
            let count = *count;
            return Violation::unless(count <= 1, "at-most-once", || {
                format!("{key} ran {count} times")
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
        let program = Self::program(running.caller, running.generation);
        let spent = self.spent.entry(program.clone()).or_default();
        *spent += prompt_tokens + completion_tokens;
        let spent = *spent;
        if let Some(running) = self.running.get_mut(&op) {
            running.answer = Some(answer);
        }
        Violation::unless(spent <= BUDGET, "budget-kept", || {
            format!("{program} spent {spent}")
        })
    }

    /// The entry learns how the dispatch ended; true if it has to tell the home.
    pub(super) fn end_dispatch(&mut self, entry: usize, op: Op, ran: bool, lost: bool) -> bool {
        let Some(running) = self.running.get_mut(&op).filter(|r| r.entry == entry) else {
            return false;
        };
        running.ending = if lost { None } else { Some(ran) };
        running.phase = Phase::Ending;
        true
    }

    fn ended(&mut self, op: Op) -> Result<(), Violation> {
        let Some(running) = self.running.get(&op) else {
            return Ok(());
        };
        match (
            running.ending,
            is_payer(running.caller),
            running.answer.clone(),
        ) {
            (Some(true), true, _) => {
                self.tell_paid(op);
                Ok(())
            }
            (Some(true), false, Some(answer)) => self.tell_answer(op, answer),
            _ => {
                self.tell_failed(op);
                Ok(())
            }
        }
    }

    fn tell_failed(&mut self, op: Op) {
        if let Some(running) = self.running.remove(&op) {
            let caller = &mut self.all[running.caller];
            if caller.generation == running.generation {
                caller.sent = None;
            }
        }
    }

    fn tell_paid(&mut self, op: Op) {
        let Some(running) = self.running.remove(&op) else {
            return;
        };
        let key = Self::key(running.caller, running.generation);
        self.payments.entry(key).or_default().1 = true;
        self.next_generation(running.caller, running.generation);
    }

    fn tell_answer(&mut self, op: Op, answer: Answer) -> Result<(), Violation> {
        let Some(running) = self.running.remove(&op) else {
            return Ok(());
        };
        let caller = &mut self.all[running.caller];
        if caller.generation != running.generation {
            return Ok(());
        }
        let position = usize::try_from(running.call - 1).unwrap_or(usize::MAX);
        if let Some((_, told)) = caller.told.get(position) {
            return Violation::unless(told.message == answer.message, "answer-stays", || {
                format!(
                    "call {}: {} instead of {}",
                    running.call, answer.message, told.message
                )
            });
        }
        caller.told.push((turn(&running), answer));
        caller.sent = None;
        caller.progress += 1;
        self.acknowledged += 1;
        if caller.told.len() >= CALLS {
            self.next_generation(running.caller, running.generation);
        }
        Ok(())
    }

    /// Both chains of a program go on to the next one together.
    fn next_generation(&mut self, caller: usize, generation: u64) {
        let pair = if is_payer(caller) {
            caller..=caller
        } else {
            caller / 2 * 2..=caller / 2 * 2 + 1
        };
        for caller in pair {
            let state = &mut self.all[caller];
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

    fn refused(&mut self, op: Op, refusal: &Refusal) -> Result<(), Violation> {
        let Some(running) = self.running.get(&op) else {
            return Ok(());
        };
        let (caller, generation) = (running.caller, running.generation);
        let current = self.all[caller].generation == generation;
        match refusal {
            // The budget is spent, or the payment may have run and is never sent again: the caller
            // gives up on it.
            Refusal::Budget { .. } | Refusal::Unknown => {
                self.running.remove(&op);
                self.next_generation(caller, generation);
                Ok(())
            }
            Refusal::UnderWay => {
                // The caller waits its time and sends again.
                self.running.remove(&op);
                Ok(())
            }
            refusal => {
                self.running.remove(&op);
                Violation::unless(!current, "program-kept", || {
                    format!("caller {caller} generation {generation}: {refusal}")
                })
            }
        }
    }

    /// Payments told as done ran once.
    pub(super) fn check(&self) -> Result<(), Violation> {
        for (key, (count, told)) in &self.payments {
            Violation::unless(!told || *count == 1, "done-ran-once", || {
                format!("{key} ran {count} times")
            })?;
        }
        Ok(())
    }
}

fn turn(running: &Running) -> ChatMessage {
    format!(
        "t{}.{}.{}",
        running.caller, running.generation, running.call
    )
    .into()
}

fn ending<T>(running: &Running, done: impl FnOnce() -> T) -> Outcome<T> {
    match running.ending {
        Some(true) => Outcome::Done(done()),
        Some(false) => Outcome::NotRun,
        None => Outcome::Unknown,
    }
}
