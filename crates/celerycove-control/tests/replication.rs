//! A follower that lost its disk, and followers that lag, in a net that delivers everything.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use celerycove_control::{
    Action, Command, Entry, Event, Message, Node, Options, Storage,
    log::Members,
    node::Proposed,
    storage::{Ballot, Durable, Error, Snapshot},
};
use celerycove_types::{Timestamp, id};

const NAMES: [&str; 3] = ["a", "b", "c"];
const TICK: Duration = Duration::from_millis(40);

#[derive(Debug, Clone, Default)]
struct Disk(Arc<Mutex<Durable>>);

impl Storage for Disk {
    fn load(&mut self) -> Result<Durable, Error> {
        Ok(self.0.lock().expect("a disk").clone())
    }

    fn save_ballot(&mut self, ballot: &Ballot) -> Result<(), Error> {
        self.0.lock().expect("a disk").ballot = Some(ballot.clone());
        Ok(())
    }

    fn append(&mut self, entries: &[Entry]) -> Result<(), Error> {
        let mut durable = self.0.lock().expect("a disk");
        for entry in entries {
            durable.entries.retain(|known| known.index < entry.index);
            durable.entries.push(entry.clone());
        }
        Ok(())
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot, tail: &[Entry]) -> Result<(), Error> {
        let mut durable = self.0.lock().expect("a disk");
        durable.snapshot = Some(snapshot.clone());
        durable.entries = tail.to_vec();
        Ok(())
    }
}

struct Net {
    nodes: Vec<Option<Node>>,
    queue: VecDeque<(usize, usize, Message)>,
    now: Timestamp,
    delivered: usize,
    entries: usize,
}

fn open(at: usize, bootstrap: bool, now: Timestamp) -> Node {
    let members: Members = NAMES.iter().map(|name| id::Process::from(*name)).collect();
    let options = Options {
        heartbeat: Duration::from_millis(120),
        election: Duration::from_millis(550),
        snapshot_after: 100_000,
    };
    let bootstrap = bootstrap.then_some(members);
    let disk = Box::new(Disk::default());
    Node::open(NAMES[at].into(), bootstrap, disk, options, at as u64, now).expect("a node")
}

impl Net {
    fn new() -> Self {
        let nodes = (0..3).map(|at| Some(open(at, true, Timestamp::ZERO)));
        Self {
            nodes: nodes.collect(),
            queue: VecDeque::new(),
            now: Timestamp::ZERO,
            delivered: 0,
            entries: 0,
        }
    }

    fn act(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            if let Action::Send { to, message } = action {
                let to = NAMES.iter().position(|name| *name == to.as_ref());
                self.queue.push_back((from, to.expect("a member"), message));
            }
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        if let Some(node) = &mut self.nodes[at] {
            let actions = node.step(self.now, event);
            node.check().expect("an intact node");
            self.act(at, actions);
        }
    }

    /// Lets `ticks` pass and delivers at most `most` messages in each.
    fn run(&mut self, ticks: usize, most: usize) {
        for _ in 0..ticks {
            self.now += TICK;
            for at in 0..3 {
                self.step(at, Event::Tick);
            }
            for _ in 0..most {
                let Some((from, to, message)) = self.queue.pop_front() else {
                    break;
                };
                self.delivered += 1;
                if let celerycove_control::message::Body::Append { entries, .. } = &message.body {
                    self.entries += entries.len();
                }
                let from = NAMES[from].into();
                self.step(to, Event::Message { from, message });
            }
        }
    }

    fn leader(&self) -> usize {
        let leads = |node: &Option<Node>| node.as_ref().is_some_and(Node::is_leader);
        self.nodes.iter().position(leads).expect("a leader")
    }

    fn propose(&mut self, count: u64) {
        let leader = self.leader();
        for token in 0..count {
            let command = Command::Fence;
            self.step(leader, Event::Propose(vec![Proposed { token, command }]));
        }
    }

    fn fences(&self, at: usize) -> Option<u64> {
        self.nodes[at].as_ref().map(|node| node.state().fence)
    }
}

#[test]
fn a_follower_that_lost_its_disk_is_caught_up_by_the_same_leader() {
    let mut net = Net::new();
    net.run(100, 1_000);
    net.propose(500);
    net.run(20, 10_000);
    let leader = net.leader();
    let wiped = (leader + 1) % 3;
    assert_eq!(net.fences(wiped), Some(500));
    net.nodes[wiped] = Some(open(wiped, false, net.now));
    let before = net.delivered;
    net.run(25, 10_000);
    assert_eq!(net.leader(), leader);
    assert_eq!(net.fences(wiped), Some(500));
    // A second of heartbeats among three, and the log once: nothing goes back and forth.
    assert!(net.delivered - before < 200, "{}", net.delivered - before);
}

#[test]
fn a_refusal_resends_the_log_once_whatever_is_under_way() {
    let mut net = Net::new();
    net.run(100, 1_000);
    let leader = net.leader();
    let wiped = (leader + 1) % 3;
    net.propose(200);
    net.run(20, 10_000);
    net.nodes[wiped] = Some(open(wiped, false, net.now));
    // All of these are on their way before the first refusal comes back.
    net.propose(200);
    let before = net.entries;
    net.run(25, 10_000);
    assert_eq!(net.fences(wiped), Some(400));
    assert!(net.entries - before < 1_200, "{}", net.entries - before);
}

#[test]
fn a_follower_that_was_caught_up_by_the_log_alone_has_a_vote() {
    let mut net = Net::new();
    net.run(100, 1_000);
    net.propose(50);
    net.run(20, 10_000);
    let leader = net.leader();
    let wiped = (leader + 1) % 3;
    net.nodes[wiped] = Some(open(wiped, false, net.now));
    net.run(25, 10_000);
    assert_eq!(net.fences(wiped), Some(50));
    // Now the leader loses its disk as well, and the two others are a majority.
    net.nodes[leader] = Some(open(leader, false, net.now));
    net.run(100, 10_000);
    assert_ne!(net.leader(), leader);
    for at in 0..3 {
        assert_eq!(net.fences(at), Some(50), "node {at}");
    }
}
