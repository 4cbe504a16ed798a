//! Refusals as callers see them.

use std::time::Duration;

use celerycove_program::request::Refusal as HomeRefusal;
use celerycove_wire::{Run, header};
use hyper::{
    Response, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};
use serde_json::json;

use crate::http::{Body, answer};

/// Why a request has no answer, and whether it ran.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// The HTTP status.
    pub status: StatusCode,
    /// A short name for programs.
    pub code: &'static str,
    /// A sentence for people.
    pub message: String,
    /// Whether the request ran.
    pub run: Run,
    /// When to try again.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of something that did not run.
    pub fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            run: Run::NotRun,
            retry_after: None,
        }
    }

    /// A fault in a field of the request.
    pub fn field(field: &str, reason: impl std::fmt::Display) -> Self {
        Self::new(
            StatusCode::BAD_REQUEST,
            "invalid_request",
            format!("{field}: {reason}"),
        )
    }

    /// Something that can't be served now.
    pub fn unavailable(code: &'static str, message: impl Into<String>) -> Self {
        let refusal = Self::new(StatusCode::SERVICE_UNAVAILABLE, code, message);
        refusal.after(Duration::from_secs(1))
    }

    /// The configuration may not be the newest.
    pub fn stale() -> Self {
        Self::unavailable(
            "stale",
            "this entry can't prove that its configuration is the newest",
        )
    }

    /// Something that may have run.
    pub fn unknown(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            run: Run::Unknown,
            ..Self::new(StatusCode::BAD_GATEWAY, code, message)
        }
    }

    /// Says when to try again.
    pub fn after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    fn kind(&self) -> &'static str {
        match self.status.as_u16() {
            400 | 404 | 405 | 409 | 413 => "invalid_request_error",
            401 => "authentication_error",
            402 => "budget_error",
            403 => "permission_error",
            429 => "rate_limit_error",
            _ => "server_error",
        }
    }

    /// The answer to send.
    pub fn response(&self) -> Response<Body> {
        let body = json!({"error": {
            "type": self.kind(),
            "code": self.code,
            "message": self.message,
        }});
        let mut response = answer(self.status, "application/json", body.to_string());
        let headers = response.headers_mut();
        headers.insert(header::RUN, HeaderValue::from_static(self.run.as_str()));
        if let Some(wait) = self.retry_after {
            // Whole seconds, rounded up: the header knows no fractions.
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
                // This resend did not run, but the call that it repeats may.
                return Self {
                    run: Run::Unknown,
                    ..Self::new(StatusCode::CONFLICT, "under_way", message)
                }
                .after(Duration::from_secs(1));
            }
            HomeRefusal::Unknown => return Self::unknown("may_have_run", message),
        };
        Self::new(status, code, message)
    }
}
