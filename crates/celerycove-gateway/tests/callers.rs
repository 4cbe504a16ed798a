//! Tests of an entry, a control instance and a store on loopback, with backend servers that
//! fail on demand.

#[path = "callers/abandonment.rs"]
mod abandonment;
#[path = "callers/admission.rs"]
mod admission;
#[path = "callers/backend.rs"]
mod backend;
#[path = "callers/dialect.rs"]
mod dialect;
#[path = "callers/fleet.rs"]
mod fleet;
#[path = "callers/hedge.rs"]
mod hedge;
#[path = "callers/invalid.rs"]
mod invalid;
#[path = "callers/misbehaviour.rs"]
mod misbehaviour;

use std::time::Duration;

use backend::Failure;
use fleet::{Deployment, Reply};
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
