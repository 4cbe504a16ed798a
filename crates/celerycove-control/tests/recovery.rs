//! Instances whose storage fails for a while.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
    time::Duration,
};

use celerycove_control::{
    Action, Answer, Command, Entry, Event, Message, Node, Options, Storage,
    log::Members,
    node::Proposed,
    storage::{Ballot, Error, PersistentState, Snapshot},
};
use celerycove_types::{Timestamp, id};

const NAMES: [&str; 3] = ["a", "b", "c"];
const TICK: Duration = Duration::from_millis(40);

/// A disk, and whether it is full.
#[derive(Debug, Default)]
struct Content {
    persisted: PersistentState,
    is_full: bool,
}

#[derive(Debug, Clone, Default)]
struct Disk(Arc<Mutex<Content>>);

impl Disk {
    fn set_full(&self, is_full: bool) {
        self.0.lock().expect("a disk").is_full = is_full;
    }

    fn write(&self, change: impl FnOnce(&mut PersistentState)) -> Result<(), Error> {
        let mut content = self.0.lock().expect("a disk");
        if content.is_full {
            return Err(Error {
                operation: "write",
                cause: "the disk is full".to_owned(),
            });
        }
        change(&mut content.persisted);
        Ok(())
    }
}

impl Storage for Disk {
    fn load(&mut self) -> Result<PersistentState, Error> {
        Ok(self.0.lock().expect("a disk").persisted.clone())
    }

    fn save_ballot(&mut self, ballot: &Ballot) -> Result<(), Error> {
        self.write(|persisted| persisted.ballot = Some(ballot.clone()))
    }

    fn append(&mut self, entries: &[Entry]) -> Result<(), Error> {
        self.write(|persisted| {
            for entry in entries {
                persisted
                    .entries
                    .retain(|stored| stored.index < entry.index);
                persisted.entries.push(entry.clone());
            }
        })
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot, tail: &[Entry]) -> Result<(), Error> {
        self.write(|persisted| {
            persisted.snapshot = Some(snapshot.clone());
            persisted.entries = tail.to_vec();
        })
    }
}

/// Three instances; one whose storage failed tries to recover it at each tick.
struct Cluster {
    disks: [Disk; 3],
    nodes: Vec<Option<Node>>,
    queue: VecDeque<(usize, usize, Message)>,
    now: Timestamp,
    answers: BTreeMap<u64, Answer>,
    last_token: u64,
    halts: usize,
}

fn options() -> Options {
    Options {
        heartbeat_interval: Duration::from_millis(120),
        election_timeout: Duration::from_millis(550),
        snapshot_interval: 20,
        ..Options::default()
    }
}

impl Cluster {
    fn new() -> Self {
        let disks: [Disk; 3] = Default::default();
        let members: Members = NAMES.iter().map(|name| id::Process::from(*name)).collect();
        let open = |index: usize| {
            let disk = Box::new(disks[index].clone());
            let (name, seed) = (NAMES[index].into(), index as u64);
            let members = Some(members.clone());
            Node::open(name, members, disk, options(), seed, Timestamp::ZERO).expect("a node")
        };
        Self {
            nodes: (0..3).map(|index| Some(open(index))).collect(),
            disks,
            queue: VecDeque::new(),
            now: Timestamp::ZERO,
            answers: BTreeMap::new(),
            last_token: 0,
            halts: 0,
        }
    }

    fn step(&mut self, index: usize, event: Event) {
        let Some(node) = &mut self.nodes[index] else {
            return;
        };
        let actions = node.step(self.now, event);
        node.check().expect("the invariants hold");
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let to = NAMES.iter().position(|name| *name == &*to);
                    self.queue
                        .push_back((index, to.expect("a member"), message));
                }
                Action::Answer { token, answer } => {
                    self.answers.insert(token, answer);
                }
                Action::Halt(_) => {
                    self.nodes[index] = None;
                    self.halts += 1;
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for (index, name) in NAMES.into_iter().enumerate() {
                if self.nodes[index].is_none() {
                    let disk = Box::new(self.disks[index].clone());
                    let seed = index as u64;
                    let recovered = Node::recover(name.into(), disk, options(), seed, self.now);
                    self.nodes[index] = recovered.ok();
                }
                self.step(index, Event::Tick);
            }
            while let Some((from, to, message)) = self.queue.pop_front() {
                let from = NAMES[from].into();
                self.step(to, Event::Message { from, message });
            }
        }
    }

    /// Proposes a command at the leader, if there is one, and returns its outcome.
    fn propose(&mut self) -> Option<Answer> {
        let leads = |node: &Option<Node>| node.as_ref().is_some_and(Node::is_leader);
        let leader = self.nodes.iter().position(leads)?;
        self.last_token += 1;
        let token = self.last_token;
        let command = Command::Fence;
        let proposed = vec![Proposed { token, command }];
        self.step(leader, Event::Propose(proposed));
        self.run(Duration::from_millis(400));
        self.answers.get(&token).cloned()
    }

    /// Proposes commands one after the other for some seconds; returns the fences of those that are
    /// committed.
    fn commit_for(&mut self, time: Duration) -> Vec<id::FencingToken> {
        let end = self.now + time;
        let mut fences = Vec::new();
        while self.now < end {
            match self.propose() {
                Some(Answer::Fenced(fence)) => fences.push(fence),
                _ => self.run(TICK),
            }
        }
        fences
    }
}

/// Guards against a replica that stops for good after one failed write: the second member to which
/// that happens leaves the log without a majority.
#[test]
fn disks_that_are_full_one_after_the_other_leave_the_log_with_a_majority() {
    let mut cluster = Cluster::new();
    let mut fences = cluster.commit_for(Duration::from_secs(3));
    for index in [0, 1, 2, 0] {
        cluster.disks[index].set_full(true);
        fences.extend(cluster.commit_for(Duration::from_secs(4)));
        cluster.disks[index].set_full(false);
        let served = cluster.commit_for(Duration::from_secs(7));
        assert!(served.len() > 10, "after the disk of {}", NAMES[index]);
        fences.extend(served);
    }
    assert!(cluster.halts >= 4, "each full disk was noticed");
    assert!(
        fences.windows(2).all(|pair| pair[0] < pair[1]),
        "nothing that was acknowledged is forgotten: {fences:?}"
    );
}

/// Guards against a leader that keeps leading without a disk, and against a majority that waits for it.
#[test]
fn while_one_disk_is_full_the_others_commit() {
    for (index, name) in NAMES.into_iter().enumerate() {
        let mut cluster = Cluster::new();
        cluster.commit_for(Duration::from_secs(3));
        cluster.disks[index].set_full(true);
        let served = cluster.commit_for(Duration::from_secs(8));
        assert!(served.len() > 10, "without the disk of {name}");
    }
}
