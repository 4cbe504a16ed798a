//! The task behind a replica: it runs the node, and recovers its storage after a failure.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use celerycove_control::{
    Action, Answer, Event, Message, Node, Options, log::Usage, membership::Learner, message::Body,
    node::Proposed, storage::Error,
};
use celerycove_log::limit::{Admitted, Limit};
use celerycove_types::{Timestamp, id};
use tokio::sync::{mpsc, oneshot};

use super::{ApplyCallback, Input, OpenStorage, Replica, Status};
use crate::{
    clock,
    link::{Connections, Encoded, lock},
    memory::Part,
    message::Frame,
};

/// How often the replica checks its timers; a fraction of its heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
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
/// How long after its storage failed a replica first tries to recover it. A disk that is full for a
/// moment should not keep the replica away for long.
const FIRST_RECOVERY_DELAY: Duration = Duration::from_millis(200);
/// The longest pause between attempts. Each one writes a small file, and reads the whole log if that
/// succeeds.
const MAX_RECOVERY_DELAY: Duration = Duration::from_secs(2);
/// A storage that worked for this long after a recovery counts as sound: the delays start anew.
const STABLE_TIME: Duration = Duration::from_secs(10);

/// The log of a replica: what it takes to open it.
pub(super) struct Log {
    pub(super) me: id::Process,
    pub(super) options: Options,
    pub(super) open_storage: OpenStorage,
}

impl Log {
    /// Opens the log anew after its storage failed.
    fn recover(&self) -> Result<Node, Error> {
        let storage = (self.open_storage)()?;
        let (me, now) = (self.me.clone(), clock::now());
        Node::recover(me, storage, self.options, rand::random(), now)
    }
}

/// Runs a replica, and opens its log anew whenever its storage has failed.
pub(super) async fn run(
    node: Node,
    log: Log,
    connections: Arc<Connections>,
    on_applied: ApplyCallback,
    replica: Arc<Replica>,
    mut queue: mpsc::Receiver<Input>,
) {
    let mut runner = Runner {
        published_index: node.applied_index(),
        phase: Running {
            node,
            opened_at: clock::now(),
            recovery_delay: FIRST_RECOVERY_DELAY,
        },
        log,
        connections,
        on_applied,
        replica,
        pending: Mutex::default(),
        last_token: 0,
        large_messages: Limit::new(LARGE_MESSAGE_LINES),
        refusals: Limit::new(REFUSAL_LINES),
        logged_bytes: LARGE_LOG_BYTES / 2,
    };
    while let Some(failed) = runner.run(&mut queue).await {
        match failed.recover(&mut queue).await {
            Some(recovered) => runner = recovered,
            None => return,
        }
    }
}

/// The phase in which the node runs.
struct Running {
    node: Node,
    opened_at: Timestamp,
    /// How long the replica waited before it opened this node; twice as long if it fails soon.
    recovery_delay: Duration,
}

/// The phase in which there is no node, as the storage failed.
struct Failed {
    failed_at: Timestamp,
    /// How long to wait before the next attempt to recover the storage.
    delay: Duration,
}

/// The task that runs the replica.
struct Runner<Phase> {
    phase: Phase,
    log: Log,
    connections: Arc<Connections>,
    on_applied: ApplyCallback,
    /// The index of the state that was last passed to `on_applied`.
    published_index: u64,
    replica: Arc<Replica>,
    /// Where to send the outcome of each pending proposal, by token.
    pending: Mutex<BTreeMap<u64, oneshot::Sender<Answer>>>,
    last_token: u64,
    large_messages: Limit,
    refusals: Limit,
    /// The size of the log when it was last logged.
    logged_bytes: u64,
}

impl<Phase> Runner<Phase> {
    fn with<Next>(self, phase: Next) -> Runner<Next> {
        Runner {
            phase,
            log: self.log,
            connections: self.connections,
            on_applied: self.on_applied,
            published_index: self.published_index,
            replica: self.replica,
            pending: self.pending,
            last_token: self.last_token,
            large_messages: self.large_messages,
            refusals: self.refusals,
            logged_bytes: self.logged_bytes,
        }
    }
}

impl Runner<Failed> {
    /// Tries to recover the storage until it can be written; `None` if nobody uses the replica any
    /// more. Until then it rejects proposals and drops messages, like an instance that is down.
    async fn recover(mut self, queue: &mut mpsc::Receiver<Input>) -> Option<Runner<Running>> {
        loop {
            reject_inputs(queue, self.phase.delay).await?;
            match self.log.recover() {
                Ok(node) => {
                    let failed_for = clock::now().saturating_sub(self.phase.failed_at);
                    log::info!(target: "log", failed_ms = clock::millis(failed_for),
                        applied = node.applied_index(), term = node.term();
                        "the storage of the log is recovered; this replica takes part again");
                    let recovery_delay = self.phase.delay;
                    return Some(self.with(Running {
                        node,
                        opened_at: clock::now(),
                        recovery_delay,
                    }));
                }
                Err(error) => {
                    let next = (self.phase.delay * 2).min(MAX_RECOVERY_DELAY);
                    self.phase.delay = next;
                    log::warn!(target: "log", error:% = error, next_attempt_ms = clock::millis(next);
                        "could not recover the storage of the log");
                }
            }
        }
    }
}

/// Rejects what arrives during `delay`; `None` if nobody uses the replica any more.
async fn reject_inputs(queue: &mut mpsc::Receiver<Input>, delay: Duration) -> Option<()> {
    let due = tokio::time::sleep(delay);
    tokio::pin!(due);
    loop {
        let input = tokio::select! {
            () = &mut due => return Some(()),
            input = queue.recv() => input?,
        };
        if let Input::Propose(_, sender) = input {
            // The proposer may have stopped waiting.
            let _ = sender.send(Answer::NotLeader(None));
        }
    }
}

impl Runner<Running> {
    /// Runs the node until its storage fails; `None` if nobody uses the replica any more.
    async fn run(mut self, queue: &mut mpsc::Receiver<Input>) -> Option<Runner<Failed>> {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let first = tokio::select! {
                input = queue.recv() => Some(input?),
                _ = ticks.tick() => None,
            };
            if let Err(error) = self.process(first, queue) {
                return Some(self.fail(&error));
            }
            self.publish_state();
            self.publish_status();
        }
    }

    /// Publishes the applied state if it is newer than what was published. A node that was opened anew
    /// begins with an older one.
    fn publish_state(&mut self) {
        let applied = self.phase.node.applied_index();
        if applied > self.published_index {
            self.published_index = applied;
            (self.on_applied)(self.phase.node.state(), applied);
        }
    }

    /// Ends the node, whose storage failed. What it proposed may or may not be committed.
    fn fail(self, error: &Error) -> Runner<Failed> {
        log::error!(target: "log", error:% = error, applied = self.phase.node.applied_index();
            "the storage of the log failed; this replica takes no part in the log until it is recovered");
        lock(&self.pending).clear();
        self.replica.account.set(Part::Log, 0);
        self.replica.account.set(Part::Snapshots, 0);
        self.replica.status.store(Arc::new(Status {
            halted: true,
            ..Status::default()
        }));
        let now = clock::now();
        let ran_long = now.saturating_sub(self.phase.opened_at) >= STABLE_TIME;
        let delay = if ran_long {
            FIRST_RECOVERY_DELAY
        } else {
            (self.phase.recovery_delay * 2).min(MAX_RECOVERY_DELAY)
        };
        self.with(Failed {
            failed_at: now,
            delay,
        })
    }

    /// Processes `first`, or a tick if there is none, and all queued inputs up to the largest
    /// batch.
    fn process(
        &mut self,
        first: Option<Input>,
        queue: &mut mpsc::Receiver<Input>,
    ) -> Result<(), Error> {
        let mut proposed = Vec::new();
        let mut next = first;
        if next.is_none() {
            self.handle(Event::Tick)?;
        }
        while let Some(input) = next {
            match input {
                Input::Message {
                    from,
                    message,
                    room: _room,
                } => {
                    let message = *message;
                    self.handle(Event::Message { from, message })?;
                }
                Input::Propose(command, sender) => {
                    self.last_token += 1;
                    lock(&self.pending).insert(self.last_token, sender);
                    let token = self.last_token;
                    proposed.push(Proposed { token, command });
                }
                Input::Learn(learner) => self.handle(Event::Learn(learner))?,
            }
            if proposed.len() >= MAX_BATCH_COMMANDS {
                break;
            }
            next = queue.try_recv().ok();
        }
        if proposed.is_empty() {
            return Ok(());
        }
        self.handle(Event::Propose(proposed))
    }

    /// Passes an event to the node and carries out its actions. Returns an error if the storage failed.
    fn handle(&mut self, event: Event) -> Result<(), Error> {
        let was_leader = self.phase.node.is_leader();
        let actions = self.phase.node.step(clock::now(), event);
        #[cfg(debug_assertions)]
        if let Err(violation) = self.phase.node.check() {
            log::error!(target: "log", violation:% = violation; "an invariant of the log is violated");
        }
        if self.phase.node.is_leader() != was_leader {
            log::info!(target: "log", leads = self.phase.node.is_leader(), term = self.phase.node.term(),
                applied = self.phase.node.applied_index(); "leadership changed");
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
                Action::Halt(error) => return Err(error),
            }
        }
        Ok(())
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
                applied = self.phase.node.applied_index(); "the log's size in memory changed");
            self.logged_bytes = bytes;
        }
    }

    fn publish_status(&mut self) {
        let usage = self.phase.node.log_usage();
        self.log_size(usage);
        let account = &self.replica.account;
        account.set(
            Part::Log,
            usize::try_from(usage.bytes).unwrap_or(usize::MAX),
        );
        account.set(Part::Snapshots, self.phase.node.transfer_bytes());
        let now = clock::now();
        let time_of = |age: Option<Duration>| age.map(|age| now.saturating_sub(age));
        let before = self.replica.status.load();
        let members = if before.members == *self.phase.node.members() {
            before.members.clone()
        } else {
            log::info!(target: "log", members:? = self.phase.node.members(); "members changed");
            self.phase.node.members().clone()
        };
        if before.leader.as_ref() != self.phase.node.leader() {
            log::info!(target: "log", leader:? = self.phase.node.leader(), term = self.phase.node.term();
                "the leader changed");
        }
        let learner = self.phase.node.learner();
        let process = |learner: &Option<Learner>| {
            let learner = learner.as_ref();
            learner.map(|learner| learner.process.clone())
        };
        if before.learner != learner {
            log::info!(target: "log", learner:? = process(&learner),
                caught_up = learner.as_ref().is_some_and(|learner| learner.caught_up);
                "the learner changed");
        }
        self.replica.status.store(Arc::new(Status {
            is_leader: self.phase.node.is_leader(),
            leader: self.phase.node.leader().cloned(),
            term: self.phase.node.term(),
            applied: self.phase.node.applied_index(),
            members,
            has_committed_members: self.phase.node.has_committed_members(),
            voters: self.phase.node.voters(),
            learner,
            confirmed_at: time_of(self.phase.node.staleness(now)),
            heard_at: time_of(self.phase.node.time_since_contact(now)),
            log: usage,
            replied_at: self.phase.node.replied_at(),
            halted: false,
        }));
    }
}
