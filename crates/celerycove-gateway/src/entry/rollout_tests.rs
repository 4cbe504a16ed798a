//! Versions that requests may run on, by the stage of a rollout and the lease, without a network.

use std::{sync::Arc, time::Duration};

use celerycove_fleet::{Fleet, Rollout, Stage};
use celerycove_rollout::{Lease, Share, guide::Answer};
use celerycove_types::Timestamp;

use super::{Allowed, Rollouts};
use crate::{link::lock, metrics::Metrics};

const NOW: Timestamp = Duration::from_secs(100);
const SERVICE: &str = "app";
/// A hash that is in every share, since its mixed value is zero.
const FIRST: u64 = 0;

fn fleet(stage: Stage, revision: u64, barred: &[&str]) -> Fleet {
    let rollout = Rollout {
        to: "v2".into(),
        from: ["v1".into()].into(),
        duration: Duration::from_secs(12),
        revision,
        stage,
        elapsed: Duration::ZERO,
    };
    let barred = barred.iter().map(|version| (*version).into()).collect();
    Fleet {
        rollouts: [(SERVICE.into(), rollout)].into(),
        barred: [(SERVICE.into(), barred)].into(),
        ..Fleet::default()
    }
}

fn rollouts(fleet: &Fleet) -> Rollouts {
    let rollouts = Rollouts::default();
    follow(&rollouts, fleet);
    rollouts
}

fn follow(rollouts: &Rollouts, fleet: &Fleet) {
    rollouts.follow(NOW, fleet, &Metrics::new().expect("metrics"));
}

fn grant(rollouts: &Rollouts, revision: u64, share: f64) {
    grant_in_term(rollouts, 1, revision, share);
}

fn grant_in_term(rollouts: &Rollouts, term: u64, revision: u64, share: f64) {
    let lease = Lease {
        service: SERVICE.into(),
        revision,
        share: Share::from_fraction(share),
        lasts: Duration::from_secs(1),
    };
    rollouts.accept(NOW, term, &[lease]);
}

/// The versions to try, in order: `v2` for that one only, and the excluded ones otherwise.
fn tried(rollouts: &Rollouts, at: Timestamp, failed_on: Option<&str>) -> Vec<String> {
    let failed_on = failed_on.map(Into::into);
    let (first, second) = rollouts.allowed(at, SERVICE, FIRST, failed_on.as_ref());
    let allowed = std::iter::once(first).chain(second);
    let described = allowed.map(|allowed| match allowed {
        Allowed::Any => "any".to_owned(),
        Allowed::Only(version) => version.to_string(),
        Allowed::Except(versions) => {
            let versions: Vec<&str> = versions.iter().map(|version| &**version).collect();
            format!("not {}", versions.join(" "))
        }
    });
    described.collect()
}

/// Guards against requests to a new version without a lease, or with one that has expired or belongs to
/// another rollout.
#[test]
fn the_new_version_gets_requests_only_while_a_lease_is_valid() {
    let rollouts = rollouts(&fleet(Stage::Running, 3, &[]));
    assert_eq!(tried(&rollouts, NOW, None), ["not v2"]);
    grant(&rollouts, 2, 1.0);
    assert_eq!(tried(&rollouts, NOW, None), ["not v2"]);
    grant(&rollouts, 3, 0.1);
    assert_eq!(tried(&rollouts, NOW, None), ["v2", "not v2"]);
    assert!(rollouts.allows(NOW, SERVICE, FIRST, "v2"));
    let later = NOW + Duration::from_secs(1);
    assert_eq!(tried(&rollouts, later, None), ["not v2"]);
    assert!(
        !rollouts.allows(later, SERVICE, FIRST, "v2"),
        "selected before the lease expired"
    );
    assert!(rollouts.allows(later, SERVICE, FIRST, "v1"));
    let (other, _) = rollouts.allowed(NOW, "other", FIRST, None);
    assert!(matches!(other, Allowed::Any));
}

/// Guards against a lease of a deposed leader that replaces what the next one has taken back.
#[test]
fn leases_of_an_earlier_leader_are_ignored() {
    let rollouts = rollouts(&fleet(Stage::Running, 1, &[]));
    grant_in_term(&rollouts, 2, 1, 0.5);
    grant_in_term(&rollouts, 3, 1, 0.0);
    grant_in_term(&rollouts, 2, 1, 0.5);
    assert_eq!(tried(&rollouts, NOW, None), ["not v2"]);
    grant_in_term(&rollouts, 3, 1, 0.5);
    assert_eq!(tried(&rollouts, NOW, None), ["v2", "not v2"]);
}

/// Guards against a retry on the version that failed, and against one on servers that may be stopped.
#[test]
fn a_retry_goes_to_the_old_versions_until_they_may_be_stopped() {
    let rollouts = rollouts(&fleet(Stage::Running, 1, &[]));
    grant(&rollouts, 1, 0.5);
    assert_eq!(tried(&rollouts, NOW, Some("v2")), ["not v2", "v2"]);
    assert_eq!(tried(&rollouts, NOW, Some("v1")), ["v2", "not v2"]);
    grant(&rollouts, 1, 1.0);
    assert_eq!(tried(&rollouts, NOW, Some("v2")), ["v2", "not v2"]);
}

/// Guards against requests to versions that were rolled back or replaced, also by an earlier rollout.
#[test]
fn versions_that_were_rolled_back_or_replaced_get_no_requests() {
    let rollouts = rollouts(&fleet(Stage::Running, 1, &["v0"]));
    assert_eq!(tried(&rollouts, NOW, None), ["not v0 v2"]);
    grant(&rollouts, 1, 1.0);
    follow(&rollouts, &fleet(Stage::RolledBack, 1, &["v0", "v2"]));
    grant(&rollouts, 1, 1.0);
    assert_eq!(tried(&rollouts, NOW, None), ["not v0 v2"]);
    assert!(!rollouts.allows(NOW, SERVICE, FIRST, "v2"));
    follow(&rollouts, &fleet(Stage::Completed, 2, &["v1"]));
    assert_eq!(tried(&rollouts, NOW, None), ["not v1"]);
    follow(&rollouts, &Fleet::default());
    assert_eq!(tried(&rollouts, NOW, None), ["any"]);
}

/// Guards against a rollout that is completed while requests still run that the old version got before
/// the order.
#[test]
fn requests_that_run_when_the_order_arrives_are_reported_until_they_end() {
    let rollouts = Rollouts::default();
    let (service, route, old) = (Arc::from(SERVICE), Arc::from("r"), Arc::from("v1"));
    let in_flight = |rollouts: &Rollouts| {
        let metrics = Metrics::new().expect("metrics");
        rollouts.reports(NOW, &metrics)[0].old_in_flight
    };
    let begin = || lock(&rollouts.state).begin(&service, &route, &old);
    let end = |sent| lock(&rollouts.state).end(NOW, &sent, Answer::Abandoned);
    let earlier = begin();
    follow(&rollouts, &fleet(Stage::Running, 1, &[]));
    assert_eq!(in_flight(&rollouts), 1);
    let later = begin();
    assert_eq!(in_flight(&rollouts), 2);
    end(earlier);
    assert_eq!(in_flight(&rollouts), 1);
    // The next rollout counts what still runs.
    follow(&rollouts, &fleet(Stage::Running, 2, &[]));
    assert_eq!(in_flight(&rollouts), 1);
    // The end is acknowledged once none runs any more.
    follow(&rollouts, &fleet(Stage::Completed, 2, &["v1"]));
    assert!(lock(&rollouts.state).is_draining());
    end(later);
    assert!(!lock(&rollouts.state).is_draining());
    assert!(lock(&rollouts.state).in_flight.is_empty());
}
