//! The homes of the program simulation: shard replicas, their disks and crashes.

use std::{collections::BTreeMap, time::Duration};

use celerycove_control::placement::Assignment as ShardAssignment;
use celerycove_program::{
    Action, Event, Options, Shard,
    message::{Position, Snapshot},
    shard::Assignment,
};
use celerycove_types::{Violation, id};

use super::{
    CONTROL, DURABLE_HOMES, ENTRIES, HOMES, Incarnation, Input, SILENCE_TIMEOUT, Simulation,
    process_id, process_index,
};
use crate::net::ProcessIndex;

/// What a durable home keeps across restarts.
#[derive(Debug, Default)]
pub(super) struct Disk {
    state_incarnation: Option<Incarnation>,
    images: BTreeMap<id::Shard, Snapshot>,
}

/// A running home.
pub(super) struct Home {
    /// Identifies the state; a durable home keeps it across restarts.
    state_incarnation: Incarnation,
    /// Identifies this run of the process; it changes with each restart.
    process_incarnation: Incarnation,
    shards: BTreeMap<id::Shard, Shard>,
    learned: Vec<(id::Shard, id::Epoch)>,
    placement_version: u64,
    /// Images written but not yet synced, in write order.
    unsynced: Vec<(id::Shard, Position, Snapshot)>,
    /// Where to send the reply to each request, by token.
    pending_replies: BTreeMap<u64, (ProcessIndex, super::OpId, super::Phase)>,
    last_token: u64,
}

impl Simulation {
    pub(super) fn start_home(&mut self, process: ProcessIndex) {
        self.last_incarnation += 1;
        let process_incarnation = self.last_incarnation;
        let durable = process < DURABLE_HOMES;
        let now = self.net.clock(process);
        let mut shards = BTreeMap::new();
        let mut state_incarnation = process_incarnation;
        if durable {
            let disk = &mut self.disks[process];
            state_incarnation = *disk.state_incarnation.get_or_insert(process_incarnation);
            for (id, image) in &disk.images {
                let shard = Shard::recover(*id, image.clone(), options(process), now);
                shards.insert(*id, shard);
            }
        }
        log::trace!(
            "{:?} home {process} starts with state incarnation {state_incarnation}",
            self.net.now()
        );
        self.homes[process] = Some(Home {
            state_incarnation,
            process_incarnation,
            shards,
            learned: Vec::new(),
            placement_version: 0,
            unsynced: Vec::new(),
            pending_replies: BTreeMap::new(),
            last_token: 0,
        });
    }

    /// Returns whether a fault of one more process leaves each shard a full replica that runs, is
    /// reachable and has announced itself recently.
    pub(super) fn tolerates_fault(&self, failing: ProcessIndex) -> bool {
        let healthy = |process: ProcessIndex| {
            let announced = self
                .announced
                .get(&process)
                .is_some_and(|(at, _, _)| self.net.now() < *at + SILENCE_TIMEOUT / 2);
            process != failing && announced && !self.net.has_cut_link(process)
        };
        let survives = |shard: &ShardAssignment| {
            shard.primary.is_none()
                || shard.in_sync().any(|replica| {
                    let process = process_index(&replica.process);
                    let alive = self.homes[process]
                        .as_ref()
                        .is_some_and(|home| home.state_incarnation == replica.incarnation);
                    alive && healthy(process)
                })
        };
        // Isolating the control process before it has noticed a dead home would be a third fault.
        let dead_homes_known = (0..HOMES).all(|home| {
            let silent = self
                .announced
                .get(&home)
                .is_none_or(|(at, _, _)| self.net.now() >= *at + SILENCE_TIMEOUT);
            self.homes[home].is_some() || silent
        });
        let tolerated = failing != CONTROL || dead_homes_known;
        tolerated && self.placement.shards.iter().all(survives)
    }

    pub(super) fn kill_home(&mut self, process: ProcessIndex) {
        if self.homes[process].is_none() {
            return;
        }
        log::trace!("{:?} home {process} crashes", self.net.now());
        self.homes[process] = None;
        let downtime = Duration::from_millis(100 + 20 * self.net.random_below(60) as u64);
        self.net.schedule(downtime, process, Input::RestartHome);
    }

    pub(super) fn handle_home_input(
        &mut self,
        process: ProcessIndex,
        input: Input,
    ) -> Result<(), Violation> {
        if matches!(input, Input::RestartHome) {
            self.start_home(process);
            return Ok(());
        }
        if self.homes[process].is_none() {
            return Ok(());
        }
        match input {
            Input::Tick => {
                self.for_each_shard(process, |_| Event::Tick)?;
                self.end_lost_dispatchers(process)?;
                if let Some(home) = &self.homes[process] {
                    let announce = Input::Announce(
                        process,
                        (home.state_incarnation, home.process_incarnation),
                        home.learned.clone(),
                    );
                    self.net.send(process, CONTROL, announce);
                }
            }
            Input::Abandoned(id, requests) => {
                self.step_shard(process, id, Event::CallsAbandoned(requests))?;
            }
            Input::PlacementUpdate(placement) => self.update_placement(process, &placement)?,
            Input::Shard(from, message) => {
                let id = message.shard;
                self.ensure_shard(process, id);
                let from = process_id(from);
                self.step_shard(process, id, Event::Message { from, message })?;
            }
            Input::ShardRequest(from, shard_request) => {
                let Some(home) = &mut self.homes[process] else {
                    return Ok(());
                };
                if !home.shards.contains_key(&shard_request.shard) {
                    return Ok(());
                }
                home.last_token += 1;
                let token = home.last_token;
                home.pending_replies
                    .insert(token, (from, shard_request.op, shard_request.phase));
                let request = shard_request.request;
                self.step_shard(
                    process,
                    shard_request.shard,
                    Event::Request { token, request },
                )?;
            }
            Input::Synced(process_incarnation, id, position) => {
                self.complete_sync(process, process_incarnation, id, position)?;
            }
            _ => {}
        }
        Ok(())
    }

    /// Ends the calls of entries that are known to have ended; a real home learns of them from the
    /// directory.
    fn end_lost_dispatchers(&mut self, process: ProcessIndex) -> Result<(), Violation> {
        let now = self.net.now();
        let mut lost = Vec::new();
        for shard in self.homes[process]
            .iter()
            .flat_map(|home| home.shards.values())
        {
            let dispatchers = shard.state().dispatchers();
            let gone = self.gone_dispatchers.iter().filter(|(at, _)| *at <= now);
            let dispatched_here = gone.filter(|(_, name)| dispatchers.contains(name));
            lost.extend(dispatched_here.map(|(_, name)| (shard.id(), name.clone())));
        }
        lost.into_iter()
            .try_for_each(|(id, name)| self.step_shard(process, id, Event::DispatcherLost(name)))
    }

    /// Asks the run of an entry that dispatched requests whether they still run. If that run has
    /// ended, the directory reports it.
    fn confirm_requests(
        &mut self,
        process: ProcessIndex,
        id: id::Shard,
        dispatcher: &id::Process,
        requests: &[id::Request],
    ) {
        for entry in 0..ENTRIES {
            if self.dispatcher(entry).as_ref() == Some(dispatcher) {
                let requests = requests.to_vec();
                self.net.send(
                    process,
                    HOMES + entry,
                    Input::Confirm(process, id, requests),
                );
            }
        }
    }

    fn ensure_shard(&mut self, process: ProcessIndex, id: id::Shard) {
        let now = self.net.clock(process);
        if let Some(home) = &mut self.homes[process] {
            home.shards
                .entry(id)
                .or_insert_with(|| Shard::new(id, options(process), now));
        }
    }

    fn for_each_shard(
        &mut self,
        process: ProcessIndex,
        event: impl Fn(id::Shard) -> Event,
    ) -> Result<(), Violation> {
        let ids: Vec<id::Shard> = self.homes[process]
            .as_ref()
            .map(|home| home.shards.keys().copied().collect())
            .unwrap_or_default();
        ids.into_iter()
            .try_for_each(|id| self.step_shard(process, id, event(id)))
    }

    fn update_placement(
        &mut self,
        process: ProcessIndex,
        placement: &celerycove_control::Placement,
    ) -> Result<(), Violation> {
        let Some(home) = &mut self.homes[process] else {
            return Ok(());
        };
        if placement.version <= home.placement_version {
            return Ok(());
        }
        home.placement_version = placement.version;
        let (state_incarnation, process_incarnation) =
            (home.state_incarnation, home.process_incarnation);
        for (id, assigned) in (0..).zip(&placement.shards) {
            let own_id = process_id(process);
            let is_replica = assigned
                .all()
                .any(|r| r.process == own_id && r.incarnation == state_incarnation);
            if is_replica {
                self.ensure_shard(process, id);
                self.step_shard(
                    process,
                    id,
                    Event::Assign(assignment(assigned, &own_id, process_incarnation)),
                )?;
            } else if let Some(home) = &mut self.homes[process] {
                let superseded = home
                    .shards
                    .get(&id)
                    .is_some_and(|s| s.epoch() <= assigned.epoch);
                if superseded {
                    home.shards.remove(&id);
                    home.unsynced.retain(|(shard, _, _)| *shard != id);
                    self.disks[process].images.remove(&id);
                }
            }
        }
        Ok(())
    }

    fn step_shard(
        &mut self,
        process: ProcessIndex,
        id: id::Shard,
        event: Event,
    ) -> Result<(), Violation> {
        let now = self.net.clock(process);
        let Some(shard) = self.homes[process]
            .as_mut()
            .and_then(|home| home.shards.get_mut(&id))
        else {
            return Ok(());
        };
        let event_text = format!("{event:?}");
        let actions = shard.step(now, event);
        if !actions.is_empty() {
            log::trace!(
                "home {process} epoch {} event {event_text}: actions {actions:?}",
                shard.epoch()
            );
        }
        shard.check()?;
        for action in actions {
            self.apply_action(process, id, action);
        }
        Ok(())
    }

    fn apply_action(&mut self, process: ProcessIndex, id: id::Shard, action: Action) {
        match action {
            Action::Send { to, message } => {
                let to = process_index(&to);
                if to < HOMES {
                    self.net.send(process, to, Input::Shard(process, message));
                }
            }
            Action::Respond { token, response } => {
                let pending = self.homes[process]
                    .as_mut()
                    .and_then(|home| home.pending_replies.remove(&token));
                if let Some((entry, op, phase)) = pending {
                    self.net
                        .send(process, entry, Input::Reply(op, phase, response));
                }
            }
            Action::Persist(_) | Action::Replace(_) => self.write_shard(process, id),
            Action::LearnersCaughtUp(epoch) => {
                if let Some(home) = &mut self.homes[process] {
                    home.learned.retain(|(shard, _)| *shard != id);
                    home.learned.push((id, epoch));
                }
            }
            Action::ConfirmCalls {
                dispatcher,
                requests,
            } => self.confirm_requests(process, id, &dispatcher, &requests),
            Action::Release { .. } => {}
        }
    }

    /// Writes the image of a shard. It reaches the disk only with the sync, some time later.
    fn write_shard(&mut self, process: ProcessIndex, id: id::Shard) {
        let delay = Duration::from_millis(2 + self.net.random_below(15) as u64);
        let Some(home) = &mut self.homes[process] else {
            return;
        };
        let Some(shard) = home.shards.get(&id) else {
            return;
        };
        let position = shard.last_position();
        home.unsynced.push((id, position, shard.snapshot()));
        let synced = Input::Synced(home.process_incarnation, id, position);
        self.net.schedule(delay, process, synced);
    }

    fn complete_sync(
        &mut self,
        process: ProcessIndex,
        process_incarnation: Incarnation,
        id: id::Shard,
        position: Position,
    ) -> Result<(), Violation> {
        let Some(home) = self.homes[process]
            .as_mut()
            .filter(|home| home.process_incarnation == process_incarnation)
        else {
            return Ok(());
        };
        let at = home
            .unsynced
            .iter()
            .position(|(shard, written, _)| *shard == id && *written == position);
        let Some(at) = at else {
            return Ok(());
        };
        // Files are written in order, so all earlier images are on the disk too.
        let written: Vec<_> = home.unsynced.drain(..=at).collect();
        for (shard, position, image) in written {
            self.disks[process].images.insert(shard, image);
            self.step_shard(process, shard, Event::Synced(position))?;
        }
        Ok(())
    }
}

fn options(process: ProcessIndex) -> Options {
    Options {
        durable: process < DURABLE_HOMES,
        resend_interval: Duration::from_millis(120),
        confirm_interval: Duration::from_secs(2),
        ..Options::default()
    }
}

fn assignment(
    assigned: &ShardAssignment,
    own_id: &id::Process,
    process_incarnation: Incarnation,
) -> Assignment {
    let names = |replicas: &[celerycove_control::placement::Replica]| {
        replicas.iter().map(|r| r.process.clone()).collect()
    };
    Assignment {
        epoch: assigned.epoch,
        primary: assigned
            .primary
            .as_ref()
            .is_some_and(|r| r.process == *own_id)
            && assigned.primary_incarnation == process_incarnation,
        backups: names(&assigned.backups),
        learners: names(&assigned.learners),
        origin: assigned.started_empty_at,
    }
}
