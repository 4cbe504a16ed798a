//! Bounds in bytes on what a log holds and sends, with configurations as large entries.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use celerycove_control::{
    Action, Answer, Command, Entry, Event, Message, Node, Options, Storage,
    log::Members,
    message::Body,
    node::Proposed,
    storage::{Ballot, Error, PersistentState, Snapshot},
};
use celerycove_fleet::{Command as FleetCommand, Config};
use celerycove_types::{Timestamp, id};

const NAMES: [&str; 3] = ["a", "b", "c"];
const TICK: Duration = Duration::from_millis(40);
/// How long a message takes over a slow link.
const SLOW_LINK_DELAY: Duration = Duration::from_secs(1);
/// The text of a configuration of about 1,500 routes, in bytes.
const CONFIG_BYTES: usize = 450_000;
/// The bound on the log of each instance under test, in bytes.
const MAX_LOG_BYTES: u64 = 8 << 20;

#[derive(Debug, Clone, Default)]
struct Disk(Arc<Mutex<PersistentState>>);

impl Storage for Disk {
    fn load(&mut self) -> Result<PersistentState, Error> {
        Ok(self.0.lock().expect("a disk").clone())
    }

    fn save_ballot(&mut self, ballot: &Ballot) -> Result<(), Error> {
        self.0.lock().expect("a disk").ballot = Some(ballot.clone());
        Ok(())
    }

    fn append(&mut self, entries: &[Entry]) -> Result<(), Error> {
        let mut persisted = self.0.lock().expect("a disk");
        for entry in entries {
            let is_earlier = |stored: &Entry| stored.index < entry.index;
            persisted.entries.retain(is_earlier);
            persisted.entries.push(entry.clone());
        }
        Ok(())
    }

    fn save_snapshot(&mut self, snapshot: &Snapshot, tail: &[Entry]) -> Result<(), Error> {
        let mut persisted = self.0.lock().expect("a disk");
        persisted.snapshot = Some(snapshot.clone());
        persisted.entries = tail.to_vec();
        Ok(())
    }
}

/// Three instances; messages to and from those that are cut off are lost.
struct Cluster {
    nodes: Vec<Node>,
    disks: Vec<Disk>,
    queue: VecDeque<(usize, usize, Message)>,
    now: Timestamp,
    cut_off: Vec<usize>,
    /// An instance that each message takes [`SLOW_LINK_DELAY`] to reach.
    slow: Option<usize>,
    delayed: VecDeque<(Timestamp, usize, Message)>,
    /// The bytes of entries and snapshots sent to each instance that it has not answered; all of
    /// them may wait in the memory of the sender at once.
    unanswered: BTreeMap<usize, u64>,
    largest_unanswered: u64,
    /// The bytes of entries and snapshots sent to each instance.
    sent: [u64; 3],
    /// The bytes of the entries in one message, the largest so far.
    largest_message: u64,
    largest_log: u64,
    answers: Vec<Answer>,
}

fn open(index: usize, disk: &Disk, now: Timestamp) -> Node {
    let members: Members = NAMES.iter().map(|name| id::Process::from(*name)).collect();
    let options = Options {
        heartbeat_interval: Duration::from_millis(80),
        election_timeout: Duration::from_millis(320),
        max_log_bytes: MAX_LOG_BYTES,
        ..Options::default()
    };
    let (name, disk) = (NAMES[index].into(), Box::new(disk.clone()));
    Node::open(name, Some(members), disk, options, index as u64, now).expect("a node")
}

fn config(version: u64) -> FleetCommand {
    FleetCommand::Configure(Arc::new(Config {
        version,
        source: Bytes::from(vec![b'x'; CONFIG_BYTES]),
        ..Config::default()
    }))
}

fn sent_bytes(body: &Body) -> u64 {
    match body {
        Body::Append { entries, .. } => entries.iter().map(Entry::encoded_bytes).sum(),
        Body::Install { part, .. } => part.len() as u64,
        _ => 0,
    }
}

impl Cluster {
    fn new() -> Self {
        let disks: Vec<Disk> = (0..3).map(|_| Disk::default()).collect();
        let nodes = (0..3).map(|index| open(index, &disks[index], Timestamp::ZERO));
        let mut cluster = Self {
            nodes: nodes.collect(),
            disks,
            queue: VecDeque::new(),
            now: Timestamp::ZERO,
            cut_off: Vec::new(),
            slow: None,
            delayed: VecDeque::new(),
            unanswered: BTreeMap::new(),
            largest_unanswered: 0,
            sent: [0; 3],
            largest_message: 0,
            largest_log: 0,
            answers: Vec::new(),
        };
        cluster.run(100);
        cluster
    }

    fn step(&mut self, index: usize, event: Event) {
        let actions = self.nodes[index].step(self.now, event);
        self.nodes[index].check().expect("an intact node");
        self.largest_log = self.largest_log.max(self.nodes[index].log_usage().bytes);
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let to = NAMES.iter().position(|name| *name == to.as_ref());
                    let to = to.expect("a member");
                    let bytes = sent_bytes(&message.body);
                    self.largest_message = self.largest_message.max(bytes);
                    let unanswered = self.unanswered.entry(to).or_default();
                    *unanswered += bytes;
                    self.sent[to] += bytes;
                    self.largest_unanswered = self.largest_unanswered.max(*unanswered);
                    self.queue.push_back((index, to, message));
                }
                Action::Answer { answer, .. } => self.answers.push(answer),
                Action::Halt(error) => panic!("{error}"),
            }
        }
    }

    fn run(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now += TICK;
            for index in 0..3 {
                self.step(index, Event::Tick);
            }
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        while let Some((due, from, message)) = self.delayed.pop_front() {
            if due > self.now {
                self.delayed.push_front((due, from, message));
                break;
            }
            let to = self.slow.expect("a slow instance");
            self.receive(from, to, message);
        }
        while let Some((from, to, message)) = self.queue.pop_front() {
            if self.cut_off.contains(&from) || self.cut_off.contains(&to) {
                continue;
            }
            if self.slow == Some(to) {
                let due = self.now + SLOW_LINK_DELAY;
                self.delayed.push_back((due, from, message));
            } else {
                self.receive(from, to, message);
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        self.unanswered.insert(from, 0);
        let from = NAMES[from].into();
        self.step(to, Event::Message { from, message });
    }

    fn leader(&self) -> usize {
        let reachable = (0..3).filter(|index| !self.cut_off.contains(index));
        let mut leaders = reachable.filter(|index| self.nodes[*index].is_leader());
        leaders.next().expect("a leader")
    }

    /// Commits configurations, one each 120 ms.
    fn configure(&mut self, versions: std::ops::RangeInclusive<u64>) {
        for version in versions {
            self.propose(version);
            self.run(3);
        }
    }

    fn propose(&mut self, version: u64) {
        let leader = self.leader();
        let command = Command::Fleet(config(version));
        let token = version;
        self.step(leader, Event::Propose(vec![Proposed { token, command }]));
    }

    fn version(&self, index: usize) -> u64 {
        self.nodes[index].state().fleet.config.version
    }
}

/// Guards against a leader that hands the whole log to each follower that comes back, again and again
/// while no answer arrives: it ended over its memory limit, and so did each of its successors.
#[test]
fn a_follower_that_comes_back_is_sent_large_entries_a_few_at_a_time() {
    let mut cluster = Cluster::new();
    let follower = (cluster.leader() + 1) % 3;
    cluster.cut_off = vec![follower];
    cluster.configure(1..=60);
    cluster.run(50);
    cluster.cut_off.clear();
    cluster.run(50);
    assert_eq!(cluster.version(follower), 60);
    let two_entries = 2 * CONFIG_BYTES as u64 + 10_000;
    assert!(
        cluster.largest_message <= two_entries,
        "{} bytes in one message",
        cluster.largest_message
    );
    assert!(
        cluster.largest_unanswered <= MAX_LOG_BYTES / 2,
        "{} bytes without an answer",
        cluster.largest_unanswered
    );
}

/// Guards against a leader that sends entries again which are still on their way over a slow link: each
/// copy delayed the answer further.
#[test]
fn entries_on_their_way_over_a_slow_link_are_not_sent_again() {
    let mut cluster = Cluster::new();
    let follower = (cluster.leader() + 1) % 3;
    cluster.cut_off = vec![follower];
    cluster.configure(1..=6);
    cluster.cut_off.clear();
    cluster.slow = Some(follower);
    let sent_before = cluster.sent[follower];
    cluster.run(500);
    assert_eq!(cluster.version(follower), 6);
    let sent = cluster.sent[follower] - sent_before;
    let entries = 7 * CONFIG_BYTES as u64;
    assert!(sent <= entries, "{sent} bytes sent for six entries");
}

/// Guards against a log that keeps a thousand whole configurations in memory and on the disk before it
/// takes a snapshot.
#[test]
fn the_log_of_large_entries_stays_within_its_bound() {
    let mut cluster = Cluster::new();
    cluster.configure(1..=100);
    assert!((0..3).all(|index| cluster.version(index) == 100));
    assert!(
        cluster.largest_log <= MAX_LOG_BYTES,
        "{} bytes in memory",
        cluster.largest_log
    );
    for index in 0..3 {
        let persisted = cluster.disks[index].0.lock().expect("a disk").clone();
        let stored: u64 = persisted.entries.iter().map(Entry::encoded_bytes).sum();
        assert!(stored <= MAX_LOG_BYTES, "{stored} bytes on the disk");
    }
}

/// Guards against a follower that never catches up, since each change of a large configuration replaces
/// the snapshot that it is being sent.
#[test]
fn a_follower_catches_up_while_large_entries_are_committed() {
    let mut cluster = Cluster::new();
    let follower = (cluster.leader() + 1) % 3;
    cluster.cut_off = vec![follower];
    cluster.configure(1..=60);
    cluster.cut_off.clear();
    cluster.configure(61..=120);
    cluster.run(10);
    assert_eq!(cluster.version(follower), 120);
    assert!(
        cluster.largest_log <= MAX_LOG_BYTES,
        "{} bytes in memory",
        cluster.largest_log
    );
}

/// Guards against a leader without a majority that goes on to append what operators send.
#[test]
fn a_leader_without_a_majority_refuses_more_than_its_log_may_hold() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    for version in 1..=100 {
        // All at once: no heartbeat shows the leader that it has lost its majority.
        let command = Command::Fleet(config(version));
        let token = version;
        cluster.step(leader, Event::Propose(vec![Proposed { token, command }]));
    }
    assert!(
        cluster.largest_log <= MAX_LOG_BYTES,
        "{} bytes in memory",
        cluster.largest_log
    );
    let is_refused = |answer: &&Answer| matches!(answer, Answer::Refused(_));
    let refused = cluster.answers.iter().filter(is_refused).count();
    assert!(refused > 0, "some were refused");
    cluster.deliver();
    cluster.run(50);
    let newest = cluster.version(leader);
    assert_eq!(newest, 100 - refused as u64, "all others are committed");
    cluster.configure(101..=102);
    assert!((0..3).all(|index| cluster.version(index) == 102));
}

/// Guards against a start that fails on the log that the instance itself has written.
#[test]
fn an_instance_starts_again_with_the_log_that_it_has_written() {
    let mut cluster = Cluster::new();
    cluster.configure(1..=50);
    for index in 0..3 {
        cluster.nodes[index] = open(index, &cluster.disks[index], cluster.now);
        let usage = cluster.nodes[index].log_usage();
        assert!(usage.bytes <= MAX_LOG_BYTES, "{usage:?}");
    }
    cluster.run(100);
    cluster.configure(51..=60);
    assert!((0..3).all(|index| cluster.version(index) == 60));
}

/// Guards against a bound that is checked only once for commands that are proposed together.
#[test]
fn commands_proposed_together_stay_within_the_bound_of_the_log() {
    let mut cluster = Cluster::new();
    let leader = cluster.leader();
    let proposed = (1..=100).map(|version| Proposed {
        token: version,
        command: Command::Fleet(config(version)),
    });
    cluster.step(leader, Event::Propose(proposed.collect()));
    let is_refused = |answer: &&Answer| matches!(answer, Answer::Refused(_));
    assert!(cluster.answers.iter().any(|answer| is_refused(&answer)));
    assert!(
        cluster.largest_log <= MAX_LOG_BYTES,
        "{} bytes in memory",
        cluster.largest_log
    );
}

/// Guards against a follower on a slow link that never catches up while entries are committed: the log is
/// compacted beyond the snapshot that it is being sent, so that the transfer starts anew.
#[test]
fn a_follower_on_a_slow_link_catches_up_while_large_entries_are_committed() {
    let mut cluster = Cluster::new();
    let follower = (cluster.leader() + 1) % 3;
    cluster.cut_off = vec![follower];
    cluster.configure(1..=60);
    cluster.cut_off.clear();
    cluster.slow = Some(follower);
    cluster.configure(61..=560);
    assert!(cluster.version(follower) > 60);
}
