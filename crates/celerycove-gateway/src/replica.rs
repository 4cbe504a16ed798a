//! Runs the local replica of a replicated log: passes it time, messages and proposals, and carries
//! out the actions that it returns.

mod runner;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use celerycove_control::{
    Answer, Entry, Message, Node, Options, State,
    log::{Command, Members, Usage},
    membership::{self, Learner},
    message::Body,
    storage::{Error, Storage},
};
use celerycove_types::{Timestamp, id};
use tokio::sync::{mpsc, oneshot};

use crate::{
    clock,
    link::Connections,
    memory::{Account, Part, Room},
};

/// How often a caller that waits for the confirmation of the leader checks for it.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(15);
/// The most messages and proposals that wait for the replica.
const INPUT_QUEUE_LEN: usize = 4_096;

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
    Learn(Option<id::Process>),
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
    /// On the leader: the members, and the learner, that have a vote.
    pub voters: Members,
    /// On the leader: the instance that it brings up to date.
    pub learner: Option<Learner>,
    /// On the leader: the latest time at which a quorum confirmed that it leads, so that its state
    /// was the newest then.
    pub confirmed_at: Option<Timestamp>,
    /// When the last message arrived from a quorum (on the leader) or from the leader (on a
    /// follower).
    pub heard_at: Option<Timestamp>,
    /// How much the log holds in memory.
    pub log: Usage,
    /// On the leader: when each of the other members, and the learner, last replied to it.
    pub replied_at: BTreeMap<id::Process, Timestamp>,
    /// Whether the replica takes no part in the log, since its storage failed and is not recovered.
    pub halted: bool,
}

impl Status {
    /// What the leader knows of the members.
    #[must_use]
    pub fn current(&self) -> membership::Current<'_> {
        membership::Current {
            members: &self.members,
            voters: &self.voters,
            learner: self.learner.as_ref(),
        }
    }
}

/// Called with the state and its index after entries were applied.
pub type ApplyCallback = Box<dyn Fn(&State, u64) + Send>;

/// Opens the storage of a log, at the start and after each failure.
pub type OpenStorage = Box<dyn Fn() -> Result<Box<dyn Storage>, Error> + Send>;

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
    /// If the storage fails later, the replica takes no part in the log until its storage is recovered.
    ///
    /// # Errors
    ///
    /// Returns an error if the storage can't be read.
    pub fn open(
        me: id::Process,
        initial_members: Option<Members>,
        open_storage: OpenStorage,
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
        let storage = open_storage()?;
        let now = clock::now();
        let node = Node::open(me.clone(), initial_members, storage, options, seed, now)?;
        let (inputs, queue) = mpsc::channel(INPUT_QUEUE_LEN);
        let replica = Arc::new(Self {
            inputs,
            account,
            status: ArcSwap::from_pointee(Status::default()),
        });
        on_applied(node.state(), node.applied_index());
        let log = runner::Log {
            me,
            options,
            open_storage,
        };
        tokio::spawn(runner::run(
            node,
            log,
            connections,
            on_applied,
            replica.clone(),
            queue,
        ));
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

    /// Carries out a planned step: names the instance to bring up to date, and proposes the change of
    /// the members, if there is one. `log` names the log in the process's log lines.
    pub async fn change_members(&self, plan: membership::Plan, log: &str, timeout: Duration) {
        let status = self.status();
        let learner = status.learner.as_ref().map(|learner| &learner.process);
        if plan.learner.as_ref() != learner {
            log::info!(target: "place", log, before:? = learner, after:? = plan.learner,
                voters:? = status.voters;
                "changing the instance that is brought up to date");
            // The replica has stopped if nobody receives the input.
            let _ = self.inputs.send(Input::Learn(plan.learner)).await;
        }
        if let Some(members) = plan.members {
            log::info!(target: "place", log, before:? = status.members, after:? = members,
                voters:? = status.voters;
                "changing the members of a log");
            self.propose(Command::Members(members), timeout).await;
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
