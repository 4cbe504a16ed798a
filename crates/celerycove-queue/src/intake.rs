//! Admission of new programs at an entry while the engines of a service are overloaded.
//!
//! A program yields its value only if it ends in time. While a service is overloaded, its new
//! programs wait for some in progress to end, instead of slowing all of them down. The limit on
//! programs in progress exists only while an overload is evident or is receding.

mod pressure;
mod programs;

use std::{collections::BTreeMap, time::Duration};

use celerycove_types::{Timestamp, Violation, id};

use self::{
    pressure::{Pressure, TICK_JITTER, WINDOW},
    programs::Programs,
};
use crate::fair::{Job, Scheduler};

/// Slowdown from which a service is overloaded. The tightest objectives are 1.4 times a program's
/// time on idle servers, of which queueing at the usual load takes a part.
const OVERLOAD_SLOWDOWN: f64 = 1.4;
/// Slowdown below which an overload recedes.
const CALM_SLOWDOWN: f64 = 1.2;
/// Mean distances between measurements at the usual load that a slowdown must exceed to be no chance.
/// For a normal distribution, the first is exceeded once in 30,000 measurements, which is 25 minutes,
/// and the second once in 18.
const OVERLOAD_DISTANCES: f64 = 5.0;
const CALM_DISTANCES: f64 = 2.0;
/// Share of programs in progress whose time has run out from which a slowdown above
/// [`CALM_SLOWDOWN`] is an overload.
const OVERLOAD_LATE_SHARE: f64 = 0.1;
/// Factor by which the limit shrinks while the overload lasts.
const DECREASE: f64 = 0.85;
/// Time between two decreases: turns that end sooner were sent under the previous limit.
const DECREASE_INTERVAL: Duration = Duration::from_millis(300);
/// Share of the limit by which it grows in each window without overload.
const INCREASE: f64 = 0.025;
/// Smallest limit, so that new programs are always served.
const MIN_LIMIT: f64 = 2.0;
/// Smallest limit relative to the programs in progress. They are not stopped, so a lower limit would
/// only lengthen the time until new ones are admitted again.
const MAX_CUT: f64 = 0.7;
/// Time without overload after which the limit is removed. Together with the 300 ms that finished
/// turns count, an overload is over 500 ms after its cause.
const RECOVERY: Duration = Duration::from_millis(200);
/// Shortest time to return after a refusal: about the duration of a turn.
const MIN_RETURN: Duration = Duration::from_millis(150);
/// Longest time to return after a refusal: the forecast says little beyond it.
const MAX_RETURN: Duration = Duration::from_secs(10);
/// Number of refused programs whose place is kept.
const MAX_PLACES: usize = 1_024;

/// Parameters of an intake.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Maximum number of waiting first turns.
    pub max_waiting: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_waiting: 256 }
    }
}

/// Whether first turns are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// They are admitted, or wait while the service is overloaded.
    Open,
    /// The entry is stopping: none waits, and those that would have to wait are refused.
    Stopping,
}

/// An input of an intake.
#[derive(Debug, Clone)]
pub enum Event {
    /// The first turn of a program arrived. The job's deadline is the latest time at which its
    /// caller can afford to start; its cost is the expected work of the turn.
    Arrive(Job),
    /// A turn of a program in progress arrived, or a first turn was started.
    Continue {
        /// The program.
        program: id::Program,
        /// When the program should be finished, if it states a time.
        due: Option<Timestamp>,
    },
    /// A turn was sent to an engine.
    Sent {
        /// The turn.
        id: id::Request,
        /// Rough time that it takes on an idle server. Only the proportions among turns count.
        nominal: Duration,
    },
    /// A turn ended.
    Finish {
        /// The turn.
        id: id::Request,
        /// Its program.
        program: id::Program,
        /// Rough time on an idle server for what the turn has generated; `None` if it was not
        /// answered completely.
        nominal: Option<Duration>,
    },
    /// The caller of a waiting first turn disconnected.
    Cancel(id::Request),
    /// Advances the time; due every 25 ms.
    Tick,
    /// Sets whether first turns are admitted.
    Gate(Gate),
}

/// Why a first turn was refused without running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The forecast wait exceeds what the caller can afford.
    Forecast,
    /// The caller's time to start ran out while the turn waited.
    Expired,
    /// Too many first turns wait.
    Full,
    /// The entry is stopping.
    Stopping,
}

impl Reason {
    /// Returns the reason's name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Forecast => "forecast",
            Self::Expired => "expired",
            Self::Full => "full",
            Self::Stopping => "stopping",
        }
    }
}

/// An action that the owner of the intake must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start the first turn. Its program counts as in progress from now on.
    Start(id::Request),
    /// Refuse the first turn as not run.
    Refuse {
        /// The turn.
        id: id::Request,
        /// The reason.
        reason: Reason,
        /// The time after which its caller should return.
        return_after: Duration,
    },
}

/// The figures that decisions are based on, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Status {
    /// Waiting first turns.
    pub waiting: usize,
    /// Programs in progress.
    pub in_progress: usize,
    /// Limit on programs in progress, if one is in force.
    pub limit: Option<f64>,
    /// Current slowdown relative to the usual one, if known.
    pub slowdown: Option<f64>,
    /// Share of programs in progress whose time has run out.
    pub late_share: f64,
}

/// The place of a refused program in the order of arrival.
#[derive(Debug, Clone, Copy)]
struct Place {
    arrived_at: Timestamp,
    kept_until: Timestamp,
}

/// The admission of new programs of one service.
#[derive(Debug, Default)]
pub struct Intake {
    options: Options,
    scheduler: Scheduler,
    gate: Option<Gate>,
    pressure: Pressure,
    programs: Programs,
    places: BTreeMap<id::Program, Place>,
    limit: Option<f64>,
    /// When the last window was closed.
    window_at: Timestamp,
    last_decrease: Timestamp,
    /// When the service was last overloaded.
    last_overload: Timestamp,
    now: Timestamp,
}

impl Intake {
    /// Creates an intake for a service about whose load nothing is known.
    #[must_use]
    pub fn new(options: Options, now: Timestamp) -> Self {
        Self {
            options,
            window_at: now,
            now,
            ..Self::default()
        }
    }

    /// Processes one event and returns the actions that follow from it.
    pub fn step(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        let mut actions = Vec::new();
        match event {
            Event::Arrive(job) => self.arrive(job, &mut actions),
            Event::Continue { program, due } => {
                let now = self.now;
                self.programs.begin_turn(now, &program, due);
            }
            Event::Sent { id, nominal } => self.pressure.begin(self.now, id, nominal),
            Event::Finish {
                id,
                program,
                nominal,
            } => {
                self.pressure.end(self.now, &id, nominal);
                self.programs.end_turn(self.now, &program);
            }
            Event::Cancel(id) => {
                self.scheduler.remove(&id);
            }
            Event::Tick => self.tick(&mut actions),
            Event::Gate(gate) => self.set_gate(gate, &mut actions),
        }
        self.start_ready(&mut actions);
        actions
    }

    /// Returns whether a program has begun, so that its turns never wait.
    #[must_use]
    pub fn has_begun(&self, program: &id::Program) -> bool {
        self.programs.has_begun(program)
    }

    /// Returns the figures that decisions are based on.
    #[must_use]
    pub fn status(&self) -> Status {
        Status {
            waiting: self.scheduler.len(),
            in_progress: self.programs.len(),
            limit: self.limit,
            slowdown: self.pressure.slowdown(),
            late_share: self.programs.late_share(),
        }
    }

    /// Returns whether there is nothing left to watch, so that ticks are not needed.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.scheduler.is_empty() && self.programs.is_empty() && self.limit.is_none()
    }

    /// Checks the intake's invariants.
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        Violation::unless(
            self.scheduler.len() <= self.options.max_waiting,
            "intake-bounded",
            || format!("{} waiting", self.scheduler.len()),
        )?;
        Violation::unless(
            self.scheduler.is_empty() || self.is_limit_reached(),
            "intake-work-conserving",
            || format!("{:?}", self.status()),
        )?;
        Violation::unless(
            self.places.len() <= MAX_PLACES,
            "intake-places-bounded",
            || format!("{} places", self.places.len()),
        )
    }

    fn arrive(&mut self, job: Job, actions: &mut Vec<Action>) {
        if self.gate == Some(Gate::Stopping) && self.is_limit_reached() {
            actions.push(Action::Refuse {
                id: job.id,
                reason: Reason::Stopping,
                return_after: MIN_RETURN,
            });
            return;
        }
        let place = job.program.as_ref().and_then(|p| self.places.remove(p));
        let place = place.filter(|place| self.now <= place.kept_until);
        let arrived_at = place.map_or(self.now, |place| place.arrived_at);
        if self.is_limit_reached() {
            let waited = self.now.saturating_sub(arrived_at);
            let forecast = self.forecast(&job.organisation);
            let remaining = forecast.saturating_sub(waited);
            if job.deadline.is_some_and(|d| self.now + remaining > d) {
                self.refuse(job, Reason::Forecast, arrived_at, remaining, actions);
                return;
            }
        }
        self.scheduler.push(job, arrived_at);
        if self.is_limit_reached()
            && self.scheduler.len() > self.options.max_waiting
            && let Some(job) = self.scheduler.shed()
        {
            let forecast = self.forecast(&job.organisation);
            self.refuse(job, Reason::Full, self.now, forecast, actions);
        }
    }

    /// Refuses a first turn and keeps the place of its program.
    fn refuse(
        &mut self,
        job: Job,
        reason: Reason,
        arrived_at: Timestamp,
        wait: Duration,
        actions: &mut Vec<Action>,
    ) {
        let return_after = wait.clamp(MIN_RETURN, MAX_RETURN);
        if let Some(program) = job.program
            && self.places.len() < MAX_PLACES
        {
            let kept_until = self.now + return_after * 2;
            let place = Place {
                arrived_at,
                kept_until,
            };
            self.places.insert(program, place);
        }
        actions.push(Action::Refuse {
            id: job.id,
            reason,
            return_after,
        });
    }

    /// Forecasts the wait of a first turn that arrives now. Organisations take turns, so the
    /// backlog of another one counts only up to the own backlog.
    fn forecast(&self, organisation: &id::Organisation) -> Duration {
        let Some(limit) = self.limit else {
            return Duration::ZERO;
        };
        let own = self.scheduler.queued_of(organisation) + 1;
        let backlogged = self.scheduler.backlogged() + usize::from(own == 1);
        let ahead = (own * backlogged).min(self.scheduler.len() + 1);
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let excess = (self.programs.count() - limit).max(0.0);
        let ends_per_second = limit / self.programs.usual_life().as_secs_f64();
        Duration::try_from_secs_f64((ahead + excess) / ends_per_second).unwrap_or(Duration::MAX)
    }

    fn is_limit_reached(&self) -> bool {
        self.pressure.is_busy()
            && self
                .limit
                .is_some_and(|limit| self.programs.count() + 1.0 > limit)
    }

    fn set_gate(&mut self, gate: Gate, actions: &mut Vec<Action>) {
        self.gate = Some(gate);
        if gate == Gate::Stopping {
            let refused = self.scheduler.drain().into_iter();
            actions.extend(refused.map(|job| Action::Refuse {
                id: job.id,
                reason: Reason::Stopping,
                return_after: MIN_RETURN,
            }));
        }
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        if self.now + TICK_JITTER < self.window_at + WINDOW {
            return;
        }
        self.window_at = self.now;
        let now = self.now;
        self.pressure.close_window(now);
        for job in self.programs.remove_ended(now) {
            self.scheduler.finish(&job, job.cost);
        }
        self.adapt_limit();
        for job in self.scheduler.drain_expired(now) {
            let forecast = self.forecast(&job.organisation);
            self.refuse(job, Reason::Expired, now, forecast, actions);
        }
        self.places.retain(|_, place| now <= place.kept_until);
    }

    /// Multiplicative decrease while the service is overloaded, additive increase afterwards.
    fn adapt_limit(&mut self) {
        let slowdown = self.pressure.slowdown().unwrap_or(0.0);
        let is_late = self.programs.late_share() >= OVERLOAD_LATE_SHARE;
        let calm = CALM_SLOWDOWN.max(self.pressure.noise(CALM_DISTANCES));
        let overload = OVERLOAD_SLOWDOWN.max(self.pressure.noise(OVERLOAD_DISTANCES));
        let is_overloaded = slowdown >= overload || (slowdown >= calm && is_late);
        if is_overloaded {
            self.last_overload = self.now;
            let count = self.programs.count();
            let Some(limit) = self.limit else {
                // At first no program is added. A measurement that was off costs little then.
                self.limit = Some(count.max(MIN_LIMIT));
                self.last_decrease = self.now;
                return;
            };
            if self.now >= self.last_decrease + DECREASE_INTERVAL {
                self.last_decrease = self.now;
                let floor = (count * MAX_CUT).max(MIN_LIMIT);
                self.limit = Some((limit * DECREASE).max(floor));
            }
        } else if let Some(limit) = self.limit {
            let is_over = self.now >= self.last_overload + RECOVERY;
            let is_calm = slowdown < calm;
            self.limit = if is_calm && (is_over || !self.pressure.is_busy()) {
                None
            } else if is_calm {
                Some(limit + (limit * INCREASE).max(0.5))
            } else {
                Some(limit)
            };
        }
    }

    fn start_ready(&mut self, actions: &mut Vec<Action>) {
        while !self.scheduler.is_empty() && !self.is_limit_reached() {
            let Some(job) = self.scheduler.pop(self.now) else {
                return;
            };
            actions.push(Action::Start(job.id.clone()));
            if let Some(ended) = self.programs.start(self.now, job) {
                self.scheduler.finish(&ended, ended.cost);
            }
        }
    }
}
