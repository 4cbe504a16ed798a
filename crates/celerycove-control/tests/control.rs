//! Plans of shards.

use celerycove_control::{
    Placement,
    placement::{
        apply, create,
        plan::{Candidate, Candidates, Options, plan},
    },
};

fn candidates(count: usize) -> Candidates {
    (0..count)
        .map(|n| {
            let candidate = Candidate {
                incarnation: 1,
                life: 1,
                data_centre: format!("dc{}", n % 3).into(),
                silent: false,
                leaving: false,
                learned: Vec::new(),
            };
            (format!("h{n}").into(), candidate)
        })
        .collect()
}

fn placed(shards: u32, candidates: &Candidates) -> Placement {
    let mut placement = Placement::default();
    apply(&mut placement, &create(shards));
    step(&mut placement, candidates);
    placement
}

fn step(placement: &mut Placement, candidates: &Candidates) -> usize {
    let changes = plan(placement, candidates, Options::default());
    apply(placement, &changes)
}

/// Lets primaries report that their learners are up to date.
fn learn(placement: &Placement, candidates: &mut Candidates) {
    for (shard, assignment) in (0..).zip(&placement.shards) {
        if let Some(primary) = &assignment.primary
            && let Some(candidate) = candidates.get_mut(&primary.process)
        {
            candidate.learned.retain(|(known, _)| *known != shard);
            candidate.learned.push((shard, assignment.epoch));
        }
    }
}

#[test]
fn replicas_stand_in_different_data_centres_and_share_the_load() {
    let candidates = candidates(9);
    let placement = placed(60, &candidates);
    let mut load = std::collections::BTreeMap::new();
    for assignment in &placement.shards {
        let centres: std::collections::BTreeSet<_> = assignment
            .full()
            .map(|replica| &candidates[&replica.process].data_centre)
            .collect();
        assert_eq!(centres.len(), 3, "{assignment:?}");
        for replica in assignment.full() {
            *load.entry(replica.process.clone()).or_insert(0) += 1;
        }
    }
    assert!(
        load.values().all(|count| (18..=22).contains(count)),
        "{load:?}"
    );
}

#[test]
fn a_lost_home_is_replaced_after_its_learner_has_caught_up() {
    let mut candidates = candidates(6);
    let mut placement = placed(12, &candidates);
    candidates.get_mut("h1").expect("a home").silent = true;
    step(&mut placement, &candidates);
    let serves = placement.shards.iter().all(|shard| {
        shard
            .primary
            .as_ref()
            .is_some_and(|primary| &*primary.process != "h1")
    });
    assert!(serves, "{placement:?}");
    let learning = placement
        .shards
        .iter()
        .filter(|shard| !shard.learners.is_empty())
        .count();
    assert!(learning > 0);
    let full = |placement: &Placement| placement.shards.iter().all(|s| s.full().count() == 3);
    assert!(
        !full(&placement),
        "a learner does not count before it has caught up"
    );
    learn(&placement, &mut candidates);
    step(&mut placement, &candidates);
    assert!(full(&placement), "{placement:?}");
}

#[test]
fn a_shard_waits_for_its_learner_rather_than_go_on_alone() {
    let mut candidates = candidates(7);
    let mut placement = placed(12, &candidates);
    for name in ["h0", "h1"] {
        candidates.get_mut(name).expect("a home").silent = true;
    }
    step(&mut placement, &candidates);
    let alone = placement
        .shards
        .iter()
        .find(|shard| shard.full().count() < 2);
    assert_eq!(alone, None);
    let kept = placement
        .shards
        .iter()
        .filter(|shard| shard.backups.iter().any(|b| candidates[&b.process].silent))
        .count();
    assert!(kept > 0, "no shard had lost two replicas");
    for _ in 0..3 {
        learn(&placement, &mut candidates);
        step(&mut placement, &candidates);
    }
    let silent = placement.shards.iter().any(|shard| {
        shard
            .all()
            .any(|replica| candidates[&replica.process].silent)
    });
    assert!(!silent, "{placement:?}");
}

#[test]
fn nothing_moves_while_most_are_silent() {
    let mut candidates = candidates(6);
    let mut placement = placed(12, &candidates);
    for name in ["h0", "h1", "h2", "h3"] {
        candidates.get_mut(name).expect("a home").silent = true;
    }
    assert_eq!(step(&mut placement, &candidates), 0);
}

#[test]
fn a_leaving_primary_hands_over_and_is_let_go() {
    let mut candidates = candidates(6);
    let mut placement = placed(12, &candidates);
    candidates.get_mut("h2").expect("a home").leaving = true;
    for _ in 0..4 {
        step(&mut placement, &candidates);
        learn(&placement, &mut candidates);
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
            .all(|shard| shard.full().count() == 3)
    );
}

#[test]
fn a_change_made_for_another_epoch_is_not_applied() {
    let candidates = candidates(5);
    let mut placement = placed(3, &candidates);
    let mut silent = candidates.clone();
    silent.get_mut("h0").expect("a home").silent = true;
    let stale = plan(&placement, &silent, Options::default());
    assert!(!stale.is_empty());
    assert_eq!(apply(&mut placement, &stale), stale.len());
    let before = placement.clone();
    assert_eq!(
        apply(&mut placement, &stale),
        0,
        "the same plan a second time"
    );
    assert_eq!(placement, before);
}
