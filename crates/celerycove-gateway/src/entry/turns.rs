//! Begins and ends turns at the stores.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use celerycove_turn::{Begin, Command, End, Outcome};
use celerycove_types::{Timestamp, id};
use tokio::sync::{Notify, oneshot};

use super::chains::{Chain, Chains};
use crate::{
    clock,
    link::{Links, lock},
    message::{Ask, Reply},
    metrics::Metrics,
};

/// How long a store may take to answer a batch: a commit takes a few round trips and syncs.
const PATIENCE: Duration = Duration::from_millis(700);
/// The pause before a batch is sent again, where no store leads.
const PAUSE: Duration = Duration::from_millis(60);
/// How long an end that nobody waits for is collected with others.
const COLLECT: Duration = Duration::from_millis(40);
/// How long the end of a turn is offered to the stores; after that its most counts as spent.
const OFFER: Duration = Duration::from_secs(15);
/// Commands that go to the stores together at most.
const BATCH: usize = 64;

struct Pending {
    command: Command,
    /// When it is given up.
    until: Timestamp,
    done: Option<oneshot::Sender<Outcome>>,
}

#[derive(Default)]
struct Stores {
    known: Vec<id::Process>,
    leader: Option<id::Process>,
}

/// The way to the stores.
pub(super) struct Turns {
    links: Arc<Links>,
    metrics: Arc<Metrics>,
    stores: Mutex<Stores>,
    queue: Mutex<VecDeque<Pending>>,
    urgent: Notify,
    chains: Mutex<Chains>,
    open: AtomicUsize,
}

/// No store could tell in time; what was asked may have been done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Unavailable;

impl Turns {
    pub(super) fn start(links: Arc<Links>, metrics: Arc<Metrics>) -> Arc<Self> {
        let turns = Arc::new(Self {
            links,
            metrics,
            stores: Mutex::default(),
            queue: Mutex::default(),
            urgent: Notify::new(),
            chains: Mutex::default(),
            open: AtomicUsize::new(0),
        });
        tokio::spawn(turns.clone().work());
        turns
    }

    /// Takes the stores that are known now.
    pub(super) fn know(&self, known: Vec<id::Process>) {
        for store in &known {
            self.links.open(store);
        }
        lock(&self.stores).known = known;
    }

    /// The chain up to a turn, if this entry has seen it.
    pub(super) fn chain(
        &self,
        organisation: &id::Organisation,
        request: &id::Request,
    ) -> Option<Chain> {
        lock(&self.chains).get(organisation, request)
    }

    /// Remembers a chain.
    pub(super) fn remember(
        &self,
        organisation: &id::Organisation,
        request: &id::Request,
        chain: Chain,
    ) {
        lock(&self.chains).insert(organisation, request, chain);
    }

    /// Begins a turn.
    pub(super) async fn begin(
        &self,
        begin: Begin,
        patience: Duration,
    ) -> Result<Outcome, Unavailable> {
        let asked = clock::now();
        let outcome = self.wait(Command::Begin(begin), patience).await;
        self.metrics
            .turn("begin", clock::now().saturating_sub(asked));
        outcome
    }

    /// Ends a turn and waits until that is durable.
    pub(super) async fn end(&self, end: End, patience: Duration) -> Result<(), Unavailable> {
        let began = clock::now();
        let outcome = self.wait(Command::End(end), patience).await;
        self.metrics.turn("end", clock::now().saturating_sub(began));
        match outcome? {
            Outcome::Ended => Ok(()),
            _ => Err(Unavailable),
        }
    }

    async fn wait(&self, command: Command, patience: Duration) -> Result<Outcome, Unavailable> {
        let (done, outcome) = oneshot::channel();
        self.enqueue(command, clock::now() + patience, Some(done));
        self.urgent.notify_one();
        match tokio::time::timeout(patience, outcome).await {
            Ok(Ok(outcome)) => Ok(outcome),
            Ok(Err(_)) | Err(_) => Err(Unavailable),
        }
    }

    /// Ends a turn some time soon.
    pub(super) fn settle(&self, end: End) {
        self.enqueue(Command::End(end), clock::now() + OFFER, None);
    }

    fn enqueue(&self, command: Command, until: Timestamp, done: Option<oneshot::Sender<Outcome>>) {
        let pending = Pending {
            command,
            until,
            done,
        };
        lock(&self.queue).push_back(pending);
    }

    /// Waits until nothing is left to tell the stores, or for `patience`.
    pub(super) async fn flush(&self, patience: Duration) {
        let until = clock::now() + patience;
        while clock::now() < until {
            if lock(&self.queue).is_empty() && self.open.load(Relaxed) == 0 {
                return;
            }
            self.urgent.notify_one();
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends batches to the stores, without waiting for the answer to one before the next.
    async fn work(self: Arc<Self>) {
        loop {
            let urgent = self.urgent.notified();
            if !self.has_urgent() {
                // Ends that nobody waits for are collected until something urgent comes.
                let _ = tokio::time::timeout(COLLECT, urgent).await;
            }
            let batch: Vec<Pending> = {
                let mut queue = lock(&self.queue);
                let count = queue.len().min(BATCH);
                queue.drain(..count).collect()
            };
            if !batch.is_empty() {
                self.open.fetch_add(1, Relaxed);
                let turns = self.clone();
                tokio::spawn(async move {
                    turns.offer(batch).await;
                    turns.open.fetch_sub(1, Relaxed);
                });
            }
        }
    }

    fn has_urgent(&self) -> bool {
        lock(&self.queue)
            .iter()
            .any(|pending| pending.done.is_some())
    }

    /// Offers a batch to the stores until one takes it or all of it is given up.
    async fn offer(&self, mut batch: Vec<Pending>) {
        let mut turn = 0;
        loop {
            let now = clock::now();
            batch.retain(|pending| {
                let awaited = pending.done.as_ref().is_none_or(|done| !done.is_closed());
                pending.until > now && awaited
            });
            if batch.is_empty() {
                return;
            }
            let Some(store) = self.candidate(turn) else {
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            turn += 1;
            let commands = batch.iter().map(|pending| pending.command.clone());
            let ask = Ask::Turns(commands.collect());
            match self.links.ask(&store, ask, PATIENCE).await {
                Ok(Reply::Turns(outcomes)) if outcomes.len() == batch.len() => {
                    lock(&self.stores).leader = Some(store);
                    deliver(batch, outcomes);
                    return;
                }
                Ok(Reply::NotLeader(leader)) => {
                    let elsewhere = leader.filter(|leader| *leader != store);
                    let known = elsewhere.is_some();
                    self.redirect(&store, elsewhere);
                    if !known {
                        tokio::time::sleep(PAUSE).await;
                    }
                }
                Ok(_) | Err(_) => {
                    self.redirect(&store, None);
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    /// The store that leads, or another one in turn.
    fn candidate(&self, turn: usize) -> Option<id::Process> {
        let stores = lock(&self.stores);
        if let Some(leader) = &stores.leader {
            return Some(leader.clone());
        }
        let count = stores.known.len();
        (count > 0).then(|| stores.known[turn % count].clone())
    }

    fn redirect(&self, asked: &id::Process, leader: Option<id::Process>) {
        let mut stores = lock(&self.stores);
        if stores.leader.is_none() || stores.leader.as_ref() == Some(asked) {
            if stores.leader != leader {
                log::info!(target: "turn", asked:% = asked, leader:? = leader;
                    "another store is asked from now on");
            }
            stores.leader = leader;
        }
    }
}

fn deliver(batch: Vec<Pending>, outcomes: Vec<Outcome>) {
    for (pending, outcome) in batch.into_iter().zip(outcomes) {
        if let Some(done) = pending.done {
            // Whoever waited may have left.
            let _ = done.send(outcome);
        }
    }
}
