//! Detects that this process stood still, for example because its instance was frozen.

use std::time::Duration;

use celerycove_types::Timestamp;

/// How long a process may stand still before what waits for it counts as outdated: callers of a
/// control instance turn to another one after a second.
const TOLERATED_GAP: Duration = Duration::from_millis(800);
/// How long after a standstill the requests that waited meanwhile are still being read.
const BACKLOG_TIME: Duration = Duration::from_millis(500);

/// When the process last ran, as far as it was noted.
#[derive(Debug, Default)]
pub(super) struct Standstill {
    last_noted_at: Option<Timestamp>,
    resumed_at: Option<Timestamp>,
}

impl Standstill {
    /// Notes that the process runs. Must be called at intervals well below [`TOLERATED_GAP`].
    ///
    /// Returns how long the process stood still, if it has just resumed.
    pub(super) fn note(&mut self, now: Timestamp) -> Option<Duration> {
        let previous = self.last_noted_at.replace(now);
        let gap = now.saturating_sub(previous?);
        let has_resumed = gap >= TOLERATED_GAP;
        if has_resumed {
            self.resumed_at = Some(now);
        }
        has_resumed.then_some(gap)
    }

    /// Whether a request that is read now may have waited while the process stood still.
    pub(super) fn may_have_waited(&self, now: Timestamp) -> bool {
        self.resumed_at
            .is_some_and(|resumed_at| now.saturating_sub(resumed_at) < BACKLOG_TIME)
    }
}

#[cfg(test)]
#[path = "standstill_tests.rs"]
mod tests;
