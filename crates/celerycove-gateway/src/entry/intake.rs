//! The admission gate: first turns of new programs wait here while their service is overloaded.
//!
//! The decisions are made by [`celerycove_queue::Intake`], one for each service.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use celerycove_fleet::config::{Config, ServiceName};
use celerycove_queue::{
    Job,
    intake::{Action, Event, Gate, Intake, Options, Reason, Status},
};
use celerycove_types::{Map, id};
use hyper::header;
use tokio::sync::{Notify, oneshot};

use super::{Entry, Refusal, exchange::Dispatch};
use crate::{clock, link::lock, metrics::Metrics};

/// Interval between ticks: two in each window in which finished turns are summed up.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Limit on first turns that wait at an entry, in all services together.
const MAX_WAITING: usize = 256;
/// A first turn may wait for the time left to its deadline divided by this number.
const DEADLINE_DIVISOR: u32 = 4;
/// A first turn may wait for the time left to its program divided by this number.
const PROGRAM_DIVISOR: u32 = 3;
/// Time to read a token of the prompt, and to generate one, on an idle engine of the deployments in
/// `etc/`. Only their proportion counts.
const READ_TIME: Duration = Duration::from_micros(33);
const STEP_TIME: Duration = Duration::from_millis(5);
/// Bounds of the jitter in `Retry-After`, so that callers don't return in one wave.
const JITTER: std::ops::Range<f64> = 0.8..1.2;

/// Whether a waiting first turn may start.
type Verdict = Result<(), (Reason, Duration)>;

#[derive(Default)]
struct State {
    intakes: BTreeMap<ServiceName, Intake>,
    waiting: Map<id::Request, oneshot::Sender<Verdict>>,
    /// Number of turns so far. Callers may reuse identifiers, so turns are identified by it.
    turns: u64,
    is_stopping: bool,
}

/// The admission gates of all services.
pub(super) struct Intakes {
    state: Mutex<State>,
    metrics: Arc<Metrics>,
    /// Notified when the configuration has changed.
    reconfigured: Notify,
    /// Notified when a turn begins, since an idle entry does not tick.
    begun: Notify,
}

impl Intakes {
    /// Starts the gates; they are advanced in a task of their own.
    pub(super) fn start(metrics: Arc<Metrics>) -> Arc<Self> {
        let intakes = Arc::new(Self {
            state: Mutex::default(),
            metrics,
            reconfigured: Notify::new(),
            begun: Notify::new(),
        });
        let ticking = intakes.clone();
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(TICK_INTERVAL);
            ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                if ticking.tick() {
                    ticking.begun.notified().await;
                }
            }
        });
        intakes
    }

    /// Applies a new configuration: gates of removed services refuse their waiting turns, and others
    /// check the callers' keys again.
    pub(super) fn configure(&self, config: &Config) {
        let state = &mut *lock(&self.state);
        let removed = state.intakes.extract_if(.., |name, _| {
            !config.services.iter().any(|s| s.name == *name)
        });
        for (_, mut intake) in removed {
            let actions = intake.step(clock::now(), Event::Gate(Gate::Stopping));
            deliver(&mut state.waiting, actions);
        }
        self.reconfigured.notify_waiters();
    }

    /// Refuses the waiting turns; from now on none waits.
    pub(super) fn stop(&self) {
        let mut state = lock(&self.state);
        state.is_stopping = true;
        let services: Vec<_> = state.intakes.keys().cloned().collect();
        for service in services {
            state.step(&service, Event::Gate(Gate::Stopping));
        }
    }

    /// Advances the gates and returns whether all are idle.
    fn tick(&self) -> bool {
        let mut state = lock(&self.state);
        let State {
            intakes, waiting, ..
        } = &mut *state;
        for (service, intake) in intakes.iter_mut().filter(|(_, intake)| !intake.is_idle()) {
            let before = intake.status();
            let actions = intake.step(clock::now(), Event::Tick);
            log_limit(service, before, intake.status());
            deliver(waiting, actions);
        }
        self.metrics.record_admission_waiting(waiting.len());
        intakes.values().all(Intake::is_idle)
    }

    /// Admits a turn, which waits if it is the first one of a program and the service is overloaded.
    /// Returns `None` for requests that no gate applies to.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if the turn must not start.
    pub(super) async fn enter(
        self: &Arc<Self>,
        dispatch: &Dispatch,
    ) -> Result<Option<Pass>, Refusal> {
        if !dispatch.entry.setup.holds_first_turns {
            return Ok(None);
        }
        let call = &dispatch.call;
        let Some(program) = call.program.clone().filter(|_| !call.prompt.is_empty()) else {
            return Ok(None);
        };
        let (pass, verdict) = {
            let mut state = lock(&self.state);
            state.turns += 1;
            let id: id::Request = state.turns.to_string().into();
            let service = dispatch.service.clone();
            state.intake(&service);
            let is_first = call.previous_turn.is_none()
                && call.last_event.is_none()
                && !state.intakes.values().any(|i| i.has_begun(&program));
            let (sender, verdict) = oneshot::channel();
            if is_first {
                state.waiting.insert(id.clone(), sender);
                let job = job(dispatch, id.clone(), program.clone());
                state.step(&service, Event::Arrive(job));
                state.bound_waiting(&service, &id);
            }
            let pass = Pass {
                intakes: self.clone(),
                service,
                program,
                id,
                stage: Stage::Entering,
                nominal: None,
                is_first,
            };
            (pass, verdict)
        };
        let pass = if pass.is_first {
            pass.wait(dispatch, verdict).await?
        } else {
            pass
        };
        Ok(Some(pass.begin(dispatch)))
    }

    fn status(&self, service: &ServiceName) -> Option<Status> {
        lock(&self.state).intakes.get(service).map(Intake::status)
    }

    /// Whether a limit on programs in progress is in force.
    pub(super) fn is_limited(&self, service: &ServiceName) -> bool {
        let status = self.status(service);
        status.is_some_and(|status| status.limit.is_some())
    }

    fn step(&self, service: &ServiceName, event: Event) {
        lock(&self.state).step(service, event);
    }
}

impl State {
    /// Returns the gate of a service, which is created by its first turn.
    fn intake(&mut self, service: &ServiceName) -> &mut Intake {
        let is_stopping = self.is_stopping;
        self.intakes.entry(service.clone()).or_insert_with(|| {
            let now = clock::now();
            let max_waiting = MAX_WAITING;
            let mut intake = Intake::new(Options { max_waiting }, now);
            if is_stopping {
                intake.step(now, Event::Gate(Gate::Stopping));
            }
            intake
        })
    }

    /// Refuses a turn that has just arrived if it would wait beside too many others.
    fn bound_waiting(&mut self, service: &ServiceName, id: &id::Request) {
        if self.waiting.len() > MAX_WAITING
            && let Some(sender) = self.waiting.remove(id)
        {
            self.step(service, Event::Cancel(id.clone()));
            // The receiver is held by the caller of this function.
            let _ = sender.send(Err((Reason::Full, Duration::ZERO)));
        }
    }

    fn step(&mut self, service: &ServiceName, event: Event) {
        if let Some(intake) = self.intakes.get_mut(service) {
            let actions = intake.step(clock::now(), event);
            deliver(&mut self.waiting, actions);
        }
    }
}

/// Tells waiting turns what was decided about them.
fn deliver(waiting: &mut Map<id::Request, oneshot::Sender<Verdict>>, actions: Vec<Action>) {
    for action in actions {
        let (id, verdict) = match action {
            Action::Start(id) => (id, Ok(())),
            Action::Refuse {
                id,
                reason,
                return_after,
            } => (id, Err((reason, return_after))),
        };
        if let Some(sender) = waiting.remove(&id) {
            // The caller may have disconnected at the same time.
            let _ = sender.send(verdict);
        }
    }
}

/// Logs when a limit comes into force, changes by a tenth or is removed.
fn log_limit(service: &ServiceName, before: Status, after: Status) {
    let is_changed = match (before.limit, after.limit) {
        (Some(before), Some(after)) => (after - before).abs() > before / 10.0,
        (before, after) => before != after,
    };
    if is_changed {
        log::info!(target: "admit", service:% = service, limit:? = after.limit,
            in_progress = after.in_progress, waiting = after.waiting, slowdown:? = after.slowdown,
            late_share = after.late_share; "the limit on programs in progress changed");
    }
}

/// Describes a first turn to its gate.
fn job(dispatch: &Dispatch, id: id::Request, program: id::Program) -> Job {
    let now = clock::now();
    let left = dispatch.deadline.saturating_sub(now) / DEADLINE_DIVISOR;
    let elapsed = now.saturating_sub(dispatch.started);
    let program_left = dispatch.call.program_deadline;
    let program_left = program_left.map(|left| left.saturating_sub(elapsed) / PROGRAM_DIVISOR);
    Job {
        id,
        organisation: dispatch.organisation.clone().unwrap_or_else(|| "".into()),
        // A more urgent rank gets twice the share of the next one, which is still served.
        weight: 8 >> dispatch.rank.min(3),
        program: Some(program),
        attained_tokens: 0,
        cost: nominal_time(dispatch, max_tokens(dispatch)).as_secs_f64(),
        deadline: Some(now + program_left.map_or(left, |program_left| program_left.min(left))),
        at_most_once: false,
    }
}

fn max_tokens(dispatch: &Dispatch) -> id::Tokens {
    dispatch.call.tokens.map_or(0, |(_, most)| most)
}

/// Returns the rough time on an idle engine that has cached all but the last part of the prompt.
fn nominal_time(dispatch: &Dispatch, generated: id::Tokens) -> Duration {
    let count = |tokens: id::Tokens| u32::try_from(tokens).unwrap_or(u32::MAX);
    let read = dispatch.call.prompt.last().map_or(0, |part| part.tokens);
    READ_TIME
        .saturating_mul(count(read))
        .saturating_add(STEP_TIME.saturating_mul(count(generated)))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The gate has not let the turn pass yet.
    Entering,
    /// The turn counts among those of its program.
    Begun,
}

/// A turn that has arrived at its gate. Dropping it withdraws a waiting turn and ends a begun one.
pub(super) struct Pass {
    intakes: Arc<Intakes>,
    service: ServiceName,
    program: id::Program,
    id: id::Request,
    stage: Stage,
    /// Nominal time of a turn that was answered completely.
    nominal: Option<Duration>,
    /// Whether it is the first turn of its program.
    pub(super) is_first: bool,
}

impl Pass {
    /// Waits until the gate has decided.
    async fn wait(
        self,
        dispatch: &Dispatch,
        mut verdict: oneshot::Receiver<Verdict>,
    ) -> Result<Self, Refusal> {
        let arrived_at = clock::now();
        let verdict = match verdict.try_recv() {
            Ok(verdict) => verdict,
            Err(_) => self.wait_for_verdict(dispatch, verdict).await?,
        };
        let waited = clock::now().saturating_sub(arrived_at);
        let status = self.intakes.status(&self.service);
        match verdict {
            Ok(()) if waited >= Duration::from_millis(1) => {
                self.intakes.metrics.record_admission_wait(waited);
                log::info!(target: "admit", request:% = dispatch.request, service:% = self.service,
                    program:% = self.program, organisation:? = dispatch.organisation,
                    waited_ms = clock::millis(waited), status:? = status; "the first turn starts after a wait");
                Ok(self)
            }
            Ok(()) => Ok(self),
            Err((reason, return_after)) => {
                let return_after = return_after.mul_f64(rand::random_range(JITTER));
                self.intakes.metrics.record_admission_refusal(reason.name());
                log::info!(target: "admit", request:% = dispatch.request, service:% = self.service,
                    program:% = self.program, organisation:? = dispatch.organisation,
                    reason = reason.name(), waited_ms = clock::millis(waited),
                    retry_ms = clock::millis(return_after), status:? = status; "refused a first turn");
                Err(match reason {
                    Reason::Stopping => Refusal::Stopping,
                    _ => Refusal::Overloaded(return_after),
                })
            }
        }
    }

    async fn wait_for_verdict(
        &self,
        dispatch: &Dispatch,
        mut verdict: oneshot::Receiver<Verdict>,
    ) -> Result<Verdict, Refusal> {
        loop {
            let reconfigured = self.intakes.reconfigured.notified();
            tokio::select! {
                biased;
                verdict = &mut verdict => return verdict.map_err(|_| Refusal::NoServer),
                () = reconfigured => dispatch.entry.check_key(dispatch)?,
            }
        }
    }

    /// Counts the turn among those of its program.
    fn begin(mut self, dispatch: &Dispatch) -> Self {
        let due = dispatch.call.program_deadline;
        let due = due.map(|left| dispatch.started + left);
        let program = self.program.clone();
        self.intakes
            .step(&self.service, Event::Continue { program, due });
        self.stage = Stage::Begun;
        self.intakes.begun.notify_one();
        self
    }

    /// Records that the turn is being sent to an engine. The time that the stores take to begin it is
    /// no sign of overload.
    pub(super) fn record_sent(&self, dispatch: &Dispatch) {
        let id = self.id.clone();
        let nominal = nominal_time(dispatch, max_tokens(dispatch));
        self.intakes
            .step(&self.service, Event::Sent { id, nominal });
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let id = self.id.clone();
        let event = match self.stage {
            Stage::Entering => {
                lock(&self.intakes.state).waiting.remove(&id);
                Event::Cancel(id)
            }
            Stage::Begun => Event::Finish {
                id,
                program: self.program.clone(),
                nominal: self.nominal,
            },
        };
        self.intakes.step(&self.service, event);
    }
}

impl Dispatch {
    /// Ends the turn at the gate when it was answered completely. The time that the stores take to
    /// keep it is no sign of overload.
    pub(super) fn finish_turn(&mut self, generated: id::Tokens) {
        let nominal = nominal_time(self, generated);
        if let Some(mut pass) = self.pass.take() {
            pass.nominal = Some(nominal);
        }
    }
}

impl Entry {
    /// Checks that the organisation of a waiting request is still known under the caller's key.
    fn check_key(&self, dispatch: &Dispatch) -> Result<(), Refusal> {
        let index = self.index.load_full().ok_or(Refusal::NotReady)?;
        let host = dispatch.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let path = dispatch.uri.path();
        let route = index.route(host, path).ok_or(Refusal::NoRoute)?;
        let key = dispatch.call.api_key.as_ref();
        let organisation = key.and_then(|key| index.organisation(key));
        let is_open = route.anonymous || index.config().organisations.is_empty();
        let organisation = organisation.map(|organisation| &organisation.name);
        if organisation == dispatch.organisation.as_ref() && (organisation.is_some() || is_open) {
            Ok(())
        } else {
            Err(Refusal::Key)
        }
    }
}
