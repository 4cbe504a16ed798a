//! Methods of operators and their answers.

use std::time::Duration;

use celerycove_config::Config;
use celerycove_sync::{announce::Spread, directory::Entry};
use celerycove_types::{id, order};
use serde::{Deserialize, Serialize};

/// Proposes a change; takes a [`celerycove_config::Proposal`], gives a [`celerycove_config::Outcome`].
pub const PROPOSE: &str = "operator.propose";
/// Gives the configuration in force.
pub const CONFIG: &str = "operator.config";
/// Gives the state of the deployment.
pub const STATUS: &str = "operator.status";
/// Gives the accounts of programs.
pub const PROGRAMS: &str = "operator.programs";
/// Gives an order to an engine.
pub const ORDER: &str = "operator.order";
/// Adds or removes a control instance.
pub const MEMBER: &str = "operator.member";

/// JSON-RPC error code: this instance does not lead; the data names the leader's operator address
/// if it is known.
pub const NOT_LEADER: i32 = -32_001;
/// JSON-RPC error code: the command may be committed or not; resend it with the same request id.
pub const UNKNOWN: i32 = -32_002;
/// JSON-RPC error code: the command is refused.
pub const REFUSED: i32 = -32_003;

/// The configuration and how long ago it was surely the newest.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Current {
    /// The configuration.
    pub config: Config,
    /// The age of the proof.
    pub age: Duration,
}

/// The state of the deployment as the control leader sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The leader.
    pub leader: id::Process,
    /// Its term.
    pub term: u64,
    /// The instances of the control log.
    pub members: Vec<id::Process>,
    /// The newest version.
    pub version: id::Version,
    /// How far it has spread.
    pub spread: Spread,
    /// The processes known.
    pub processes: Vec<Entry>,
    /// Shards by state.
    pub shards: Shards,
}

/// How the shards of programs are doing.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Shards {
    /// All shards.
    pub total: usize,
    /// Shards with a primary.
    pub served: usize,
    /// Shards with a learner.
    pub learning: usize,
    /// Shards by number of full replicas.
    pub replicas: std::collections::BTreeMap<usize, usize>,
}

/// An order to one engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Order {
    /// Which backend server.
    pub backend: id::Backend,
    /// What to do.
    pub order: order::Order,
}

/// A change of the control instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub process: id::Process,
    /// True to add, false to remove.
    pub add: bool,
}
