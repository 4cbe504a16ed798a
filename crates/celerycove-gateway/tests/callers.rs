//! Tests of an entry, a control instance and a store on loopback, with backend servers that
//! fail on demand.

#[path = "callers/backend.rs"]
mod backend;
#[path = "callers/dialect.rs"]
mod dialect;
#[path = "callers/fleet.rs"]
mod fleet;

use std::time::Duration;

use backend::Failure;
use fleet::{Deployment, Reply};
use futures_util::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

#[test]
fn a_request_is_forwarded_with_the_organisation_and_without_the_key() {
    fleet::run(async |deployment: &Deployment| {
        let reply = deployment.call("r1", "/plain/x", Some("key-1")).await;
        assert_eq!(
            (reply.status, reply.body.as_slice()),
            (200, b"answer".as_slice())
        );
        let executed = deployment.executed_requests();
        assert_eq!(executed.len(), 1);
        assert_eq!(executed[0].organisation.as_deref(), Some("zilina"));
        assert!(!executed[0].contains_key);
    });
}

#[test]
fn requests_with_unknown_key_or_route_or_without_identifier_are_rejected() {
    fleet::run(async |deployment: &Deployment| {
        assert_eq!(deployment.call("r1", "/plain/x", None).await.status, 401);
        assert_eq!(
            deployment
                .call("r2", "/plain/x", Some("other"))
                .await
                .status,
            401
        );
        assert_eq!(
            deployment.call("r3", "/none/x", Some("key-1")).await.status,
            404
        );
        assert_eq!(
            deployment.call("", "/plain/x", Some("key-1")).await.status,
            400
        );
        assert!(deployment.executed_requests().is_empty());
    });
}

#[test]
fn a_non_idempotent_request_is_not_retried_when_the_response_is_lost() {
    fleet::run(async |deployment: &Deployment| {
        deployment.set_failures([Failure::CloseAfterReading]);
        let reply = deployment.call("r1", "/once/x", Some("key-1")).await;
        assert_eq!(reply.status, 502);
        assert_eq!(deployment.executed_requests().len(), 1);
    });
}

#[test]
fn an_idempotent_request_is_retried_when_the_response_is_lost_or_invalid() {
    let failures = [
        Failure::CloseAfterReading,
        Failure::TruncateBody,
        Failure::WrongRequestId,
        Failure::InvalidResponse,
    ];
    for failure in failures {
        fleet::run(async |deployment: &Deployment| {
            deployment.set_failures([failure]);
            let reply = deployment.call("r1", "/plain/x", Some("key-1")).await;
            assert_eq!(
                (reply.status, reply.body.as_slice()),
                (200, b"answer".as_slice())
            );
        });
    }
}

#[test]
fn a_declined_non_idempotent_request_is_retried_on_another_backend_server() {
    fleet::run(async |deployment: &Deployment| {
        deployment.set_failures([Failure::Decline, Failure::Decline]);
        let reply = deployment.call("r1", "/once/x", Some("key-1")).await;
        assert_eq!(reply.status, 503);
        assert!(reply.retry_after.is_some());
        let again = deployment.call("r2", "/once/x", Some("key-1")).await;
        assert_eq!(again.status, 200);
    });
}

#[test]
fn an_invalid_response_to_a_non_idempotent_request_is_not_forwarded() {
    for failure in [
        Failure::TruncateBody,
        Failure::WrongRequestId,
        Failure::InvalidResponse,
    ] {
        fleet::run(async |deployment: &Deployment| {
            deployment.set_failures([failure]);
            let reply = deployment.call("r1", "/once/x", Some("key-1")).await;
            assert_eq!(reply.status, 502);
            assert_eq!(deployment.executed_requests().len(), 1);
        });
    }
}

#[test]
fn a_turn_continues_from_its_previous_turn() {
    fleet::run(async |deployment: &Deployment| {
        let first = deployment.turn("t1", None, "hello", Some(100)).await;
        assert_eq!(first.status, 200);
        let second = deployment.turn("t2", Some("t1"), "again", Some(100)).await;
        assert_eq!(second.status, 200);
        let bodies: Vec<_> = deployment
            .executed_requests()
            .into_iter()
            .map(|request| request.body)
            .collect();
        assert_eq!(bodies[0], b"hello");
        assert_eq!(bodies[1], b"helloone\ntwo\nthree\nagain");
        let unknown = deployment.turn("t3", Some("t9"), "x", Some(100)).await;
        assert_eq!(unknown.status, 404);
    });
}

#[test]
fn a_turn_beyond_the_budget_of_its_program_is_rejected() {
    fleet::run(async |deployment: &Deployment| {
        // A turn reserves ten tokens and spends six (three events of two tokens each), so the budget of
        // sixteen allows a second turn but no third.
        assert_eq!(deployment.turn("t1", None, "a", Some(16)).await.status, 200);
        assert_eq!(deployment.turn("t2", None, "b", Some(16)).await.status, 200);
        assert_eq!(deployment.turn("t3", None, "c", Some(16)).await.status, 402);
        assert_eq!(deployment.executed_requests().len(), 2);
    });
}

#[test]
fn a_resumable_stream_continues_on_another_backend_server_without_gap_or_repetition() {
    fleet::run(async |deployment: &Deployment| {
        deployment.set_failures([Failure::TruncateStream]);
        let reply = deployment.stream("s1", "/resumable/x").await;
        assert_eq!(reply.status, 200);
        assert!(reply.complete);
        assert_eq!(reply.events(), ["1:one", "2:two", "3:three"]);
    });
}

#[test]
fn a_broken_stream_that_is_not_resumable_ends_incomplete() {
    fleet::run(async |deployment: &Deployment| {
        deployment.set_failures([Failure::TruncateStream]);
        let reply: Reply = deployment.turn("t1", None, "hello", Some(100)).await;
        assert!(!reply.complete);
        let next = deployment.turn("t2", Some("t1"), "again", Some(100)).await;
        assert_eq!(next.status, 404);
    });
}

#[test]
fn the_backend_connection_is_closed_when_the_caller_disconnects() {
    fleet::run(async |deployment: &Deployment| {
        deployment.set_failures([Failure::StallStream]);
        deployment
            .disconnect_after_first_event("s1", "/resumable/x")
            .await;
        let closed = async {
            while deployment.backend.open_streams() + deployment.spare.open_streams() > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let closed = tokio::time::timeout(Duration::from_secs(5), closed).await;
        assert!(closed.is_ok(), "a backend server is still streaming");
    });
}

#[test]
fn a_leaving_backend_server_gets_no_requests_after_the_acknowledgement() {
    fleet::run(async |deployment: &Deployment| {
        deployment
            .send_heartbeat(&deployment.backend, "draining", 9)
            .await;
        for n in 0..10 {
            let reply = deployment
                .call(&format!("r{n}"), "/plain/x", Some("key-1"))
                .await;
            assert_eq!(reply.status, 200);
        }
        assert!(deployment.backend.executed().is_empty());
    });
}

#[test]
fn older_and_invalid_configurations_do_not_replace_the_newest() {
    fleet::run(async |deployment: &Deployment| {
        let newest = deployment.read_config().await;
        assert!(newest.contains("version=2"));
        assert_eq!(
            deployment
                .configure(&newest.replace("version=2", "version=1"))
                .await,
            200
        );
        assert_eq!(deployment.read_config().await, newest);
        assert_eq!(
            deployment
                .configure("version=3\nroute=bad /bad/ missing\n")
                .await,
            400
        );
        assert_eq!(deployment.read_config().await, newest);
    });
}

#[test]
fn configured_limits_of_request_head_and_idle_time_are_enforced() {
    const LIMITED_CONFIG: &str = "version=3\nroute=plain /plain/ app\nlimits=9000 200\n";
    fleet::run(async |deployment: &Deployment| {
        assert_eq!(deployment.configure(LIMITED_CONFIG).await, 200);
        deployment.wait_for_idle_close().await;
        assert_eq!(deployment.call_with_long_head(9_000).await.status, 431);
        let short = deployment.call("r1", "/plain/x", Some("key-1")).await;
        assert_eq!(short.status, 200);
    });
}

#[test]
fn configuration_turns_and_budgets_survive_a_restart_of_all_processes() {
    fleet::run_with_restart(
        async |deployment: &Deployment| {
            let first = deployment.turn("t1", None, "hello", Some(16)).await;
            assert_eq!(first.status, 200);
        },
        async |deployment: &Deployment| {
            assert!(deployment.read_config().await.contains("version=2"));
            let second = deployment.turn("t2", Some("t1"), "again", Some(16)).await;
            assert_eq!(second.status, 200);
            let executed = deployment.executed_requests();
            assert_eq!(executed[0].body, b"helloone\ntwo\nthree\nagain");
            let third = deployment.turn("t3", Some("t2"), "more", Some(16)).await;
            assert_eq!(third.status, 402);
        },
    );
}

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

/// A valid configuration of about four megabytes.
fn large_config(version: u32) -> String {
    let filler = "x".repeat(4_000);
    let routes = (0..1_040).map(|number| format!("route=plain /{number}-{filler}/ app\n"));
    let routes: String = routes.collect();
    format!("version={version}\nroute=plain /plain/ app\n{routes}")
}

/// Reads the head of a response, at most until the time is over.
async fn response_head(stream: &mut TcpStream, time: Duration) -> Option<String> {
    let mut bytes = [0; 1 << 10];
    let length = tokio::time::timeout(time, stream.read(&mut bytes)).await;
    let length = length.ok()?.expect("no reset");
    Some(String::from_utf8_lossy(&bytes[..length]).into_owned())
}

/// Bodies of operators were bounded one by one, at 16 MiB each, and held as long as their senders
/// took.
#[test]
fn large_bodies_of_operators_at_once_are_refused_and_hold_up_no_heartbeat() {
    const SENDERS: usize = 4;
    fleet::run(async |deployment: &Deployment| {
        let mut senders = Vec::new();
        for _ in 0..SENDERS {
            senders.push(deployment.begin_config(4 << 20).await);
        }
        let heartbeat = deployment.send_heartbeat(&deployment.backend, "ready", 2);
        let heartbeat = tokio::time::timeout(Duration::from_millis(500), heartbeat).await;
        heartbeat.expect("heartbeats have room of their own");
        let mut refused = 0;
        for sender in &mut senders {
            let head = response_head(sender, Duration::from_millis(800)).await;
            let Some(head) = head else { continue };
            if head.starts_with("HTTP/1.1 503 ") {
                assert!(head.contains("retry-after: 1\r\n"), "{head}");
                refused += 1;
            }
        }
        assert_eq!(refused, SENDERS - 1);
        // The one that was admitted pauses too long and gives its room back.
        let config = large_config(3);
        assert!(
            (4_000_000..4 << 20).contains(&config.len()),
            "{}",
            config.len()
        );
        let accepted = async {
            while deployment.configure_with_reply(config.clone()).await.status != 200 {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        let accepted = tokio::time::timeout(Duration::from_secs(10), accepted).await;
        accepted.expect("the configuration is accepted");
        assert_eq!(deployment.read_config().await, config);
    });
}

/// A body that can never be accepted would be sent again and again.
#[test]
fn a_body_that_never_finds_room_is_answered_with_413_and_the_limit() {
    fleet::run(async |deployment: &Deployment| {
        let reply = deployment.configure_with_reply("x".repeat(6 << 20)).await;
        assert_eq!((reply.status, reply.retry_after), (413, None));
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        assert!(text.starts_with("the body is longer than 4"), "{text}");
        assert_eq!(deployment.configure("version=3\n").await, 200);
    });
}

/// Bodies of callers were bounded one by one, and held as long as their senders took.
#[test]
fn bodies_of_many_slow_callers_are_refused_and_leave_room_for_short_requests() {
    const CALLERS: usize = 8;
    fleet::run(async |deployment: &Deployment| {
        let mut callers = Vec::new();
        for number in 0..CALLERS {
            let id = format!("large-{number}");
            callers.push(deployment.begin_call(&id, 4 << 20).await);
        }
        let short = deployment.call("short", "/plain/x", Some("key-1")).await;
        assert_eq!(short.status, 200);
        let (mut refused, mut waiting) = (0, Vec::new());
        for mut caller in callers {
            match response_head(&mut caller, Duration::from_millis(800)).await {
                Some(head) => {
                    assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
                    assert!(head.contains("retry-after: 0.150\r\n"), "{head}");
                    refused += 1;
                }
                None => waiting.push(caller),
            }
        }
        // The instance of 88 MB holds 14 MB of bodies, a quarter of which is kept for short ones.
        assert_eq!((refused, waiting.len()), (CALLERS - 2, 2));
        for mut caller in waiting {
            caller.write_all(b"x").await.expect("sent");
            let head = response_head(&mut caller, Duration::from_secs(5)).await;
            assert!(head.is_some_and(|head| head.starts_with("HTTP/1.1 200 ")));
        }
        assert_eq!(deployment.executed_requests().len(), 3);
    });
}

/// The status that a caller's request gets.
async fn call_status(deployment: &Deployment, id: &str) -> u16 {
    let reply = deployment.call(id, "/plain/x", Some("key-1")).await;
    reply.status
}

/// Guards against an order that is carried out though its sender has given it up: the sender may have
/// had it, and a later one, carried out by another instance.
#[test]
fn an_order_whose_sender_has_closed_its_connection_is_not_carried_out() {
    fleet::run(async |deployment: &Deployment| {
        assert_eq!(deployment.order("POST", "/evacuations/a").await, 200);
        for round in 0..10 {
            drop(deployment.write_order("DELETE", "/evacuations/a"));
            tokio::time::sleep(Duration::from_millis(300)).await;
            let status = call_status(deployment, &format!("given-up-{round}")).await;
            assert_eq!(status, 503, "the evacuation is in force");
        }
        assert_eq!(deployment.order("DELETE", "/evacuations/a").await, 200);
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(call_status(deployment, "restored").await, 200);
    });
}

/// Guards against an order that is carried out after it waited in the sockets of a process that stood
/// still, though its sender keeps the connection open.
#[test]
fn an_order_that_waited_while_the_process_stood_still_is_rejected() {
    fleet::run(async |deployment: &Deployment| {
        assert_eq!(deployment.order("POST", "/evacuations/a").await, 200);
        let stream = deployment.write_order("DELETE", "/evacuations/a");
        // Nothing of the deployment runs meanwhile.
        std::thread::sleep(Duration::from_millis(1_500));
        stream.set_nonblocking(true).expect("a socket");
        let mut stream = TcpStream::from_std(stream).expect("a socket");
        let mut response = String::new();
        let reading = stream.read_to_string(&mut response);
        let reading = tokio::time::timeout(Duration::from_secs(5), reading).await;
        reading.expect("in time").expect("a response");
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.ends_with("nothing was done"), "{response}");
        assert_eq!(call_status(deployment, "evacuated").await, 503);
        tokio::time::sleep(Duration::from_millis(800)).await;
        assert_eq!(deployment.order("DELETE", "/evacuations/a").await, 200);
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(call_status(deployment, "restored").await, 200);
    });
}

/// Guards against events without end that fill the memory: the process would end, and with it the
/// requests of all other callers.
#[test]
fn many_long_events_without_end_stay_within_the_memory_limit() {
    const STREAMS: usize = 80;
    fleet::run(async |deployment: &Deployment| {
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

/// Guards against a planned stop that cuts what it has passed on: requests that come late in the grace
/// period on open connections, and requests that are still open at its end.
#[test]
fn a_planned_stop_refuses_what_can_not_end_and_answers_what_it_has_passed_on() {
    fleet::run_with_grace_period(Duration::from_secs(4), async |deployment: &Deployment| {
        let request = |id: &str| {
            format!(
                "POST /once/x HTTP/1.1\r\nhost: test\r\nid: {id}\r\nkey: key-1\r\ncontent-length: 0\r\n\r\n"
            )
        };
        deployment.set_failures([Failure::Silence, Failure::Silence]);
        let began = tokio::time::Instant::now();
        let at = |seconds: f64| began + Duration::from_secs_f64(seconds);
        let stopping = deployment.stop_entry();
        tokio::time::sleep_until(at(0.3)).await;
        // The callers wait for four seconds, longer than the entry lives.
        let mut open = deployment.connect().await.expect("still accepted");
        let mut late = deployment.connect().await.expect("still accepted");
        let late_request = request("late");
        let (first, rest) = late_request.split_at(20);
        late.write_all(first.as_bytes()).await.expect("sent");
        open.write_all(request("open").as_bytes())
            .await
            .expect("sent");

        tokio::time::sleep_until(at(2.2)).await;
        late.write_all(rest.as_bytes()).await.expect("sent");
        let head = response_head(&mut late, Duration::from_millis(500)).await;
        let head = head.expect("an answer at once").to_lowercase();
        assert!(head.starts_with("http/1.1 503"), "{head}");
        assert!(head.contains("retry-after"), "{head}");
        deployment
            .connect()
            .await
            .expect_err("the listener is closed");

        let head = response_head(&mut open, Duration::from_secs(2)).await;
        let head = head.expect("an answer before the entry ends");
        assert!(head.starts_with("HTTP/1.1 504"), "{head}");
        let ended = tokio::time::timeout_at(at(4.0), stopping).await;
        ended.expect("within the grace period").expect("no panic");
        assert_eq!(
            deployment.executed_requests().len(),
            1,
            "the late one was not passed on"
        );
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

/// More than the buffers of a connection hold while its receiver reads nothing, and less than a body may
/// have.
const REQUEST_BYTES: usize = 4_000_000;
