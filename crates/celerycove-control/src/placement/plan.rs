//! Plans changes of shard assignments after processes joined, left or failed.

use std::collections::BTreeMap;

use celerycove_types::id;

use super::{Assignment, Change, Placement, Replica, stable_hash};

/// The number of live replicas below which a shard does not serve until a learner has caught up.
const MIN_LIVE_REPLICAS: usize = 2;

/// A process that may hold shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The incarnation of its state.
    pub state_incarnation: id::Incarnation,
    /// The incarnation of the process itself, which changes with every restart.
    pub process_incarnation: id::Incarnation,
    /// The data centre where it runs.
    pub data_centre: id::DataCentre,
    /// Whether it has sent nothing for so long that it counts as failed.
    pub silent: bool,
    /// Whether it is leaving and must not get further replicas.
    pub leaving: bool,
    /// The shards whose learners it has brought up to date as primary, each with the epoch of the
    /// shard.
    pub caught_up: Vec<(id::Shard, id::Epoch)>,
}

/// Limits of a plan.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The number of replicas of a shard if there are enough processes.
    pub replicas: usize,
    /// The maximum number of learners at once, over all shards and processes.
    pub max_learners: usize,
    /// The maximum number of changes in one plan.
    pub max_changes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            replicas: 3,
            max_learners: 32,
            max_changes: 128,
        }
    }
}

/// The processes that may hold shards, by id.
pub type Candidates = BTreeMap<id::Process, Candidate>;

struct Planner<'a> {
    candidates: &'a Candidates,
    options: Options,
    /// The number of replicas on each process.
    replica_counts: BTreeMap<id::Process, usize>,
    /// The number of learners over all shards.
    learner_count: usize,
}

/// Returns the changes that bring `placement` closer to its target with the given candidates.
#[must_use]
pub fn plan(placement: &Placement, candidates: &Candidates, options: Options) -> Vec<Change> {
    if is_majority_silent(candidates) {
        return Vec::new();
    }
    let mut planner = Planner::new(placement, candidates, options);
    let mut changes = Vec::new();
    for (shard, current) in (0..).zip(&placement.shards) {
        if changes.len() >= options.max_changes {
            break;
        }
        if let Some(assignment) = planner.next_assignment(shard, current) {
            changes.push(Change { shard, assignment });
        }
    }
    changes
}

/// Whether more than half of the candidates are silent. Then this instance is more likely
/// partitioned from them, and its outdated view is no basis for choosing among them.
fn is_majority_silent(candidates: &Candidates) -> bool {
    let silent = candidates.values().filter(|c| c.silent).count();
    silent * 2 > candidates.len()
}

impl<'a> Planner<'a> {
    fn new(placement: &Placement, candidates: &'a Candidates, options: Options) -> Self {
        let mut replica_counts: BTreeMap<id::Process, usize> = BTreeMap::new();
        for replica in placement.shards.iter().flat_map(Assignment::all) {
            *replica_counts.entry(replica.process.clone()).or_default() += 1;
        }
        let learner_count = placement.shards.iter().map(|s| s.learners.len()).sum();
        Self {
            candidates,
            options,
            replica_counts,
            learner_count,
        }
    }

    /// Returns the next assignment of a shard, or `None` if nothing changes.
    fn next_assignment(&mut self, shard: id::Shard, current: &Assignment) -> Option<Assignment> {
        let Some(primary) = &current.primary else {
            return self.assign_without_state(shard, current);
        };
        if current
            .in_sync()
            .all(|replica| self.has_lost_state(replica))
        {
            return self.assign_without_state(shard, current);
        }
        let mut next = current.clone();
        next.epoch += 1;
        if !self.is_live(primary) {
            self.promote_backup(&mut next)?;
        }
        self.drop_lost(&mut next);
        self.drop_silent(&mut next);
        self.promote_learners(shard, current, &mut next);
        self.hand_over_primary(&mut next);
        self.drop_leaving_backups(&mut next);
        self.add_learner(shard, &mut next);
        next.primary_incarnation = self.primary_incarnation_of(&next);
        if next.primary_incarnation != current.primary_incarnation
            || next.primary != current.primary
        {
            next.serving_since = next.epoch;
        }
        let changed = next.primary_incarnation != current.primary_incarnation
            || next.primary != current.primary
            || next.backups != current.backups
            || next.learners != current.learners;
        changed.then_some(next)
    }

    /// Assigns a shard that has no state: it is new, or every replica is known to have lost its
    /// state.
    fn assign_without_state(
        &mut self,
        shard: id::Shard,
        current: &Assignment,
    ) -> Option<Assignment> {
        let mut next = Assignment {
            epoch: current.epoch + 1,
            started_empty_at: current.epoch + 1,
            ..Assignment::default()
        };
        while next.in_sync().count() < self.options.replicas {
            let Some(replica) = self.allocate_replica(shard, &next) else {
                break;
            };
            match next.primary {
                None => next.primary = Some(replica),
                Some(_) => next.backups.push(replica),
            }
        }
        next.primary_incarnation = self.primary_incarnation_of(&next);
        next.serving_since = next.epoch;
        next.primary.is_some().then_some(next)
    }

    /// Returns the incarnation of the primary's process, or the previous one if it is unknown.
    fn primary_incarnation_of(&self, next: &Assignment) -> id::Incarnation {
        next.primary
            .as_ref()
            .and_then(|primary| self.candidates.get(&primary.process))
            .map_or(next.primary_incarnation, |candidate| {
                candidate.process_incarnation
            })
    }

    /// Makes a live backup the primary. Without one it returns `None`, and the shard waits for a
    /// replica to return. The old primary becomes a backup, as its state may still be needed.
    fn promote_backup(&self, next: &mut Assignment) -> Option<()> {
        let successor = next
            .backups
            .iter()
            .position(|backup| self.is_live(backup))?;
        let successor = next.backups.remove(successor);
        next.backups.extend(next.primary.replace(successor));
        Some(())
    }

    /// Drops the backups whose state is known to be lost, and the learners that are not live.
    fn drop_lost(&mut self, next: &mut Assignment) {
        next.backups.retain(|backup| !self.has_lost_state(backup));
        let previous_count = next.learners.len();
        next.learners.retain(|learner| self.is_live(learner));
        self.learner_count -= previous_count - next.learners.len();
    }

    /// Drops silent backups, except for as many as the live replicas are short of
    /// [`MIN_LIVE_REPLICAS`], or of one if no other process could replace them. It is better to
    /// wait for a learner than to continue with a single replica, whose loss would be permanent.
    /// Silent processes count as possible replacements too, because it may be this instance that is
    /// partitioned.
    fn drop_silent(&self, next: &mut Assignment) {
        let live_count = next
            .in_sync()
            .filter(|replica| self.is_live(replica))
            .count();
        let has_spare_process = self
            .candidates
            .keys()
            .any(|process| !next.involves(process));
        let is_replaceable = has_spare_process || !next.learners.is_empty();
        let min_replicas = if is_replaceable {
            MIN_LIVE_REPLICAS.min(self.options.replicas)
        } else {
            1
        };
        let mut silent_to_keep = min_replicas.saturating_sub(live_count);
        next.backups.retain(|backup| {
            if self.is_live(backup) {
                return true;
            }
            let keep = silent_to_keep > 0;
            silent_to_keep = silent_to_keep.saturating_sub(1);
            keep
        });
    }

    /// Makes learners backups once the primary reports that they caught up in the current epoch.
    fn promote_learners(&mut self, shard: id::Shard, current: &Assignment, next: &mut Assignment) {
        if next.primary != current.primary {
            return;
        }
        let caught_up = next.primary.as_ref().is_some_and(|primary| {
            self.candidates
                .get(&primary.process)
                .is_some_and(|c| c.caught_up.contains(&(shard, current.epoch)))
        });
        if caught_up {
            self.learner_count -= next.learners.len();
            next.backups.append(&mut next.learners);
        }
    }

    /// Swaps a leaving primary with a backup that is not leaving.
    fn hand_over_primary(&self, next: &mut Assignment) {
        let is_primary_leaving = next.primary.as_ref().is_some_and(|p| self.is_leaving(p));
        let successor = next.backups.iter().position(|b| !self.is_leaving(b));
        if let (true, Some(successor)) = (is_primary_leaving, successor)
            && let Some(primary) = next.primary.replace(next.backups[successor].clone())
        {
            next.backups[successor] = primary;
        }
    }

    /// Drops leaving backups once enough other replicas hold the shard.
    fn drop_leaving_backups(&self, next: &mut Assignment) {
        let available = self
            .candidates
            .values()
            .filter(|candidate| !candidate.leaving && !candidate.silent)
            .count();
        let target = self.options.replicas.min(available);
        let remaining = next.in_sync().filter(|r| !self.is_leaving(r)).count();
        if remaining >= target && remaining > 0 {
            next.backups.retain(|backup| !self.is_leaving(backup));
        }
    }

    /// Adds a learner if the shard has too few live replicas that stay.
    fn add_learner(&mut self, shard: id::Shard, next: &mut Assignment) {
        let remaining = next
            .all()
            .filter(|replica| self.is_live(replica) && !self.is_leaving(replica))
            .count();
        if remaining >= self.options.replicas || self.learner_count >= self.options.max_learners {
            return;
        }
        if let Some(replica) = self.allocate_replica(shard, next) {
            next.learners.push(replica);
            self.learner_count += 1;
        }
    }

    /// Chooses a process for one more replica and counts it towards that process's load.
    fn allocate_replica(&mut self, shard: id::Shard, next: &Assignment) -> Option<Replica> {
        let replica = self.best_replica(shard, next)?;
        *self
            .replica_counts
            .entry(replica.process.clone())
            .or_default() += 1;
        Some(replica)
    }

    /// Returns a replica on the best process: in the data centre with the fewest replicas of the
    /// shard, then with the fewest replicas of all shards, then with the lowest rendezvous hash.
    fn best_replica(&self, shard: id::Shard, next: &Assignment) -> Option<Replica> {
        let used_data_centres: Vec<&id::DataCentre> = next
            .all()
            .filter_map(|replica| self.candidates.get(&replica.process))
            .map(|candidate| &candidate.data_centre)
            .collect();
        self.candidates
            .iter()
            .filter(|(process, candidate)| {
                !candidate.leaving && !candidate.silent && !next.involves(process)
            })
            .min_by_key(|(process, candidate)| {
                let same_data_centre = used_data_centres
                    .iter()
                    .filter(|dc| **dc == &candidate.data_centre)
                    .count();
                let replica_count = self
                    .replica_counts
                    .get(*process)
                    .copied()
                    .unwrap_or_default();
                (
                    same_data_centre,
                    replica_count,
                    stable_hash(&format!("{shard}/{process}")),
                )
            })
            .map(|(process, candidate)| Replica {
                process: process.clone(),
                incarnation: candidate.state_incarnation,
            })
    }

    fn is_live(&self, replica: &Replica) -> bool {
        self.candidates
            .get(&replica.process)
            .is_some_and(|c| c.state_incarnation == replica.incarnation && !c.silent)
    }

    /// Whether the process is known to run with other state than the replica's, which is then lost.
    fn has_lost_state(&self, replica: &Replica) -> bool {
        self.candidates
            .get(&replica.process)
            .is_some_and(|candidate| candidate.state_incarnation != replica.incarnation)
    }

    fn is_leaving(&self, replica: &Replica) -> bool {
        self.candidates
            .get(&replica.process)
            .is_some_and(|candidate| candidate.leaving)
    }
}
