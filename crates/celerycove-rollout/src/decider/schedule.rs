//! When the share of the new version grows, in fractions of the rollout's duration.

use std::time::Duration;

/// Shares of the steps. Half of the traffic is tried before all of it because a version that fails
/// under load should be found while the exposure bound still holds.
const SHARES: [f64; 4] = [0.04, 0.15, 0.5, 1.0];
/// Start of each step, as a fraction of the time from the first step to the last.
const STARTS: [f64; 4] = [0.0, 0.75, 0.86, 1.0];
/// Start of the last step as a fraction of the duration. Completion takes about one second more: a
/// lease, the last answers of the old version and a report.
const FULL_AT: f64 = 0.76;
/// Time before the deadline at which the last step starts at the latest, if the duration allows it.
const LATEST_FULL: Duration = Duration::from_secs(2);
/// Time that the steps take if the new servers become ready late, and the duration allows it.
const LATE_STEPS: Duration = Duration::from_millis(3_500);
/// Time before the deadline up to which the last step may be held back.
const RESERVE: Duration = Duration::from_millis(1_500);
/// Requests of the new version that the first step aims for.
const FIRST_STEP_REQUESTS: f64 = 60.0;
/// Largest share of the first step, for a service with few requests.
const MAX_FIRST_SHARE: f64 = 0.25;

/// Whether the evidence allows the next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// The next step may be taken when it is due.
    Open,
    /// The next step waits for more evidence, as long as there is time.
    Waiting,
    /// The next step must not be taken.
    Shut,
}

/// Position in the schedule.
#[derive(Debug)]
pub struct Schedule {
    duration: Duration,
    started_at: Option<Duration>,
    updated_at: Duration,
    held: Duration,
    index: usize,
    first_share: f64,
}

impl Schedule {
    pub fn new(duration: Duration) -> Self {
        Self {
            duration,
            started_at: None,
            updated_at: Duration::ZERO,
            held: Duration::ZERO,
            index: 0,
            first_share: SHARES[0],
        }
    }

    /// Moves on to `elapsed`, the time since the order, and returns whether a step was taken. `peak`
    /// is the rate of the service's requests per second.
    pub fn advance(&mut self, elapsed: Duration, peak: f64, gate: Gate) -> bool {
        let started_at = *self.started_at.get_or_insert(elapsed);
        let since_update = match self.updated_at {
            Duration::ZERO => Duration::ZERO,
            at => elapsed.saturating_sub(at),
        };
        self.updated_at = elapsed;
        let full_at = self.full_at(started_at);
        let span = full_at.saturating_sub(started_at);
        if self.index == 0 && peak > 0.0 {
            let time = span.mul_f64(STARTS[1]).as_secs_f64().max(0.1);
            let share = FIRST_STEP_REQUESTS / (peak * time);
            self.first_share = self.first_share.max(share.min(MAX_FIRST_SHARE));
        }
        let Some(start) = STARTS.get(self.index + 1) else {
            return false;
        };
        if elapsed < started_at + span.mul_f64(*start) + self.held {
            return false;
        }
        let reserve = RESERVE.min(self.duration.mul_f64(0.4));
        let most_held = self
            .duration
            .saturating_sub(reserve)
            .saturating_sub(full_at);
        let is_held = match gate {
            Gate::Open => false,
            Gate::Waiting => self.held < most_held,
            Gate::Shut => true,
        };
        if is_held {
            self.held += since_update;
            return false;
        }
        self.index += 1;
        true
    }

    /// Returns the share of the present step.
    pub fn share(&self) -> f64 {
        SHARES[self.index].max(self.first_share)
    }

    /// Returns whether the present step is one of the last two, which exceed the exposure bound for
    /// a short time.
    pub fn is_near_end(&self) -> bool {
        self.index >= 2
    }

    /// Returns whether the present step is the last one.
    pub fn is_full(&self) -> bool {
        self.index + 1 == SHARES.len()
    }

    fn full_at(&self, started_at: Duration) -> Duration {
        let latest = self
            .duration
            .saturating_sub(LATEST_FULL)
            .max(self.duration / 2);
        let planned = self.duration.mul_f64(FULL_AT).min(latest);
        planned.max((started_at + LATE_STEPS).min(latest))
    }
}
