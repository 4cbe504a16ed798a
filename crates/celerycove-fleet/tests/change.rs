//! Changes between two states of a fleet, as sent to processes that hold the earlier one.

use std::sync::Arc;

use celerycove_fleet::{
    Change, Command, Config, Fleet,
    config::{Kind, Organisation, Route},
};
use quickcheck::quickcheck;

fn route(number: u8, priority: u8) -> Arc<Route> {
    Arc::new(Route {
        name: format!("route-{number}").into(),
        host: "orders.example".to_owned(),
        prefix: format!("/{number}/"),
        kind: Kind::Idempotent,
        timeout: std::time::Duration::from_secs(1),
        target_latency: std::time::Duration::from_secs(1),
        priority,
        targets: Vec::new(),
        max_attempts: 2,
        stores_turns: false,
        retention: std::time::Duration::from_secs(1),
        anonymous: false,
        sticky: false,
        resumable: false,
        caller_patience: Route::default_patience(),
    })
}

fn organisation(number: u8, rate: u8) -> Organisation {
    Organisation {
        name: format!("organisation-{number}").into(),
        keys: vec![format!("key-{number}")],
        priority: None,
        rate: f64::from(rate),
        burst: 1.0,
    }
}

fn config(version: u64, items: &[(u8, u8)]) -> Config {
    Config {
        version,
        routes: items.iter().map(|(n, value)| route(*n, *value)).collect(),
        organisations: items
            .iter()
            .map(|(n, value)| organisation(*n, *value))
            .collect(),
        ..Config::default()
    }
}

/// The states after each of some commands, where routes and organisations come and go, also in
/// another order and with equal keys.
fn states(steps: &[(u8, Vec<(u8, u8)>)]) -> Vec<Fleet> {
    let mut fleet = Fleet::default();
    let mut states = vec![fleet.clone()];
    for (version, (kind, items)) in (1..).zip(steps) {
        let name = format!("10.0.0.{kind}:7780");
        let command = match kind % 5 {
            0 => Command::Evacuate(name.as_str().into()),
            1 => Command::Admit {
                entry: name.as_str().into(),
                data_centre: "a".into(),
            },
            2 => Command::Dismiss(name.as_str().into()),
            _ => Command::Configure(Arc::new(config(version, items))),
        };
        fleet.apply(&command);
        states.push(fleet.clone());
    }
    states
}

quickcheck! {
    fn a_change_leads_from_one_state_to_any_later_one(
        steps: Vec<(u8, Vec<(u8, u8)>)>,
        first: usize
    ) -> bool {
        let states = states(&steps);
        let first = &states[first % states.len()];
        let last = states.last().expect("the initial state");
        Change::between(first, last).apply(first) == *last
    }
}

#[test]
fn a_new_route_among_many_is_sent_without_the_others() {
    let items: Vec<(u8, u8)> = (0..200).map(|n| (n, 0)).collect();
    let mut fleet = Fleet::default();
    fleet.apply(&Command::Configure(Arc::new(config(1, &items[..199]))));
    let before = fleet.clone();
    fleet.apply(&Command::Configure(Arc::new(config(2, &items))));
    let change = Change::between(&before, &fleet);
    let size = |bytes: Result<Vec<u8>, _>| bytes.expect("encodes").len();
    let whole = size(rmp_serde::to_vec(&fleet));
    assert!(size(rmp_serde::to_vec(&change)) * 20 < whole);
}
