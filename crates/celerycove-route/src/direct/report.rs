//! What entries tell each other of backend servers.

use std::sync::Arc;

use celerycove_types::id;
use serde::{Deserialize, Serialize};

/// Outcomes of one entry's recent requests to a backend server, shared with the other entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Tally {
    /// Number of successful requests.
    pub answered: u32,
    /// Number of requests that failed or broke off.
    pub failed: u32,
}

/// Tally of one backend server, as sent to the other entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Service of the backend server.
    pub service: Arc<str>,
    /// The backend server.
    pub backend: id::Backend,
    /// Its incarnation.
    pub born: id::Incarnation,
    /// Outcomes of its requests.
    pub tally: Tally,
    /// Whether it has said that it leaves.
    #[serde(default)]
    pub is_leaving: bool,
}
