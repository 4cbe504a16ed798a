//! Budgets and chains under concurrent, repeated, reordered and missing commands.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use celerycove_turn::{Begin, Command, End, Keep, Outcome, Turns};
use quickcheck::quickcheck;

const RETENTION: Duration = Duration::from_mins(1);

fn begin(at: u64, request: &str, previous: Option<&str>, max_tokens: u64) -> Command {
    Command::Begin(Begin {
        at,
        request: request.into(),
        organisation: "zilina".into(),
        budget: Some(("p1".into(), 100)),
        max_tokens,
        previous: previous.map(Arc::from),
        holds_chain: false,
        retention: RETENTION,
    })
}

fn end(at: u64, request: &str, spent: u64, keep: Option<(Option<&str>, &str)>) -> Command {
    Command::End(End {
        at,
        request: request.into(),
        organisation: "zilina".into(),
        program: Some("p1".into()),
        spent,
        keep: keep.map(|(previous, text)| Keep {
            previous: previous.map(Arc::from),
            text: Bytes::copy_from_slice(text.as_bytes()),
        }),
        retention: RETENTION,
    })
}

fn chain_texts(outcome: &Outcome) -> Vec<&[u8]> {
    match outcome {
        Outcome::Begun(chain) => chain.iter().map(AsRef::as_ref).collect(),
        other => panic!("expected Outcome::Begun, got {other:?}"),
    }
}

#[test]
fn concurrent_turns_of_a_program_share_one_budget() {
    let mut turns = Turns::default();
    assert_eq!(
        turns.apply(&begin(0, "a", None, 60)),
        Outcome::Begun(vec![])
    );
    let refused = Outcome::OverBudget {
        spent: 0,
        reserved: 60,
    };
    assert_eq!(turns.apply(&begin(0, "b", None, 60)), refused);
    turns.apply(&end(1, "a", 20, None));
    assert_eq!(
        turns.apply(&begin(2, "b", None, 60)),
        Outcome::Begun(vec![])
    );
}

#[test]
fn a_turn_without_an_end_keeps_its_reservation() {
    let mut turns = Turns::default();
    turns.apply(&begin(0, "lost", None, 70));
    let refused = Outcome::OverBudget {
        spent: 0,
        reserved: 70,
    };
    assert_eq!(turns.apply(&begin(59_000, "next", None, 31)), refused);
    assert_eq!(
        turns.apply(&begin(59_001, "small", None, 30)),
        Outcome::Begun(vec![])
    );
}

#[test]
fn repeated_and_delayed_commands_change_nothing() {
    let mut turns = Turns::default();
    turns.apply(&begin(0, "a", None, 50));
    turns.apply(&begin(0, "a", None, 50));
    turns.apply(&end(1, "a", 50, None));
    turns.apply(&end(1, "a", 50, None));
    // A duplicate `Begin` that is delivered after the end reserves nothing.
    turns.apply(&begin(0, "a", None, 50));
    assert_eq!(
        turns.apply(&begin(2, "b", None, 50)),
        Outcome::Begun(vec![])
    );
}

#[test]
fn a_begin_that_is_applied_after_its_end_reserves_nothing() {
    let mut turns = Turns::default();
    turns.apply(&end(0, "a", 0, None));
    turns.apply(&begin(1, "a", None, 90));
    assert_eq!(
        turns.apply(&begin(2, "b", None, 90)),
        Outcome::Begun(vec![])
    );
}

#[test]
fn chains_can_branch_and_return_the_oldest_text_first() {
    let mut turns = Turns::default();
    turns.apply(&end(0, "t1", 1, Some((None, "one"))));
    turns.apply(&end(1, "t2", 1, Some((Some("t1"), "two"))));
    turns.apply(&end(1, "t3", 1, Some((Some("t1"), "three"))));
    let first_branch = turns.apply(&begin(2, "x", Some("t2"), 1));
    let second_branch = turns.apply(&begin(2, "y", Some("t3"), 1));
    assert_eq!(chain_texts(&first_branch), [b"one".as_slice(), b"two"]);
    assert_eq!(chain_texts(&second_branch), [b"one".as_slice(), b"three"]);
    assert_eq!(turns.check(), Ok(()));
}

#[test]
fn a_turn_of_another_organisation_is_unknown() {
    let mut turns = Turns::default();
    turns.apply(&end(0, "t1", 1, Some((None, "one"))));
    let Command::Begin(mut foreign) = begin(1, "x", Some("t1"), 1) else {
        unreachable!()
    };
    foreign.organisation = "martin".into();
    assert_eq!(turns.apply(&Command::Begin(foreign)), Outcome::NoTurn);
}

#[test]
fn continuing_a_chain_extends_the_retention_of_its_oldest_turn() {
    let mut turns = Turns::default();
    turns.apply(&end(0, "t0", 1, Some((None, "0"))));
    for n in 1..6_u64 {
        let (request, previous) = (format!("t{n}"), format!("t{}", n - 1));
        turns.apply(&end(n * 50_000, &request, 1, Some((Some(&previous), "n"))));
    }
    let outcome = turns.apply(&begin(300_000, "x", Some("t5"), 1));
    assert_eq!(chain_texts(&outcome).len(), 6);
    assert_eq!(
        turns.apply(&begin(500_000, "y", Some("t5"), 1)),
        Outcome::NoTurn
    );
}

#[test]
fn a_leader_whose_clock_lags_does_not_expire_turns_early() {
    let mut turns = Turns::default();
    turns.apply(&end(100_000, "t1", 1, Some((None, "one"))));
    turns.apply(&begin(40_000, "x", None, 1));
    turns.apply(&begin(159_999, "y", None, 1));
    assert_eq!(
        chain_texts(&turns.apply(&begin(159_999, "z", Some("t1"), 1))).len(),
        1
    );
}

quickcheck! {
    /// Spent and reserved tokens stay within the budget for any order of begins and ends.
    fn spent_and_reserved_stay_within_budget(commands: Vec<(bool, u8, u8)>) -> bool {
        let mut turns = Turns::default();
        let mut granted = std::collections::BTreeMap::new();
        let mut spent = 0;
        for (is_begin, turn, tokens) in commands {
            let (request, tokens) = (format!("t{}", turn % 16), u64::from(tokens % 40));
            if is_begin && !granted.contains_key(&request) {
                if turns.apply(&begin(0, &request, None, tokens)) == Outcome::Begun(vec![]) {
                    granted.insert(request, Some(tokens));
                }
            } else if let Some(Some(reserved)) = granted.get(&request).copied() {
                turns.apply(&end(0, &request, reserved, None));
                spent += reserved;
                granted.insert(request, None);
            }
        }
        let outstanding: u64 = granted.values().flatten().sum();
        spent + outstanding <= 100
    }
}

/// Guards against sums of token counts that leave their range: the next turn would fit any budget.
#[test]
fn a_reservation_near_the_largest_number_leaves_no_budget() {
    let mut turns = Turns::default();
    turns.apply(&begin(0, "a", None, 60));
    for (request, max_tokens) in [("b", u64::MAX), ("c", u64::MAX - 59)] {
        let refused = Outcome::OverBudget {
            spent: 0,
            reserved: 60,
        };
        assert_eq!(turns.apply(&begin(0, request, None, max_tokens)), refused);
    }
}
