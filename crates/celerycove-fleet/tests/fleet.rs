//! Route lookup, validation of configurations, and heartbeats that arrive out of order.

use std::{sync::Arc, time::Duration};

use celerycove_fleet::{
    Command, Config, Effect, Fleet, Index, Registry,
    config::{Invalid, Kind, Organisation, Route, Service, Target},
    registry::{Change, Heartbeat, Stage},
};

const SECOND: Duration = Duration::from_secs(1);

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "orders.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        timeout: SECOND,
        target_latency: SECOND,
        priority: 0,
        targets: vec![Target {
            service: "app".into(),
            weight: 1,
        }],
        max_attempts: 2,
        stores_turns: false,
        retention: SECOND,
        anonymous: false,
        sticky: false,
        resumable: false,
        caller_patience: Route::default_patience(),
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

fn heartbeat(backend: &str, started_at_ms: u64, sequence: u64, stage: Stage) -> Heartbeat {
    Heartbeat {
        backend: backend.into(),
        started_at_ms,
        sequence,
        service: "app".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "a".into(),
        slots: 6,
        stage,
        cold_remaining: Duration::ZERO,
        version: "v1".into(),
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
fn each_kind_of_invalid_configuration_returns_its_own_error() {
    let mut unknown_service = config(1, vec![route("r", "/a/")]);
    unknown_service.services.clear();
    assert!(matches!(
        unknown_service.check(),
        Err(Invalid::UnknownService { .. })
    ));
    let duplicate = config(1, vec![route("r", "/a/"), route("s", "/a/")]);
    assert!(matches!(
        duplicate.check(),
        Err(Invalid::DuplicateRoute { .. })
    ));
    let mut zero_weight = config(1, vec![route("r", "/a/")]);
    Arc::make_mut(&mut zero_weight.routes[0]).targets[0].weight = 0;
    assert_eq!(zero_weight.check(), Err(Invalid::ZeroWeight("r".into())));
    let mut zero_timeout = config(1, vec![route("r", "/a/")]);
    Arc::make_mut(&mut zero_timeout.routes[0]).timeout = Duration::ZERO;
    assert_eq!(zero_timeout.check(), Err(Invalid::ZeroTimeout("r".into())));
    let mut shared_key = config(1, vec![route("r", "/a/")]);
    shared_key.organisations = vec![organisation("x", "k"), organisation("y", "k")];
    assert!(matches!(shared_key.check(), Err(Invalid::SharedKey(..))));
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
fn a_heartbeat_of_the_same_incarnation_does_not_make_a_leaving_backend_ready() {
    let mut registry = Registry::default();
    registry.merge(
        SECOND,
        Duration::ZERO,
        heartbeat("i1", 5, 4, Stage::Leaving),
    );
    let late = registry.merge(SECOND, Duration::ZERO, heartbeat("i1", 5, 3, Stage::Ready));
    let newer_ready = registry.merge(SECOND, Duration::ZERO, heartbeat("i1", 5, 9, Stage::Ready));
    assert_eq!((late, newer_ready), (Change::Outdated, Change::Outdated));
    assert_eq!(registry.ready(SECOND, "app").count(), 0);
    let restarted = registry.merge(SECOND, Duration::ZERO, heartbeat("i1", 6, 1, Stage::Ready));
    assert_eq!(restarted, Change::Update);
    assert_eq!(registry.ready(SECOND, "app").count(), 1);
}

#[test]
fn an_address_belongs_to_the_backend_that_started_last() {
    let mut registry = Registry::default();
    registry.merge(SECOND, Duration::ZERO, heartbeat("old", 5, 1, Stage::Ready));
    registry.merge(SECOND, Duration::ZERO, heartbeat("new", 9, 1, Stage::Ready));
    let delayed = registry.merge(SECOND, Duration::ZERO, heartbeat("old", 5, 2, Stage::Ready));
    assert_eq!(delayed, Change::Outdated);
    let ready: Vec<_> = registry.ready(SECOND, "app").collect();
    assert_eq!(ready.len(), 1);
    assert_eq!(ready[0].0.heartbeat.backend.as_ref(), "new");
}

#[test]
fn becoming_cold_must_be_announced_and_staying_cold_must_not() {
    let mut registry = Registry::default();
    registry.merge(SECOND, Duration::ZERO, heartbeat("i1", 5, 1, Stage::Ready));
    let mut cold = heartbeat("i1", 5, 2, Stage::Ready);
    cold.cold_remaining = SECOND * 3;
    assert_eq!(
        registry.merge(SECOND, Duration::ZERO, cold.clone()),
        Change::Update
    );
    cold.sequence = 3;
    cold.cold_remaining = SECOND * 2;
    assert_eq!(
        registry.merge(SECOND, Duration::ZERO, cold),
        Change::Refreshed
    );
}

#[test]
fn a_shutdown_report_without_an_incarnation_ends_the_newest_one() {
    let mut registry = Registry::default();
    registry.merge(SECOND, Duration::ZERO, heartbeat("i1", 5, 1, Stage::Ready));
    assert!(registry.mark_left(SECOND, &"i1".into()).is_some());
    let late = registry.merge(SECOND, Duration::ZERO, heartbeat("i1", 5, 7, Stage::Ready));
    assert_eq!(late, Change::Outdated);
    assert_eq!(registry.ready(SECOND, "app").count(), 0);
}

/// Entries hear of thousands of backend servers; what one heartbeat costs must not grow with them.
#[test]
fn heartbeats_of_thousands_of_backend_servers_keep_their_addresses_apart() {
    let mut registry = Registry::default();
    let at = |number: u16, backend: String, started_at_ms| Heartbeat {
        address: ([10, 0, 0, 1], number).into(),
        ..heartbeat(&backend, started_at_ms, 1, Stage::Ready)
    };
    for number in 0..3_000 {
        registry.merge(
            SECOND,
            Duration::ZERO,
            at(number, format!("old-{number}"), 1),
        );
    }
    // Every second address is taken over by another backend server.
    for number in (0..3_000).step_by(2) {
        registry.merge(
            SECOND,
            Duration::ZERO,
            at(number, format!("new-{number}"), 2),
        );
    }
    let ready: Vec<_> = registry.ready(SECOND, "app").collect();
    assert_eq!(ready.len(), 3_000);
    let is_new = |backend: &str| backend.starts_with("new");
    let new = ready
        .iter()
        .filter(|(known, _)| is_new(&known.heartbeat.backend));
    assert_eq!(new.count(), 1_500);
    // What has expired no longer claims an address.
    registry.remove_expired(SECOND * 600);
    let late = registry.merge(SECOND * 600, Duration::ZERO, at(0, "old-0".to_owned(), 1));
    assert_eq!(late, Change::Update);
}

/// Guards against a delayed order that undoes a later one: orders that were accepted at an earlier
/// revision and then waited on their way are delivered in every order after the later ones.
#[test]
fn delayed_orders_do_not_undo_later_ones_in_whatever_order_they_arrive() {
    let order = |fleet: &Fleet, evacuated| Command::SetEvacuated {
        data_centre: "a".into(),
        evacuated,
        revision: fleet.revision(&"a".into()),
    };
    let mut fleet = Fleet::default();
    // Copies of the first three orders wait elsewhere while the orders themselves are carried out.
    let mut waiting = Vec::new();
    for evacuated in [true, false, true] {
        let command = order(&fleet, evacuated);
        assert_eq!(fleet.apply(&command), Effect::Changed);
        waiting.push(command);
    }
    for last in [true, false] {
        let mut fleet = fleet.clone();
        let command = order(&fleet, last);
        fleet.apply(&command);
        let expected = fleet.clone();
        for permutation in [
            [0, 1, 2],
            [0, 2, 1],
            [1, 0, 2],
            [1, 2, 0],
            [2, 0, 1],
            [2, 1, 0],
        ] {
            for index in permutation {
                assert_eq!(fleet.apply(&waiting[index]), Effect::Superseded);
                assert_eq!(fleet, expected);
            }
        }
    }
}

/// Guards against a repeated order without effect that makes a later one count as superseded.
#[test]
fn an_order_that_changes_nothing_keeps_the_revision() {
    let order = |evacuated, revision| Command::SetEvacuated {
        data_centre: "a".into(),
        evacuated,
        revision,
    };
    let mut fleet = Fleet::default();
    assert_eq!(fleet.apply(&order(false, 0)), Effect::Unchanged);
    assert_eq!(fleet.apply(&order(true, 0)), Effect::Changed);
    assert_eq!(fleet.apply(&order(true, 1)), Effect::Unchanged);
    assert_eq!(fleet.apply(&order(false, 1)), Effect::Changed);
    assert_eq!(fleet.revision(&"b".into()), 0, "another data centre");
}

/// Guards against an entry of another writer that makes a sound backend server unusable.
#[test]
fn heartbeats_that_no_backend_server_sends_are_implausible() {
    const NOW: u64 = 1_765_000_000_000;
    let sound = heartbeat("s1", NOW - 60_000, 50, Stage::Ready);
    assert_eq!(sound.check(NOW), Ok(()));
    let rejected = |change: &dyn Fn(&mut Heartbeat)| {
        let mut odd = sound.clone();
        change(&mut odd);
        odd.check(NOW).expect_err("implausible").field
    };
    assert_eq!(rejected(&|odd| odd.started_at_ms = u64::MAX), "start time");
    assert_eq!(rejected(&|odd| odd.sequence = u64::MAX), "sequence number");
    assert_eq!(rejected(&|odd| odd.sequence = 1 << 40), "sequence number");
    assert_eq!(rejected(&|odd| odd.address.set_port(0)), "port");
    let unspecified = "0.0.0.0:80".parse().expect("an address");
    assert_eq!(rejected(&|odd| odd.address = unspecified), "address");
    let long = "z".repeat(60_000);
    assert_eq!(
        rejected(&|odd| odd.data_centre = long.as_str().into()),
        "names"
    );
    assert_eq!(rejected(&|odd| odd.service = long.as_str().into()), "names");
    assert_eq!(rejected(&|odd| odd.backend = long.as_str().into()), "names");
    assert_eq!(rejected(&|odd| odd.version = long.as_str().into()), "names");
    assert_eq!(rejected(&|odd| odd.slots = u32::MAX), "slots");
    assert_eq!(rejected(&|odd| odd.slots = 0), "slots");
    assert_eq!(
        rejected(&|odd| odd.cold_remaining = Duration::MAX),
        "cold time"
    );
    // Clocks differ, and a server that has just started has sent few heartbeats.
    assert_eq!(
        heartbeat("s1", NOW + 5_000, 1, Stage::Ready).check(NOW),
        Ok(())
    );
    assert_eq!(
        heartbeat("s1", 0, 7, Stage::Ready).check(NOW),
        Ok(()),
        "no start time"
    );
}

/// Guards against an entry that claims the address of a sound backend server and never comes again.
#[test]
fn a_backend_server_that_goes_on_keeps_its_address() {
    let mut registry = Registry::default();
    let ready = |registry: &Registry, now| -> Vec<String> {
        let ready = registry.ready(now, "app");
        ready
            .map(|(known, _)| known.heartbeat.backend.to_string())
            .collect()
    };
    registry.merge(
        SECOND,
        Duration::ZERO,
        heartbeat("sound", 5, 1, Stage::Ready),
    );
    registry.merge(
        SECOND * 2,
        Duration::ZERO,
        heartbeat("odd", 9, 1, Stage::Ready),
    );
    assert_eq!(
        ready(&registry, SECOND * 2),
        ["odd"],
        "it may have started there"
    );
    for second in 3..20 {
        let now = SECOND * second;
        registry.merge(
            now,
            Duration::ZERO,
            heartbeat("sound", 5, second.into(), Stage::Ready),
        );
        let expected = if second <= 7 { "odd" } else { "sound" };
        assert_eq!(ready(&registry, now), [expected], "after {second} s");
    }
    // Once the later one goes on, it has the address.
    registry.merge(
        SECOND * 20,
        Duration::ZERO,
        heartbeat("odd", 9, 2, Stage::Ready),
    );
    assert_eq!(ready(&registry, SECOND * 20), ["odd"]);
}

#[test]
fn the_report_of_a_stop_after_the_largest_sequence_number_is_recorded() {
    let mut registry = Registry::default();
    registry.merge(
        SECOND,
        Duration::ZERO,
        heartbeat("s1", 5, u64::MAX, Stage::Ready),
    );
    let left = registry.mark_left(SECOND, &"s1".into()).expect("known");
    assert_eq!((left.sequence, left.stage), (u64::MAX, Stage::Left));
}
