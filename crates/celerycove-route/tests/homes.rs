//! Shared parts of prompts on engines whose memory holds running requests and cached parts together:
//! an engine that serves all shared parts evicts them and reads them again.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use celerycove_route::{
    direct::{
        Outcome, Registration, Request, Servers, Versions, affinity_hash,
        demand::{Collector, Counts},
    },
    prefix::Part,
};
use celerycove_types::Timestamp;

const DATA_CENTRES: [&str; 2] = ["a", "b"];
const ENTRIES: usize = 12;
const ENGINES: usize = 24;
const SLOTS: u32 = 48;
const MEMORY: u64 = 131_445;
const SHARED_PARTS: u64 = 16;
const SHARED_TOKENS: u64 = 2_560;
/// Programs that begin per second: about 24 turns run at each engine, which nearly fill its memory.
const PROGRAMS: f64 = 200.0;
const TURNS: u64 = 4;
/// Tokens that a running request generates; the engine reserves them.
const OUTPUT: u64 = 2_000;
const TURN_TIME: Duration = Duration::from_millis(700);
const PAUSE: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_millis(10);
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Until when the caches fill and nothing is counted.
const WARM_UP: Duration = Duration::from_secs(4);
const END: Duration = Duration::from_secs(10);

fn registrations(engines: usize, memory: Option<u64>) -> Vec<Registration> {
    let engines = (0..engines).map(|number| Registration {
        backend: format!("engine-{number}").into(),
        incarnation: 1,
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].into(),
        slots: SLOTS,
        last_heartbeat: Duration::from_hours(1),
        cold_until: Timestamp::ZERO,
        cold_rate: 0.0,
        cache_tokens: memory,
        version: "v1".into(),
    });
    engines.collect()
}

fn entry(number: usize, engines: usize, memory: Option<u64>) -> Servers {
    let mut servers = Servers::new(DATA_CENTRES[number % DATA_CENTRES.len()].into());
    let registrations = registrations(engines, memory);
    servers.update(Timestamp::ZERO, &Arc::from("llm"), registrations);
    servers
}

/// A program's prompt: the shared part, then one part for each turn.
fn prompt(program: u64, shared: u64, turns: u64) -> Vec<Part> {
    let own = (0..turns).map(|turn| Part {
        id: 1_000 + program * 100 + turn,
        tokens: 500 + (program * 37 + turn * 101) % 500,
    });
    let shared = Part {
        id: shared,
        tokens: SHARED_TOKENS,
    };
    std::iter::once(shared).chain(own).collect()
}

fn request(program: u64, prompt: &[Part]) -> Request<'_> {
    Request {
        affinity: affinity_hash(&format!("program-{program}")),
        prompt,
        excluded: &[],
        versions: Versions::Any,
    }
}

/// An engine's memory: the parts of running requests stay, others are evicted by last use.
#[derive(Default)]
struct Engine {
    /// Length, last use and number of running requests of each part.
    parts: BTreeMap<u64, (u64, Timestamp, u32)>,
    read_before: BTreeSet<u64>,
    running: u32,
}

impl Engine {
    /// Returns the tokens read, and those of them that belong to a shared part read again.
    fn begin(&mut self, now: Timestamp, prompt: &[Part]) -> (u64, u64) {
        let cached = prompt
            .iter()
            .take_while(|p| self.parts.contains_key(&p.id))
            .count();
        let read = prompt[cached..].iter().map(|part| part.tokens).sum();
        let is_read_again = cached == 0 && !self.read_before.insert(prompt[0].id);
        for part in prompt {
            let (_, used, pins) = self.parts.entry(part.id).or_insert((part.tokens, now, 0));
            *used = now;
            *pins += 1;
        }
        self.running += 1;
        let reserved = u64::from(self.running) * OUTPUT;
        while self.parts.values().map(|part| part.0).sum::<u64>() + reserved > MEMORY {
            let idle = self.parts.iter().filter(|(_, part)| part.2 == 0);
            // Of parts used at the same time, the end of the prompt is evicted first.
            let oldest = idle.min_by_key(|(id, part)| (part.1, Reverse(**id)));
            let Some((&id, _)) = oldest else {
                break;
            };
            self.parts.remove(&id);
        }
        (read, if is_read_again { prompt[0].tokens } else { 0 })
    }

    fn end(&mut self, now: Timestamp, prompt: &[Part]) {
        self.running -= 1;
        for part in prompt {
            if let Some((_, used, pins)) = self.parts.get_mut(&part.id) {
                *used = now;
                *pins -= 1;
            }
        }
    }
}

#[derive(Default)]
struct Day {
    read: u64,
    read_again: u64,
    peak: u32,
}

impl Day {
    fn share_read_again(&self) -> f64 {
        let [read_again, read] = [self.read_again, self.read].map(|tokens| {
            let tokens = u32::try_from(tokens);
            f64::from(tokens.expect("a few million"))
        });
        read_again / read
    }
}

struct Turn {
    program: u64,
    number: u64,
}

impl Turn {
    fn prompt(&self) -> Vec<Part> {
        prompt(self.program, self.program % SHARED_PARTS, self.number)
    }
}

/// Plays programs at a steady rate; the entries take `memory` for the engines' memory.
fn play(memory: Option<u64>) -> Day {
    let mut day = Day::default();
    let mut entries: Vec<Servers> = (0..ENTRIES).map(|n| entry(n, ENGINES, memory)).collect();
    let mut engines: BTreeMap<Arc<str>, Engine> = BTreeMap::new();
    let mut running: Vec<(Timestamp, Turn, Arc<str>)> = Vec::new();
    let mut waiting: Vec<(Timestamp, Turn)> = Vec::new();
    let (mut now, mut programs) = (Timestamp::ZERO, 0_u32);
    let client = |program: u64| {
        let hash = affinity_hash(&format!("client-{program}"));
        usize::try_from(hash % ENTRIES as u64).expect("small")
    };
    while now < END {
        now += STEP;
        if now.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis()) {
            share_demand(now, &mut entries);
        }
        while f64::from(programs) < now.as_secs_f64() * PROGRAMS {
            programs += 1;
            let program = programs.into();
            waiting.push((now, Turn { program, number: 1 }));
        }
        let (due, later): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|(at, _)| *at <= now);
        waiting = later;
        for (_, turn) in due {
            let prompt = turn.prompt();
            let request = request(turn.program, &prompt);
            let selection = entries[client(turn.program)].select(now, "llm", &request);
            let backend = selection.expect("an engine").backend;
            let engine = engines.entry(backend.clone()).or_default();
            let (read, read_again) = engine.begin(now, &prompt);
            if now >= WARM_UP {
                day.read += read;
                day.read_again += read_again;
                day.peak = day.peak.max(engine.running);
            }
            running.push((now + TURN_TIME, turn, backend));
        }
        let (ended, left): (Vec<_>, Vec<_>) = running.into_iter().partition(|r| r.0 <= now);
        running = left;
        for (_, turn, backend) in ended {
            let entry = &mut entries[client(turn.program)];
            entry.record_outcome(now, "llm", &backend, Outcome::Answered, None);
            engines
                .get_mut(&backend)
                .expect("known")
                .end(now, &turn.prompt());
            if turn.number < TURNS {
                let number = turn.number + 1;
                waiting.push((now + PAUSE, Turn { number, ..turn }));
            }
        }
    }
    day
}

/// Passes on the requests in flight as control instances do.
fn share_demand(now: Timestamp, entries: &mut [Servers]) {
    let mut collectors: BTreeMap<&str, Collector> = BTreeMap::new();
    for (number, servers) in entries.iter_mut().enumerate() {
        let name = format!("entry-{number}").as_str().into();
        let collector = collectors.entry(DATA_CENTRES[number % 2]).or_default();
        collector.record(now, &name, servers.take_demand());
    }
    for (data_centre, mut collector) in collectors {
        let total: Counts = collector.total(now).expect("reports");
        for servers in entries.iter_mut() {
            servers.merge_demand(now, data_centre.into(), total.clone());
        }
    }
}

/// Guards against engines that evict the shared parts and read them again: a tenth of the tokens
/// that they read is the most that the deployment accepts.
#[test]
fn sixteen_shared_parts_are_rarely_read_again_on_engines_with_little_memory() {
    let day = play(Some(MEMORY));
    let share = day.share_read_again();
    assert!(share < 0.1, "{share} of the tokens read are shared parts");
    assert!(day.peak <= SLOTS, "{} turns at one engine", day.peak);
}

/// The load of the test above would prove nothing if it evicted no shared parts anyway.
#[test]
fn the_same_load_evicts_shared_parts_if_every_engine_serves_all_of_them() {
    let day = play(None);
    let share = day.share_read_again();
    assert!(share > 0.1, "{share} of the tokens read are shared parts");
}

/// Sends programs with each of `parts` shared parts, so that the entry knows them, and returns the
/// engines that it selects for `programs` others.
fn selected(
    servers: &mut Servers,
    parts: u64,
    seed: u64,
    programs: std::ops::Range<u64>,
) -> Vec<Arc<str>> {
    let known = (0..parts * 3).map(|n| (seed + n, n % parts));
    let tested = programs.clone().map(|program| (program, program % parts));
    let mut selected: Vec<Arc<str>> = Vec::new();
    for (program, shared) in known.chain(tested) {
        let prompt = prompt(program, shared, 1);
        let now = Duration::from_secs(1);
        let selection = servers.select(now, "llm", &request(program, &prompt));
        let backend = selection.expect("an engine").backend;
        servers.record_outcome(now, "llm", &backend, Outcome::Answered, None);
        selected.push(backend);
    }
    selected.split_off(selected.len() - programs.count())
}

/// Guards against entries that keep a shared part on different engines, which together are all.
#[test]
fn entries_that_saw_different_programs_agree_on_the_homes() {
    let [mut first, mut second] = [0, 2].map(|n| entry(n, ENGINES, Some(MEMORY)));
    let ours = selected(&mut first, SHARED_PARTS, 10_000, 0..500);
    let theirs = selected(&mut second, SHARED_PARTS, 20_000, 0..500);
    assert_eq!(ours, theirs);
}

/// Guards against an entry that missed a few shared parts and uses quite other engines than the rest.
#[test]
fn an_entry_that_missed_two_shared_parts_mostly_agrees() {
    let [mut first, mut second] = [0, 2].map(|n| entry(n, ENGINES, Some(MEMORY)));
    let ours = selected(&mut first, SHARED_PARTS, 10_000, 0..500);
    selected(&mut second, SHARED_PARTS - 2, 20_000, 0..0);
    let theirs: Vec<_> = (0..500_u64)
        .map(|program| {
            let prompt = prompt(program, program % SHARED_PARTS, 1);
            let now = Duration::from_secs(1);
            let selection = second.select(now, "llm", &request(program, &prompt));
            let backend = selection.expect("an engine").backend;
            second.record_outcome(now, "llm", &backend, Outcome::Answered, None);
            backend
        })
        .collect();
    let differing = ours.iter().zip(&theirs).filter(|(a, b)| a != b).count();
    // Two of sixteen parts change the number of homes by one of six.
    assert!(differing <= 500 / 4, "{differing} of 500 differ");
}

/// Guards against homes where memory is ample: there, every engine keeps every part.
#[test]
fn many_parts_and_ample_memory_change_nothing() {
    for engines in [10, ENGINES] {
        let mut ample = entry(0, engines, Some(64 * SHARED_TOKENS * 10));
        // No homes without a known memory.
        let mut unknown = entry(0, engines, None);
        let ours = selected(&mut ample, 64, 10_000, 0..500);
        assert_eq!(ours, selected(&mut unknown, 64, 10_000, 0..500));
    }
}

/// Guards against engines without work: a single part that all programs share is kept by all.
#[test]
fn few_shared_parts_that_fill_the_memory_leave_no_engine_without_work() {
    for (parts, memory) in [(1, 10_000), (2, 10_000), (16, MEMORY), (200, MEMORY)] {
        for engines in [6, ENGINES] {
            let mut servers = entry(0, engines, Some(memory));
            let used = selected(&mut servers, parts, 10_000, 0..2_000);
            let used: BTreeSet<Arc<str>> = used.into_iter().collect();
            // The entry's own data centre has half of them.
            assert!(used.len() >= engines / 2, "{parts} parts: {used:?}");
        }
    }
}
