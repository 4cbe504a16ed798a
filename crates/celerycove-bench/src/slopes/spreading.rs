//! How long a change takes until it is in force everywhere, in virtual time.

use std::time::Duration;

use celerycove_config::{Feed, Update, feed::Step};
use celerycove_control::Placement;
use celerycove_sync::{Directory, Follower, follower::reply_to};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    fixture::{self, DATA_CENTRES},
    measure::line,
};

/// How often virtual time moves on.
const STEP: Duration = Duration::from_millis(20);
/// The share of questions or answers that are lost.
const LOSS: f64 = 0.05;
/// Changes measured at each size.
const CHANGES: usize = 12;

/// A process and from whom it pulls: nobody is the leader.
struct Process {
    follower: Follower,
    upstream: Option<usize>,
    /// The other relay of its data centre.
    spare: Option<usize>,
    due: Duration,
    dead: bool,
}

struct Tree {
    feed: Feed,
    processes: Vec<Process>,
    interval: Duration,
    now: Duration,
    rng: StdRng,
}

/// Prints the longest time until a change is in force in a tree over all data centres, with
/// messages lost and one relay dead.
pub(super) fn run() {
    for interval in [Duration::from_millis(500), Duration::from_secs(3)] {
        let figures =
            [10, 40, 160].map(|leaves| (DATA_CENTRES * leaves, longest(leaves, interval)));
        let name = format!("in force everywhere, pulling each {interval:?}");
        line(&name, "s at most", &figures);
    }
}

fn longest(leaves: usize, interval: Duration) -> f64 {
    let mut tree = Tree::new(leaves, interval);
    let mut longest = Duration::ZERO;
    for n in 0..CHANGES {
        tree.settle();
        longest = longest.max(tree.change(n));
    }
    longest.as_secs_f64()
}

impl Tree {
    /// Each data centre has two relays, of which one in the first is dead, and leaves that know
    /// both and use one.
    fn new(leaves: usize, interval: Duration) -> Self {
        let mut tree = Self {
            feed: Feed::default(),
            processes: Vec::new(),
            interval,
            now: Duration::from_secs(1),
            rng: StdRng::seed_from_u64(4),
        };
        for data_centre in 0..DATA_CENTRES {
            let first = tree.add(None, None);
            let second = tree.add(None, None);
            tree.processes[first].dead = data_centre == 0;
            for leaf in 0..leaves {
                let (one, other) = if leaf.is_multiple_of(2) {
                    (first, second)
                } else {
                    (second, first)
                };
                tree.add(Some(one), Some(other));
            }
        }
        tree
    }

    fn add(&mut self, upstream: Option<usize>, spare: Option<usize>) -> usize {
        let phase = self.rng.random_range(0.0..1.0);
        self.processes.push(Process {
            follower: Follower::new(Duration::from_secs(10), Duration::from_secs(30)),
            upstream,
            spare,
            due: self.now + self.interval.mul_f64(phase),
            dead: false,
        });
        self.processes.len() - 1
    }

    fn step(&mut self) {
        self.now += STEP;
        for at in 0..self.processes.len() {
            if self.processes[at].due <= self.now && !self.processes[at].dead {
                self.pull(at);
            }
        }
    }

    fn pull(&mut self, at: usize) {
        let now = self.now;
        let lost = self.rng.random_bool(LOSS);
        let pull = self.processes[at]
            .follower
            .pull(now, fixture::announcement(at));
        let reply = match self.processes[at].upstream {
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
        let process = &mut self.processes[at];
        // As the daemon does: after a failure it tries again soon, and elsewhere.
        process.due = now
            + if reply.is_some() {
                interval
            } else {
                interval / 4
            };
        match reply {
            Some(reply) => process.follower.apply_reply(now, reply),
            None => std::mem::swap(&mut process.upstream, &mut process.spare),
        }
    }

    fn is_settled(&self) -> bool {
        let newest = self.feed.config().version;
        let mut living = self.processes.iter().filter(|process| !process.dead);
        living.all(|process| process.follower.config().version >= newest)
    }

    fn settle(&mut self) {
        let until = self.now + self.interval * 3;
        while self.now < until || !self.is_settled() {
            self.step();
        }
    }

    /// Makes a change and gives the time until all that live have it.
    fn change(&mut self, n: usize) -> Duration {
        let version = self.feed.config().version + 1;
        let changes = fixture::proposal(n, 260).changes;
        self.feed
            .apply(Update::Steps(vec![Step { version, changes }]));
        let began = self.now;
        while !self.is_settled() {
            self.step();
        }
        self.now.saturating_sub(began)
    }
}
