//! The time table of a planned stop.

use std::time::Duration;

use celerycove_types::Timestamp;

/// How long a stopping entry keeps accepting all requests after it reports that it is not ready. The
/// load balancer probes readiness once a second and acts on the second failed probe.
const READINESS_NOTICE: Duration = Duration::from_millis(2_600);
/// Part of the grace period that is kept free for the exit of the process.
pub(super) const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// How long before its end the entry answers the requests that are still open.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// When a stopping entry does what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Plan {
    /// Requests from then on are late: most callers have turned to other entries.
    late_from: Timestamp,
    /// When open requests are answered, whether or not they have ended.
    answers_at: Timestamp,
    /// When the entry ends.
    ends_at: Timestamp,
}

impl Plan {
    /// Plans a stop that begins now and is followed by a kill after the grace period.
    pub(super) fn new(now: Timestamp, grace_period: Duration) -> Self {
        let left = grace_period.saturating_sub(EXIT_MARGIN);
        let ends_at = now + left;
        Self {
            late_from: now + READINESS_NOTICE.min(left / 2),
            answers_at: ends_at.saturating_sub(ANSWER_MARGIN).max(now + left / 2),
            ends_at,
        }
    }

    /// Whether a request that begins now may be passed on. A late one only if its deadline passes
    /// before the entry ends, so that it is never cut; another entry takes it otherwise.
    pub(super) fn admits(&self, now: Timestamp, deadline: Timestamp) -> bool {
        now < self.late_from || deadline <= self.answers_at
    }

    pub(super) fn until_late(&self, now: Timestamp) -> Duration {
        self.late_from.saturating_sub(now)
    }

    pub(super) fn until_answers(&self, now: Timestamp) -> Duration {
        self.answers_at.saturating_sub(now)
    }

    pub(super) fn until_end(&self, now: Timestamp) -> Duration {
        self.ends_at.saturating_sub(now)
    }
}

#[cfg(test)]
#[path = "stop_tests.rs"]
mod tests;
