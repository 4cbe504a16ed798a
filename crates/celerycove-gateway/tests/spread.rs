//! How a process follows the committed state that control instances send it in steps.

use std::{sync::Arc, time::Duration};

use celerycove_fleet::{Change, Command, Fleet};
use celerycove_gateway::{
    broadcast::FleetState,
    message::{Peer, PeerStatus, Update, View, ViewUpdate},
    setup::Role,
};

/// The states of a log whose entries each evacuate one more data centre.
fn fleet(index: u64) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..index {
        let data_centre = format!("data-centre-{number}");
        fleet.apply(&Command::Evacuate(data_centre.as_str().into()));
    }
    fleet
}

fn update(index: u64, view: Option<ViewUpdate>) -> Update {
    Update {
        sequence: 1,
        index,
        view,
        heartbeats: Vec::new(),
        peers: None,
        leader: None,
        has_quorum: true,
    }
}

fn step(base: u64, index: u64) -> Update {
    let change = Arc::new(Change::between(&fleet(base), &fleet(index)));
    let step = ViewUpdate::Step {
        base,
        index,
        change,
    };
    update(index, Some(step))
}

fn whole(index: u64) -> Update {
    let fleet = Arc::new(fleet(index));
    update(index, Some(ViewUpdate::Whole(View { index, fleet })))
}

/// Asserts which state a process holds.
fn assert_holds(state: &FleetState, index: u64) {
    let view = state.view().expect("a state");
    assert_eq!((view.index, &*view.fleet), (index, &fleet(index)));
}

#[test]
fn a_process_without_a_state_requests_one_from_the_first_sender_only() {
    let state = FleetState::default();
    assert!(state.merge(step(2, 3)).request_view);
    assert!(!state.merge(update(3, None)).request_view);
    assert!(state.view().is_none());
    state.merge(whole(3));
    assert_holds(&state, 3);
}

#[test]
fn a_process_without_a_state_requests_none_from_a_sender_without_a_majority() {
    let state = FleetState::default();
    let mut cut_off = update(3, None);
    cut_off.has_quorum = false;
    assert!(!state.merge(cut_off).request_view);
    assert!(state.merge(update(3, None)).request_view);
}

#[test]
fn steps_of_several_senders_in_other_portions_lead_to_the_newest_state() {
    let state = FleetState::default();
    state.merge(whole(1));
    for (base, index, expected) in [(1, 2, 2), (1, 4, 2), (2, 4, 4), (1, 2, 4), (3, 4, 4)] {
        assert!(!state.merge(step(base, index)).request_view);
        assert_holds(&state, expected);
    }
}

#[test]
fn a_process_that_no_step_leads_on_requests_the_whole_state_after_a_while() {
    let state = FleetState::default();
    state.merge(whole(1));
    assert!(!state.merge(step(2, 3)).request_view);
    std::thread::sleep(Duration::from_millis(200));
    assert!(state.merge(update(3, None)).request_view);
    assert!(
        !state.merge(update(3, None)).request_view,
        "requested twice"
    );
    state.merge(whole(3));
    assert_holds(&state, 3);
    std::thread::sleep(Duration::from_millis(200));
    assert!(!state.merge(update(3, None)).request_view);
}

fn store(number: u32, silent: Duration) -> PeerStatus {
    PeerStatus {
        peer: Peer {
            process: format!("10.0.0.{number}:7782").as_str().into(),
            role: Role::Store,
            instance: format!("store-{number}").into(),
            data_centre: "a".into(),
            has_disk: true,
            may_bootstrap: false,
            has_empty_disk: false,
        },
        silent,
    }
}

fn list(stores: Vec<PeerStatus>) -> Update {
    Update {
        peers: Some(stores),
        ..update(1, None)
    }
}

/// Guards against an entry that forgets the stores while nothing changes: if the leading store is lost
/// after that, no turn is served though the others run.
#[test]
fn processes_are_not_forgotten_in_a_quiet_period_without_lists() {
    let state = FleetState::default();
    let start = Duration::from_hours(1);
    let sound = |number| store(number, Duration::ZERO);
    state.merge_at(start, list(vec![sound(1), sound(2), sound(3)]));
    for quiet in [1, 3, 10, 30, 24 * 60].map(Duration::from_mins) {
        let now = start + quiet;
        // A configuration comes, which says nothing of the processes.
        state.merge_at(now, update(2, None));
        assert_eq!(state.peers_at(now, Role::Store).len(), 3, "after {quiet:?}");
    }
}

#[test]
fn a_process_that_lists_no_longer_name_is_forgotten() {
    let state = FleetState::default();
    let start = Duration::from_hours(1);
    state.merge_at(
        start,
        list(vec![store(1, Duration::ZERO), store(2, Duration::ZERO)]),
    );
    let mut now = start;
    for round in 1..=5_u32 {
        now = start + Duration::from_secs(30) * round;
        state.merge_at(now, list(vec![store(1, Duration::ZERO)]));
        let is_due = round >= 4;
        assert_eq!(
            state.peers_at(now, Role::Store).len(),
            if is_due { 1 } else { 2 }
        );
    }
    // A list of a control instance that has just started is short; the next one is whole again.
    state.merge_at(
        now,
        list(vec![store(1, Duration::ZERO), store(3, Duration::ZERO)]),
    );
    now += Duration::from_secs(30);
    state.merge_at(now, list(vec![]));
    assert_eq!(state.peers_at(now, Role::Store).len(), 2);
}
