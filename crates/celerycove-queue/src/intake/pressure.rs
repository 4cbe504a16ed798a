//! How much longer turns take than usual, from finished turns and from those that are overdue.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use celerycove_types::{Timestamp, id};

/// Length of a window in which finished turns are summed up.
pub(super) const WINDOW: Duration = Duration::from_millis(50);
/// A tick that is early by this much closes the window too, so that jitter does not double it.
pub(super) const TICK_JITTER: Duration = Duration::from_millis(5);
/// Number of windows that count as current: an overload must be detected within 300 ms.
const CURRENT_WINDOWS: usize = 5;
/// Number of windows that are looked back on for enough turns.
const MAX_WINDOWS: usize = 20;
/// Number of turns below which no slowdown is stated: the mean of as many turns that differ by a
/// quarter is off by a tenth.
const MIN_TURNS: u32 = 8;
/// Number of measurements before the usual slowdown is known: six seconds, in which a service that has
/// just started reaches its usual load.
const LEARNING: u32 = 120;
/// Largest step of the usual slowdown's logarithm for a measurement; it shrinks as they become more.
const MAX_STEP: f64 = 0.05;
/// Smallest step. An overload of 10 s, which is 200 measurements, raises the usual slowdown by 10%;
/// a lasting change of the service becomes usual within a minute.
const MIN_STEP: f64 = 0.001;
/// Largest distance that counts for the spread: a multiple of the spread, and a value to begin with.
const MAX_DISTANCE: f64 = 2.5;
const MIN_DISTANCE: f64 = 0.01;
/// A running turn counts as soon as it has taken this multiple of its usual time.
const OVERDUE: f64 = 1.2;

/// Time taken and nominal time of the turns in a window, in seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    took: f64,
    nominal: f64,
    turns: u32,
}

impl Sum {
    fn add(&mut self, took: Duration, nominal: Duration) {
        self.took += took.as_secs_f64();
        self.nominal += nominal.as_secs_f64();
        self.turns += 1;
    }

    fn ratio(self) -> Option<f64> {
        (self.turns >= MIN_TURNS && self.nominal > 0.0).then(|| self.took / self.nominal)
    }
}

#[derive(Debug)]
struct Run {
    started_at: Timestamp,
    nominal: Duration,
}

/// The slowdown of one service's turns.
#[derive(Debug, Default)]
pub(super) struct Pressure {
    running: BTreeMap<id::Request, Run>,
    windows: VecDeque<Sum>,
    open: Sum,
    /// Ratio of time taken to nominal time at the service's usual load.
    usual: Option<f64>,
    /// Mean distance between the logarithms of the measured ratios and of the usual one.
    spread: f64,
    measurements: u32,
    /// Current ratio relative to the usual one.
    slowdown: Option<f64>,
}

impl Pressure {
    /// Records that a turn was sent to an engine.
    pub(super) fn begin(&mut self, now: Timestamp, turn: id::Request, nominal: Duration) {
        let started_at = now;
        self.running.insert(
            turn,
            Run {
                started_at,
                nominal,
            },
        );
    }

    /// Records the end of a turn, with the nominal time of what it generated. A turn that did not
    /// end completely is no sample.
    pub(super) fn end(&mut self, now: Timestamp, turn: &id::Request, nominal: Option<Duration>) {
        if let Some((run, nominal)) = self.running.remove(turn).zip(nominal) {
            self.open.add(now.saturating_sub(run.started_at), nominal);
        }
    }

    /// Closes a window and measures the slowdown.
    pub(super) fn close_window(&mut self, now: Timestamp) {
        self.windows.push_back(std::mem::take(&mut self.open));
        if self.windows.len() > MAX_WINDOWS {
            self.windows.pop_front();
        }
        let mut sum = self.overdue(now);
        for (age, window) in self.windows.iter().rev().enumerate() {
            if age >= CURRENT_WINDOWS && sum.turns >= MIN_TURNS {
                break;
            }
            sum.took += window.took;
            sum.nominal += window.nominal;
            sum.turns += window.turns;
        }
        let ratio = sum.ratio();
        if let Some(ratio) = ratio {
            self.learn(ratio);
        }
        let usual = self.usual.filter(|_| self.measurements >= LEARNING);
        self.slowdown = ratio.zip(usual).map(|(ratio, usual)| ratio / usual);
    }

    /// Returns the sum of the running turns that already take longer than usual. They show an overload
    /// before the first slow turn has ended.
    fn overdue(&self, now: Timestamp) -> Sum {
        let mut sum = Sum::default();
        let Some(usual) = self.usual else {
            return sum;
        };
        for run in self.running.values() {
            let took = now.saturating_sub(run.started_at);
            if took.as_secs_f64() > OVERDUE * usual * run.nominal.as_secs_f64() {
                sum.add(took, run.nominal);
            }
        }
        sum
    }

    /// Returns the current slowdown relative to the usual one; `None` without enough turns.
    pub(super) fn slowdown(&self) -> Option<f64> {
        self.slowdown
    }

    /// Returns the slowdown that is reached by chance once in `distances` mean distances.
    pub(super) fn noise(&self, distances: f64) -> f64 {
        (self.spread * distances).exp()
    }

    /// Returns whether a turn is running.
    pub(super) fn is_busy(&self) -> bool {
        !self.running.is_empty()
    }

    /// Moves the usual ratio towards the median of the measured ones.
    fn learn(&mut self, ratio: f64) {
        let step = (MAX_STEP / (1.0 + f64::from(self.measurements) / 20.0)).max(MIN_STEP);
        let usual = self.usual.unwrap_or(ratio);
        // The cap keeps an overload from counting as spread.
        let distance = (ratio / usual).ln().abs();
        let distance = distance.min(MAX_DISTANCE * self.spread + MIN_DISTANCE);
        self.spread += (distance - self.spread) * step;
        let direction = if ratio > usual { 0.5 } else { -0.5 };
        self.usual = Some(usual * (step * direction).exp());
        self.measurements = self.measurements.saturating_add(1);
    }
}
