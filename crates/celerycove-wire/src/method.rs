//! Methods between processes and their parameters.

use std::time::Duration;

use celerycove_control::Message as ControlMessage;
use celerycove_limit::Estate;
use celerycove_program::{Message as ShardMessage, Request as ShardRequest};
use celerycove_types::{Timestamp, id};
use serde::{Deserialize, Serialize};

/// Carries messages of the control log.
pub const CONTROL: &str = "control.messages";
/// Pulls shared state.
pub const PULL: &str = "sync.pull";
/// Carries messages between replicas of shards.
pub const SHARD: &str = "shard.messages";
/// Asks the primary of a shard.
pub const REQUEST: &str = "shard.request";
/// Asks whether calls that were dispatched are still under way.
pub const CONFIRM: &str = "entry.confirm";
/// Asks the owner of a bucket for tokens.
pub const ASK: &str = "limit.ask";
/// Hands buckets over to their next owner.
pub const INHERIT: &str = "limit.inherit";
/// Renews and releases holds of engine memory.
pub const HOLDS: &str = "sidecar.holds";
/// Gives an order to an engine.
pub const ORDER: &str = "sidecar.order";

/// Messages of the control log, in order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Control {
    /// Who sends them.
    pub from: id::Process,
    /// The messages.
    pub messages: Vec<ControlMessage>,
}

/// Messages between replicas, in order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Shard {
    /// Who sends them.
    pub from: id::Process,
    /// The messages.
    pub messages: Vec<ShardMessage>,
}

/// A question to the primary of a shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Request {
    /// Which shard.
    pub shard: id::Shard,
    /// The question.
    pub request: ShardRequest,
}

/// A question whether calls are still under way; the answer names those that are not.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Confirm {
    /// The life of the process that dispatched them.
    pub dispatcher: id::Process,
    /// Their requests.
    pub requests: Vec<id::Request>,
}

/// A question to the owner of a bucket.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ask {
    /// The shard whose primary owns the bucket.
    pub shard: id::Shard,
    /// The question.
    pub ask: celerycove_limit::Ask,
}

/// Buckets on their way to the next owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Inherit {
    /// The shard whose primary owned them.
    pub shard: id::Shard,
    /// The epoch of the next owner.
    pub epoch: id::Epoch,
    /// The old owner's clock when it sent them.
    pub sent: Timestamp,
    /// The buckets.
    pub estate: Estate,
}

/// Programs whose engine memory is held on or released.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Holds {
    /// Which backend server.
    pub backend: id::Backend,
    /// Programs that pause and go on.
    pub renew: Vec<id::Program>,
    /// Programs that have ended.
    pub release: Vec<id::Program>,
}

/// An order to an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Order {
    /// Which backend server.
    pub backend: id::Backend,
    /// The order's place among all orders.
    pub fence: id::Fence,
    /// What to do, as `EngineControl` defines it.
    pub order: celerycove_types::order::Order,
}

/// How long a question between processes may take.
pub const TIMEOUT: Duration = Duration::from_secs(2);
