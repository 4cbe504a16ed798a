//! Planning of shard assignments.

use celerycove_control::{
    Placement,
    placement::{
        apply, create_shards,
        plan::{Candidate, Candidates, Options, plan},
    },
};

fn candidates(count: usize) -> Candidates {
    (0..count)
        .map(|n| {
            let candidate = Candidate {
                state_incarnation: 1,
                process_incarnation: 1,
                data_centre: format!("dc{}", n % 3).into(),
                silent: false,
                leaving: false,
                caught_up: Vec::new(),
            };
            (format!("h{n}").into(), candidate)
        })
        .collect()
}

fn initial_placement(shards: u32, candidates: &Candidates) -> Placement {
    let mut placement = Placement::default();
    apply(&mut placement, &create_shards(shards));
    replan(&mut placement, candidates);
    placement
}

fn replan(placement: &mut Placement, candidates: &Candidates) -> usize {
    let changes = plan(placement, candidates, Options::default());
    apply(placement, &changes)
}

/// Makes every primary report that its learners have caught up in the current epoch.
fn report_learners_caught_up(placement: &Placement, candidates: &mut Candidates) {
    for (shard, assignment) in (0..).zip(&placement.shards) {
        if let Some(primary) = &assignment.primary
            && let Some(candidate) = candidates.get_mut(&primary.process)
        {
            candidate
                .caught_up
                .retain(|(reported, _)| *reported != shard);
            candidate.caught_up.push((shard, assignment.epoch));
        }
    }
}

#[test]
fn replicas_are_spread_over_data_centres_and_evenly_over_processes() {
    let candidates = candidates(9);
    let placement = initial_placement(60, &candidates);
    let mut replica_counts = std::collections::BTreeMap::new();
    for assignment in &placement.shards {
        let data_centres: std::collections::BTreeSet<_> = assignment
            .in_sync()
            .map(|replica| &candidates[&replica.process].data_centre)
            .collect();
        assert_eq!(data_centres.len(), 3, "{assignment:?}");
        for replica in assignment.in_sync() {
            *replica_counts.entry(replica.process.clone()).or_insert(0) += 1;
        }
    }
    assert!(
        replica_counts
            .values()
            .all(|count| (18..=22).contains(count)),
        "{replica_counts:?}"
    );
}

#[test]
fn a_lost_replica_is_replaced_after_its_learner_has_caught_up() {
    let mut candidates = candidates(6);
    let mut placement = initial_placement(12, &candidates);
    candidates.get_mut("h1").expect("a candidate").silent = true;
    replan(&mut placement, &candidates);
    let all_have_other_primary = placement.shards.iter().all(|shard| {
        shard
            .primary
            .as_ref()
            .is_some_and(|primary| &*primary.process != "h1")
    });
    assert!(all_have_other_primary, "{placement:?}");
    let learning_shards = placement
        .shards
        .iter()
        .filter(|shard| !shard.learners.is_empty())
        .count();
    assert!(learning_shards > 0);
    let is_complete =
        |placement: &Placement| placement.shards.iter().all(|s| s.in_sync().count() == 3);
    assert!(
        !is_complete(&placement),
        "a learner does not count before it has caught up"
    );
    report_learners_caught_up(&placement, &mut candidates);
    replan(&mut placement, &candidates);
    assert!(is_complete(&placement), "{placement:?}");
}

#[test]
fn a_shard_keeps_a_silent_backup_rather_than_a_single_replica() {
    let mut candidates = candidates(7);
    let mut placement = initial_placement(12, &candidates);
    for name in ["h0", "h1"] {
        candidates.get_mut(name).expect("a candidate").silent = true;
    }
    replan(&mut placement, &candidates);
    let single_replica = placement
        .shards
        .iter()
        .find(|shard| shard.in_sync().count() < 2);
    assert_eq!(single_replica, None);
    let shards_with_silent_backup = placement
        .shards
        .iter()
        .filter(|shard| shard.backups.iter().any(|b| candidates[&b.process].silent))
        .count();
    assert!(
        shards_with_silent_backup > 0,
        "no shard had lost two replicas"
    );
    for _ in 0..3 {
        report_learners_caught_up(&placement, &mut candidates);
        replan(&mut placement, &candidates);
    }
    let has_silent_replica = placement.shards.iter().any(|shard| {
        shard
            .all()
            .any(|replica| candidates[&replica.process].silent)
    });
    assert!(!has_silent_replica, "{placement:?}");
}

#[test]
fn nothing_changes_while_most_processes_are_silent() {
    let mut candidates = candidates(6);
    let mut placement = initial_placement(12, &candidates);
    for name in ["h0", "h1", "h2", "h3"] {
        candidates.get_mut(name).expect("a candidate").silent = true;
    }
    assert_eq!(replan(&mut placement, &candidates), 0);
}

#[test]
fn a_leaving_process_hands_over_and_loses_its_replicas() {
    let mut candidates = candidates(6);
    let mut placement = initial_placement(12, &candidates);
    candidates.get_mut("h2").expect("a candidate").leaving = true;
    for _ in 0..4 {
        replan(&mut placement, &candidates);
        report_learners_caught_up(&placement, &mut candidates);
    }
    let involved = placement
        .shards
        .iter()
        .any(|shard| shard.involves(&"h2".into()));
    assert!(!involved, "{placement:?}");
    assert!(
        placement
            .shards
            .iter()
            .all(|shard| shard.in_sync().count() == 3)
    );
}

#[test]
fn a_change_made_for_another_epoch_is_not_applied() {
    let candidates = candidates(5);
    let mut placement = initial_placement(3, &candidates);
    let mut silent = candidates.clone();
    silent.get_mut("h0").expect("a candidate").silent = true;
    let changes = plan(&placement, &silent, Options::default());
    assert!(!changes.is_empty());
    assert_eq!(apply(&mut placement, &changes), changes.len());
    let previous = placement.clone();
    assert_eq!(
        apply(&mut placement, &changes),
        0,
        "the same plan a second time"
    );
    assert_eq!(placement, previous);
}
