//! An entry, a control instance and a store on loopback, before backend servers that misbehave.

#[path = "callers/backend.rs"]
mod backend;
#[path = "callers/dialect.rs"]
mod dialect;
#[path = "callers/fleet.rs"]
mod fleet;

use std::time::Duration;

use backend::Behaviour;
use fleet::{Deployment, Reply};

#[test]
fn a_plain_call_is_answered_whole_and_told_whose_it_is() {
    fleet::run(async |deployment: &Deployment| {
        let reply = deployment.call("r1", "/plain/x", Some("key-1")).await;
        assert_eq!(
            (reply.status, reply.body.as_slice()),
            (200, b"answer".as_slice())
        );
        let seen = deployment.all_seen();
        assert_eq!(seen.len(), 1);
        assert_eq!(seen[0].organisation.as_deref(), Some("zilina"));
        assert!(!seen[0].shows_key);
    });
}

#[test]
fn unknown_keys_routes_and_requests_without_a_name_are_refused() {
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
        assert!(deployment.all_seen().is_empty());
    });
}

#[test]
fn a_non_idempotent_call_whose_answer_is_lost_runs_once() {
    fleet::run(async |deployment: &Deployment| {
        deployment.behave([Behaviour::CloseAfterReading]);
        let reply = deployment.call("r1", "/once/x", Some("key-1")).await;
        assert_eq!(reply.status, 502);
        assert_eq!(deployment.all_seen().len(), 1);
    });
}

#[test]
fn an_idempotent_call_whose_answer_is_lost_or_spoilt_is_sent_again() {
    let spoilt = [
        Behaviour::CloseAfterReading,
        Behaviour::CutBody,
        Behaviour::AnswerAnother,
        Behaviour::Garbage,
    ];
    for behaviour in spoilt {
        fleet::run(async |deployment: &Deployment| {
            deployment.behave([behaviour]);
            let reply = deployment.call("r1", "/plain/x", Some("key-1")).await;
            assert_eq!(
                (reply.status, reply.body.as_slice()),
                (200, b"answer".as_slice())
            );
        });
    }
}

#[test]
fn a_non_idempotent_call_that_was_declined_goes_elsewhere() {
    fleet::run(async |deployment: &Deployment| {
        deployment.behave([Behaviour::Decline, Behaviour::Decline]);
        let reply = deployment.call("r1", "/once/x", Some("key-1")).await;
        assert_eq!(reply.status, 503);
        assert!(reply.retry_after.is_some());
        let again = deployment.call("r2", "/once/x", Some("key-1")).await;
        assert_eq!(again.status, 200);
    });
}

#[test]
fn a_spoilt_answer_of_a_non_idempotent_call_is_not_passed_on() {
    for behaviour in [
        Behaviour::CutBody,
        Behaviour::AnswerAnother,
        Behaviour::Garbage,
    ] {
        fleet::run(async |deployment: &Deployment| {
            deployment.behave([behaviour]);
            let reply = deployment.call("r1", "/once/x", Some("key-1")).await;
            assert_eq!(reply.status, 502);
            assert_eq!(deployment.all_seen().len(), 1);
        });
    }
}

#[test]
fn a_turn_continues_from_the_one_before_by_name() {
    fleet::run(async |deployment: &Deployment| {
        let first = deployment.turn("t1", None, "hello", Some(100)).await;
        assert_eq!(first.status, 200);
        let second = deployment.turn("t2", Some("t1"), "again", Some(100)).await;
        assert_eq!(second.status, 200);
        let bodies: Vec<_> = deployment.all_seen().into_iter().map(|s| s.body).collect();
        assert_eq!(bodies[0], b"hello");
        assert_eq!(bodies[1], b"helloone\ntwo\nthree\nagain");
        let unknown = deployment.turn("t3", Some("t9"), "x", Some(100)).await;
        assert_eq!(unknown.status, 404);
    });
}

#[test]
fn a_program_stops_at_its_budget() {
    fleet::run(async |deployment: &Deployment| {
        // Three events of two tokens each, ten at most, of a budget of sixteen.
        assert_eq!(deployment.turn("t1", None, "a", Some(16)).await.status, 200);
        assert_eq!(deployment.turn("t2", None, "b", Some(16)).await.status, 200);
        assert_eq!(deployment.turn("t3", None, "c", Some(16)).await.status, 402);
        assert_eq!(deployment.all_seen().len(), 2);
    });
}

#[test]
fn a_resumable_stream_goes_on_elsewhere_without_gap_or_repeat() {
    fleet::run(async |deployment: &Deployment| {
        deployment.behave([Behaviour::CutStream]);
        let reply = deployment.stream("s1", "/resumable/x").await;
        assert_eq!(reply.status, 200);
        assert!(reply.whole);
        assert_eq!(reply.events(), ["1:one", "2:two", "3:three"]);
    });
}

#[test]
fn a_stream_that_may_not_be_resumed_does_not_look_whole_when_it_breaks() {
    fleet::run(async |deployment: &Deployment| {
        deployment.behave([Behaviour::CutStream]);
        let reply: Reply = deployment.turn("t1", None, "hello", Some(100)).await;
        assert!(!reply.whole);
        let next = deployment.turn("t2", Some("t1"), "again", Some(100)).await;
        assert_eq!(next.status, 404);
    });
}

#[test]
fn the_engine_is_left_when_the_caller_leaves() {
    fleet::run(async |deployment: &Deployment| {
        deployment.behave([Behaviour::StallStream]);
        deployment.leave_stream("s1", "/resumable/x").await;
        let left = async {
            while deployment.backend.open() + deployment.spare.open() > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let left = tokio::time::timeout(Duration::from_secs(5), left).await;
        assert!(left.is_ok(), "the engine is still at work");
    });
}

#[test]
fn a_leaving_backend_server_gets_no_more_once_that_is_acknowledged() {
    fleet::run(async |deployment: &Deployment| {
        deployment.beat(&deployment.backend, "draining", 9).await;
        for n in 0..10 {
            let reply = deployment
                .call(&format!("r{n}"), "/plain/x", Some("key-1"))
                .await;
            assert_eq!(reply.status, 200);
        }
        assert!(deployment.backend.seen().is_empty());
    });
}

#[test]
fn the_newest_configuration_is_read_back_and_older_ones_change_nothing() {
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
fn heads_and_idle_times_are_bounded_by_the_configuration() {
    const LIMITED: &str = "version=3\nroute=plain /plain/ app\nlimits=9000 200\n";
    fleet::run(async |deployment: &Deployment| {
        assert_eq!(deployment.configure(LIMITED).await, 200);
        deployment.stay_silent().await;
        assert_eq!(deployment.long_head(9_000).await.status, 431);
        let short = deployment.call("r1", "/plain/x", Some("key-1")).await;
        assert_eq!(short.status, 200);
    });
}

#[test]
fn a_deployment_that_starts_from_its_disks_goes_on_where_it_stopped() {
    fleet::run_twice(
        async |deployment: &Deployment| {
            let first = deployment.turn("t1", None, "hello", Some(16)).await;
            assert_eq!(first.status, 200);
        },
        async |deployment: &Deployment| {
            assert!(deployment.read_config().await.contains("version=2"));
            let second = deployment.turn("t2", Some("t1"), "again", Some(16)).await;
            assert_eq!(second.status, 200);
            let seen = deployment.all_seen();
            assert_eq!(seen[0].body, b"helloone\ntwo\nthree\nagain");
            let third = deployment.turn("t3", Some("t2"), "more", Some(16)).await;
            assert_eq!(third.status, 402);
        },
    );
}
