//! How much a backend server can bear: a limit that grows with what it proves.

use std::time::Duration;

use celerycove_types::Timestamp;
use statig::prelude::*;

/// How one request went.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sample {
    /// It was served; the cost is in units that take about equally long when warm.
    Served {
        /// How long it took.
        took: Duration,
        /// Its cost.
        cost: f64,
    },
    /// It failed in a way that speaks against the backend server.
    Failed,
}

/// Limits of the ramp.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Requests at once when warm.
    pub capacity: u32,
    /// The factor by which a full round without trouble raises the limit.
    pub growth: f64,
    /// How many times slower than its usual a cost unit may be before the limit falls.
    pub slowdown: f64,
    /// How long a failing backend server rests before the first trial; doubles up to 32 times.
    pub rest: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 16,
            growth: 1.5,
            slowdown: 4.0,
            rest: Duration::from_millis(250),
        }
    }
}

/// How many samples in a row must be slow before the limit falls.
const SLOW_SAMPLES: u32 = 3;
/// The weight of a new sample in the usual time per unit.
const SMOOTHING: f64 = 0.05;
/// How many failures in a row make a backend server failing.
const FAILURES: u32 = 3;
/// How often the rest doubles at most.
const DOUBLINGS: u32 = 5;

/// What the limit reacts to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Input {
    /// A request ended while `running` others ran.
    Sample(Sample),
    /// The backend server says that it has restarted, or could not be reached at all.
    Restarted,
    /// Time passed.
    Tick(Timestamp),
}

/// What the modes share.
#[derive(Debug)]
pub(crate) struct Core {
    options: Options,
    limit: f64,
    round: f64,
    usual: Option<f64>,
    slow: u32,
    failures: u32,
    rests: u32,
    now: Timestamp,
    resume: Timestamp,
}

#[state_machine(
    initial = "State::cold()",
    state(derive(Debug, Clone, PartialEq, Eq)),
    visibility = "pub(crate)"
)]
impl Core {
    /// The limit grows with each round served.
    #[state(superstate = "up")]
    fn cold(&mut self, event: &Input) -> Outcome<State> {
        match event {
            Input::Sample(Sample::Served { took, cost }) => {
                self.note_served(*took, *cost);
                if self.is_slow() {
                    self.fall_back();
                } else {
                    self.grow();
                }
                if self.limit >= f64::from(self.options.capacity) {
                    return Transition(State::warm());
                }
                Handled
            }
            _ => Super,
        }
    }

    /// The limit is the capacity.
    #[state(superstate = "up")]
    fn warm(&mut self, event: &Input) -> Outcome<State> {
        match event {
            Input::Sample(Sample::Served { took, cost }) => {
                self.note_served(*took, *cost);
                if self.is_slow() {
                    self.fall_back();
                    return Transition(State::cold());
                }
                Handled
            }
            _ => Super,
        }
    }

    /// Nothing runs until the rest is over; then the ramp begins again.
    #[state]
    fn failing(&mut self, event: &Input) -> Outcome<State> {
        match event {
            Input::Tick(now) => {
                self.now = *now;
                if self.now < self.resume {
                    return Handled;
                }
                self.limit = 1.0;
                self.failures = FAILURES - 1;
                Transition(State::cold())
            }
            _ => Handled,
        }
    }

    #[superstate]
    fn up(&mut self, event: &Input) -> Outcome<State> {
        match event {
            Input::Tick(now) => {
                self.now = *now;
                Handled
            }
            Input::Restarted => {
                self.restart();
                Transition(State::cold())
            }
            Input::Sample(_) => {
                self.restart();
                self.failures += 1;
                if self.failures < FAILURES {
                    return Transition(State::cold());
                }
                self.resume = self.now + self.options.rest * 2_u32.pow(self.rests);
                self.rests = (self.rests + 1).min(DOUBLINGS);
                self.limit = 0.0;
                Transition(State::failing())
            }
        }
    }
}

impl Core {
    fn note_served(&mut self, took: Duration, cost: f64) {
        self.failures = 0;
        self.rests = 0;
        let unit = took.as_secs_f64() / cost.max(1.0);
        let usual = self.usual.unwrap_or(unit);
        let slow = unit > usual * self.options.slowdown;
        self.slow = if slow { self.slow + 1 } else { 0 };
        // A sample that is far off must not become the usual.
        let bounded = unit.min(usual * self.options.slowdown);
        self.usual = Some(usual + (bounded - usual) * SMOOTHING);
    }

    fn is_slow(&self) -> bool {
        self.slow >= SLOW_SAMPLES
    }

    fn grow(&mut self) {
        self.round += 1.0;
        if self.round >= self.limit {
            self.round = 0.0;
            let grown = (self.limit * self.options.growth).max(self.limit + 1.0);
            self.limit = grown.min(f64::from(self.options.capacity));
        }
    }

    fn fall_back(&mut self) {
        self.slow = 0;
        self.round = 0.0;
        self.limit = (self.limit / 2.0).max(1.0);
    }

    fn restart(&mut self) {
        self.slow = 0;
        self.round = 0.0;
        self.limit = 1.0;
    }
}

/// The limit on requests at once.
pub struct Ramp {
    machine: StateMachine<Core>,
}

impl std::fmt::Debug for Ramp {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?} {:?}", self.machine.state(), *self.machine)
    }
}

impl Ramp {
    /// Starts cold.
    #[must_use]
    pub fn new(options: Options, now: Timestamp) -> Self {
        let core = Core {
            options,
            limit: 1.0,
            round: 0.0,
            usual: None,
            slow: 0,
            failures: 0,
            rests: 0,
            now,
            resume: now,
        };
        let mut machine = core.state_machine();
        machine.init();
        Self { machine }
    }

    /// Takes an input in.
    pub fn handle(&mut self, input: Input) {
        self.machine.handle(&input);
    }

    /// How many requests may run at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = self.machine.limit.floor() as u32;
        limit.min(self.machine.options.capacity)
    }

    /// Whether the backend server bears its whole capacity.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        matches!(self.machine.state(), State::Warm {})
    }

    /// Whether it rests after failures.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        matches!(self.machine.state(), State::Failing {})
    }
}
