//! Configurations, routes and heartbeats in every order in which they may arrive.

use std::{sync::Arc, time::Duration};

use celerycove_fleet::{
    Command, Config, Effect, Fleet, Index, Registry,
    config::{Invalid, Kind, Organisation, Route, Service, Target},
    registry::{Beat, Change, Stage},
};

const SECOND: Duration = Duration::from_secs(1);

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "orders.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        timeout: SECOND,
        aim: SECOND,
        priority: 0,
        targets: vec![Target {
            service: "app".into(),
            weight: 1,
        }],
        max_attempts: 2,
        retained: false,
        retention: SECOND,
        open: false,
        sticky: false,
        resumable: false,
    }
}

fn config(version: u64, routes: Vec<Route>) -> Config {
    Config {
        version,
        routes: routes.into_iter().map(Arc::new).collect(),
        services: vec![Service {
            name: "app".into(),
            max_connections: 10,
            cold_rate: 0.0,
            event_tokens: None,
            cache_tokens: None,
        }],
        ..Config::default()
    }
}

fn organisation(name: &str, key: &str) -> Organisation {
    Organisation {
        name: name.into(),
        keys: vec![key.to_owned()],
        priority: None,
        rate: 0.0,
        burst: 0.0,
    }
}

fn beat(backend: &str, born: u64, seq: u64, stage: Stage) -> Beat {
    Beat {
        backend: backend.into(),
        born,
        seq,
        service: "app".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "a".into(),
        slots: 6,
        stage,
        cold: Duration::ZERO,
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let index = Index::new(Arc::new(config(
        1,
        vec![route("all", "/"), route("deep", "/a/b/"), route("a", "/a/")],
    )));
    let name = |path| index.route("orders.example", path).map(|r| r.name.clone());
    assert_eq!(name("/a/b/c").as_deref(), Some("deep"));
    assert_eq!(name("/a/x").as_deref(), Some("a"));
    assert_eq!(name("/a").as_deref(), Some("all"));
    assert!(index.route("other.example", "/a/").is_none());
    assert!(index.route("Orders.Example:8080", "/a/").is_some());
}

#[test]
fn invalid_configurations_are_told_apart() {
    let mut unknown = config(1, vec![route("r", "/a/")]);
    unknown.services.clear();
    assert!(matches!(
        unknown.check(),
        Err(Invalid::UnknownService { .. })
    ));
    let same = config(1, vec![route("r", "/a/"), route("s", "/a/")]);
    assert!(matches!(same.check(), Err(Invalid::SamePlace { .. })));
    let mut weightless = config(1, vec![route("r", "/a/")]);
    Arc::make_mut(&mut weightless.routes[0]).targets[0].weight = 0;
    assert_eq!(weightless.check(), Err(Invalid::NoWeight("r".into())));
    let mut hasty = config(1, vec![route("r", "/a/")]);
    Arc::make_mut(&mut hasty.routes[0]).timeout = Duration::ZERO;
    assert_eq!(hasty.check(), Err(Invalid::NoTimeout("r".into())));
    let mut shared = config(1, vec![route("r", "/a/")]);
    shared.organisations = vec![organisation("x", "k"), organisation("y", "k")];
    assert!(matches!(shared.check(), Err(Invalid::SharedKey(..))));
}

#[test]
fn an_older_configuration_changes_nothing() {
    let mut fleet = Fleet::default();
    let newer = Command::Configure(Arc::new(config(7, vec![route("new", "/a/")])));
    let older = Command::Configure(Arc::new(config(5, vec![])));
    let same = Command::Configure(Arc::new(config(7, vec![])));
    assert_eq!(fleet.apply(&newer), Effect::Changed);
    assert_eq!(fleet.apply(&older), Effect::Unchanged);
    assert_eq!(fleet.apply(&same), Effect::Unchanged);
    assert_eq!(fleet.config.routes.len(), 1);
}

#[test]
fn a_late_heartbeat_does_not_bring_back_who_left() {
    let mut registry = Registry::default();
    registry.merge(SECOND, Duration::ZERO, beat("i1", 5, 4, Stage::Leaving));
    let late = registry.merge(SECOND, Duration::ZERO, beat("i1", 5, 3, Stage::Ready));
    let crossed = registry.merge(SECOND, Duration::ZERO, beat("i1", 5, 9, Stage::Ready));
    assert_eq!((late, crossed), (Change::Outdated, Change::Outdated));
    assert_eq!(registry.ready(SECOND, "app").count(), 0);
    let reborn = registry.merge(SECOND, Duration::ZERO, beat("i1", 6, 1, Stage::Ready));
    assert_eq!(reborn, Change::News);
    assert_eq!(registry.ready(SECOND, "app").count(), 1);
}

#[test]
fn an_address_belongs_to_the_incarnation_that_began_last() {
    let mut registry = Registry::default();
    registry.merge(SECOND, Duration::ZERO, beat("old", 5, 1, Stage::Ready));
    registry.merge(SECOND, Duration::ZERO, beat("new", 9, 1, Stage::Ready));
    let held_up = registry.merge(SECOND, Duration::ZERO, beat("old", 5, 2, Stage::Ready));
    assert_eq!(held_up, Change::Outdated);
    let ready: Vec<_> = registry.ready(SECOND, "app").collect();
    assert_eq!(ready.len(), 1);
    assert_eq!(ready[0].0.beat.backend.as_ref(), "new");
}

#[test]
fn turning_cold_is_news_and_staying_so_is_not() {
    let mut registry = Registry::default();
    registry.merge(SECOND, Duration::ZERO, beat("i1", 5, 1, Stage::Ready));
    let mut cold = beat("i1", 5, 2, Stage::Ready);
    cold.cold = SECOND * 3;
    assert_eq!(
        registry.merge(SECOND, Duration::ZERO, cold.clone()),
        Change::News
    );
    cold.seq = 3;
    cold.cold = SECOND * 2;
    assert_eq!(registry.merge(SECOND, Duration::ZERO, cold), Change::Alive);
}

#[test]
fn leaving_without_notice_ends_the_incarnation() {
    let mut registry = Registry::default();
    registry.merge(SECOND, Duration::ZERO, beat("i1", 5, 1, Stage::Ready));
    assert!(registry.leave(SECOND, &"i1".into()).is_some());
    let late = registry.merge(SECOND, Duration::ZERO, beat("i1", 5, 7, Stage::Ready));
    assert_eq!(late, Change::Outdated);
    assert_eq!(registry.ready(SECOND, "app").count(), 0);
}
