//! Refusals: the error responses to callers.

use std::time::Duration;

use celerycove_program::request::Refusal as HomeRefusal;
use celerycove_wire::{Execution, header};
use hyper::{
    Response, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};
use serde_json::json;

use crate::http::{Body, response};

/// An error response: why the request was not answered, and whether it ran.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// The HTTP status.
    pub status: StatusCode,
    /// A machine-readable error code.
    pub code: &'static str,
    /// A human-readable message.
    pub message: String,
    /// Whether the request ran.
    pub run: Execution,
    /// How long the caller should wait before it retries.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            run: Execution::NotRun,
            retry_after: None,
        }
    }

    /// Creates a refusal because a field of the request is invalid.
    pub fn invalid_field(field: &str, reason: impl std::fmt::Display) -> Self {
        Self::new(
            StatusCode::BAD_REQUEST,
            "invalid_request",
            format!("{field}: {reason}"),
        )
    }

    /// Creates a refusal of a request that can't be served now but may be retried after a second.
    pub fn unavailable(code: &'static str, message: impl Into<String>) -> Self {
        let refusal = Self::new(StatusCode::SERVICE_UNAVAILABLE, code, message);
        refusal.with_retry_after(Duration::from_secs(1))
    }

    /// Creates a refusal because the configuration may be out of date.
    pub fn stale_config() -> Self {
        Self::unavailable(
            "stale",
            "this entry can't prove that its configuration is the newest",
        )
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            run: Execution::Unknown,
            ..Self::new(StatusCode::BAD_GATEWAY, code, message)
        }
    }

    /// Sets how long the caller should wait before it retries.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Returns the error type of the chat completions API for the status.
    fn error_type(&self) -> &'static str {
        match self.status.as_u16() {
            400 | 404 | 405 | 409 | 413 => "invalid_request_error",
            401 => "authentication_error",
            402 => "budget_error",
            403 => "permission_error",
            429 => "rate_limit_error",
            _ => "server_error",
        }
    }

    /// Returns the HTTP response to send.
    pub fn response(&self) -> Response<Body> {
        let body = json!({"error": {
            "type": self.error_type(),
            "code": self.code,
            "message": self.message,
        }});
        let mut response = response(self.status, "application/json", body.to_string());
        let headers = response.headers_mut();
        headers.insert(header::RUN, HeaderValue::from_static(self.run.as_str()));
        if let Some(wait) = self.retry_after {
            // Retry-After takes whole seconds only, so fractions are rounded up.
            let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
            headers.insert(RETRY_AFTER, seconds.max(1).into());
        }
        response
    }
}

impl From<HomeRefusal> for Refusal {
    fn from(refusal: HomeRefusal) -> Self {
        let message = refusal.to_string();
        let (status, code) = match refusal {
            HomeRefusal::UnknownProgram => (StatusCode::NOT_FOUND, "unknown_program"),
            HomeRefusal::Ended => (StatusCode::CONFLICT, "program_ended"),
            HomeRefusal::Taken => (StatusCode::CONFLICT, "program_taken"),
            HomeRefusal::Budget { .. } => (StatusCode::PAYMENT_REQUIRED, "budget_exceeded"),
            HomeRefusal::Deadline => (StatusCode::PAYMENT_REQUIRED, "deadline_passed"),
            HomeRefusal::Order { .. } => (StatusCode::CONFLICT, "call_out_of_order"),
            HomeRefusal::Reused(_) => (StatusCode::CONFLICT, "call_reused"),
            HomeRefusal::KeyReused => (StatusCode::CONFLICT, "idempotency_key_reused"),
            HomeRefusal::UnderWay => {
                // This retry did not run, but the call that it repeats may have.
                return Self {
                    run: Execution::Unknown,
                    ..Self::new(StatusCode::CONFLICT, "under_way", message)
                }
                .with_retry_after(Duration::from_secs(1));
            }
            HomeRefusal::Unknown => return Self::may_have_run("may_have_run", message),
        };
        Self::new(status, code, message)
    }
}
