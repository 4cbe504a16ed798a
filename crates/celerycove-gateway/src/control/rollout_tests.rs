//! What a control instance knows of rollouts besides the committed state.

use std::time::Duration;

use celerycove_fleet::{Fleet, Rollout, Stage};
use celerycove_types::Timestamp;

use super::Rollouts;

const SECOND: Duration = Duration::from_secs(1);
const NOW: Timestamp = Duration::from_secs(100);

fn fleet(stage: Stage, revision: u64, elapsed: Duration) -> Fleet {
    let rollout = Rollout {
        to: "v2".into(),
        from: ["v1".into()].into(),
        duration: SECOND * 12,
        revision,
        stage,
        elapsed,
    };
    Fleet {
        rollouts: [("app".into(), rollout)].into(),
        ..Fleet::default()
    }
}

/// Guards against a rollout that misses its deadline because each leader begins with the time that was
/// committed last, and against a time that runs ahead of the order.
#[test]
fn a_new_leader_counts_the_time_since_it_saw_the_committed_one() {
    let mut rollouts = Rollouts::default();
    let mut seen = |second: u32, fleet: &Fleet| {
        let now = NOW + SECOND * second;
        rollouts.note(now, fleet);
        let rollout = rollouts.with_time_passed(now, "app", &fleet.rollouts["app"]);
        rollout.elapsed
    };
    let ordered = fleet(Stage::Running, 1, Duration::ZERO);
    assert_eq!(seen(0, &ordered), Duration::ZERO);
    assert_eq!(seen(2, &ordered), SECOND * 2);
    // The commit may be late, so no more than it says has certainly passed when it arrives.
    assert_eq!(seen(3, &fleet(Stage::Running, 1, SECOND * 3)), SECOND * 3);
    assert_eq!(seen(5, &fleet(Stage::Running, 1, SECOND * 3)), SECOND * 5);
    // An older state that is read afterwards changes nothing.
    assert_eq!(seen(6, &ordered), SECOND * 6);
    // Another leader has seen more time pass.
    assert_eq!(seen(6, &fleet(Stage::Running, 1, SECOND * 8)), SECOND * 8);
    let next = fleet(Stage::Running, 2, Duration::ZERO);
    assert_eq!(seen(7, &next), Duration::ZERO, "another rollout");
    let ended = fleet(Stage::Completed, 2, SECOND);
    assert_eq!(seen(8, &ended), SECOND);
}
