//! Responses with an invalid status, refusals that belong to no request in flight or state nothing, errors
//! in place of the rest of a stream, and heads that are cut short.

use std::time::Duration;

use crate::{
    backend::{CUT_HEAD, End, Failure},
    call_status,
    fleet::{self, Deployment},
};

/// Longer than an entry keeps an idle connection to a backend server that announces no idle timeout.
const UNUSED_FOR: Duration = Duration::from_millis(3_100);

/// Responses with a status that is no final one.
const INVALID_STATUSES: [&str; 7] = [
    "HTTP/1.1 000 None\r\nid: {id}\r\ncontent-length: 6\r\n\r\nbroken",
    "HTTP/1.1 000 None\r\nid: {id}\r\ndeclined: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 099 None\r\nid: {id}\r\ncontent-length: 6\r\n\r\nbroken",
    "HTTP/1.1 101 Switching\r\nid: {id}\r\nupgrade: other\r\nconnection: upgrade\r\n\r\nbroken",
    "HTTP/1.1 600 More\r\nid: {id}\r\ncontent-length: 6\r\n\r\nbroken",
    "HTTP/1.1 999 Most\r\nid: {id}\r\ncontent-length: 6\r\n\r\nbroken",
    "HTTP/1.1 999 Most\r\nid: {id}\r\ndeclined: 1\r\ncontent-length: 0\r\n\r\n",
];

/// Guards against an answer whose status is none, such as 000, being passed on as an answer, or taken for
/// a refusal.
#[test]
fn a_response_with_an_invalid_status_is_no_answer() {
    fleet::run(async |deployment: &Deployment| {
        for (number, response) in INVALID_STATUSES.into_iter().enumerate() {
            let id = |name: &str| format!("{name}-{number}");
            for path in ["/once/x", "/kept/x"] {
                deployment.backend.clear_executed();
                deployment.spare.clear_executed();
                deployment.set_failures([Failure::Raw(response)]);
                let once = deployment.call(&id("once"), path, Some("key-1")).await;
                assert_eq!(once.status, 502, "{path} {response}");
                assert_eq!(deployment.executed_requests().len(), 1, "{path} {response}");
            }
            deployment.set_failures([Failure::Raw(response)]);
            let again = deployment
                .call(&id("again"), "/plain/x", Some("key-1"))
                .await;
            assert_eq!((again.status, &again.body[..]), (200, &b"answer"[..]));
            deployment.set_failures([Failure::Raw(response)]);
            let stream = deployment.stream(&id("stream"), "/resumable/x").await;
            assert!(stream.complete, "{response}");
            assert_eq!(stream.events(), ["1:one", "2:two", "3:three"]);
        }
    });
}

/// Sends a request on a connection that has carried an answer, after which the backend server writes
/// `late`, and returns its status.
async fn status_beside(deployment: &Deployment, late: &'static str) -> u16 {
    deployment.set_failures([Failure::LateBytes(late)]);
    let first = deployment.call("first", "/once/x", Some("key-1")).await;
    assert_eq!(first.status, 200);
    // Sent on the same connection before the bytes arrive.
    tokio::time::sleep(Duration::from_millis(20)).await;
    let second = deployment.call("second", "/once/x", Some("key-1")).await;
    second.status
}

/// Guards against an earlier refusal that is written once more on a kept connection, without an
/// identifier, being taken for that of the request in flight, which runs.
#[test]
fn a_refusal_without_an_identifier_on_a_kept_connection_decides_nothing() {
    for late in [
        "HTTP/1.1 503 No\r\ndeclined: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 429 No\r\ndeclined: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 421 No\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 503 No\r\nid: first\r\ndeclined: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 421 No\r\nid: first\r\ncontent-length: 0\r\n\r\n",
    ] {
        fleet::run(async |deployment: &Deployment| {
            deployment
                .send_heartbeat(&deployment.spare, "draining", 2)
                .await;
            assert_eq!(status_beside(deployment, late).await, 502, "it may run");
        });
        // With another backend server, at which it must not run as well.
        fleet::run(async |deployment: &Deployment| {
            status_beside(deployment, late).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            let executed = deployment.executed_requests().len();
            assert!(executed <= 2, "each at most once: {late}");
        });
    }
}

/// Guards against a request that is given up though its backend server has refused it, without an identifier,
/// on a connection that has carried nothing else.
#[test]
fn a_refusal_without_an_identifier_on_a_new_connection_is_believed() {
    const REFUSAL: Failure =
        Failure::Raw("HTTP/1.1 503 No\r\ndeclined: 1\r\ncontent-length: 0\r\n\r\n");
    fleet::run(async |deployment: &Deployment| {
        tokio::time::sleep(UNUSED_FOR).await;
        deployment.set_failures([REFUSAL]);
        let reply = deployment.call("r1", "/once/x", Some("key-1")).await;
        assert_eq!((reply.status, &reply.body[..]), (200, &b"answer"[..]));
        tokio::time::sleep(UNUSED_FOR).await;
        deployment.set_failures([REFUSAL, REFUSAL]);
        let reply = deployment.call("r2", "/once/x", Some("key-1")).await;
        assert_eq!(reply.status, 503);
        assert!(reply.retry_after.is_some());
    });
}

/// Guards against a status by which an entry promises that a request has not run, taken over from a backend
/// server that states nothing of the kind.
#[test]
fn a_status_that_promises_too_much_is_not_passed_on() {
    fleet::run(async |deployment: &Deployment| {
        for (number, response) in [
            "HTTP/1.1 503 Busy\r\nid: {id}\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 429 Busy\r\nid: {id}\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 408 Slow\r\nid: {id}\r\ncontent-length: 0\r\n\r\n",
        ]
        .into_iter()
        .enumerate()
        {
            for path in ["/once/x", "/kept/x"] {
                deployment.set_failures([Failure::Raw(response)]);
                let id = format!("promise-{number}");
                let reply = deployment.call(&id, path, Some("key-1")).await;
                assert_eq!(reply.status, 502, "{path} {response}");
                assert_eq!(reply.answers, None);
            }
        }
    });
}

/// What a backend server may answer in place of the rest of a stream.
const NO_CONTINUATIONS: [&str; 8] = [
    "HTTP/1.1 500 Error\r\nid: {id}\r\ncontent-length: 15\r\n\r\nerror: broken\n\n",
    "HTTP/1.1 503 Busy\r\nid: {id}\r\ndeclined: 1\r\ncontent-length: 6\r\n\r\nbusy\n\n",
    "HTTP/1.1 404 None\r\nid: {id}\r\ncontent-type: text/event-stream\r\n\r\ndata: none\n\n",
    "HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-type: text/plain\r\ncontent-length: 15\r\n\r\nerror: broken\n\n",
    "HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-type: text/plain\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 204 None\r\nid: {id}\r\ncontent-type: text/event-stream\r\n\r\n",
    "HTTP/1.1 206 Part\r\nid: {id}\r\ncontent-type: text/event-stream\r\n\r\ndata: part\n\n",
    "error: broken\n\n",
];

/// Guards against an error in place of the rest of a broken stream: its text, its head or its end taken
/// for the stream's own.
#[test]
fn an_error_in_place_of_the_rest_of_a_stream_is_not_passed_on() {
    fleet::run(async |deployment: &Deployment| {
        let expected = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
        for (number, response) in NO_CONTINUATIONS.into_iter().enumerate() {
            deployment.set_failures([Failure::TruncateStream, Failure::Raw(response)]);
            let id = format!("stream-{number}");
            let reply = deployment.stream(&id, "/resumable/x").await;
            assert_eq!(reply.status, 200);
            assert!(!reply.complete, "{response}");
            assert_eq!(reply.body, expected, "{response}");
        }
    });
}

/// Guards against an error that ends a stream although another backend server could continue it.
#[test]
fn a_stream_goes_on_at_a_third_server_after_an_error_of_the_second() {
    fleet::run(async |deployment: &Deployment| {
        let third = deployment.start_backend("b3").await;
        for (number, response) in NO_CONTINUATIONS.into_iter().enumerate() {
            deployment.set_failures([Failure::TruncateStream, Failure::Raw(response)]);
            let id = format!("stream-{number}");
            let reply = deployment.stream(&id, "/resumable/x").await;
            assert!(reply.complete, "{response}");
            assert_eq!(reply.events(), ["1:one", "2:two", "3:three"], "{response}");
        }
        drop(third);
    });
}

/// Guards against a response whose head is cut short being passed on as a whole one with an empty or short
/// body.
#[test]
fn a_head_that_is_cut_short_is_no_answer() {
    fleet::run(async |deployment: &Deployment| {
        let ends = CUT_HEAD.match_indices("\r\n").map(|(at, _)| at);
        let lengths = ends.flat_map(|at| [at - 1, at, at + 1, at + 2, at + 3]);
        for length in [1, 8, 9, 12, 13].into_iter().chain(lengths) {
            for end in [End::Closed, End::Reset] {
                let cut = Failure::CutHead(length, end);
                for path in ["/once/x", "/kept/x"] {
                    deployment.set_failures([cut]);
                    let reply = deployment.call("once", path, Some("key-1")).await;
                    assert_eq!((reply.status, reply.answers), (502, None), "{cut:?} {path}");
                }
                deployment.set_failures([cut]);
                let reply = deployment.call("again", "/plain/x", Some("key-1")).await;
                assert_eq!((reply.status, &reply.body[..]), (200, &b"answer"[..]));
                deployment.set_failures([Failure::TruncateStream, cut]);
                let reply = deployment.stream("stream", "/resumable/x").await;
                assert!(!reply.complete, "{cut:?}");
                assert_eq!(reply.events(), ["1:one", "2:two"], "{cut:?}");
            }
        }
        assert_eq!(call_status(deployment, "last").await, 200);
    });
}
