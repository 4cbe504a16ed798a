//! What an entry reports about a running rollout.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{lease::Share, order::Revision};

/// Interval at which entries report, and at which the decider takes a step.
pub const INTERVAL: std::time::Duration = std::time::Duration::from_millis(200);

/// Counts of one entry since it started, for one rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The service that is rolled out.
    pub service: Arc<str>,
    /// Revision of the rollout.
    pub revision: Revision,
    /// Distinguishes restarts of the entry; the counts start at zero with each.
    pub boot: u64,
    /// Share of the lease that is valid now; zero without one.
    pub share_in_force: Share,
    /// Requests that the old versions are serving for this entry.
    pub old_in_flight: u32,
    /// Counts by route.
    pub routes: Vec<RouteTally>,
}

/// Counts of one route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// Name of the route.
    pub route: Arc<str>,
    /// Counts of the old versions.
    pub old: Tally,
    /// Counts of the new version.
    pub new: Tally,
}

/// Cumulative counts of requests to one side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Answers received, good and bad; abandoned requests are not included.
    pub answered: u64,
    /// Answers that were failures.
    pub failed: u64,
    /// Answers that were not failures but slow.
    pub slow: u64,
}

impl Tally {
    /// Returns the number of failed and slow answers.
    #[must_use]
    pub fn bad(&self) -> u64 {
        self.failed.saturating_add(self.slow)
    }

    /// Returns the larger of each count, so that a delayed report does not undo a newer one.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            sent: self.sent.max(other.sent),
            answered: self.answered.max(other.answered),
            failed: self.failed.max(other.failed),
            slow: self.slow.max(other.slow),
        }
    }

    /// Returns how much each count has grown since `earlier`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            sent: self.sent.saturating_sub(earlier.sent),
            answered: self.answered.saturating_sub(earlier.answered),
            failed: self.failed.saturating_sub(earlier.failed),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: Self) {
        self.sent = self.sent.saturating_add(other.sent);
        self.answered = self.answered.saturating_add(other.answered);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
    }
}
