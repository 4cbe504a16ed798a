//! Runs the replicas of program shards that this process holds, in a single task.
//!
//! The state of programs is divided into shards; each shard is replicated, and its primary replica
//! is the home of the programs in it.

mod holds;
mod journal;
mod limits;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use celerycove_control::placement;
use celerycove_disk::journal::{Batch, Recovered};
use celerycove_limit::Lease;
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
    home::{journal::Writer, limits::Buckets},
    peer::{self, Peers},
    process::Process,
    state::SharedState,
};

/// The interval between clock ticks of the replicas.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which primaries look for calls dispatched by processes that have ended.
const LOST_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The most inputs that may wait for the task.
const INPUT_QUEUE_CAPACITY: usize = 16_384;

/// An input to the task.
pub(crate) enum Input {
    /// A request to the replica of a shard.
    Request(id::Shard, Request, oneshot::Sender<Response>),
    /// Replication messages from another process.
    Messages(id::Process, Vec<Message>),
    /// The journal is on disk up to these positions; the flag tells whether it is long enough to be
    /// rewritten.
    Synced(Vec<(id::Shard, Position)>, bool),
    /// Requests that their dispatcher no longer runs.
    Abandoned(id::Shard, Vec<id::Request>),
    /// An entry requests a lease of tokens from a rate-limit bucket.
    LeaseTokens(method::TokenRequest, oneshot::Sender<Option<Lease>>),
    /// The previous owner of rate-limit buckets hands them over.
    TakeOverBuckets(method::BucketTransfer),
}

/// A handle to the task that runs the replicas of this process.
pub struct Replicas {
    inputs: mpsc::Sender<Input>,
    incarnation: id::Incarnation,
    /// Shards and epochs whose learners are up to date.
    caught_up: Mutex<Vec<(id::Shard, id::Epoch)>>,
}

impl Replicas {
    /// Starts the task. With a data folder, the replicas are recovered from the journal there.
    ///
    /// # Errors
    ///
    /// Returns an error if the saved files are damaged or can't be read.
    pub fn start(
        process: &Arc<Process>,
        state: &Arc<SharedState>,
        peers: &Arc<Peers>,
    ) -> Result<Arc<Self>, celerycove_disk::value::Error> {
        let (inputs, receiver) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let (journal, incarnation, recovered) = match &process.settings.process.data_dir {
            Some(folder) => {
                let (journal, incarnation, recovered) =
                    Writer::open(folder, process.incarnation, inputs.clone())?;
                (Some(journal), incarnation, recovered)
            }
            None => (None, process.incarnation, Recovered::new()),
        };
        let replicas = Arc::new(Self {
            inputs,
            incarnation,
            caught_up: Mutex::default(),
        });
        let task = Task::new(process, state, peers, &replicas, journal, recovered);
        tokio::spawn(task.run(receiver));
        Ok(replicas)
    }

    /// Returns the incarnation of the state held here. With a data folder it survives restarts of
    /// the process, as the state does.
    #[must_use]
    pub fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Returns the shards and epochs whose learners are up to date.
    #[must_use]
    pub fn caught_up_epochs(&self) -> Vec<(id::Shard, id::Epoch)> {
        self.caught_up
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sends a request to a replica of this process.
    pub async fn request(&self, shard: id::Shard, request: Request) -> Response {
        let (sender, receiver) = oneshot::channel();
        let input = Input::Request(shard, request, sender);
        if self.inputs.send(input).await.is_err() {
            return Response::NotPrimary;
        }
        receiver.await.unwrap_or(Response::NotPrimary)
    }

    /// Delivers replication messages from another process.
    pub async fn deliver_messages(&self, from: id::Process, messages: Vec<Message>) {
        // Sending fails only while the process shuts down; the messages are lost then.
        let _ = self.inputs.send(Input::Messages(from, messages)).await;
    }

    /// Leases tokens from a rate-limit bucket; `None` if this process does not own the bucket.
    pub async fn borrow_tokens(&self, request: method::TokenRequest) -> Option<Lease> {
        let (sender, receiver) = oneshot::channel();
        self.inputs
            .send(Input::LeaseTokens(request, sender))
            .await
            .ok()?;
        receiver.await.ok().flatten()
    }

    /// Takes over rate-limit buckets from their previous owner.
    pub async fn take_over_buckets(&self, transfer: method::BucketTransfer) {
        // Sending fails only while the process shuts down.
        let _ = self.inputs.send(Input::TakeOverBuckets(transfer)).await;
    }
}

struct Task {
    process: Arc<Process>,
    state: Arc<SharedState>,
    peers: Arc<Peers>,
    replicas: Arc<Replicas>,
    options: Options,
    shards: BTreeMap<id::Shard, Shard>,
    journal: Option<Writer>,
    /// Records that have not been passed to the journal yet.
    batch: Batch,
    /// The positions that the shards reach once `batch` is on disk.
    batch_positions: Vec<(id::Shard, Position)>,
    buckets: Buckets,
    pending_responses: BTreeMap<Token, oneshot::Sender<Response>>,
    last_token: Token,
    /// The generation of the shared view that the shards follow.
    view_generation: u64,
    next_hold_renewal: Timestamp,
    next_lost_check: Timestamp,
}

impl Task {
    fn new(
        process: &Arc<Process>,
        state: &Arc<SharedState>,
        peers: &Arc<Peers>,
        replicas: &Arc<Replicas>,
        journal: Option<Writer>,
        recovered: Recovered,
    ) -> Self {
        let options = options(process, journal.is_some());
        let now = process.now();
        let shards = recovered
            .into_iter()
            .map(|(id, snapshot)| (id, Shard::recover(id, snapshot, options, now)))
            .collect();
        Self {
            process: process.clone(),
            state: state.clone(),
            peers: peers.clone(),
            replicas: replicas.clone(),
            options,
            shards,
            journal,
            batch: Batch::default(),
            batch_positions: Vec::new(),
            buckets: Buckets::new(process, state),
            pending_responses: BTreeMap::new(),
            last_token: 0,
            view_generation: 0,
            next_hold_renewal: Timestamp::ZERO,
            next_lost_check: Timestamp::ZERO,
        }
    }

    async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        const MAX_INPUTS: usize = 256;
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut pending = Vec::new();
        loop {
            tokio::select! {
                received = inputs.recv_many(&mut pending, MAX_INPUTS) => {
                    if received == 0 {
                        return;
                    }
                }
                _ = ticks.tick() => self.tick(),
            }
            self.follow_placement();
            for input in pending.drain(..) {
                self.handle(input);
            }
            self.flush_batch();
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Request(shard, request, sender) => self.handle_request(shard, request, sender),
            Input::Messages(from, messages) => {
                for message in messages {
                    self.handle_message(&from, message);
                }
            }
            Input::Synced(positions, needs_rewrite) => {
                for (shard, position) in positions {
                    self.step(shard, Event::Synced(position));
                }
                if needs_rewrite {
                    self.rewrite_journal();
                }
            }
            Input::Abandoned(shard, requests) => self.step(shard, Event::CallsAbandoned(requests)),
            Input::LeaseTokens(request, sender) => {
                // If the entry no longer waits, the lease expires unused.
                let _ = sender.send(self.buckets.lease(&request));
            }
            Input::TakeOverBuckets(transfer) => self.buckets.accept_handover(transfer),
        }
    }

    fn handle_request(
        &mut self,
        shard: id::Shard,
        request: Request,
        sender: oneshot::Sender<Response>,
    ) {
        // A process whose view is out of date may have been replaced as primary, so it starts no
        // new work. Requests that end calls are always accepted, since they start nothing.
        let ends = matches!(request, Request::Settle { .. } | Request::Conclude { .. });
        let fresh = self.state.is_fresh(self.process.now());
        // A change that can't be saved is not acknowledged.
        let can_save = !self.journal.as_ref().is_some_and(Writer::is_failing);
        if !self.shards.contains_key(&shard) || !(ends || (fresh && can_save)) {
            let _ = sender.send(Response::NotPrimary);
            return;
        }
        self.last_token += 1;
        let token = self.last_token;
        self.pending_responses.insert(token, sender);
        self.step(shard, Event::Request { token, request });
    }

    fn handle_message(&mut self, from: &id::Process, message: Message) {
        let shard = message.shard;
        if !self.shards.contains_key(&shard) {
            // The sender may know an assignment that has not reached this process yet.
            let created = Shard::new(shard, self.options, self.process.now());
            self.shards.insert(shard, created);
        }
        let from = from.clone();
        self.step(shard, Event::Message { from, message });
    }

    /// Feeds an event to the replica of a shard and carries out the actions that it returns.
    fn step(&mut self, id: id::Shard, event: Event) {
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        let actions = shard.step(self.process.now(), event);
        debug_assert_eq!(shard.check(), Ok(()));
        for action in actions {
            self.apply(id, action);
        }
    }

    fn apply(&mut self, id: id::Shard, action: Action) {
        match action {
            Action::Send { to, message } => self.peers.send(&to, peer::Message::Shard(message)),
            Action::Respond { token, response } => {
                if let Some(sender) = self.pending_responses.remove(&token) {
                    // A caller that no longer waits can retry under the same call name or key.
                    let _ = sender.send(response);
                }
            }
            Action::Persist(records) => {
                if let Some(last) = records.last() {
                    self.batch_positions.push((id, last.position));
                }
                self.batch.append(id, records);
            }
            Action::Replace(snapshot) => {
                self.batch_positions.push((id, snapshot.last));
                self.batch.replace(id, snapshot);
            }
            Action::LearnersCaughtUp(epoch) => {
                log::info!(target: "home", shard = id, epoch; "the learners are up to date");
                let mut caught_up = self
                    .replicas
                    .caught_up
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                caught_up.retain(|(shard, _)| *shard != id);
                caught_up.push((id, epoch));
            }
            Action::ConfirmCalls {
                dispatcher,
                requests,
            } => self.confirm_requests(id, dispatcher, requests),
            Action::Release { program, backends } => self.release_holds(&program, &backends),
        }
    }

    /// Passes the records collected so far to the journal.
    fn flush_batch(&mut self) {
        if self.batch.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut self.batch);
        let positions = std::mem::take(&mut self.batch_positions);
        if let Some(journal) = &self.journal {
            journal.append(batch, positions);
        }
    }

    /// Replaces the journal by snapshots of the current states.
    fn rewrite_journal(&mut self) {
        self.flush_batch();
        if let Some(journal) = &self.journal {
            let snapshots = self
                .shards
                .iter()
                .map(|(id, shard)| (*id, shard.snapshot()));
            journal.rewrite(snapshots.collect());
        }
    }

    /// Applies changed assignments of shards, and reports dispatchers that have ended.
    fn follow_placement(&mut self) {
        let view = self.state.view().clone();
        if view.generation == self.view_generation {
            return;
        }
        self.view_generation = view.generation;
        let own_name = &self.process.name.clone();
        let incarnation = self.replicas.incarnation;
        for (id, assignment) in (0..).zip(&view.placement.shards) {
            let is_replica = assignment
                .all()
                .any(|r| r.process == *own_name && r.incarnation == incarnation);
            if is_replica {
                self.assign(id, assignment);
            } else if self.shards.contains_key(&id) {
                self.remove_shard(id, assignment);
            }
        }
        self.report_lost_dispatchers(&view.directory);
    }

    /// Asks the process that dispatched calls long ago whether it still runs them.
    fn confirm_requests(
        &self,
        shard: id::Shard,
        dispatcher: id::Process,
        requests: Vec<id::Request>,
    ) {
        let Some((process, _)) = dispatcher.rsplit_once('#') else {
            return;
        };
        let process: id::Process = process.into();
        let (peers, replicas) = (self.peers.clone(), self.replicas.clone());
        let confirm = method::Confirm {
            dispatcher,
            requests,
        };
        tokio::spawn(async move {
            let reply = peers
                .call::<_, Vec<id::Request>>(&process, method::CONFIRM_RUNNING, &confirm)
                .await;
            // Without a reply, the calls end when the directory shows that the dispatcher has
            // ended, or when a later query is answered.
            if let Ok(abandoned) = reply
                && !abandoned.is_empty()
            {
                let _ = replicas
                    .inputs
                    .send(Input::Abandoned(shard, abandoned))
                    .await;
            }
        });
    }

    /// Makes this process a replica of the shard as the assignment says.
    fn assign(&mut self, id: id::Shard, assignment: &placement::Assignment) {
        let now = self.process.now();
        let options = self.options;
        let shard = self
            .shards
            .entry(id)
            .or_insert_with(|| Shard::new(id, options, now));
        let changes = shard.epoch() < assignment.epoch
            || (shard.epoch() == assignment.epoch && !shard.is_primary());
        if !changes {
            return;
        }
        let own = own_assignment(assignment, &self.process.name, self.process.incarnation);
        let primary = own.primary;
        self.buckets.assign(id, assignment, primary, &self.peers);
        self.step(id, Event::Assign(own));
    }

    /// Removes the replica of a shard that has been assigned to other processes.
    fn remove_shard(&mut self, id: id::Shard, assignment: &placement::Assignment) {
        let known = self.shards.get(&id).map(Shard::epoch);
        if known.is_none_or(|known| known > assignment.epoch) {
            return;
        }
        self.buckets.assign(id, assignment, false, &self.peers);
        self.step(
            id,
            Event::Assign(own_assignment(
                assignment,
                &self.process.name,
                self.process.incarnation,
            )),
        );
        self.shards.remove(&id);
        self.batch.remove_shard(id);
    }

    /// Reports dispatchers of calls that have ended to the primaries in this process.
    fn report_lost_dispatchers(&mut self, directory: &celerycove_sync::Directory) {
        for id in self.shards.keys().copied().collect::<Vec<_>>() {
            let Some(shard) = self.shards.get(&id).filter(|shard| shard.is_primary()) else {
                continue;
            };
            for dispatcher in shard.state().dispatchers() {
                if has_ended(directory, &dispatcher) {
                    self.step(id, Event::DispatcherLost(dispatcher));
                }
            }
        }
    }

    fn tick(&mut self) {
        for id in self.shards.keys().copied().collect::<Vec<_>>() {
            self.step(id, Event::Tick);
        }
        let now = self.process.now();
        if now >= self.next_lost_check {
            self.next_lost_check = now + LOST_CHECK_INTERVAL;
            let directory = self.state.view().directory.clone();
            self.report_lost_dispatchers(&directory);
        }
        if now >= self.next_hold_renewal {
            self.next_hold_renewal = now + holds::RENEWAL_INTERVAL;
            self.renew_holds();
        }
    }
}

fn options(process: &Process, durable: bool) -> Options {
    let defaults = Options::default();
    let retention = process
        .settings
        .home
        .as_ref()
        .map_or(defaults.retention, |home| Retention {
            ended: home.keep_ended.0,
            idle: home.keep_idle.0,
            record: home.keep_records.0,
            ..defaults.retention
        });
    Options {
        retention,
        durable,
        ..defaults
    }
}

/// Returns the part of an assignment that applies to the replica in the given process.
///
/// `incarnation` is that of the process rather than of its state: after a restart, a process serves
/// only in a new epoch.
fn own_assignment(
    assignment: &placement::Assignment,
    process: &id::Process,
    incarnation: id::Incarnation,
) -> Assignment {
    let names =
        |replicas: &[placement::Replica]| replicas.iter().map(|r| r.process.clone()).collect();
    let primary = assignment
        .primary
        .as_ref()
        .is_some_and(|r| r.process == *process)
        && assignment.primary_incarnation == incarnation;
    Assignment {
        epoch: assignment.epoch,
        primary,
        backups: names(&assignment.backups),
        learners: names(&assignment.learners),
        origin: assignment.started_empty_at,
    }
}

/// Returns whether the incarnation of the process that dispatched a call has ended. A dispatcher is
/// written `process#incarnation`.
fn has_ended(directory: &celerycove_sync::Directory, dispatcher: &str) -> bool {
    let Some((process, incarnation)) = dispatcher.rsplit_once('#') else {
        return false;
    };
    let Ok(incarnation) = incarnation.parse() else {
        return false;
    };
    directory.has_ended(&process.into(), incarnation)
}
