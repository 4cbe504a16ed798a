//! The assignment of program shards to processes.

pub mod plan;

use celerycove_types::{Violation, id};
use serde::{Deserialize, Serialize};

pub use plan::plan;

/// A process that holds a shard, together with the incarnation of its state.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Replica {
    /// The process.
    pub process: id::Process,
    /// The incarnation of its state. A process that lost its state is a different replica.
    pub incarnation: id::Incarnation,
}

/// The replicas of one shard during one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Assignment {
    /// The placement version in which this assignment was made.
    pub version: id::Version,
    /// The number of this assignment among those of the shard.
    pub epoch: id::Epoch,
    /// The epoch in which the shard was last started without state.
    #[serde(rename = "origin")]
    pub started_empty_at: id::Epoch,
    /// The replica that serves requests.
    pub primary: Option<Replica>,
    /// The incarnation of the primary's process that may serve. A process that restarted from its
    /// disk may have sent records that the disk does not hold, so it needs another epoch before it
    /// serves again.
    #[serde(rename = "life")]
    pub primary_incarnation: id::Incarnation,
    /// The epoch from which this incarnation of the primary's process has served without
    /// interruption.
    #[serde(rename = "since")]
    pub serving_since: id::Epoch,
    /// The replicas that must acknowledge each append.
    pub backups: Vec<Replica>,
    /// The replicas that are catching up.
    pub learners: Vec<Replica>,
}

/// The assignments of all shards.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Placement {
    /// Incremented by each set of changes that is applied.
    pub version: id::Version,
    /// The assignments, indexed by shard.
    pub shards: Vec<Assignment>,
}

/// A new assignment for one shard, made for one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The shard to change.
    pub shard: id::Shard,
    /// The new assignment. It applies only if the shard's current epoch is the one before its own.
    pub assignment: Assignment,
}

impl Assignment {
    /// The replicas that hold every acknowledged append: the primary and the backups.
    pub fn in_sync(&self) -> impl Iterator<Item = &Replica> {
        self.primary.iter().chain(&self.backups)
    }

    /// All replicas, learners included.
    pub fn all(&self) -> impl Iterator<Item = &Replica> {
        self.in_sync().chain(&self.learners)
    }

    /// Whether `process` has a replica of the shard, as a learner or in another role.
    #[must_use]
    pub fn involves(&self, process: &id::Process) -> bool {
        self.all().any(|replica| replica.process == *process)
    }
}

impl Placement {
    /// The shard of a program or another named item, or `None` if there are no shards.
    #[must_use]
    pub fn shard_of(&self, name: &str) -> Option<id::Shard> {
        let count = u64::try_from(self.shards.len()).ok()?;
        let shard = stable_hash(name).checked_rem(count)?;
        id::Shard::try_from(shard).ok()
    }

    /// Returns the shards whose assignments changed after a version.
    #[must_use]
    pub fn changes_after(&self, version: id::Version) -> Vec<(id::Shard, Assignment)> {
        if version >= self.version {
            return Vec::new();
        }
        (0..)
            .zip(&self.shards)
            .filter(|(_, assignment)| assignment.version > version)
            .map(|(shard, assignment)| (shard, assignment.clone()))
            .collect()
    }

    /// Merges the assignments changed up to a version; an older epoch never replaces a later one.
    pub fn merge(&mut self, version: id::Version, changes: Vec<(id::Shard, Assignment)>) {
        for (shard, assignment) in changes {
            let Ok(shard) = usize::try_from(shard) else {
                continue;
            };
            if shard >= self.shards.len() {
                self.shards.resize(shard + 1, Assignment::default());
            }
            if assignment.epoch >= self.shards[shard].epoch {
                self.shards[shard] = assignment;
            }
        }
        self.version = self.version.max(version);
    }

    /// The assignment of a shard.
    #[must_use]
    pub fn assignment(&self, shard: id::Shard) -> Option<&Assignment> {
        self.shards.get(usize::try_from(shard).ok()?)
    }

    /// Checks that no assignment contains a process twice.
    ///
    /// # Errors
    ///
    /// Returns the violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        for (shard, assignment) in self.shards.iter().enumerate() {
            let mut processes: Vec<_> = assignment.all().map(|r| &r.process).collect();
            processes.sort();
            let replica_count = processes.len();
            processes.dedup();
            Violation::unless(
                replica_count == processes.len(),
                "replicas-distinct",
                || format!("shard {shard}: {assignment:?}"),
            )?;
        }
        Ok(())
    }
}

/// Applies the changes whose epoch follows the shard's current one and returns their number.
pub fn apply(placement: &mut Placement, changes: &[Change]) -> usize {
    let mut applied = 0;
    let version = placement.version + 1;
    for change in changes {
        let Ok(shard) = usize::try_from(change.shard) else {
            continue;
        };
        if shard == placement.shards.len() && change.assignment.epoch == 0 {
            placement.shards.push(Assignment {
                version,
                ..Assignment::default()
            });
            applied += 1;
            continue;
        }
        if let Some(current) = placement.shards.get_mut(shard)
            && change.assignment.epoch == current.epoch + 1
        {
            current.clone_from(&change.assignment);
            current.version = version;
            applied += 1;
        }
    }
    if applied > 0 {
        placement.version = version;
    }
    applied
}

/// Returns the changes that create `count` shards without replicas.
#[must_use]
pub fn create_shards(count: id::Shard) -> Vec<Change> {
    (0..count)
        .map(|shard| Change {
            shard,
            assignment: Assignment::default(),
        })
        .collect()
}

/// Returns a hash that is the same on every machine and in every release (64-bit FNV-1a with a
/// final mix).
#[must_use]
pub fn stable_hash(name: &str) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let hash = name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    // FNV mixes the high bits of short names poorly; this is part of MurmurHash3's 64-bit
    // finalizer.
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
