//! Distribution of shared state through chains of relays.

use std::time::Duration;

use celerycove_config::{Change, Feed, Organisation, Update, feed::Step};
use celerycove_control::Placement;
use celerycove_sync::{
    Announcement, Availability, Directory, Follower, Pull, Reply, follower::reply_to,
};

const LEASE: Duration = Duration::from_secs(4);
const SILENCE: Duration = Duration::from_secs(3);
const INTERVAL: Duration = Duration::from_millis(500);

/// The control leader at the top of a chain of relays.
struct Leader {
    feed: Feed,
    directory: Directory,
}

impl Leader {
    fn new() -> Self {
        let mut directory = Directory::default();
        directory.begin_term(1, Duration::ZERO);
        Self {
            feed: Feed::default(),
            directory,
        }
    }

    fn serve(&mut self, now: Duration, pull: &Pull) -> Reply {
        for announcement in &pull.announcements {
            self.directory
                .record_announcement(announcement, &pull.process, now);
        }
        self.directory.record_pull(&pull.process, now);
        for silent in &pull.silent {
            self.directory.record_silence(silent, &pull.process);
        }
        self.directory.expire(now, SILENCE);
        reply_to(
            pull,
            &self.feed,
            &Placement::default(),
            &self.directory,
            Duration::ZERO,
        )
    }

    fn set_rate(&mut self, rate: f64) {
        let changes = vec![Change::Organisation {
            id: "zilina".into(),
            organisation: Some(Organisation {
                rate,
                ..Organisation::default()
            }),
        }];
        let version = self.feed.config().version + 1;
        self.feed
            .apply(Update::Steps(vec![Step { version, changes }]));
    }
}

fn announcement(name: &str) -> Announcement {
    Announcement {
        process: name.into(),
        incarnation: 1,
        revision: 1,
        data_centre: "north".into(),
        address: ([127, 0, 0, 1], 1).into(),
        availability: Availability::Serving,
        shard_incarnation: None,
        caught_up_learners: Vec::new(),
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

/// Runs one round of pulls: `leaf` from `inner`, `inner` from `outer`, `outer` from the leader.
///
/// The leaf pulls only if `leaf_alive`; the leader's reply is dropped if `reply_lost`.
fn pull_chain(
    leader: &mut Leader,
    chain: &mut [Follower; 3],
    now: Duration,
    leaf_alive: bool,
    reply_lost: bool,
) {
    let [outer, inner, leaf] = chain;
    if leaf_alive {
        let pull = leaf.pull(now, announcement("leaf"));
        if let Some(reply) = inner.serve(now, &pull) {
            leaf.apply_reply(now, reply);
        }
    }
    let pull = inner.pull(now, announcement("inner"));
    if let Some(reply) = outer.serve(now, &pull) {
        inner.apply_reply(now, reply);
    }
    let pull = outer.pull(now, announcement("outer"));
    let reply = leader.serve(now, &pull);
    if !reply_lost {
        outer.apply_reply(now, reply);
    }
}

fn new_chain() -> [Follower; 3] {
    std::array::from_fn(|_| Follower::new(LEASE, SILENCE))
}

/// Returns a leader and a chain after enough pulls for all state to arrive, and the time.
fn converged() -> (Leader, [Follower; 3], Duration) {
    let mut leader = Leader::new();
    let mut chain = new_chain();
    let mut now = Duration::from_secs(1);
    for _ in 0..6 {
        now += INTERVAL;
        pull_chain(&mut leader, &mut chain, now, true, false);
    }
    (leader, chain, now)
}

#[test]
fn a_process_that_stops_behind_two_relays_is_marked_as_gone() {
    let (mut leader, mut chain, mut now) = converged();
    assert_eq!(is_gone(&leader, "leaf"), Some(false));
    let stopped_at = now;
    while is_gone(&leader, "leaf") == Some(false) {
        now += INTERVAL;
        // Every other reply is lost, so unacknowledged reports must be sent again.
        let reply_lost = now.as_millis().is_multiple_of(1000);
        pull_chain(&mut leader, &mut chain, now, false, reply_lost);
        assert!(
            now < stopped_at + SILENCE * 3,
            "the leader still considers the leaf live"
        );
    }
    assert_eq!(is_gone(&leader, "inner"), Some(false));
    assert_eq!(is_gone(&leader, "outer"), Some(false));
}

#[test]
fn a_process_that_returns_is_live_again() {
    let mut leader = Leader::new();
    let mut chain = new_chain();
    let mut now = Duration::from_secs(1);
    for leaf_alive in [true, false, true] {
        for _ in 0..20 {
            now += INTERVAL;
            pull_chain(&mut leader, &mut chain, now, leaf_alive, false);
        }
        assert_eq!(is_gone(&leader, "leaf"), Some(!leaf_alive));
    }
}

#[test]
fn lease_age_accumulates_from_the_leader_through_all_relays() {
    let (_, mut chain, mut now) = converged();
    let age = chain[2]
        .freshness()
        .age(now)
        .expect("the leaf holds a lease");
    assert!(
        age <= INTERVAL * 2,
        "two relays add at most two intervals, not {age:?}"
    );
    // The relays continue to serve the leaf although they no longer reach the leader.
    let disconnected_at = now;
    while chain[2].freshness().is_valid(now) {
        now += INTERVAL;
        let pull = chain[2].pull(now, announcement("leaf"));
        if let Some(reply) = chain[1].serve(now, &pull) {
            chain[2].apply_reply(now, reply);
        }
        assert!(
            now < disconnected_at + LEASE * 2,
            "relays without a new confirmation renew the lease"
        );
    }
    assert!(
        now <= disconnected_at + LEASE,
        "the lease expired only {:?} after the last confirmation",
        now.saturating_sub(disconnected_at)
    );
}

#[test]
fn configuration_changes_spread_incrementally() {
    let mut leader = Leader::new();
    let mut chain = new_chain();
    let mut now = Duration::from_secs(1);
    for round in 1..=5_u32 {
        leader.set_rate(f64::from(round));
        for _ in 0..3 {
            now += INTERVAL;
            pull_chain(&mut leader, &mut chain, now, true, false);
        }
        let newest = leader.feed.config();
        for follower in &chain {
            assert_eq!(follower.config(), newest);
        }
    }
    let update = leader.feed.update_since(2);
    assert!(matches!(update, Update::Steps(steps) if steps.len() == 3));
}
