//! Decides how long requests wait for a dependency that is out of reach, and when the callers of
//! those that are refused should come back.

use std::time::Duration;

use celerycove_types::Timestamp;

/// Time in which a lost leader is usually replaced: its loss is noticed, an election is held and the
/// new leader commits its first entry.
const REPLACEMENT_TIME: Duration = Duration::from_millis(1_200);
/// Bounds of the mean time after which callers are told to come back.
const MIN_RETURN: Duration = Duration::from_millis(400);
const MAX_RETURN: Duration = Duration::from_secs(3);

/// Whether a dependency is out of reach, and since when.
#[derive(Debug, Default)]
pub(super) struct Outage {
    since: Option<Timestamp>,
}

impl Outage {
    /// Records that the dependency did not answer, or that nothing is known that could answer.
    /// Returns whether that is new.
    pub(super) fn record_failure(&mut self, now: Timestamp) -> bool {
        let is_new = self.since.is_none();
        self.since.get_or_insert(now);
        is_new
    }

    /// Records that the dependency answered, and returns how long it was out of reach, if it was.
    pub(super) fn record_success(&mut self, now: Timestamp) -> Option<Duration> {
        self.since.take().map(|since| now.saturating_sub(since))
    }

    /// Whether the dependency is out of reach.
    pub(super) fn is_active(&self) -> bool {
        self.since.is_some()
    }

    /// Returns how long a request may wait from now on, at most `limit`; zero if it is to be refused
    /// at once because the outage has outlasted a usual replacement.
    pub(super) fn patience(&self, now: Timestamp, limit: Duration) -> Duration {
        self.since.map_or(limit, |since| {
            (since + REPLACEMENT_TIME).saturating_sub(now).min(limit)
        })
    }

    /// Returns when a refused caller should come back. The longer an outage has lasted, the longer it
    /// is expected to go on. `random`, in the range from 0 to 1, spreads the callers, so that they
    /// don't return in one wave.
    pub(super) fn return_after(&self, now: Timestamp, random: f64) -> Duration {
        let age = self
            .since
            .map_or(Duration::ZERO, |since| now.saturating_sub(since));
        (age / 2)
            .clamp(MIN_RETURN, MAX_RETURN)
            .mul_f64(0.25 + 1.5 * random)
    }
}

#[cfg(test)]
#[path = "outage_tests.rs"]
mod tests;
