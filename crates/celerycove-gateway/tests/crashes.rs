//! Tests of two entries and a control instance on loopback, with backend servers that a certain
//! request crashes: each ends its listener and its connections, and is back some time later under a
//! new incarnation.

#[path = "crashes/deployment.rs"]
mod deployment;
#[path = "callers/dialect.rs"]
mod dialect;

use std::time::Duration;

use deployment::{CRASH, Deployment, RESET};

/// How often the caller sends the request again: each attempt runs on up to three backend servers.
const REPEATS: usize = 20;
/// Crashes before the request must be held back, and the runs that may follow while the evidence
/// spreads.
const MAX_RUNS: usize = 3 + 3;

/// Repeats the request that crashes backend servers at alternating entries, with an ordinary request
/// after each, and checks how often it ran and that the ordinary ones are served.
async fn assert_held_back(deployment: &Deployment, path: &str) {
    let mut ordinary = Vec::new();
    let mut last = None;
    for number in 0..REPEATS {
        let id = format!("crash-{number}");
        last = Some(deployment.call(number % 2, &id, path, CRASH).await);
        // Longer than the evidence takes to the other entry.
        tokio::time::sleep(Duration::from_millis(60)).await;
        let id = format!("ordinary-{number}");
        let reply = deployment.call(number % 2, &id, path, "ordinary").await;
        ordinary.push(reply.status);
    }
    let last = last.expect("a reply");
    let runs = deployment.runs_of(CRASH);
    assert!(runs <= MAX_RUNS, "ran {runs} times");
    assert!(runs >= 3, "held back after {runs} runs");
    assert_eq!(last.status, 503);
    // Two minutes at first, and longer the more trials failed.
    let retry_after: f64 = last.retry_after.expect("a time").parse().expect("a number");
    assert!((1.0..=120.0).contains(&retry_after), "{retry_after}");
    assert!(ordinary.iter().all(|status| *status == 200), "{ordinary:?}");
}

/// Guards against a request that crashes server after server before it is answered.
#[test]
fn a_request_that_crashes_servers_is_held_back_at_all_entries() {
    deployment::run(async |deployment| assert_held_back(deployment, "/plain/x").await);
}

/// Guards against an entry that has just started, or was cut off, and knows nothing of the crashes.
#[test]
fn an_entry_that_starts_later_holds_the_request_back_at_once() {
    deployment::run(async |deployment| {
        for number in 0..4 {
            let id = format!("crash-{number}");
            deployment.call(number % 2, &id, "/plain/x", CRASH).await;
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
        let runs = deployment.runs_of(CRASH);
        let _entry = deployment.start_late_entry().await;
        let reply = deployment.call(2, "late", "/plain/x", CRASH).await;
        assert_eq!((reply.status, deployment.runs_of(CRASH)), (503, runs));
        let ordinary = deployment.call(2, "ordinary", "/plain/x", "ordinary").await;
        assert_eq!(ordinary.status, 200);
    });
}

/// Guards against one that crashes them in the middle of a stream, which is resumed elsewhere.
#[test]
fn a_stream_that_crashes_servers_is_held_back_at_all_entries() {
    deployment::run(async |deployment| assert_held_back(deployment, "/resumable/x").await);
}

/// Guards against one that names something which crashes each backend server, in other words each
/// time.
#[test]
fn requests_to_a_target_that_crashes_servers_are_held_back_whatever_their_body() {
    deployment::run(async |deployment| {
        for number in 0..REPEATS {
            let (id, body) = (format!("crash-{number}"), format!("{CRASH} {number}"));
            deployment
                .call(number % 2, &id, "/plain/crashing", &body)
                .await;
            tokio::time::sleep(Duration::from_millis(60)).await;
            let id = format!("ordinary-{number}");
            let reply = deployment.call(number % 2, &id, "/plain/x", "ordinary");
            assert_eq!(reply.await.status, 200);
        }
        let runs = deployment.runs_of(CRASH);
        assert!((3..=MAX_RUNS).contains(&runs), "ran {runs} times");
    });
}

/// Guards against taking lost answers and reset connections of servers that live for crashes.
#[test]
fn a_request_whose_connection_is_reset_by_servers_that_live_is_not_held_back() {
    deployment::run(async |deployment| {
        for number in 0..4 {
            let id = format!("reset-{number}");
            let reply = deployment.call(number % 2, &id, "/plain/x", RESET).await;
            assert_eq!(reply.status, 502);
        }
        assert_eq!(deployment.runs_of(RESET), 12);
    });
}

/// Crashes three backend servers with requests to one target, whose other requests are answered in
/// between, and checks that these are served before and after.
async fn assert_not_held_back(deployment: &Deployment, path: &str) {
    for number in 0..3 {
        let id = format!("crash-{number}");
        let body = format!("{CRASH} {number}");
        deployment.call(number % 2, &id, path, &body).await;
        // Answers go on while the crash is confirmed and the server starts again.
        for round in 0..15 {
            let id = format!("ordinary-{number}-{round}");
            let reply = deployment.call(round % 2, &id, path, &id).await;
            assert_eq!(reply.status, 200, "{path} {id}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    assert!(deployment.runs_of(CRASH) >= 3);
}

/// Guards against an organisation whose requests to a target are all held back for minutes because some
/// of them ran on backend servers that crashed, although others were answered in between: answers that
/// end with their connections did not count (case 10 of the review).
#[test]
fn answers_that_end_with_their_connections_vindicate_their_target() {
    for path in ["/plain/unframed", "/once/unframed", "/resumable/unframed"] {
        deployment::run(async |deployment| assert_not_held_back(deployment, path).await);
    }
}

/// Guards against a request that crashes server after server while each crash looks like the end of its
/// answer: that must neither vindicate it nor hide the crash.
#[test]
fn answers_that_crashes_end_do_not_vindicate_their_request() {
    for path in ["/plain/unframed", "/resumable/unframed"] {
        deployment::run(async |deployment| assert_held_back(deployment, path).await);
    }
}
