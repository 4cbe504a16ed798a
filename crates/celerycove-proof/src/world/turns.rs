//! The stores' log under entries that race and resend, with stores that lose their disks and members
//! that change.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use celerycove_control::{
    Action, Answer, Event, Message, Node, Options,
    log::{Command as Logged, Members},
    membership::{self, Candidate},
    node::Proposed,
};
use celerycove_turn::{Begin, Command, End, Keep, Outcome};
use celerycove_types::{Timestamp, Violation, id};

use crate::{
    disk::{Disk, Shared},
    net::{Net, Place},
};

const STORES: usize = 4;
const MEMBERS: usize = 3;
const ENTRIES: usize = 3;
const PLACES: usize = STORES + ENTRIES;
const TICK: Duration = Duration::from_millis(60);
/// How long an entry waits for an answer before it asks another store.
const PATIENCE: Duration = Duration::from_millis(600);
/// Longer than any run.
const RETENTION: Duration = Duration::from_hours(1);
const RECOVERY: Duration = Duration::from_secs(20);
const PROGRAMS: usize = 4;
/// Tokens that all turns of a program may generate, and the most of one.
const BUDGET: id::Tokens = 120;
const MOST: id::Tokens = 15;

#[derive(Debug, Clone)]
enum Input {
    Tick,
    Message(Place, Message),
    /// An entry asks for a command to be committed.
    Ask(Place, u64, Command),
    /// What became of it.
    Told(u64, Option<Outcome>),
    Restart,
}

/// What an entry is doing.
#[derive(Debug, Clone)]
enum Work {
    Idle,
    /// It waits for the answer to a question.
    Asks {
        number: u64,
        command: Command,
        until: Timestamp,
    },
}

/// A turn whose end was acknowledged.
#[derive(Debug, Clone)]
struct Kept {
    name: id::Request,
    /// The texts from the first turn of its chain to its own.
    chain: Vec<Bytes>,
}

#[derive(Debug, Default)]
struct Program {
    /// Tokens handed to the caller.
    handed: id::Tokens,
    kept: Vec<Kept>,
}

struct World {
    net: Net<Input>,
    disks: Vec<Shared>,
    nodes: Vec<Option<Node>>,
    /// When each store last heard each other.
    heard: BTreeMap<(Place, Place), Timestamp>,
    entries: Vec<Work>,
    programs: Vec<Program>,
    /// Who asked with which token.
    tokens: BTreeMap<u64, (Place, u64)>,
    number: u64,
    faults: bool,
    ended: u64,
}

/// Runs from a seed.
///
/// # Errors
///
/// Returns the first broken invariant.
pub fn run(seed: u64, steps: usize, step: &mut usize) -> Result<u64, Violation> {
    let mut world = World::new(seed);
    for at in 0..steps {
        *step = at;
        world.step()?;
    }
    world.recover()?;
    Ok(world.ended)
}

fn name(place: Place) -> id::Process {
    format!("s{place}").into()
}

fn place(name: &id::Process) -> Option<Place> {
    name.strip_prefix('s')?.parse().ok()
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            net: Net::new(seed, PLACES),
            disks: (0..STORES).map(|_| Shared::default()).collect(),
            nodes: (0..STORES).map(|_| None).collect(),
            heard: BTreeMap::new(),
            entries: vec![Work::Idle; ENTRIES],
            programs: (0..PROGRAMS).map(|_| Program::default()).collect(),
            tokens: BTreeMap::new(),
            number: 0,
            faults: true,
            ended: 0,
        };
        for node in 0..STORES {
            world.start(node, node < MEMBERS);
        }
        for place in 0..PLACES {
            world.net.after(TICK, place, Input::Tick);
        }
        world
    }

    fn start(&mut self, node: Place, founds: bool) {
        let members: Members = (0..MEMBERS).map(name).collect();
        let options = Options {
            heartbeat_interval: Duration::from_millis(60),
            election_timeout: Duration::from_millis(300),
            snapshot_interval: 20,
        };
        let seed = self.net.below(usize::MAX) as u64;
        let storage = Box::new(self.disks[node].clone());
        let now = self.net.clock(node);
        let first = founds.then_some(members);
        self.nodes[node] = Node::open(name(node), first, storage, options, seed, now).ok();
    }

    fn step(&mut self) -> Result<(), Violation> {
        let Some((to, input)) = self.net.pop() else {
            return Ok(());
        };
        let ticks = matches!(input, Input::Tick);
        if ticks {
            self.net.after(TICK, to, Input::Tick);
        }
        if to >= STORES {
            return self.entry(to, input);
        }
        if ticks && self.faults {
            self.disturb(to);
        }
        if ticks {
            self.change_members(to);
        }
        self.node(to, input);
        match &self.nodes[to] {
            Some(node) => node.check(),
            None => Ok(()),
        }
    }

    fn node(&mut self, to: Place, input: Input) {
        let event = match input {
            Input::Tick => Event::Tick,
            Input::Message(from, message) => {
                self.heard.insert((to, from), self.net.now());
                Event::Message {
                    from: name(from),
                    message,
                }
            }
            Input::Ask(from, number, mut command) => {
                let wall = u64::try_from(self.net.clock(to).as_millis()).unwrap_or(u64::MAX);
                match &mut command {
                    Command::Begin(begin) => begin.at = wall,
                    Command::End(end) => end.at = wall,
                }
                self.number += 1;
                self.tokens.insert(self.number, (from, number));
                Event::Propose(vec![Proposed {
                    token: self.number,
                    command: Logged::Turn(command),
                }])
            }
            Input::Restart => {
                self.disks[to].with(|disk| disk.failing = false);
                self.start(to, false);
                return;
            }
            Input::Told(..) => return,
        };
        self.feed(to, event);
    }

    fn feed(&mut self, to: Place, event: Event) {
        let now = self.net.clock(to);
        let Some(node) = &mut self.nodes[to] else {
            return;
        };
        for action in node.step(now, event) {
            match action {
                Action::Send { to: peer, message } => {
                    if let Some(peer) = place(&peer) {
                        self.net.send(to, peer, Input::Message(to, message));
                    }
                }
                Action::Answer { token, answer } => {
                    let told = match answer {
                        Answer::Turn(outcome) => Some(outcome),
                        _ => None,
                    };
                    if let Some((from, number)) = self.tokens.remove(&token) {
                        self.net.send(to, from, Input::Told(number, told));
                    }
                }
                Action::Halt(_) => {
                    self.nodes[to] = None;
                    self.net
                        .after(Duration::from_millis(400), to, Input::Restart);
                    return;
                }
            }
        }
    }

    /// A leader keeps three members that it hears.
    fn change_members(&mut self, to: Place) {
        let Some(node) = self.nodes[to].as_ref().filter(|node| node.is_leader()) else {
            return;
        };
        let now = self.net.now();
        let (members, voters) = (node.members().clone(), node.voters());
        let candidates = (0..STORES).map(|at| {
            let heard = self.heard.get(&(to, at)).copied().unwrap_or_default();
            let stands_by = !members.contains(&name(at)) && self.nodes[at].is_some();
            let silent = if at == to || stands_by {
                Duration::ZERO
            } else {
                now.saturating_sub(heard)
            };
            let candidate = Candidate {
                data_centre: "dc".into(),
                silent_for: silent,
                retiring: false,
            };
            (name(at), candidate)
        });
        let options = membership::Options {
            target: MEMBERS,
            silence_timeout: Duration::from_secs(2),
        };
        let plan = membership::plan(&name(to), &members, &voters, &candidates.collect(), options);
        if let Some(members) = plan {
            self.number += 1;
            let proposed = Proposed {
                token: self.number,
                command: Logged::Members(members),
            };
            self.feed(to, Event::Propose(vec![proposed]));
        }
    }

    fn entry(&mut self, at: Place, input: Input) -> Result<(), Violation> {
        let entry = at - STORES;
        let now = self.net.now();
        match (input, self.entries[entry].clone()) {
            (Input::Tick, Work::Idle) => self.begin(at),
            (
                Input::Tick,
                Work::Asks {
                    number,
                    command,
                    until,
                },
            ) if now >= until => {
                // An entry that dies forgets what it asked; others ask another store.
                if self.faults && self.net.chance(0.1) {
                    self.entries[entry] = Work::Idle;
                } else {
                    self.ask(at, number, command);
                }
            }
            (
                Input::Told(number, Some(outcome)),
                Work::Asks {
                    number: asked,
                    command,
                    ..
                },
            ) if number == asked => {
                self.entries[entry] = Work::Idle;
                return self.told(at, command, outcome);
            }
            _ => {}
        }
        Ok(())
    }

    fn ask(&mut self, at: Place, number: u64, command: Command) {
        let store = self.net.below(STORES);
        let until = self.net.now() + PATIENCE;
        self.net
            .send(at, store, Input::Ask(at, number, command.clone()));
        self.entries[at - STORES] = Work::Asks {
            number,
            command,
            until,
        };
    }

    /// Begins a turn of some program, after one of its kept turns or none.
    fn begin(&mut self, at: Place) {
        let program = self.net.below(PROGRAMS);
        let kept = self.programs[program].kept.len();
        let previous = (kept > 0 && self.net.chance(0.8)).then(|| self.net.below(kept));
        let previous = previous.map(|at| self.programs[program].kept[at].name.clone());
        self.number += 1;
        let command = Command::Begin(Begin {
            at: 0,
            request: format!("p{program}-t{}", self.number).into(),
            organisation: "o".into(),
            budget: Some((format!("p{program}").into(), BUDGET)),
            max_tokens: MOST,
            previous,
            holds_chain: false,
            retention: RETENTION,
        });
        self.ask(at, self.number, command);
    }

    fn told(&mut self, at: Place, command: Command, outcome: Outcome) -> Result<(), Violation> {
        match (command, outcome) {
            (Command::Begin(begin), Outcome::Begun(chain)) => self.run_turn(at, &begin, &chain),
            (Command::Begin(begin), Outcome::NoTurn) => {
                Violation::unless(false, "kept-stays", || {
                    format!("{} does not find {:?}", begin.request, begin.previous)
                })
            }
            (Command::End(end), Outcome::Ended) => {
                self.ended += 1;
                self.keep(&end);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn program_of(request: &id::Request) -> usize {
        let number = request
            .strip_prefix('p')
            .and_then(|rest| rest.split('-').next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Runs the engine: tokens are handed to the caller, then the end is told.
    fn run_turn(&mut self, at: Place, begin: &Begin, chain: &[Bytes]) -> Result<(), Violation> {
        let program = Self::program_of(&begin.request);
        let expected = begin.previous.as_ref().and_then(|previous| {
            let kept = self.programs[program].kept.iter();
            kept.clone().find(|kept| kept.name == *previous)
        });
        let expected = expected.map(|kept| kept.chain.clone()).unwrap_or_default();
        Violation::unless(chain == expected, "chain-whole", || {
            format!(
                "{}: {} texts instead of {}",
                begin.request,
                chain.len(),
                expected.len()
            )
        })?;
        let spent = self.net.below(usize::try_from(MOST).unwrap_or(1) + 1) as id::Tokens;
        let state = &mut self.programs[program];
        state.handed += spent;
        Violation::unless(state.handed <= BUDGET, "budget-kept", || {
            format!("program {program} was handed {} of {BUDGET}", state.handed)
        })?;
        let keep = Keep {
            previous: begin.previous.clone(),
            text: Bytes::from(format!("text of {}", begin.request)),
        };
        self.number += 1;
        let end = Command::End(End {
            at: 0,
            request: begin.request.clone(),
            organisation: begin.organisation.clone(),
            program: Some(format!("p{program}").into()),
            spent,
            keep: Some(keep),
            retention: RETENTION,
        });
        self.ask(at, self.number, end);
        Ok(())
    }

    fn keep(&mut self, end: &End) {
        let Some(keep) = &end.keep else { return };
        let program = &mut self.programs[Self::program_of(&end.request)];
        let before = keep.previous.as_ref().and_then(|previous| {
            let mut kept = program.kept.iter();
            kept.find(|kept| kept.name == *previous)
        });
        let mut chain = before.map(|kept| kept.chain.clone()).unwrap_or_default();
        chain.push(keep.text.clone());
        program.kept.push(Kept {
            name: end.request.clone(),
            chain,
        });
    }

    fn disturb(&mut self, node: Place) {
        if self.net.chance(0.012) {
            self.nodes[node] = None;
            let pause = Duration::from_millis(100 + 10 * self.net.below(300) as u64);
            self.net.after(pause, node, Input::Restart);
        }
        if self.net.chance(0.004) {
            self.disks[node].with(|disk| disk.failing = true);
        }
        if self.net.chance(0.02) && self.may_lose_disk(node) {
            self.disks[node].with(|disk| *disk = Disk::default());
            self.nodes[node] = None;
            self.net
                .after(Duration::from_millis(500), node, Input::Restart);
        }
        if self.net.chance(0.012) {
            let place = self.net.below(PLACES);
            self.net.isolate(place, PLACES);
        }
        if self.net.chance(0.01) {
            let (a, b) = (self.net.below(PLACES), self.net.below(PLACES));
            let both = self.net.chance(0.5);
            self.net.cut(a, b, both);
        }
        if self.net.chance(0.04) {
            self.net.heal();
        }
    }

    /// One disk at a time: the others that count are there, whole and equal.
    fn may_lose_disk(&self, node: Place) -> bool {
        let leader = self.nodes.iter().flatten().find(|node| node.is_leader());
        let Some(leader) = leader else { return false };
        let members: BTreeSet<Place> = leader.members().iter().filter_map(place).collect();
        let whole = |at: &Place| {
            let there = self.nodes[*at].as_ref();
            there.is_some_and(|there| {
                there.commit_index() == leader.commit_index() && there.members() == leader.members()
            })
        };
        let voter = |at: &Place| {
            let ballot = self.disks[*at].with(|disk| disk.durable.ballot.clone());
            ballot.is_some_and(|ballot| ballot.voter)
        };
        let others: Vec<Place> = members.iter().copied().filter(|at| *at != node).collect();
        members.len() == MEMBERS && others.iter().all(whole) && others.iter().all(voter)
    }

    fn recover(&mut self) -> Result<(), Violation> {
        self.faults = false;
        self.net.calm();
        for node in 0..STORES {
            self.disks[node].with(|disk| disk.failing = false);
            if self.nodes[node].is_none() {
                self.start(node, false);
            }
        }
        // Programs whose budget is used up end no more turns.
        self.programs.push(Program::default());
        let (deadline, before) = (self.net.now() + RECOVERY, self.ended);
        let mut fresh = 0;
        while self.net.now() < deadline {
            self.step()?;
            if self.ended > before {
                return Ok(());
            }
            for entry in 0..ENTRIES {
                if matches!(self.entries[entry], Work::Idle) {
                    fresh += 1;
                    self.begin_fresh(STORES + entry, fresh);
                }
            }
        }
        Violation::unless(false, "recovers", || {
            let nodes = self.nodes.iter().flatten();
            let nodes: Vec<_> = nodes
                .map(|n| {
                    (
                        n.term(),
                        n.is_leader(),
                        n.commit_index(),
                        n.members().clone(),
                    )
                })
                .collect();
            format!("no turn ended after {RECOVERY:?}: {nodes:?}")
        })
    }

    /// Begins a turn of a program that has its whole budget.
    fn begin_fresh(&mut self, at: Place, fresh: usize) {
        self.number += 1;
        let command = Command::Begin(Begin {
            at: 0,
            request: format!("p{PROGRAMS}-t{}", self.number).into(),
            organisation: "o".into(),
            budget: Some((format!("fresh-{fresh}").into(), BUDGET)),
            max_tokens: MOST,
            previous: None,
            holds_chain: false,
            retention: RETENTION,
        });
        self.ask(at, self.number, command);
    }
}
