//! Plans moves of shards after processes joined, left or failed.

use std::collections::BTreeMap;

use celerycove_types::id;

use super::{Assignment, Change, Placement, Replica, stable_hash};

/// A shard with fewer live replicas waits for a learner before it goes on.
const FEWEST: usize = 2;

/// A process that may hold shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The life of its state.
    pub incarnation: id::Incarnation,
    /// The life of the process.
    pub life: id::Incarnation,
    /// Where it runs.
    pub data_centre: id::DataCentre,
    /// Whether it has not been heard of for so long that it counts as failed.
    pub silent: bool,
    /// Whether it is leaving and takes no more.
    pub leaving: bool,
    /// Shards and epochs in which its learners are up to date.
    pub learned: Vec<(id::Shard, id::Epoch)>,
}

/// Limits of a plan.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How many replicas a shard has if there are enough processes.
    pub replicas: usize,
    /// How many shards may be learning at once, over all processes.
    pub learning: usize,
    /// How many changes one plan makes.
    pub changes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            replicas: 3,
            learning: 32,
            changes: 128,
        }
    }
}

/// The processes that may hold shards, by id.
pub type Candidates = BTreeMap<id::Process, Candidate>;

struct Planner<'a> {
    candidates: &'a Candidates,
    options: Options,
    load: BTreeMap<id::Process, usize>,
    learning: usize,
}

/// Gives the changes that bring `placement` closer to what `candidates` allow.
#[must_use]
pub fn plan(placement: &Placement, candidates: &Candidates, options: Options) -> Vec<Change> {
    if mostly_silent(candidates) {
        return Vec::new();
    }
    let mut planner = Planner::new(placement, candidates, options);
    let mut changes = Vec::new();
    for (shard, current) in (0..).zip(&placement.shards) {
        if changes.len() >= options.changes {
            break;
        }
        if let Some(assignment) = planner.next(shard, current) {
            changes.push(Change { shard, assignment });
        }
    }
    changes
}

/// Whether more than half are silent: then it is more likely that the one who plans is cut off,
/// and what it heard last of the others is no ground for a choice among them.
fn mostly_silent(candidates: &Candidates) -> bool {
    let silent = candidates.values().filter(|c| c.silent).count();
    silent * 2 > candidates.len()
}

impl<'a> Planner<'a> {
    fn new(placement: &Placement, candidates: &'a Candidates, options: Options) -> Self {
        let mut load: BTreeMap<id::Process, usize> = BTreeMap::new();
        for replica in placement.shards.iter().flat_map(Assignment::all) {
            *load.entry(replica.process.clone()).or_default() += 1;
        }
        let learning = placement.shards.iter().map(|s| s.learners.len()).sum();
        Self {
            candidates,
            options,
            load,
            learning,
        }
    }

    fn next(&mut self, shard: id::Shard, current: &Assignment) -> Option<Assignment> {
        let Some(primary) = &current.primary else {
            return self.fresh(shard, current);
        };
        if current.full().all(|replica| self.is_gone(replica)) {
            return self.fresh(shard, current);
        }
        let mut next = current.clone();
        next.epoch += 1;
        if !self.is_live(primary) {
            self.promote(&mut next)?;
        }
        self.drop_gone(&mut next);
        self.drop_silent(&mut next);
        self.admit_learned(shard, current, &mut next);
        self.hand_over(&mut next);
        self.retire_leaving(&mut next);
        self.add_learner(shard, &mut next);
        next.life = self.life_of(&next);
        if next.life != current.life || next.primary != current.primary {
            next.since = next.epoch;
        }
        let changed = next.life != current.life
            || next.primary != current.primary
            || next.backups != current.backups
            || next.learners != current.learners;
        changed.then_some(next)
    }

    /// Starts a shard without state: it is new, or every life that held it is known to be over.
    fn fresh(&mut self, shard: id::Shard, current: &Assignment) -> Option<Assignment> {
        let mut next = Assignment {
            epoch: current.epoch + 1,
            origin: current.epoch + 1,
            ..Assignment::default()
        };
        while next.full().count() < self.options.replicas {
            let Some(replica) = self.choose(shard, &next) else {
                break;
            };
            match next.primary {
                None => next.primary = Some(replica),
                Some(_) => next.backups.push(replica),
            }
        }
        next.life = self.life_of(&next);
        next.since = next.epoch;
        next.primary.is_some().then_some(next)
    }

    /// The life of the primary's process, as far as it is known.
    fn life_of(&self, next: &Assignment) -> id::Incarnation {
        next.primary
            .as_ref()
            .and_then(|primary| self.candidates.get(&primary.process))
            .map_or(next.life, |candidate| candidate.life)
    }

    /// Makes a live backup the primary; without one, the shard waits for a replica to return. The
    /// old primary becomes a backup: it may still be needed.
    fn promote(&self, next: &mut Assignment) -> Option<()> {
        let heir = next
            .backups
            .iter()
            .position(|backup| self.is_live(backup))?;
        let heir = next.backups.remove(heir);
        next.backups.extend(next.primary.replace(heir));
        Some(())
    }

    /// Drops the replicas whose state is known to be lost.
    fn drop_gone(&mut self, next: &mut Assignment) {
        next.backups.retain(|backup| !self.is_gone(backup));
        let before = next.learners.len();
        next.learners.retain(|learner| self.is_live(learner));
        self.learning -= before - next.learners.len();
    }

    /// Drops silent backups, but not the last that others could replace: a shard would rather wait
    /// for its learner than go on with a single replica, whose loss would be for good. Others that
    /// are silent too count, for then it may be this instance that is cut off.
    fn drop_silent(&self, next: &mut Assignment) {
        let live = next.full().filter(|replica| self.is_live(replica)).count();
        let others = self
            .candidates
            .keys()
            .any(|process| !next.involves(process));
        let replaceable = others || !next.learners.is_empty();
        let floor = if replaceable {
            FEWEST.min(self.options.replicas)
        } else {
            1
        };
        let mut kept = floor.saturating_sub(live);
        next.backups.retain(|backup| {
            if self.is_live(backup) {
                return true;
            }
            let keep = kept > 0;
            kept = kept.saturating_sub(1);
            keep
        });
    }

    /// Turns learners into backups once the primary of this epoch has brought them up to date.
    fn admit_learned(&mut self, shard: id::Shard, current: &Assignment, next: &mut Assignment) {
        if next.primary != current.primary {
            return;
        }
        let learned = next.primary.as_ref().is_some_and(|primary| {
            self.candidates
                .get(&primary.process)
                .is_some_and(|c| c.learned.contains(&(shard, current.epoch)))
        });
        if learned {
            self.learning -= next.learners.len();
            next.backups.append(&mut next.learners);
        }
    }

    /// Swaps a leaving primary with a backup that stays.
    fn hand_over(&self, next: &mut Assignment) {
        let leaving = next.primary.as_ref().is_some_and(|p| self.is_leaving(p));
        let heir = next.backups.iter().position(|b| !self.is_leaving(b));
        if let (true, Some(heir)) = (leaving, heir)
            && let Some(primary) = next.primary.replace(next.backups[heir].clone())
        {
            next.backups[heir] = primary;
        }
    }

    /// Releases leaving backups as soon as enough others hold the shard.
    fn retire_leaving(&self, next: &mut Assignment) {
        let stays = self
            .candidates
            .values()
            .filter(|candidate| !candidate.leaving && !candidate.silent)
            .count();
        let wanted = self.options.replicas.min(stays);
        let staying = next.full().filter(|r| !self.is_leaving(r)).count();
        if staying >= wanted && staying > 0 {
            next.backups.retain(|backup| !self.is_leaving(backup));
        }
    }

    fn add_learner(&mut self, shard: id::Shard, next: &mut Assignment) {
        let staying = next
            .all()
            .filter(|replica| self.is_live(replica) && !self.is_leaving(replica))
            .count();
        if staying >= self.options.replicas || self.learning >= self.options.learning {
            return;
        }
        if let Some(replica) = self.choose(shard, next) {
            next.learners.push(replica);
            self.learning += 1;
        }
    }

    /// Takes the best process for one more replica.
    fn choose(&mut self, shard: id::Shard, next: &Assignment) -> Option<Replica> {
        let replica = self.best(shard, next)?;
        *self.load.entry(replica.process.clone()).or_default() += 1;
        Some(replica)
    }

    /// The best is in a data centre not used yet if possible, then has least, then is first by
    /// rendezvous hash.
    fn best(&self, shard: id::Shard, next: &Assignment) -> Option<Replica> {
        let used: Vec<&id::DataCentre> = next
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
                let crowd = used
                    .iter()
                    .filter(|dc| **dc == &candidate.data_centre)
                    .count();
                let load = self.load.get(*process).copied().unwrap_or_default();
                (crowd, load, stable_hash(&format!("{shard}/{process}")))
            })
            .map(|(process, candidate)| Replica {
                process: process.clone(),
                incarnation: candidate.incarnation,
            })
    }

    fn is_live(&self, replica: &Replica) -> bool {
        self.candidates
            .get(&replica.process)
            .is_some_and(|c| c.incarnation == replica.incarnation && !c.silent)
    }

    /// Tells whether the process runs again without the state that the replica had.
    fn is_gone(&self, replica: &Replica) -> bool {
        self.candidates
            .get(&replica.process)
            .is_some_and(|candidate| candidate.incarnation != replica.incarnation)
    }

    fn is_leaving(&self, replica: &Replica) -> bool {
        self.candidates
            .get(&replica.process)
            .is_some_and(|candidate| candidate.leaving)
    }
}
