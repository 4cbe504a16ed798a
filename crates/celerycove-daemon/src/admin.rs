//! Handler of the admin listener: health, metrics and, if the settings allow it, fault injection.

use std::sync::Arc;

use celerycove_sync::Availability;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};

use crate::{
    http::{Body, Handler, response},
    process::Process,
    state::SharedState,
};

/// Serves health checks, metrics and fault injection.
pub struct Admin {
    /// The process that is reported on.
    pub process: Arc<Process>,
    /// The shared state, whose lease decides on readiness.
    pub state: Arc<SharedState>,
}

impl Admin {
    fn readiness(&self) -> Response<Body> {
        if self.process.availability() == Availability::Leaving {
            return response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "leaving");
        }
        if !self.state.is_fresh(self.process.now()) {
            return response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "stale");
        }
        response(StatusCode::OK, "text/plain", "ready")
    }

    fn metrics(&self) -> Response<Body> {
        match self.process.metrics.encode() {
            Ok(text) => response(StatusCode::OK, "text/plain; version=0.0.4", text),
            Err(error) => {
                log::warn!(target: "run", error:% = error; "could not encode metrics");
                response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "failed")
            }
        }
    }

    fn inject_fault(&self, path: &str) -> Response<Body> {
        match path.strip_prefix("/faults/") {
            Some("cut") => self.process.links.cut(None),
            Some("heal") => self.process.links.heal(),
            Some(other) => match other.strip_prefix("cut/") {
                Some(process) => self.process.links.cut(Some(&process.into())),
                None => return response(StatusCode::NOT_FOUND, "text/plain", "not found"),
            },
            None => return response(StatusCode::NOT_FOUND, "text/plain", "not found"),
        }
        response(StatusCode::OK, "text/plain", "done")
    }
}

impl Handler for Admin {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::GET, "/healthz") => response(StatusCode::OK, "text/plain", "ok"),
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::POST, path) if self.process.settings.process.fault_injection => {
                self.inject_fault(path)
            }
            _ => response(StatusCode::NOT_FOUND, "text/plain", "not found"),
        }
    }
}
