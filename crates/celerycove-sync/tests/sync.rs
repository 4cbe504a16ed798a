//! Spread of shared state through chains of relays.

use std::time::Duration;

use celerycove_config::{Change, Feed, Organisation, Update, feed::Step};
use celerycove_control::Placement;
use celerycove_sync::{Announcement, Directory, Follower, Life, Pull, Reply, follower::answer};

const LEASE: Duration = Duration::from_secs(4);
const SILENCE: Duration = Duration::from_secs(3);
const INTERVAL: Duration = Duration::from_millis(500);

/// The control leader's end of a chain.
struct Leader {
    feed: Feed,
    directory: Directory,
}

impl Leader {
    fn new() -> Self {
        let mut directory = Directory::default();
        directory.begin(1, Duration::ZERO);
        Self {
            feed: Feed::default(),
            directory,
        }
    }

    fn serve(&mut self, now: Duration, pull: &Pull) -> Reply {
        for announcement in &pull.announcements {
            self.directory.hear(announcement, &pull.process, now);
        }
        self.directory.hear_relay(&pull.process, now);
        for silent in &pull.silent {
            self.directory.miss(silent, &pull.process);
        }
        self.directory.expire(now, SILENCE);
        answer(
            pull,
            &self.feed,
            &Placement::default(),
            &self.directory,
            Duration::ZERO,
        )
    }

    fn change(&mut self, rate: f64) {
        let changes = vec![Change::Organisation {
            id: "zilina".into(),
            organisation: Some(Organisation {
                rate,
                ..Organisation::default()
            }),
        }];
        let version = self.feed.config().version + 1;
        self.feed
            .update(Update::Steps(vec![Step { version, changes }]));
    }
}

fn announcement(name: &str) -> Announcement {
    Announcement {
        process: name.into(),
        incarnation: 1,
        revision: 1,
        data_centre: "north".into(),
        address: ([127, 0, 0, 1], 1).into(),
        life: Life::Serving,
        home: None,
        learned: Vec::new(),
        backend: None,
        relay: true,
    }
}

fn is_gone(leader: &Leader, name: &str) -> Option<bool> {
    leader
        .directory
        .all()
        .find(|(announcement, _)| *announcement.process == *name)
        .map(|(_, gone)| gone)
}

/// Lets the chain pull for a while, `leaf` from `inner`, `inner` from `outer`, `outer` from the
/// leader; `None` is a process that is dead or a reply that is lost.
fn pull_chain(
    leader: &mut Leader,
    chain: &mut [Follower; 3],
    now: Duration,
    leaf_lives: bool,
    lossy: bool,
) {
    let [outer, inner, leaf] = chain;
    if leaf_lives {
        let pull = leaf.pull(now, announcement("leaf"));
        if let Some(reply) = inner.serve(now, &pull) {
            leaf.take(now, reply);
        }
    }
    let pull = inner.pull(now, announcement("inner"));
    if let Some(reply) = outer.serve(now, &pull) {
        inner.take(now, reply);
    }
    let pull = outer.pull(now, announcement("outer"));
    let reply = leader.serve(now, &pull);
    if !lossy {
        outer.take(now, reply);
    }
}

fn chain() -> [Follower; 3] {
    std::array::from_fn(|_| Follower::new(LEASE, SILENCE))
}

/// A chain that has pulled until everyone knows everything, and the time by then.
fn settled() -> (Leader, [Follower; 3], Duration) {
    let mut leader = Leader::new();
    let mut chain = chain();
    let mut now = Duration::from_secs(1);
    for _ in 0..6 {
        now += INTERVAL;
        pull_chain(&mut leader, &mut chain, now, true, false);
    }
    (leader, chain, now)
}

#[test]
fn a_death_behind_two_relays_reaches_the_leader() {
    let (mut leader, mut chain, mut now) = settled();
    assert_eq!(is_gone(&leader, "leaf"), Some(false));
    let dead = now;
    while is_gone(&leader, "leaf") == Some(false) {
        now += INTERVAL;
        // Every other reply is lost, so what it answers has to be told again.
        let lossy = now.as_millis().is_multiple_of(1000);
        pull_chain(&mut leader, &mut chain, now, false, lossy);
        assert!(
            now < dead + SILENCE * 3,
            "the leader still counts the leaf as live"
        );
    }
    assert_eq!(is_gone(&leader, "inner"), Some(false));
    assert_eq!(is_gone(&leader, "outer"), Some(false));
}

#[test]
fn a_process_that_returns_is_heard_again() {
    let mut leader = Leader::new();
    let mut chain = chain();
    let mut now = Duration::from_secs(1);
    for lives in [true, false, true] {
        for _ in 0..20 {
            now += INTERVAL;
            pull_chain(&mut leader, &mut chain, now, lives, false);
        }
        assert_eq!(is_gone(&leader, "leaf"), Some(!lives));
    }
}

#[test]
fn a_lease_counts_from_the_leader_through_all_relays() {
    let (_, mut chain, mut now) = settled();
    let age = chain[2].freshness().age(now).expect("a lease");
    assert!(
        age <= INTERVAL * 2,
        "two relays add at most two intervals, not {age:?}"
    );
    // The relays go on serving the leaf although they have lost the leader.
    let cut = now;
    while chain[2].freshness().is_valid(now) {
        now += INTERVAL;
        let pull = chain[2].pull(now, announcement("leaf"));
        if let Some(reply) = chain[1].serve(now, &pull) {
            chain[2].take(now, reply);
        }
        assert!(
            now < cut + LEASE * 2,
            "the lease is renewed by relays that know nothing new"
        );
    }
    assert!(
        now <= cut + LEASE,
        "the lease outlives the last proof by {:?}",
        now.saturating_sub(cut)
    );
}

#[test]
fn a_change_spreads_as_steps() {
    let mut leader = Leader::new();
    let mut chain = chain();
    let mut now = Duration::from_secs(1);
    for round in 1..=5_u32 {
        leader.change(f64::from(round));
        for _ in 0..3 {
            now += INTERVAL;
            pull_chain(&mut leader, &mut chain, now, true, false);
        }
        let newest = leader.feed.config();
        for follower in &chain {
            assert_eq!(follower.config(), newest);
        }
    }
    let update = leader.feed.since(2);
    assert!(matches!(update, Update::Steps(steps) if steps.len() == 3));
}
