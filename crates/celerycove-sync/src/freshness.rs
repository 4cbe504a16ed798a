//! The lease under which a process may act on its configuration.

use std::time::Duration;

use celerycove_types::Timestamp;

/// When the local configuration was last confirmed to be the newest, and how long it may be used
/// after that.
///
/// Along a chain of relays, the ages add up, and each is measured on a single clock. Clocks
/// therefore don't need to be synchronised, but must run at nearly the same rate.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    confirmed_at: Option<Timestamp>,
    lease: Duration,
}

impl Freshness {
    /// Creates a lease that is invalid until the first confirmation.
    #[must_use]
    pub fn new(lease: Duration) -> Self {
        Self {
            confirmed_at: None,
            lease,
        }
    }

    /// Records a confirmation that was requested at `requested_at` and was `age` old when sent.
    pub fn confirm(&mut self, requested_at: Timestamp, age: Duration) {
        // Counting from the time of the request, network delay shortens the lease instead of
        // extending it.
        if let Some(confirmed_at) = requested_at.checked_sub(age) {
            self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        }
    }

    /// Returns when the configuration was last confirmed to be the newest.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// Returns the time since the configuration was last confirmed to be the newest.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.saturating_sub(confirmed_at))
    }

    /// Returns whether the lease is valid, so that new requests may start.
    #[must_use]
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < self.lease)
    }
}
