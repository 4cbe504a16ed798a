//! Client of the stores, which keep the turns and the token budgets of programs.
//!
//! Commands are sent in batches to the store that leads. Beginning a turn reserves tokens of the
//! program's budget; ending it settles the reservation.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use celerycove_turn::{Begin, Command, End, Outcome};
use celerycove_types::{Timestamp, id};
use tokio::sync::{Notify, oneshot};

use super::{
    chains::{Cache, Chain},
    detour::{Detour, Target},
    outage::Outage,
};
use crate::{
    clock,
    link::{Connections, lock},
    message::{Reply, RpcRequest},
    metrics::Metrics,
};

/// Time limit for a store's reply to a batch: a commit takes a few round trips and disk syncs.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before a batch is sent again after a failure or while no store leads.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// How often an entry that is out of reach of the stores probes them while no command does.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// How long ends that no caller waits for are collected before a batch is sent.
const BATCH_DELAY: Duration = Duration::from_millis(40);
/// How long sending the end of a turn is retried; after that the whole reservation counts as spent.
const END_RETRY_PERIOD: Duration = Duration::from_secs(15);
/// Limit on the commands of one batch.
const MAX_BATCH_COMMANDS: usize = 64;

/// A command that no store has accepted yet.
struct Pending {
    command: Command,
    /// When the client stops sending the command.
    expires: Timestamp,
    /// Set if a caller waits for the outcome.
    reply: Option<oneshot::Sender<Outcome>>,
}

#[derive(Default)]
struct Stores {
    /// The known stores that were among the first members of the log, or have named a leader.
    members: Vec<id::Process>,
    /// The other known stores. Most stores stand by and know no leader.
    others: Vec<id::Process>,
    leader: Option<id::Process>,
    detour: Detour,
}

/// Sends commands to the stores and caches the chains of turns that pass through this entry.
pub(super) struct Client {
    connections: Arc<Connections>,
    metrics: Arc<Metrics>,
    stores: Mutex<Stores>,
    outage: Mutex<Outage>,
    queue: Mutex<VecDeque<Pending>>,
    /// Notified to send the next batch without waiting for [`BATCH_DELAY`].
    wake: Notify,
    chains: Mutex<Cache>,
    batches_in_flight: AtomicUsize,
}

/// No store replied in time; the command may have been committed nevertheless.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Unavailable {
    /// When a new attempt is likely to succeed.
    pub(super) return_after: Duration,
}

impl Client {
    pub(super) fn start(connections: Arc<Connections>, metrics: Arc<Metrics>) -> Arc<Self> {
        let client = Arc::new(Self {
            metrics,
            stores: Mutex::default(),
            outage: Mutex::default(),
            queue: Mutex::default(),
            wake: Notify::new(),
            chains: Mutex::new(Cache::new(connections.account().clone())),
            batches_in_flight: AtomicUsize::new(0),
            connections,
        });
        tokio::spawn(client.clone().run());
        tokio::spawn(client.clone().probe_stores());
        client
    }

    /// Replaces the known stores, of which some were the first members of the log, and opens
    /// connections to them.
    pub(super) fn set_stores(
        &self,
        known: Vec<id::Process>,
        first_members: &BTreeSet<id::Process>,
    ) {
        for store in &known {
            self.connections.open(store);
        }
        let mut stores = lock(&self.stores);
        let is_member =
            |store: &id::Process| first_members.contains(store) || stores.members.contains(store);
        let (members, others) = known.into_iter().partition(is_member);
        stores.members = members;
        stores.others = others;
    }

    /// Returns the chain that ends with a turn, if it is cached.
    pub(super) fn cached_chain(
        &self,
        organisation: &id::Organisation,
        request: &id::Request,
    ) -> Option<Chain> {
        lock(&self.chains).get(organisation, request)
    }

    /// Caches a chain that ends with the turn of `request`.
    pub(super) fn cache_chain(
        &self,
        organisation: &id::Organisation,
        request: &id::Request,
        chain: Chain,
    ) {
        lock(&self.chains).insert(organisation, request, chain);
    }

    /// Begins a turn, which reserves its tokens.
    ///
    /// # Errors
    ///
    /// Returns an error if no store replies within `timeout`, or at once if the stores have been out
    /// of reach for longer than the replacement of a leader usually takes.
    pub(super) async fn begin(
        &self,
        begin: Begin,
        timeout: Duration,
    ) -> Result<Outcome, Unavailable> {
        let requested_at = clock::now();
        let patience = lock(&self.outage).patience(requested_at, timeout);
        if patience.is_zero() {
            return Err(self.unavailable());
        }
        let outcome = self.submit(Command::Begin(begin), patience).await;
        self.metrics
            .record_turn_step("begin", clock::now().saturating_sub(requested_at));
        outcome
    }

    /// Ends a turn and waits until the end is committed.
    ///
    /// # Errors
    ///
    /// Returns an error if no store confirms the end within `timeout`.
    pub(super) async fn end(&self, end: End, timeout: Duration) -> Result<(), Unavailable> {
        let requested_at = clock::now();
        let outcome = self.submit(Command::End(end), timeout).await;
        self.metrics
            .record_turn_step("end", clock::now().saturating_sub(requested_at));
        match outcome? {
            Outcome::Ended => Ok(()),
            _ => Err(self.unavailable()),
        }
    }

    fn unavailable(&self) -> Unavailable {
        let return_after = lock(&self.outage).return_after(clock::now(), rand::random());
        Unavailable { return_after }
    }

    async fn submit(&self, command: Command, timeout: Duration) -> Result<Outcome, Unavailable> {
        let (reply, outcome) = oneshot::channel();
        self.enqueue(command, clock::now() + timeout, Some(reply));
        self.wake.notify_one();
        match tokio::time::timeout(timeout, outcome).await {
            Ok(Ok(outcome)) => Ok(outcome),
            Ok(Err(_)) | Err(_) => Err(self.unavailable()),
        }
    }

    /// Queues the end of a turn without waiting for its commit.
    pub(super) fn end_in_background(&self, end: End) {
        self.enqueue(Command::End(end), clock::now() + END_RETRY_PERIOD, None);
    }

    fn enqueue(
        &self,
        command: Command,
        expires: Timestamp,
        reply: Option<oneshot::Sender<Outcome>>,
    ) {
        let pending = Pending {
            command,
            expires,
            reply,
        };
        lock(&self.queue).push_back(pending);
    }

    /// Waits until all queued commands are sent and answered, but no longer than `timeout`.
    pub(super) async fn flush(&self, timeout: Duration) {
        let deadline = clock::now() + timeout;
        while clock::now() < deadline {
            if lock(&self.queue).is_empty() && self.batches_in_flight.load(Relaxed) == 0 {
                return;
            }
            self.wake.notify_one();
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends batches to the stores, without waiting for the reply to one batch before sending the
    /// next.
    async fn run(self: Arc<Self>) {
        loop {
            let wake = self.wake.notified();
            if !self.has_waiters() {
                // Ends that no caller waits for are collected until a caller waits for a command.
                let _ = tokio::time::timeout(BATCH_DELAY, wake).await;
            }
            let batch: Vec<Pending> = {
                let mut queue = lock(&self.queue);
                let count = queue.len().min(MAX_BATCH_COMMANDS);
                queue.drain(..count).collect()
            };
            if !batch.is_empty() {
                self.batches_in_flight.fetch_add(1, Relaxed);
                let client = self.clone();
                tokio::spawn(async move {
                    client.send_batch(batch).await;
                    client.batches_in_flight.fetch_sub(1, Relaxed);
                });
            }
        }
    }

    fn has_waiters(&self) -> bool {
        lock(&self.queue)
            .iter()
            .any(|pending| pending.reply.is_some())
    }

    /// Sends a batch until a store accepts it, or each command has expired or lost its caller.
    async fn send_batch(&self, mut batch: Vec<Pending>) {
        loop {
            let now = clock::now();
            batch.retain(|pending| {
                let wanted = pending
                    .reply
                    .as_ref()
                    .is_none_or(|reply| !reply.is_closed());
                pending.expires > now && wanted
            });
            if batch.is_empty() {
                return;
            }
            let commands = batch.iter().map(|pending| pending.command.clone());
            match self.send_commands(commands.collect()).await {
                Sent::Outcomes(outcomes) => {
                    deliver_outcomes(batch, outcomes);
                    return;
                }
                Sent::Redirected => {}
                Sent::Failed => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Sends commands once, to the leader or, if none is known or it is out of reach, to the store
    /// that is to be tried next.
    async fn send_commands(&self, commands: Vec<Command>) -> Sent {
        let Some(target) = self.next_target() else {
            self.record_failure();
            return Sent::Failed;
        };
        let count = commands.len();
        let request = RpcRequest::Turns(commands);
        let (store, request, is_direct) = match target {
            Target::Direct(store) => (store, request, true),
            Target::Via(store) => (store, RpcRequest::Relay(Box::new(request)), false),
        };
        let reply = self.connections.request(&store, request, STORE_TIMEOUT);
        match reply.await {
            Ok(Reply::Turns(outcomes)) if outcomes.len() == count => {
                if is_direct {
                    lock(&self.stores).leader = Some(store);
                }
                let lasted = lock(&self.outage).record_success(clock::now());
                if let Some(lasted) = lasted {
                    log::info!(target: "turn", lasted_ms = clock::millis(lasted);
                        "the stores are in reach again");
                }
                Sent::Outcomes(outcomes)
            }
            Ok(Reply::NotLeader(leader)) => {
                let new_leader = leader.filter(|leader| *leader != store);
                let leader_known = new_leader.is_some();
                if leader_known {
                    self.add_member(&store);
                }
                self.update_leader(&store, is_direct, new_leader);
                if leader_known {
                    Sent::Redirected
                } else {
                    self.record_failure();
                    Sent::Failed
                }
            }
            Ok(_) | Err(_) => {
                if is_direct {
                    self.leave_store(&store);
                }
                self.record_failure();
                Sent::Failed
            }
        }
    }

    /// Records that a store takes part in the log.
    fn add_member(&self, store: &id::Process) {
        let mut stores = lock(&self.stores);
        if !stores.members.contains(store) {
            stores.others.retain(|other| other != store);
            stores.members.push(store.clone());
        }
    }

    /// Leaves a store that did not reply. If it is the known leader and there is no connection to it,
    /// other stores may reach it; a leader that is only slow may have been replaced.
    fn leave_store(&self, store: &id::Process) {
        if self.connections.is_connected(store) {
            self.update_leader(store, true, None);
            return;
        }
        let mut stores = lock(&self.stores);
        if stores.leader.as_ref() == Some(store) {
            log::info!(target: "turn", leader:% = store; "asking for the leader through other stores");
            stores.detour.avoid(clock::now(), store);
        }
    }

    fn record_failure(&self) {
        lock(&self.stores).detour.record_failure();
        if lock(&self.outage).record_failure(clock::now()) {
            log::warn!(target: "turn", "the stores are out of reach");
        }
    }

    /// While the stores are out of reach, looks for a leader with batches that contain no command,
    /// since turns may be refused without being sent.
    async fn probe_stores(self: Arc<Self>) {
        loop {
            tokio::time::sleep(PROBE_INTERVAL.mul_f64(0.5 + rand::random::<f64>())).await;
            let is_idle = self.batches_in_flight.load(Relaxed) == 0;
            if is_idle && lock(&self.outage).is_active() {
                self.send_commands(Vec::new()).await;
            }
        }
    }

    fn next_target(&self) -> Option<Target> {
        let stores = lock(&self.stores);
        let leader = stores.leader.as_ref();
        let detour = &stores.detour;
        detour.target(clock::now(), leader, &stores.members, &stores.others)
    }

    /// Replaces the known leader after a store named another one or none, unless a store that was not
    /// taken for the leader contradicts the known one.
    fn update_leader(&self, contacted: &id::Process, is_direct: bool, leader: Option<id::Process>) {
        let mut stores = lock(&self.stores);
        if !is_direct || stores.leader.is_none() || stores.leader.as_ref() == Some(contacted) {
            if stores.leader != leader {
                log::info!(target: "turn", asked:% = contacted, leader:? = leader;
                    "switching to another store");
            }
            stores.leader = leader;
        }
    }
}

/// What became of commands that were sent to a store.
enum Sent {
    /// They are committed.
    Outcomes(Vec<Outcome>),
    /// The store is not the leader and named another one.
    Redirected,
    /// No store or no leader is known, or the store did not reply.
    Failed,
}

fn deliver_outcomes(batch: Vec<Pending>, outcomes: Vec<Outcome>) {
    for (pending, outcome) in batch.into_iter().zip(outcomes) {
        if let Some(reply) = pending.reply {
            // The waiting request may have been cancelled.
            let _ = reply.send(outcome);
        }
    }
}
