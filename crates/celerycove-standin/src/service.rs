//! A stand-in for a plain service: it counts executions per idempotency key.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::json;

use crate::http::{self, Answer, Body, read_json};

/// A stand-in service.
#[derive(Debug)]
pub struct Service {
    delay: Duration,
    executions: Mutex<BTreeMap<String, u32>>,
}

impl Service {
    /// Creates a service that takes `delay` for each call.
    #[must_use]
    pub fn new(delay: Duration) -> Arc<Self> {
        Arc::new(Self {
            delay,
            executions: Mutex::new(BTreeMap::new()),
        })
    }

    /// Serves on an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<SocketAddr> {
        http::serve(self.clone(), address).await
    }

    /// Executions by idempotency key, or by request body where there is none.
    #[must_use]
    pub fn executions(&self) -> BTreeMap<String, u32> {
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl Answer for Service {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        if request.method() == Method::GET && request.uri().path() == "/executions" {
            return http::json(StatusCode::OK, &json!(self.executions()));
        }
        let path = request.uri().path().to_owned();
        let key = request
            .headers()
            .get("idempotency-key")
            .and_then(|key| key.to_str().ok())
            .map(ToOwned::to_owned);
        let body = read_json(request).await.unwrap_or_default();
        let name = key.unwrap_or_else(|| body.to_string());
        let count = {
            let mut executions = self
                .executions
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let count = executions.entry(name).or_default();
            *count += 1;
            *count
        };
        tokio::time::sleep(self.delay).await;
        http::json(
            StatusCode::OK,
            &json!({"path": path, "executions": count, "echo": body}),
        )
    }
}
