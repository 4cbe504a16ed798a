//! Announcements, in which each process describes itself to the others.

use std::{collections::BTreeMap, net::SocketAddr};

use celerycove_types::{Labels, id};
use serde::{Deserialize, Serialize};

/// Whether a process accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Availability {
    /// It accepts new requests.
    Serving,
    /// It finishes its running requests and accepts no new ones.
    Leaving,
}

/// The kind of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A model engine.
    Engine,
    /// Any other service.
    Service,
}

/// A model that an engine serves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Model {
    /// The name that callers request.
    pub name: String,
    /// The version of the model.
    pub version: String,
    /// The loaded adapters.
    pub adapters: Vec<String>,
}

/// A backend server, as announced by its sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The id of the backend server.
    pub id: id::Backend,
    /// Whether it is a model engine.
    pub kind: Kind,
    /// The labels of the backend server itself.
    pub labels: Labels,
    /// The models served; empty for a service that is not an engine.
    pub models: Vec<Model>,
    /// The route prefix served; `None` for an engine.
    pub route: Option<String>,
    /// The number of concurrent requests that it can run when warm.
    pub capacity: u32,
    /// Whether its latest requests failed, so that the sidecar admits only trial requests.
    pub failing: bool,
}

/// A process's description of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The process.
    pub process: id::Process,
    /// The run of the process; announcements of a later one supersede those of an earlier one.
    pub incarnation: id::Incarnation,
    /// Increases with each change of the announcement within one incarnation.
    pub revision: u64,
    /// The data centre that the process runs in.
    pub data_centre: id::DataCentre,
    /// The address on which it listens for other processes.
    pub address: SocketAddr,
    /// Whether the process accepts new requests.
    #[serde(rename = "life")]
    pub availability: Availability,
    /// The incarnation of its shard storage; `None` if the process can't hold shards.
    #[serde(rename = "home")]
    pub shard_incarnation: Option<id::Incarnation>,
    /// The shards, with their epochs, whose learner replicas the process, as primary, has brought
    /// up to date.
    #[serde(rename = "learned")]
    pub caught_up_learners: Vec<(id::Shard, id::Epoch)>,
    /// The backend server that the process is the sidecar of.
    pub backend: Option<Backend>,
    /// Whether the process can relay the configuration to others.
    pub relay: bool,
}

/// The progress of distributing a configuration to a group of processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The number of processes in the group.
    pub processes: u32,
    /// The oldest version in use by any of them.
    pub oldest: id::Version,
    /// A process that uses the oldest version.
    pub slowest: id::Process,
}

/// The progress of distributing a configuration, by data centre.
pub type Rollout = BTreeMap<id::DataCentre, Progress>;

impl Progress {
    /// Combines the progress of two disjoint groups of processes.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        let processes = self.processes + other.processes;
        let slower = if other.oldest < self.oldest {
            other
        } else {
            self
        };
        Self {
            processes,
            ..slower
        }
    }
}

/// Adds the processes counted in `other` to `rollout`.
pub fn merge_rollout(rollout: &mut Rollout, other: Rollout) {
    for (data_centre, progress) in other {
        let merged = match rollout.remove(&data_centre) {
            Some(known) => known.merge(progress),
            None => progress,
        };
        rollout.insert(data_centre, merged);
    }
}

impl Announcement {
    /// Returns whether this announcement supersedes `other`.
    #[must_use]
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.incarnation, self.revision) > (other.incarnation, other.revision)
    }
}
