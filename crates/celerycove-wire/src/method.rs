//! RPC methods between processes, and their parameters.

use std::time::Duration;

use celerycove_control::Message as ControlMessage;
use celerycove_limit::Handover;
use celerycove_program::{Message as ShardMessage, Request as ShardRequest};
use celerycove_types::{Timestamp, id};
use serde::{Deserialize, Serialize};

/// Delivers messages of the control log's replication.
pub const CONTROL: &str = "control.messages";
/// Pulls changes of the shared state: configuration, shard placement and process directory.
pub const PULL: &str = "sync.pull";
/// Delivers messages between the replicas of a shard.
pub const SHARD: &str = "shard.messages";
/// Sends a request to the primary of a shard.
pub const REQUEST: &str = "shard.request";
/// Asks the dispatching process which of its calls are no longer running.
pub const CONFIRM_RUNNING: &str = "entry.confirm";
/// Borrows rate-limit tokens from the owner of a bucket.
pub const BORROW_TOKENS: &str = "limit.ask";
/// Transfers rate-limit buckets to their next owner.
pub const TRANSFER_BUCKETS: &str = "limit.inherit";
/// Renews and releases leases on engine memory that is kept for paused programs.
pub const MEMORY_LEASES: &str = "sidecar.holds";
/// Sends a command to an engine, through its sidecar.
pub const ORDER: &str = "sidecar.order";

/// Messages of the control log's replication, in order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Control {
    /// The sender.
    pub from: id::Process,
    /// The messages.
    pub messages: Vec<ControlMessage>,
}

/// Messages between the replicas of shards, in order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Shard {
    /// The sender.
    pub from: id::Process,
    /// The messages.
    pub messages: Vec<ShardMessage>,
}

/// A request to the primary of a shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Request {
    /// The shard.
    pub shard: id::Shard,
    /// The request.
    pub request: ShardRequest,
}

/// Asks which calls are no longer running; the reply lists their requests.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Confirm {
    /// The process that dispatched the calls, with its incarnation: `PROCESS#INCARNATION`.
    pub dispatcher: id::Process,
    /// The request ids of the calls.
    pub requests: Vec<id::Request>,
}

/// A request for tokens to the owner of a bucket.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The shard whose primary owns the bucket.
    pub shard: id::Shard,
    /// The request.
    pub ask: celerycove_limit::Request,
}

/// Rate-limit buckets in transfer to their next owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BucketTransfer {
    /// The shard whose primary owns the buckets.
    pub shard: id::Shard,
    /// The epoch in which the next owner takes over.
    pub epoch: id::Epoch,
    /// The time of sending, on the previous owner's clock, from which the times in the buckets'
    /// state are converted.
    pub sent: Timestamp,
    /// The buckets' state.
    pub estate: Handover,
}

/// Programs whose leases on engine memory are renewed or released.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemoryLeases {
    /// The backend server.
    pub backend: id::Backend,
    /// Paused programs that are expected to continue.
    pub renew: Vec<id::Program>,
    /// Programs that have ended.
    pub release: Vec<id::Program>,
}

/// A command to an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Order {
    /// The backend server.
    pub backend: id::Backend,
    /// The command's fencing token; the sidecar rejects a command with an older one.
    pub fence: id::FencingToken,
    /// The command, in the form that the `EngineControl` interface defines.
    pub order: celerycove_types::order::Order,
}

/// The timeout of an RPC between processes.
pub const RPC_TIMEOUT: Duration = Duration::from_secs(2);
