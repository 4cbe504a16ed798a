//! Rollouts of service versions, with control instances, entries and backend servers on loopback.

#[path = "rollouts/deployment.rs"]
mod deployment;
#[path = "callers/dialect.rs"]
mod dialect;
#[path = "rollouts/server.rs"]
mod server;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    time::{Duration, Instant},
};

use celerycove_gateway::setup::DEFAULT_ROLLOUT;
use deployment::{CONFIG, Deployment, Reply, run};
use server::Behaviour;

/// The time from the order to the deadline.
const DURATION: Duration = Duration::from_secs(8);
/// The time between two requests of the load.
const INTERVAL: Duration = Duration::from_millis(10);

/// Sends load while `test` runs, and returns how the requests ended.
async fn under_load(deployment: &Deployment, test: impl Future<Output = ()>) -> Vec<Reply> {
    let stop = AtomicBool::new(false);
    let test = async {
        test.await;
        stop.store(true, SeqCst);
    };
    let (replies, ()) = tokio::join!(deployment.load(INTERVAL, &stop), test);
    replies
}

/// Starts three servers of `v2`.
async fn start_new(deployment: &Deployment) -> Arc<Behaviour> {
    let behaviour = Arc::new(Behaviour::default());
    for number in 0..3 {
        deployment.start_server(number, "v2", &behaviour).await;
    }
    behaviour
}

fn failures(replies: &[Reply]) -> Vec<u16> {
    let failed = replies.iter().filter(|reply| reply.status != 200);
    failed.map(|reply| reply.status).collect()
}

/// Guards against requests that are cut when the old servers stop as soon as the rollout is completed,
/// and against a good version that is not completed by its deadline.
#[test]
fn a_good_version_completes_and_no_request_is_cut_when_the_old_servers_stop() {
    run(async |deployment, _| {
        let replies = under_load(deployment, async {
            assert_eq!(deployment.order(0, "v2", DURATION).await, 200);
            let ordered_at = Instant::now();
            let new = start_new(deployment).await;
            assert_eq!(
                deployment.wait_for("Completed v2", DURATION).await,
                "Completed v2"
            );
            deployment.stop_servers("v1");
            assert!(
                ordered_at.elapsed() < DURATION,
                "{:?}",
                ordered_at.elapsed()
            );
            let before = new.received().len();
            tokio::time::sleep(Duration::from_secs(2)).await;
            assert!(
                new.received().len() > before,
                "all requests go to the new version"
            );
        })
        .await;
        assert!(replies.len() > 200, "{}", replies.len());
        assert_eq!(failures(&replies), [0_u16; 0]);
    });
}

/// Guards against a bad version that gets too many requests, or any after it was rolled back.
#[test]
fn a_bad_version_is_rolled_back_and_gets_no_requests_after_that() {
    run(async |deployment, _| {
        let mut received = Vec::new();
        let mut new = Arc::default();
        let replies = under_load(deployment, async {
            assert_eq!(deployment.order(1, "v2", DURATION).await, 200);
            new = start_new(deployment).await;
            new.failing.store(40, SeqCst);
            let state = deployment.wait_for("RolledBack v2", DURATION).await;
            assert_eq!(state, "RolledBack v2");
            tokio::time::sleep(Duration::from_millis(500)).await;
            received = new.received();
            tokio::time::sleep(Duration::from_secs(2)).await;
        })
        .await;
        assert_eq!(
            new.received().len(),
            received.len(),
            "requests after the end"
        );
        assert!(!received.is_empty());
        let count = |count: usize| f64::from(u32::try_from(count).expect("few requests"));
        let limit =
            DEFAULT_ROLLOUT.max_share * count(replies.len()) + f64::from(DEFAULT_ROLLOUT.slack);
        assert!(
            count(received.len()) <= limit,
            "{} of {limit}",
            received.len()
        );
        if let (Some(fiftieth), Some(last)) = (new.bad().get(49), received.last()) {
            assert!(*last <= *fiftieth + DEFAULT_ROLLOUT.rollback);
        }
        // A failed request that may be repeated is repeated on the old version.
        let failed = failures(&replies);
        assert!(failed.iter().all(|status| *status == 500), "{failed:?}");
        assert!(failed.len() < received.len(), "{failed:?}");
    });
}

/// Guards against a version that is too slow and yet takes over.
#[test]
fn a_slow_version_is_rolled_back() {
    run(async |deployment, _| {
        let replies = under_load(deployment, async {
            assert_eq!(deployment.order(0, "v2", DURATION).await, 200);
            let new = start_new(deployment).await;
            new.late_ms.store(700, SeqCst);
            let state = deployment.wait_for("RolledBack v2", DURATION).await;
            assert_eq!(state, "RolledBack v2");
        })
        .await;
        assert_eq!(failures(&replies), [0_u16; 0]);
    });
}

/// Guards against an order that is refused, or counts as another one, if its sender repeats it.
#[test]
fn an_order_that_is_sent_again_is_the_same_order() {
    run(async |deployment, _| {
        let orders = (0..3).map(|control| deployment.order(control, "v2", DURATION));
        let statuses = futures_util::future::join_all(orders).await;
        assert_eq!(statuses, [200, 200, 200]);
        assert_eq!(deployment.state().await, "Running v2");
        assert_eq!(deployment.order(2, "v2", DURATION).await, 200);
        assert_eq!(deployment.order(1, "v3", DURATION).await, 409);
        // No server of the new version ever runs.
        let state = deployment.wait_for("RolledBack v2", DURATION * 2).await;
        assert_eq!(state, "RolledBack v2");
        for control in 0..3 {
            assert_eq!(deployment.order(control, "v2", DURATION).await, 200);
        }
        assert_eq!(deployment.state().await, "RolledBack v2");
        assert_eq!(deployment.order(0, "v3", DURATION).await, 200);
        assert_eq!(deployment.state().await, "Running v3");
    });
}

/// Guards against an order that changes something although it is rejected.
#[test]
fn orders_that_can_not_be_carried_out_are_rejected_and_change_nothing() {
    run(async |deployment, _| {
        let long = "x".repeat(1_000);
        let rejected = [
            ("none v2 8000", 404),
            ("", 400),
            ("app v2", 400),
            ("app  8000", 400),
            (" v2 8000", 400),
            ("app v2 soon", 400),
            ("app v2 99", 400),
            ("app v2 86400001", 400),
            (&format!("app {long} 8000"), 400),
        ];
        for (body, expected) in rejected {
            let (status, _) = deployment.call_control(0, "POST", "/rollouts", body).await;
            assert_eq!(status, expected, "{body}");
        }
        let (status, _) = deployment.call_control(1, "GET", "/rollouts/app", "").await;
        assert_eq!(status, 404);
        assert_eq!(deployment.request(0, "/plain/x").await.status, 200);
    });
}

/// Guards against a rollout that is forgotten, or that can't end, if the instance that decides about it
/// is lost.
#[test]
fn a_rollout_goes_on_after_its_leader_is_lost() {
    run(async |deployment, _| {
        let replies = under_load(deployment, async {
            assert_eq!(deployment.order(0, "v2", DURATION * 2).await, 200);
            start_new(deployment).await;
            tokio::time::sleep(DURATION / 3).await;
            let leader = deployment.leader();
            deployment.kill_control(leader);
            let state = deployment.wait_for("Completed v2", DURATION * 2).await;
            assert_eq!(state, "Completed v2");
            deployment.stop_servers("v1");
            tokio::time::sleep(Duration::from_secs(1)).await;
        })
        .await;
        assert_eq!(failures(&replies), [0_u16; 0]);
    });
}

/// Guards against a rollout that is lost with the memory of all processes, and against requests to its
/// version that no entry has leases for.
#[test]
fn a_rollout_survives_the_end_of_all_processes() {
    run(async |deployment, _| {
        assert_eq!(deployment.order(0, "v2", DURATION * 2).await, 200);
        start_new(deployment).await;
        deployment.apart(|deployment| {
            (0..3).for_each(|number| deployment.kill_control(number));
            (0..2).for_each(|number| deployment.kill_entry(number));
            (0..3).for_each(|number| deployment.start_control(number, false));
            (0..2).for_each(|number| deployment.start_entry(number));
        });
        assert_eq!(
            deployment.wait_for("Running v2", DURATION).await,
            "Running v2"
        );
        for entry in 0..2 {
            while deployment.request(entry, "/plain/x").await.status != 200 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        let replies = under_load(deployment, async {
            let state = deployment.wait_for("Completed v2", DURATION * 2).await;
            assert_eq!(state, "Completed v2");
        })
        .await;
        assert_eq!(failures(&replies), [0_u16; 0]);
    });
}

/// Guards against a rollout that never ends because its service is gone.
#[test]
fn the_rollout_of_a_service_that_the_configuration_removes_is_rolled_back() {
    run(async |deployment, _| {
        assert_eq!(deployment.order(0, "v2", DURATION).await, 200);
        start_new(deployment).await;
        let removed = "version=3\nservice=other\nroute=plain /plain/ other\n";
        let (status, _) = deployment.call_control(1, "PUT", "/config", removed).await;
        assert_eq!(status, 200);
        assert_eq!(deployment.state().await, "RolledBack v2");
        assert_eq!(deployment.order(0, "v2", DURATION).await, 404);
        let restored = CONFIG.replace("version=2", "version=4");
        let (status, _) = deployment
            .call_control(1, "PUT", "/config", &restored)
            .await;
        assert_eq!(status, 200);
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(deployment.request(0, "/plain/x").await.status, 200);
        assert_eq!(deployment.state().await, "RolledBack v2");
    });
}
