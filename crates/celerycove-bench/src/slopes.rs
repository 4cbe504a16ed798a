//! The slopes of the page on capacity.

mod spreading;

use std::{path::Path, sync::Arc, time::Duration};

use celerycove_config::Feed;
use celerycove_control::{
    Command, Entry, Storage,
    placement::plan::{Options as PlanOptions, plan},
    state::State,
    storage::Snapshot,
};
use celerycove_disk::Store as DiskStore;
use celerycove_limit::{Holder, Owner, Request, owner::Entitlement};
use celerycove_program::{
    Event, Options as ShardOptions, Shard,
    message::{Body, Message, Snapshot as ShardSnapshot},
    shard::{Action, Assignment},
};
use celerycove_queue::{Event as QueueEvent, Gate, Job, Options as QueueOptions, Queue};
use celerycove_route::{Options as RouteOptions, Request as RouteRequest, select};
use celerycove_sync::{Follower, follower::reply_to};
use celerycove_types::id;
use rand::{SeedableRng, rngs::StdRng};
use serde_json::to_vec;

use crate::{
    fixture,
    measure::{line, memory, nanos, to_float},
};

/// Engines, and processes of the system, of the size to design for.
const ENGINES: usize = 7_700;
const PROCESSES: usize = 8_530;
/// Organisations of that size.
const ORGANISATIONS: usize = 260;
/// Changes of configuration a day.
const CHANGES: usize = 18_000;

/// Measures and prints everything; files go below `folder`.
///
/// # Errors
///
/// Returns an error if a file can't be written or read.
pub fn run(folder: &Path) -> Result<(), Box<dyn std::error::Error>> {
    // Memory first, while the allocator has nothing to hand out again.
    shared_state();
    history();
    spreading::run();
    routing();
    admission();
    configuration();
    control_log(folder)?;
    spread();
    placement();
    programs();
    queues();
    Ok(())
}

fn length<T: serde::Serialize>(value: &T) -> f64 {
    to_float(to_vec(value).map_or(0, |bytes| bytes.len() as u64))
}

fn routing() {
    let mut rng = StdRng::seed_from_u64(1);
    let options = RouteOptions::default();
    let figures: Vec<(usize, f64)> = [16, 512, ENGINES]
        .into_iter()
        .map(|size| {
            let pool = fixture::pool(&fixture::directory(size));
            let request = RouteRequest {
                prompt_tokens: 4000,
                cached_tokens: 3000,
                output_tokens: 200,
                last_backend: Some("engine-3".into()),
                excluded: Vec::new(),
            };
            let now = Duration::from_secs(5);
            (
                size,
                nanos(|| select(now, &pool, &request, &options, &mut rng).is_some()),
            )
        })
        .collect();
    line("routing decision, by backend servers", "ns", &figures);
    let figures: Vec<(usize, f64)> = [16, 512, ENGINES]
        .into_iter()
        .map(|size| {
            let directory = fixture::directory(size);
            (size, nanos(|| fixture::pool(&directory)) / 1e3)
        })
        .collect();
    line("one pool built anew, by backend servers", "us", &figures);
}

fn admission() {
    let holder = Arc::new(Holder::default());
    let lease = celerycove_limit::Lease {
        id: 1,
        tokens: u32::MAX,
        lasts: Duration::from_hours(1),
        retry: Duration::ZERO,
        outstanding: false,
    };
    holder.accept(Duration::ZERO, &lease);
    let now = Duration::from_secs(1);
    let figures: Vec<(usize, f64)> = [1, 3, 6]
        .into_iter()
        .map(|threads| {
            let total: f64 = std::thread::scope(|scope| {
                let workers: Vec<_> = (0..threads)
                    .map(|_| scope.spawn(|| nanos(|| holder.spend(now))))
                    .collect();
                workers.into_iter().filter_map(|w| w.join().ok()).sum()
            });
            (threads, total / to_float(threads as u64))
        })
        .collect();
    line("admission from a loan, by threads", "ns", &figures);
    let entitlement = Entitlement {
        rate: 400.0,
        burst: 800,
    };
    let figures: Vec<(usize, f64)> = [26, 130, ORGANISATIONS]
        .into_iter()
        .map(|organisations| {
            let mut owner = Owner::new(1, Duration::ZERO, true);
            let requests: Vec<Request> = (0..organisations)
                .map(|n| Request {
                    organisation: format!("organisation-{n}").into(),
                    want: 4,
                    open: Vec::new(),
                    closed: Vec::new(),
                    reserve: 0,
                })
                .collect();
            let mut now = Duration::from_secs(1);
            let mut at = 0;
            let took = nanos(|| {
                now += Duration::from_micros(50);
                at = (at + 1) % requests.len();
                owner.grant(now, &requests[at], entitlement)
            });
            (organisations, took)
        })
        .collect();
    line("lending tokens, by organisations", "ns", &figures);
    let ask = Request {
        organisation: "organisation-1".into(),
        want: 40,
        open: vec![(4_294_967_297, 3)],
        closed: vec![(4_294_967_296, 2)],
        reserve: 0,
    };
    line("question for tokens", "bytes", &[(1, length(&ask))]);
}

fn configuration() {
    let sizes = [26, 130, ORGANISATIONS];
    let figures = sizes.map(|size| (size, length(&fixture::store(size).config)));
    line("whole configuration, by organisations", "bytes", &figures);
    let figures = sizes.map(|size| {
        let mut store = fixture::store(size);
        let mut n = 1_000_000;
        let took = nanos(|| {
            n += 1;
            store.propose(&fixture::proposal(n, size))
        });
        (size, took / 1e3)
    });
    line("one change judged, by organisations", "us", &figures);
    let mut store = fixture::store(ORGANISATIONS);
    let (_, step) = store.propose(&fixture::proposal(9_999_999, ORGANISATIONS));
    line("one change as a step", "bytes", &[(1, length(&step))]);
}

fn control_log(folder: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let mut store = DiskStore::new(folder.join("log"))?;
    store.load()?;
    let entry = |index: usize| Entry {
        term: 1,
        index: index as u64,
        command: Command::Configure(fixture::proposal(index, ORGANISATIONS)),
    };
    line("one change in the log", "bytes", &[(1, length(&entry(1)))]);
    let mut index = 0;
    let mut figures = Vec::new();
    for together in [1, 16, 256] {
        let mut failed = None;
        let took = nanos(|| {
            let entries: Vec<Entry> = (index + 1..=index + together).map(entry).collect();
            index += together;
            failed = store.append(&entries).err();
        });
        if let Some(error) = failed {
            return Err(error.into());
        }
        figures.push((together, 1e9 / took * to_float(together as u64)));
    }
    line("changes a second on disk, by group commit", "1/s", &figures);
    let mut figures = Vec::new();
    let mut snapshot_bytes = Vec::new();
    for changes in [2_000, 6_000, CHANGES] {
        let mut state = State {
            store: fixture::store(ORGANISATIONS),
            placement: fixture::placement(2048, 2048),
            ..State::default()
        };
        for n in 0..changes {
            state.apply(&Command::Configure(fixture::proposal(n, ORGANISATIONS)));
        }
        let snapshot = Snapshot {
            index: changes as u64,
            term: 1,
            members: ["a".into()].into(),
            state,
        };
        let path = folder.join(format!("restart-{changes}"));
        let mut store = DiskStore::new(path.clone())?;
        store.load()?;
        // A node keeps at most 1,024 entries after its snapshot.
        let tail: Vec<Entry> = (changes + 1..=changes + 1024).map(entry).collect();
        store.save_snapshot(&snapshot, &tail)?;
        snapshot_bytes.push((changes, length(&snapshot)));
        let took = nanos(|| DiskStore::new(path.clone()).map(|mut store| store.load().is_ok()));
        figures.push((changes, took / 1e6));
    }
    line(
        "snapshot with 2,048 shards, by changes",
        "bytes",
        &snapshot_bytes,
    );
    line("restart from disk, by changes made before", "ms", &figures);
    Ok(())
}

fn spread() {
    let feed = Feed::new(fixture::store(ORGANISATIONS).config);
    let placement = fixture::placement(2048, PROCESSES);
    let lease = Duration::from_secs(4);
    let silence = Duration::from_secs(3);
    let directory = fixture::directory(PROCESSES);
    let now = Duration::from_secs(10);
    let mut leaf = Follower::new(lease, silence);
    let first = leaf.pull(now, fixture::announcement(1));
    let reply = reply_to(&first, &feed, &placement, &directory, Duration::ZERO);
    line(
        "first reply to a new process",
        "bytes",
        &[(1, length(&reply))],
    );
    leaf.apply_reply(now, reply);
    let pull = leaf.pull(now, fixture::announcement(1));
    let reply = reply_to(&pull, &feed, &placement, &directory, Duration::ZERO);
    line("idle pull", "bytes", &[(1, length(&pull))]);
    line("idle reply", "bytes", &[(1, length(&reply))]);
    let figures = [10, 100, 570].map(|children| {
        let mut relay = Follower::new(lease, silence);
        let own = relay.pull(now, fixture::announcement(0));
        relay.apply_reply(
            now,
            reply_to(&own, &feed, &placement, &directory, Duration::ZERO),
        );
        for n in 0..children {
            let mut child = Follower::new(lease, silence);
            let mut pull = child.pull(now, fixture::announcement(n));
            pull.process = fixture::announcement(n).process;
            relay.record_pull(now, &pull);
        }
        // Upstream has taken what it was told.
        let own = relay.pull(now, fixture::announcement(0));
        relay.apply_reply(
            now,
            reply_to(&own, &feed, &placement, &directory, Duration::ZERO),
        );
        let up = relay.pull(now, fixture::announcement(0));
        let took = nanos(|| relay.serve(now, &pull));
        (children, took / 1e3, length(&up))
    });
    line(
        "relay answers one pull, by children",
        "us",
        &figures.map(|(n, took, _)| (n, took)),
    );
    line(
        "relay's own pull upstream, by children",
        "bytes",
        &figures.map(|(n, _, up)| (n, up)),
    );
    let figures = [100, 1000, PROCESSES].map(|size| {
        let directory = fixture::directory(size);
        (size, nanos(|| directory.clone()) / 1e3)
    });
    line(
        "directory copied for a new view, by processes",
        "us",
        &figures,
    );
    line(
        "one process in the directory",
        "bytes",
        &[(1, length(&fixture::announcement(1)))],
    );
}

fn placement() {
    let figures = [128, 512, 2048].map(|shards| {
        let placement = fixture::placement(shards, PROCESSES);
        let candidates = fixture::candidates(PROCESSES);
        let took = nanos(|| plan(&placement, &candidates, PlanOptions::default()));
        (shards as usize, took / 1e6)
    });
    line("plan with nothing to do, by shards", "ms", &figures);
    let figures = [128, 512, 2048].map(|shards| {
        let placement = fixture::placement(shards, PROCESSES);
        let mut candidates = fixture::candidates(PROCESSES);
        // One data centre is lost.
        for candidate in candidates.values_mut() {
            candidate.silent = candidate.data_centre == fixture::data_centre(3);
        }
        let took = nanos(|| plan(&placement, &candidates, PlanOptions::default()));
        (shards as usize, took / 1e6)
    });
    line(
        "plan after a data centre is lost, by shards",
        "ms",
        &figures,
    );
    let figures = [128, 512, 2048].map(|shards| {
        let placement = fixture::placement(shards, PROCESSES);
        (shards as usize, length(&placement))
    });
    line("placement, by shards", "bytes", &figures);
}

/// A primary without backups and so many programs of so many calls.
fn shard(programs: usize, calls: id::Call, bytes: usize) -> Shard {
    let mut shard = Shard::new(0, ShardOptions::default(), Duration::ZERO);
    let assignment = Assignment {
        epoch: 1,
        primary: true,
        origin: 1,
        ..Assignment::default()
    };
    let now = Duration::from_secs(1);
    shard.step(now, Event::Assign(assignment));
    for n in 0..programs {
        let name = format!("p-{n:032x}");
        let mut ask = |request| shard.step(now, Event::Request { token: 1, request });
        ask(fixture::open(&name));
        for call in 1..=calls {
            ask(fixture::begin(&name, call, bytes));
            ask(fixture::settle(&name, call, bytes));
        }
    }
    shard
}

/// Memory of what each process holds of the shared state.
fn shared_state() {
    let feed = Feed::new(fixture::store(ORGANISATIONS).config);
    let now = Duration::from_secs(10);
    let mut kept = Vec::new();
    let figures = [1_000, 3_000, PROCESSES].map(|processes| {
        let placement = fixture::placement(2048, processes);
        let directory = fixture::directory(processes);
        let mut leaf = Follower::new(Duration::from_secs(4), Duration::from_secs(3));
        let pull = leaf.pull(now, fixture::announcement(1));
        let reply = reply_to(&pull, &feed, &placement, &directory, Duration::ZERO);
        let reply = to_vec(&reply).unwrap_or_default();
        let (bytes, held) = memory(|| {
            if let Ok(reply) = serde_json::from_slice(&reply) {
                leaf.apply_reply(now, reply);
            }
            leaf
        });
        kept.push((held, placement, directory));
        (processes, bytes)
    });
    line("memory of shared state, by processes", "bytes", &figures);
}

/// Memory of programs and their history; everything stays until all is measured.
fn history() {
    let mut kept = Vec::new();
    let figures = [4_000, 16_000, 64_000].map(|programs| {
        let (bytes, shard) = memory(|| shard(programs, 1, 64));
        kept.push(shard);
        (programs, bytes)
    });
    line("memory, by programs of one short call", "bytes", &figures);
    // Four bytes make a token: so many thousand tokens of history in all.
    let figures = [5_000, 20_000, 80_000].map(|thousands| {
        let (bytes, shard) = memory(|| shard(thousands / 10, 10, 2_000));
        kept.push(shard);
        (thousands, bytes)
    });
    line("memory, by 1,000 tokens of history", "bytes", &figures);
}

fn programs() {
    let figures = [100, 1_000, 10_000].map(|programs| {
        let mut shard = shard(programs, 1, 64);
        let now = Duration::from_secs(1);
        let name = format!("p-{:032x}", 7);
        let mut call = 1;
        let took = nanos(|| {
            call += 1;
            let request = fixture::begin(&name, call, 200);
            shard.step(now, Event::Request { token: 1, request });
            let request = fixture::settle(&name, call, 200);
            shard.step(now, Event::Request { token: 1, request })
        });
        (programs, took / 1e3)
    });
    line("one call at its home, by programs there", "us", &figures);
    let figures = [100, 1_000, 10_000].map(|programs| {
        let mut shard = shard(programs, 1, 64);
        let mut now = Duration::from_secs(2);
        let took = nanos(|| {
            now += Duration::from_secs(6);
            shard.step(now, Event::Tick)
        });
        (programs, took / 1e3)
    });
    line("housekeeping once a second, by programs", "us", &figures);
    records();
    image_time();
}

/// What one call sends to each backup.
fn records() {
    let mut shard = shard(1, 1, 64);
    let now = Duration::from_secs(1);
    let assignment = Assignment {
        epoch: 2,
        primary: true,
        backups: vec!["b".into()],
        origin: 1,
        ..Assignment::default()
    };
    shard.step(now, Event::Assign(assignment));
    let held = Message {
        shard: 0,
        epoch: 2,
        body: Body::Held {
            last: shard.last_position(),
            round: 1,
        },
    };
    shard.step(
        now,
        Event::Message {
            from: "b".into(),
            message: held,
        },
    );
    let name = format!("p-{:032x}", 0);
    let figures = [64, 640, 6_400].map(|bytes| {
        let call = shard.state().programs[name.as_str()].chains["main"].next_call();
        let mut sent = 0.0;
        for request in [
            fixture::begin(&name, call, bytes),
            fixture::settle(&name, call, bytes),
        ] {
            for action in shard.step(now, Event::Request { token: 1, request }) {
                if let Action::Send { message, .. } = action {
                    sent += length(&message);
                }
            }
        }
        (2 * bytes, sent)
    });
    line(
        "one call to one backup, by bytes of its turns",
        "bytes",
        &figures,
    );
    let snapshot = shard_image(2_000);
    line(
        "image of a shard, by 1,000 tokens of history",
        "bytes",
        &snapshot,
    );
}

/// What it takes to send a snapshot and to take it in.
fn image_time() {
    let figures = [125, 500, 2_000].map(|thousands| {
        let shard = shard(thousands / 5, 5, 2_000);
        let took = nanos(|| {
            let bytes = to_vec(&shard.snapshot()).unwrap_or_default();
            serde_json::from_slice::<ShardSnapshot>(&bytes).is_ok()
        });
        (thousands, took / 1e6)
    });
    line("image written and read, by 1,000 tokens", "ms", &figures);
}

fn shard_image(thousands: usize) -> [(usize, f64); 3] {
    [thousands / 16, thousands / 4, thousands].map(|thousands| {
        let shard = shard(thousands / 5, 5, 2_000);
        (thousands, length(&shard.snapshot()))
    })
}

fn queues() {
    let figures = [16, 64, 256].map(|waiting| {
        let options = QueueOptions {
            max_queued: waiting * 2,
            ..QueueOptions::default()
        };
        let mut now = Duration::from_secs(1);
        let mut queue = Queue::new(options, now);
        queue.step(now, QueueEvent::Gate(Gate::Open));
        let job = |n: usize| Job {
            id: format!("entry-1-1790000000000000-{n}.0").into(),
            organisation: format!("organisation-{}", n % 16).into(),
            weight: 1,
            program: Some(format!("p-{}", n % 100).into()),
            attained_tokens: 1000,
            cost: 200.0,
            deadline: None,
            at_most_once: false,
        };
        let mut n = 0;
        for _ in 0..=waiting {
            n += 1;
            queue.step(now, QueueEvent::Arrive(job(n)));
        }
        let mut running: Vec<id::Request> = vec![job(1).id];
        let took = nanos(|| {
            now += Duration::from_micros(100);
            n += 1;
            let mut actions = queue.step(now, QueueEvent::Arrive(job(n)));
            if let Some(id) = running.pop() {
                actions.extend(queue.step(now, QueueEvent::Finish { id, sample: None }));
            }
            running.extend(actions.into_iter().filter_map(|action| match action {
                celerycove_queue::Action::Start(id) => Some(id),
                _ => None,
            }));
        });
        (waiting, took / 1e3)
    });
    line("one request through a queue, by waiting", "us", &figures);
}
