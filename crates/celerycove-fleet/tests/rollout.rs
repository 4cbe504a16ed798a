//! Commands about rollouts that arrive late, twice or after a change of the configuration.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use celerycove_fleet::{Change, Command, Config, Effect, Fleet, Rollout, Stage, config::Service};

const SECOND: Duration = Duration::from_secs(1);

fn configure(version: u64, services: &[&str]) -> Command {
    let services = services.iter().map(|name| Service {
        name: (*name).into(),
        max_connections: 10,
        cold_rate: 0.0,
        event_tokens: None,
        cache_tokens: None,
    });
    Command::Configure(Arc::new(Config {
        version,
        services: services.collect(),
        ..Config::default()
    }))
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    fleet.apply(&configure(1, &["app", "other"]));
    fleet
}

fn start(to: &str, from: &[&str], revision: u64) -> Command {
    Command::StartRollout {
        service: "app".into(),
        to: to.into(),
        from: from.iter().map(|version| (*version).into()).collect(),
        duration: SECOND * 12,
        revision,
    }
}

fn end(revision: u64, stage: Stage) -> Command {
    Command::EndRollout {
        service: "app".into(),
        revision,
        stage,
    }
}

fn rollout(fleet: &Fleet) -> &Rollout {
    &fleet.rollouts["app"]
}

fn barred(fleet: &Fleet) -> Vec<&str> {
    let versions = fleet.barred.get("app").into_iter().flatten();
    versions.map(|version| &**version).collect()
}

/// Guards against a delayed order that undoes a later one, or that replaces a running rollout.
#[test]
fn an_order_that_was_accepted_before_another_one_has_no_effect() {
    let mut fleet = fleet();
    assert_eq!(fleet.apply(&start("v2", &["v1"], 0)), Effect::Changed);
    assert_eq!(
        (rollout(&fleet).revision, rollout(&fleet).stage),
        (1, Stage::Running)
    );
    let running = fleet.clone();
    for command in [
        start("v2", &["v1"], 0),
        start("v3", &["v1"], 0),
        start("v3", &["v1"], 1),
    ] {
        assert_eq!(fleet.apply(&command), Effect::Superseded);
        assert_eq!(fleet, running);
    }
    fleet.apply(&end(1, Stage::Completed));
    let ended = fleet.clone();
    assert_eq!(fleet.apply(&start("v3", &["v1"], 0)), Effect::Superseded);
    assert_eq!(fleet, ended);
    assert_eq!(fleet.apply(&start("v3", &["v2"], 1)), Effect::Changed);
    assert_eq!(rollout(&fleet).revision, 2);
}

/// Guards against an order for a service that a configuration removed meanwhile.
#[test]
fn an_order_for_an_unknown_service_has_no_effect() {
    let mut fleet = fleet();
    fleet.apply(&configure(2, &["other"]));
    assert_eq!(fleet.apply(&start("v2", &["v1"], 0)), Effect::Superseded);
    assert!(fleet.rollouts.is_empty());
}

/// Guards against decisions of an earlier leader, or about an earlier rollout, that arrive late.
#[test]
fn progress_and_end_apply_only_to_the_running_rollout_that_they_name() {
    let progress = |revision, seconds| Command::SetRolloutElapsed {
        service: "app".into(),
        revision,
        elapsed: SECOND * seconds,
    };
    let mut fleet = fleet();
    assert_eq!(fleet.apply(&progress(0, 1)), Effect::Unchanged);
    assert_eq!(fleet.apply(&end(0, Stage::Completed)), Effect::Unchanged);
    fleet.apply(&start("v2", &["v1"], 0));
    assert_eq!(fleet.apply(&progress(1, 3)), Effect::Changed);
    assert_eq!(
        fleet.apply(&progress(1, 2)),
        Effect::Unchanged,
        "time never goes back"
    );
    assert_eq!(fleet.apply(&progress(2, 9)), Effect::Unchanged);
    assert_eq!(rollout(&fleet).elapsed, SECOND * 3);
    assert_eq!(fleet.apply(&end(2, Stage::Completed)), Effect::Unchanged);
    assert_eq!(fleet.apply(&end(1, Stage::Running)), Effect::Unchanged);
    assert_eq!(fleet.apply(&end(1, Stage::RolledBack)), Effect::Changed);
    for late in [end(1, Stage::Completed), progress(1, 9)] {
        assert_eq!(fleet.apply(&late), Effect::Unchanged, "an end is final");
    }
    assert_eq!(rollout(&fleet).stage, Stage::RolledBack);
}

/// Guards against requests to servers of a version that was replaced or rolled back, which may still
/// run when the next rollout of the service starts.
#[test]
fn versions_that_were_replaced_or_rolled_back_stay_barred_until_they_are_ordered() {
    let mut fleet = fleet();
    fleet.apply(&start("v2", &["v1"], 0));
    assert!(barred(&fleet).is_empty());
    fleet.apply(&end(1, Stage::RolledBack));
    assert_eq!(barred(&fleet), ["v2"]);
    fleet.apply(&start("v3", &["v1", "v2"], 1));
    assert_eq!(barred(&fleet), ["v2"]);
    fleet.apply(&end(2, Stage::Completed));
    assert_eq!(barred(&fleet), ["v1", "v2"]);
    // Its servers are gone, so it is not remembered for ever.
    fleet.apply(&start("v1", &["v3"], 2));
    assert!(barred(&fleet).is_empty());
    fleet.apply(&end(3, Stage::Completed));
    assert_eq!(barred(&fleet), ["v3"]);
}

/// Guards against a rollout that runs for ever because its service gets no requests any more.
#[test]
fn a_configuration_without_the_service_rolls_its_rollout_back() {
    let mut fleet = fleet();
    fleet.apply(&start("v2", &["v1"], 0));
    let before = fleet.clone();
    fleet.apply(&configure(2, &["other"]));
    assert_eq!(rollout(&fleet).stage, Stage::RolledBack);
    assert_eq!(fleet.check(), Ok(()));
    assert_eq!(
        Change::between(&before, &fleet).apply(&before).rollouts,
        fleet.rollouts
    );
}

/// Guards against a state or a change of an earlier version that can't be read any more.
#[test]
fn a_state_that_was_stored_without_rollouts_is_read() {
    #[derive(serde::Serialize)]
    struct Earlier {
        config: Arc<Config>,
        evacuated: BTreeSet<String>,
        entries: std::collections::BTreeMap<String, String>,
        founders: [(); 0],
        retiring: std::collections::BTreeMap<String, String>,
    }
    let earlier = Earlier {
        config: fleet().config,
        evacuated: ["a".to_owned()].into(),
        entries: [].into(),
        founders: [],
        retiring: [].into(),
    };
    let bytes = rmp_serde::to_vec_named(&earlier).expect("encodes");
    let read: Result<Fleet, _> = rmp_serde::from_slice(&bytes);
    let read = read.unwrap_or_else(|error| panic!("{error}"));
    assert!(read.rollouts.is_empty() && read.evacuated.contains("a"));
}
