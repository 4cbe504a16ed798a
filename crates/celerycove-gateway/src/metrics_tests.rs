//! Tests of what is exported.

use super::Metrics;
use crate::{
    memory::{Account, Budget, Part},
    setup::Role,
};

/// A process that exceeded its memory limit left no trace of what had held it.
#[test]
fn each_part_is_exported_with_its_limit_and_the_resident_memory() {
    let metrics = Metrics::new().expect("metrics");
    let budget = Budget::new(88_000_000, Role::Control).expect("a budget");
    let account = Account::new(budget);
    metrics.set_account(account.clone());
    account.set(Part::Log, 123);
    let room = account.try_reserve(Part::SendQueues, 45).expect("room");
    let exported = || String::from_utf8(metrics.encode().expect("text")).expect("text");
    // The scope of the instruments is among the labels.
    let value = |text: &str, name: &str, part: &str| -> Option<usize> {
        let mut lines = text.lines().filter(|line| !line.starts_with('#'));
        let line = lines
            .find(|line| line.split(['{', ' ']).next() == Some(name) && line.contains(part))?;
        line.rsplit(' ').next()?.parse().ok()
    };
    let text = exported();
    let used = |text: &str, part: &str| value(text, "celerycove_memory_bytes", part);
    assert_eq!(used(&text, "part=\"log\""), Some(123));
    assert_eq!(used(&text, "part=\"send_queues\""), Some(45));
    assert_eq!(used(&text, "part=\"caller_bodies\""), None);
    let limit = |part: &str| value(&text, "celerycove_memory_limit_bytes", part);
    assert_eq!(limit("part=\"log\""), Some(account.limit(Part::Log)));
    assert_eq!(limit("part=\"total\""), Some(88_000_000));
    let resident = value(&text, "celerycove_resident_bytes", "");
    assert!(resident.is_some_and(|bytes| bytes > 1_000_000));
    drop(room);
    assert_eq!(used(&exported(), "part=\"send_queues\""), Some(0));
}

/// Operators look for a bad version by these names.
#[test]
fn requests_and_bad_answers_of_a_rollout_are_exported_by_side() {
    let metrics = Metrics::new().expect("metrics");
    metrics.record_rollout("app", "old", 90, 1);
    metrics.record_rollout("app", "new", 10, 4);
    metrics.record_rollout("app", "new", 5, 0);
    metrics.record_rollout_share("app", 0.125);
    let text = String::from_utf8(metrics.encode().expect("text")).expect("text");
    let value = |name: &str, side: &str| -> Option<f64> {
        let mut lines = text.lines().filter(|line| line.starts_with(name));
        let line = lines.find(|line| line.contains("service=\"app\"") && line.contains(side))?;
        line.rsplit(' ').next()?.parse().ok()
    };
    let expected = [("old", 90.0, 1.0), ("new", 15.0, 4.0)];
    for (side, requests, bad) in expected {
        let side = format!("side=\"{side}\"");
        assert_eq!(value("celerycove_rollout_requests", &side), Some(requests));
        assert_eq!(value("celerycove_rollout_bad", &side), Some(bad));
    }
    assert_eq!(value("celerycove_rollout_share", ""), Some(0.125));
}
