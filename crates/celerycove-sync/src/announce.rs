//! What a process tells the others about itself.

use std::{collections::BTreeMap, net::SocketAddr};

use celerycove_types::{Labels, id};
use serde::{Deserialize, Serialize};

/// Whether a process takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Life {
    /// It does.
    Serving,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// What kind of backend server a sidecar stands beside.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A model that an engine serves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Model {
    /// The name that callers ask for.
    pub name: String,
    /// Its version.
    pub version: String,
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
}

/// A backend server, as its sidecar announces it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Its id.
    pub id: id::Backend,
    /// What kind it is.
    pub kind: Kind,
    /// Its own labels.
    pub labels: Labels,
    /// Models served, for an engine.
    pub models: Vec<Model>,
    /// The route prefix served, for a plain service.
    pub route: Option<String>,
    /// Requests that it can run at once when warm.
    pub capacity: u32,
    /// Whether its latest requests failed, so that the sidecar admits only trials.
    pub failing: bool,
}

/// What a process tells the others about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Which process.
    pub process: id::Process,
    /// Its life; a later one replaces an earlier one.
    pub incarnation: id::Incarnation,
    /// Counts the announcements of this life that differ.
    pub revision: u64,
    /// Where it runs.
    pub data_centre: id::DataCentre,
    /// Where it listens for other processes.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub life: Life,
    /// The life of the shards that it may hold, if it may hold any.
    pub home: Option<id::Incarnation>,
    /// Shards and epochs whose learners it has brought up to date.
    pub learned: Vec<(id::Shard, id::Epoch)>,
    /// The backend server that it stands beside.
    pub backend: Option<Backend>,
    /// Whether it serves configuration to others.
    pub relay: bool,
}

/// How far a configuration has spread among some processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// How many processes are counted.
    pub processes: u32,
    /// The oldest version that any of them has in force.
    pub oldest: id::Version,
    /// One that has the oldest.
    pub slowest: id::Process,
}

/// How far a configuration has spread, by data centre.
pub type Spread = BTreeMap<id::DataCentre, InForce>;

impl InForce {
    /// Counts other processes in.
    #[must_use]
    pub fn with(self, other: Self) -> Self {
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

/// Counts the processes of one spread into another.
pub fn add_spread(spread: &mut Spread, other: Spread) {
    for (data_centre, in_force) in other {
        let joined = match spread.remove(&data_centre) {
            Some(known) => known.with(in_force),
            None => in_force,
        };
        spread.insert(data_centre, joined);
    }
}

impl Announcement {
    /// Tells whether this one replaces `other`.
    #[must_use]
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.incarnation, self.revision) > (other.incarnation, other.revision)
    }
}
