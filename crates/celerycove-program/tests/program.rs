//! Replication, failover and budgets of a shard with three replicas, driven message by message.

use std::{collections::BTreeMap, time::Duration};

use celerycove_program::{
    Event, Message, Options, Request, Response, Shard,
    message::Body,
    op::{Answer, CallId, Outcome},
    request::Refusal,
    shard::{Action, Assignment},
};

const NOW: Duration = Duration::from_secs(1);

/// The replicas of a shard by name, their undelivered messages and the responses so far.
struct Cluster {
    shards: BTreeMap<&'static str, Shard>,
    /// Sender, receiver and message.
    messages: Vec<(&'static str, &'static str, Message)>,
    /// Token and response.
    responses: Vec<(u64, Response)>,
}

fn name_of(process: &str) -> &'static str {
    ["a", "b", "c"]
        .into_iter()
        .find(|name| *name == process)
        .expect("the replica exists")
}

impl Cluster {
    fn new() -> Self {
        let shards = ["a", "b", "c"]
            .into_iter()
            .map(|name| (name, Shard::new(0, Options::default(), Duration::ZERO)))
            .collect();
        Self {
            shards,
            messages: Vec::new(),
            responses: Vec::new(),
        }
    }

    fn step(&mut self, name: &'static str, event: Event) {
        let shard = self.shards.get_mut(name).expect("the replica exists");
        let actions = shard.step(NOW, event);
        shard.check().expect("the invariants hold");
        for action in actions {
            match action {
                Action::Send { to, message } => self.messages.push((name, name_of(&to), message)),
                Action::Respond { token, response } => self.responses.push((token, response)),
                _ => {}
            }
        }
    }

    fn assign(&mut self, name: &'static str, epoch: u64, primary: &str, backups: &[&str]) {
        let assignment = Assignment {
            epoch,
            primary: name == primary,
            backups: backups.iter().map(|b| (*b).into()).collect(),
            learners: Vec::new(),
            origin: 1,
        };
        self.step(name, Event::Assign(assignment));
    }

    /// Delivers all messages, including those sent in reply; drops messages from and to isolated
    /// replicas.
    fn deliver(&mut self, isolated: &[&str]) {
        while !self.messages.is_empty() {
            let (from, to, message) = self.messages.remove(0);
            if !isolated.contains(&from) && !isolated.contains(&to) {
                let from = from.into();
                self.step(to, Event::Message { from, message });
            }
        }
    }

    fn request(&mut self, name: &'static str, token: u64, request: Request) {
        self.step(name, Event::Request { token, request });
    }

    fn response(&self, token: u64) -> Option<&Response> {
        self.responses
            .iter()
            .find(|(answered, _)| *answered == token)
            .map(|(_, r)| r)
    }
}

fn call_id(program: &str, call: u32) -> CallId {
    CallId {
        program: program.into(),
        agent: "main".into(),
        call,
    }
}

fn open(program: &str) -> Request {
    Request::Open {
        program: program.into(),
        organisation: "zilina".into(),
        budget: Some(1000),
        deadline: None,
    }
}

fn begin(program: &str, call: u32, request: &str) -> Request {
    Request::Begin {
        name: call_id(program, call),
        organisation: "zilina".into(),
        digest: format!("d{call}").into(),
        turns: vec![format!("t{call}").into()],
        turn_tokens: 10,
        max_tokens: Some(50),
        default_tokens: 50,
        request: request.into(),
        entry: "entry#1".into(),
    }
}

fn settle(program: &str, call: u32, attempt: u32) -> Request {
    Request::Settle {
        name: call_id(program, call),
        attempt,
        ending: Outcome::Done(Answer {
            message: format!("a{call}").into(),
            finish: "stop".into(),
            model: "m".into(),
            prompt_tokens: 10,
            completion_tokens: 20,
            backend: "e".into(),
        }),
    }
}

/// Creates a cluster with primary `a`, backups `b` and `c`, and a program with one completed call.
fn cluster_with_one_call() -> Cluster {
    let mut cluster = Cluster::new();
    for name in ["a", "b", "c"] {
        cluster.assign(name, 1, "a", &["b", "c"]);
    }
    cluster.deliver(&[]);
    cluster.request("a", 1, open("p1"));
    cluster.request("a", 2, begin("p1", 1, "r1"));
    cluster.request("a", 3, settle("p1", 1, 1));
    cluster.deliver(&[]);
    assert_eq!(cluster.response(3), Some(&Response::Done));
    cluster
}

#[test]
fn a_request_is_not_acknowledged_without_every_backup() {
    let mut cluster = cluster_with_one_call();
    cluster.request("a", 4, begin("p1", 2, "r2"));
    cluster.deliver(&["c"]);
    assert_eq!(cluster.response(4), None);
    cluster.step("a", Event::Tick);
}

#[test]
fn a_replaced_primary_sends_neither_results_nor_refusals() {
    let mut cluster = cluster_with_one_call();
    // `b` is primary of the next epoch and continues the program; `a` has not received the
    // assignment.
    for name in ["b", "c"] {
        cluster.assign(name, 2, "b", &["c"]);
    }
    cluster.deliver(&["a"]);
    cluster.request("b", 10, begin("p1", 2, "r2"));
    cluster.request("b", 11, settle("p1", 2, 1));
    cluster.deliver(&["a"]);
    assert_eq!(cluster.response(11), Some(&Response::Done));
    // In the stale state of `a`, call 3 is out of order and call 1 has a recorded answer. Neither
    // response may be sent before the backups confirm that `a` is still the primary.
    cluster.request("a", 20, begin("p1", 3, "r3"));
    cluster.request("a", 21, begin("p1", 1, "r4"));
    cluster.deliver(&[]);
    assert_eq!(cluster.response(20), Some(&Response::NotPrimary));
    assert_eq!(cluster.response(21), Some(&Response::NotPrimary));
    cluster.request("b", 22, begin("p1", 3, "r3"));
    cluster.deliver(&[]);
    assert!(matches!(cluster.response(22), Some(Response::Granted(_))));
}

#[test]
fn messages_of_an_older_epoch_are_ignored() {
    let mut cluster = cluster_with_one_call();
    cluster.assign("c", 2, "b", &["c"]);
    let state_before = cluster.shards["c"].state().clone();
    cluster.request("a", 4, open("p2"));
    cluster.deliver(&[]);
    assert_eq!(cluster.shards["c"].state(), &state_before);
    assert_eq!(cluster.response(4), Some(&Response::NotPrimary));
}

#[test]
fn a_diverged_backup_discards_the_diverging_records() {
    let mut cluster = cluster_with_one_call();
    // A record of `a` reaches only `c` before `a` is replaced.
    cluster.request("a", 4, open("lost"));
    cluster.deliver(&["b"]);
    for name in ["b", "c"] {
        cluster.assign(name, 2, "b", &["c"]);
    }
    cluster.deliver(&["a"]);
    cluster.request("b", 5, open("kept"));
    cluster.deliver(&["a"]);
    assert_eq!(cluster.response(5), Some(&Response::Done));
    let (b, c) = (&cluster.shards["b"], &cluster.shards["c"]);
    assert_eq!(b.state().programs, c.state().programs);
    assert!(!c.state().programs.contains_key("lost"));
}

#[test]
fn a_delayed_snapshot_does_not_undo_acknowledged_records() {
    let mut cluster = cluster_with_one_call();
    let snapshot = cluster.shards["a"].snapshot();
    cluster.request("a", 4, open("p2"));
    cluster.deliver(&[]);
    let delayed = Message {
        shard: 0,
        epoch: 1,
        body: Body::Install(Box::new(snapshot)),
    };
    let from = "a".into();
    cluster.step(
        "b",
        Event::Message {
            from,
            message: delayed,
        },
    );
    assert!(cluster.shards["b"].state().programs.contains_key("p2"));
}

#[test]
fn a_call_reserves_its_maximum_and_settles_its_outcome() {
    let mut cluster = cluster_with_one_call();
    let spent_and_reserved = |cluster: &Cluster| {
        let program = &cluster.shards["a"].state().programs["p1"];
        (program.spent, program.reserved)
    };
    assert_eq!(spent_and_reserved(&cluster), (30, 0));
    cluster.request("a", 4, begin("p1", 2, "r2"));
    // 30 tokens of history, at most 10 in the new messages, at most 50 generated.
    assert_eq!(spent_and_reserved(&cluster), (30, 90));
    let unknown = Request::Settle {
        name: call_id("p1", 2),
        attempt: 1,
        ending: Outcome::Unknown,
    };
    cluster.request("a", 5, unknown);
    assert_eq!(
        spent_and_reserved(&cluster),
        (120, 0),
        "a call that may have run counts with its full reservation"
    );
    let mut over_budget = begin("p1", 2, "r3");
    if let Request::Begin { max_tokens, .. } = &mut over_budget {
        *max_tokens = Some(900);
    }
    cluster.request("a", 6, over_budget);
    cluster.deliver(&[]);
    assert!(matches!(
        cluster.response(6),
        Some(Response::Refused(Refusal::Budget {
            needed: 940,
            remaining: 880
        }))
    ));
}

#[test]
fn a_service_call_with_unknown_outcome_is_never_granted_again() {
    let mut cluster = cluster_with_one_call();
    let intend = |request: &str, digest: &str| Request::Intend {
        key: "k".into(),
        digest: digest.into(),
        request: request.into(),
        entry: "entry#1".into(),
    };
    let conclude = |attempt, ending| Request::Conclude {
        key: "k".into(),
        attempt,
        ending,
    };
    cluster.request("a", 10, intend("r1", "d"));
    cluster.request("a", 11, intend("r2", "d"));
    cluster.request("a", 12, conclude(1, Outcome::NotRun));
    cluster.request("a", 13, intend("r2", "d"));
    cluster.request("a", 14, conclude(1, Outcome::Unknown));
    cluster.request("a", 15, conclude(2, Outcome::Unknown));
    cluster.request("a", 16, intend("r3", "d"));
    cluster.request("a", 17, intend("r4", "other"));
    cluster.deliver(&[]);
    let expected = [
        (10, Response::Intended { attempt: 1 }),
        (11, Response::Refused(Refusal::UnderWay)),
        (13, Response::Intended { attempt: 2 }),
        (16, Response::Refused(Refusal::Unknown)),
        (17, Response::Refused(Refusal::KeyReused)),
    ];
    for (token, response) in expected {
        assert_eq!(cluster.response(token), Some(&response), "{token}");
    }
}
