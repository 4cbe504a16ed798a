//! The stores' replicated log with entries that send concurrent and repeated requests, stores that
//! lose their disks, and membership changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use celerycove_control::{
    Action, Answer, Event, Message, Node, Options,
    log::{Command as LogCommand, Members},
    membership::{self, Candidate},
    node::Proposed,
};
use celerycove_turn::{Begin, Command, End, Keep, Outcome};
use celerycove_types::{Timestamp, Violation, id};

use crate::{
    disk::{Disk, Shared},
    net::{Network, ProcessIndex},
};

const STORES: usize = 4;
const MEMBERS: usize = 3;
const ENTRIES: usize = 3;
const PROCESSES: usize = STORES + ENTRIES;
const TICK_INTERVAL: Duration = Duration::from_millis(60);
/// How long an entry waits for a reply before it sends the request to another store.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);
/// Retention of turns, longer than any run.
const RETENTION: Duration = Duration::from_hours(1);
/// Time within which a turn must end after all faults have stopped.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);
const PROGRAMS: usize = 4;
/// Tokens that all turns of a program may generate.
const BUDGET: id::Tokens = 120;
/// Tokens that one turn may generate.
const MAX_TURN_TOKENS: id::Tokens = 15;

#[derive(Debug, Clone)]
enum Input {
    Tick,
    Message(ProcessIndex, Message),
    /// An entry requests that a command be committed, with a number for the reply.
    Request(ProcessIndex, u64, Command),
    /// The reply to a request; `None` if it was not committed.
    Reply(u64, Option<Outcome>),
    Restart,
}

/// The state of an entry.
#[derive(Debug, Clone)]
enum EntryState {
    Idle,
    /// Waits for the reply to a request.
    AwaitsReply {
        number: u64,
        command: Command,
        until: Timestamp,
    },
}

/// A turn whose end was acknowledged, so that it must stay readable.
#[derive(Debug, Clone)]
struct StoredTurn {
    name: id::Request,
    /// The texts of the turns that it continues, oldest first, and its own.
    chain: Vec<Bytes>,
}

#[derive(Debug, Default)]
struct Program {
    /// Tokens delivered to the caller.
    delivered: id::Tokens,
    stored: Vec<StoredTurn>,
}

struct Simulation {
    net: Network<Input>,
    disks: Vec<Shared>,
    nodes: Vec<Option<Node>>,
    /// When each store (first index) last received a message from another (second index).
    last_heard: BTreeMap<(ProcessIndex, ProcessIndex), Timestamp>,
    entries: Vec<EntryState>,
    programs: Vec<Program>,
    /// The entry and request number that each proposal token belongs to.
    requesters: BTreeMap<u64, (ProcessIndex, u64)>,
    /// Counts request numbers, proposal tokens and turn names.
    last_number: u64,
    faults_enabled: bool,
    ended_turns: u64,
}

/// Runs `steps` steps with faults, then stops the faults and checks that progress resumes. `step`
/// is set to the step that runs. Returns the number of turns ended.
///
/// # Errors
///
/// Returns the first invariant violation.
pub fn run(seed: u64, steps: usize, step: &mut usize) -> Result<u64, Violation> {
    let mut simulation = Simulation::new(seed);
    for current in 0..steps {
        *step = current;
        simulation.step()?;
    }
    simulation.check_recovery()?;
    Ok(simulation.ended_turns)
}

fn process_id(index: ProcessIndex) -> id::Process {
    format!("s{index}").into()
}

fn process_index(id: &id::Process) -> Option<ProcessIndex> {
    id.strip_prefix('s')?.parse().ok()
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            net: Network::new(seed, PROCESSES),
            disks: (0..STORES).map(|_| Shared::default()).collect(),
            nodes: (0..STORES).map(|_| None).collect(),
            last_heard: BTreeMap::new(),
            entries: vec![EntryState::Idle; ENTRIES],
            programs: (0..PROGRAMS).map(|_| Program::default()).collect(),
            requesters: BTreeMap::new(),
            last_number: 0,
            faults_enabled: true,
            ended_turns: 0,
        };
        for node in 0..STORES {
            simulation.start_store(node, node < MEMBERS);
        }
        for process in 0..PROCESSES {
            simulation.net.schedule(TICK_INTERVAL, process, Input::Tick);
        }
        simulation
    }

    fn start_store(&mut self, node: ProcessIndex, bootstrap: bool) {
        let members: Members = (0..MEMBERS).map(process_id).collect();
        let options = Options {
            heartbeat_interval: Duration::from_millis(60),
            election_timeout: Duration::from_millis(300),
            snapshot_interval: 20,
            // Some instances compact after a few entries because of their size.
            max_log_bytes: if node.is_multiple_of(2) {
                2_000
            } else {
                16 << 20
            },
        };
        let seed = self.net.random_below(usize::MAX) as u64;
        let storage = Box::new(self.disks[node].clone());
        let now = self.net.clock(node);
        let initial_members = bootstrap.then_some(members);
        self.nodes[node] = Node::open(
            process_id(node),
            initial_members,
            storage,
            options,
            seed,
            now,
        )
        .ok();
    }

    fn step(&mut self) -> Result<(), Violation> {
        let Some((to, input)) = self.net.next_event() else {
            return Ok(());
        };
        let is_tick = matches!(input, Input::Tick);
        if is_tick {
            self.net.schedule(TICK_INTERVAL, to, Input::Tick);
        }
        if to >= STORES {
            return self.handle_entry_input(to, input);
        }
        if is_tick && self.faults_enabled {
            self.inject_faults(to);
        }
        if is_tick {
            self.change_members(to);
        }
        self.handle_store_input(to, input);
        match &self.nodes[to] {
            Some(node) => node.check(),
            None => Ok(()),
        }
    }

    fn handle_store_input(&mut self, to: ProcessIndex, input: Input) {
        let event = match input {
            Input::Tick => Event::Tick,
            Input::Message(from, message) => {
                self.last_heard.insert((to, from), self.net.now());
                Event::Message {
                    from: process_id(from),
                    message,
                }
            }
            Input::Request(from, number, mut command) => {
                let wall_ms = u64::try_from(self.net.clock(to).as_millis()).unwrap_or(u64::MAX);
                match &mut command {
                    Command::Begin(begin) => begin.at = wall_ms,
                    Command::End(end) => end.at = wall_ms,
                }
                self.last_number += 1;
                self.requesters.insert(self.last_number, (from, number));
                Event::Propose(vec![Proposed {
                    token: self.last_number,
                    command: LogCommand::Turn(command),
                }])
            }
            Input::Restart => {
                self.disks[to].with(|disk| disk.failing = false);
                self.start_store(to, false);
                return;
            }
            Input::Reply(..) => return,
        };
        self.step_store(to, event);
    }

    fn step_store(&mut self, to: ProcessIndex, event: Event) {
        let now = self.net.clock(to);
        let Some(node) = &mut self.nodes[to] else {
            return;
        };
        for action in node.step(now, event) {
            match action {
                Action::Send { to: peer, message } => {
                    if let Some(peer) = process_index(&peer) {
                        self.net.send(to, peer, Input::Message(to, message));
                    }
                }
                Action::Answer { token, answer } => {
                    let reply = match answer {
                        Answer::Turn(outcome) => Some(outcome),
                        _ => None,
                    };
                    if let Some((from, number)) = self.requesters.remove(&token) {
                        self.net.send(to, from, Input::Reply(number, reply));
                    }
                }
                Action::Halt(_) => {
                    self.nodes[to] = None;
                    self.net
                        .schedule(Duration::from_millis(400), to, Input::Restart);
                    return;
                }
            }
        }
    }

    /// Lets a leader replace members that it has not heard from, so that three members respond.
    fn change_members(&mut self, to: ProcessIndex) {
        let Some(node) = self.nodes[to].as_ref().filter(|node| node.is_leader()) else {
            return;
        };
        let now = self.net.now();
        let (members, voters) = (node.members().clone(), node.voters());
        let learner = node.learner();
        let candidates = (0..STORES).map(|process| {
            let heard = self
                .last_heard
                .get(&(to, process))
                .copied()
                .unwrap_or_default();
            let is_running_spare =
                !members.contains(&process_id(process)) && self.nodes[process].is_some();
            let silent = if process == to || is_running_spare {
                Duration::ZERO
            } else {
                now.saturating_sub(heard)
            };
            let candidate = Candidate {
                data_centre: "dc".into(),
                silent_for: silent,
                retiring: false,
            };
            (process_id(process), candidate)
        });
        let options = membership::Options {
            target: MEMBERS,
            silence_timeout: Duration::from_secs(2),
        };
        let plan = membership::plan(
            &process_id(to),
            membership::Current {
                members: &members,
                voters: &voters,
                learner: learner.as_ref(),
            },
            &candidates.collect(),
            options,
        );
        self.step_store(to, Event::Learn(plan.learner));
        if let Some(members) = plan.members {
            self.last_number += 1;
            let proposed = Proposed {
                token: self.last_number,
                command: LogCommand::Members(members),
            };
            self.step_store(to, Event::Propose(vec![proposed]));
        }
    }

    fn handle_entry_input(&mut self, process: ProcessIndex, input: Input) -> Result<(), Violation> {
        let entry = process - STORES;
        let now = self.net.now();
        match (input, self.entries[entry].clone()) {
            (Input::Tick, EntryState::Idle) => self.begin_turn(process),
            (
                Input::Tick,
                EntryState::AwaitsReply {
                    number,
                    command,
                    until,
                },
            ) if now >= until => {
                // An entry that restarts forgets its request; otherwise it tries another store.
                if self.faults_enabled && self.net.chance(0.1) {
                    self.entries[entry] = EntryState::Idle;
                } else {
                    self.send_request(process, number, command);
                }
            }
            (
                Input::Reply(number, Some(outcome)),
                EntryState::AwaitsReply {
                    number: awaited,
                    command,
                    ..
                },
            ) if number == awaited => {
                self.entries[entry] = EntryState::Idle;
                return self.handle_reply(process, command, outcome);
            }
            _ => {}
        }
        Ok(())
    }

    fn send_request(&mut self, process: ProcessIndex, number: u64, command: Command) {
        let store = self.net.random_below(STORES);
        let until = self.net.now() + REPLY_TIMEOUT;
        self.net.send(
            process,
            store,
            Input::Request(process, number, command.clone()),
        );
        self.entries[process - STORES] = EntryState::AwaitsReply {
            number,
            command,
            until,
        };
    }

    /// Begins a turn of a random program, either after one of its stored turns or without history.
    fn begin_turn(&mut self, process: ProcessIndex) {
        let program = self.net.random_below(PROGRAMS);
        let stored = self.programs[program].stored.len();
        let previous = (stored > 0 && self.net.chance(0.8)).then(|| self.net.random_below(stored));
        let previous = previous.map(|index| self.programs[program].stored[index].name.clone());
        self.last_number += 1;
        let command = Command::Begin(Begin {
            at: 0,
            request: format!("p{program}-t{}", self.last_number).into(),
            organisation: "o".into(),
            budget: Some((format!("p{program}").into(), BUDGET)),
            max_tokens: MAX_TURN_TOKENS,
            previous,
            holds_chain: false,
            retention: RETENTION,
        });
        self.send_request(process, self.last_number, command);
    }

    fn handle_reply(
        &mut self,
        process: ProcessIndex,
        command: Command,
        outcome: Outcome,
    ) -> Result<(), Violation> {
        match (command, outcome) {
            (Command::Begin(begin), Outcome::Begun(chain)) => {
                self.run_turn(process, &begin, &chain)
            }
            (Command::Begin(begin), Outcome::NoTurn) => {
                Violation::unless(false, "kept-stays", || {
                    format!(
                        "{} does not find the stored turn {:?}",
                        begin.request, begin.previous
                    )
                })
            }
            (Command::End(end), Outcome::Ended) => {
                self.ended_turns += 1;
                self.record_stored_turn(&end);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn program_index(request: &id::Request) -> usize {
        let number = request
            .strip_prefix('p')
            .and_then(|rest| rest.split('-').next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Checks the history of a turn, delivers its tokens to the caller and requests its end.
    fn run_turn(
        &mut self,
        process: ProcessIndex,
        begin: &Begin,
        chain: &[Bytes],
    ) -> Result<(), Violation> {
        let program = Self::program_index(&begin.request);
        let expected = begin.previous.as_ref().and_then(|previous| {
            let stored = self.programs[program].stored.iter();
            stored.clone().find(|stored| stored.name == *previous)
        });
        let expected = expected
            .map(|stored| stored.chain.clone())
            .unwrap_or_default();
        Violation::unless(chain == expected, "chain-whole", || {
            format!(
                "{}: history of {} texts instead of {}",
                begin.request,
                chain.len(),
                expected.len()
            )
        })?;
        let spent = self
            .net
            .random_below(usize::try_from(MAX_TURN_TOKENS).unwrap_or(1) + 1)
            as id::Tokens;
        let state = &mut self.programs[program];
        state.delivered += spent;
        Violation::unless(state.delivered <= BUDGET, "budget-kept", || {
            format!(
                "program {program} got {} of {BUDGET} tokens",
                state.delivered
            )
        })?;
        let keep = Keep {
            previous: begin.previous.clone(),
            text: Bytes::from(format!("text of {}", begin.request)),
        };
        self.last_number += 1;
        let end = Command::End(End {
            at: 0,
            request: begin.request.clone(),
            organisation: begin.organisation.clone(),
            program: Some(format!("p{program}").into()),
            spent,
            keep: Some(keep),
            retention: RETENTION,
        });
        self.send_request(process, self.last_number, end);
        Ok(())
    }

    fn record_stored_turn(&mut self, end: &End) {
        let Some(keep) = &end.keep else { return };
        let program = &mut self.programs[Self::program_index(&end.request)];
        let before = keep.previous.as_ref().and_then(|previous| {
            let mut stored = program.stored.iter();
            stored.find(|stored| stored.name == *previous)
        });
        let mut chain = before
            .map(|stored| stored.chain.clone())
            .unwrap_or_default();
        chain.push(keep.text.clone());
        program.stored.push(StoredTurn {
            name: end.request.clone(),
            chain,
        });
    }

    fn inject_faults(&mut self, node: ProcessIndex) {
        if self.net.chance(0.012) {
            self.nodes[node] = None;
            let downtime = Duration::from_millis(100 + 10 * self.net.random_below(300) as u64);
            self.net.schedule(downtime, node, Input::Restart);
        }
        if self.net.chance(0.004) {
            self.disks[node].with(|disk| disk.failing = true);
        }
        if self.net.chance(0.02) && self.can_lose_disk(node) {
            self.disks[node].with(|disk| *disk = Disk::default());
            self.nodes[node] = None;
            self.net
                .schedule(Duration::from_millis(500), node, Input::Restart);
        }
        if self.net.chance(0.012) {
            let process = self.net.random_below(PROCESSES);
            self.net.isolate(process, PROCESSES);
        }
        if self.net.chance(0.01) {
            let (a, b) = (
                self.net.random_below(PROCESSES),
                self.net.random_below(PROCESSES),
            );
            let both = self.net.chance(0.5);
            self.net.cut_link(a, b, both);
        }
        if self.net.chance(0.04) {
            self.net.restore_links();
        }
    }

    /// Returns whether the disk of a store may be erased: all others that are members by some disk, or
    /// learners, must have a vote on theirs, so that at most one disk is missing at a time.
    fn can_lose_disk(&self, node: ProcessIndex) -> bool {
        let is_voter = |process: &ProcessIndex| {
            let ballot = self.disks[*process].with(|disk| disk.durable.ballot.clone());
            ballot.is_some_and(|ballot| ballot.voter)
        };
        let disks = self.disks.iter();
        let members = disks.flat_map(|disk| disk.with(|disk| disk.members()));
        let members = members.filter_map(|member| process_index(&member));
        let learners = self.nodes.iter().flatten().filter_map(Node::learner);
        let learners = learners.filter_map(|learner| process_index(&learner.process));
        let others = members.chain(learners).filter(|process| *process != node);
        let others: BTreeSet<ProcessIndex> = others.collect();
        others.len() + 1 >= MEMBERS && others.iter().all(is_voter)
    }

    /// Stops all faults and checks that a turn of a new program ends.
    fn check_recovery(&mut self) -> Result<(), Violation> {
        self.faults_enabled = false;
        self.net.stop_faults();
        for node in 0..STORES {
            self.disks[node].with(|disk| disk.failing = false);
            if self.nodes[node].is_none() {
                self.start_store(node, false);
            }
        }
        // The existing programs may have used up their budgets, so recovery uses new
        // ones.
        self.programs.push(Program::default());
        let (deadline, before) = (self.net.now() + RECOVERY_TIMEOUT, self.ended_turns);
        let mut budget_number = 0;
        while self.net.now() < deadline {
            self.step()?;
            if self.ended_turns > before {
                return Ok(());
            }
            for entry in 0..ENTRIES {
                if matches!(self.entries[entry], EntryState::Idle) {
                    budget_number += 1;
                    self.begin_turn_with_new_budget(STORES + entry, budget_number);
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
            format!("no turn ended within {RECOVERY_TIMEOUT:?}: {nodes:?}")
        })
    }

    /// Begins a turn under a new, unused budget.
    fn begin_turn_with_new_budget(&mut self, process: ProcessIndex, budget_number: usize) {
        self.last_number += 1;
        let command = Command::Begin(Begin {
            at: 0,
            request: format!("p{PROGRAMS}-t{}", self.last_number).into(),
            organisation: "o".into(),
            budget: Some((format!("fresh-{budget_number}").into(), BUDGET)),
            max_tokens: MAX_TURN_TOKENS,
            previous: None,
            holds_chain: false,
            retention: RETENTION,
        });
        self.send_request(process, self.last_number, command);
    }
}
