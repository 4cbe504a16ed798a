//! What a process counts, in the Prometheus text format.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{Request, Response, StatusCode, body::Incoming};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use tokio::sync::watch;

use crate::http::{self, Body};

/// Why metrics could not begin or be written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exporter can't be built.
    #[error("could not build the metrics exporter: {0}")]
    Build(String),
    /// The text can't be encoded.
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
    first: Histogram<f64>,
    whole: Histogram<f64>,
    turns: Histogram<f64>,
    dropped: Gauge<u64>,
    logs: std::sync::OnceLock<Arc<celerycove_log::Output>>,
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
            first: meter.f64_histogram("celerycove_first_byte_seconds").build(),
            whole: meter.f64_histogram("celerycove_answer_seconds").build(),
            turns: meter.f64_histogram("celerycove_turn_state_seconds").build(),
            dropped: meter.u64_gauge("celerycove_log_lines_dropped").build(),
            registry,
            _provider: provider,
            logs: std::sync::OnceLock::new(),
        }))
    }

    /// Names the log output whose dropped lines are told.
    pub fn watch_logs(&self, output: Arc<celerycove_log::Output>) {
        // A process has one log output; a second call changes nothing.
        let _ = self.logs.set(output);
    }

    /// Counts an answer by route and status.
    pub fn answer(&self, route: &str, status: u16, took: Duration) {
        let labels = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.answers.add(1, &labels);
        self.whole.record(took.as_secs_f64(), &[]);
    }

    /// Counts an attempt at a backend server by how it ended.
    pub fn attempt(&self, ending: &'static str) {
        self.attempts.add(1, &[KeyValue::new("ending", ending)]);
    }

    /// Notes the time to the first byte of an answer.
    pub fn first_byte(&self, took: Duration) {
        self.first.record(took.as_secs_f64(), &[]);
    }

    /// Notes how long the stores took to begin or end a turn.
    pub fn turn(&self, step: &'static str, took: Duration) {
        self.turns
            .record(took.as_secs_f64(), &[KeyValue::new("step", step)]);
    }

    fn text(&self) -> Result<Vec<u8>, Error> {
        if let Some(output) = self.logs.get() {
            self.dropped.record(output.counts().1, &[]);
        }
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    /// Serves the metrics on an address, whatever the path.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> Result<(), crate::Error> {
        let listener = http::bind(address)?;
        let (keep, stop) = watch::channel(false);
        let service = self.clone();
        tokio::spawn(async move {
            http::serve(listener, service, stop).await;
            drop(keep);
        });
        Ok(())
    }
}

impl http::Service for Metrics {
    async fn answer(self: Arc<Self>, _request: Request<Incoming>) -> Response<Body> {
        match self.text() {
            Ok(text) => {
                let text = String::from_utf8_lossy(&text).into_owned();
                http::text(StatusCode::OK, text)
            }
            Err(error) => {
                log::error!(target: "run", error:% = error; "could not write the metrics");
                http::text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
            }
        }
    }
}
