//! Requests that the sidecar itself makes to its backend server: health probes, memory releases and
//! control orders.

use std::{
    sync::{Arc, PoisonError, atomic::Ordering::Relaxed},
    time::Duration,
};

use celerycove_queue::Event;
use celerycove_sync::announce::Kind;
use celerycove_types::id;
use celerycove_wire::method;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, Request, StatusCode, header::CONTENT_TYPE};
use serde_json::{Value, json};

use super::{PROBE_FAILURES, PROBE_INTERVAL, Sidecar, forward::empty_body, job};
use crate::http::full_body;

/// How long the backend server may take to answer a request of the sidecar.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// A failure to pass a control order to an engine.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// A newer order has already been accepted.
    #[error(transparent)]
    Fenced(#[from] celerycove_queue::fence::Error),
    /// The engine answered with an error status.
    #[error("could not carry the order out: the engine answered {0}")]
    Refused(StatusCode),
    /// The engine did not answer; it may have carried the order out.
    #[error("could not carry the order out: the engine gave no answer")]
    NoAnswer,
}

impl Sidecar {
    /// Probes the backend server for as long as the process runs.
    pub(super) async fn run_probes(self: Arc<Self>) {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let reached = match self.kind {
                Kind::Engine => self
                    .call_backend(Method::GET, "/engine/load", None)
                    .await
                    .is_ok(),
                Kind::Service => tokio::net::TcpStream::connect(self.backend_address())
                    .await
                    .is_ok(),
            };
            self.record_probe(reached);
        }
    }

    fn record_probe(&self, reached: bool) {
        if reached {
            self.failed_probes.store(0, Relaxed);
            if self.failing.swap(false, Relaxed) {
                self.step(Event::Restarted);
            }
            return;
        }
        let failed_probes = self.failed_probes.fetch_add(1, Relaxed) + 1;
        if failed_probes >= PROBE_FAILURES && !self.failing.swap(true, Relaxed) {
            log::warn!(target: "queue", backend:% = self.id; "the backend server is unreachable");
        }
    }

    /// Records the boot id, which changes each time the backend server starts, and reports a
    /// restart to the queue.
    pub(super) fn record_boot_id(&self, headers: &HeaderMap) {
        let Some(boot) = job::header_number::<u64>(headers, "x-boot-id") else {
            return;
        };
        let previous = self.boot_id.swap(boot, Relaxed);
        if previous != 0 && previous != boot {
            log::info!(target: "queue", backend:% = self.id, boot; "the backend server restarted");
            self.step(Event::Restarted);
        }
    }

    /// Asks the engine to free the memory that it keeps for a program.
    pub(super) fn release_memory(&self, program: id::Program) {
        if self.kind != Kind::Engine {
            return;
        }
        let client = self.client.clone();
        let uri = format!("http://{}/engine/release", self.backend_address());
        tokio::spawn(async move {
            let body = json!({ "program": program }).to_string();
            let request = Request::post(uri)
                .header(CONTENT_TYPE, "application/json")
                .body(full_body(body));
            if let Ok(request) = request {
                // If the request is lost, the engine evicts the memory under memory pressure.
                let _ = tokio::time::timeout(REQUEST_TIMEOUT, client.request(request)).await;
            }
        });
    }

    /// Passes a control order to the engine, unless a newer one has been accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if the order is older than one already accepted, or if the engine refuses
    /// it or does not answer.
    pub async fn send_order(&self, order: method::Order) -> Result<(), OrderError> {
        self.fence
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .admit(order.fence)?;
        let mut body = serde_json::to_value(&order.order).unwrap_or_default();
        body["fence"] = order.fence.into();
        log::info!(target: "queue", backend:% = self.id, fence = order.fence, order:? = order.order,
            engine_checks = self.setting.checks_fence; "passing an order to the engine");
        match self
            .call_backend(Method::POST, "/engine/order", Some(body))
            .await
        {
            Ok(_) => Ok(()),
            Err(Some(status)) => Err(OrderError::Refused(status)),
            Err(None) => Err(OrderError::NoAnswer),
        }
    }

    /// Sends a request to the backend server and parses the JSON answer; an answer that is not JSON
    /// gives null. The error is the status answered, or `None` if there was no answer.
    async fn call_backend(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<Value, Option<StatusCode>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.backend_address()))
            .header(CONTENT_TYPE, "application/json")
            .body(body.map_or_else(empty_body, |body| full_body(body.to_string())))
            .map_err(|_| None)?;
        let result = tokio::time::timeout(REQUEST_TIMEOUT, self.client.request(request)).await;
        let response = result.map_err(|_| None)?.map_err(|_| None)?;
        self.record_boot_id(response.headers());
        let status = response.status();
        if !status.is_success() {
            return Err(Some(status));
        }
        let bytes = response
            .into_body()
            .collect()
            .await
            .map_err(|_| None)?
            .to_bytes();
        let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        if let Some(boot) = value["boot"].as_u64() {
            let mut headers = HeaderMap::new();
            headers.insert("x-boot-id", boot.into());
            self.record_boot_id(&headers);
        }
        Ok(value)
    }
}
