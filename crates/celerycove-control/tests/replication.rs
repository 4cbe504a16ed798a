//! Replication to followers that lost their disk or lag behind, over a simulated network.

#[path = "support/disk.rs"]
mod disk;

use std::{collections::VecDeque, time::Duration};

use celerycove_control::{
    Action, Command, Event, Message, Node, Options, log::Members, message::Body, node::Proposed,
};
use celerycove_turn::{End, Keep};
use celerycove_types::{Timestamp, id};

use crate::disk::Disk;

const NAMES: [&str; 3] = ["a", "b", "c"];
const TICK: Duration = Duration::from_millis(40);

struct Cluster {
    nodes: Vec<Option<Node>>,
    /// Messages in flight, with the indexes of the sender and the receiver.
    queue: VecDeque<(usize, usize, Message)>,
    now: Timestamp,
    delivered_messages: usize,
    delivered_entries: usize,
    /// The total size in bytes of the snapshot chunks sent, and the size of the largest one.
    chunk_bytes: (usize, usize),
    /// Drops every n-th message.
    drop_every: Option<usize>,
}

/// More entries than any test appends.
const NO_SNAPSHOTS: u64 = 100_000;

fn open_node(index: usize, bootstrap: bool, now: Timestamp) -> Node {
    open_node_with(index, bootstrap, now, NO_SNAPSHOTS)
}

fn open_node_with(index: usize, bootstrap: bool, now: Timestamp, snapshot_interval: u64) -> Node {
    let members: Members = NAMES.iter().map(|name| id::Process::from(*name)).collect();
    let options = Options {
        heartbeat_interval: Duration::from_millis(120),
        election_timeout: Duration::from_millis(550),
        snapshot_interval,
        ..Options::default()
    };
    let bootstrap = bootstrap.then_some(members);
    let disk = Box::new(Disk::default());
    Node::open(
        NAMES[index].into(),
        bootstrap,
        disk,
        options,
        index as u64,
        now,
    )
    .expect("a node")
}

impl Cluster {
    fn new() -> Self {
        Self::with_snapshots(NO_SNAPSHOTS)
    }

    /// Creates a cluster that takes a snapshot after the given number of entries.
    fn with_snapshots(after: u64) -> Self {
        let nodes = (0..3).map(|index| Some(open_node_with(index, true, Timestamp::ZERO, after)));
        Self {
            nodes: nodes.collect(),
            queue: VecDeque::new(),
            now: Timestamp::ZERO,
            delivered_messages: 0,
            delivered_entries: 0,
            chunk_bytes: (0, 0),
            drop_every: None,
        }
    }

    /// Queues the messages among the actions.
    fn queue_messages(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            if let Action::Send { to, message } = action {
                let to = NAMES.iter().position(|name| *name == to.as_ref());
                self.queue.push_back((from, to.expect("a member"), message));
            }
        }
    }

    fn step(&mut self, index: usize, event: Event) {
        if let Some(node) = &mut self.nodes[index] {
            let actions = node.step(self.now, event);
            node.check().expect("an intact node");
            self.queue_messages(index, actions);
        }
    }

    /// Runs for a number of ticks and delivers at most `max_messages` in each.
    fn run(&mut self, ticks: usize, max_messages: usize) {
        for _ in 0..ticks {
            self.now += TICK;
            for index in 0..3 {
                self.step(index, Event::Tick);
            }
            for _ in 0..max_messages {
                let Some((from, to, message)) = self.queue.pop_front() else {
                    break;
                };
                self.delivered_messages += 1;
                if let Body::Install { part, .. } = &message.body {
                    self.chunk_bytes = (
                        self.chunk_bytes.0 + part.len(),
                        self.chunk_bytes.1.max(part.len()),
                    );
                }
                let is_dropped = self
                    .drop_every
                    .is_some_and(|every| self.delivered_messages.is_multiple_of(every));
                if is_dropped {
                    continue;
                }
                if let Body::Append { entries, .. } = &message.body {
                    self.delivered_entries += entries.len();
                }
                let from = NAMES[from].into();
                self.step(to, Event::Message { from, message });
            }
        }
    }

    fn leader(&self) -> usize {
        let is_leader = |node: &Option<Node>| node.as_ref().is_some_and(Node::is_leader);
        self.nodes.iter().position(is_leader).expect("a leader")
    }

    fn propose(&mut self, count: u64) {
        let leader = self.leader();
        for token in 0..count {
            let command = Command::Fence;
            self.step(leader, Event::Propose(vec![Proposed { token, command }]));
        }
    }

    /// Proposes turns to keep, each with a text of 1,000 bytes.
    fn propose_turns(&mut self, count: u64) {
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

    fn kept_turns(&self, index: usize) -> Option<usize> {
        self.nodes[index]
            .as_ref()
            .map(|node| node.state().turns.size().0)
    }

    fn last_fence(&self, index: usize) -> Option<u64> {
        self.nodes[index].as_ref().map(|node| node.state().fence)
    }
}

#[test]
fn a_follower_that_lost_its_disk_catches_up_from_the_same_leader() {
    let mut cluster = Cluster::new();
    cluster.run(100, 1_000);
    cluster.propose(500);
    cluster.run(20, 10_000);
    let leader = cluster.leader();
    let wiped = (leader + 1) % 3;
    assert_eq!(cluster.last_fence(wiped), Some(500));
    cluster.nodes[wiped] = Some(open_node(wiped, false, cluster.now));
    let previous = cluster.delivered_messages;
    cluster.run(25, 10_000);
    assert_eq!(cluster.leader(), leader);
    assert_eq!(cluster.last_fence(wiped), Some(500));
    // One second of heartbeats among three instances, plus the log once: no probe is repeated.
    assert!(
        cluster.delivered_messages - previous < 200,
        "{}",
        cluster.delivered_messages - previous
    );
}

/// A member is removed because it was silent, and in the same moment another one loses its disk. The
/// two members that remain can't commit the removal, since one of them may not vote.
#[test]
fn a_log_recovers_if_a_disk_is_lost_while_a_member_is_removed() {
    let mut cluster = Cluster::new();
    cluster.run(50, usize::MAX);
    let leader = cluster.leader();
    let (silent, wiped) = ((leader + 1) % 3, (leader + 2) % 3);
    let silent_node = cluster.nodes[silent].take();
    cluster.nodes[wiped] = Some(open_node(wiped, false, cluster.now));
    cluster.queue.clear();
    let remaining = [leader, wiped].map(|index| id::Process::from(NAMES[index]));
    let command = Command::Members(remaining.into_iter().collect());
    cluster.step(leader, Event::Propose(vec![Proposed { token: 1, command }]));
    cluster.run(25, usize::MAX);
    cluster.nodes[silent] = silent_node;
    cluster.run(100, usize::MAX);
    cluster.propose(1);
    cluster.run(25, usize::MAX);
    assert_eq!(cluster.last_fence(wiped), Some(1));
    let members = cluster.nodes[wiped].as_ref().expect("a node").members();
    assert_eq!(members.len(), 3, "the removal was never committed");
}

#[test]
fn a_rejection_resends_the_log_once_despite_pipelined_messages() {
    let mut cluster = Cluster::new();
    cluster.run(100, 1_000);
    let leader = cluster.leader();
    let wiped = (leader + 1) % 3;
    cluster.propose(200);
    cluster.run(20, 10_000);
    cluster.nodes[wiped] = Some(open_node(wiped, false, cluster.now));
    // All of these are in flight before the first rejection arrives.
    cluster.propose(200);
    let previous = cluster.delivered_entries;
    cluster.run(25, 10_000);
    assert_eq!(cluster.last_fence(wiped), Some(400));
    assert!(
        cluster.delivered_entries - previous < 1_200,
        "{}",
        cluster.delivered_entries - previous
    );
}

#[test]
fn a_follower_that_caught_up_from_the_log_alone_may_vote() {
    let mut cluster = Cluster::new();
    cluster.run(100, 1_000);
    cluster.propose(50);
    cluster.run(20, 10_000);
    let leader = cluster.leader();
    let wiped = (leader + 1) % 3;
    cluster.nodes[wiped] = Some(open_node(wiped, false, cluster.now));
    cluster.run(25, 10_000);
    assert_eq!(cluster.last_fence(wiped), Some(50));
    // The leader loses its disk too; the other two instances are a majority only if both may vote.
    cluster.nodes[leader] = Some(open_node(leader, false, cluster.now));
    cluster.run(100, 10_000);
    assert_ne!(cluster.leader(), leader);
    for index in 0..3 {
        assert_eq!(cluster.last_fence(index), Some(50), "node {index}");
    }
}

/// Replaces a follower by one with an empty disk after the leader has compacted its first entries,
/// and returns the follower's index.
fn wipe_follower_behind_snapshot(cluster: &mut Cluster) -> usize {
    cluster.run(100, 1_000);
    cluster.propose_turns(2_000);
    cluster.run(50, 10_000);
    let wiped = (cluster.leader() + 1) % 3;
    cluster.nodes[wiped] = Some(open_node_with(wiped, false, cluster.now, 1_000));
    wiped
}

#[test]
fn a_snapshot_is_sent_once_in_small_chunks() {
    let mut cluster = Cluster::with_snapshots(1_000);
    let wiped = wipe_follower_behind_snapshot(&mut cluster);
    cluster.run(200, 1_000);
    assert_eq!(cluster.kept_turns(wiped), Some(2_000));
    // 2,000 texts of 1,000 bytes, and their names, sent once.
    assert!(
        (2_000_000..2_500_000).contains(&cluster.chunk_bytes.0),
        "{:?}",
        cluster.chunk_bytes
    );
    assert!(
        cluster.chunk_bytes.1 <= 64 << 10,
        "{:?}",
        cluster.chunk_bytes
    );
}

#[test]
fn a_snapshot_is_sent_once_over_a_slow_link() {
    let mut cluster = Cluster::with_snapshots(1_000);
    let wiped = wipe_follower_behind_snapshot(&mut cluster);
    // Eight messages per tick of 40 ms, heartbeats included, so the snapshot takes seconds.
    cluster.run(2_000, 8);
    assert_eq!(cluster.kept_turns(wiped), Some(2_000));
    assert!(
        cluster.chunk_bytes.0 < 2_500_000,
        "{:?}",
        cluster.chunk_bytes
    );
}

#[test]
fn a_snapshot_is_completed_despite_lost_chunks() {
    let mut cluster = Cluster::with_snapshots(1_000);
    let wiped = wipe_follower_behind_snapshot(&mut cluster);
    cluster.drop_every = Some(7);
    cluster.run(2_000, 1_000);
    assert_eq!(cluster.kept_turns(wiped), Some(2_000));
}

#[test]
fn a_new_leader_restarts_an_interrupted_snapshot_transfer() {
    let mut cluster = Cluster::with_snapshots(1_000);
    let wiped = wipe_follower_behind_snapshot(&mut cluster);
    cluster.run(5, 8);
    assert!(cluster.kept_turns(wiped) < Some(2_000));
    let leader = cluster.leader();
    // The old leader returns later with its state.
    let old_leader = cluster.nodes[leader].take();
    cluster.run(100, 1_000);
    cluster.nodes[leader] = old_leader;
    cluster.run(400, 1_000);
    assert_eq!(cluster.kept_turns(wiped), Some(2_000));
}

/// Guards against an instance with an empty disk that votes once it has a snapshot, although entries
/// were committed since the snapshot was taken: it could elect a leader that lacks them.
#[test]
fn a_snapshot_alone_gives_no_vote_if_entries_were_committed_since() {
    let mut cluster = Cluster::with_snapshots(1_000);
    let wiped = wipe_follower_behind_snapshot(&mut cluster);
    let leader = cluster.leader();
    cluster.run(20, 8);
    cluster.propose(200);
    let name = id::Process::from(NAMES[wiped]);
    let has_vote = |cluster: &Cluster| {
        let node = cluster.nodes[leader].as_ref().expect("a node");
        node.voters().contains(&name)
    };
    while !has_vote(&cluster) {
        cluster.run(1, 8);
    }
    assert_eq!(cluster.leader(), leader);
    assert_eq!(cluster.last_fence(wiped), Some(200));
}
