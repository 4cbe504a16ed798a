//! Extra attempts for requests that wait for longer than usual.

use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use crate::{
    backend::{Backend, Failure},
    fleet::{self, Deployment},
};

const USUAL_MS: u64 = 20;
/// Far more than the usual time, and less than the time after which a silent server's request is retried.
const SOON: Duration = Duration::from_millis(1_500);
/// Less than the time after which a silent stream is requested elsewhere.
const AT_ONCE: Duration = Duration::from_secs(1);
/// After this time the latest attempts no longer show whether all servers are slow.
const FORGOTTEN: Duration = Duration::from_millis(1_100);

/// Switches extra attempts on and sends requests from which the entry learns the usual time.
async fn learn(deployment: &Deployment, path: &str) {
    deployment.set_extra_share(0.5);
    deployment.set_failures(vec![Failure::Late(USUAL_MS); 200]);
    for number in 0..60 {
        let id = format!("usual-{number}");
        let reply = deployment.call(&id, path, Some("key-1")).await;
        assert_eq!(reply.status, 200);
    }
    sleep(FORGOTTEN).await;
    deployment
        .send_heartbeat(&deployment.backend, "ready", 2)
        .await;
    deployment
        .send_heartbeat(&deployment.spare, "ready", 2)
        .await;
    deployment.backend.clear_executed();
    deployment.spare.clear_executed();
}

fn silent_connections(deployment: &Deployment) -> usize {
    deployment.backend.silent_connections() + deployment.spare.silent_connections()
}

/// Guards against a late request that waits for its slow server, and against a loser that goes on or
/// whose connection carries another request.
#[test]
fn the_loser_is_cancelled_and_its_connection_is_not_used_again() {
    fleet::run(async |deployment: &Deployment| {
        learn(deployment, "/plain/x").await;
        deployment.set_failures([Failure::Silence]);
        let asked_at = Instant::now();
        let reply = deployment.call("late", "/plain/x", Some("key-1")).await;
        assert_eq!(
            (reply.status, reply.answers.as_deref()),
            (200, Some("late"))
        );
        assert!(asked_at.elapsed() < SOON, "{:?}", asked_at.elapsed());
        let executed = [&deployment.backend, &deployment.spare].map(|b| b.executed().len());
        assert_eq!(executed, [1, 1]);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(silent_connections(deployment), 0);
        for number in 0..10 {
            let id = format!("later-{number}");
            let reply = deployment.call(&id, "/plain/x", Some("key-1")).await;
            assert_eq!((reply.status, reply.answers), (200, Some(id)));
        }
        let reused =
            [&deployment.backend, &deployment.spare].map(Backend::reused_silent_connections);
        assert_eq!(reused, [0, 0]);
    });
}

/// Guards against a resumable stream that waits for its slow server, and against events of both servers.
#[test]
fn a_resumable_stream_comes_from_the_server_that_answers_first() {
    fleet::run(async |deployment: &Deployment| {
        learn(deployment, "/resumable/x").await;
        deployment.set_failures([Failure::Silence]);
        let reply = deployment.stream("late", "/resumable/x");
        let reply = timeout(AT_ONCE, reply).await.expect("a stream at once");
        assert!(reply.complete);
        assert_eq!(reply.events(), ["1:one", "2:two", "3:three"]);
        let executed = [&deployment.backend, &deployment.spare].map(|b| b.executed().len());
        assert_eq!(executed, [1, 1]);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(silent_connections(deployment), 0);
    });
}

/// Guards against a first attempt that is given up because the extra one fails.
#[test]
fn the_first_attempt_answers_if_the_extra_one_fails() {
    fleet::run(async |deployment: &Deployment| {
        learn(deployment, "/plain/x").await;
        deployment.set_failures([Failure::Late(500), Failure::CloseAfterReading]);
        let reply = deployment.call("late", "/plain/x", Some("key-1")).await;
        assert_eq!(
            (reply.status, reply.answers.as_deref()),
            (200, Some("late"))
        );
        let executed = [&deployment.backend, &deployment.spare].map(|b| b.executed().len());
        assert_eq!(executed, [1, 1]);
    });
}

/// Checks that a request without a response is not sent to a second server.
async fn assert_single(deployment: &Deployment, path: &str) {
    deployment.set_failures([Failure::Silence]);
    let call = deployment.call("late", path, Some("key-1"));
    assert!(timeout(SOON, call).await.is_err(), "{path} was answered");
    assert_eq!(deployment.executed_requests().len(), 1, "{path}");
}

/// Guards against a request that runs twice although it may not be repeated, and against a kept turn
/// that does.
#[test]
fn a_request_that_may_not_be_repeated_gets_no_extra_attempt() {
    for path in ["/once/x", "/kept/x"] {
        fleet::run(async |deployment: &Deployment| {
            learn(deployment, path).await;
            assert_single(deployment, path).await;
        });
    }
}

/// Guards against a reload that does not apply to the requests that follow.
#[test]
fn a_reload_switches_extra_attempts_off() {
    fleet::run(async |deployment: &Deployment| {
        learn(deployment, "/plain/x").await;
        deployment.set_extra_share(0.0);
        assert_single(deployment, "/plain/x").await;
    });
}

/// Guards against extra work from an entry that stops.
#[test]
fn an_entry_that_stops_starts_no_extra_attempt() {
    fleet::run(async |deployment: &Deployment| {
        learn(deployment, "/plain/x").await;
        let stop = async {
            while deployment.executed_requests().is_empty() {
                sleep(Duration::from_millis(1)).await;
            }
            drop(deployment.stop_entry());
        };
        tokio::join!(assert_single(deployment, "/plain/x"), stop);
    });
}
