//! Tests for building pools and selecting a backend server.

use std::{sync::Arc, time::Duration};

use celerycove_config::Config;
use celerycove_route::{Options, Pool, Reason, Report, Request, Stats, pool::Target, select};
use celerycove_sync::{
    Announcement, Availability, Backend,
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
        availability: Availability::Serving,
        shard_incarnation: None,
        caught_up_learners: Vec::new(),
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

fn four_announcements() -> Vec<Announcement> {
    (0..4).map(|n| announcement(n, "north")).collect()
}

#[test]
fn pool_matches_model_version_and_adapter() {
    for (target, served) in [
        ("drafter", true),
        ("drafter@2", true),
        ("drafter@1", false),
        ("drafter@2+menus", true),
        ("drafter+wine", false),
        ("adviser", false),
    ] {
        assert_eq!(
            !pool(&four_announcements(), target).members().is_empty(),
            served,
            "{target}"
        );
    }
}

#[test]
fn pool_excludes_leaving_and_failing_backends() {
    let mut announcements = four_announcements();
    announcements[0].availability = Availability::Leaving;
    if let Some(backend) = &mut announcements[1].backend {
        backend.failing = true;
    }
    let pool = pool(&announcements, "drafter");
    let names: Vec<&str> = pool
        .members()
        .iter()
        .map(|member| &*member.backend)
        .collect();
    assert_eq!(names, ["e2", "e3"]);
}

#[test]
fn a_cached_history_outweighs_a_short_queue_but_not_a_long_one() {
    let pool = pool(&four_announcements(), "drafter");
    let options = Options::default();
    let mut rng = StdRng::seed_from_u64(5);
    let now = Duration::from_secs(10);
    let request = Request {
        prompt_tokens: 20_000,
        cached_tokens: 19_000,
        output_tokens: 100,
        last_backend: Some("e1".into()),
        excluded: Vec::new(),
    };
    let stats = &pool.find(&"e1".into()).expect("a member").stats;
    stats.record_report(
        now,
        Report {
            cost: 800.0,
            running: 8,
            limit: 8,
        },
    );
    let choice = select(now, &pool, &request, &options, &mut rng).expect("a choice");
    assert_eq!(
        (&*choice.member.backend, choice.reason),
        ("e1", Reason::Cached)
    );
    stats.record_report(
        now,
        Report {
            cost: 80_000.0,
            running: 8,
            limit: 8,
        },
    );
    let choice = select(now, &pool, &request, &options, &mut rng).expect("a choice");
    assert_ne!(&*choice.member.backend, "e1");
}

#[test]
fn a_load_report_decays_but_requests_in_flight_do_not() {
    let stats = Stats::default();
    let decay = Duration::from_secs(5);
    let report = |running| Report {
        cost: 1000.0,
        running,
        limit: 8,
    };
    stats.record_report(Duration::from_secs(1), report(8));
    let cost_ahead = |seconds| stats.cost_ahead(Duration::from_secs(seconds), decay, 100.0, 8);
    assert!(
        cost_ahead(1) >= 1000.0 && cost_ahead(40) < 10.0,
        "{} then {}",
        cost_ahead(1),
        cost_ahead(40)
    );
    stats.record_dispatch(900.0);
    assert!(cost_ahead(60) >= 900.0);
    stats.record_completion(900.0);
    assert!(cost_ahead(60) < 1.0);
}

#[test]
fn no_cost_is_ahead_while_a_slot_is_free() {
    let stats = Stats::default();
    let decay = Duration::from_secs(5);
    let now = Duration::from_secs(1);
    let report = Report {
        cost: 0.0,
        running: 6,
        limit: 8,
    };
    stats.record_report(now, report);
    let cost_ahead = || stats.cost_ahead(now, decay, 100.0, 8);
    assert!(cost_ahead() < 1.0);
    stats.record_dispatch(100.0);
    assert!(
        cost_ahead() < 1.0,
        "one of the two free slots is still free"
    );
    stats.record_dispatch(100.0);
    assert!(cost_ahead() >= 100.0, "no slot is free any more");
}

#[test]
fn an_ejected_backend_is_selected_if_all_are_ejected() {
    let pool = pool(&four_announcements(), "drafter");
    let now = Duration::from_secs(10);
    for member in pool.members() {
        member.stats.record_failure(now);
        member.stats.record_failure(now);
        assert!(member.stats.is_ejected(now));
    }
    let mut rng = StdRng::seed_from_u64(5);
    let choice = select(
        now,
        &pool,
        &Request::default(),
        &Options::default(),
        &mut rng,
    );
    assert!(choice.is_some());
}

#[test]
fn backends_that_refused_are_not_selected_again() {
    let pool = pool(&four_announcements(), "drafter");
    let mut rng = StdRng::seed_from_u64(5);
    let mut request = Request::default();
    let now = Duration::from_secs(1);
    while let Some(choice) = select(now, &pool, &request, &Options::default(), &mut rng) {
        let backend = choice.member.backend.clone();
        assert!(
            !request.excluded.contains(&backend),
            "{backend} was selected twice"
        );
        request.excluded.push(backend);
    }
    assert_eq!(request.excluded.len(), 4);
}
