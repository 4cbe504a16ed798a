//! Measures how the costs of the system grow with the size of a deployment.

mod propagation;

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
    measure::{mean_nanos, memory_growth, print_results, to_float},
};

/// Engines of the largest deployment that the system is designed for.
const ENGINES: usize = 7_700;
/// Processes of that deployment.
const PROCESSES: usize = 8_530;
/// Organisations of that deployment.
const ORGANISATIONS: usize = 260;
/// Changes of configuration per day in that deployment.
const CHANGES_PER_DAY: usize = 18_000;

/// Runs all measurements and prints the results; files are written below `scratch_dir`.
///
/// # Errors
///
/// Returns an error if a file cannot be written or read.
pub fn run(scratch_dir: &Path) -> Result<(), Box<dyn std::error::Error>> {
    // Memory is measured first: later, the allocator would reuse freed memory, which hides growth.
    shared_state_memory();
    program_memory();
    propagation::run();
    routing();
    admission();
    configuration();
    control_log(scratch_dir)?;
    shared_state_exchange();
    placement();
    programs();
    queues();
    Ok(())
}

/// Returns the number of bytes of a value as JSON.
fn json_bytes<T: serde::Serialize>(value: &T) -> f64 {
    to_float(to_vec(value).map_or(0, |bytes| bytes.len() as u64))
}

/// Routing: choosing a backend server and building a pool.
fn routing() {
    let mut rng = StdRng::seed_from_u64(1);
    let options = RouteOptions::default();
    let results: Vec<(usize, f64)> = [16, 512, ENGINES]
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
                mean_nanos(|| select(now, &pool, &request, &options, &mut rng).is_some()),
            )
        })
        .collect();
    print_results("routing decision, by backend servers", "ns", &results);
    let results: Vec<(usize, f64)> = [16, 512, ENGINES]
        .into_iter()
        .map(|size| {
            let directory = fixture::directory(size);
            (size, mean_nanos(|| fixture::pool(&directory)) / 1e3)
        })
        .collect();
    print_results("one pool built anew, by backend servers", "us", &results);
}

/// Rate limiting: spending, lending and asking for tokens.
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
    let results: Vec<(usize, f64)> = [1, 3, 6]
        .into_iter()
        .map(|threads| {
            let total_ns: f64 = std::thread::scope(|scope| {
                let workers: Vec<_> = (0..threads)
                    .map(|_| scope.spawn(|| mean_nanos(|| holder.spend(now))))
                    .collect();
                workers
                    .into_iter()
                    .filter_map(|worker| worker.join().ok())
                    .sum()
            });
            (threads, total_ns / to_float(threads as u64))
        })
        .collect();
    print_results("admission from a loan, by threads", "ns", &results);
    let entitlement = Entitlement {
        rate: 400.0,
        burst: 800,
    };
    let results: Vec<(usize, f64)> = [26, 130, ORGANISATIONS]
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
            let mut index = 0;
            let took = mean_nanos(|| {
                now += Duration::from_micros(50);
                index = (index + 1) % requests.len();
                owner.grant(now, &requests[index], entitlement)
            });
            (organisations, took)
        })
        .collect();
    print_results("lending tokens, by organisations", "ns", &results);
    let ask = Request {
        organisation: "organisation-1".into(),
        want: 40,
        open: vec![(4_294_967_297, 3)],
        closed: vec![(4_294_967_296, 2)],
        reserve: 0,
    };
    print_results("question for tokens", "bytes", &[(1, json_bytes(&ask))]);
}

/// Configuration: its size and the cost of a change.
fn configuration() {
    let sizes = [26, 130, ORGANISATIONS];
    let results = sizes.map(|size| (size, json_bytes(&fixture::store(size).config)));
    print_results("whole configuration, by organisations", "bytes", &results);
    let results = sizes.map(|size| {
        let mut store = fixture::store(size);
        let mut n = 1_000_000;
        let took = mean_nanos(|| {
            n += 1;
            store.propose(&fixture::proposal(n, size))
        });
        (size, took / 1e3)
    });
    print_results("one change judged, by organisations", "us", &results);
    let mut store = fixture::store(ORGANISATIONS);
    let (_, step) = store.propose(&fixture::proposal(9_999_999, ORGANISATIONS));
    print_results("one change as a step", "bytes", &[(1, json_bytes(&step))]);
}

/// The log of the control instances: appending entries and restarting from a snapshot.
fn control_log(scratch_dir: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let mut store = DiskStore::new(scratch_dir.join("log"))?;
    store.load()?;
    let entry = |index: usize| Entry {
        term: 1,
        index: index as u64,
        command: Command::Configure(fixture::proposal(index, ORGANISATIONS)),
    };
    print_results(
        "one change in the log",
        "bytes",
        &[(1, json_bytes(&entry(1)))],
    );
    let mut index = 0;
    let mut results = Vec::new();
    for group in [1, 16, 256] {
        let mut error = None;
        let took = mean_nanos(|| {
            let entries: Vec<Entry> = (index + 1..=index + group).map(entry).collect();
            index += group;
            error = store.append(&entries).err();
        });
        if let Some(error) = error {
            return Err(error.into());
        }
        results.push((group, 1e9 / took * to_float(group as u64)));
    }
    print_results("changes a second on disk, by group commit", "1/s", &results);
    let mut results = Vec::new();
    let mut snapshot_bytes = Vec::new();
    for changes in [2_000, 6_000, CHANGES_PER_DAY] {
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
        let path = scratch_dir.join(format!("restart-{changes}"));
        let mut store = DiskStore::new(path.clone())?;
        store.load()?;
        // A control instance keeps at most 1,024 log entries after its snapshot.
        let log_entries: Vec<Entry> = (changes + 1..=changes + 1024).map(entry).collect();
        store.save_snapshot(&snapshot, &log_entries)?;
        snapshot_bytes.push((changes, json_bytes(&snapshot)));
        let took =
            mean_nanos(|| DiskStore::new(path.clone()).map(|mut store| store.load().is_ok()));
        results.push((changes, took / 1e6));
    }
    print_results(
        "snapshot with 2,048 shards, by changes",
        "bytes",
        &snapshot_bytes,
    );
    print_results("restart from disk, by changes made before", "ms", &results);
    Ok(())
}

/// Pulls of shared state: sizes of messages and the time that relays need to answer.
fn shared_state_exchange() {
    let feed = Feed::new(fixture::store(ORGANISATIONS).config);
    let placement = fixture::placement(2048, PROCESSES);
    let lease = Duration::from_secs(4);
    let silence = Duration::from_secs(3);
    let directory = fixture::directory(PROCESSES);
    let now = Duration::from_secs(10);
    let mut leaf = Follower::new(lease, silence);
    let first_pull = leaf.pull(now, fixture::announcement(1));
    let reply = reply_to(&first_pull, &feed, &placement, &directory, Duration::ZERO);
    print_results(
        "first reply to a new process",
        "bytes",
        &[(1, json_bytes(&reply))],
    );
    leaf.apply_reply(now, reply);
    let pull = leaf.pull(now, fixture::announcement(1));
    let reply = reply_to(&pull, &feed, &placement, &directory, Duration::ZERO);
    print_results("idle pull", "bytes", &[(1, json_bytes(&pull))]);
    print_results("idle reply", "bytes", &[(1, json_bytes(&reply))]);
    let results = [10, 100, 570].map(|children| {
        let mut relay = Follower::new(lease, silence);
        let relay_pull = relay.pull(now, fixture::announcement(0));
        relay.apply_reply(
            now,
            reply_to(&relay_pull, &feed, &placement, &directory, Duration::ZERO),
        );
        for n in 0..children {
            let mut child = Follower::new(lease, silence);
            let mut pull = child.pull(now, fixture::announcement(n));
            pull.process = fixture::announcement(n).process;
            relay.record_pull(now, &pull);
        }
        // After this reply, the relay no longer resends announcements that upstream has received.
        let relay_pull = relay.pull(now, fixture::announcement(0));
        relay.apply_reply(
            now,
            reply_to(&relay_pull, &feed, &placement, &directory, Duration::ZERO),
        );
        let idle_pull = relay.pull(now, fixture::announcement(0));
        let took = mean_nanos(|| relay.serve(now, &pull));
        (children, took / 1e3, json_bytes(&idle_pull))
    });
    print_results(
        "relay answers one pull, by children",
        "us",
        &results.map(|(children, took, _)| (children, took)),
    );
    print_results(
        "relay's own pull upstream, by children",
        "bytes",
        &results.map(|(children, _, bytes)| (children, bytes)),
    );
    let results = [100, 1000, PROCESSES].map(|size| {
        let directory = fixture::directory(size);
        (size, mean_nanos(|| directory.clone()) / 1e3)
    });
    print_results(
        "directory copied for a new view, by processes",
        "us",
        &results,
    );
    print_results(
        "one process in the directory",
        "bytes",
        &[(1, json_bytes(&fixture::announcement(1)))],
    );
}

/// Planning of shard placements.
fn placement() {
    let results = [128, 512, 2048].map(|shards| {
        let placement = fixture::placement(shards, PROCESSES);
        let candidates = fixture::candidates(PROCESSES);
        let took = mean_nanos(|| plan(&placement, &candidates, PlanOptions::default()));
        (shards as usize, took / 1e6)
    });
    print_results("plan with nothing to do, by shards", "ms", &results);
    let results = [128, 512, 2048].map(|shards| {
        let placement = fixture::placement(shards, PROCESSES);
        let mut candidates = fixture::candidates(PROCESSES);
        // One data centre is lost: all its processes are silent.
        for candidate in candidates.values_mut() {
            candidate.silent = candidate.data_centre == fixture::data_centre(3);
        }
        let took = mean_nanos(|| plan(&placement, &candidates, PlanOptions::default()));
        (shards as usize, took / 1e6)
    });
    print_results(
        "plan after a data centre is lost, by shards",
        "ms",
        &results,
    );
    let results = [128, 512, 2048].map(|shards| {
        let placement = fixture::placement(shards, PROCESSES);
        (shards as usize, json_bytes(&placement))
    });
    print_results("placement, by shards", "bytes", &results);
}

/// Builds the primary of a shard without backups, with `programs` programs of `calls` calls each and
/// `bytes` content bytes in each message.
fn filled_shard(programs: usize, calls: id::Call, bytes: usize) -> Shard {
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
        let mut send = |request| shard.step(now, Event::Request { token: 1, request });
        send(fixture::open_program(&name));
        for call in 1..=calls {
            send(fixture::begin_call(&name, call, bytes));
            send(fixture::settle_call(&name, call, bytes));
        }
    }
    shard
}

/// Memory of the copy of the shared state that each process holds.
fn shared_state_memory() {
    let feed = Feed::new(fixture::store(ORGANISATIONS).config);
    let now = Duration::from_secs(10);
    let mut retained = Vec::new();
    let results = [1_000, 3_000, PROCESSES].map(|processes| {
        let placement = fixture::placement(2048, processes);
        let directory = fixture::directory(processes);
        let mut leaf = Follower::new(Duration::from_secs(4), Duration::from_secs(3));
        let pull = leaf.pull(now, fixture::announcement(1));
        let reply = reply_to(&pull, &feed, &placement, &directory, Duration::ZERO);
        let reply = to_vec(&reply).unwrap_or_default();
        let (bytes, follower) = memory_growth(|| {
            if let Ok(reply) = serde_json::from_slice(&reply) {
                leaf.apply_reply(now, reply);
            }
            leaf
        });
        retained.push((follower, placement, directory));
        (processes, bytes)
    });
    print_results("memory of shared state, by processes", "bytes", &results);
}

/// Memory of programs and their history. All shards are retained until the end, so that none reuses
/// the memory of another.
fn program_memory() {
    let mut retained = Vec::new();
    let results = [4_000, 16_000, 64_000].map(|programs| {
        let (bytes, shard) = memory_growth(|| filled_shard(programs, 1, 64));
        retained.push(shard);
        (programs, bytes)
    });
    print_results("memory, by programs of one short call", "bytes", &results);
    // At four bytes per token, the shard holds `thousands` thousand tokens of history.
    let results = [5_000, 20_000, 80_000].map(|thousands| {
        let (bytes, shard) = memory_growth(|| filled_shard(thousands / 10, 10, 2_000));
        retained.push(shard);
        (thousands, bytes)
    });
    print_results("memory, by 1,000 tokens of history", "bytes", &results);
}

/// Calls and ticks at the primary of a shard.
fn programs() {
    let results = [100, 1_000, 10_000].map(|programs| {
        let mut shard = filled_shard(programs, 1, 64);
        let now = Duration::from_secs(1);
        let name = format!("p-{:032x}", 7);
        let mut call = 1;
        let took = mean_nanos(|| {
            call += 1;
            let request = fixture::begin_call(&name, call, 200);
            shard.step(now, Event::Request { token: 1, request });
            let request = fixture::settle_call(&name, call, 200);
            shard.step(now, Event::Request { token: 1, request })
        });
        (programs, took / 1e3)
    });
    print_results("one call at its home, by programs there", "us", &results);
    let results = [100, 1_000, 10_000].map(|programs| {
        let mut shard = filled_shard(programs, 1, 64);
        let mut now = Duration::from_secs(2);
        let took = mean_nanos(|| {
            now += Duration::from_secs(6);
            shard.step(now, Event::Tick)
        });
        (programs, took / 1e3)
    });
    print_results("housekeeping once a second, by programs", "us", &results);
    replication_bytes();
    image_time();
}

/// Bytes that one call sends to each backup, and the size of the image (full copy) that a new backup loads.
fn replication_bytes() {
    let mut shard = filled_shard(1, 1, 64);
    let now = Duration::from_secs(1);
    let assignment = Assignment {
        epoch: 2,
        primary: true,
        backups: vec!["b".into()],
        origin: 1,
        ..Assignment::default()
    };
    shard.step(now, Event::Assign(assignment));
    let acknowledgement = Message {
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
            message: acknowledgement,
        },
    );
    let name = format!("p-{:032x}", 0);
    let results = [64, 640, 6_400].map(|bytes| {
        let call = shard.state().programs[name.as_str()].chains["main"].next_call();
        let mut sent_bytes = 0.0;
        for request in [
            fixture::begin_call(&name, call, bytes),
            fixture::settle_call(&name, call, bytes),
        ] {
            for action in shard.step(now, Event::Request { token: 1, request }) {
                if let Action::Send { message, .. } = action {
                    sent_bytes += json_bytes(&message);
                }
            }
        }
        (2 * bytes, sent_bytes)
    });
    print_results(
        "one call to one backup, by bytes of its turns",
        "bytes",
        &results,
    );
    let image = image_bytes(2_000);
    print_results(
        "image of a shard, by 1,000 tokens of history",
        "bytes",
        &image,
    );
}

/// Time to serialise the image of a shard and to parse it.
fn image_time() {
    let results = [125, 500, 2_000].map(|thousands| {
        let shard = filled_shard(thousands / 5, 5, 2_000);
        let took = mean_nanos(|| {
            let bytes = to_vec(&shard.snapshot()).unwrap_or_default();
            serde_json::from_slice::<ShardSnapshot>(&bytes).is_ok()
        });
        (thousands, took / 1e6)
    });
    print_results("image written and read, by 1,000 tokens", "ms", &results);
}

/// Sizes in bytes of images of shards with up to `thousands` thousand tokens of history.
fn image_bytes(thousands: usize) -> [(usize, f64); 3] {
    [thousands / 16, thousands / 4, thousands].map(|thousands| {
        let shard = filled_shard(thousands / 5, 5, 2_000);
        (thousands, json_bytes(&shard.snapshot()))
    })
}

/// A request that passes through the queue of a backend server.
fn queues() {
    let results = [16, 64, 256].map(|waiting| {
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
        let took = mean_nanos(|| {
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
    print_results("one request through a queue, by waiting", "us", &results);
}
