//! When the share of the new version grows, in fractions of the rollout's duration.

use std::time::Duration;

/// Shares of the steps. Half of the traffic is tried before all of it because a version that fails
/// under load should be found while the exposure bound still holds.
const SHARES: [f64; 4] = [0.04, 0.15, 0.5, 1.0];
/// Start of each step, as a fraction of the time from the first step to the last: a rollout of 12 s
/// takes the second step after 5.8 s, the third after 6.4 s.
const STARTS: [f64; 4] = [0.0, 0.7, 0.785, 1.0];
/// Start of the last step as a fraction of the duration. Completion takes 1 to 2 s more: a lease, the
/// last answers of the old version and a report. The rest is for a change of the leader.
const FULL_AT: f64 = 0.67;
/// Time before the deadline at which the last step starts at the latest, if the duration allows it.
/// It is also the time up to which the last step may be held back.
const RESERVE: Duration = Duration::from_millis(2_500);
/// Time that the steps take if the new servers become ready late, and the duration allows it.
const LATE_STEPS: Duration = Duration::from_millis(3_500);
/// Least time in each of the first three steps, as long as the reserve is not touched. The answers of
/// the third must have arrived before all traffic moves, slow ones included.
const LEAST_DWELLS: [Duration; 3] = [
    Duration::from_millis(600),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
];
/// Upper bound of those times as a fraction of the duration.
const MOST_DWELL: f64 = 0.12;
/// Earliest time of the first step, as a fraction of the duration, for a rollout that is resumed.
const RESUMED_START: f64 = 0.04;
/// A new leader resumes at the step that was due this long before. It covers an election and the
/// collection of reports, in which no step was taken.
const RESUMED_GAP: Duration = Duration::from_millis(1_500);
/// Requests of the new version that the first step aims for.
const FIRST_STEP_REQUESTS: f64 = 45.0;
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
    index: usize,
    stepped_at: Duration,
    first_share: f64,
}

impl Schedule {
    pub fn new(duration: Duration) -> Self {
        Self {
            duration,
            started_at: None,
            index: 0,
            stepped_at: Duration::ZERO,
            first_share: SHARES[0],
        }
    }

    /// Moves on to `elapsed`, the time since the order, and returns whether a step was taken. `peak`
    /// is the rate of the service's requests per second.
    pub fn advance(&mut self, elapsed: Duration, peak: f64, gate: Gate) -> bool {
        let started_at = *self.started_at.get_or_insert(elapsed);
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
        let most_dwell = self.duration.mul_f64(MOST_DWELL);
        let dwell = LEAST_DWELLS[self.index].min(most_dwell);
        let dwells_after: Duration = LEAST_DWELLS[self.index + 1..]
            .iter()
            .map(|dwell| (*dwell).min(most_dwell))
            .sum();
        let latest = self.duration.saturating_sub(self.reserve() + dwells_after);
        let due = (started_at + span.mul_f64(*start)).max((self.stepped_at + dwell).min(latest));
        let is_held = match gate {
            Gate::Open => false,
            Gate::Waiting => elapsed < latest,
            Gate::Shut => true,
        };
        if elapsed < due || is_held {
            return false;
        }
        self.index += 1;
        self.stepped_at = elapsed;
        true
    }

    /// Resumes a rollout that another leader has begun, at the step that is due but not beyond
    /// `most`. Has no effect once a step has begun.
    pub fn resume(&mut self, elapsed: Duration, most: usize) {
        if self.started_at.is_some() {
            return;
        }
        let started_at = self.duration.mul_f64(RESUMED_START);
        let span = self.full_at(started_at).saturating_sub(started_at);
        let due = STARTS
            .iter()
            .rposition(|start| started_at + span.mul_f64(*start) + RESUMED_GAP <= elapsed)
            .unwrap_or(0);
        self.index = due.min(most);
        self.started_at = Some(if most == 0 { elapsed } else { started_at });
        self.stepped_at = elapsed;
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

    fn reserve(&self) -> Duration {
        RESERVE.min(self.duration.mul_f64(0.5))
    }

    fn full_at(&self, started_at: Duration) -> Duration {
        let latest = self.duration.saturating_sub(self.reserve());
        let planned = self.duration.mul_f64(FULL_AT).min(latest);
        planned.max((started_at + LATE_STEPS).min(latest))
    }
}
