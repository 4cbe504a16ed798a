//! Stores and their log, with a control instance and stores that start and end on their own.

#[path = "stores/deployment.rs"]
mod deployment;
#[path = "callers/dialect.rs"]
mod dialect;

use std::time::Duration;

use deployment::{Deployment, wait};

/// Guards against a retirement that is reported as completed from an outdated list of members: a
/// store that was replaced while it was down knows neither its successor nor the changes since.
#[test]
fn a_retirement_is_not_completed_by_what_a_replaced_store_remembers() {
    let mut deployment = Deployment::start(["a", "b", "c"]);
    wait(Duration::from_secs(5));
    deployment.start_store(3, "a");
    wait(Duration::from_secs(1));
    // The fourth store takes the place of the first one.
    deployment.kill_store(0);
    wait(Duration::from_secs(5));
    deployment.start_store(0, "a");
    wait(Duration::from_secs(2));

    assert_eq!(deployment.retire(3), (200, "false".to_owned()));
    assert_eq!(
        deployment.retirement(3),
        (200, "false".to_owned()),
        "no member has changed yet"
    );
    let completed = (0..100).any(|_| {
        wait(Duration::from_millis(100));
        deployment.retirement(3) == (200, "true".to_owned())
    });
    assert!(completed, "the log is moved in the end");
}

/// Guards against a completed retirement that depends on a store which holds no vote: if one more
/// disk is lost then, the log has no majority left.
#[test]
fn a_retirement_is_not_completed_while_a_remaining_store_is_gone() {
    let mut deployment = Deployment::start(["a", "b", "c"]);
    wait(Duration::from_secs(5));
    deployment.start_store(3, "a");
    wait(Duration::from_secs(1));
    assert_eq!(deployment.retire(0), (200, "false".to_owned()));
    deployment.kill_store(1);
    for _ in 0..30 {
        wait(Duration::from_millis(100));
        assert_ne!(deployment.retirement(0), (200, "true".to_owned()));
    }
    deployment.start_store(1, "b");
    let completed = (0..100).any(|_| {
        wait(Duration::from_millis(100));
        deployment.retirement(0) == (200, "true".to_owned())
    });
    assert!(completed, "the log is moved once the store is back");
}

/// Guards against a replica that stays away for good after one failed write: with the next lost
/// store the log has no majority, though most disks work.
#[test]
fn a_store_whose_disk_failed_takes_part_again_once_the_disk_works() {
    let mut deployment = Deployment::start(["a", "b", "c"]);
    wait(Duration::from_secs(5));
    let leader = deployment.leading_store();
    let others: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
    // Both followers fail to save their votes in the election that follows.
    for number in &others {
        deployment.block_disk(*number);
    }
    deployment.kill_store(leader);
    wait(Duration::from_secs(3));
    for number in &others {
        deployment.unblock_disk(*number);
    }
    // A retirement needs as many stores as the log has members besides.
    deployment.start_store(3, "a");
    wait(Duration::from_secs(1));
    let (status, _) = deployment.retire(leader);
    assert_eq!(status, 200);
    let answered = (0..100).any(|_| {
        wait(Duration::from_millis(100));
        deployment.retirement(leader).0 == 200
    });
    assert!(answered, "two of three stores run and lead again");
}
