//! Replicas of one shard, message by message.

use std::{collections::BTreeMap, time::Duration};

use celerycove_program::{
    Event, Message, Options, Request, Response, Shard,
    message::Body,
    op::{Answer, CallName, Ending},
    request::Refusal,
    shard::{Action, Assignment},
};

const NOW: Duration = Duration::from_secs(1);

/// Replicas by name, and the messages between them that have not arrived.
struct Replicas {
    shards: BTreeMap<&'static str, Shard>,
    messages: Vec<(&'static str, &'static str, Message)>,
    responses: Vec<(u64, Response)>,
}

fn known(name: &str) -> &'static str {
    ["a", "b", "c"]
        .into_iter()
        .find(|known| *known == name)
        .expect("a replica")
}

impl Replicas {
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
        let shard = self.shards.get_mut(name).expect("a replica");
        let actions = shard.step(NOW, event);
        shard.check().expect("the invariants hold");
        for action in actions {
            match action {
                Action::Send { to, message } => self.messages.push((name, known(&to), message)),
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

    /// Delivers everything, except from and to those that are cut off.
    fn deliver(&mut self, cut: &[&str]) {
        while !self.messages.is_empty() {
            let (from, to, message) = self.messages.remove(0);
            if !cut.contains(&from) && !cut.contains(&to) {
                let from = from.into();
                self.step(to, Event::Message { from, message });
            }
        }
    }

    fn ask(&mut self, name: &'static str, token: u64, request: Request) {
        self.step(name, Event::Request { token, request });
    }

    fn response(&self, token: u64) -> Option<&Response> {
        self.responses
            .iter()
            .find(|(known, _)| *known == token)
            .map(|(_, r)| r)
    }
}

fn name(program: &str, call: u32) -> CallName {
    CallName {
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
        name: name(program, call),
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
        name: name(program, call),
        attempt,
        ending: Ending::Done(Answer {
            message: format!("a{call}").into(),
            finish: "stop".into(),
            model: "m".into(),
            prompt_tokens: 10,
            completion_tokens: 20,
            backend: "e".into(),
        }),
    }
}

/// Three replicas with one program and one completed call, `a` leading.
fn three() -> Replicas {
    let mut replicas = Replicas::new();
    for name in ["a", "b", "c"] {
        replicas.assign(name, 1, "a", &["b", "c"]);
    }
    replicas.deliver(&[]);
    replicas.ask("a", 1, open("p1"));
    replicas.ask("a", 2, begin("p1", 1, "r1"));
    replicas.ask("a", 3, settle("p1", 1, 1));
    replicas.deliver(&[]);
    assert_eq!(replicas.response(3), Some(&Response::Done));
    replicas
}

#[test]
fn nothing_is_acknowledged_without_every_backup() {
    let mut replicas = three();
    replicas.ask("a", 4, begin("p1", 2, "r2"));
    replicas.deliver(&["c"]);
    assert_eq!(replicas.response(4), None);
    replicas.step("a", Event::Tick);
}

#[test]
fn a_replaced_primary_answers_nothing_not_even_a_refusal() {
    let mut replicas = three();
    // `b` leads now and goes on with the program; `a` has not heard of it.
    for name in ["b", "c"] {
        replicas.assign(name, 2, "b", &["c"]);
    }
    replicas.deliver(&["a"]);
    replicas.ask("b", 10, begin("p1", 2, "r2"));
    replicas.ask("b", 11, settle("p1", 2, 1));
    replicas.deliver(&["a"]);
    assert_eq!(replicas.response(11), Some(&Response::Done));
    // To `a`, call 3 is out of order and call 1 is recorded; both need the backups' word.
    replicas.ask("a", 20, begin("p1", 3, "r3"));
    replicas.ask("a", 21, begin("p1", 1, "r4"));
    replicas.deliver(&[]);
    assert_eq!(replicas.response(20), Some(&Response::NotPrimary));
    assert_eq!(replicas.response(21), Some(&Response::NotPrimary));
    replicas.ask("b", 22, begin("p1", 3, "r3"));
    replicas.deliver(&[]);
    assert!(matches!(replicas.response(22), Some(Response::Granted(_))));
}

#[test]
fn a_message_of_an_older_epoch_changes_nothing() {
    let mut replicas = three();
    replicas.assign("c", 2, "b", &["c"]);
    let before = replicas.shards["c"].state().clone();
    replicas.ask("a", 4, open("p2"));
    replicas.deliver(&[]);
    assert_eq!(replicas.shards["c"].state(), &before);
    assert_eq!(replicas.response(4), Some(&Response::NotPrimary));
}

#[test]
fn a_backup_that_diverged_is_made_whole_again() {
    let mut replicas = three();
    // `a` reaches only `c` with a record before it is replaced.
    replicas.ask("a", 4, open("lost"));
    replicas.deliver(&["b"]);
    for name in ["b", "c"] {
        replicas.assign(name, 2, "b", &["c"]);
    }
    replicas.deliver(&["a"]);
    replicas.ask("b", 5, open("kept"));
    replicas.deliver(&["a"]);
    assert_eq!(replicas.response(5), Some(&Response::Done));
    let (b, c) = (&replicas.shards["b"], &replicas.shards["c"]);
    assert_eq!(b.state().programs, c.state().programs);
    assert!(!c.state().programs.contains_key("lost"));
}

#[test]
fn a_late_image_does_not_undo_what_was_acknowledged() {
    let mut replicas = three();
    let image = replicas.shards["a"].image();
    replicas.ask("a", 4, open("p2"));
    replicas.deliver(&[]);
    let late = Message {
        shard: 0,
        epoch: 1,
        body: Body::Install(Box::new(image)),
    };
    let from = "a".into();
    replicas.step(
        "b",
        Event::Message {
            from,
            message: late,
        },
    );
    assert!(replicas.shards["b"].state().programs.contains_key("p2"));
}

#[test]
fn a_budget_is_reserved_before_and_settled_after() {
    let mut replicas = three();
    let account = |replicas: &Replicas| {
        let program = &replicas.shards["a"].state().programs["p1"];
        (program.spent, program.reserved)
    };
    assert_eq!(account(&replicas), (30, 0));
    replicas.ask("a", 4, begin("p1", 2, "r2"));
    // 30 tokens of history, 10 of the new turn at most, 50 generated at most.
    assert_eq!(account(&replicas), (30, 90));
    let unknown = Request::Settle {
        name: name("p1", 2),
        attempt: 1,
        ending: Ending::Unknown,
    };
    replicas.ask("a", 5, unknown);
    assert_eq!(
        account(&replicas),
        (120, 0),
        "what may have run counts in full"
    );
    let mut dear = begin("p1", 2, "r3");
    if let Request::Begin { max_tokens, .. } = &mut dear {
        *max_tokens = Some(900);
    }
    replicas.ask("a", 6, dear);
    replicas.deliver(&[]);
    assert!(matches!(
        replicas.response(6),
        Some(Response::Refused(Refusal::Budget {
            needed: 940,
            remaining: 880
        }))
    ));
}

#[test]
fn an_unknown_payment_is_never_granted_again() {
    let mut replicas = three();
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
    replicas.ask("a", 10, intend("r1", "d"));
    replicas.ask("a", 11, intend("r2", "d"));
    replicas.ask("a", 12, conclude(1, Ending::NotRun));
    replicas.ask("a", 13, intend("r2", "d"));
    replicas.ask("a", 14, conclude(1, Ending::Unknown));
    replicas.ask("a", 15, conclude(2, Ending::Unknown));
    replicas.ask("a", 16, intend("r3", "d"));
    replicas.ask("a", 17, intend("r4", "other"));
    replicas.deliver(&[]);
    let expected = [
        (10, Response::Intended { attempt: 1 }),
        (11, Response::Refused(Refusal::UnderWay)),
        (13, Response::Intended { attempt: 2 }),
        (16, Response::Refused(Refusal::Unknown)),
        (17, Response::Refused(Refusal::KeyReused)),
    ];
    for (token, response) in expected {
        assert_eq!(replicas.response(token), Some(&response), "{token}");
    }
}
