//! What the sidecar itself asks of its backend server: `EngineControl` and health.

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

use super::{PROBE, PROBES, Sidecar, forward::empty, job};
use crate::http::full;

/// How long the backend server may take for such a request.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Why an order did not reach the engine.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// A later order came before.
    #[error(transparent)]
    Fenced(#[from] celerycove_queue::fence::Error),
    /// The engine refused it.
    #[error("could not carry the order out: the engine answered {0}")]
    Refused(StatusCode),
    /// The engine gave no answer; the order may have been carried out.
    #[error("could not carry the order out: the engine gave no answer")]
    NoAnswer,
}

impl Sidecar {
    /// Asks the backend server how it is, for ever.
    pub(super) async fn probe(self: Arc<Self>) {
        loop {
            tokio::time::sleep(PROBE).await;
            let reached = match self.kind {
                Kind::Engine => self.ask(Method::GET, "/engine/load", None).await.is_ok(),
                Kind::Service => tokio::net::TcpStream::connect(self.backend()).await.is_ok(),
            };
            self.note_probe(reached);
        }
    }

    fn note_probe(&self, reached: bool) {
        if reached {
            self.missed.store(0, Relaxed);
            if self.failing.swap(false, Relaxed) {
                self.step(Event::Restarted);
            }
            return;
        }
        let missed = self.missed.fetch_add(1, Relaxed) + 1;
        if missed >= PROBES && !self.failing.swap(true, Relaxed) {
            log::warn!(target: "queue", backend:% = self.id; "the backend server can't be reached");
        }
    }

    /// Notes a mark by which the backend server tells one start from the next.
    pub(super) fn note_boot(&self, headers: &HeaderMap) {
        let Some(boot) = job::number::<u64>(headers, "x-boot-id") else {
            return;
        };
        let known = self.boot.swap(boot, Relaxed);
        if known != 0 && known != boot {
            log::info!(target: "queue", backend:% = self.id, boot; "the backend server restarted");
            self.step(Event::Restarted);
        }
    }

    /// Releases what the engine holds for a program.
    pub(super) fn evict(&self, program: id::Program) {
        if self.kind != Kind::Engine {
            return;
        }
        let client = self.client.clone();
        let uri = format!("http://{}/engine/release", self.backend());
        tokio::spawn(async move {
            let body = json!({ "program": program }).to_string();
            let request = Request::post(uri)
                .header(CONTENT_TYPE, "application/json")
                .body(full(body));
            if let Ok(request) = request {
                // An engine that misses it drops the memory under pressure.
                let _ = tokio::time::timeout(TIMEOUT, client.request(request)).await;
            }
        });
    }

    /// Passes an order on, unless a later one came before.
    ///
    /// # Errors
    ///
    /// Returns an error if the order is too old, refused or not answered.
    pub async fn order(&self, order: method::Order) -> Result<(), OrderError> {
        self.fence
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .admit(order.fence)?;
        let mut body = serde_json::to_value(&order.order).unwrap_or_default();
        body["fence"] = order.fence.into();
        log::info!(target: "queue", backend:% = self.id, fence = order.fence, order:? = order.order,
            engine_checks = self.setting.checks_fence; "passes an order on");
        match self.ask(Method::POST, "/engine/order", Some(body)).await {
            Ok(_) => Ok(()),
            Err(Some(status)) => Err(OrderError::Refused(status)),
            Err(None) => Err(OrderError::NoAnswer),
        }
    }

    async fn ask(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> Result<Value, Option<StatusCode>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.backend()))
            .header(CONTENT_TYPE, "application/json")
            .body(body.map_or_else(empty, |body| full(body.to_string())))
            .map_err(|_| None)?;
        let answered = tokio::time::timeout(TIMEOUT, self.client.request(request)).await;
        let response = answered.map_err(|_| None)?.map_err(|_| None)?;
        self.note_boot(response.headers());
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
            self.note_boot(&headers);
        }
        Ok(value)
    }
}
