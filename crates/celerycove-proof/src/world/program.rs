//! Program shards with callers that resend, entry and home processes that crash, and links that
//! fail. Homes hold replicas of the shards; entries run the calls of callers.

mod callers;
mod homes;

use std::{collections::BTreeMap, time::Duration};

use celerycove_control::{
    Placement,
    placement::{
        self, apply,
        plan::{Candidate, Candidates, Options as PlanOptions, plan},
    },
};
use celerycove_program::{Message, Request, Response, message::Position};
use celerycove_types::{Timestamp, Violation, id};

use crate::net::{Network, ProcessIndex};
use callers::{Callers, OpId, Phase};
use homes::Home;

const HOMES: usize = 5;
/// The first homes keep their state on a disk; the others lose it when they restart.
const DURABLE_HOMES: usize = 2;
const ENTRIES: usize = 3;
/// The process that assigns shards to homes; it stands in for the control log.
const CONTROL: ProcessIndex = HOMES + ENTRIES;
const PROCESSES: usize = CONTROL + 1;
const SHARDS: id::Shard = 2;
const TICK_INTERVAL: Duration = Duration::from_millis(60);
const SILENCE_TIMEOUT: Duration = Duration::from_millis(350);
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time within which every caller must make progress after all faults have stopped.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Identifies one run of a process, or the state that a home keeps on its disk across restarts.
type Incarnation = u64;
/// Shards and the epochs in which a home caught up as a learner.
type LearnedShards = Vec<(id::Shard, id::Epoch)>;

#[derive(Debug, Clone)]
enum Input {
    Tick,
    /// A message between the replicas of a shard.
    Shard(ProcessIndex, Message),
    /// An entry sends a request to the primary of a shard.
    ShardRequest(ProcessIndex, ShardRequest),
    Reply(OpId, Phase, Response),
    /// A dispatch has ended; the flag says whether the engine or service ran it.
    DispatchEnded(OpId, bool),
    /// Sends the request of an op again if its phase has not changed.
    Retry(OpId, Phase),
    /// The write of a shard up to a position has reached the disk, for a run of the home.
    Synced(Incarnation, id::Shard, Position),
    PlacementUpdate(Placement),
    /// A home announces the incarnations of its state and of its process, and what it has learned.
    Announce(ProcessIndex, (Incarnation, Incarnation), LearnedShards),
    /// A home asks which of the requests the entry still runs.
    Confirm(ProcessIndex, id::Shard, Vec<id::Request>),
    /// Requests that the entry does not run any more.
    Abandoned(id::Shard, Vec<id::Request>),
    RestartHome,
    RestartEntry,
}

#[derive(Debug, Clone)]
struct ShardRequest {
    op: OpId,
    phase: Phase,
    shard: id::Shard,
    request: Request,
}

struct Simulation {
    net: Network<Input>,
    /// The homes; `None` while one is down.
    homes: Vec<Option<Home>>,
    disks: Vec<homes::Disk>,
    last_incarnation: Incarnation,
    /// The entries; `None` while one is down.
    entries: Vec<Option<Entry>>,
    placement: Placement,
    /// The latest announcement of each home and when it arrived.
    announced: BTreeMap<ProcessIndex, (Timestamp, (Incarnation, Incarnation), LearnedShards)>,
    callers: Callers,
    /// Runs of entries that have ended, and from when the homes know of it.
    gone_dispatchers: Vec<(Timestamp, id::Process)>,
    faults_enabled: bool,
}

struct Entry {
    incarnation: Incarnation,
    placement: Placement,
}

/// Runs `steps` steps with faults, then stops the faults and checks that progress resumes. `step`
/// is set to the step that runs. Returns the number of calls and payments acknowledged to callers.
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
    Ok(simulation.callers.acknowledged())
}

fn process_id(process: ProcessIndex) -> id::Process {
    format!("h{process}").into()
}

fn process_index(name: &id::Process) -> ProcessIndex {
    name[1..].parse().unwrap_or(CONTROL)
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut placement = Placement::default();
        apply(&mut placement, &placement::create_shards(SHARDS));
        let mut simulation = Self {
            net: Network::new(seed, PROCESSES),
            homes: (0..HOMES).map(|_| None).collect(),
            disks: (0..HOMES).map(|_| homes::Disk::default()).collect(),
            last_incarnation: 0,
            entries: (0..ENTRIES).map(|_| None).collect(),
            placement,
            announced: BTreeMap::new(),
            callers: Callers::new(),
            gone_dispatchers: Vec::new(),
            faults_enabled: true,
        };
        for home in 0..HOMES {
            simulation.start_home(home);
        }
        for entry in 0..ENTRIES {
            simulation.start_entry(entry);
        }
        for process in 0..PROCESSES {
            simulation.net.schedule(TICK_INTERVAL, process, Input::Tick);
        }
        simulation
    }

    fn start_entry(&mut self, entry: usize) {
        self.last_incarnation += 1;
        self.entries[entry] = Some(Entry {
            incarnation: self.last_incarnation,
            placement: self.placement.clone(),
        });
    }

    fn dispatcher(&self, entry: usize) -> Option<id::Process> {
        let incarnation = self.entries[entry].as_ref()?.incarnation;
        Some(format!("e{entry}#{incarnation}").into())
    }

    fn step(&mut self) -> Result<(), Violation> {
        let Some((to, input)) = self.net.next_event() else {
            return Ok(());
        };
        if matches!(input, Input::Tick) {
            self.net.schedule(TICK_INTERVAL, to, Input::Tick);
        }
        if to < HOMES {
            self.handle_home_input(to, input)?;
        } else if to < CONTROL {
            self.handle_entry_input(to - HOMES, input)?;
        } else {
            self.handle_control_input(input);
        }
        self.callers.check()
    }

    fn handle_control_input(&mut self, input: Input) {
        match input {
            Input::Announce(from, incarnation, learned) => {
                let known = self.announced.get(&from).map_or(0, |(_, known, _)| known.1);
                if incarnation.1 >= known {
                    let now = self.net.now();
                    self.announced.insert(from, (now, incarnation, learned));
                }
            }
            Input::Tick => {
                if self.faults_enabled {
                    self.inject_faults();
                }
                self.assign_shards();
                for process in 0..CONTROL {
                    let placement = self.placement.clone();
                    self.net
                        .send(CONTROL, process, Input::PlacementUpdate(placement));
                }
            }
            _ => {}
        }
    }

    /// Assigns shards as a control leader does, from the announcements of the homes.
    fn assign_shards(&mut self) {
        let now = self.net.now();
        let candidates: Candidates = self
            .announced
            .iter()
            .map(|(process, (at, incarnation, learned))| {
                let candidate = Candidate {
                    state_incarnation: incarnation.0,
                    process_incarnation: incarnation.1,
                    data_centre: format!("dc{}", process % 3).into(),
                    silent: now >= *at + SILENCE_TIMEOUT,
                    leaving: false,
                    caught_up: learned.clone(),
                };
                (process_id(*process), candidate)
            })
            .collect();
        // A shard is first assigned once all homes have announced themselves, so that it starts
        // with all replicas.
        let starts_empty = self.placement.shards.iter().any(|shard| shard.epoch == 0);
        if starts_empty && candidates.len() < HOMES {
            return;
        }
        let changes = plan(&self.placement, &candidates, PlanOptions::default());
        for change in &changes {
            let live: Vec<_> = candidates
                .iter()
                .filter(|(_, c)| !c.silent)
                .map(|(id, c)| (id, c.state_incarnation))
                .collect();
            log::trace!(
                "{:?} applies {change:?} with the live homes {live:?}",
                self.net.now()
            );
        }
        apply(&mut self.placement, &changes);
    }

    /// Injects faults, but never into all replicas of a shard at once.
    fn inject_faults(&mut self) {
        let home = self.net.random_below(HOMES);
        if self.net.chance(0.1) && self.tolerates_fault(home) {
            self.kill_home(home);
        }
        if self.net.chance(0.04) {
            let entry = self.net.random_below(ENTRIES);
            self.kill_entry(entry);
        }
        let process = self.net.random_below(PROCESSES);
        if self.net.chance(0.06) && self.tolerates_fault(process) {
            log::trace!("{:?} process {process} is isolated", self.net.now());
            self.net.isolate(process, PROCESSES);
        }
        let (a, b) = (
            self.net.random_below(PROCESSES),
            self.net.random_below(PROCESSES),
        );
        if self.net.chance(0.05) && self.tolerates_fault(a) && self.tolerates_fault(b) {
            let both = self.net.chance(0.6);
            self.net.cut_link(a, b, both);
        }
        if self.net.chance(0.09) {
            self.net.restore_links();
        }
    }

    fn kill_entry(&mut self, entry: usize) {
        let Some(dispatcher) = self.dispatcher(entry) else {
            return;
        };
        self.entries[entry] = None;
        self.callers.remove_entry(entry);
        // The homes learn of it from the directory some time later.
        let delay = Duration::from_millis(300 + 20 * self.net.random_below(20) as u64);
        self.gone_dispatchers
            .push((self.net.now() + delay, dispatcher));
        let downtime = Duration::from_millis(100 + 10 * self.net.random_below(60) as u64);
        self.net
            .schedule(downtime, HOMES + entry, Input::RestartEntry);
    }

    fn handle_entry_input(&mut self, entry: usize, input: Input) -> Result<(), Violation> {
        match input {
            Input::RestartEntry => self.start_entry(entry),
            Input::PlacementUpdate(placement) => {
                if let Some(entry) = &mut self.entries[entry]
                    && placement.version > entry.placement.version
                {
                    entry.placement = placement;
                }
            }
            Input::Tick => {
                let now = self.net.now();
                self.callers.expire_requests(now);
                if self.entries[entry].is_some() && self.net.chance(0.8) {
                    self.start_op(entry);
                }
            }
            Input::Reply(op, phase, response) => self.handle_reply(entry, op, phase, &response)?,
            Input::DispatchEnded(op, ran) => self.handle_dispatch_end(entry, op, ran),
            Input::Confirm(home, shard, requests) if self.entries[entry].is_some() => {
                let abandoned: Vec<id::Request> = requests
                    .into_iter()
                    .filter(|request| !self.callers.is_running(entry, request))
                    .collect();
                if !abandoned.is_empty() {
                    self.net
                        .send(HOMES + entry, home, Input::Abandoned(shard, abandoned));
                }
            }
            Input::Retry(op, phase) if self.callers.is_waiting(entry, op, phase) => {
                self.send_request(entry, op, phase);
            }
            _ => {}
        }
        Ok(())
    }

    /// Lets an idle caller start or resend an op through this entry.
    fn start_op(&mut self, entry: usize) {
        let Some(dispatcher) = self.dispatcher(entry) else {
            return;
        };
        let now = self.net.now();
        if let Some((op, phase)) = self
            .callers
            .start_op(entry, &dispatcher, now, &mut self.net.rng)
        {
            self.send_request(entry, op, phase);
        }
    }

    /// Sends the request of an op to the primary that the entry knows, and schedules a retry.
    fn send_request(&mut self, entry: usize, op: OpId, phase: Phase) {
        let Some(request) = self.callers.request(op, phase) else {
            return;
        };
        self.net
            .schedule(RETRY_INTERVAL, HOMES + entry, Input::Retry(op, phase));
        let Some(placement) = self.entries[entry].as_ref().map(|entry| &entry.placement) else {
            return;
        };
        let Some(shard) = placement.shard_of(&self.callers.shard_key(op)) else {
            return;
        };
        let primary = placement.assignment(shard).and_then(|a| a.primary.as_ref());
        let Some(primary) = primary.map(|replica| process_index(&replica.process)) else {
            return;
        };
        let request = ShardRequest {
            op,
            phase,
            shard,
            request,
        };
        self.net.send(
            HOMES + entry,
            primary,
            Input::ShardRequest(HOMES + entry, request),
        );
    }

    fn handle_reply(
        &mut self,
        entry: usize,
        op: OpId,
        phase: Phase,
        response: &Response,
    ) -> Result<(), Violation> {
        if !self.callers.is_waiting(entry, op, phase) || *response == Response::NotPrimary {
            return Ok(());
        }
        let may_dispatch = self.callers.handle_reply(op, phase, response)?;
        if may_dispatch {
            let delay = Duration::from_millis(5 + 10 * self.net.random_below(30) as u64);
            let ran = !self.net.chance(0.1);
            if ran {
                self.callers.execute(op, &mut self.net.rng)?;
            }
            self.net
                .schedule(delay, HOMES + entry, Input::DispatchEnded(op, ran));
        }
        Ok(())
    }

    fn handle_dispatch_end(&mut self, entry: usize, op: OpId, ran: bool) {
        // Sometimes the answer is lost, and the entry can't know whether the dispatch ran.
        let lost = self.net.chance(0.08);
        if self.callers.end_dispatch(entry, op, ran, lost) {
            self.send_request(entry, op, Phase::Ending);
        }
    }

    /// Stops all faults and checks that every caller makes progress.
    fn check_recovery(&mut self) -> Result<(), Violation> {
        self.faults_enabled = false;
        self.net.stop_faults();
        let before = self.callers.progress();
        let deadline = self.net.now() + RECOVERY_TIMEOUT;
        while self.net.now() < deadline {
            self.step()?;
            let after = self.callers.progress();
            if after
                .iter()
                .zip(&before)
                .all(|(after, before)| after > before)
            {
                return Ok(());
            }
        }
        Violation::unless(false, "recovers", || {
            let after = self.callers.progress();
            format!(
                "progress of callers went from {before:?} to {after:?} within {RECOVERY_TIMEOUT:?}: {:?}",
                self.placement
            )
        })
    }
}
