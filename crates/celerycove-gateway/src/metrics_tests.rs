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
