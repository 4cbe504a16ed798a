//! Which processes hold which shards of programs.

pub mod plan;

use celerycove_types::{Violation, id};
use serde::{Deserialize, Serialize};

pub use plan::plan;

/// One life of a process that holds a shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Replica {
    /// The process.
    pub process: id::Process,
    /// The life of its state: a process that lost its memory is another replica.
    pub incarnation: id::Incarnation,
}

/// Who holds one shard during one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Assignment {
    /// The placement's version that brought this assignment.
    pub version: id::Version,
    /// Counts the assignments of this shard.
    pub epoch: id::Epoch,
    /// The epoch in which the shard last began without state.
    pub origin: id::Epoch,
    /// Who serves.
    pub primary: Option<Replica>,
    /// The life of the process that may serve: a process that restarted on its disk may have sent
    /// records that the disk does not hold, so it needs another epoch before it serves again.
    pub life: id::Incarnation,
    /// The epoch in which this life of the primary's process began to serve, without a break.
    pub since: id::Epoch,
    /// Who must acknowledge each append.
    pub backups: Vec<Replica>,
    /// Who is being brought up to date.
    pub learners: Vec<Replica>,
}

/// All shards; its version counts the changes made.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Placement {
    /// How many changes were made.
    pub version: id::Version,
    /// Assignments by shard.
    pub shards: Vec<Assignment>,
}

/// A new assignment for one shard, made for one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Which shard.
    pub shard: id::Shard,
    /// The new assignment; it applies only to the epoch before its own.
    pub assignment: Assignment,
}

impl Assignment {
    /// The replicas that hold every acknowledged append.
    pub fn full(&self) -> impl Iterator<Item = &Replica> {
        self.primary.iter().chain(&self.backups)
    }

    /// All replicas.
    pub fn all(&self) -> impl Iterator<Item = &Replica> {
        self.full().chain(&self.learners)
    }

    /// Tells whether `process` holds or learns the shard.
    #[must_use]
    pub fn involves(&self, process: &id::Process) -> bool {
        self.all().any(|replica| replica.process == *process)
    }
}

impl Placement {
    /// The shard of a program or other name.
    #[must_use]
    pub fn shard_of(&self, name: &str) -> Option<id::Shard> {
        let count = u64::try_from(self.shards.len()).ok()?;
        let shard = stable_hash(name).checked_rem(count)?;
        id::Shard::try_from(shard).ok()
    }

    /// The shards that changed after a version.
    #[must_use]
    pub fn since(&self, version: id::Version) -> Vec<(id::Shard, Assignment)> {
        if version >= self.version {
            return Vec::new();
        }
        (0..)
            .zip(&self.shards)
            .filter(|(_, assignment)| assignment.version > version)
            .map(|(shard, assignment)| (shard, assignment.clone()))
            .collect()
    }

    /// Takes over shards that changed up to a version; an older epoch never replaces a later one.
    pub fn merge(&mut self, version: id::Version, changed: Vec<(id::Shard, Assignment)>) {
        for (shard, assignment) in changed {
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

    /// Checks that no process stands twice in one assignment.
    ///
    /// # Errors
    ///
    /// Returns the broken invariant.
    pub fn check(&self) -> Result<(), Violation> {
        for (shard, assignment) in self.shards.iter().enumerate() {
            let mut processes: Vec<_> = assignment.all().map(|r| &r.process).collect();
            processes.sort();
            let before = processes.len();
            processes.dedup();
            Violation::unless(before == processes.len(), "replicas-distinct", || {
                format!("shard {shard}: {assignment:?}")
            })?;
        }
        Ok(())
    }
}

/// Applies the changes that still fit and tells how many did.
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

/// Gives the changes that create `count` empty shards.
#[must_use]
pub fn create(count: id::Shard) -> Vec<Change> {
    (0..count)
        .map(|shard| Change {
            shard,
            assignment: Assignment::default(),
        })
        .collect()
}

/// A hash that is the same on every machine and in every release (FNV-1a, 64 bits, then mixed).
#[must_use]
pub fn stable_hash(name: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let hash = name.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    // FNV leaves the high bits of short names poorly mixed.
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
