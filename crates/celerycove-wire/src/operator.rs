//! RPC methods for operators, their parameters and results.

use std::time::Duration;

use celerycove_config::Config;
use celerycove_sync::{announce::Rollout, directory::Entry};
use celerycove_types::{id, order};
use serde::{Deserialize, Serialize};

/// Proposes configuration changes; takes a [`celerycove_config::Proposal`], returns a
/// [`celerycove_config::Outcome`].
pub const PROPOSE: &str = "operator.propose";
/// Returns the current configuration.
pub const CONFIG: &str = "operator.config";
/// Returns the state of the deployment.
pub const STATUS: &str = "operator.status";
/// Lists the programs with their token usage.
pub const PROGRAMS: &str = "operator.programs";
/// Sends a command to an engine.
pub const ORDER: &str = "operator.order";
/// Adds or removes a member of the control log.
pub const MEMBER: &str = "operator.member";

/// JSON-RPC error code: this instance is not the leader; the data holds the leader's operator
/// address if it is known.
pub const NOT_LEADER: i32 = -32_001;
/// JSON-RPC error code: it is unknown whether the command was committed; resend it with the same
/// request id.
pub const OUTCOME_UNKNOWN: i32 = -32_002;
/// JSON-RPC error code: the command was rejected.
pub const REJECTED: i32 = -32_003;

/// The configuration, and how long ago it was known to be the newest.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CurrentConfig {
    /// The configuration.
    pub config: Config,
    /// Time since the configuration was last confirmed to be the newest.
    pub age: Duration,
}

/// The state of the deployment as the control leader sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The leader of the control log.
    pub leader: id::Process,
    /// The leader's term.
    pub term: u64,
    /// The members of the control log.
    pub members: Vec<id::Process>,
    /// The newest version of the configuration.
    pub version: id::Version,
    /// How far the configuration has propagated, by data centre.
    pub spread: Rollout,
    /// The known processes.
    pub processes: Vec<Entry>,
    /// Numbers of shards by state.
    pub shards: ShardCounts,
}

/// Numbers of program shards by state.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ShardCounts {
    /// Number of all shards.
    pub total: usize,
    /// Number of shards with a primary.
    pub served: usize,
    /// Number of shards with a learner (a replica that is still catching up).
    pub learning: usize,
    /// Number of shards by their count of full replicas.
    pub replicas: std::collections::BTreeMap<usize, usize>,
}

/// A command to one engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Order {
    /// The backend server.
    pub backend: id::Backend,
    /// The command.
    pub order: order::Order,
}

/// A change to the members of the control log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberChange {
    /// The process to add or remove.
    pub process: id::Process,
    /// True to add the process, false to remove it.
    pub add: bool,
}
