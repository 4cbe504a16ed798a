//! Messages between the replicas of a shard.

use celerycove_types::{Timestamp, id};
use serde::{Deserialize, Serialize};

use crate::{op::Op, state::State};

/// The position of a record in the log of a shard. The epoch is that of the primary that created
/// the record: records with the same sequence number but different epochs are different records.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The epoch of the primary that created the record.
    pub epoch: id::Epoch,
    /// The sequence number in the shard.
    pub sequence: u64,
}

/// The number of a round of probes, by which a primary verifies that it has not been replaced.
pub type Round = u64;

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its position in the log.
    pub position: Position,
    /// The shard time at which the operation applies.
    pub at: Timestamp,
    /// The operation.
    pub op: Op,
}

/// A snapshot of the state of a shard up to a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The position of the last record included.
    pub last: Position,
    /// The state.
    pub state: State,
}

/// A message between two replicas of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The shard.
    pub shard: id::Shard,
    /// The sender's epoch.
    pub epoch: id::Epoch,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The primary asks for the last record that a replica holds, in a round of probes.
    Probe(Round),
    /// The primary sends records after `previous`.
    Append {
        /// The position of the record before the first.
        previous: Position,
        /// The records.
        records: Vec<Record>,
    },
    /// The primary sends a snapshot.
    Install(Box<Snapshot>),
    /// A replica reports the last record that it holds.
    Held {
        /// The position of the record.
        last: Position,
        /// The latest round in which it received a probe.
        round: Round,
    },
    /// A replica rejects a message because it knows a later epoch, which is that of this message.
    Stale,
}
