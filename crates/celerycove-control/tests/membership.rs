//! Changes of a log's members, one at a time.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use celerycove_control::{
    log::Members,
    membership::{self, Candidate, Options, founders},
};

const OPTIONS: Options = Options {
    target: 3,
    silence: Duration::from_secs(2),
};

fn members(names: &[&str]) -> Members {
    names.iter().map(|name| (*name).into()).collect()
}

fn candidates(of: &[(&str, &str, u64)]) -> BTreeMap<celerycove_types::id::Process, Candidate> {
    of.iter()
        .map(|(name, data_centre, silent)| {
            let candidate = Candidate {
                data_centre: (*data_centre).into(),
                silent: Duration::from_secs(*silent),
                retiring: false,
            };
            ((*name).into(), candidate)
        })
        .collect()
}

/// Plans where all members have a vote.
fn plan(
    me: &celerycove_types::id::Process,
    before: &Members,
    known: &BTreeMap<celerycove_types::id::Process, Candidate>,
    options: Options,
) -> Option<Members> {
    membership::plan(me, before, before, known, options)
}

#[test]
fn a_lost_member_is_not_removed_while_another_has_no_vote() {
    let known = candidates(&[("a", "x", 0), ("b", "y", 0), ("c", "z", 9), ("d", "z", 0)]);
    let before = members(&["a", "b", "c"]);
    let plan =
        |voters: &[&str]| membership::plan(&"a".into(), &before, &members(voters), &known, OPTIONS);
    assert_eq!(plan(&["a", "c"]), None, "b lost its disk just now");
    assert_eq!(plan(&["a", "b", "c"]), Some(members(&["a", "b"])));
}

#[test]
fn a_lost_member_stays_until_someone_can_take_its_place() {
    let known = candidates(&[("a", "x", 0), ("b", "y", 0), ("c", "z", 9)]);
    let before = members(&["a", "b", "c"]);
    assert_eq!(plan(&"a".into(), &before, &known, OPTIONS), None);
}

#[test]
fn a_lost_member_goes_before_its_successor_comes() {
    let known = candidates(&[("a", "x", 0), ("b", "y", 0), ("c", "z", 9), ("d", "z", 0)]);
    let before = members(&["a", "b", "c"]);
    let then = plan(&"a".into(), &before, &known, OPTIONS).expect("a change");
    assert_eq!(then, members(&["a", "b"]));
    let last = plan(&"a".into(), &then, &known, OPTIONS).expect("a change");
    assert_eq!(last, members(&["a", "b", "d"]));
    assert_eq!(plan(&"a".into(), &last, &known, OPTIONS), None);
}

#[test]
fn a_short_silence_moves_nobody() {
    let known = candidates(&[("a", "x", 0), ("b", "y", 1), ("c", "z", 0), ("d", "z", 0)]);
    assert_eq!(
        plan(&"a".into(), &members(&["a", "b", "c"]), &known, OPTIONS),
        None
    );
}

#[test]
fn a_retiring_member_goes_after_its_successor_came() {
    let mut known = candidates(&[("a", "x", 0), ("b", "y", 0), ("c", "z", 0), ("d", "z", 0)]);
    known.get_mut("c").expect("known").retiring = true;
    let before = members(&["a", "b", "c"]);
    let then = plan(&"a".into(), &before, &known, OPTIONS).expect("a change");
    assert_eq!(then, members(&["a", "b", "c", "d"]));
    let last = plan(&"a".into(), &then, &known, OPTIONS).expect("a change");
    assert_eq!(last, members(&["a", "b", "d"]));
}

#[test]
fn members_spread_over_data_centres() {
    let known = candidates(&[("a", "x", 0), ("b", "x", 0), ("c", "x", 0), ("d", "y", 0)]);
    let before = members(&["a", "b", "c"]);
    let then = plan(&"a".into(), &before, &known, OPTIONS).expect("a change");
    assert_eq!(then, members(&["a", "b", "c", "d"]));
    let last = plan(&"a".into(), &then, &known, OPTIONS).expect("a change");
    assert!(last.contains("d") && last.contains("a") && last.len() == 3);
}

#[test]
fn more_instances_than_needed_stand_by() {
    let known = candidates(&[("a", "w", 0), ("b", "x", 0), ("c", "y", 0), ("d", "z", 0)]);
    assert_eq!(
        plan(&"a".into(), &members(&["a", "b", "c"]), &known, OPTIONS),
        None
    );
}

fn there(of: &[(&str, &str)]) -> BTreeMap<celerycove_types::id::Process, Arc<str>> {
    let pairs = of.iter();
    pairs
        .map(|(name, data_centre)| ((*name).into(), (*data_centre).into()))
        .collect()
}

#[test]
fn the_first_members_are_spread_over_data_centres() {
    let there = there(&[
        ("a1", "x"),
        ("a2", "x"),
        ("a3", "x"),
        ("b1", "y"),
        ("b2", "y"),
        ("c1", "z"),
    ]);
    assert_eq!(founders(&there, 3), members(&["a1", "b1", "c1"]));
    assert_eq!(
        founders(&there, 5),
        members(&["a1", "a2", "b1", "b2", "c1"])
    );
}

#[test]
fn the_first_members_are_an_odd_number() {
    let four = there(&[("a", "w"), ("b", "x"), ("c", "y"), ("d", "z")]);
    assert_eq!(founders(&four, 5), members(&["a", "b", "c"]));
    let two = there(&[("a", "x"), ("b", "y")]);
    assert_eq!(founders(&two, 3), members(&["a", "b"]));
}
