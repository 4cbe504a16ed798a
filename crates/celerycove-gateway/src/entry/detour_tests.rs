//! The way to a leader that does not reply.

use std::time::Duration;

use celerycove_types::{Timestamp, id};

use super::{DETOUR_TIME, Detour, Target};

const NOW: Timestamp = Duration::from_secs(100);

fn names(names: &[&str]) -> Vec<id::Process> {
    names.iter().map(|name| id::Process::from(*name)).collect()
}

#[test]
fn a_leader_behind_a_cut_is_reached_through_each_of_the_others_until_one_works() {
    let known = names(&["a", "b", "c"]);
    let mut detour = Detour::default();
    let target = |detour: &Detour, now| detour.target(now, Some(&known[1]), &known, &[]);
    assert_eq!(target(&detour, NOW), Some(Target::Direct("b".into())));
    detour.avoid(NOW, &known[1]);
    assert_eq!(target(&detour, NOW), Some(Target::Via("a".into())));
    assert_eq!(target(&detour, NOW), Some(Target::Via("a".into())));
    detour.record_failure();
    assert_eq!(target(&detour, NOW), Some(Target::Via("c".into())));
    let later = NOW + DETOUR_TIME;
    assert_eq!(target(&detour, later), Some(Target::Direct("b".into())));
}

#[test]
fn a_new_leader_is_asked_directly() {
    let known = names(&["a", "b", "c"]);
    let mut detour = Detour::default();
    detour.avoid(NOW, &known[1]);
    let target = detour.target(NOW, Some(&known[2]), &known, &[]);
    assert_eq!(target, Some(Target::Direct("c".into())));
}

#[test]
fn without_a_known_leader_the_instances_are_asked_in_turn() {
    let known = names(&["a", "b"]);
    let mut detour = Detour::default();
    for name in ["a", "b", "a"] {
        let target = detour.target(NOW, None, &known, &[]);
        assert_eq!(target, Some(Target::Direct(name.into())));
        detour.record_failure();
    }
    assert_eq!(detour.target(NOW, None, &[], &[]), None);
}

#[test]
fn a_leader_without_others_is_asked_directly_again() {
    let known = names(&["a"]);
    let mut detour = Detour::default();
    detour.avoid(NOW, &known[0]);
    let target = detour.target(NOW, Some(&known[0]), &known, &[]);
    assert_eq!(target, Some(Target::Direct("a".into())));
}

/// Five stores of many take part in the log; the others know no leader.
#[test]
fn members_of_the_log_are_tried_before_the_stores_that_stand_by() {
    let members = names(&["m1", "m2", "m3", "m4", "m5"]);
    let others: Vec<id::Process> = (0..31).map(|n| format!("s{n}").as_str().into()).collect();
    let mut detour = Detour::default();
    let mut tried = Vec::new();
    for _ in 0..40 {
        match detour.target(NOW, None, &members, &others) {
            Some(Target::Direct(store)) => tried.push(store),
            other => panic!("{other:?}"),
        }
        detour.record_failure();
    }
    let at_members = tried.iter().filter(|store| members.contains(store));
    assert_eq!(at_members.count(), 30);
    assert!(members.iter().all(|member| tried[..7].contains(member)));
    // Members that were all replaced are found among the others.
    assert_eq!(
        tried.iter().filter(|store| others.contains(store)).count(),
        10
    );
}
