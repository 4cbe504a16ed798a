//! Which entries a leader admits and removes.

use std::time::Duration;

use super::*;

fn entry(number: usize, silent: Duration) -> PeerStatus {
    PeerStatus {
        peer: Peer {
            process: format!("10.0.0.{number}:7780").as_str().into(),
            role: Role::Entry,
            instance: format!("entry-{number}").into(),
            data_centre: "a".into(),
            has_disk: false,
            may_bootstrap: false,
            has_empty_disk: false,
        },
        silent,
    }
}

#[test]
fn all_entries_that_connect_at_the_first_start_are_admitted_in_one_round() {
    let known: Vec<_> = (0..92).map(|n| entry(n, Duration::ZERO)).collect();
    let mut fleet = Fleet::default();
    for command in entry_commands(&fleet.entries, &known) {
        fleet.apply(&command);
    }
    assert_eq!(fleet.entries.len(), 92);
    assert!(entry_commands(&fleet.entries, &known).is_empty());
}

#[test]
fn one_instance_of_a_data_centre_publishes_its_demand_and_another_if_it_is_silent() {
    let control = |name: &str, data_centre: &str, has_disk: bool| {
        let mut status = entry(0, Duration::ZERO);
        status.peer.process = name.into();
        status.peer.data_centre = data_centre.into();
        status.peer.has_disk = has_disk;
        status
    };
    let mut known = [
        control("1", "a", false),
        control("2", "a", true),
        control("3", "b", true),
    ];
    let publishers = |known: &[PeerStatus]| {
        let first = known
            .iter()
            .filter(|status| is_first_in_data_centre(&status.peer, known));
        first
            .map(|status| status.peer.process.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(publishers(&known), ["2", "3"]);
    known[1].silent = Duration::from_secs(3);
    assert!(publishers(&known).contains(&"1".to_owned()));
}

#[test]
fn only_an_entry_that_was_silent_for_long_is_removed() {
    let silences = [Duration::ZERO, ENTRY_EXPIRY / 2, ENTRY_EXPIRY];
    let known: Vec<_> = (0..)
        .zip(silences)
        .map(|(n, silent)| entry(n, silent))
        .collect();
    let committed = known.iter().map(|status| &status.peer);
    let committed = committed.map(|peer| (peer.process.clone(), peer.data_centre.clone()));
    let commands = entry_commands(&committed.collect(), &known);
    assert_eq!(commands, [Command::Dismiss(known[2].peer.process.clone())]);
}

/// Guards against a member that holds its place though its storage failed: its process still connects,
/// so that only its replica is silent.
#[test]
fn a_member_whose_replica_is_silent_counts_as_silent() {
    let mut known = [entry(1, Duration::ZERO), entry(2, Duration::ZERO)];
    for status in &mut known {
        status.peer.has_disk = true;
    }
    let names = known.clone().map(|status| status.peer.process);
    let now = Timestamp::from_secs(9);
    let status = Status {
        replied_at: names
            .iter()
            .cloned()
            .zip([now, Timestamp::from_secs(5)])
            .collect(),
        ..Status::default()
    };
    let candidates = member_candidates(now, known.to_vec(), &status, &BTreeSet::new());
    let silences = names.map(|name| candidates[&name].silent_for);
    assert_eq!(silences, [Duration::ZERO, Duration::from_secs(4)]);
}
