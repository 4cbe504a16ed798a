//! Program shards under callers who resend, entries and homes that die, and links that break.

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

use crate::net::{Net, Place};
use callers::{Callers, Op, Phase};
use homes::Home;

const HOMES: usize = 5;
const DURABLE: usize = 2;
const ENTRIES: usize = 3;
/// The authority that places shards stands for the control log.
const AUTHORITY: Place = HOMES + ENTRIES;
const PLACES: usize = AUTHORITY + 1;
const SHARDS: id::Shard = 2;
const TICK: Duration = Duration::from_millis(60);
const SILENCE: Duration = Duration::from_millis(350);
const ASK_AGAIN: Duration = Duration::from_millis(250);
/// How long the run may take to make progress once all faults are healed.
const RECOVERY: Duration = Duration::from_secs(30);

/// Names one life of a process.
type Incarnation = u64;
/// Shards and epochs whose learners are up to date.
type Learned = Vec<(id::Shard, id::Epoch)>;

#[derive(Debug, Clone)]
enum Input {
    Tick,
    Shard(Place, Message),
    Ask(Place, Ask),
    Reply(Op, Phase, Response),
    /// The engine or service has run, or surely not.
    Ran(Op, bool),
    AskAgain(Op, Phase),
    Synced(Incarnation, id::Shard, Position),
    View(Placement),
    Announce(Place, (Incarnation, Incarnation), Learned),
    Confirm(Place, id::Shard, Vec<id::Request>),
    Abandoned(id::Shard, Vec<id::Request>),
    RestartHome,
    RestartEntry,
}

#[derive(Debug, Clone)]
struct Ask {
    op: Op,
    phase: Phase,
    shard: id::Shard,
    request: Request,
}

struct World {
    net: Net<Input>,
    homes: Vec<Option<Home>>,
    disks: Vec<homes::Disk>,
    incarnations: Incarnation,
    entries: Vec<Option<Entry>>,
    placement: Placement,
    heard: BTreeMap<Place, (Timestamp, (Incarnation, Incarnation), Learned)>,
    callers: Callers,
    /// Lives of entries that are over, and from when the homes know it.
    over: Vec<(Timestamp, id::Process)>,
    faults: bool,
}

struct Entry {
    incarnation: Incarnation,
    view: Placement,
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
    Ok(world.callers.acknowledged())
}

fn home_name(place: Place) -> id::Process {
    format!("h{place}").into()
}

fn place_of(name: &id::Process) -> Place {
    name[1..].parse().unwrap_or(AUTHORITY)
}

impl World {
    fn new(seed: u64) -> Self {
        let mut placement = Placement::default();
        apply(&mut placement, &placement::create_shards(SHARDS));
        let mut world = Self {
            net: Net::new(seed, PLACES),
            homes: (0..HOMES).map(|_| None).collect(),
            disks: (0..HOMES).map(|_| homes::Disk::default()).collect(),
            incarnations: 0,
            entries: (0..ENTRIES).map(|_| None).collect(),
            placement,
            heard: BTreeMap::new(),
            callers: Callers::new(),
            over: Vec::new(),
            faults: true,
        };
        for home in 0..HOMES {
            world.start_home(home);
        }
        for entry in 0..ENTRIES {
            world.start_entry(entry);
        }
        for place in 0..PLACES {
            world.net.after(TICK, place, Input::Tick);
        }
        world
    }

    fn start_entry(&mut self, entry: usize) {
        self.incarnations += 1;
        self.entries[entry] = Some(Entry {
            incarnation: self.incarnations,
            view: self.placement.clone(),
        });
    }

    fn dispatcher(&self, entry: usize) -> Option<id::Process> {
        let incarnation = self.entries[entry].as_ref()?.incarnation;
        Some(format!("e{entry}#{incarnation}").into())
    }

    fn step(&mut self) -> Result<(), Violation> {
        let Some((to, input)) = self.net.pop() else {
            return Ok(());
        };
        if matches!(input, Input::Tick) {
            self.net.after(TICK, to, Input::Tick);
        }
        if to < HOMES {
            self.home_input(to, input)?;
        } else if to < AUTHORITY {
            self.entry_input(to - HOMES, input)?;
        } else {
            self.authority_input(input);
        }
        self.callers.check()
    }

    fn authority_input(&mut self, input: Input) {
        match input {
            Input::Announce(from, incarnation, learned) => {
                let known = self.heard.get(&from).map_or(0, |(_, known, _)| known.1);
                if incarnation.1 >= known {
                    let now = self.net.now();
                    self.heard.insert(from, (now, incarnation, learned));
                }
            }
            Input::Tick => {
                if self.faults {
                    self.disturb();
                }
                self.place();
                for place in 0..AUTHORITY {
                    let view = self.placement.clone();
                    self.net.send(AUTHORITY, place, Input::View(view));
                }
            }
            _ => {}
        }
    }

    /// Places shards as a control leader does, by what it has heard.
    fn place(&mut self) {
        let now = self.net.now();
        let candidates: Candidates = self
            .heard
            .iter()
            .map(|(place, (at, incarnation, learned))| {
                let candidate = Candidate {
                    state_incarnation: incarnation.0,
                    process_incarnation: incarnation.1,
                    data_centre: format!("dc{}", place % 3).into(),
                    silent: now >= *at + SILENCE,
                    leaving: false,
                    caught_up: learned.clone(),
                };
                (home_name(*place), candidate)
            })
            .collect();
        // An empty shard waits until enough homes are there, so that it begins with all replicas.
        let begins = self.placement.shards.iter().any(|shard| shard.epoch == 0);
        if begins && candidates.len() < HOMES {
            return;
        }
        let changes = plan(&self.placement, &candidates, PlanOptions::default());
        for change in &changes {
            let live: Vec<_> = candidates
                .iter()
                .filter(|(_, c)| !c.silent)
                .map(|(id, c)| (id, c.state_incarnation))
                .collect();
            log::trace!("{:?} assigns {change:?} among {live:?}", self.net.now());
        }
        apply(&mut self.placement, &changes);
    }

    /// Things break, but never all replicas of a shard at once.
    fn disturb(&mut self) {
        let home = self.net.below(HOMES);
        if self.net.chance(0.1) && self.bears(home) {
            self.kill_home(home);
        }
        if self.net.chance(0.04) {
            let entry = self.net.below(ENTRIES);
            self.kill_entry(entry);
        }
        let place = self.net.below(PLACES);
        if self.net.chance(0.06) && self.bears(place) {
            log::trace!("{:?} {place} is cut off", self.net.now());
            self.net.isolate(place, PLACES);
        }
        let (a, b) = (self.net.below(PLACES), self.net.below(PLACES));
        if self.net.chance(0.05) && self.bears(a) && self.bears(b) {
            let both = self.net.chance(0.6);
            self.net.cut(a, b, both);
        }
        if self.net.chance(0.09) {
            self.net.heal();
        }
    }

    fn kill_entry(&mut self, entry: usize) {
        let Some(name) = self.dispatcher(entry) else {
            return;
        };
        self.entries[entry] = None;
        self.callers.entry_died(entry);
        // The directory tells the homes some time later.
        let delay = Duration::from_millis(300 + 20 * self.net.below(20) as u64);
        self.over.push((self.net.now() + delay, name));
        let pause = Duration::from_millis(100 + 10 * self.net.below(60) as u64);
        self.net.after(pause, HOMES + entry, Input::RestartEntry);
    }

    fn entry_input(&mut self, entry: usize, input: Input) -> Result<(), Violation> {
        match input {
            Input::RestartEntry => self.start_entry(entry),
            Input::View(view) => {
                if let Some(entry) = &mut self.entries[entry]
                    && view.version > entry.view.version
                {
                    entry.view = view;
                }
            }
            Input::Tick => {
                let patient = self.net.now();
                self.callers.resend_overdue(patient);
                if self.entries[entry].is_some() && self.net.chance(0.8) {
                    self.begin_op(entry);
                }
            }
            Input::Reply(op, phase, response) => self.reply(entry, op, phase, &response)?,
            Input::Ran(op, ran) => self.ran(entry, op, ran),
            Input::Confirm(home, shard, requests) if self.entries[entry].is_some() => {
                let abandoned: Vec<id::Request> = requests
                    .into_iter()
                    .filter(|request| !self.callers.knows(entry, request))
                    .collect();
                if !abandoned.is_empty() {
                    self.net
                        .send(HOMES + entry, home, Input::Abandoned(shard, abandoned));
                }
            }
            Input::AskAgain(op, phase) if self.callers.waits(entry, op, phase) => {
                self.ask(entry, op, phase);
            }
            _ => {}
        }
        Ok(())
    }

    /// A caller begins or sends again.
    fn begin_op(&mut self, entry: usize) {
        let Some(dispatcher) = self.dispatcher(entry) else {
            return;
        };
        let now = self.net.now();
        if let Some((op, phase)) = self
            .callers
            .begin(entry, &dispatcher, now, &mut self.net.rng)
        {
            self.ask(entry, op, phase);
        }
    }

    /// Asks the primary that the entry knows, and again until it answers.
    fn ask(&mut self, entry: usize, op: Op, phase: Phase) {
        let Some(request) = self.callers.request(op, phase) else {
            return;
        };
        self.net
            .after(ASK_AGAIN, HOMES + entry, Input::AskAgain(op, phase));
        let Some(view) = self.entries[entry].as_ref().map(|entry| &entry.view) else {
            return;
        };
        let Some(shard) = view.shard_of(&self.callers.home_key(op)) else {
            return;
        };
        let primary = view.assignment(shard).and_then(|a| a.primary.as_ref());
        let Some(primary) = primary.map(|replica| place_of(&replica.process)) else {
            return;
        };
        let ask = Ask {
            op,
            phase,
            shard,
            request,
        };
        self.net
            .send(HOMES + entry, primary, Input::Ask(HOMES + entry, ask));
    }

    fn reply(
        &mut self,
        entry: usize,
        op: Op,
        phase: Phase,
        response: &Response,
    ) -> Result<(), Violation> {
        if !self.callers.waits(entry, op, phase) || *response == Response::NotPrimary {
            return Ok(());
        }
        let dispatches = self.callers.take_reply(op, phase, response)?;
        if dispatches {
            let delay = Duration::from_millis(5 + 10 * self.net.below(30) as u64);
            let ran = !self.net.chance(0.1);
            if ran {
                self.callers.execute(op, &mut self.net.rng)?;
            }
            self.net.after(delay, HOMES + entry, Input::Ran(op, ran));
        }
        Ok(())
    }

    fn ran(&mut self, entry: usize, op: Op, ran: bool) {
        // Sometimes the answer is lost on its way, and the entry can't know whether it ran.
        let lost = self.net.chance(0.08);
        if self.callers.end_dispatch(entry, op, ran, lost) {
            self.ask(entry, op, Phase::Ending);
        }
    }

    /// Heals everything and expects every caller to get on.
    fn recover(&mut self) -> Result<(), Violation> {
        self.faults = false;
        self.net.calm();
        let before = self.callers.progress();
        let deadline = self.net.now() + RECOVERY;
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
                "callers went from {before:?} to {after:?} in {RECOVERY:?}: {:?}",
                self.placement
            )
        })
    }
}
