//! HTTP headers between callers, entries (the proxies that accept requests) and sidecars.

use std::{fmt, str::FromStr};

/// The program that the call belongs to.
pub const PROGRAM: &str = "celerycove-program";
/// The call's number in its chain, from 1.
pub const CALL: &str = "celerycove-call";
/// The agent whose chain the call belongs to.
pub const AGENT: &str = "celerycove-agent";
/// Identifies a call of a plain service, so that a resend does not run it again.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Whether the request ran, as an [`Execution`].
pub const RUN: &str = "celerycove-run";
/// The request id, as it appears in the logs.
pub const REQUEST: &str = "celerycove-request";
/// The backend server that made the response.
pub const BACKEND: &str = "celerycove-backend";

/// The secret shared by all processes of a deployment.
pub const CLUSTER_SECRET: &str = "celerycove-cluster";
/// The process that sends the request.
pub const SENDER: &str = "celerycove-from";
/// An operator's credential.
pub const OPERATOR_CREDENTIAL: &str = "celerycove-operator";

/// Identifies one dispatch attempt of a request.
pub const DISPATCH: &str = "celerycove-dispatch";
/// The organisation that the request is accounted to; `-` for none.
pub const ORGANISATION: &str = "celerycove-organisation";
/// The organisation's scheduling weight.
pub const WEIGHT: &str = "celerycove-weight";
/// Attained service: tokens that earlier calls of the program have used.
pub const ATTAINED_TOKENS: &str = "celerycove-attained";
/// The expected cost of the request.
pub const COST: &str = "celerycove-cost";
/// Time in milliseconds within which the request must start.
pub const DEADLINE_MS: &str = "celerycove-deadline-ms";
/// Whether the request must not run more than once.
pub const AT_MOST_ONCE: &str = "celerycove-once";
/// The load of a backend server, as `cost of queued requests;running requests;concurrency limit`.
pub const LOAD: &str = "celerycove-load";
/// Time in microseconds that the request waited in the sidecar's queue.
pub const QUEUE_WAIT_US: &str = "celerycove-waited-us";
/// The configuration version that the sender uses.
pub const VERSION: &str = "celerycove-version";

/// The prefix of all internal headers; they are removed before a request reaches a backend server.
pub const INTERNAL_PREFIX: &str = "celerycove-";

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// It ran and was answered.
    Done,
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Execution {
    /// Returns the header value.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Execution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A header value that is not an [`Execution`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected done, not-run or unknown, got {0:?}")]
pub struct ExecutionError(String);

impl FromStr for Execution {
    type Err = ExecutionError;

    fn from_str(text: &str) -> Result<Self, ExecutionError> {
        match text {
            "done" => Ok(Self::Done),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(ExecutionError(text.to_owned())),
        }
    }
}
