//! The lease under which a process may act on its configuration.

use std::time::Duration;

use celerycove_types::Timestamp;

/// When the configuration held was surely the newest, and for how long that may be trusted.
///
/// Ages add up along a chain of relays, each measured on one clock only, so that no two clocks
/// need to agree; they must only run at nearly the same rate.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    confirmed: Option<Timestamp>,
    lease: Duration,
}

impl Freshness {
    /// Creates a lease that has yet to be confirmed.
    #[must_use]
    pub fn new(lease: Duration) -> Self {
        Self {
            confirmed: None,
            lease,
        }
    }

    /// Takes a statement in: it was asked for at `asked` and was `age` old when it was made.
    pub fn confirm(&mut self, asked: Timestamp, age: Duration) {
        // Counted from before the question, the time on the way makes the lease shorter, not longer.
        if let Some(confirmed) = asked.checked_sub(age) {
            self.confirmed = self.confirmed.max(Some(confirmed));
        }
    }

    /// When the configuration was surely the newest.
    #[must_use]
    pub fn confirmed(&self) -> Option<Timestamp> {
        self.confirmed
    }

    /// How long ago the configuration was surely the newest.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed
            .map(|confirmed| now.saturating_sub(confirmed))
    }

    /// Whether new work may start.
    #[must_use]
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < self.lease)
    }
}
