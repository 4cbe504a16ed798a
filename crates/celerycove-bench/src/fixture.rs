//! Builds the data that the benchmarks measure, at any size.

use std::sync::Arc;

use celerycove_config::{Change, Config, Organisation, Proposal, Store, document::Key};
use celerycove_control::{
    Placement,
    placement::{
        apply, create_shards,
        plan::{Candidate, Candidates, Options, plan},
    },
};
use celerycove_program::{
    Request,
    op::{Answer, CallId, Outcome},
};
use celerycove_route::{Pool, Stats, pool::Target};
use celerycove_sync::{
    Announcement, Availability, Backend, Directory,
    announce::{Kind, Model},
};
use celerycove_types::{Labels, id};

/// Data centres of the largest deployment that the system is designed for.
pub const DATA_CENTRES: usize = 15;

/// Returns the id of a data centre; numbers wrap around at [`DATA_CENTRES`].
#[must_use]
pub fn data_centre(n: usize) -> id::DataCentre {
    format!("dc-{}", n % DATA_CENTRES).into()
}

/// Builds the announcement of a sidecar process next to an engine.
#[must_use]
pub fn announcement(n: usize) -> Announcement {
    Announcement {
        process: format!("beside-engine-{n}").into(),
        incarnation: 1_790_000_000_000_000,
        revision: 1,
        data_centre: data_centre(n),
        address: ([10, 0, 0, 1], 7301).into(),
        availability: Availability::Serving,
        shard_incarnation: Some(1_790_000_000_000_000),
        caught_up_learners: Vec::new(),
        backend: Some(Backend {
            id: format!("engine-{n}").into(),
            kind: Kind::Engine,
            labels: Labels::from([("tier".to_owned(), "standard".to_owned())]),
            models: vec![Model {
                name: "drafter".to_owned(),
                version: "1".to_owned(),
                adapters: Vec::new(),
            }],
            route: None,
            capacity: 16,
            failing: false,
        }),
        relay: false,
    }
}

/// Builds a directory, the registry of processes, in which all processes are alive.
#[must_use]
pub fn directory(processes: usize) -> Directory {
    let mut directory = Directory::default();
    let now = std::time::Duration::from_secs(1);
    directory.begin_term(1, now);
    let relay: id::Process = "relay".into();
    for n in 0..processes {
        directory.record_announcement(&announcement(n), &relay, now);
    }
    directory
}

/// Builds a pool of all backend servers in a directory.
#[must_use]
pub fn pool(directory: &Directory) -> Pool {
    Pool::build(
        &Config::default(),
        directory.live(),
        &Vec::new(),
        &Target::Model("drafter".to_owned()),
        &data_centre(0),
        |_| Arc::new(Stats::default()),
    )
}

/// Builds the processes that may hold replicas of shards.
#[must_use]
pub fn candidates(processes: usize) -> Candidates {
    (0..processes)
        .map(|n| {
            let candidate = Candidate {
                state_incarnation: 1,
                process_incarnation: 1,
                data_centre: data_centre(n),
                silent: false,
                leaving: false,
                caught_up: Vec::new(),
            };
            (format!("beside-engine-{n}").into(), candidate)
        })
        .collect()
}

/// Builds a placement of shards on processes.
#[must_use]
pub fn placement(shards: id::Shard, processes: usize) -> Placement {
    let mut placement = Placement::default();
    apply(&mut placement, &create_shards(shards));
    let candidates = candidates(processes);
    let options = Options {
        max_changes: usize::MAX,
        ..Options::default()
    };
    let changes = plan(&placement, &candidates, options);
    apply(&mut placement, &changes);
    placement
}

/// Builds a typical change of configuration: the rate limit of one organisation.
#[must_use]
pub fn proposal(n: usize, organisations: usize) -> Proposal {
    let organisation = n % organisations;
    Proposal {
        request: format!("request-{n}").into(),
        operator: "admin".to_owned(),
        if_version: None,
        changes: vec![Change::Organisation {
            id: format!("organisation-{organisation}").into(),
            organisation: Some(Organisation {
                rate: 10.0,
                burst: 20 + u32::try_from(n % 7).unwrap_or(0),
                weight: 1,
            }),
        }],
    }
}

/// Builds a configuration store of organisations with two API keys each.
#[must_use]
pub fn store(organisations: usize) -> Store {
    let mut store = Store::default();
    for n in 0..organisations {
        store.propose(&proposal(n, organisations));
        for key in 0..2 {
            let change = Change::Issue {
                id: format!("key-{n}-{key}").into(),
                key: Key {
                    organisation: format!("organisation-{n}").into(),
                    digest: "0".repeat(64),
                },
            };
            store.propose(&Proposal {
                request: format!("issue-{n}-{key}").into(),
                operator: "admin".to_owned(),
                if_version: None,
                changes: vec![change],
            });
        }
    }
    store
}

/// Builds the request that opens a program.
#[must_use]
pub fn open_program(program: &str) -> Request {
    Request::Open {
        program: program.into(),
        organisation: "organisation-1".into(),
        budget: Some(100_000_000),
        deadline: None,
    }
}

/// Builds the request that begins a call, with a new turn of `bytes` content bytes.
#[must_use]
pub fn begin_call(program: &str, call: id::Call, bytes: usize) -> Request {
    Request::Begin {
        name: call_name(program, call),
        organisation: "organisation-1".into(),
        digest: "0".repeat(64).into(),
        turns: vec![chat_message("user", bytes)],
        turn_tokens: bytes as id::Tokens,
        max_tokens: Some(256),
        default_tokens: 1024,
        request: format!("entry-1-{program}-{call}").into(),
        entry: "entry-1#1790000000000000".into(),
    }
}

/// Builds the request that records the answer to a call, with `bytes` content bytes.
#[must_use]
pub fn settle_call(program: &str, call: id::Call, bytes: usize) -> Request {
    Request::Settle {
        name: call_name(program, call),
        attempt: 1,
        ending: Outcome::Done(Answer {
            message: chat_message("assistant", bytes),
            finish: "stop".into(),
            model: "drafter".into(),
            prompt_tokens: bytes as id::Tokens / 4,
            completion_tokens: bytes as id::Tokens / 4,
            backend: "engine-1".into(),
        }),
    }
}

fn call_name(program: &str, call: id::Call) -> CallId {
    CallId {
        program: program.into(),
        agent: "main".into(),
        call,
    }
}

/// Formats a chat message whose content has `bytes` bytes.
fn chat_message(role: &str, bytes: usize) -> Arc<str> {
    let content = "x".repeat(bytes);
    format!("{{\"role\":\"{role}\",\"content\":\"{content}\"}}").into()
}
