//! Backend servers that answer falsely, without end, late or not at all, that leave, or that another writer
//! describes.

use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::{
    backend::Failure,
    call_status,
    fleet::{self, Deployment, Reply},
    response_head,
};

/// More than the buffers of a connection hold while its receiver reads nothing, and less than a body may
/// have.
const REQUEST_BYTES: usize = 4_000_000;

/// The entry passes no answer on and is free again before the caller's deadline of four seconds is
/// well over, although the backend server sends until the connection is closed.
async fn assert_cut_off(deployment: &Deployment, failure: Failure, path: &str) -> Reply {
    deployment.set_failures([failure]);
    let call = deployment.call("r1", path, Some("key-1"));
    let reply = tokio::time::timeout(Duration::from_secs(6), call).await;
    let reply = reply.expect("an answer in time");
    assert!(reply.status >= 500 || !reply.complete, "{failure:?}");
    let next = deployment.call("r2", "/plain/x", Some("key-1")).await;
    assert_eq!(next.status, 200);
    reply
}

#[test]
fn a_response_head_without_end_fails_the_request() {
    fleet::run(async |deployment: &Deployment| {
        let reply = assert_cut_off(deployment, Failure::EndlessHead, "/once/x").await;
        assert_eq!(reply.status, 502);
    });
}

#[test]
fn a_response_body_without_end_fails_the_request() {
    fleet::run(async |deployment: &Deployment| {
        let reply = assert_cut_off(deployment, Failure::EndlessBody, "/once/x").await;
        assert_eq!(reply.status, 502);
        assert_eq!(deployment.executed_requests().len(), 2);
    });
}

#[test]
fn a_stream_of_events_without_end_is_cut_off_at_the_deadline() {
    fleet::run(async |deployment: &Deployment| {
        assert_cut_off(deployment, Failure::EndlessBody, "/resumable/x").await;
    });
}

#[test]
fn a_turn_with_more_events_than_it_may_have_stays_within_its_reservation() {
    fleet::run(async |deployment: &Deployment| {
        deployment.set_failures([Failure::EndlessBody]);
        let reply = deployment.turn("t1", None, "hello", Some(20)).await;
        assert!(!reply.complete);
        // Ten tokens are five events of two tokens each.
        assert_eq!(reply.events().len(), 5);
        assert_eq!(deployment.turn("t2", None, "b", Some(20)).await.status, 200);
        assert_eq!(deployment.turn("t3", None, "c", Some(20)).await.status, 402);
    });
}

#[test]
fn a_stream_of_single_bytes_that_complete_no_event_counts_as_stalled() {
    fleet::run(async |deployment: &Deployment| {
        deployment.set_failures([Failure::TrickleStream]);
        let reply = deployment.stream("s1", "/resumable/x").await;
        assert!(reply.complete);
        assert_eq!(reply.events(), ["1:one", "2:two", "3:three"]);
    });
}

#[test]
fn a_late_second_copy_of_an_answer_reaches_no_other_caller() {
    fleet::run(async |deployment: &Deployment| {
        deployment.set_failures([Failure::SecondCopy]);
        let first = deployment.call("r1", "/once/x", Some("key-1")).await;
        assert_eq!(first.status, 200);
        for (number, pause_ms) in [40, 40, 40, 100].into_iter().enumerate() {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let id = format!("next-{number}");
            let reply = deployment.call(&id, "/once/x", Some("key-1")).await;
            // The copy may break the exchange that is under way, which is then not repeated.
            assert!([200, 502].contains(&reply.status));
            assert!(reply.status != 200 || reply.answers.as_deref() == Some(&id));
        }
    });
}

/// Guards against a late refusal of an earlier request being taken for that of the request in flight, which
/// would then run at two backend servers.
#[test]
fn a_late_refusal_of_another_request_decides_nothing() {
    fleet::run(async |deployment: &Deployment| {
        deployment
            .send_heartbeat(&deployment.spare, "draining", 2)
            .await;
        deployment.set_failures([Failure::LateRefusal]);
        let first = deployment.call("first", "/once/x", Some("key-1")).await;
        assert_eq!(first.status, 200);
        // Sent on the same connection before the refusal arrives.
        tokio::time::sleep(Duration::from_millis(20)).await;
        let second = deployment.call("second", "/once/x", Some("key-1")).await;
        assert_eq!(second.status, 502, "it may run");
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(
            deployment.executed_requests().len() <= 2,
            "each at most once"
        );
    });
}

#[test]
fn a_slow_but_sound_stream_is_neither_cut_nor_started_again() {
    fleet::run(async |deployment: &Deployment| {
        deployment.set_failures([Failure::PauseStream(900)]);
        let reply = deployment.stream("s1", "/resumable/x").await;
        assert!(reply.complete);
        assert_eq!(reply.events(), ["1:one", "2:two", "3:three"]);
        assert_eq!(deployment.executed_requests().len(), 1);
    });
}

/// Guards against an answer that ends because its engine is silent: a stream was given up after 1.2 s
/// before another engine had taken it.
#[test]
fn a_silent_stream_is_kept_if_no_other_engine_takes_it() {
    fleet::run(async |deployment: &Deployment| {
        let mut failures = vec![Failure::Decline; 9];
        failures[0] = Failure::PauseOnce(2_500);
        deployment.set_failures(failures);
        let reply = deployment.stream("s1", "/resumable/x").await;
        assert!(reply.complete);
        assert_eq!(reply.events(), ["1:one", "2:two", "3:three"]);
        assert_eq!(deployment.executed_requests().len(), 1);
    });
}

/// Guards against a second engine that works on a stream while the first one does: callers wait for three
/// seconds here, so a pause of 1.7 seconds is no reason to ask one.
#[test]
fn a_stream_that_pauses_for_less_than_its_caller_bears_is_not_started_again() {
    fleet::run(async |deployment: &Deployment| {
        deployment.set_failures([Failure::PauseOnce(1_700)]);
        let reply = deployment.stream("s1", "/resumable/x").await;
        assert!(reply.complete);
        assert_eq!(reply.events(), ["1:one", "2:two", "3:three"]);
        assert_eq!(deployment.executed_requests().len(), 1);
    });
}

/// Guards against requests that are given up on time alone: the only backend server was left after three
/// target latencies, and the caller got an error though it would have answered.
#[test]
fn an_only_backend_server_that_answers_late_is_waited_for() {
    fleet::run(async |deployment: &Deployment| {
        deployment
            .send_heartbeat(&deployment.spare, "draining", 2)
            .await;
        deployment.set_failures([Failure::Late(3_400), Failure::Late(3_400)]);
        let (plain, stream) = tokio::join!(
            deployment.call("r1", "/plain/x", Some("key-1")),
            deployment.stream("s1", "/resumable/x"),
        );
        assert_eq!(plain.status, 200);
        assert!(stream.complete);
        assert_eq!(stream.events(), ["1:one", "2:two", "3:three"]);
        assert_eq!(deployment.executed_requests().len(), 2);
    });
}

/// Guards against events that come twice if an engine goes on while another one is asked.
#[test]
fn a_silent_stream_that_goes_on_while_another_engine_is_asked_is_kept() {
    fleet::run(async |deployment: &Deployment| {
        deployment.set_failures([Failure::PauseOnce(2_300), Failure::Silence]);
        let reply = deployment.stream("s1", "/resumable/x").await;
        assert!(reply.complete);
        assert_eq!(reply.events(), ["1:one", "2:two", "3:three"]);
        let closed = async {
            while deployment.backend.silent_connections() + deployment.spare.silent_connections()
                > 0
            {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let closed = tokio::time::timeout(Duration::from_secs(1), closed).await;
        assert!(closed.is_ok(), "the other engine still works on it");
    });
}

#[test]
fn a_turn_whose_engine_is_silent_for_a_while_is_neither_given_up_nor_started_again() {
    fleet::run(async |deployment: &Deployment| {
        deployment.set_failures([Failure::PauseStream(1_700)]);
        let reply = deployment.turn("t1", None, "hello", Some(100)).await;
        assert!(reply.complete);
        assert_eq!(reply.events().len(), 3);
        assert_eq!(deployment.executed_requests().len(), 1);
        let next = deployment.turn("t2", Some("t1"), "again", Some(100)).await;
        assert_eq!(next.status, 200);
    });
}

/// Guards against events without end that fill the memory: the process would end, and with it the
/// requests of all other callers.
#[test]
fn many_long_events_without_end_stay_within_the_memory_limit() {
    const STREAMS: usize = 80;
    const NAME: &str = "misbehaviour::many_long_events_without_end_stay_within_the_memory_limit";
    fleet::run_in_own_process(NAME, async |deployment: &Deployment| {
        deployment.set_failures(vec![Failure::LongEvent; STREAMS]);
        let streams = (0..STREAMS).map(async |number| {
            let id = format!("long-{number}");
            deployment.stream(&id, "/kept/x").await
        });
        let watching = async {
            let mut largest = 0;
            for round in 0..30 {
                tokio::time::sleep(Duration::from_millis(100)).await;
                let resident = celerycove_gateway::memory::resident_bytes();
                largest = largest.max(resident.expect("the system tells"));
                let id = format!("sound-{round}");
                let reply = deployment.call(&id, "/plain/x", Some("key-1")).await;
                assert_eq!(reply.status, 200, "others are served meanwhile");
            }
            largest
        };
        let (replies, largest) = tokio::join!(join_all(streams), watching);
        assert!(replies.iter().all(|reply| !reply.complete));
        // The test process also holds the control instance, the store, the backend servers and the
        // callers.
        assert!(largest < Deployment::memory_limit(), "{largest} bytes");
    });
}

#[test]
fn interim_responses_without_end_fail_the_request_and_hold_up_no_other() {
    fleet::run(async |deployment: &Deployment| {
        let reply = assert_cut_off(deployment, Failure::EndlessInterim, "/once/x").await;
        assert_eq!(reply.status, 502);
        deployment.set_failures(vec![Failure::EndlessInterim; 30]);
        let calls = (0..30).map(async |number| {
            let id = format!("interim-{number}");
            deployment.call(&id, "/once/x", Some("key-1")).await
        });
        let replies = tokio::time::timeout(Duration::from_secs(3), join_all(calls)).await;
        let replies = replies.expect("cut off long before the deadline of four seconds");
        assert!(replies.iter().all(|reply| reply.status == 502));
    });
}

/// Guards against an entry of another writer that hides the heartbeats of a sound backend server, or
/// takes its address.
#[test]
fn an_odd_heartbeat_is_rejected_and_the_sound_ones_hold() {
    fleet::run(async |deployment: &Deployment| {
        let address = deployment.backend.address;
        let largest = u64::MAX;
        let long = "x".repeat(10_000);
        let odd = [
            ("/beat/b1", format!("{address} ready {largest}")),
            ("/beat/b1", format!("{address} ready 2 {largest}")),
            ("/beat/b1", "127.0.0.1:0 ready 2".to_owned()),
            ("/beat/b1", "127.0.0.1:70000 ready 2".to_owned()),
            ("/beat/other", format!("{address} ready 2 {largest}")),
            ("/beat/other", "0.0.0.0:80 ready 2".to_owned()),
            (&format!("/beat/{long}"), format!("{address} ready 2")),
        ];
        for (path, body) in odd {
            let status = deployment.order_with_body("PUT", path, body.clone()).await;
            assert_eq!(status, 400, "{body}");
        }
        deployment
            .send_heartbeat(&deployment.spare, "draining", 2)
            .await;
        deployment
            .send_heartbeat(&deployment.backend, "ready", 2)
            .await;
        for round in 0..10 {
            let status = call_status(deployment, &format!("sound-{round}")).await;
            assert_eq!(status, 200);
        }
        assert_eq!(deployment.backend.executed().len(), 10);
        deployment
            .send_heartbeat(&deployment.backend, "draining", 3)
            .await;
        assert_eq!(call_status(deployment, "none").await, 503, "still followed");
    });
}

/// Guards against requests to a backend server that has said in any of its responses that it leaves,
/// though its heartbeats still call it ready.
#[test]
fn a_backend_server_that_says_that_it_leaves_gets_no_further_requests() {
    for (failure, path) in [
        (Failure::Leave(200), "/plain/x"),
        (Failure::Leave(500), "/once/x"),
        (Failure::Leave(503), "/once/x"),
        (Failure::Leave(200), "/resumable/x"),
        (Failure::Leave(200), "/kept/x"),
    ] {
        fleet::run(async |deployment: &Deployment| {
            deployment.set_failures([failure]);
            deployment.call("first", path, Some("key-1")).await;
            deployment.backend.clear_executed();
            deployment.spare.clear_executed();
            deployment
                .send_heartbeat(&deployment.backend, "ready", 5)
                .await;
            for round in 0..6 {
                let status = call_status(deployment, &format!("next-{round}")).await;
                assert_eq!(status, 200);
            }
            assert_eq!(deployment.backend.executed().len(), 0, "{failure:?} {path}");
            assert_eq!(deployment.spare.executed().len(), 6);

            // The other one leaves as well: refused at once, with a time to come back.
            deployment.set_failures([Failure::Leave(200)]);
            assert_eq!(call_status(deployment, "last").await, 200);
            let refused = deployment.call("none", "/plain/x", Some("key-1")).await;
            assert_eq!(refused.status, 503);
            assert!(refused.retry_after.is_some());

            // Started again under its name, it starts clean.
            let again = format!("{} ready 1 2", deployment.backend.address);
            assert_eq!(
                deployment.order_with_body("PUT", "/beat/b1", again).await,
                200
            );
            assert_eq!(call_status(deployment, "again").await, 200);
        });
    }
}

/// Guards against an answer that ends with its connection being taken for broken off, and against one
/// that is reset being taken for whole.
#[test]
fn a_plain_response_may_end_with_its_connection() {
    fleet::run(async |deployment: &Deployment| {
        deployment.set_failures([Failure::Unframed("whole")]);
        let reply = deployment.call("r1", "/once/x", Some("key-1")).await;
        assert_eq!((reply.status, &reply.body[..]), (200, &b"whole"[..]));
        assert!(reply.complete);
        // The connection isn't used again.
        assert_eq!(call_status(deployment, "r2").await, 200);

        deployment.set_failures([Failure::ResetUnframed("part")]);
        let reply = deployment.call("r3", "/once/x", Some("key-1")).await;
        assert!(reply.status == 502 || !reply.complete, "{}", reply.status);
        deployment.set_failures([Failure::ResetUnframed("part")]);
        let reply = deployment.call("r4", "/plain/x", Some("key-1")).await;
        assert_eq!((reply.status, &reply.body[..]), (200, &b"answer"[..]));
    });
}

/// Guards against a stream that is broken off being taken for whole, and the reverse, where neither a
/// length nor chunks mark its end.
#[test]
fn a_stream_that_ends_with_its_connection_is_whole_unless_it_ends_inside_an_event() {
    const ENDS: [(&str, bool); 9] = [
        ("id: 1\ndata: one\n\n", true),
        ("id: 1\r\ndata: one\r\n\r\n", true),
        ("id: 1\ndata: one\n\n: the end\n", true),
        ("id: 1\ndata: one\n\n:\r\n", true),
        ("id: 1\ndata: one\n\nid: 2\nda", false),
        ("id: 1\ndata: one\n\nid: 2\ndata: two\n", false),
        ("id: 1\r\ndata: one\r\n\r\nid: 2\r\ndata: two\r\n\r", false),
        ("id: 1\ndata: one\n\n: the en", false),
        ("id: 1\ndata: one\n\n: a comment\ndata: two\n", false),
    ];
    fleet::run(async |deployment: &Deployment| {
        for (number, (body, is_whole)) in ENDS.into_iter().enumerate() {
            // A turn, which may not be repeated: kept only if it is whole.
            deployment.set_failures([Failure::Unframed(body)]);
            let turn = format!("turn-{number}");
            let reply = deployment.turn(&turn, None, "in", Some(1_000)).await;
            assert_eq!(reply.complete, is_whole, "{body:?}");
            if is_whole {
                assert_eq!(reply.body, body.as_bytes());
            }
            let next = format!("next-{number}");
            let next = deployment
                .turn(&next, Some(&turn), "go on", Some(1_000))
                .await;
            assert_eq!(next.status, if is_whole { 200 } else { 404 }, "{body:?}");

            // A resumable stream goes on at the other backend server.
            if !is_whole {
                deployment.set_failures([Failure::Unframed(body)]);
                let id = format!("resumed-{number}");
                let reply = deployment.stream(&id, "/resumable/x").await;
                assert!(reply.complete, "{body:?}");
                let ids: Vec<_> = reply.events();
                assert_eq!(ids.last().map(String::as_str), Some("3:three"), "{body:?}");
            }
        }
        // With no other backend server it ends as broken off.
        deployment
            .send_heartbeat(&deployment.spare, "draining", 2)
            .await;
        deployment.set_failures([Failure::Unframed("id: 1\ndata: one\n\nid: 2")]);
        let reply = deployment.stream("alone", "/resumable/x").await;
        assert!(!reply.complete);
    });
}

/// Guards against a request that was given up and still travels: what waits in the buffers of a connection
/// would reach the backend server after the request was answered otherwise, or after its data centre was
/// evacuated.
#[test]
fn a_request_that_was_given_up_is_not_delivered_later() {
    fleet::run(async |deployment: &Deployment| {
        for backend in [&deployment.backend, &deployment.spare] {
            deployment.send_heartbeat(backend, "draining", 9).await;
        }
        // It accepts connections and reads nothing, like one behind a partition.
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address");
        let heartbeat = format!("{address} ready 1");
        assert_eq!(
            deployment
                .order_with_body("PUT", "/beat/stuck", heartbeat)
                .await,
            200
        );
        let mut caller = deployment.begin_call("given-up", REQUEST_BYTES).await;
        caller.write_all(b"x").await.expect("sent");
        let (mut stuck, _) = listener.accept().await.expect("a connection");
        let head = response_head(&mut caller, Duration::from_secs(6)).await;
        assert!(head.expect("an answer").starts_with("HTTP/1.1 50"));

        let mut received = Vec::new();
        let end = stuck.read_to_end(&mut received).await;
        let error = end.expect_err("the connection was reset");
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
        assert!(received.len() < REQUEST_BYTES, "{} bytes", received.len());
    });
}
