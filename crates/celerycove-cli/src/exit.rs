//! Exit codes.

use std::process::ExitCode;

/// Why a command failed, each with its own exit code.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// Exit code 1: nobody could be asked, or the answer was an error.
    #[error("{0}")]
    Failed(String),
    /// Exit code 2: the command line is wrong.
    #[error("{0}; see --help")]
    Usage(String),
    /// Exit code 3: another operator's change came first.
    #[error("conflict: version {version} is in force, made by {operator}: {summary}")]
    Conflict {
        /// The version in force.
        version: u64,
        /// Who made it.
        operator: String,
        /// What it changed.
        summary: String,
    },
    /// Exit code 4: the change is not valid.
    #[error("not valid: {0}")]
    Invalid(String),
    /// Exit code 5: whether the change was made is not known; send it again with the request id.
    #[error("the outcome is not known: send it again with --request-id {0}")]
    Unknown(String),
}

impl Failure {
    /// The exit code.
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
