//! Messages between the replicas of a shard.

use celerycove_types::{Timestamp, id};
use serde::{Deserialize, Serialize};

use crate::{op::Op, state::State};

/// Names a record: the epoch whose primary made it and its number; records of one number but
/// different epochs are different.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The epoch.
    pub epoch: id::Epoch,
    /// The number in the shard.
    pub sequence: u64,
}

/// Counts the rounds in which a primary asks whether it still is one.
pub type Round = u64;

/// A step and where it stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its position.
    pub position: Position,
    /// The shard time at which it applies.
    pub at: Timestamp,
    /// The step.
    pub op: Op,
}

/// The whole state of a shard up to a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Image {
    /// The last record included.
    pub last: Position,
    /// The state.
    pub state: State,
}

/// A message and the epoch of its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The shard.
    pub shard: id::Shard,
    /// The sender's epoch.
    pub epoch: id::Epoch,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The primary asks what a replica holds, in a round.
    Probe(Round),
    /// The primary sends records after `previous`.
    Append {
        /// The record before the first.
        previous: Position,
        /// The records.
        records: Vec<Record>,
    },
    /// The primary sends everything.
    Install(Box<Image>),
    /// A replica tells the last record that it holds.
    Held {
        /// The record.
        last: Position,
        /// The latest round in which it was asked.
        round: Round,
    },
    /// A replica knows a later epoch, that of the message.
    Stale,
}
