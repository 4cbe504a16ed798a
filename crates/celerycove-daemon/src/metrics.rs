//! Metrics of a process, exported in the Prometheus text format.

use std::time::Duration;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// An error while metrics are set up or encoded.
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
    requests: Counter<u64>,
    refusals: Counter<u64>,
    dispatches: Counter<u64>,
    retries: Counter<u64>,
    first_byte: Histogram<f64>,
    queued: Histogram<f64>,
}

impl Metrics {
    /// Builds the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be built.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| Error::Build(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("celerycove");
        Ok(Self {
            requests: meter.u64_counter("celerycove_requests").build(),
            refusals: meter.u64_counter("celerycove_refusals").build(),
            dispatches: meter.u64_counter("celerycove_dispatches").build(),
            retries: meter.u64_counter("celerycove_retries").build(),
            first_byte: meter.f64_histogram("celerycove_first_byte_seconds").build(),
            queued: meter.f64_histogram("celerycove_queued_seconds").build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts an answered request by HTTP status.
    pub fn request(&self, status: u16) {
        let status = KeyValue::new("status", i64::from(status));
        self.requests.add(1, &[status]);
    }

    /// Counts a refusal by its code.
    pub fn refusal(&self, code: &'static str) {
        self.refusals.add(1, &[KeyValue::new("code", code)]);
    }

    /// Counts a dispatch to a backend server by whether it has run.
    pub fn dispatch(&self, run: &'static str) {
        self.dispatches.add(1, &[KeyValue::new("run", run)]);
    }

    /// Counts a failed attempt, after which the request may be retried.
    pub fn retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Records the time to the first byte of a response.
    pub fn first_byte(&self, elapsed: Duration) {
        self.first_byte.record(elapsed.as_secs_f64(), &[]);
    }

    /// Records the time that a request has spent in a sidecar's queue.
    pub fn queued(&self, elapsed: Duration) {
        self.queued.record(elapsed.as_secs_f64(), &[]);
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
