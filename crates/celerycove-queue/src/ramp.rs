//! A concurrency limit for one backend server that starts low and grows while requests succeed.

use std::time::Duration;

use celerycove_types::Timestamp;
use statig::prelude::*;

/// The outcome of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sample {
    /// The request was served; a warm server takes about the same time for each unit of cost.
    Served {
        /// The time from start to end.
        took: Duration,
        /// The cost in units.
        cost: f64,
    },
    /// The request failed because of the backend server.
    Failed,
}

/// Parameters of the limit.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The limit when warm: concurrent requests.
    pub capacity: u32,
    /// The factor by which the limit grows after as many requests as the limit were served without
    /// a slowdown.
    pub growth_factor: f64,
    /// A request is slow if its time per unit of cost exceeds the baseline by this factor.
    pub slowdown_factor: f64,
    /// How long a failing backend server gets no requests before the first trial; doubles with
    /// each failed trial, up to 32 times this value.
    pub backoff: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 16,
            growth_factor: 1.5,
            slowdown_factor: 4.0,
            backoff: Duration::from_millis(250),
        }
    }
}

/// The number of consecutive slow samples that halves the limit.
const SLOW_SAMPLE_THRESHOLD: u32 = 3;
/// The weight of a new sample in the moving average of the time per unit of cost.
const BASELINE_SMOOTHING: f64 = 0.05;
/// The number of consecutive failures after which a backend server counts as failing.
const FAILURE_THRESHOLD: u32 = 3;
/// The maximum number of times that the back-off doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// An input of the state machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Input {
    /// A request ended.
    Sample(Sample),
    /// The backend server reported a restart, or could not be reached.
    Restarted,
    /// The current time.
    Tick(Timestamp),
}

/// The data shared by all states.
#[derive(Debug)]
pub(crate) struct Data {
    options: Options,
    limit: f64,
    /// Requests served since the limit last changed.
    served_at_limit: f64,
    /// Moving average of the time per unit of cost, in seconds.
    baseline: Option<f64>,
    consecutive_slow: u32,
    consecutive_failures: u32,
    backoff_doublings: u32,
    now: Timestamp,
    /// When a failing backend server gets its next trial request.
    next_trial: Timestamp,
}

#[state_machine(
    initial = "State::cold()",
    state(derive(Debug, Clone, PartialEq, Eq)),
    visibility = "pub(crate)"
)]
impl Data {
    /// The limit grows as requests are served.
    #[state(superstate = "up")]
    fn cold(&mut self, event: &Input) -> Outcome<State> {
        match event {
            Input::Sample(Sample::Served { took, cost }) => {
                self.record_served(*took, *cost);
                if self.is_slowed_down() {
                    self.halve_limit();
                } else {
                    self.count_served();
                }
                if self.limit >= f64::from(self.options.capacity) {
                    return Transition(State::warm());
                }
                Handled
            }
            _ => Super,
        }
    }

    /// The limit has reached the capacity.
    #[state(superstate = "up")]
    fn warm(&mut self, event: &Input) -> Outcome<State> {
        match event {
            Input::Sample(Sample::Served { took, cost }) => {
                self.record_served(*took, *cost);
                if self.is_slowed_down() {
                    self.halve_limit();
                    return Transition(State::cold());
                }
                Handled
            }
            _ => Super,
        }
    }

    /// No request runs until the back-off is over; then the limit starts from one.
    #[state]
    fn failing(&mut self, event: &Input) -> Outcome<State> {
        match event {
            Input::Tick(now) => {
                self.now = *now;
                if self.now < self.next_trial {
                    return Handled;
                }
                self.limit = 1.0;
                // If the first request fails too, the server goes back to failing at once.
                self.consecutive_failures = FAILURE_THRESHOLD - 1;
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
                self.reset_limit();
                Transition(State::cold())
            }
            Input::Sample(_) => {
                self.reset_limit();
                self.consecutive_failures += 1;
                if self.consecutive_failures < FAILURE_THRESHOLD {
                    return Transition(State::cold());
                }
                self.next_trial =
                    self.now + self.options.backoff * 2_u32.pow(self.backoff_doublings);
                self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
                self.limit = 0.0;
                Transition(State::failing())
            }
        }
    }
}

impl Data {
    fn record_served(&mut self, took: Duration, cost: f64) {
        self.consecutive_failures = 0;
        self.backoff_doublings = 0;
        let time_per_unit = took.as_secs_f64() / cost.max(1.0);
        let baseline = self.baseline.unwrap_or(time_per_unit);
        let is_slow = time_per_unit > baseline * self.options.slowdown_factor;
        self.consecutive_slow = if is_slow {
            self.consecutive_slow + 1
        } else {
            0
        };
        // An outlier is capped so that it does not distort the baseline.
        let capped = time_per_unit.min(baseline * self.options.slowdown_factor);
        self.baseline = Some(baseline + (capped - baseline) * BASELINE_SMOOTHING);
    }

    fn is_slowed_down(&self) -> bool {
        self.consecutive_slow >= SLOW_SAMPLE_THRESHOLD
    }

    fn count_served(&mut self) {
        self.served_at_limit += 1.0;
        if self.served_at_limit >= self.limit {
            self.served_at_limit = 0.0;
            let raised = (self.limit * self.options.growth_factor).max(self.limit + 1.0);
            self.limit = raised.min(f64::from(self.options.capacity));
        }
    }

    fn halve_limit(&mut self) {
        self.consecutive_slow = 0;
        self.served_at_limit = 0.0;
        self.limit = (self.limit / 2.0).max(1.0);
    }

    fn reset_limit(&mut self) {
        self.consecutive_slow = 0;
        self.served_at_limit = 0.0;
        self.limit = 1.0;
    }
}

/// The limit on concurrent requests to one backend server.
pub struct Ramp {
    machine: StateMachine<Data>,
}

impl std::fmt::Debug for Ramp {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?} {:?}", self.machine.state(), *self.machine)
    }
}

impl Ramp {
    /// Starts cold, with a limit of one request.
    #[must_use]
    pub fn new(options: Options, now: Timestamp) -> Self {
        let data = Data {
            options,
            limit: 1.0,
            served_at_limit: 0.0,
            baseline: None,
            consecutive_slow: 0,
            consecutive_failures: 0,
            backoff_doublings: 0,
            now,
            next_trial: now,
        };
        let mut machine = data.state_machine();
        machine.init();
        Self { machine }
    }

    /// Processes an input.
    pub fn handle(&mut self, input: Input) {
        self.machine.handle(&input);
    }

    /// Returns the number of requests that may run concurrently.
    #[must_use]
    pub fn limit(&self) -> u32 {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = self.machine.limit.floor() as u32;
        limit.min(self.machine.options.capacity)
    }

    /// Returns whether the limit has reached the capacity.
    #[must_use]
    pub fn is_warm(&self) -> bool {
        matches!(self.machine.state(), State::Warm {})
    }

    /// Returns whether the backend server gets no requests after repeated failures.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        matches!(self.machine.state(), State::Failing {})
    }
}
