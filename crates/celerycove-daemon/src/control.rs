//! Runs an instance of the control log on a dedicated thread, because syncing its files blocks.

pub mod leader;

use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use celerycove_control::{
    Action, Answer, Command, Event, Message, Node, Options,
    log::{Members, Term},
    node::{NOT_CAUGHT_UP, Proposed, Token},
    storage,
};
use celerycove_disk::Store;
use celerycove_types::id;
use tokio::sync::oneshot;

use crate::{
    control::leader::Maintenance,
    peer::{self, Peers},
    process::Process,
    state::SharedState,
};

/// Longest time between two tick events of the instance.
const TICK: Duration = Duration::from_millis(20);
/// Maximum number of queued inputs that are processed together, after the first one.
const MAX_BATCH: usize = 256;
/// How often an instance whose storage failed tries to recover it.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(500);
/// How long an operator's request to add a member waits until that instance is up to date.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(3);
/// How often such a request checks whether it is.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(100);

/// An error that prevents the instance from starting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The files of the log can't be read or are damaged.
    #[error(transparent)]
    Storage(#[from] storage::Error),
    /// The thread can't be spawned.
    #[error("could not spawn the control log thread")]
    Thread(#[source] std::io::Error),
}

/// An input for the thread of the instance.
enum Input {
    Messages(id::Process, Vec<Message>),
    Propose(Command, oneshot::Sender<Answer>),
    Learn(id::Process),
}

/// Status of the instance, for the rest of the process.
#[derive(Debug, Clone, Default)]
pub struct Summary {
    /// Whether the instance is the leader.
    pub leads: bool,
    /// The leader, if the instance knows one.
    pub leader: Option<id::Process>,
    /// The latest term that the instance has seen.
    pub term: Term,
    /// The voting members of the log.
    pub members: Members,
    /// Whether the instance takes no part in the log, since its storage failed and is not recovered.
    pub halted: bool,
}

/// Handle to the control log instance of this process.
pub struct Control {
    inputs: Sender<Input>,
    summary: ArcSwap<Summary>,
}

impl Control {
    /// Opens the files of the instance and spawns its thread.
    ///
    /// `bootstrap` lets empty storage become a voter of a new deployment.
    ///
    /// # Errors
    ///
    /// Returns an error if the files are damaged or can't be read, or if the thread can't be
    /// spawned.
    pub fn start(
        process: &Arc<Process>,
        state: &Arc<SharedState>,
        peers: &Arc<Peers>,
        bootstrap: bool,
    ) -> Result<Arc<Self>, Error> {
        let settings = &process.settings;
        let data = settings.process.data_dir.clone().unwrap_or_default();
        let directory = data.join("control");
        let store = Store::new(directory.clone())?;
        let members: Members = settings
            .process
            .control
            .iter()
            .map(|peer| peer.name.as_str().into())
            .collect();
        // A single-member log may bootstrap by itself: no other member can have newer state.
        let initial_members = (bootstrap || members.len() == 1).then_some(members);
        let options = settings
            .control
            .as_ref()
            .map_or_else(Options::default, |control| Options {
                heartbeat_interval: control.heartbeat_interval.0,
                election_timeout: control.election_timeout.0,
                ..Options::default()
            });
        let node = Node::open(
            process.name.clone(),
            initial_members,
            Box::new(store),
            options,
            process.incarnation,
            process.now(),
        )?;
        let (inputs, receiver) = channel();
        let control = Arc::new(Self {
            inputs,
            summary: ArcSwap::default(),
        });
        let driver = Driver {
            node,
            directory,
            options,
            maintenance: Maintenance::new(process.clone(), state.clone()),
            process: process.clone(),
            state: state.clone(),
            peers: peers.clone(),
            control: control.clone(),
            pending: BTreeMap::new(),
            last_token: 0,
            runtime: tokio::runtime::Handle::current(),
        };
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || driver.run(&receiver))
            .map_err(Error::Thread)?;
        Ok(control)
    }

    /// Queues messages from another instance.
    pub fn deliver(&self, from: id::Process, messages: Vec<Message>) {
        // The thread ends only with the process; the messages are lost then.
        let _ = self.inputs.send(Input::Messages(from, messages));
    }

    /// Proposes a command and waits for its outcome.
    pub async fn propose(&self, command: Command) -> Answer {
        let (sender, receiver) = oneshot::channel();
        if self.inputs.send(Input::Propose(command, sender)).is_err() {
            return Answer::NotLeader(None);
        }
        receiver.await.unwrap_or(Answer::Unknown)
    }

    /// Has the leader bring an instance up to date, and then proposes the members with it. Returns the
    /// refusal if that takes too long.
    pub async fn add_member(&self, process: &id::Process) -> Answer {
        let deadline = Instant::now() + CATCH_UP_TIMEOUT;
        loop {
            // The thread ends only with the process.
            let _ = self.inputs.send(Input::Learn(process.clone()));
            let mut members = self.summary().members.clone();
            members.insert(process.clone());
            let answer = self.propose(Command::Members(members)).await;
            if answer != Answer::Refused(NOT_CAUGHT_UP) || Instant::now() >= deadline {
                return answer;
            }
            tokio::time::sleep(CATCH_UP_INTERVAL).await;
        }
    }

    /// Returns the latest status of the instance.
    pub fn summary(&self) -> Arc<Summary> {
        self.summary.load_full()
    }
}

/// Owns the instance on its thread and carries out its actions.
struct Driver {
    node: Node,
    /// Where the files of the instance are.
    directory: PathBuf,
    options: Options,
    maintenance: Maintenance,
    process: Arc<Process>,
    state: Arc<SharedState>,
    peers: Arc<Peers>,
    control: Arc<Control>,
    pending: BTreeMap<Token, oneshot::Sender<Answer>>,
    last_token: Token,
    runtime: tokio::runtime::Handle,
}

impl Driver {
    fn run(mut self, inputs: &Receiver<Input>) {
        let runtime = self.runtime.clone();
        let _entered = runtime.enter();
        loop {
            let processed = match inputs.recv_timeout(TICK) {
                Ok(input) => self.process_inputs(input, inputs),
                Err(RecvTimeoutError::Timeout) => Ok(()),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let stepped = processed.and_then(|()| self.step(Event::Tick));
            let maintained = stepped.and_then(|()| self.publish_and_maintain());
            if let Err(error) = maintained
                && !self.recover(&error, inputs)
            {
                return;
            }
        }
    }

    /// Opens the instance anew after its storage failed, as soon as that succeeds. Until then it rejects
    /// proposals and drops messages. Returns false if the process ends before.
    fn recover(&mut self, error: &storage::Error, inputs: &Receiver<Input>) -> bool {
        log::error!(target: "control", error:% = error;
            "the storage of the control log failed; the instance takes no part until it is recovered");
        self.pending.clear();
        self.control.summary.rcu(|summary| Summary {
            leads: false,
            halted: true,
            ..Summary::clone(summary)
        });
        loop {
            let retry_at = Instant::now() + RECOVERY_INTERVAL;
            while let Some(left) = retry_at.checked_duration_since(Instant::now()) {
                match inputs.recv_timeout(left) {
                    Ok(Input::Propose(_, sender)) => {
                        // The proposer may have stopped waiting.
                        let _ = sender.send(Answer::NotLeader(None));
                    }
                    Ok(Input::Messages(..) | Input::Learn(_)) | Err(RecvTimeoutError::Timeout) => {}
                    Err(RecvTimeoutError::Disconnected) => return false,
                }
            }
            let opened = Store::new(self.directory.clone()).and_then(|store| {
                let (name, now) = (self.process.name.clone(), self.process.now());
                let seed = self.process.incarnation;
                Node::recover(name, Box::new(store), self.options, seed, now)
            });
            match opened {
                Ok(node) => {
                    self.node = node;
                    log::info!(target: "control", term = self.node.term();
                        "the storage of the control log is recovered; the instance takes part again");
                    return true;
                }
                Err(error) => log::warn!(target: "control", error:% = error;
                    "could not recover the storage of the control log"),
            }
        }
    }

    /// Processes an input and those queued behind it, so that their commands share one disk sync.
    fn process_inputs(
        &mut self,
        first: Input,
        inputs: &Receiver<Input>,
    ) -> Result<(), storage::Error> {
        let mut proposals = Vec::new();
        let queued = std::iter::from_fn(|| inputs.try_recv().ok());
        for input in std::iter::once(first).chain(queued.take(MAX_BATCH)) {
            match input {
                Input::Messages(from, messages) => {
                    for message in messages {
                        let from = from.clone();
                        self.step(Event::Message { from, message })?;
                    }
                }
                Input::Propose(command, sender) => {
                    self.last_token += 1;
                    let token = self.last_token;
                    self.pending.insert(token, sender);
                    proposals.push(Proposed { token, command });
                }
                Input::Learn(process) => self.step(Event::Learn(Some(process)))?,
            }
        }
        if proposals.is_empty() {
            return Ok(());
        }
        self.step(Event::Propose(proposals))
    }

    /// Passes one event to the instance and carries out the resulting actions. Returns an error if its
    /// storage failed.
    fn step(&mut self, event: Event) -> Result<(), storage::Error> {
        for action in self.node.step(self.process.now(), event) {
            match action {
                Action::Send { to, message } => {
                    self.peers.send(&to, peer::Message::Control(message));
                }
                Action::Answer { token, answer } => {
                    if let Some(sender) = self.pending.remove(&token) {
                        // The caller may have stopped waiting.
                        let _ = sender.send(answer);
                    }
                }
                Action::Halt(error) => return Err(error),
            }
        }
        debug_assert_eq!(self.node.check(), Ok(()));
        Ok(())
    }

    /// Publishes status and state to the rest of the process, then runs the leader's maintenance.
    fn publish_and_maintain(&mut self) -> Result<(), storage::Error> {
        let now = self.process.now();
        let summary = Summary {
            leads: self.node.is_leader(),
            leader: self.node.leader().cloned(),
            term: self.node.term(),
            members: self.node.members().clone(),
            halted: false,
        };
        let previous = self.control.summary.load();
        if previous.leads != summary.leads || previous.term != summary.term {
            log::info!(target: "control", term = summary.term, leads = summary.leads;
                "control log role or term changed");
        }
        let changed = previous.leads != summary.leads
            || previous.leader != summary.leader
            || previous.term != summary.term
            || previous.members != summary.members
            || previous.halted;
        drop(previous);
        if changed {
            self.control.summary.store(Arc::new(summary));
        }
        if let Some(age) = self.node.staleness(now) {
            let confirmed = now.checked_sub(age);
            let state = self.node.state();
            self.state
                .mirror(self.node.feed(), &state.placement, confirmed);
        }
        let placement_changes = self.maintenance.run(now, &self.node);
        if placement_changes.is_empty() {
            return Ok(());
        }
        self.last_token += 1;
        let token = self.last_token;
        let command = Command::Place(placement_changes);
        self.step(Event::Propose(vec![Proposed { token, command }]))
    }
}
