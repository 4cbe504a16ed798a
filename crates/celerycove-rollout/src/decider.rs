//! Decides, at the leader of control, how much traffic the new version gets and how a rollout ends.

use std::{collections::BTreeSet, fmt, sync::Arc, time::Duration};

use celerycove_types::{Timestamp, id};

use crate::{
    lease::{LIFETIME, Lease, Share},
    order::{Revision, Rollout},
    report::Report,
};

/// Bounds from the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Largest share of a service's requests that a bad version may receive.
    pub max_share: f64,
    /// Requests that a bad version may receive beyond that share.
    pub slack: u32,
    /// Time after its fiftieth bad answer by which a bad version gets no more requests.
    pub rollback: Duration,
}

/// What to send to the entries, and what to commit.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Lease for all connected entries.
    pub lease: Lease,
    /// Command to commit, repeated with every step until the rollout ends.
    pub command: Option<Decision>,
}

/// A command for the committed state.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Time since the order has advanced to this.
    Progress(Duration),
    /// End the rollout as completed.
    Complete,
    /// End the rollout as rolled back.
    RollBack(Reason),
}

/// Why a rollout is rolled back.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// The new version gives more bad answers than the old ones.
    Worse {
        /// The route concerned; `None` for all routes together.
        route: Option<Arc<str>>,
        /// Answers of the new version.
        answered: u64,
        /// Bad ones among them.
        bad: u64,
        /// Bad ones that the old version's rate explains.
        expected: f64,
    },
    /// The number of bad answers beyond what the old version's rate explains reached its limit.
    Excess {
        /// Bad answers of the new version.
        bad: u64,
        /// Bad ones that the old version's rate explains.
        expected: f64,
    },
    /// The deadline passed before the rollout was complete.
    Deadline {
        /// Ready backend servers of the new version.
        ready: usize,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Worse {
                route,
                answered,
                bad,
                expected,
            } => write!(
                f,
                "{bad} of {answered} answers were bad on {}, expected {expected:.1}",
                route.as_deref().unwrap_or("all routes")
            ),
            Self::Excess { bad, expected } => {
                write!(f, "{bad} bad answers in total, expected {expected:.1}")
            }
            Self::Deadline { ready } => {
                write!(f, "not complete at the deadline, {ready} new servers ready")
            }
        }
    }
}

/// State of one running rollout at the leader.
#[derive(Debug)]
pub struct Decider {
    revision: Revision,
    share: Share,
    service: Arc<str>,
}

impl Decider {
    /// Continues a rollout of `service` from its committed elapsed time.
    #[must_use]
    pub fn new(_now: Timestamp, service: Arc<str>, rollout: &Rollout, _options: Options) -> Self {
        Self {
            revision: rollout.revision,
            share: Share::ZERO,
            service,
        }
    }

    /// Merges an entry's report. Counts are cumulative for one boot of one entry, so a lost, repeated
    /// or delayed report does no harm.
    pub fn record(&mut self, _now: Timestamp, _entry: &id::Process, _report: &Report) {}

    /// Takes a step. `entries` are those connected now, `ready` counts the ready backend servers of
    /// the new version. An end, once returned, is returned by every later step.
    #[must_use]
    pub fn step(
        &mut self,
        _now: Timestamp,
        _entries: &BTreeSet<id::Process>,
        _ready: usize,
    ) -> Step {
        Step {
            lease: Lease {
                service: Arc::clone(&self.service),
                revision: self.revision,
                share: self.share,
                lasts: LIFETIME,
            },
            command: None,
        }
    }

    /// Returns the share that is granted now.
    #[must_use]
    pub fn share(&self) -> Share {
        self.share
    }

    /// Returns what the decision rests on, for log lines.
    #[must_use]
    pub fn evidence(&self) -> Evidence {
        Evidence::default()
    }
}

/// What a decision rests on.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Evidence {
    /// Requests sent to the new version, as reported.
    pub new_sent: u64,
    /// Requests sent to all versions, as reported.
    pub all_sent: u64,
    /// Answers of the new version.
    pub answered: u64,
    /// Bad answers of the new version.
    pub bad: u64,
    /// Bad answers that the old version's rate explains.
    pub expected: f64,
    /// The largest test statistic, as a fraction of its threshold.
    pub suspicion: f64,
    /// Time since the order.
    pub elapsed: Duration,
}
