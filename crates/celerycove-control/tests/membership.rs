//! Planning of membership changes, one member at a time.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use celerycove_control::{
    log::Members,
    membership::{self, Candidate, Current, Learner, Options, Plan, initial_members},
};

const OPTIONS: Options = Options {
    target: 3,
    silence_timeout: Duration::from_secs(2),
};

fn members(names: &[&str]) -> Members {
    names.iter().map(|name| (*name).into()).collect()
}

/// Builds candidates from names, data centres and seconds since the last contact.
fn candidates(list: &[(&str, &str, u64)]) -> BTreeMap<celerycove_types::id::Process, Candidate> {
    list.iter()
        .map(|(name, data_centre, silent_s)| {
            let candidate = Candidate {
                data_centre: (*data_centre).into(),
                silent_for: Duration::from_secs(*silent_s),
                retiring: false,
            };
            ((*name).into(), candidate)
        })
        .collect()
}

/// Plans the next step where all members may vote.
fn plan_step(
    own_id: &celerycove_types::id::Process,
    members: &Members,
    learner: Option<(&str, bool)>,
    candidates: &BTreeMap<celerycove_types::id::Process, Candidate>,
) -> Plan {
    let learner = learner.map(|(name, caught_up)| Learner {
        process: name.into(),
        caught_up,
    });
    let mut voters = members.clone();
    let caught_up = learner.iter().filter(|learner| learner.caught_up);
    voters.extend(caught_up.map(|learner| learner.process.clone()));
    let current = Current {
        members,
        voters: &voters,
        learner: learner.as_ref(),
    };
    membership::plan(own_id, current, candidates, OPTIONS)
}

/// Plans the next change, once the instance to add, if any, is caught up.
fn plan(
    own_id: &celerycove_types::id::Process,
    members: &Members,
    candidates: &BTreeMap<celerycove_types::id::Process, Candidate>,
) -> Option<Members> {
    let first = plan_step(own_id, members, None, candidates);
    let learner = first
        .learner
        .as_ref()
        .map(|learner| (learner.as_ref(), true));
    plan_step(own_id, members, learner, candidates).members
}

#[test]
fn no_change_is_made_while_too_many_members_may_not_vote() {
    let candidates = candidates(&[("a", "x", 0), ("b", "y", 0), ("c", "z", 9), ("d", "z", 0)]);
    let plan = |current: &[&str], voters: &[&str]| {
        let learner = Learner {
            process: "d".into(),
            caught_up: true,
        };
        let (current, voters) = (members(current), members(voters));
        let current = Current {
            members: &current,
            voters: &voters,
            learner: Some(&learner),
        };
        membership::plan(&"a".into(), current, &candidates, OPTIONS).members
    };
    let four = ["a", "b", "c", "d"];
    assert_eq!(
        plan(&["a", "b", "c"], &["a", "c", "d"]),
        None,
        "b has lost its disk"
    );
    assert_eq!(
        plan(&["a", "b", "c"], &["a", "b", "d"]),
        Some(members(&four))
    );
    assert_eq!(plan(&four, &["a", "c"]), None, "b and d have lost theirs");
    assert_eq!(plan(&four, &["a", "b"]), Some(members(&["a", "b", "d"])));
}

#[test]
fn a_lost_member_is_kept_without_a_successor() {
    let candidates = candidates(&[("a", "x", 0), ("b", "y", 0), ("c", "z", 9)]);
    let current = members(&["a", "b", "c"]);
    assert_eq!(
        plan_step(&"a".into(), &current, None, &candidates),
        Plan::default()
    );
}

#[test]
fn a_lost_member_is_removed_after_its_successor_is_added() {
    let candidates = candidates(&[("a", "x", 0), ("b", "y", 0), ("c", "z", 9), ("d", "z", 0)]);
    let current = members(&["a", "b", "c"]);
    let first_change = plan(&"a".into(), &current, &candidates).expect("a change");
    assert_eq!(first_change, members(&["a", "b", "c", "d"]));
    let second_change = plan(&"a".into(), &first_change, &candidates).expect("a change");
    assert_eq!(second_change, members(&["a", "b", "d"]));
    assert_eq!(plan(&"a".into(), &second_change, &candidates), None);
}

/// Guards against a member without a vote: until it has one, fewer disks may be lost than before.
#[test]
fn a_successor_is_added_once_it_is_caught_up() {
    let candidates = candidates(&[("a", "x", 0), ("b", "y", 0), ("c", "z", 9), ("d", "z", 0)]);
    let current = members(&["a", "b", "c"]);
    for learner in [None, Some(("d", false))] {
        let step = plan_step(&"a".into(), &current, learner, &candidates);
        assert_eq!(step.learner, Some("d".into()));
        assert_eq!(step.members, None);
    }
}

#[test]
fn the_successor_of_a_member_that_falls_silent_is_prepared() {
    let current = members(&["a", "b", "c"]);
    let candidates = candidates(&[("a", "x", 0), ("b", "y", 1), ("c", "z", 0), ("d", "z", 0)]);
    let step = plan_step(&"a".into(), &current, None, &candidates);
    assert_eq!(step.learner, Some("d".into()));
    let step = plan_step(&"a".into(), &current, Some(("d", true)), &candidates);
    assert_eq!(step.members, None, "the silence is short");
}

#[test]
fn a_learner_is_kept_while_it_responds() {
    let current = members(&["a", "b", "c"]);
    let list = [
        ("a", "x", 0),
        ("b", "y", 0),
        ("c", "z", 9),
        ("d", "z", 0),
        ("e", "z", 0),
    ];
    let step = plan_step(
        &"a".into(),
        &current,
        Some(("e", false)),
        &candidates(&list),
    );
    assert_eq!(step.learner, Some("e".into()));
    let mut silent = list;
    silent[4].2 = 1;
    let step = plan_step(
        &"a".into(),
        &current,
        Some(("e", false)),
        &candidates(&silent),
    );
    assert_eq!(step.learner, Some("d".into()));
}

#[test]
fn a_short_silence_changes_no_members() {
    let candidates = candidates(&[("a", "x", 0), ("b", "y", 1), ("c", "z", 0), ("d", "z", 0)]);
    assert_eq!(
        plan(&"a".into(), &members(&["a", "b", "c"]), &candidates),
        None
    );
}

#[test]
fn a_retiring_member_is_removed_after_its_successor_is_added() {
    let mut candidates = candidates(&[("a", "x", 0), ("b", "y", 0), ("c", "z", 0), ("d", "z", 0)]);
    candidates.get_mut("c").expect("a candidate").retiring = true;
    let current = members(&["a", "b", "c"]);
    let first_change = plan(&"a".into(), &current, &candidates).expect("a change");
    assert_eq!(first_change, members(&["a", "b", "c", "d"]));
    let second_change = plan(&"a".into(), &first_change, &candidates).expect("a change");
    assert_eq!(second_change, members(&["a", "b", "d"]));
}

#[test]
fn members_are_rebalanced_over_data_centres() {
    let candidates = candidates(&[("a", "x", 0), ("b", "x", 0), ("c", "x", 0), ("d", "y", 0)]);
    let current = members(&["a", "b", "c"]);
    let first_change = plan(&"a".into(), &current, &candidates).expect("a change");
    assert_eq!(first_change, members(&["a", "b", "c", "d"]));
    let second_change = plan(&"a".into(), &first_change, &candidates).expect("a change");
    assert!(second_change.contains("d") && second_change.contains("a") && second_change.len() == 3);
}

#[test]
fn instances_beyond_the_target_do_not_become_members() {
    let candidates = candidates(&[("a", "w", 0), ("b", "x", 0), ("c", "y", 0), ("d", "z", 0)]);
    assert_eq!(
        plan(&"a".into(), &members(&["a", "b", "c"]), &candidates),
        None
    );
}

/// Builds a map from names to data centres.
fn available(list: &[(&str, &str)]) -> BTreeMap<celerycove_types::id::Process, Arc<str>> {
    let pairs = list.iter();
    pairs
        .map(|(name, data_centre)| ((*name).into(), (*data_centre).into()))
        .collect()
}

#[test]
fn the_first_members_are_spread_over_data_centres() {
    let available = available(&[
        ("a1", "x"),
        ("a2", "x"),
        ("a3", "x"),
        ("b1", "y"),
        ("b2", "y"),
        ("c1", "z"),
    ]);
    assert_eq!(
        initial_members(&available, None, 3),
        members(&["a1", "b1", "c1"])
    );
    assert_eq!(
        initial_members(&available, None, 5),
        members(&["a1", "a2", "b1", "b2", "c1"])
    );
}

#[test]
fn the_first_members_are_odd_in_number_if_more_than_two() {
    let four = available(&[("a", "w"), ("b", "x"), ("c", "y"), ("d", "z")]);
    assert_eq!(initial_members(&four, None, 5), members(&["a", "b", "c"]));
    let two = available(&[("a", "x"), ("b", "y")]);
    assert_eq!(initial_members(&two, None, 3), members(&["a", "b"]));
}

/// Guards against taking away an instance on which the log still depends.
#[test]
fn an_instance_may_be_taken_away_once_enough_others_hold_a_vote() {
    let is_dispensable = |current: &[&str], voters: &[&str]| {
        membership::is_dispensable(&"d".into(), &members(current), &members(voters), OPTIONS)
    };
    assert!(is_dispensable(&["a", "b", "c"], &["a", "b", "c"]));
    assert!(!is_dispensable(
        &["a", "b", "c", "d"],
        &["a", "b", "c", "d"]
    ));
    assert!(!is_dispensable(&["a", "b"], &["a", "b"]), "too few members");
    assert!(
        !is_dispensable(&["a", "b", "c"], &["a", "b"]),
        "c is not caught up, or lost"
    );
}
