//! A follower that lost its disk, and followers that lag, in a net that delivers everything.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use celerycove_control::{
    Action, Command, Entry, Event, Message, Node, Options, Storage,
    log::Members,
    message::Body,
    node::Proposed,
    storage::{Ballot, Durable, Error, Snapshot},
};
use celerycove_turn::{End, Keep};
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
    /// Bytes of the snapshots' parts that were delivered, and the longest part.
    parts: (usize, usize),
    /// Every so many messages one is lost.
    loses: Option<usize>,
}

const KEEPS_ALL: u64 = 100_000;

fn open(at: usize, bootstrap: bool, now: Timestamp) -> Node {
    open_with(at, bootstrap, now, KEEPS_ALL)
}

fn open_with(at: usize, bootstrap: bool, now: Timestamp, snapshot_after: u64) -> Node {
    let members: Members = NAMES.iter().map(|name| id::Process::from(*name)).collect();
    let options = Options {
        heartbeat: Duration::from_millis(120),
        election: Duration::from_millis(550),
        snapshot_after,
    };
    let bootstrap = bootstrap.then_some(members);
    let disk = Box::new(Disk::default());
    Node::open(NAMES[at].into(), bootstrap, disk, options, at as u64, now).expect("a node")
}

impl Net {
    fn new() -> Self {
        Self::with_snapshots(KEEPS_ALL)
    }

    fn with_snapshots(after: u64) -> Self {
        let nodes = (0..3).map(|at| Some(open_with(at, true, Timestamp::ZERO, after)));
        Self {
            nodes: nodes.collect(),
            queue: VecDeque::new(),
            now: Timestamp::ZERO,
            delivered: 0,
            entries: 0,
            parts: (0, 0),
            loses: None,
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
                if let Body::Install { part, .. } = &message.body {
                    self.parts = (self.parts.0 + part.len(), self.parts.1.max(part.len()));
                }
                let lost = self
                    .loses
                    .is_some_and(|every| self.delivered.is_multiple_of(every));
                if lost {
                    continue;
                }
                if let Body::Append { entries, .. } = &message.body {
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

    /// Keeps turns with texts of 1,000 bytes.
    fn keep_turns(&mut self, count: u64) {
        let leader = self.leader();
        for token in 0..count {
            let command = Command::Turn(celerycove_turn::Command::End(End {
                at: 1,
                request: format!("turn-{token}").into(),
                organisation: "o".into(),
                program: None,
                spent: 0,
                keep: Some(Keep {
                    previous: None,
                    text: vec![0; 1_000].into(),
                }),
                retention: Duration::from_mins(1),
            }));
            self.step(leader, Event::Propose(vec![Proposed { token, command }]));
        }
    }

    fn kept(&self, at: usize) -> Option<usize> {
        self.nodes[at]
            .as_ref()
            .map(|node| node.state().turns.size().0)
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

/// Loses a follower's disk after the leader's log no longer goes back to its beginning.
fn lose_behind_a_snapshot(net: &mut Net) -> usize {
    net.run(100, 1_000);
    net.keep_turns(2_000);
    net.run(50, 10_000);
    let lost = (net.leader() + 1) % 3;
    net.nodes[lost] = Some(open_with(lost, false, net.now, 1_000));
    lost
}

#[test]
fn a_snapshot_goes_in_parts_that_other_messages_pass_between() {
    let mut net = Net::with_snapshots(1_000);
    let lost = lose_behind_a_snapshot(&mut net);
    net.run(200, 1_000);
    assert_eq!(net.kept(lost), Some(2_000));
    // 2,000 texts of 1,000 bytes with their names, sent once.
    assert!(
        (2_000_000..2_500_000).contains(&net.parts.0),
        "{:?}",
        net.parts
    );
    assert!(net.parts.1 <= 64 << 10, "{:?}", net.parts);
}

#[test]
fn a_snapshot_is_sent_once_over_a_link_on_which_it_takes_long() {
    let mut net = Net::with_snapshots(1_000);
    let lost = lose_behind_a_snapshot(&mut net);
    // Eight messages in a tick of 40 ms, heartbeats included: the snapshot takes seconds.
    net.run(2_000, 8);
    assert_eq!(net.kept(lost), Some(2_000));
    assert!(net.parts.0 < 2_500_000, "{:?}", net.parts);
}

#[test]
fn a_snapshot_gets_through_though_parts_of_it_are_lost() {
    let mut net = Net::with_snapshots(1_000);
    let lost = lose_behind_a_snapshot(&mut net);
    net.loses = Some(7);
    net.run(2_000, 1_000);
    assert_eq!(net.kept(lost), Some(2_000));
}

#[test]
fn a_new_leader_begins_its_own_snapshot_where_the_one_before_was_lost() {
    let mut net = Net::with_snapshots(1_000);
    let lost = lose_behind_a_snapshot(&mut net);
    net.run(5, 8);
    assert!(net.kept(lost) < Some(2_000));
    let leader = net.leader();
    // What is lost here comes back with its disk.
    let parted = net.nodes[leader].take();
    net.run(100, 1_000);
    net.nodes[leader] = parted;
    net.run(400, 1_000);
    assert_eq!(net.kept(lost), Some(2_000));
}
