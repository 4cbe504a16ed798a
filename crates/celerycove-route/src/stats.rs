//! Load statistics of one backend server, as seen by one entry.

use std::{
    sync::atomic::{
        AtomicU32, AtomicU64,
        Ordering::{AcqRel, Relaxed},
    },
    time::Duration,
};

use celerycove_types::{Timestamp, micros};

/// Weight of a new sample in the exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// How long a backend server is ejected at first; doubles with each further failure in a row.
const BASE_EJECTION: Duration = Duration::from_millis(500);
/// Maximum number of times that the ejection time doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Number of failures in a row that eject a backend server.
const EJECTION_THRESHOLD: u32 = 2;

/// Load that a sidecar reports with a response.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Report {
    /// Cost of all queued requests, in tokens for an engine and in requests for a plain service.
    pub cost: f64,
    /// Number of requests running.
    pub running: u32,
    /// Maximum number of concurrent requests.
    pub limit: u32,
}

/// Load of one backend server as seen by one entry; shared and updated without locks.
#[derive(Debug, Default)]
pub struct Stats {
    /// Cost of the requests that this entry has in flight there, in thousandths.
    in_flight: AtomicU64,
    /// Queued cost in the last report, in thousandths.
    reported_cost: AtomicU64,
    /// Value of `in_flight` when the last report arrived, in thousandths.
    in_flight_at_report: AtomicU64,
    running: AtomicU32,
    limit: AtomicU32,
    /// When the last report arrived, in microseconds of the process's clock; zero before the first.
    reported_at: AtomicU64,
    /// Moving average of the nanoseconds that a request takes per unit of cost, as the bits of an
    /// `f64`; zero before the first sample.
    nanos_per_cost: AtomicU64,
    consecutive_failures: AtomicU32,
    /// Microseconds of the process's clock.
    ejected_until: AtomicU64,
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_thousandths(cost: f64) -> u64 {
    (cost.max(0.0) * 1000.0) as u64
}

#[allow(clippy::cast_precision_loss)]
fn from_thousandths(cost: u64) -> f64 {
    cost as f64 / 1000.0
}

impl Stats {
    /// Records that a request of the given cost was dispatched.
    pub fn record_dispatch(&self, cost: f64) {
        self.in_flight.fetch_add(to_thousandths(cost), AcqRel);
    }

    /// Records that a dispatched request of the given cost has ended.
    pub fn record_completion(&self, cost: f64) {
        let cost = to_thousandths(cost);
        let _ = self.in_flight.fetch_update(AcqRel, Relaxed, |in_flight| {
            Some(in_flight.saturating_sub(cost))
        });
    }

    /// Records how long a successful request took, without its time in the queue.
    pub fn record_service_time(&self, took: Duration, cost: f64) {
        self.consecutive_failures.store(0, Relaxed);
        let sample = took.as_secs_f64() * 1e9 / cost.max(1.0);
        let average = self.nanos_per_cost();
        let updated = average.map_or(sample, |average| {
            average + (sample - average) * SAMPLE_WEIGHT
        });
        self.nanos_per_cost.store(updated.to_bits(), Relaxed);
    }

    /// Records a failure; from the second in a row on, ejects the backend server for a while.
    pub fn record_failure(&self, now: Timestamp) {
        let failures = self.consecutive_failures.fetch_add(1, AcqRel) + 1;
        if failures >= EJECTION_THRESHOLD {
            let ejection = BASE_EJECTION
                * 2_u32.pow((failures - EJECTION_THRESHOLD).min(MAX_EJECTION_DOUBLINGS));
            self.ejected_until.store(micros(now + ejection), Relaxed);
        }
    }

    /// Records a load report.
    pub fn record_report(&self, now: Timestamp, report: Report) {
        self.reported_cost
            .store(to_thousandths(report.cost), Relaxed);
        self.in_flight_at_report
            .store(self.in_flight.load(Relaxed), Relaxed);
        self.running.store(report.running, Relaxed);
        self.limit.store(report.limit, Relaxed);
        self.reported_at.store(micros(now).max(1), Relaxed);
    }

    /// Estimates the cost that must be served before a request of the given cost can start; zero
    /// while a slot is free. Requests that this entry dispatched since the last report count in
    /// full; the report's weight decays exponentially with its age, with `decay` as time constant.
    #[must_use]
    pub fn cost_ahead(&self, now: Timestamp, decay: Duration, cost: f64, capacity: u32) -> f64 {
        let in_flight = from_thousandths(self.in_flight.load(Relaxed));
        let sent_since_report =
            (in_flight - from_thousandths(self.in_flight_at_report.load(Relaxed))).max(0.0);
        let reported_at = self.reported_at.load(Relaxed);
        if reported_at == 0 {
            return (in_flight - cost * f64::from(capacity)).max(0.0);
        }
        let age = Duration::from_micros(micros(now).saturating_sub(reported_at)).as_secs_f64();
        let confidence = (-age / decay.as_secs_f64()).exp();
        let limit = f64::from(self.limit.load(Relaxed).max(1));
        let running = f64::from(self.running.load(Relaxed));
        let free_cost = (limit - running).max(0.0) * cost;
        let queued = from_thousandths(self.reported_cost.load(Relaxed)) * confidence;
        if sent_since_report < free_cost {
            return queued;
        }
        // While all slots are busy, the request also waits for one to become free.
        let busy = if running >= limit { confidence } else { 1.0 };
        queued + (sent_since_report - free_cost) + cost * busy
    }

    /// Returns the maximum number of concurrent requests, as last reported.
    #[must_use]
    pub fn limit(&self) -> Option<u32> {
        (self.reported_at.load(Relaxed) > 0).then(|| self.limit.load(Relaxed))
    }

    /// Returns the average time that a request takes per unit of cost, in nanoseconds.
    #[must_use]
    pub fn nanos_per_cost(&self) -> Option<f64> {
        let bits = self.nanos_per_cost.load(Relaxed);
        (bits != 0).then(|| f64::from_bits(bits))
    }

    /// Returns whether the backend server is ejected after failures in a row.
    #[must_use]
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.load(Relaxed) > micros(now)
    }
}
