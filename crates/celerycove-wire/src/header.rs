//! Headers between callers, entries and sidecars.

use std::{fmt, str::FromStr};

/// Names the program of a call.
pub const PROGRAM: &str = "celerycove-program";
/// The call's number in its chain.
pub const CALL: &str = "celerycove-call";
/// The agent whose chain the call belongs to.
pub const AGENT: &str = "celerycove-agent";
/// Names a service call that may be resent.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Whether the request ran.
pub const RUN: &str = "celerycove-run";
/// Names the request for logs.
pub const REQUEST: &str = "celerycove-request";
/// Where an answer was made.
pub const BACKEND: &str = "celerycove-backend";

/// The secret that the deployment's processes share.
pub const CLUSTER: &str = "celerycove-cluster";
/// The process that sends.
pub const FROM: &str = "celerycove-from";
/// An operator's credential.
pub const OPERATOR: &str = "celerycove-operator";

/// Names one dispatch.
pub const DISPATCH: &str = "celerycove-dispatch";
/// For whom a request runs.
pub const ORGANISATION: &str = "celerycove-organisation";
/// The organisation's weight.
pub const WEIGHT: &str = "celerycove-weight";
/// Tokens that the program has spent before.
pub const ATTAINED: &str = "celerycove-attained";
/// The expected cost.
pub const COST: &str = "celerycove-cost";
/// Milliseconds until the request must have started.
pub const DEADLINE: &str = "celerycove-deadline-ms";
/// Whether the request must not be repeated.
pub const ONCE: &str = "celerycove-once";
/// The load of a backend server, as `cost waiting;requests running;limit`.
pub const LOAD: &str = "celerycove-load";
/// Microseconds that a request waited in the queue.
pub const WAITED: &str = "celerycove-waited-us";
/// The configuration version that the sender has in force.
pub const VERSION: &str = "celerycove-version";

/// The prefix of every header that is the system's own; no backend server sees one.
pub const PREFIX: &str = "celerycove-";

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Run {
    /// It ran and was answered.
    Done,
    /// It surely did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Run {
    /// The header's value.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A value of the header that is none of the three.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected done, not-run or unknown, got {0:?}")]
pub struct RunError(String);

impl FromStr for Run {
    type Err = RunError;

    fn from_str(text: &str) -> Result<Self, RunError> {
        match text {
            "done" => Ok(Self::Done),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(RunError(text.to_owned())),
        }
    }
}
