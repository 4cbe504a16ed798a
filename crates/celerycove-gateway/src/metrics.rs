//! Metrics of a process, exported in the Prometheus text format.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::Duration,
};

use hyper::{Request, Response, StatusCode, body::Incoming};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use tokio::sync::watch;

use crate::{
    http::{self, Body},
    memory::{self, Account, Part},
};

/// Why the metrics could not be set up or exported.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exporter can't be built.
    #[error("could not build the metrics exporter: {0}")]
    Build(String),
    /// The metrics can't be encoded.
    #[error("could not encode metrics")]
    Encode(#[from] prometheus::Error),
}

/// Counters and histograms of one process.
pub struct Metrics {
    registry: Registry,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    attempts: Counter<u64>,
    first_byte_seconds: Histogram<f64>,
    answer_seconds: Histogram<f64>,
    turn_state_seconds: Histogram<f64>,
    backend_crashes: Counter<u64>,
    quarantined_requests: Gauge<u64>,
    quarantine_refusals: Counter<u64>,
    rollout_requests: Counter<u64>,
    rollout_bad: Counter<u64>,
    rollout_share: Gauge<f64>,
    admission_waiting: Gauge<u64>,
    admission_refusals: Counter<u64>,
    admission_wait_seconds: Histogram<f64>,
    hedges: Counter<u64>,
    hedge_work: Counter<u64>,
    log_lines_dropped: Gauge<u64>,
    log_output: std::sync::OnceLock<Arc<celerycove_log::Counters>>,
    memory_bytes: Gauge<u64>,
    memory_limit_bytes: Gauge<u64>,
    resident_bytes: Gauge<u64>,
    account: std::sync::OnceLock<Arc<Account>>,
    /// Whether it was logged that the resident memory is unknown.
    resident_unknown: AtomicBool,
}

impl Metrics {
    /// Builds the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be built.
    pub fn new() -> Result<Arc<Self>, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| Error::Build(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("celerycove");
        Ok(Arc::new(Self {
            answers: meter.u64_counter("celerycove_answers").build(),
            attempts: meter.u64_counter("celerycove_attempts").build(),
            first_byte_seconds: meter.f64_histogram("celerycove_first_byte_seconds").build(),
            answer_seconds: meter.f64_histogram("celerycove_answer_seconds").build(),
            turn_state_seconds: meter.f64_histogram("celerycove_turn_state_seconds").build(),
            backend_crashes: meter.u64_counter("celerycove_backend_crashes").build(),
            quarantined_requests: meter.u64_gauge("celerycove_quarantined_requests").build(),
            quarantine_refusals: meter.u64_counter("celerycove_quarantine_refusals").build(),
            rollout_requests: meter.u64_counter("celerycove_rollout_requests").build(),
            rollout_bad: meter.u64_counter("celerycove_rollout_bad").build(),
            rollout_share: meter.f64_gauge("celerycove_rollout_share").build(),
            admission_waiting: meter.u64_gauge("celerycove_admission_waiting").build(),
            admission_refusals: meter.u64_counter("celerycove_admission_refused").build(),
            admission_wait_seconds: meter
                .f64_histogram("celerycove_admission_wait_seconds")
                .build(),
            hedges: meter.u64_counter("celerycove_hedges").build(),
            hedge_work: meter.u64_counter("celerycove_hedge_work").build(),
            log_lines_dropped: meter.u64_gauge("celerycove_log_lines_dropped").build(),
            memory_bytes: meter.u64_gauge("celerycove_memory_bytes").build(),
            memory_limit_bytes: meter.u64_gauge("celerycove_memory_limit_bytes").build(),
            resident_bytes: meter.u64_gauge("celerycove_resident_bytes").build(),
            account: std::sync::OnceLock::new(),
            resident_unknown: AtomicBool::new(false),
            registry,
            _provider: provider,
            log_output: std::sync::OnceLock::new(),
        }))
    }

    /// Sets the log output whose dropped lines are exported.
    pub fn set_log_output(&self, output: Arc<celerycove_log::Counters>) {
        // A process has one log output, so only the first call counts.
        let _ = self.log_output.set(output);
    }

    /// Sets the account whose parts are exported.
    pub fn set_account(&self, account: Arc<Account>) {
        // A process has one account, so only the first call counts.
        let _ = self.account.set(account);
    }

    /// Records what the parts of the process hold and may hold, and its resident memory.
    fn record_memory(&self) {
        let Some(account) = self.account.get() else {
            return;
        };
        let number = |bytes| u64::try_from(bytes).unwrap_or(u64::MAX);
        for part in Part::ALL {
            let limit = account.limit(part);
            if limit > 0 {
                let label = [KeyValue::new("part", part.name())];
                self.memory_bytes.record(number(account.used(part)), &label);
                self.memory_limit_bytes.record(number(limit), &label);
            }
        }
        let total = [KeyValue::new("part", "total")];
        self.memory_limit_bytes
            .record(number(account.budget().total()), &total);
        match memory::resident_bytes() {
            Some(bytes) => self.resident_bytes.record(bytes, &[]),
            None if self.resident_unknown.swap(true, Relaxed) => {}
            None => log::warn!(target: "run", "the system doesn't tell the resident memory"),
        }
    }

    /// Counts a response by route and status, and records how long the request took.
    pub fn record_response(&self, route: &str, status: u16, elapsed: Duration) {
        let labels = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.answers.add(1, &labels);
        self.answer_seconds.record(elapsed.as_secs_f64(), &[]);
    }

    /// Counts an attempt at a backend server by its result.
    pub fn record_attempt(&self, ending: &'static str) {
        self.attempts.add(1, &[KeyValue::new("ending", ending)]);
    }

    /// Records the time to the first byte of a response.
    pub fn record_first_byte(&self, elapsed: Duration) {
        self.first_byte_seconds.record(elapsed.as_secs_f64(), &[]);
    }

    /// Records how long the stores took to begin or end a turn.
    pub fn record_turn_step(&self, step: &'static str, elapsed: Duration) {
        self.turn_state_seconds
            .record(elapsed.as_secs_f64(), &[KeyValue::new("step", step)]);
    }

    /// Counts a crash of a backend server that this process confirmed.
    pub fn record_crash(&self) {
        self.backend_crashes.add(1, &[]);
    }

    /// Records how many requests are quarantined now.
    pub fn record_quarantined(&self, count: usize) {
        self.quarantined_requests
            .record(u64::try_from(count).unwrap_or(u64::MAX), &[]);
    }

    /// Counts a request that was refused because it is quarantined.
    pub fn record_quarantine_refusal(&self) {
        self.quarantine_refusals.add(1, &[]);
    }

    /// Counts requests that were sent to the old or the new versions during a rollout, and bad answers
    /// to them.
    pub fn record_rollout(&self, service: &str, side: &'static str, requests: u64, bad: u64) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("side", side),
        ];
        self.rollout_requests.add(requests, &labels);
        self.rollout_bad.add(bad, &labels);
    }

    /// Records the share of a service's requests that may go to the new version.
    pub fn record_rollout_share(&self, service: &str, share: f64) {
        let label = [KeyValue::new("service", service.to_owned())];
        self.rollout_share.record(share, &label);
    }

    /// Records how many first turns wait at the admission gates now.
    pub fn record_admission_waiting(&self, count: usize) {
        self.admission_waiting
            .record(u64::try_from(count).unwrap_or(u64::MAX), &[]);
    }

    /// Counts a first turn that an admission gate refused.
    pub fn record_admission_refusal(&self, reason: &'static str) {
        self.admission_refusals
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records how long a first turn waited before it started.
    pub fn record_admission_wait(&self, waited: Duration) {
        self.admission_wait_seconds
            .record(waited.as_secs_f64(), &[]);
    }

    /// Counts an extra attempt that ended, or that was due and withheld, by what came of it.
    pub fn record_hedge(&self, outcome: &'static str) {
        self.hedges.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts the work of an extra attempt: tokens of a prompt, or microseconds of a call.
    pub fn record_hedge_work(&self, is_prompt: bool, work: u64) {
        let unit = if is_prompt { "tokens" } else { "microseconds" };
        self.hedge_work.add(work, &[KeyValue::new("unit", unit)]);
    }

    fn encode(&self) -> Result<Vec<u8>, Error> {
        if let Some(output) = self.log_output.get() {
            self.log_lines_dropped.record(output.counts().1, &[]);
        }
        self.record_memory();
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    /// Serves the metrics on an address, under any path.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> Result<(), crate::Error> {
        let listener = http::bind(address)?;
        let (stop_sender, stop) = watch::channel(false);
        let service = self.clone();
        tokio::spawn(async move {
            http::serve(listener, service, stop).await;
            drop(stop_sender);
        });
        Ok(())
    }
}

impl http::Service for Metrics {
    async fn handle(self: Arc<Self>, _request: Request<Incoming>) -> Response<Body> {
        match self.encode() {
            Ok(text) => {
                let text = String::from_utf8_lossy(&text).into_owned();
                http::text_response(StatusCode::OK, text)
            }
            Err(error) => {
                log::error!(target: "run", error:% = error; "could not encode the metrics");
                http::text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
            }
        }
    }
}

#[cfg(test)]
#[path = "metrics_tests.rs"]
mod tests;
