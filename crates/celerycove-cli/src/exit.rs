//! Command errors and their exit codes.

use std::process::ExitCode;

/// Error of a command; each variant has its own exit code.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// Exit code 1: no control instance could be reached, or the request was refused.
    #[error("{0}")]
    Failed(String),
    /// Exit code 2: the command line is invalid.
    #[error("{0}; see --help")]
    Usage(String),
    /// Exit code 3: the configuration has changed since the version given with `--if-version`.
    #[error("conflict: version {version} is in force, made by {operator}: {summary}")]
    Conflict {
        /// The version in force.
        version: u64,
        /// The operator who made the change in force.
        operator: String,
        /// Summary of that change.
        summary: String,
    },
    /// Exit code 4: the change is invalid.
    #[error("invalid change: {0}")]
    Invalid(String),
    /// Exit code 5: the change may or may not have been made. Retrying with this request id is
    /// safe.
    #[error("the outcome is unknown: retry with --request-id {0}")]
    Unknown(String),
}

impl Failure {
    /// Returns the exit code.
    #[must_use]
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Failed(_) => 1,
            Self::Usage(_) => 2,
            Self::Conflict { .. } => 3,
            Self::Invalid(_) => 4,
            Self::Unknown(_) => 5,
        })
    }
}
