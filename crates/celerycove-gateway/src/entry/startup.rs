//! Requests that arrive while an entry that has just started has no configuration yet.
//!
//! After a loss of power callers come back before the control log has a leader. Each refusal costs
//! them one of their few attempts, and the configuration is expected within a moment.

use std::time::Duration;

use celerycove_types::Timestamp;
use tokio::sync::Notify;

/// How long after its start an entry expects its first configuration: an election, and the time in
/// which control instances load their logs.
const START_PERIOD: Duration = Duration::from_secs(3);
/// Longest wait of a request. A caller that gets no response by then looks for another entry.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// A request may wait for its time limit divided by this number, so that most of it is left for the
/// work.
const TIME_LIMIT_DIVISOR: u32 = 4;

/// The start of an entry, until it has a configuration.
#[derive(Debug)]
pub(super) struct Startup {
    began: Timestamp,
    is_configured: Notify,
}

impl Startup {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            began: now,
            is_configured: Notify::new(),
        }
    }

    /// Returns how long a request with this time limit may wait for the first configuration.
    pub(super) fn max_wait(&self, now: Timestamp, time_limit: Duration) -> Duration {
        let left = (self.began + START_PERIOD).saturating_sub(now);
        left.min(MAX_WAIT).min(time_limit / TIME_LIMIT_DIVISOR)
    }

    /// Lets the waiting requests go on.
    pub(super) fn set_configured(&self) {
        self.is_configured.notify_waiters();
    }

    /// Waits until `is_done` returns true, at most for the given time.
    pub(super) async fn wait(&self, max_wait: Duration, is_done: impl Fn() -> bool) {
        let configured = self.is_configured.notified();
        if !is_done() {
            // The caller checks again, also after a time-out.
            let _ = tokio::time::timeout(max_wait, configured).await;
        }
    }
}

#[cfg(test)]
#[path = "startup_tests.rs"]
mod tests;
