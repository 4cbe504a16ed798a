//! Choices of a backend server.

use std::{sync::Arc, time::Duration};

use celerycove_config::Config;
use celerycove_route::{Need, Options, Pool, Reason, Report, Stats, choose, pool::Target};
use celerycove_sync::{
    Announcement, Backend, Life,
    announce::{Kind, Model},
};
use celerycove_types::Labels;
use rand::{SeedableRng, rngs::StdRng};

fn announcement(n: usize, data_centre: &str) -> Announcement {
    Announcement {
        process: format!("s{n}").into(),
        incarnation: 1,
        revision: 1,
        data_centre: data_centre.into(),
        address: ([127, 0, 0, 1], 1).into(),
        life: Life::Serving,
        home: None,
        learned: Vec::new(),
        backend: Some(Backend {
            id: format!("e{n}").into(),
            kind: Kind::Engine,
            labels: Labels::new(),
            models: vec![Model {
                name: "drafter".to_owned(),
                version: "2".to_owned(),
                adapters: vec!["menus".to_owned()],
            }],
            route: None,
            capacity: 8,
            failing: false,
        }),
        relay: false,
    }
}

fn pool(announcements: &[Announcement], target: &str) -> Pool {
    Pool::build(
        &Config::default(),
        announcements.iter(),
        &Vec::new(),
        &Target::Model(target.to_owned()),
        &"north".into(),
        |_| Arc::new(Stats::default()),
    )
}

fn four() -> Vec<Announcement> {
    (0..4).map(|n| announcement(n, "north")).collect()
}

#[test]
fn versions_and_adapters_are_told_apart() {
    for (target, served) in [
        ("drafter", true),
        ("drafter@2", true),
        ("drafter@1", false),
        ("drafter@2+menus", true),
        ("drafter+wine", false),
        ("adviser", false),
    ] {
        assert_eq!(
            !pool(&four(), target).members().is_empty(),
            served,
            "{target}"
        );
    }
}

#[test]
fn leaving_and_failing_backend_servers_are_left_out() {
    let mut all = four();
    all[0].life = Life::Leaving;
    if let Some(backend) = &mut all[1].backend {
        backend.failing = true;
    }
    let pool = pool(&all, "drafter");
    let names: Vec<&str> = pool
        .members()
        .iter()
        .map(|member| &*member.backend)
        .collect();
    assert_eq!(names, ["e2", "e3"]);
}

#[test]
fn a_cached_history_outweighs_a_short_wait_and_not_a_long_one() {
    let pool = pool(&four(), "drafter");
    let options = Options::default();
    let mut rng = StdRng::seed_from_u64(5);
    let now = Duration::from_secs(10);
    let need = Need {
        prompt: 20_000,
        cached: 19_000,
        generate: 100,
        last: Some("e1".into()),
        avoid: Vec::new(),
    };
    let stats = &pool.find(&"e1".into()).expect("a member").stats;
    stats.report(
        now,
        Report {
            cost: 800.0,
            running: 8,
            limit: 8,
        },
    );
    let choice = choose(now, &pool, &need, &options, &mut rng).expect("a choice");
    assert_eq!(
        (&*choice.member.backend, choice.reason),
        ("e1", Reason::Cached)
    );
    stats.report(
        now,
        Report {
            cost: 80_000.0,
            running: 8,
            limit: 8,
        },
    );
    let choice = choose(now, &pool, &need, &options, &mut rng).expect("a choice");
    assert_ne!(&*choice.member.backend, "e1");
}

#[test]
fn an_old_report_counts_less_and_own_dispatches_always() {
    let stats = Stats::default();
    let trust = Duration::from_secs(5);
    let report = |running| Report {
        cost: 1000.0,
        running,
        limit: 8,
    };
    stats.report(Duration::from_secs(1), report(8));
    let ahead = |seconds| stats.ahead(Duration::from_secs(seconds), trust, 100.0, 8);
    assert!(
        ahead(1) >= 1000.0 && ahead(40) < 10.0,
        "{} then {}",
        ahead(1),
        ahead(40)
    );
    stats.begin(900.0);
    assert!(ahead(60) >= 900.0);
    stats.end(900.0);
    assert!(ahead(60) < 1.0);
}

#[test]
fn a_free_slot_is_no_wait() {
    let stats = Stats::default();
    let trust = Duration::from_secs(5);
    let now = Duration::from_secs(1);
    let report = Report {
        cost: 0.0,
        running: 6,
        limit: 8,
    };
    stats.report(now, report);
    let ahead = || stats.ahead(now, trust, 100.0, 8);
    assert!(ahead() < 1.0);
    stats.begin(100.0);
    assert!(ahead() < 1.0, "the second of two free slots");
    stats.begin(100.0);
    assert!(ahead() >= 100.0, "no slot is free any more");
}

#[test]
fn ejection_never_empties_a_pool() {
    let pool = pool(&four(), "drafter");
    let now = Duration::from_secs(10);
    for member in pool.members() {
        member.stats.failed(now);
        member.stats.failed(now);
        assert!(member.stats.is_ejected(now));
    }
    let mut rng = StdRng::seed_from_u64(5);
    let choice = choose(now, &pool, &Need::default(), &Options::default(), &mut rng);
    assert!(choice.is_some());
}

#[test]
fn those_that_refused_are_not_tried_again() {
    let pool = pool(&four(), "drafter");
    let mut rng = StdRng::seed_from_u64(5);
    let mut need = Need::default();
    let now = Duration::from_secs(1);
    while let Some(choice) = choose(now, &pool, &need, &Options::default(), &mut rng) {
        let backend = choice.member.backend.clone();
        assert!(!need.avoid.contains(&backend), "{backend} twice");
        need.avoid.push(backend);
    }
    assert_eq!(need.avoid.len(), 4);
}
