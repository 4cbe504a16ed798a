//! A cluster with spare instances, whose leader replaces members as the platform's processes do.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use celerycove_control::{
    Action, Answer, Command, Event, Message, Node, Options,
    log::{Members, Term},
    membership::{self, Candidate},
    node::{Proposed, Token},
};
use celerycove_types::{Timestamp, id};

use crate::disk::Disk;

const TICK: Duration = Duration::from_millis(40);
/// How often a leader plans a change of the members.
const ROUND: Duration = Duration::from_millis(200);
/// How long a leader leads before it changes the members.
const MEMBERSHIP_DELAY: Duration = Duration::from_secs(2);
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a machine that lost its disk is away.
const DISK_AWAY: Duration = Duration::from_secs(1);
/// How often a command is proposed.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(200);

/// The state of an instance.
enum Instance {
    Running(Node),
    /// It handles what arrives once it wakes.
    Frozen(Node, VecDeque<(usize, Message)>),
    /// It restarts with an empty disk.
    Away {
        until: Timestamp,
    },
}

/// A lost disk, after a number of steps.
#[derive(Debug, Clone, Copy)]
pub struct Loss {
    pub after: usize,
    pub instance: usize,
}

pub struct Cluster {
    instances: Vec<Instance>,
    members: usize,
    /// Messages in flight, with the indexes of the sender and the receiver. Each takes one tick.
    in_flight: VecDeque<(usize, usize, Message)>,
    pub now: Timestamp,
    /// The number of ticks and messages that the instances have handled.
    pub steps: usize,
    pub losses: Vec<Loss>,
    pub retiring: Option<usize>,
    led_since: BTreeMap<usize, (Term, Timestamp)>,
    last_token: Token,
    /// The largest fencing number that was acknowledged.
    pub acknowledged: u64,
}

fn name(index: usize) -> id::Process {
    format!("{index}").as_str().into()
}

fn index_of(name: &id::Process) -> usize {
    name.parse().expect("an index")
}

fn open_node(index: usize, bootstrap: Option<Members>, now: Timestamp) -> Node {
    let options = Options {
        heartbeat_interval: Duration::from_millis(80),
        election_timeout: Duration::from_millis(320),
        ..Options::default()
    };
    let disk = Box::new(Disk::default());
    Node::open(name(index), bootstrap, disk, options, index as u64, now).expect("a node")
}

impl Cluster {
    /// Creates a cluster with one instance beside its first members, and lets it run until changes of
    /// the members are possible.
    pub fn new(members: usize) -> Self {
        Self::founded(members, members)
    }

    /// Creates a cluster whose log is founded by fewer members than are desired.
    pub fn founded(founders: usize, members: usize) -> Self {
        let names: Members = (0..founders).map(name).collect();
        let instances = (0..=members).map(|index| {
            let bootstrap = (index < founders).then(|| names.clone());
            Instance::Running(open_node(index, bootstrap, Timestamp::ZERO))
        });
        let mut cluster = Self {
            instances: instances.collect(),
            members,
            in_flight: VecDeque::new(),
            now: Timestamp::ZERO,
            steps: 0,
            losses: Vec::new(),
            retiring: None,
            led_since: BTreeMap::new(),
            last_token: 0,
            acknowledged: 0,
        };
        if founders == members {
            cluster.run_for(MEMBERSHIP_DELAY * 2);
            cluster.steps = 0;
        }
        cluster
    }

    /// The running leader with the latest term.
    pub fn leader(&self) -> Option<usize> {
        let leaders = (0..self.instances.len())
            .filter(|index| self.node(*index).is_some_and(Node::is_leader));
        leaders.max_by_key(|index| self.node(*index).map(Node::term))
    }

    /// A running instance.
    pub fn node(&self, index: usize) -> Option<&Node> {
        match &self.instances[index] {
            Instance::Running(node) => Some(node),
            _ => None,
        }
    }

    /// The members, as the leader knows them.
    pub fn members(&self) -> Option<Vec<usize>> {
        let leader = self.node(self.leader()?)?;
        Some(leader.members().iter().map(index_of).collect())
    }

    /// Whether the members are as many as desired, all hold a vote, and no change is under way.
    pub fn is_settled(&self) -> bool {
        let leader = self.leader().and_then(|leader| self.node(leader));
        leader.is_some_and(|leader| {
            leader.members().len() == self.members
                && leader.has_committed_members()
                && leader.members().is_subset(&leader.voters())
        })
    }

    pub fn freeze(&mut self, index: usize) {
        self.replace(index, |instance| match instance {
            Instance::Running(node) => Instance::Frozen(node, VecDeque::new()),
            other => other,
        });
    }

    pub fn wake(&mut self, index: usize) {
        let mut missed = VecDeque::new();
        self.replace(index, |instance| match instance {
            Instance::Frozen(node, messages) => {
                missed = messages;
                Instance::Running(node)
            }
            other => other,
        });
        for (from, message) in missed {
            self.step(
                index,
                Event::Message {
                    from: name(from),
                    message,
                },
            );
        }
    }

    fn replace(&mut self, index: usize, change: impl FnOnce(Instance) -> Instance) {
        let away = Instance::Away {
            until: Timestamp::MAX,
        };
        let instance = std::mem::replace(&mut self.instances[index], away);
        self.instances[index] = change(instance);
    }

    /// Runs until the time has passed.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until a condition is met; false if that takes too long.
    pub fn run_until(&mut self, timeout: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + timeout;
        while !condition(self) {
            if self.now >= end {
                return false;
            }
            self.tick();
        }
        true
    }

    fn tick(&mut self) {
        self.now += TICK;
        for (from, to, message) in std::mem::take(&mut self.in_flight) {
            match &mut self.instances[to] {
                Instance::Running(_) => {
                    let from = name(from);
                    self.step(to, Event::Message { from, message });
                }
                Instance::Frozen(_, missed) => missed.push_back((from, message)),
                Instance::Away { .. } => {}
            }
        }
        for index in 0..self.instances.len() {
            if matches!(self.instances[index], Instance::Away { until } if self.now >= until) {
                self.instances[index] = Instance::Running(open_node(index, None, self.now));
            }
            self.step(index, Event::Tick);
        }
        let ticks = self.now.as_millis() / TICK.as_millis();
        if ticks.is_multiple_of(ROUND.as_millis() / TICK.as_millis()) {
            for index in 0..self.instances.len() {
                self.change_members(index);
            }
        }
        if ticks.is_multiple_of(PROPOSAL_INTERVAL.as_millis() / TICK.as_millis())
            && let Some(leader) = self.leader()
        {
            self.propose(leader, Command::Fence);
        }
    }

    fn propose(&mut self, index: usize, command: Command) {
        self.last_token += 1;
        let token = self.last_token;
        self.step(index, Event::Propose(vec![Proposed { token, command }]));
    }

    /// Has an instance handle an event, then takes away the disks that are lost after this step.
    fn step(&mut self, index: usize, event: Event) {
        let Instance::Running(node) = &mut self.instances[index] else {
            return;
        };
        let actions = node.step(self.now, event);
        node.check().expect("an intact node");
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    self.in_flight.push_back((index, index_of(&to), message));
                }
                Action::Answer {
                    answer: Answer::Fenced(fence),
                    ..
                } => {
                    self.acknowledged = self.acknowledged.max(fence);
                }
                Action::Answer { .. } => {}
                Action::Halt(error) => panic!("the disk of {index} failed: {error}"),
            }
        }
        self.steps += 1;
        let steps = self.steps;
        let lost = self.losses.extract_if(.., |loss| loss.after <= steps);
        for loss in lost.collect::<Vec<_>>() {
            self.lose_disk(loss.instance);
        }
    }

    fn lose_disk(&mut self, index: usize) {
        self.instances[index] = Instance::Away {
            until: self.now + DISK_AWAY,
        };
        self.in_flight
            .retain(|(from, to, _)| *from != index && *to != index);
        self.led_since.remove(&index);
    }

    /// Plans and proposes a change of the members, if the instance has led for long enough.
    fn change_members(&mut self, index: usize) {
        let term = self
            .node(index)
            .filter(|node| node.is_leader())
            .map(Node::term);
        let Some(term) = term else {
            self.led_since.remove(&index);
            return;
        };
        let (led_term, since) = *self.led_since.entry(index).or_insert((term, self.now));
        if led_term != term {
            self.led_since.remove(&index);
            return;
        }
        if self.now < since + MEMBERSHIP_DELAY {
            return;
        }
        let Some(node) = self.node(index) else {
            return;
        };
        let (members, voters, learner) = (node.members().clone(), node.voters(), node.learner());
        let replied_at = node.replied_at();
        // A frozen instance keeps its connections, so that only its replica is seen to be silent.
        let silence = |other: usize| match &self.instances[other] {
            Instance::Away { until } => DISK_AWAY.saturating_sub(until.saturating_sub(self.now)),
            _ => Duration::ZERO,
        };
        let candidates = (0..self.instances.len()).map(|other| {
            let replied_at = replied_at.get(&name(other)).copied();
            let replica_silence =
                replied_at.map_or(Duration::ZERO, |at| self.now.saturating_sub(at));
            let candidate = Candidate {
                data_centre: "x".into(),
                silent_for: silence(other).max(replica_silence),
                retiring: self.retiring == Some(other),
            };
            (name(other), candidate)
        });
        let candidates: BTreeMap<id::Process, Candidate> = candidates.collect();
        let current = membership::Current {
            members: &members,
            voters: &voters,
            learner: learner.as_ref(),
        };
        let options = membership::Options {
            target: self.members,
            silence_timeout: SILENCE_TIMEOUT,
        };
        let plan = membership::plan(&name(index), current, &candidates, options);
        self.step(index, Event::Learn(plan.learner));
        if let Some(members) = plan.members {
            self.propose(index, Command::Members(members));
        }
    }
}
