//! Evidence as processes send it to each other. Times travel as ages, since clocks differ.

use std::time::Duration;

use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::Digest;

/// One life of a backend server.
pub type Server = (id::Backend, id::Incarnation);

/// A request that a crash broke off.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request.
    pub digest: Digest,
    /// Its target.
    pub target: Digest,
    /// Its organisation; empty for anonymous callers.
    pub organisation: id::Organisation,
    /// The time since it was sent to the backend server.
    pub age: Duration,
}

/// A confirmed crash of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The backend server.
    pub server: Server,
    /// The time since the crash.
    pub age: Duration,
    /// Requests that it broke off.
    pub runs: Vec<Run>,
}

/// Something that happened to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The request.
    pub digest: Digest,
    /// The time since then.
    pub age: Duration,
}

/// What one process tells others.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Evidence {
    /// Crashes of backend servers.
    pub crashes: Vec<Crash>,
    /// Requests that a backend server answered completely.
    pub vindications: Vec<Event>,
    /// Requests that are tried again after their quarantine.
    pub trials: Vec<Event>,
}

impl Evidence {
    /// Whether it says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.vindications.is_empty() && self.trials.is_empty()
    }

    /// The number of items, by which messages are bounded.
    #[must_use]
    pub fn len(&self) -> usize {
        let runs = self.crashes.iter().map(|crash| crash.runs.len());
        runs.sum::<usize>() + self.vindications.len() + self.trials.len()
    }
}
