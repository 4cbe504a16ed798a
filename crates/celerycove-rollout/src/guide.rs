//! Assigns an entry's requests to the old or the new version and classifies their answers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use celerycove_types::Timestamp;

use crate::{
    lease::{LIFETIME, Lease, Share},
    order::{Revision, Rollout},
    report::{Report, RouteTally, Tally},
    statistics::Baseline,
};

/// Slow answers take at least this multiple of the old version's median time to the first byte.
const SLOW_FACTOR: f64 = 2.5;
/// Routes counted separately; the counts of any others are combined under [`OTHER_ROUTES`].
const MAX_ROUTES: usize = 128;
/// Name under which the routes beyond `MAX_ROUTES` are counted.
const OTHER_ROUTES: &str = "*";

/// The versions that a request may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Side {
    /// The old versions.
    Old,
    /// The new version.
    New,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The response was correct.
    Good {
        /// Time from sending the request to the first byte of the response.
        first_byte: Duration,
        /// Latency up to which a response is never slow: the target latency for streams, half of it
        /// for calls.
        floor: Duration,
        /// Whether the server has been running for at least 3 s and was not cold; other answers are
        /// never slow.
        is_warm: bool,
    },
    /// The response was a 5xx from the server, broken or wrong, or the connection failed.
    Failed,
    /// The request was cancelled before an answer came; it is not judged.
    Abandoned,
}

#[derive(Debug, Default)]
struct Route {
    old: Tally,
    new: Tally,
    baseline: Baseline,
}

/// The part of one running rollout at an entry.
#[derive(Debug)]
pub struct Guide {
    service: Arc<str>,
    revision: Revision,
    boot: u64,
    share: Share,
    expires_at: Timestamp,
    old_in_flight: u32,
    routes: BTreeMap<Arc<str>, Route>,
}

impl Guide {
    /// Creates a guide without a lease: all requests go to the old versions.
    #[must_use]
    pub fn new(service: Arc<str>, rollout: &Rollout, boot: u64) -> Self {
        Self {
            service,
            revision: rollout.revision,
            boot,
            share: Share::ZERO,
            expires_at: Timestamp::ZERO,
            old_in_flight: 0,
            routes: BTreeMap::new(),
        }
    }

    /// Counts requests to the old versions that were sent before the guide was created. Their
    /// answers must be recorded like those of later ones.
    pub fn record_earlier(&mut self, in_flight: u32) {
        self.old_in_flight = self.old_in_flight.saturating_add(in_flight);
    }

    /// Replaces the lease. A lease of another service or revision is ignored, and none is valid for
    /// longer than [`LIFETIME`].
    pub fn accept(&mut self, now: Timestamp, lease: &Lease) {
        if lease.service == self.service && lease.revision == self.revision {
            self.share = lease.share;
            self.expires_at = now + lease.lasts.min(LIFETIME);
        }
    }

    /// Returns the share of the lease, or zero if it has expired.
    #[must_use]
    pub fn share(&self, now: Timestamp) -> Share {
        if now < self.expires_at {
            self.share
        } else {
            Share::ZERO
        }
    }

    /// Returns which versions a request may go to. `affinity` is the hash of its program; it must be
    /// the same at all entries, so that a program stays on one side.
    #[must_use]
    pub fn side(&self, now: Timestamp, affinity: u64) -> Side {
        if self.share(now).contains(affinity) {
            Side::New
        } else {
            Side::Old
        }
    }

    /// Counts a request that is being sent; `side` is the one of the server that was selected.
    pub fn record_sent(&mut self, route: &Arc<str>, side: Side) {
        let counts = self.route(route);
        match side {
            Side::Old => counts.old.sent += 1,
            Side::New => counts.new.sent += 1,
        }
        if side == Side::Old {
            self.old_in_flight = self.old_in_flight.saturating_add(1);
        }
    }

    /// Counts the end of a request that was recorded as sent. It is called once for each.
    pub fn record_answer(&mut self, now: Timestamp, route: &Arc<str>, side: Side, answer: Answer) {
        if side == Side::Old {
            self.old_in_flight = self.old_in_flight.saturating_sub(1);
        }
        let route = self.route(route);
        let (failed, slow) = match answer {
            Answer::Abandoned => return,
            Answer::Failed => (1, 0),
            Answer::Good {
                first_byte,
                floor,
                is_warm,
            } => {
                let is_slow = is_warm
                    && first_byte > floor
                    && route
                        .baseline
                        .median(now)
                        .is_some_and(|median| first_byte > median.mul_f64(SLOW_FACTOR));
                if side == Side::Old && is_warm {
                    route.baseline.record(now, first_byte);
                }
                (0, u64::from(is_slow))
            }
        };
        let tally = match side {
            Side::Old => &mut route.old,
            Side::New => &mut route.new,
        };
        tally.add(Tally {
            sent: 0,
            answered: 1,
            failed,
            slow,
        });
    }

    /// Returns the counts so far and the share that is in force.
    #[must_use]
    pub fn report(&self, now: Timestamp) -> Report {
        Report {
            service: Arc::clone(&self.service),
            revision: self.revision,
            boot: self.boot,
            share_in_force: self.share(now),
            old_in_flight: self.old_in_flight,
            routes: self
                .routes
                .iter()
                .map(|(name, route)| RouteTally {
                    route: Arc::clone(name),
                    old: route.old,
                    new: route.new,
                })
                .collect(),
        }
    }

    fn route(&mut self, name: &Arc<str>) -> &mut Route {
        let name = if self.routes.contains_key(name) || self.routes.len() < MAX_ROUTES {
            Arc::clone(name)
        } else {
            Arc::from(OTHER_ROUTES)
        };
        self.routes.entry(name).or_default()
    }
}
