//! Admission of new programs while capacity is short, against a model of servers.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use celerycove_queue::{
    Job,
    intake::{Action, Event, Gate, Intake, Options, Reason},
};

const STEP: Duration = Duration::from_millis(10);
const TURNS: u32 = 6;
const PAUSE: Duration = Duration::from_millis(300);
const SERVERS: usize = 8;
/// Requests that a server runs at full speed; more of them share its speed.
const KNEE: f64 = 8.0;
const SLOTS: usize = 16;

/// A load: the rate of new programs by organisation, and the speed of each server.
struct Load {
    rate: fn(seconds: f64, organisation: usize) -> f64,
    speed: fn(seconds: f64, server: usize) -> f64,
}

/// The usual rate: 60% of what the servers carry, in equal parts from four organisations.
const USUAL_RATE: f64 = 14.0 / 4.0;

fn is_peak(seconds: f64) -> bool {
    (20.0..30.0).contains(&seconds)
}

const CALM: Load = Load {
    rate: |_, _| USUAL_RATE,
    speed: |_, _| 1.0,
};
/// New programs at 2.2 times the usual rate while a third of the servers run at half speed.
const BURST: Load = Load {
    rate: |t, _| USUAL_RATE * if is_peak(t) { 2.2 } else { 1.0 },
    speed: |t, server| {
        if is_peak(t) && server % 3 == 0 {
            0.5
        } else {
            1.0
        }
    },
};
/// One organisation at seven times its usual rate.
const ONE_ORGANISATION: Load = Load {
    rate: |t, organisation| {
        USUAL_RATE
            * if is_peak(t) && organisation == 0 {
                7.0
            } else {
                1.0
            }
    },
    speed: |_, _| 1.0,
};
/// All capacity is lost for ten seconds.
const LOST: Load = Load {
    rate: |_, _| USUAL_RATE,
    speed: |t, _| if is_peak(t) { 0.0 } else { 1.0 },
};

/// The organisation of a more urgent rank.
const URGENT: usize = 3;
/// Less urgent programs at 2.4 times their usual rate, while urgent ones keep to theirs.
const LESS_URGENT: Load = Load {
    rate: |t, organisation| {
        USUAL_RATE
            * if is_peak(t) && organisation != URGENT {
                2.4
            } else {
                1.0
            }
    },
    speed: |_, _| 1.0,
};

/// A small generator, so that a seed gives the same run everywhere.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        f64::from(u32::try_from((z ^ (z >> 31)) >> 32).unwrap()) / f64::from(u32::MAX)
    }
}

struct Program {
    organisation: usize,
    arrived_at: Duration,
    due: Duration,
    /// Time of each turn on an idle server.
    turn: Duration,
    turns_left: u32,
    attempts: u32,
    next_at: Option<Duration>,
    ended_at: Option<Duration>,
}

#[derive(Default)]
struct Server {
    /// Program and remaining work in seconds, in order of arrival; the first ones have slots.
    requests: Vec<(usize, f64)>,
}

#[derive(Default)]
struct Outcome {
    in_time: usize,
    total: usize,
    in_time_by_organisation: [usize; 4],
    refused: usize,
    waited: usize,
    longest_queue: usize,
    overload_seen: Option<f64>,
    overload_over: Option<f64>,
}

struct World {
    seed: u64,
    load: Load,
    gate: Option<Intake>,
    programs: Vec<Program>,
    servers: Vec<Server>,
    waiting: BTreeSet<usize>,
    noise: Random,
    out: Outcome,
}

impl World {
    fn run(seed: u64, load: Load, is_gated: bool) -> Outcome {
        let gate = is_gated.then(|| Intake::new(Options::default(), Duration::ZERO));
        let mut world = World {
            seed,
            load,
            gate,
            programs: Vec::new(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            waiting: BTreeSet::new(),
            noise: Random(seed + 1_000),
            out: Outcome::default(),
        };
        let mut random = Random(seed);
        for step in 0..5_000_u32 {
            let now = STEP * step;
            if now < Duration::from_secs(40) {
                world.arrive(now, &mut random);
            }
            world.start_due(now);
            world.serve(now);
            world.observe(now);
        }
        world.finish()
    }

    fn arrive(&mut self, now: Duration, random: &mut Random) {
        for organisation in 0..4 {
            let rate = (self.load.rate)(now.as_secs_f64(), organisation);
            if random.next() < rate * STEP.as_secs_f64() {
                let turn = Duration::from_secs_f64(0.3 + 0.3 * random.next());
                let idle = turn * TURNS + PAUSE * (TURNS - 1);
                self.programs.push(Program {
                    organisation,
                    arrived_at: now,
                    due: now + idle.mul_f64(1.4 + 1.5 * random.next()),
                    turn,
                    turns_left: TURNS,
                    attempts: 0,
                    next_at: Some(now),
                    ended_at: None,
                });
            }
        }
    }

    fn start_due(&mut self, now: Duration) {
        for n in 0..self.programs.len() {
            if self.programs[n].next_at.is_none_or(|at| at > now) {
                continue;
            }
            self.programs[n].next_at = None;
            if self.gate.is_some() && self.programs[n].turns_left == TURNS {
                self.programs[n].attempts += 1;
                self.waiting.insert(n);
                self.out.waited += 1;
                let event = Event::Arrive(self.job(n, now));
                self.tell_gate(now, event);
                if !self.waiting.contains(&n) {
                    self.out.waited -= 1;
                }
            } else {
                self.send(n, now);
            }
        }
    }

    fn job(&self, n: usize, now: Duration) -> Job {
        let program = &self.programs[n];
        let left = program.due.saturating_sub(now);
        Job {
            id: n.to_string().into(),
            organisation: program.organisation.to_string().into(),
            // The last organisation has a more urgent rank in all loads.
            weight: if program.organisation == URGENT { 8 } else { 4 },
            program: Some(n.to_string().into()),
            attained_tokens: 0,
            cost: 100.0,
            deadline: Some(now + (left / 3).min(Duration::from_millis(1_500))),
            at_most_once: false,
        }
    }

    fn tell_gate(&mut self, now: Duration, event: Event) {
        let Some(gate) = &mut self.gate else { return };
        let actions = gate.step(now, event);
        gate.check().expect("an invariant");
        for action in actions {
            match action {
                Action::Start(id) => {
                    let n = id.parse().unwrap();
                    assert!(self.waiting.remove(&n), "{id} does not wait");
                    self.send(n, now);
                }
                Action::Refuse {
                    id, return_after, ..
                } => {
                    let n = id.parse().unwrap();
                    assert!(self.waiting.remove(&n), "{id} does not wait");
                    self.out.refused += 1;
                    let program = &mut self.programs[n];
                    let left = program.due.saturating_sub(now) / 3;
                    if program.attempts < 3 {
                        program.next_at = Some(now + return_after.min(left));
                    }
                }
            }
        }
    }

    fn send(&mut self, n: usize, now: Duration) {
        let id = n.to_string();
        let due = Some(self.programs[n].due);
        let program = id.as_str().into();
        self.tell_gate(now, Event::Continue { program, due });
        let nominal = self.programs[n].turn;
        let id = id.as_str().into();
        self.tell_gate(now, Event::Sent { id, nominal });
        // The real work differs from what the entry assumes.
        let work = nominal.as_secs_f64() * (0.7 + 0.6 * self.noise.next());
        let server = self.servers.iter_mut();
        let server = server.min_by_key(|server| server.requests.len()).unwrap();
        server.requests.push((n, work));
    }

    fn serve(&mut self, now: Duration) {
        let mut ended = Vec::new();
        for (number, server) in self.servers.iter_mut().enumerate() {
            let running = server.requests.len().min(SLOTS);
            let sharing = (KNEE / f64::from(u32::try_from(running.max(1)).unwrap())).min(1.0);
            let speed = (self.load.speed)(now.as_secs_f64(), number) * sharing;
            for (_, left) in server.requests.iter_mut().take(SLOTS) {
                *left -= speed * STEP.as_secs_f64();
            }
            ended.extend(server.requests.extract_if(.., |(_, left)| *left <= 0.0));
        }
        for (n, _) in ended {
            let program = &mut self.programs[n];
            let nominal = program.turn;
            program.turns_left -= 1;
            if program.turns_left > 0 {
                program.next_at = Some(now + PAUSE);
            } else {
                program.ended_at = Some(now);
            }
            let id: Arc<str> = n.to_string().into();
            let event = Event::Finish {
                id: id.clone(),
                program: id,
                nominal: Some(nominal),
            };
            self.tell_gate(now, event);
        }
        self.tell_gate(now, Event::Tick);
    }

    fn observe(&mut self, now: Duration) {
        let Some(gate) = &self.gate else { return };
        let status = gate.status();
        assert_eq!(status.waiting, self.waiting.len(), "a caller is forgotten");
        self.out.longest_queue = self.out.longest_queue.max(status.waiting);
        if status.limit.is_some() {
            self.out.overload_seen.get_or_insert(now.as_secs_f64());
            self.out.overload_over = Some(now.as_secs_f64());
        }
    }

    fn finish(mut self) -> Outcome {
        assert!(self.waiting.is_empty(), "seed {}", self.seed);
        // Programs that arrive in the peak and in the ten seconds after it.
        for program in &self.programs {
            let arrived_at = program.arrived_at.as_secs_f64();
            if (20.0..40.0).contains(&arrived_at) {
                let in_time = program.ended_at.is_some_and(|at| at <= program.due);
                self.out.total += 1;
                self.out.in_time += usize::from(in_time);
                self.out.in_time_by_organisation[program.organisation] += usize::from(in_time);
            }
        }
        self.out
    }
}

const SEEDS: std::ops::Range<u64> = 1..9;

/// Runs a load with and without the gate, and returns the sums over the seeds.
fn compare(load: fn() -> Load) -> (Outcome, Outcome) {
    let run = |is_gated| {
        let mut sum = Outcome::default();
        for seed in SEEDS {
            let out = World::run(seed, load(), is_gated);
            sum.in_time += out.in_time;
            sum.total += out.total;
            sum.refused += out.refused;
            sum.waited += out.waited;
            sum.longest_queue = sum.longest_queue.max(out.longest_queue);
            for organisation in 0..4 {
                sum.in_time_by_organisation[organisation] +=
                    out.in_time_by_organisation[organisation];
            }
        }
        sum
    };
    let (without, with) = (run(false), run(true));
    println!(
        "in time {} without, {} with the gate, of {} and {}; {} refused, {} waited, queue {}, by organisation {:?} and {:?}",
        without.in_time,
        with.in_time,
        without.total,
        with.total,
        with.refused,
        with.waited,
        with.longest_queue,
        without.in_time_by_organisation,
        with.in_time_by_organisation
    );
    (without, with)
}

/// Guards against a gate that delays or refuses programs although no capacity is short.
#[test]
fn on_a_calm_day_nothing_waits_and_nothing_is_refused() {
    let (without, with) = compare(|| CALM);
    assert_eq!((with.refused, with.waited), (0, 0));
    assert_eq!(with.in_time, without.in_time);
}

/// Guards against programs that all slow down together and end late.
#[test]
fn more_programs_end_in_time_in_a_burst_with_slow_servers() {
    let (without, with) = compare(|| BURST);
    assert!(with.in_time * 10 > without.in_time * 11);
}

/// Guards against an organisation's peak that makes the programs of others late.
#[test]
fn the_peak_of_one_organisation_does_not_starve_the_others() {
    let (without, with) = compare(|| ONE_ORGANISATION);
    assert!(with.in_time > without.in_time);
    for organisation in 1..4 {
        let ended = |out: &Outcome| out.in_time_by_organisation[organisation];
        assert!(
            ended(&with) > ended(&without),
            "organisation {organisation}"
        );
    }
    assert!(
        with.in_time_by_organisation[0] > 0,
        "the peak itself is starved"
    );
}

/// Guards against urgent programs that end late because of a burst of less urgent ones, and against a
/// less urgent kind that is no longer served.
#[test]
fn a_burst_of_less_urgent_programs_delays_urgent_ones_less() {
    let (without, with) = compare(|| LESS_URGENT);
    assert!(with.in_time > without.in_time);
    assert!(with.in_time_by_organisation[URGENT] > without.in_time_by_organisation[URGENT]);
    for organisation in 0..URGENT {
        let ended = |out: &Outcome| out.in_time_by_organisation[organisation];
        assert!(
            ended(&with) * 2 > ended(&without),
            "organisation {organisation}"
        );
    }
}

/// Guards against a backlog that keeps programs late long after the capacity has come back.
#[test]
fn programs_end_in_time_again_after_all_capacity_was_lost() {
    let (without, with) = compare(|| LOST);
    assert!(with.in_time >= without.in_time);
}

/// A service whose turns usually take 400 ms, with 50 of them sent each second.
struct Steady {
    intake: Intake,
    now: Duration,
    sent: u32,
    running: Vec<(Duration, Event)>,
}

impl Steady {
    fn new() -> Self {
        let mut steady = Self {
            intake: Intake::new(Options::default(), Duration::ZERO),
            now: Duration::ZERO,
            sent: 0,
            running: Vec::new(),
        };
        steady.run(Duration::from_secs(10), 1);
        assert_eq!(steady.intake.status().limit, None);
        steady
    }

    /// Lets time pass, while turns that are sent take `slowdown` times as long as usual.
    fn run(&mut self, duration: Duration, slowdown: u32) -> Vec<Action> {
        let mut actions = Vec::new();
        let nominal = Duration::from_millis(400);
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.sent += 1;
            if self.sent.is_multiple_of(2) {
                let id: Arc<str> = format!("turn-{}", self.sent).into();
                let program: Arc<str> = format!("old-{}", self.sent % 100).into();
                let turn = Event::Continue {
                    program: program.clone(),
                    due: None,
                };
                actions.extend(self.intake.step(self.now, turn));
                let sent = Event::Sent {
                    id: id.clone(),
                    nominal,
                };
                actions.extend(self.intake.step(self.now, sent));
                let nominal = Some(nominal);
                let finish = Event::Finish {
                    id,
                    program,
                    nominal,
                };
                let took = Duration::from_millis(400) * slowdown;
                self.running.push((self.now + took, finish));
            }
            let now = self.now;
            for (_, event) in self.running.extract_if(.., |(at, _)| *at <= now) {
                actions.extend(self.intake.step(now, event));
            }
            actions.extend(self.intake.step(now, Event::Tick));
        }
        actions
    }

    fn arrive(&mut self, id: &str, organisation: &str, patience: Duration) -> Vec<Action> {
        let job = Job {
            id: id.into(),
            organisation: organisation.into(),
            weight: 1,
            program: Some(id.into()),
            attained_tokens: 0,
            cost: 100.0,
            deadline: Some(self.now + patience),
            at_most_once: false,
        };
        self.intake.step(self.now, Event::Arrive(job))
    }
}

/// Guards against an overload that is noticed more than 300 ms after the first turn became slow, or
/// a limit that is in force more than 500 ms after the last slow turn.
#[test]
fn an_overload_is_noticed_within_300_ms_and_over_within_500_ms() {
    // The windows of measurement may begin at any time.
    for phase in 0..10 {
        let mut steady = Steady::new();
        steady.run(STEP * phase, 1);
        // A turn shows that it is slow no sooner than at its usual end.
        steady.run(Duration::from_millis(400 + 300), 2);
        let status = steady.intake.status();
        assert!(status.limit.is_some(), "phase {phase}: {status:?}");
        steady.run(Duration::from_secs(5), 2);
        let status = steady.intake.status();
        assert!(status.limit.is_some(), "phase {phase}: {status:?}");
        // The last slow turn ends 800 ms after it was sent.
        steady.run(Duration::from_millis(800 + 500), 1);
        let status = steady.intake.status();
        assert_eq!(status.limit, None, "phase {phase}: {status:?}");
    }
}

/// Guards against a refused caller that returns in time and is put behind those that came after it,
/// and against one that waits although it can't afford to.
#[test]
fn a_caller_that_returns_in_time_keeps_its_place() {
    let mut steady = Steady::new();
    steady.run(Duration::from_secs(1), 3);
    let refused = steady.arrive("early", "o", Duration::ZERO);
    let [
        Action::Refuse {
            reason: Reason::Forecast,
            return_after,
            ..
        },
    ] = refused[..]
    else {
        panic!("{refused:?}");
    };
    let patience = Duration::from_mins(1);
    assert_eq!(steady.arrive("late", "o", patience), []);
    let mut started = steady.run(return_after, 3);
    started.extend(steady.arrive("early", "o", patience));
    assert_eq!(started, []);
    started.extend(steady.run(Duration::from_secs(5), 1));
    assert_eq!(
        started,
        ["early", "late"].map(|id| Action::Start(id.into()))
    );
}

/// Guards against callers that stay in the queue after they left or after the entry stops, against
/// callers without an answer, and against a queue without bound.
#[test]
fn every_caller_gets_one_answer_or_leaves() {
    for seed in SEEDS {
        let mut random = Random(seed);
        let mut steady = Steady::new();
        let mut open = BTreeSet::new();
        for n in 0..2_000 {
            let slowdown = if random.next() < 0.7 { 3 } else { 1 };
            let patience = Duration::from_secs_f64(20.0 * random.next());
            let organisation = format!("o-{}", (random.next() * 3.0).floor());
            let id = n.to_string();
            open.insert(id.clone());
            let mut actions = steady.arrive(&id, &organisation, patience);
            if random.next() < 0.2
                && let Some(leaving) = open.pop_last()
            {
                let event = Event::Cancel(leaving.as_str().into());
                actions.retain(|action| !names(action, &leaving));
                actions.extend(steady.intake.step(steady.now, event));
                assert!(!actions.iter().any(|action| names(action, &leaving)));
            }
            if random.next() < 0.1 {
                actions.extend(steady.run(STEP, slowdown));
            }
            actions.extend(steady.intake.step(steady.now, Event::Tick));
            answer(&mut open, &actions);
            steady.intake.check().expect("an invariant");
            assert!(open.len() >= steady.intake.status().waiting, "seed {seed}");
        }
        let stopped = steady.intake.step(steady.now, Event::Gate(Gate::Stopping));
        assert_eq!(steady.intake.status().waiting, 0, "seed {seed}");
        answer(&mut open, &stopped);
    }
}

fn names(action: &Action, caller: &str) -> bool {
    let (Action::Start(id) | Action::Refuse { id, .. }) = action;
    **id == *caller
}

fn answer(open: &mut BTreeSet<String>, actions: &[Action]) {
    for action in actions {
        let (Action::Start(id) | Action::Refuse { id, .. }) = action;
        assert!(
            open.remove(&**id),
            "{action:?} for a caller that left or has its answer"
        );
    }
}
