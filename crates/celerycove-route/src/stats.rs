//! What an entry knows of the load of one backend server.

use std::{
    sync::atomic::{
        AtomicU32, AtomicU64,
        Ordering::{AcqRel, Relaxed},
    },
    time::Duration,
};

use celerycove_types::{Timestamp, micros};

/// The weight of a new sample in an average.
const SMOOTHING: f64 = 0.1;
/// How long a backend server is avoided after failures in a row; doubles with each.
const EJECTION: Duration = Duration::from_millis(500);
/// How often the ejection doubles at most.
const DOUBLINGS: u32 = 5;
/// How many failures in a row eject a backend server.
const FAILURES: u32 = 2;

/// The load that a sidecar reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Report {
    /// Cost of all that waits there, in tokens or requests.
    pub cost: f64,
    /// Requests that run there.
    pub running: u32,
    /// Requests that may run at once.
    pub limit: u32,
}

/// The load of one backend server as one entry knows it; shared and updated without locks.
#[derive(Debug, Default)]
pub struct Stats {
    /// Cost dispatched from here and not answered yet, in thousandths.
    own: AtomicU64,
    /// Cost in the last report, in thousandths.
    reported: AtomicU64,
    /// Of the reported cost, what was dispatched from here, in thousandths.
    reported_own: AtomicU64,
    running: AtomicU32,
    limit: AtomicU32,
    /// Microseconds of the process's clock; zero is never.
    reported_at: AtomicU64,
    /// Nanoseconds that one unit of cost takes one request.
    unit: AtomicU64,
    failures: AtomicU32,
    ejected_until: AtomicU64,
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn milli(cost: f64) -> u64 {
    (cost.max(0.0) * 1000.0) as u64
}

#[allow(clippy::cast_precision_loss)]
fn from_milli(cost: u64) -> f64 {
    cost as f64 / 1000.0
}

impl Stats {
    /// Notes a dispatch.
    pub fn begin(&self, cost: f64) {
        self.own.fetch_add(milli(cost), AcqRel);
    }

    /// Notes that a dispatch of the given cost ended.
    pub fn end(&self, cost: f64) {
        let cost = milli(cost);
        let _ = self
            .own
            .fetch_update(AcqRel, Relaxed, |own| Some(own.saturating_sub(cost)));
    }

    /// Notes how long an answer took, without its wait in the queue.
    pub fn served(&self, took: Duration, cost: f64) {
        self.failures.store(0, Relaxed);
        let sample = took.as_secs_f64() * 1e9 / cost.max(1.0);
        let known = self.unit_nanos();
        let next = known.map_or(sample, |known| known + (sample - known) * SMOOTHING);
        self.unit.store(next.to_bits(), Relaxed);
    }

    /// Notes a failure; the second in a row ejects the backend server for a while.
    pub fn failed(&self, now: Timestamp) {
        let failures = self.failures.fetch_add(1, AcqRel) + 1;
        if failures >= FAILURES {
            let doubled = EJECTION * 2_u32.pow((failures - FAILURES).min(DOUBLINGS));
            self.ejected_until.store(micros(now + doubled), Relaxed);
        }
    }

    /// Notes a report.
    pub fn report(&self, now: Timestamp, report: Report) {
        self.reported.store(milli(report.cost), Relaxed);
        self.reported_own.store(self.own.load(Relaxed), Relaxed);
        self.running.store(report.running, Relaxed);
        self.limit.store(report.limit, Relaxed);
        self.reported_at.store(micros(now).max(1), Relaxed);
    }

    /// The cost that is ahead of a request of a given cost before it may start; zero while a slot
    /// is free. What was dispatched from here since the report counts in full, the report itself
    /// less and less.
    #[must_use]
    pub fn ahead(&self, now: Timestamp, trust: Duration, cost: f64, capacity: u32) -> f64 {
        let own = from_milli(self.own.load(Relaxed));
        let since = (own - from_milli(self.reported_own.load(Relaxed))).max(0.0);
        let known = self.reported_at.load(Relaxed);
        if known == 0 {
            return (own - cost * f64::from(capacity)).max(0.0);
        }
        let age = Duration::from_micros(micros(now).saturating_sub(known)).as_secs_f64();
        let confidence = (-age / trust.as_secs_f64()).exp();
        let limit = f64::from(self.limit.load(Relaxed).max(1));
        let running = f64::from(self.running.load(Relaxed));
        let free = (limit - running).max(0.0) * cost;
        let waiting = from_milli(self.reported.load(Relaxed)) * confidence;
        if since < free {
            return waiting;
        }
        // Where all slots are busy, one of them has to become free first.
        let busy = if running >= limit { confidence } else { 1.0 };
        waiting + (since - free) + cost * busy
    }

    /// Requests that may run at once, as last reported.
    #[must_use]
    pub fn limit(&self) -> Option<u32> {
        (self.reported_at.load(Relaxed) > 0).then(|| self.limit.load(Relaxed))
    }

    /// How long one unit of cost takes one request.
    #[must_use]
    pub fn unit_nanos(&self) -> Option<f64> {
        let bits = self.unit.load(Relaxed);
        (bits != 0).then(|| f64::from_bits(bits))
    }

    /// Whether failures in a row speak against it now.
    #[must_use]
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.load(Relaxed) > micros(now)
    }
}
