//! Bounds on a table. What one organisation's requests fill is taken from that organisation first.

use std::collections::BTreeMap;

use celerycove_types::{Map, id};

use crate::{
    Digest,
    evidence::Server,
    table::{CrashRecord, RunRecord},
};

/// Runs in a table. With the standings of their requests and targets, and the overhead of the
/// collections, about 3 MB.
pub(crate) const MAX_RUNS: usize = 4_096;
/// Runs of one crash: those that a large engine runs and queues.
pub(crate) const MAX_RUNS_PER_CRASH: usize = 128;
/// Vindications in a table; likewise trials.
pub(crate) const MAX_EVENTS: usize = 4_096;
/// Runs that are removed at once from a full table, so that not each new one has to look for them.
const EVICTED: usize = MAX_RUNS / 16;

type Crashes = BTreeMap<Server, CrashRecord>;

fn largest(counts: &Map<id::Organisation, usize>) -> Option<(id::Organisation, usize)> {
    let counts = counts.iter();
    let largest = counts.max_by_key(|(organisation, count)| (**count, (*organisation).clone()));
    largest.map(|(organisation, count)| (organisation.clone(), *count))
}

/// Adds a run to a crash and returns whether it was added. In a full one it replaces a run of the
/// organisation that has the most, if that has more than its own.
pub(crate) fn insert(crash: &mut CrashRecord, digest: Digest, run: RunRecord) -> bool {
    if crash.runs.len() >= MAX_RUNS_PER_CRASH {
        let mut counts = Map::default();
        for known in crash.runs.values() {
            *counts.entry(known.organisation.clone()).or_default() += 1;
        }
        let own = counts.get(&run.organisation).copied().unwrap_or_default();
        let Some((organisation, _)) = largest(&counts).filter(|(_, most)| *most > own + 1) else {
            return false;
        };
        let mut runs = crash.runs.iter();
        let replaced = runs.find(|(_, known)| known.organisation == organisation);
        let Some(replaced) = replaced.map(|(digest, _)| *digest) else {
            return false;
        };
        crash.runs.remove(&replaced);
    }
    crash.runs.insert(digest, run);
    true
}

/// Shrinks a table that is too large: of the organisation with the most runs, those requests go first
/// that ran at the fewest crashes, and of these the oldest.
pub(crate) fn shrink(crashes: &mut Crashes) {
    while run_count(crashes) > MAX_RUNS {
        let mut counts = Map::default();
        let mut crashes_of: Map<Digest, u32> = Map::default();
        for (digest, run) in crashes.values().flat_map(|crash| &crash.runs) {
            *counts.entry(run.organisation.clone()).or_default() += 1;
            *crashes_of.entry(*digest).or_default() += 1;
        }
        let Some((organisation, _)) = largest(&counts) else {
            return;
        };
        let mut candidates: Vec<_> = crashes
            .iter()
            .flat_map(|(server, crash)| {
                crash
                    .runs
                    .iter()
                    .filter(|(_, run)| run.organisation == organisation)
                    .map(move |(digest, _)| (*digest, crash.at, server.clone()))
            })
            .map(|(digest, at, server)| (crashes_of[&digest], at, server, digest))
            .collect();
        candidates.sort_unstable();
        for (_, _, server, digest) in candidates.into_iter().take(EVICTED) {
            if let Some(crash) = crashes.get_mut(&server) {
                crash.runs.remove(&digest);
            }
        }
        crashes.retain(|_, crash| !crash.runs.is_empty());
    }
}

pub(crate) fn run_count(crashes: &Crashes) -> usize {
    crashes.values().map(|crash| crash.runs.len()).sum()
}
