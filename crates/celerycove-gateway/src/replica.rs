//! Runs the local replica of a replicated log: passes it time, messages and proposals, and carries
//! out the actions that it returns.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use arc_swap::ArcSwap;
use celerycove_control::{
    Action, Answer, Entry, Event, Message, Node, Options, State,
    log::{Command, Members, Usage},
    message::Body,
    node::Proposed,
    storage::{Error, Storage},
};
use celerycove_log::limit::{Admitted, Limit};
use celerycove_types::{Timestamp, id};
use tokio::sync::{mpsc, oneshot};

use crate::{
    clock,
    link::{Connections, Encoded, lock},
    memory::{Account, Part, Room},
    message::Frame,
};

/// How often the replica checks its timers; a fraction of its heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// How often a caller that waits for the confirmation of the leader checks for it.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(15);
/// The most messages and proposals that wait for the replica.
const INPUT_QUEUE_LEN: usize = 4_096;
/// The most commands that are proposed together.
const MAX_BATCH_COMMANDS: usize = 512;

/// A message of at least this size is logged.
const LARGE_MESSAGE_BYTES: usize = 1 << 20;
/// The most lines a second about large messages.
const LARGE_MESSAGE_LINES: u32 = 10;
/// The most lines a second about refused commands.
const REFUSAL_LINES: u32 = 5;
/// The log's size in memory is first logged at this size, and then whenever it has doubled or fallen
/// to half.
const LARGE_LOG_BYTES: u64 = 2 << 20;

/// How much an entry takes in memory, in percent of its encoded size: each text of a configuration's
/// routes is an allocation of its own.
const MEMORY_PERCENT: u64 = 150;

/// Returns the timing of a log. An election takes one to two election timeouts, so a lost leader is
/// replaced within a third of the time in which acknowledgements are due. A snapshot replaces
/// `snapshot_interval` entries, or fewer if they take up too much memory.
#[must_use]
pub fn options(snapshot_interval: u64) -> Options {
    Options {
        heartbeat_interval: Duration::from_millis(80),
        election_timeout: Duration::from_millis(320),
        snapshot_interval,
        ..Options::default()
    }
}

/// What the replica processes besides timer ticks.
enum Input {
    Message {
        from: id::Process,
        message: Box<Message>,
        /// The room that the message takes until it is processed.
        room: Option<Room>,
    },
    Propose(Command, oneshot::Sender<Answer>),
}

/// The last published status of the replica.
#[derive(Debug, Clone, Default)]
pub struct Status {
    /// Whether this replica is the leader.
    pub is_leader: bool,
    /// The leader, if known.
    pub leader: Option<id::Process>,
    /// The latest term.
    pub term: u64,
    /// The index up to which entries are applied to the state.
    pub applied: u64,
    /// The members of the log.
    pub members: Members,
    /// Whether the change that led to these members is known to be committed.
    pub has_committed_members: bool,
    /// On the leader: the members that have a vote.
    pub voters: Members,
    /// On the leader: the latest time at which a quorum confirmed that it leads, so that its state
    /// was the newest then.
    pub confirmed_at: Option<Timestamp>,
    /// When the last message arrived from a quorum (on the leader) or from the leader (on a
    /// follower).
    pub heard_at: Option<Timestamp>,
    /// How much the log holds in memory.
    pub log: Usage,
    /// Whether the replica has stopped because its storage failed.
    pub halted: bool,
}

/// Called with the state and its index after entries were applied.
pub type ApplyCallback = Box<dyn Fn(&State, u64) + Send>;

/// A handle to the local replica of a replicated log.
pub struct Replica {
    inputs: mpsc::Sender<Input>,
    account: Arc<Account>,
    status: ArcSwap<Status>,
}

impl Replica {
    /// Opens the log and starts the task that runs it. `initial_members` bootstraps a new log. The
    /// account of the connections bounds what the log holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the storage can't be read.
    pub fn open(
        me: id::Process,
        initial_members: Option<Members>,
        storage: Box<dyn Storage>,
        connections: Arc<Connections>,
        options: Options,
        on_applied: ApplyCallback,
    ) -> Result<Arc<Self>, Error> {
        let account = connections.account().clone();
        let options = Options {
            max_log_bytes: account.limit(Part::Log) as u64 * 100 / MEMORY_PERCENT,
            ..options
        };
        let seed = rand::random();
        let node = Node::open(me, initial_members, storage, options, seed, clock::now())?;
        let (inputs, queue) = mpsc::channel(INPUT_QUEUE_LEN);
        let replica = Arc::new(Self {
            inputs,
            account,
            status: ArcSwap::from_pointee(Status::default()),
        });
        on_applied(node.state(), node.applied_index());
        let runner = Runner {
            node,
            connections,
            on_applied,
            replica: replica.clone(),
            pending: Mutex::default(),
            last_token: 0,
            large_messages: Limit::new(LARGE_MESSAGE_LINES),
            refusals: Limit::new(REFUSAL_LINES),
            logged_bytes: LARGE_LOG_BYTES / 2,
        };
        tokio::spawn(runner.run(queue));
        Ok(replica)
    }

    /// The last published status.
    #[must_use]
    pub fn status(&self) -> Arc<Status> {
        self.status.load_full()
    }

    /// Waits until a majority confirms that this replica leads, by a round of heartbeats that begins
    /// after the call, and returns its status then: the newest that a leader can have.
    ///
    /// # Errors
    ///
    /// Returns the leader, if known, if this replica doesn't lead or isn't confirmed in time.
    pub async fn confirm_leadership(
        &self,
        timeout: Duration,
    ) -> Result<Arc<Status>, Option<id::Process>> {
        let began = clock::now();
        loop {
            let status = self.status();
            if !status.is_leader {
                return Err(status.leader.clone());
            }
            if status.confirmed_at.is_some_and(|at| at >= began) {
                return Ok(status);
            }
            if clock::now().saturating_sub(began) >= timeout {
                return Err(None);
            }
            tokio::time::sleep(CONFIRMATION_INTERVAL).await;
        }
    }

    /// Queues a message from another member, or drops it if there is no room in the queue.
    pub fn receive(&self, from: &id::Process, message: Box<Message>) {
        let bytes = payload_bytes(&message);
        let room = (bytes > 0).then(|| self.reserve(bytes));
        let is_queued = match room {
            Some(None) => false,
            room => {
                let (from, room) = (from.clone(), room.flatten());
                let input = Input::Message {
                    from,
                    message,
                    room,
                };
                self.inputs.try_send(input).is_ok()
            }
        };
        if !is_queued {
            log::warn!(target: "log", from:% = from, bytes, waiting = self.account.used(Part::LogInput);
                "dropped a message of the log: the queue is full");
        }
    }

    /// Reserves room for a message that waits. If none waits, there is room for one of any size, so
    /// that no entry is too large to be replicated.
    fn reserve(&self, bytes: usize) -> Option<Room> {
        if self.account.used(Part::LogInput) == 0 {
            return Some(self.account.reserve_over_limit(Part::LogInput, bytes));
        }
        self.account.try_reserve(Part::LogInput, bytes)
    }

    /// Proposes a command and waits for its outcome: [`Answer::Unknown`] after `timeout`.
    pub async fn propose(&self, command: Command, timeout: Duration) -> Answer {
        match self.submit(command).await {
            Some(receiver) => match tokio::time::timeout(timeout, receiver).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(_)) | Err(_) => Answer::Unknown,
            },
            None => Answer::NotLeader(None),
        }
    }

    /// Proposes a command and returns a receiver for its outcome, or `None` if the replica has
    /// stopped.
    pub async fn submit(&self, command: Command) -> Option<oneshot::Receiver<Answer>> {
        let (sender, receiver) = oneshot::channel();
        let sent = self.inputs.send(Input::Propose(command, sender)).await;
        sent.ok().map(|()| receiver)
    }
}

/// Returns about how many bytes of entries or of a snapshot a message carries.
fn payload_bytes(message: &Message) -> usize {
    match &message.body {
        Body::Append { entries, .. } => {
            let bytes: u64 = entries.iter().map(Entry::encoded_bytes).sum();
            usize::try_from(bytes).unwrap_or(usize::MAX)
        }
        Body::Install { part, .. } => part.len(),
        _ => 0,
    }
}

/// The task that runs the replica.
struct Runner {
    node: Node,
    connections: Arc<Connections>,
    on_applied: ApplyCallback,
    replica: Arc<Replica>,
    /// Where to send the outcome of each pending proposal, by token.
    pending: Mutex<BTreeMap<u64, oneshot::Sender<Answer>>>,
    last_token: u64,
    large_messages: Limit,
    refusals: Limit,
    /// The size of the log when it was last logged.
    logged_bytes: u64,
}

impl Runner {
    async fn run(mut self, mut queue: mpsc::Receiver<Input>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let first = tokio::select! {
                input = queue.recv() => match input {
                    Some(input) => Some(input),
                    None => return,
                },
                _ = ticks.tick() => None,
            };
            let applied_before = self.node.applied_index();
            if self.process(first, &mut queue) {
                return;
            }
            if self.node.applied_index() != applied_before {
                (self.on_applied)(self.node.state(), self.node.applied_index());
            }
            self.publish_status();
        }
    }

    /// Processes `first`, or a tick if there is none, and all queued inputs up to the largest
    /// batch. Returns whether the replica has halted.
    fn process(&mut self, first: Option<Input>, queue: &mut mpsc::Receiver<Input>) -> bool {
        let mut proposed = Vec::new();
        let mut next = first;
        let mut halted = next.is_none() && self.handle(Event::Tick);
        while let Some(input) = next {
            match input {
                Input::Message {
                    from,
                    message,
                    room: _room,
                } => {
                    let message = *message;
                    halted |= self.handle(Event::Message { from, message });
                }
                Input::Propose(command, sender) => {
                    self.last_token += 1;
                    lock(&self.pending).insert(self.last_token, sender);
                    let token = self.last_token;
                    proposed.push(Proposed { token, command });
                }
            }
            if halted || proposed.len() >= MAX_BATCH_COMMANDS {
                break;
            }
            next = queue.try_recv().ok();
        }
        if !proposed.is_empty() && !halted {
            halted = self.handle(Event::Propose(proposed));
        }
        halted
    }

    /// Passes an event to the node and carries out its actions. Returns whether the replica has
    /// halted.
    fn handle(&mut self, event: Event) -> bool {
        let was_leader = self.node.is_leader();
        let actions = self.node.step(clock::now(), event);
        #[cfg(debug_assertions)]
        if let Err(violation) = self.node.check() {
            log::error!(target: "log", violation:% = violation; "an invariant of the log is violated");
        }
        if self.node.is_leader() != was_leader {
            log::info!(target: "log", leads = self.node.is_leader(), term = self.node.term(),
                applied = self.node.applied_index(); "leadership changed");
        }
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(&to, message),
                Action::Answer { token, answer } => {
                    self.log_refusal(&answer);
                    if let Some(sender) = lock(&self.pending).remove(&token) {
                        // The proposer may have stopped waiting.
                        let _ = sender.send(answer);
                    }
                }
                Action::Halt(error) => {
                    log::error!(target: "log", error:% = error; "the log has halted: its storage failed");
                    self.halt();
                    return true;
                }
            }
        }
        false
    }

    fn send(&mut self, to: &id::Process, message: Message) {
        let entries = match &message.body {
            Body::Append { entries, .. } => entries.len(),
            _ => 0,
        };
        let Some(encoded) = Encoded::new(&Frame::Log(Box::new(message))) else {
            return;
        };
        if encoded.length() >= LARGE_MESSAGE_BYTES
            && let Some(Admitted { held_back }) = self.large_messages.admit(clock::now())
        {
            log::info!(target: "log", to:% = to, entries, bytes = encoded.length(), held_back;
                "sending a large message of the log");
        }
        self.connections.send_encoded(to, &encoded);
    }

    /// Logs that a command was refused, which its proposer sees only as one that may not be committed.
    fn log_refusal(&mut self, answer: &Answer) {
        if let Answer::Refused(reason) = answer
            && let Some(Admitted { held_back }) = self.refusals.admit(clock::now())
        {
            log::warn!(target: "log", reason, held_back; "refused a command");
        }
    }

    /// Logs the size of the log when it has doubled or fallen to half since the last line.
    fn log_size(&mut self, usage: Usage) {
        let bytes = usage.bytes.max(LARGE_LOG_BYTES / 2);
        if bytes >= self.logged_bytes * 2 || bytes <= self.logged_bytes / 2 {
            log::info!(target: "log", entries = usage.entries, bytes = usage.bytes,
                applied = self.node.applied_index(); "the log's size in memory changed");
            self.logged_bytes = bytes;
        }
    }

    fn halt(&self) {
        lock(&self.pending).clear();
        self.replica.status.store(Arc::new(Status {
            halted: true,
            ..Status::default()
        }));
    }

    fn publish_status(&mut self) {
        let usage = self.node.log_usage();
        self.log_size(usage);
        let account = &self.replica.account;
        account.set(
            Part::Log,
            usize::try_from(usage.bytes).unwrap_or(usize::MAX),
        );
        account.set(Part::Snapshots, self.node.transfer_bytes());
        let now = clock::now();
        let time_of = |age: Option<Duration>| age.map(|age| now.saturating_sub(age));
        let before = self.replica.status.load();
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
        self.replica.status.store(Arc::new(Status {
            is_leader: self.node.is_leader(),
            leader: self.node.leader().cloned(),
            term: self.node.term(),
            applied: self.node.applied_index(),
            members,
            has_committed_members: self.node.has_committed_members(),
            voters: self.node.voters(),
            confirmed_at: time_of(self.node.staleness(now)),
            heard_at: time_of(self.node.time_since_contact(now)),
            log: usage,
            halted: false,
        }));
    }
}
