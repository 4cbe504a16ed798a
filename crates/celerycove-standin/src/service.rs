//! A stand-in for a plain service that counts executions per idempotency key.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::json;

use crate::http::{self, Body, Handler, read_json};

/// A stand-in service.
#[derive(Debug)]
pub struct Service {
    delay: Duration,
    executions: Mutex<BTreeMap<String, u32>>,
}

impl Service {
    /// Creates a service that responds to each call after `delay`.
    #[must_use]
    pub fn new(delay: Duration) -> Arc<Self> {
        Arc::new(Self {
            delay,
            executions: Mutex::new(BTreeMap::new()),
        })
    }

    /// Starts serving on an address and returns the address that it is bound to.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<SocketAddr> {
        http::serve(self.clone(), address).await
    }

    /// Returns the number of executions by idempotency key, or by request body for requests without
    /// a key.
    #[must_use]
    pub fn executions(&self) -> BTreeMap<String, u32> {
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl Handler for Service {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
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
        let execution_key = key.unwrap_or_else(|| body.to_string());
        let count = {
            let mut executions = self
                .executions
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let count = executions.entry(execution_key).or_default();
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
