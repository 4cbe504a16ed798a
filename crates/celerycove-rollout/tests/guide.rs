//! Leases and classification at one entry, and merging of its reports.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use celerycove_rollout::{
    Decider, Guide, Lease, Report, Rollout, Share, Stage,
    decider::Options,
    guide::{Answer, Side},
    report::{RouteTally, Tally},
};

const MS: Duration = Duration::from_millis(1);

fn rollout() -> Rollout {
    Rollout {
        to: "v2".into(),
        from: ["v1".into()].into(),
        duration: Duration::from_secs(12),
        revision: 3,
        stage: Stage::Running,
        elapsed: Duration::ZERO,
    }
}

fn guide() -> Guide {
    Guide::new("s".into(), &rollout(), 1)
}

fn lease(revision: u64, share: f64, lasts: Duration) -> Lease {
    Lease {
        service: "s".into(),
        revision,
        share: Share::from_fraction(share),
        lasts,
    }
}

fn good(first_byte: u32, is_warm: bool) -> Answer {
    Answer::Good {
        first_byte: MS * first_byte,
        floor: MS * 100,
        is_warm,
    }
}

/// Guards against requests on the new version after a lease has expired, and by a lease of an
/// earlier rollout or one that claims to last for too long.
#[test]
fn a_lease_ends_after_a_second_and_holds_for_its_own_rollout() {
    let mut guide = guide();
    guide.accept(MS, &lease(2, 1.0, MS * 1_000));
    assert_eq!(guide.side(MS * 2, 7), Side::Old);
    guide.accept(MS, &lease(3, 1.0, MS * 60_000));
    assert_eq!(guide.side(MS * 1_000, 7), Side::New);
    assert_eq!(guide.side(MS * 1_001, 7), Side::Old);
    assert_eq!(guide.report(MS * 1_001).share_in_force, Share::ZERO);
}

/// Guards against programs that change sides more than once while the share grows, and against hash
/// values in a row that all fall on one side.
#[test]
fn a_growing_share_keeps_its_programs() {
    for percent in 1..=100_u8 {
        let [smaller, larger] = [percent - 1, percent].map(f64::from).map(|p| p / 100.0);
        let [smaller, larger] = [smaller, larger].map(Share::from_fraction);
        assert!((0..5_000).all(|hash| !smaller.contains(hash) || larger.contains(hash)));
        let part = u16::try_from((0..5_000).filter(|hash| larger.contains(*hash)).count());
        let part = f64::from(part.unwrap_or(0)) / 5_000.0;
        assert!((part - larger.fraction()).abs() < 0.03, "{percent}: {part}");
    }
}

/// Guards against answers that count as slow on a cold server, below the floor, or while the old
/// version is as slow.
#[test]
fn an_answer_is_slow_only_beside_the_old_version() {
    let mut guide = guide();
    let route: Arc<str> = "r".into();
    let mut now = Duration::ZERO;
    let mut answer = |side, answer| {
        now += MS * 100;
        guide.record_sent(&route, side);
        guide.record_answer(now, &route, side, answer);
        let report = guide.report(now);
        assert_eq!(report.old_in_flight, 0);
        (report.routes[0].old.slow, report.routes[0].new.slow)
    };
    assert_eq!(answer(Side::New, good(900, true)), (0, 0), "no baseline");
    for _ in 0..20 {
        answer(Side::Old, good(30, true));
    }
    assert_eq!(answer(Side::New, good(99, true)), (0, 0), "floor");
    assert_eq!(answer(Side::New, good(900, false)), (0, 0), "cold");
    assert_eq!(answer(Side::New, good(900, true)), (0, 1));
    assert_eq!(answer(Side::New, Answer::Abandoned), (0, 1));
    for _ in 0..20 {
        answer(Side::Old, good(400, true));
    }
    let (_, before) = answer(Side::Old, good(400, true));
    assert_eq!(answer(Side::New, good(900, true)).1, before, "old is slow");
}

/// Guards against counts that are lost or counted twice when reports are repeated or late, or when
/// the entry restarts.
#[test]
fn reports_are_merged_by_boot() {
    let options = Options {
        max_share: 0.1,
        slack: 50,
        rollback: Duration::from_secs(5),
    };
    let mut decider = Decider::new(Duration::ZERO, "s".into(), &rollout(), options);
    let entry: Arc<str> = "e".into();
    let report = |boot, sent| Report {
        service: "s".into(),
        revision: 3,
        boot,
        share_in_force: Share::ZERO,
        old_in_flight: 0,
        routes: vec![RouteTally {
            route: "r".into(),
            old: Tally {
                sent,
                ..Tally::default()
            },
            new: Tally::default(),
        }],
    };
    for (boot, sent) in [(9, 5), (9, 8), (9, 5), (9, 8), (4, 3), (9, 11), (4, 3)] {
        decider.record(MS, &entry, &report(boot, sent));
    }
    assert_eq!(decider.evidence(MS).all_sent, 11);
    let step = decider.step(MS, &BTreeSet::from([entry]), 1);
    assert_eq!(step.lease.share, Share::ZERO, "reports are not collected");
}
