//! Runs the replicas of program shards that this process holds, as one task.

mod holds;
mod journal;
mod limits;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use celerycove_control::placement::Assignment as Placed;
use celerycove_disk::journal::{Batch, Recovered};
use celerycove_limit::Loan;
use celerycove_program::{
    Action, Event, Message, Options, Request, Response, Shard,
    message::Position,
    op::Retention,
    shard::{Assignment, Token},
};
use celerycove_types::{Timestamp, id};
use celerycove_wire::method;
use tokio::sync::{mpsc, oneshot};

use crate::{
    home::{journal::Disk, limits::Limits},
    peer::{Parcel, Peers},
    process::Process,
    share::Share,
};

/// How often the replicas are told that time passed.
const TICK: Duration = Duration::from_millis(50);
/// How often calls of processes that are gone are looked for.
const LOOK: Duration = Duration::from_secs(1);
/// How many questions wait for the task.
const QUEUED: usize = 16_384;

/// What the task is asked to do.
pub(crate) enum Input {
    Request(id::Shard, Request, oneshot::Sender<Response>),
    Messages(id::Process, Vec<Message>),
    Synced(Vec<(id::Shard, Position)>, bool),
    Abandoned(id::Shard, Vec<id::Request>),
    Ask(method::Ask, oneshot::Sender<Option<Loan>>),
    Inherit(method::Inherit),
}

/// The way to the replicas of this process.
pub struct Homes {
    inputs: mpsc::Sender<Input>,
    incarnation: id::Incarnation,
    learned: Mutex<Vec<(id::Shard, id::Epoch)>>,
}

impl Homes {
    /// Starts the task; with a data folder, from what an earlier life saved there.
    ///
    /// # Errors
    ///
    /// Returns an error if the saved files are damaged or can't be read.
    pub fn start(
        process: &Arc<Process>,
        share: &Arc<Share>,
        peers: &Arc<Peers>,
    ) -> Result<Arc<Self>, celerycove_disk::whole::WholeError> {
        let (inputs, receiver) = mpsc::channel(QUEUED);
        let (disk, incarnation, recovered) = match &process.settings.process.data {
            Some(folder) => {
                let (disk, incarnation, recovered) =
                    Disk::open(folder, process.incarnation, inputs.clone())?;
                (Some(disk), incarnation, recovered)
            }
            None => (None, process.incarnation, Recovered::new()),
        };
        let homes = Arc::new(Self {
            inputs,
            incarnation,
            learned: Mutex::default(),
        });
        let task = Task::new(process, share, peers, &homes, disk, recovered);
        tokio::spawn(task.run(receiver));
        Ok(homes)
    }

    /// The life of the state that this process holds.
    #[must_use]
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Shards and epochs whose learners are up to date.
    #[must_use]
    pub fn learned(&self) -> Vec<(id::Shard, id::Epoch)> {
        self.learned
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Asks a replica of this process.
    pub async fn request(&self, shard: id::Shard, request: Request) -> Response {
        let (sender, receiver) = oneshot::channel();
        let input = Input::Request(shard, request, sender);
        if self.inputs.send(input).await.is_err() {
            return Response::NotPrimary;
        }
        receiver.await.unwrap_or(Response::NotPrimary)
    }

    /// Hands messages of another process over.
    pub async fn deliver(&self, from: id::Process, messages: Vec<Message>) {
        // The task ends with the process; the messages are lost then.
        let _ = self.inputs.send(Input::Messages(from, messages)).await;
    }

    /// Asks for tokens; `None` if this process does not own the bucket.
    pub async fn ask(&self, ask: method::Ask) -> Option<Loan> {
        let (sender, receiver) = oneshot::channel();
        self.inputs.send(Input::Ask(ask, sender)).await.ok()?;
        receiver.await.ok().flatten()
    }

    /// Takes buckets over from their owner before.
    pub async fn inherit(&self, inherit: method::Inherit) {
        // As above.
        let _ = self.inputs.send(Input::Inherit(inherit)).await;
    }
}

struct Task {
    process: Arc<Process>,
    share: Arc<Share>,
    peers: Arc<Peers>,
    homes: Arc<Homes>,
    options: Options,
    shards: BTreeMap<id::Shard, Shard>,
    disk: Option<Disk>,
    batch: Batch,
    saved: Vec<(id::Shard, Position)>,
    limits: Limits,
    waiting: BTreeMap<Token, oneshot::Sender<Response>>,
    next: Token,
    generation: u64,
    renew_due: Timestamp,
    lost_due: Timestamp,
}

impl Task {
    fn new(
        process: &Arc<Process>,
        share: &Arc<Share>,
        peers: &Arc<Peers>,
        homes: &Arc<Homes>,
        disk: Option<Disk>,
        recovered: Recovered,
    ) -> Self {
        let options = options(process, disk.is_some());
        let now = process.now();
        let shards = recovered
            .into_iter()
            .map(|(id, image)| (id, Shard::recover(id, image, options, now)))
            .collect();
        Self {
            process: process.clone(),
            share: share.clone(),
            peers: peers.clone(),
            homes: homes.clone(),
            options,
            shards,
            disk,
            batch: Batch::default(),
            saved: Vec::new(),
            limits: Limits::new(process, share),
            waiting: BTreeMap::new(),
            next: 0,
            generation: 0,
            renew_due: Timestamp::ZERO,
            lost_due: Timestamp::ZERO,
        }
    }

    async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        const TOGETHER: usize = 256;
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut together = Vec::new();
        loop {
            tokio::select! {
                received = inputs.recv_many(&mut together, TOGETHER) => {
                    if received == 0 {
                        return;
                    }
                }
                _ = ticks.tick() => self.tick(),
            }
            self.follow_placement();
            for input in together.drain(..) {
                self.take(input);
            }
            self.save();
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Request(shard, request, answer) => self.request(shard, request, answer),
            Input::Messages(from, messages) => {
                for message in messages {
                    self.message(&from, message);
                }
            }
            Input::Synced(saved, long) => {
                for (shard, position) in saved {
                    self.step(shard, Event::Synced(position));
                }
                if long {
                    self.rewrite();
                }
            }
            Input::Abandoned(shard, requests) => self.step(shard, Event::Abandoned(requests)),
            Input::Ask(ask, answer) => {
                // Who no longer waits needs no answer; the loan then runs out unused.
                let _ = answer.send(self.limits.lend(&ask));
            }
            Input::Inherit(inherit) => self.limits.inherit(inherit),
        }
    }

    fn request(&mut self, shard: id::Shard, request: Request, answer: oneshot::Sender<Response>) {
        // A stale process may have been replaced; only a fresh one starts new work. Endings are
        // always taken, since they start nothing.
        let ends = matches!(request, Request::Settle { .. } | Request::Conclude { .. });
        let fresh = self.share.is_fresh(self.process.now());
        if !self.shards.contains_key(&shard) || !(ends || fresh) {
            let _ = answer.send(Response::NotPrimary);
            return;
        }
        self.next += 1;
        let token = self.next;
        self.waiting.insert(token, answer);
        self.step(shard, Event::Request { token, request });
    }

    fn message(&mut self, from: &id::Process, message: Message) {
        let shard = message.shard;
        if !self.shards.contains_key(&shard) {
            // The sender may know an assignment that has not reached this process yet.
            let created = Shard::new(shard, self.options, self.process.now());
            self.shards.insert(shard, created);
        }
        let from = from.clone();
        self.step(shard, Event::Message { from, message });
    }

    fn step(&mut self, id: id::Shard, event: Event) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let actions = shard.step(self.process.now(), event);
        debug_assert_eq!(shard.check(), Ok(()));
        for action in actions {
            self.act(id, action);
        }
    }

    fn act(&mut self, id: id::Shard, action: Action) {
        match action {
            Action::Send { to, message } => self.peers.send(&to, Parcel::Shard(message)),
            Action::Respond { token, response } => {
                if let Some(waiting) = self.waiting.remove(&token) {
                    // Who no longer waits asks again with the same name.
                    let _ = waiting.send(response);
                }
            }
            Action::Persist(records) => {
                if let Some(last) = records.last() {
                    self.saved.push((id, last.position));
                }
                self.batch.append(id, records);
            }
            Action::Replace(image) => {
                self.saved.push((id, image.last));
                self.batch.replace(id, image);
            }
            Action::Learned(epoch) => {
                log::info!(target: "home", shard = id, epoch; "the learners are up to date");
                let mut learned = self
                    .homes
                    .learned
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                learned.retain(|(shard, _)| *shard != id);
                learned.push((id, epoch));
            }
            Action::Confirm {
                dispatcher,
                requests,
            } => self.confirm(id, dispatcher, requests),
            Action::Release { program, backends } => self.release(&program, &backends),
        }
    }

    fn save(&mut self) {
        if self.batch.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut self.batch);
        let saved = std::mem::take(&mut self.saved);
        if let Some(disk) = &self.disk {
            disk.save(batch, saved);
        }
    }

    fn rewrite(&mut self) {
        self.save();
        if let Some(disk) = &self.disk {
            let images = self.shards.iter().map(|(id, shard)| (*id, shard.image()));
            disk.rewrite(images.collect());
        }
    }

    /// Takes over assignments that changed, and ends the calls of processes that are gone.
    fn follow_placement(&mut self) {
        let view = self.share.view().clone();
        if view.generation == self.generation {
            return;
        }
        self.generation = view.generation;
        let me = &self.process.name.clone();
        let incarnation = self.homes.incarnation;
        for (id, placed) in (0..).zip(&view.placement.shards) {
            let mine = placed
                .all()
                .any(|r| r.process == *me && r.incarnation == incarnation);
            if mine {
                self.assign(id, placed);
            } else if self.shards.contains_key(&id) {
                self.give_up(id, placed);
            }
        }
        self.end_lost(&view.directory);
    }

    /// Asks the process that dispatched calls long ago whether it still runs them.
    fn confirm(&self, shard: id::Shard, dispatcher: id::Process, requests: Vec<id::Request>) {
        let Some((process, _)) = dispatcher.rsplit_once('#') else {
            return;
        };
        let process: id::Process = process.into();
        let (peers, homes) = (self.peers.clone(), self.homes.clone());
        let question = method::Confirm {
            dispatcher,
            requests,
        };
        tokio::spawn(async move {
            let asked = peers
                .ask::<_, Vec<id::Request>>(&process, method::CONFIRM, &question)
                .await;
            // Without an answer the directory decides, or the next question.
            if let Ok(abandoned) = asked
                && !abandoned.is_empty()
            {
                let _ = homes.inputs.send(Input::Abandoned(shard, abandoned)).await;
            }
        });
    }

    fn assign(&mut self, id: id::Shard, placed: &Placed) {
        let now = self.process.now();
        let options = self.options;
        let shard = self
            .shards
            .entry(id)
            .or_insert_with(|| Shard::new(id, options, now));
        let new =
            shard.epoch() < placed.epoch || (shard.epoch() == placed.epoch && !shard.is_primary());
        if !new {
            return;
        }
        let assignment = assignment(placed, &self.process.name, self.process.incarnation);
        let primary = assignment.primary;
        self.limits.assign(id, placed, primary, &self.peers);
        self.step(id, Event::Assign(assignment));
    }

    fn give_up(&mut self, id: id::Shard, placed: &Placed) {
        let known = self.shards.get(&id).map(Shard::epoch);
        if known.is_none_or(|known| known > placed.epoch) {
            return;
        }
        self.limits.assign(id, placed, false, &self.peers);
        self.step(
            id,
            Event::Assign(assignment(
                placed,
                &self.process.name,
                self.process.incarnation,
            )),
        );
        self.shards.remove(&id);
        self.batch.drop_shard(id);
    }

    fn end_lost(&mut self, directory: &celerycove_sync::Directory) {
        for id in self.shards.keys().copied().collect::<Vec<_>>() {
            let Some(shard) = self.shards.get(&id).filter(|shard| shard.is_primary()) else {
                continue;
            };
            for dispatcher in shard.state().dispatchers() {
                if is_over(directory, &dispatcher) {
                    self.step(id, Event::Lost(dispatcher));
                }
            }
        }
    }

    fn tick(&mut self) {
        for id in self.shards.keys().copied().collect::<Vec<_>>() {
            self.step(id, Event::Tick);
        }
        let now = self.process.now();
        if now >= self.lost_due {
            self.lost_due = now + LOOK;
            let directory = self.share.view().directory.clone();
            self.end_lost(&directory);
        }
        if now >= self.renew_due {
            self.renew_due = now + holds::RENEW;
            self.renew();
        }
    }
}

fn options(process: &Process, durable: bool) -> Options {
    let standard = Options::default();
    let retention = process
        .settings
        .home
        .as_ref()
        .map_or(standard.retention, |home| Retention {
            ended: home.keep_ended.0,
            idle: home.keep_idle.0,
            record: home.keep_records.0,
            ..standard.retention
        });
    Options {
        retention,
        durable,
        ..standard
    }
}

fn assignment(placed: &Placed, me: &id::Process, life: id::Incarnation) -> Assignment {
    let names = |replicas: &[celerycove_control::placement::Replica]| {
        replicas.iter().map(|r| r.process.clone()).collect()
    };
    let primary = placed.primary.as_ref().is_some_and(|r| r.process == *me) && placed.life == life;
    Assignment {
        epoch: placed.epoch,
        primary,
        backups: names(&placed.backups),
        learners: names(&placed.learners),
        origin: placed.origin,
    }
}

/// Tells whether the life that dispatched a call is over.
fn is_over(directory: &celerycove_sync::Directory, dispatcher: &str) -> bool {
    let Some((process, incarnation)) = dispatcher.rsplit_once('#') else {
        return false;
    };
    let Ok(incarnation) = incarnation.parse() else {
        return false;
    };
    directory.is_over(&process.into(), incarnation)
}
