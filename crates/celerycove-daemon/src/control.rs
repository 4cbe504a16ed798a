//! Runs an instance of the control log on a thread of its own, since syncing a disk blocks.

pub mod lead;

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use celerycove_control::{
    Action, Answer, Command, Event, Message, Node, Options,
    log::{Members, Term},
    node::{Proposed, Token},
};
use celerycove_disk::Store;
use celerycove_types::id;
use tokio::sync::oneshot;

use crate::{
    control::lead::Lead,
    peer::{Parcel, Peers},
    process::Process,
    share::Share,
};

/// How often the instance is told that time passed.
const TICK: Duration = Duration::from_millis(20);
/// How many commands are committed together.
const TOGETHER: usize = 256;

/// Why an instance could not begin.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Its files can't be used.
    #[error(transparent)]
    Storage(#[from] celerycove_control::storage::Error),
    /// Its thread can't be started.
    #[error("could not start the thread of the control log")]
    Thread(#[source] std::io::Error),
}

/// What the instance is asked to do.
enum Input {
    Messages(id::Process, Vec<Message>),
    Propose(Command, oneshot::Sender<Answer>),
}

/// What others may know of the instance.
#[derive(Debug, Clone, Default)]
pub struct Summary {
    /// Whether it leads.
    pub leads: bool,
    /// Who leads, as far as it knows.
    pub leader: Option<id::Process>,
    /// The latest term seen.
    pub term: Term,
    /// The instances that agree on the log.
    pub members: Members,
    /// Whether its disk has failed.
    pub halted: bool,
}

/// The way to the instance of this process.
pub struct Control {
    inputs: Sender<Input>,
    summary: ArcSwap<Summary>,
}

impl Control {
    /// Opens the instance's files and starts its thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the files are damaged or can't be read.
    pub fn start(
        process: &Arc<Process>,
        share: &Arc<Share>,
        peers: &Arc<Peers>,
        bootstrap: bool,
    ) -> Result<Arc<Self>, Error> {
        let settings = &process.settings;
        let data = settings.process.data.clone().unwrap_or_default();
        let store = Store::new(data.join("control"))?;
        let members: Members = settings
            .process
            .control
            .iter()
            .map(|peer| peer.name.as_str().into())
            .collect();
        // Alone, an instance has nobody who could know more than its own disk.
        let first = (bootstrap || members.len() == 1).then_some(members);
        let options = settings
            .control
            .as_ref()
            .map_or_else(Options::default, |control| Options {
                heartbeat: control.heartbeat.0,
                election: control.election.0,
                ..Options::default()
            });
        let node = Node::open(
            process.name.clone(),
            first,
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
            lead: Lead::new(process.clone(), share.clone()),
            process: process.clone(),
            share: share.clone(),
            peers: peers.clone(),
            control: control.clone(),
            waiting: BTreeMap::new(),
            next: 0,
            runtime: tokio::runtime::Handle::current(),
        };
        std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || driver.run(&receiver))
            .map_err(Error::Thread)?;
        Ok(control)
    }

    /// Hands messages of another instance over.
    pub fn deliver(&self, from: id::Process, messages: Vec<Message>) {
        // The thread ends only with the process or its disk; the messages are lost then.
        let _ = self.inputs.send(Input::Messages(from, messages));
    }

    /// Commits a command.
    pub async fn propose(&self, command: Command) -> Answer {
        let (sender, receiver) = oneshot::channel();
        if self.inputs.send(Input::Propose(command, sender)).is_err() {
            return Answer::NotLeader(None);
        }
        receiver.await.unwrap_or(Answer::Unknown)
    }

    /// What is known of the instance.
    pub fn summary(&self) -> Arc<Summary> {
        self.summary.load_full()
    }
}

struct Driver {
    node: Node,
    lead: Lead,
    process: Arc<Process>,
    share: Arc<Share>,
    peers: Arc<Peers>,
    control: Arc<Control>,
    waiting: BTreeMap<Token, oneshot::Sender<Answer>>,
    next: Token,
    runtime: tokio::runtime::Handle,
}

impl Driver {
    fn run(mut self, inputs: &Receiver<Input>) {
        let runtime = self.runtime.clone();
        let _entered = runtime.enter();
        loop {
            match inputs.recv_timeout(TICK) {
                Ok(input) => self.take(input, inputs),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if !self.step(Event::Tick) {
                return;
            }
            self.publish();
        }
    }

    /// Takes an input and all others that wait, so that their commands share one sync.
    fn take(&mut self, first: Input, inputs: &Receiver<Input>) {
        let mut proposed = Vec::new();
        let waiting = std::iter::from_fn(|| inputs.try_recv().ok());
        for input in std::iter::once(first).chain(waiting.take(TOGETHER)) {
            match input {
                Input::Messages(from, messages) => {
                    for message in messages {
                        let from = from.clone();
                        self.step(Event::Message { from, message });
                    }
                }
                Input::Propose(command, answer) => {
                    self.next += 1;
                    let token = self.next;
                    self.waiting.insert(token, answer);
                    proposed.push(Proposed { token, command });
                }
            }
        }
        if !proposed.is_empty() {
            self.step(Event::Propose(proposed));
        }
    }

    /// Takes one step; false if the instance has stepped aside.
    fn step(&mut self, event: Event) -> bool {
        for action in self.node.step(self.process.now(), event) {
            match action {
                Action::Send { to, message } => self.peers.send(&to, Parcel::Control(message)),
                Action::Answer { token, answer } => {
                    if let Some(waiting) = self.waiting.remove(&token) {
                        // Who no longer waits needs no answer.
                        let _ = waiting.send(answer);
                    }
                }
                Action::Halt(error) => {
                    log::error!(target: "control", error:% = error; "the instance steps aside");
                    self.control.summary.rcu(|summary| Summary {
                        leads: false,
                        halted: true,
                        ..Summary::clone(summary)
                    });
                    return false;
                }
            }
        }
        debug_assert_eq!(self.node.check(), Ok(()));
        true
    }

    fn publish(&mut self) {
        let now = self.process.now();
        let summary = Summary {
            leads: self.node.is_leader(),
            leader: self.node.leader().cloned(),
            term: self.node.term(),
            members: self.node.members().clone(),
            halted: false,
        };
        let known = self.control.summary.load();
        if known.leads != summary.leads || known.term != summary.term {
            log::info!(target: "control", term = summary.term, leads = summary.leads;
                "the instance's role or term changed");
        }
        let changed = known.leads != summary.leads
            || known.leader != summary.leader
            || known.term != summary.term
            || known.members != summary.members;
        drop(known);
        if changed {
            self.control.summary.store(Arc::new(summary));
        }
        if let Some(age) = self.node.freshness(now) {
            let confirmed = now.checked_sub(age);
            let state = self.node.state();
            self.share
                .mirror(self.node.feed(), &state.placement, confirmed);
        }
        let moves = self.lead.duties(now, &self.node);
        if !moves.is_empty() {
            self.next += 1;
            let token = self.next;
            let command = Command::Place(moves);
            self.step(Event::Propose(vec![Proposed { token, command }]));
        }
    }
}
