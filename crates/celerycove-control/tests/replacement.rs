//! Replacement of members while other members lose their disks, at every step of it.

#[path = "support/disk.rs"]
mod disk;
#[path = "support/replacement.rs"]
mod replacement;

use std::time::Duration;

use crate::replacement::{Cluster, Loss, SILENCE_TIMEOUT};

/// How long after a loss the frozen instance wakes.
const WAKE_DELAY: Duration = Duration::from_millis(1_500);
/// Within this time after all instances run again there must be a leader.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// How long a replacement may take if nothing else fails.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(6);

/// What makes a replacement due.
#[derive(Debug, Clone, Copy)]
enum Cause {
    FrozenFollower,
    FrozenLeader,
    Retirement,
}

/// A replacement that has begun.
struct Replacement {
    cluster: Cluster,
    replaced: usize,
}

impl Replacement {
    fn begin(members: usize, cause: Cause) -> Self {
        let mut cluster = Cluster::new(members);
        let leader = cluster.leader().expect("a leader");
        let replaced = match cause {
            Cause::FrozenLeader => leader,
            Cause::FrozenFollower | Cause::Retirement => (leader + 1) % members,
        };
        match cause {
            Cause::Retirement => cluster.retiring = Some(replaced),
            Cause::FrozenFollower | Cause::FrozenLeader => cluster.freeze(replaced),
        }
        Self { cluster, replaced }
    }

    /// Runs until another instance has taken the member's place.
    fn complete(&mut self) -> bool {
        let replaced = self.replaced;
        self.cluster.run_until(REPLACEMENT_TIMEOUT, |cluster| {
            let members = cluster.members();
            cluster.is_settled() && members.is_some_and(|members| !members.contains(&replaced))
        })
    }

    /// Runs until all instances are back, and checks that nothing acknowledged is lost and that the log
    /// goes on.
    fn check_recovery(mut self) -> Result<(), String> {
        self.cluster
            .run_until(REPLACEMENT_TIMEOUT, |cluster| cluster.losses.is_empty());
        self.cluster.run_for(WAKE_DELAY);
        self.cluster.wake(self.replaced);
        let acknowledged = self.cluster.acknowledged;
        let goes_on = |cluster: &Cluster| cluster.acknowledged > acknowledged + 2;
        if !self.cluster.run_until(RECOVERY_TIMEOUT, goes_on) {
            return Err("no leader".to_owned());
        }
        let leader = self
            .cluster
            .leader()
            .and_then(|leader| self.cluster.node(leader));
        match leader.map(|leader| leader.state().fence) {
            Some(fence) if fence >= self.cluster.acknowledged => Ok(()),
            fence => Err(format!(
                "{fence:?} of {} are left",
                self.cluster.acknowledged
            )),
        }
    }
}

/// Loses the disks of the given instances, counted from the replaced one, after each number of steps
/// of a replacement, and returns what went wrong.
fn lose_disks_at_each_step(
    members: usize,
    cause: Cause,
    lost: &[&[usize]],
    stride: usize,
) -> Vec<String> {
    let mut undisturbed = Replacement::begin(members, cause);
    assert!(
        undisturbed.complete(),
        "{cause:?}: the member is not replaced"
    );
    let steps = undisturbed.cluster.steps;
    let runs = (0..=steps).step_by(stride);
    let runs = runs.flat_map(|after| lost.iter().map(move |lost| (after, *lost)));
    let failures = runs.filter_map(|(after, lost)| {
        let mut run = Replacement::begin(members, cause);
        // The instances beside the replaced one, the spare one included.
        let instance = |offset: &usize| (run.replaced + offset) % (members + 1);
        let losses = lost.iter().map(|offset| Loss {
            after,
            instance: instance(offset),
        });
        run.cluster.losses = losses.collect();
        let result = run.check_recovery();
        result
            .err()
            .map(|reason| format!("{lost:?} after {after} of {steps} steps: {reason}"))
    });
    failures.collect()
}

/// Guards against a log without a leader for good: the frozen member was removed before its successor
/// had a vote, and one lost disk then left a single vote of three.
#[test]
fn a_disk_is_lost_at_any_step_while_a_frozen_follower_is_replaced() {
    let failures = lose_disks_at_each_step(3, Cause::FrozenFollower, &[&[1], &[2], &[3]], 1);
    assert!(failures.is_empty(), "{}: {failures:#?}", failures.len());
}

/// As above, with an election before the replacement.
#[test]
fn a_disk_is_lost_at_any_step_while_a_frozen_leader_is_replaced() {
    let failures = lose_disks_at_each_step(3, Cause::FrozenLeader, &[&[1], &[2], &[3]], 1);
    assert!(failures.is_empty(), "{}: {failures:#?}", failures.len());
}

/// Guards against a successor that is added without a vote: with four members, of which three must
/// agree, one lost disk then left two votes.
#[test]
fn a_disk_is_lost_at_any_step_while_a_retiring_member_is_replaced() {
    let failures = lose_disks_at_each_step(3, Cause::Retirement, &[&[1], &[2], &[3]], 1);
    assert!(failures.is_empty(), "{}: {failures:#?}", failures.len());
}

/// Five members bear the loss of two disks beside a frozen member.
#[test]
fn two_disks_are_lost_while_a_frozen_member_of_five_is_replaced() {
    let pairs: &[&[usize]] = &[&[1, 2], &[2, 3], &[3, 4], &[4, 5], &[1, 5], &[2, 4]];
    let failures = lose_disks_at_each_step(5, Cause::FrozenFollower, pairs, 11);
    assert!(failures.is_empty(), "{}: {failures:#?}", failures.len());
}

/// Guards against a member that can't vote: an instance that answers nothing is not added, and the
/// lost member stays until another one can take its place.
#[test]
fn an_instance_that_does_not_catch_up_becomes_no_member() {
    let mut run = Replacement::begin(3, Cause::FrozenFollower);
    let spare = 3;
    run.cluster.freeze(spare);
    run.cluster.run_for(SILENCE_TIMEOUT * 4);
    let members = run.cluster.members().expect("a leader");
    assert_eq!(members, [0, 1, 2]);
    run.cluster.wake(spare);
    assert!(run.complete(), "the spare instance runs again");
}

/// Guards against a log that keeps its first member as the only one: an instance without a vote could
/// not be added to it, as two of two would have had to agree.
#[test]
fn a_log_that_is_founded_by_one_member_grows() {
    for founders in [1, 2] {
        let mut cluster = Cluster::founded(founders, 3);
        assert!(
            cluster.run_until(REPLACEMENT_TIMEOUT, Cluster::is_settled),
            "{founders} founders"
        );
        let acknowledged = cluster.acknowledged;
        cluster.losses = vec![Loss {
            after: 0,
            instance: 0,
        }];
        let goes_on = |cluster: &Cluster| cluster.acknowledged > acknowledged + 2;
        assert!(cluster.run_until(RECOVERY_TIMEOUT, goes_on), "{founders}");
    }
}
