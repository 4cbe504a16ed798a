//! Simulates in virtual time how long a change of configuration takes to reach every process.

use std::time::Duration;

use celerycove_config::{Feed, Update, feed::Step};
use celerycove_control::Placement;
use celerycove_sync::{Directory, Follower, follower::reply_to};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    fixture::{self, DATA_CENTRES},
    measure::print_results,
};

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(20);
/// Probability that a pull or its reply is lost.
const LOSS_PROBABILITY: f64 = 0.05;
/// Changes measured at each size.
const CHANGES_PER_SIZE: usize = 12;

/// A process of the distribution tree.
struct Process {
    follower: Follower,
    /// The relay that it pulls from; `None` is the leader.
    upstream: Option<usize>,
    /// The other relay of its data centre.
    fallback: Option<usize>,
    /// Time of its next pull.
    next_pull: Duration,
    dead: bool,
}

/// A distribution tree: the leader, the relays of each data centre and the leaves below them.
struct Tree {
    feed: Feed,
    processes: Vec<Process>,
    /// Time between two pulls of a process.
    interval: Duration,
    now: Duration,
    rng: StdRng,
}

/// Prints the longest time until a change is in force in a tree over all data centres, with
/// message loss and one dead relay.
pub(super) fn run() {
    for interval in [Duration::from_millis(500), Duration::from_secs(3)] {
        let results = [10, 40, 160].map(|leaves| {
            (
                DATA_CENTRES * leaves,
                longest_propagation_s(leaves, interval),
            )
        });
        let name = format!("in force everywhere, pulling each {interval:?}");
        print_results(&name, "s at most", &results);
    }
}

/// Returns the longest time in seconds until a change is in force everywhere.
fn longest_propagation_s(leaves: usize, interval: Duration) -> f64 {
    let mut tree = Tree::new(leaves, interval);
    let mut longest = Duration::ZERO;
    for n in 0..CHANGES_PER_SIZE {
        tree.run_until_settled();
        longest = longest.max(tree.propagate_change(n));
    }
    longest.as_secs_f64()
}

impl Tree {
    /// Builds a tree with two relays in each data centre, one of them dead in the first data centre.
    /// Each leaf knows both relays and pulls from one.
    fn new(leaves: usize, interval: Duration) -> Self {
        let mut tree = Self {
            feed: Feed::default(),
            processes: Vec::new(),
            interval,
            now: Duration::from_secs(1),
            rng: StdRng::seed_from_u64(4),
        };
        for data_centre in 0..DATA_CENTRES {
            let first_relay = tree.add(None, None);
            let second_relay = tree.add(None, None);
            tree.processes[first_relay].dead = data_centre == 0;
            for leaf in 0..leaves {
                let (upstream, fallback) = if leaf.is_multiple_of(2) {
                    (first_relay, second_relay)
                } else {
                    (second_relay, first_relay)
                };
                tree.add(Some(upstream), Some(fallback));
            }
        }
        tree
    }

    /// Adds a process with a random phase of its pulls and returns its index.
    fn add(&mut self, upstream: Option<usize>, fallback: Option<usize>) -> usize {
        let phase = self.rng.random_range(0.0..1.0);
        self.processes.push(Process {
            follower: Follower::new(Duration::from_secs(10), Duration::from_secs(30)),
            upstream,
            fallback,
            next_pull: self.now + self.interval.mul_f64(phase),
            dead: false,
        });
        self.processes.len() - 1
    }

    /// Advances virtual time by one step and runs the pulls that are due.
    fn step(&mut self) {
        self.now += STEP;
        for index in 0..self.processes.len() {
            if self.processes[index].next_pull <= self.now && !self.processes[index].dead {
                self.pull(index);
            }
        }
    }

    fn pull(&mut self, index: usize) {
        let now = self.now;
        let lost = self.rng.random_bool(LOSS_PROBABILITY);
        let pull = self.processes[index]
            .follower
            .pull(now, fixture::announcement(index));
        let reply = match self.processes[index].upstream {
            _ if lost => None,
            None => {
                let (placement, directory) = (Placement::default(), Directory::default());
                Some(reply_to(
                    &pull,
                    &self.feed,
                    &placement,
                    &directory,
                    Duration::ZERO,
                ))
            }
            Some(relay) if self.processes[relay].dead => None,
            Some(relay) => self.processes[relay].follower.serve(now, &pull),
        };
        let interval = self.interval;
        let process = &mut self.processes[index];
        // Like the daemon: after a failure, the next pull comes sooner and goes to the other relay.
        process.next_pull = now
            + if reply.is_some() {
                interval
            } else {
                interval / 4
            };
        match reply {
            Some(reply) => process.follower.apply_reply(now, reply),
            None => std::mem::swap(&mut process.upstream, &mut process.fallback),
        }
    }

    /// Returns whether all processes alive have the newest configuration.
    fn is_settled(&self) -> bool {
        let newest = self.feed.config().version;
        let mut alive = self.processes.iter().filter(|process| !process.dead);
        alive.all(|process| process.follower.config().version >= newest)
    }

    /// Runs for at least three pull intervals and until all processes alive are up to date.
    fn run_until_settled(&mut self) {
        let until = self.now + self.interval * 3;
        while self.now < until || !self.is_settled() {
            self.step();
        }
    }

    /// Makes a change and returns the time until all processes alive have it.
    fn propagate_change(&mut self, n: usize) -> Duration {
        let version = self.feed.config().version + 1;
        let changes = fixture::proposal(n, 260).changes;
        self.feed
            .apply(Update::Steps(vec![Step { version, changes }]));
        let started = self.now;
        while !self.is_settled() {
            self.step();
        }
        self.now.saturating_sub(started)
    }
}
