//! Runs one instance of a replicated log: feeds it time, messages and commands.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use arc_swap::ArcSwap;
use celerycove_control::{
    Action, Answer, Event, Message, Node, Options, State,
    log::{Command, Members},
    node::Proposed,
    storage::{Error, Storage},
};
use celerycove_types::{Timestamp, id};
use tokio::sync::{mpsc, oneshot};

use crate::{
    clock,
    link::{Links, lock},
    message::Frame,
};

/// How often the log looks at the time; a fraction of its heartbeat.
const TICK: Duration = Duration::from_millis(40);
/// Inputs that wait for the log.
const QUEUE: usize = 4_096;
/// Commands that are committed together at most.
const BATCH: usize = 512;

/// Times of a log: an election takes one to two of its timeouts, so that a lost leader is replaced
/// within a third of the time in which acknowledgements are due. A snapshot replaces
/// `snapshot_after` entries.
#[must_use]
pub fn options(snapshot_after: u64) -> Options {
    Options {
        heartbeat: Duration::from_millis(80),
        election: Duration::from_millis(320),
        snapshot_after,
    }
}

enum Input {
    Message(id::Process, Box<Message>),
    Propose(Command, oneshot::Sender<Answer>),
}

/// What is known of the log without asking it.
#[derive(Debug, Clone, Default)]
pub struct Status {
    /// Whether this instance leads.
    pub leads: bool,
    /// Who leads, as far as is known.
    pub leader: Option<id::Process>,
    /// The latest term.
    pub term: u64,
    /// The position up to which the state is applied.
    pub applied: u64,
    /// The members.
    pub members: Members,
    /// For a leader: the members that have a vote.
    pub voters: Members,
    /// For a leader: when its state was surely the newest.
    pub proven: Option<Timestamp>,
    /// When a quorum (leader) or the leader (follower) was last heard.
    pub heard: Option<Timestamp>,
    /// Whether the storage failed and the instance has stopped.
    pub halted: bool,
}

/// Called after entries were applied.
pub type Applied = Box<dyn Fn(&State, u64) + Send>;

/// One instance of a replicated log.
pub struct Group {
    inputs: mpsc::Sender<Input>,
    status: ArcSwap<Status>,
}

impl Group {
    /// Opens the log and runs it.
    ///
    /// # Errors
    ///
    /// Returns an error if the storage can't be read.
    pub fn open(
        me: id::Process,
        bootstrap: Option<Members>,
        storage: Box<dyn Storage>,
        links: Arc<Links>,
        options: Options,
        applied: Applied,
    ) -> Result<Arc<Self>, Error> {
        let seed = rand::random();
        let node = Node::open(me, bootstrap, storage, options, seed, clock::now())?;
        let (inputs, queue) = mpsc::channel(QUEUE);
        let group = Arc::new(Self {
            inputs,
            status: ArcSwap::from_pointee(Status::default()),
        });
        applied(node.state(), node.applied());
        let runner = Runner {
            node,
            links,
            applied,
            group: group.clone(),
            waiting: Mutex::default(),
            token: 0,
        };
        tokio::spawn(runner.run(queue));
        Ok(group)
    }

    /// What is known of the log.
    #[must_use]
    pub fn status(&self) -> Arc<Status> {
        self.status.load_full()
    }

    /// Takes a message of another instance.
    pub fn take(&self, from: &id::Process, message: Box<Message>) {
        if self
            .inputs
            .try_send(Input::Message(from.clone(), message))
            .is_err()
        {
            log::warn!(target: "log", "a message of the log was dropped: too many wait");
        }
    }

    /// Proposes a command; the answer is [`Answer::Unknown`] if none comes in time.
    pub async fn propose(&self, command: Command, patience: Duration) -> Answer {
        match self.start(command).await {
            Some(receiver) => match tokio::time::timeout(patience, receiver).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(_)) | Err(_) => Answer::Unknown,
            },
            None => Answer::NotLeader(None),
        }
    }

    /// Proposes a command without waiting for what becomes of it.
    pub async fn start(&self, command: Command) -> Option<oneshot::Receiver<Answer>> {
        let (sender, receiver) = oneshot::channel();
        let sent = self.inputs.send(Input::Propose(command, sender)).await;
        sent.ok().map(|()| receiver)
    }
}

struct Runner {
    node: Node,
    links: Arc<Links>,
    applied: Applied,
    group: Arc<Group>,
    waiting: Mutex<BTreeMap<u64, oneshot::Sender<Answer>>>,
    token: u64,
}

impl Runner {
    async fn run(mut self, mut queue: mpsc::Receiver<Input>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let first = tokio::select! {
                input = queue.recv() => match input {
                    Some(input) => Some(input),
                    None => return,
                },
                _ = ticks.tick() => None,
            };
            let before = self.node.applied();
            if self.step(first, &mut queue) {
                return;
            }
            if self.node.applied() != before {
                (self.applied)(self.node.state(), self.node.applied());
            }
            self.publish();
        }
    }

    /// Takes what waits; tells whether the log has halted.
    fn step(&mut self, first: Option<Input>, queue: &mut mpsc::Receiver<Input>) -> bool {
        let mut proposed = Vec::new();
        let mut next = first;
        let mut halted = next.is_none() && self.feed(Event::Tick);
        while let Some(input) = next {
            match input {
                Input::Message(from, message) => {
                    let message = *message;
                    halted |= self.feed(Event::Message { from, message });
                }
                Input::Propose(command, sender) => {
                    self.token += 1;
                    lock(&self.waiting).insert(self.token, sender);
                    let token = self.token;
                    proposed.push(Proposed { token, command });
                }
            }
            if halted || proposed.len() >= BATCH {
                break;
            }
            next = queue.try_recv().ok();
        }
        if !proposed.is_empty() && !halted {
            halted = self.feed(Event::Propose(proposed));
        }
        halted
    }

    fn feed(&mut self, event: Event) -> bool {
        let was_leader = self.node.is_leader();
        let actions = self.node.step(clock::now(), event);
        #[cfg(debug_assertions)]
        if let Err(violation) = self.node.check() {
            log::error!(target: "log", violation:% = violation; "an invariant of the log is broken");
        }
        if self.node.is_leader() != was_leader {
            log::info!(target: "log", leads = self.node.is_leader(), term = self.node.term(),
                applied = self.node.applied(); "leadership changed");
        }
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    self.links.send(&to, &Frame::Log(Box::new(message)));
                }
                Action::Answer { token, answer } => {
                    if let Some(sender) = lock(&self.waiting).remove(&token) {
                        // Whoever proposed may have stopped waiting.
                        let _ = sender.send(answer);
                    }
                }
                Action::Halt(error) => {
                    log::error!(target: "log", error:% = error; "the log has stopped: its storage failed");
                    self.halt();
                    return true;
                }
            }
        }
        false
    }

    fn halt(&self) {
        lock(&self.waiting).clear();
        self.group.status.store(Arc::new(Status {
            halted: true,
            ..Status::default()
        }));
    }

    fn publish(&self) {
        let now = clock::now();
        let ago = |age: Option<Duration>| age.map(|age| now.saturating_sub(age));
        let before = self.group.status.load();
        let members = if before.members == *self.node.members() {
            before.members.clone()
        } else {
            log::info!(target: "log", members:? = self.node.members(); "members changed");
            self.node.members().clone()
        };
        if before.leader.as_ref() != self.node.leader() {
            log::info!(target: "log", leader:? = self.node.leader(), term = self.node.term();
                "the leader changed");
        }
        self.group.status.store(Arc::new(Status {
            leads: self.node.is_leader(),
            leader: self.node.leader().cloned(),
            term: self.node.term(),
            applied: self.node.applied(),
            members,
            voters: self.node.voters(),
            proven: ago(self.node.freshness(now)),
            heard: ago(self.node.heard(now)),
            halted: false,
        }));
    }
}
