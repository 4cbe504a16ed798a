//! The listener for health, metrics and, where settings allow it, faults for tests.

use std::sync::Arc;

use celerycove_sync::Life;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};

use crate::{
    http::{Body, Handler, answer},
    process::Process,
    share::Share,
};

/// What the platform and tests may ask.
pub struct Admin {
    /// The process.
    pub process: Arc<Process>,
    /// What it shares.
    pub share: Arc<Share>,
}

impl Admin {
    fn ready(&self) -> Response<Body> {
        if self.process.life() == Life::Leaving {
            return answer(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "leaving");
        }
        if !self.share.is_fresh(self.process.now()) {
            return answer(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "stale");
        }
        answer(StatusCode::OK, "text/plain", "ready")
    }

    fn metrics(&self) -> Response<Body> {
        match self.process.metrics.text() {
            Ok(text) => answer(StatusCode::OK, "text/plain; version=0.0.4", text),
            Err(error) => {
                log::warn!(target: "run", error:% = error; "could not write metrics");
                answer(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "failed")
            }
        }
    }

    fn fault(&self, path: &str) -> Response<Body> {
        match path.strip_prefix("/faults/") {
            Some("cut") => self.process.links.cut(None),
            Some("heal") => self.process.links.heal(),
            Some(other) => match other.strip_prefix("cut/") {
                Some(process) => self.process.links.cut(Some(&process.into())),
                None => return answer(StatusCode::NOT_FOUND, "text/plain", "not found"),
            },
            None => return answer(StatusCode::NOT_FOUND, "text/plain", "not found"),
        }
        answer(StatusCode::OK, "text/plain", "done")
    }
}

impl Handler for Admin {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::GET, "/healthz") => answer(StatusCode::OK, "text/plain", "ok"),
            (&Method::GET, "/readyz") => self.ready(),
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::POST, path) if self.process.settings.process.faults => self.fault(path),
            _ => answer(StatusCode::NOT_FOUND, "text/plain", "not found"),
        }
    }
}
