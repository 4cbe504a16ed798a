//! Tests for the selection by entries that connect to backend servers directly, without a network.

use std::{sync::Arc, time::Duration};

use celerycove_route::{
    direct::{
        Load, Outcome, Registration, Report, Request, Servers, Tally, Versions, affinity_hash,
    },
    prefix::Part,
};
use celerycove_types::Timestamp;

const NOW: Timestamp = Duration::from_secs(100);

fn registration(name: &str, data_centre: &str) -> Registration {
    Registration {
        backend: name.into(),
        incarnation: 1,
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: data_centre.into(),
        slots: 6,
        last_heartbeat: NOW,
        cold_until: Timestamp::ZERO,
        cold_rate: 0.0,
        cache_tokens: Some(10_000),
        version: "".into(),
    }
}

fn servers(data_centre: &str, backends: &[(&str, &str)]) -> Servers {
    let mut servers = Servers::new(data_centre.into());
    let registrations = backends
        .iter()
        .map(|(name, data_centre)| registration(name, data_centre))
        .collect();
    servers.update(NOW, &Arc::from("llm"), registrations);
    servers
}

fn prompt(program: u64, turns: u64) -> Vec<Part> {
    let shared = Part {
        id: 1,
        tokens: 2_560,
    };
    let program_parts = (0..turns).map(|turn| Part {
        id: program * 1_000 + turn,
        tokens: 300,
    });
    std::iter::once(shared).chain(program_parts).collect()
}

#[test]
fn entries_select_the_same_backend_for_an_unseen_program() {
    let backends = [("e1", "a"), ("e2", "a"), ("e3", "a"), ("e4", "a")];
    for program in 0..50_u64 {
        let request = Request {
            affinity: affinity_hash(&format!("program-{program}")),
            ..Request::default()
        };
        let first = servers("a", &backends).select(NOW, "llm", &request);
        let second = servers("a", &backends).select(NOW, "llm", &request);
        let backends = (first.map(|c| c.backend), second.map(|c| c.backend));
        assert_eq!(backends.0, backends.1);
    }
}

#[test]
fn later_turns_go_to_the_backend_that_cached_the_history() {
    let mut servers = servers("a", &[("e1", "a"), ("e2", "a"), ("e3", "a")]);
    let mut selected = std::collections::BTreeSet::new();
    for turns in 1..6 {
        let prompt = prompt(7, turns);
        let request = Request {
            affinity: affinity_hash("p7"),
            prompt: &prompt,
            excluded: &[],
            versions: Versions::Any,
        };
        let choice = servers.select(NOW, "llm", &request).expect("a server");
        assert!(turns == 1 || choice.cached_tokens >= 2_560 + 300 * (turns - 1));
        servers.record_outcome(NOW, "llm", &choice.backend, Outcome::Answered, None);
        selected.insert(choice.backend);
    }
    assert_eq!(selected.len(), 1);
}

#[test]
fn a_burst_of_new_programs_spreads_over_all_engines() {
    let mut servers = servers("a", &[("e1", "a"), ("e2", "b"), ("e3", "c")]);
    let mut counts = std::collections::BTreeMap::new();
    for program in 0..60_u64 {
        let prompt = prompt(program, 1);
        let request = Request {
            affinity: affinity_hash(&format!("p{program}")),
            prompt: &prompt,
            excluded: &[],
            versions: Versions::Any,
        };
        let choice = servers.select(NOW, "llm", &request).expect("a server");
        *counts.entry(choice.backend).or_insert(0) += 1;
    }
    assert!(
        counts.values().all(|count| (15..=25).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn a_backend_that_reports_full_slots_is_not_selected() {
    let mut servers = servers("a", &[("e1", "a"), ("e2", "a")]);
    let load = Load {
        running: 6,
        waiting: 3,
        slowdown: None,
    };
    servers.record_load(NOW, "llm", "e1", load);
    for n in 0..20_u64 {
        let request = Request {
            affinity: n,
            ..Request::default()
        };
        let choice = servers.select(NOW, "llm", &request).expect("a server");
        assert_eq!(choice.backend.as_ref(), "e2");
        servers.record_outcome(NOW, "llm", "e2", Outcome::Answered, None);
    }
}

#[test]
fn new_programs_stay_in_the_local_data_centre_until_it_is_much_busier() {
    let backends = [("e1", "a"), ("e2", "a"), ("e3", "b"), ("e4", "b")];
    let mut servers = servers("a", &backends);
    let mut selected = Vec::new();
    for program in 0..30 {
        let prompt = prompt(program, 1);
        let request = Request {
            prompt: &prompt,
            ..Request::default()
        };
        selected.push(
            servers
                .select(NOW, "llm", &request)
                .expect("a server")
                .backend,
        );
    }
    let is_local = |name: &Arc<str>| ["e1", "e2"].contains(&name.as_ref());
    assert!(selected.iter().take(8).all(is_local), "{selected:?}");
    assert!(!selected.iter().all(is_local), "{selected:?}");
}

#[test]
fn a_remote_backend_that_cached_the_history_is_preferred() {
    let mut servers = servers("a", &[("e1", "a"), ("e2", "b")]);
    let first = prompt(1, 2);
    let request = Request {
        prompt: &first,
        excluded: &["e1".into()],
        ..Request::default()
    };
    servers.select(NOW, "llm", &request).expect("a server");
    servers.record_outcome(NOW, "llm", "e2", Outcome::Answered, None);
    let next = prompt(1, 3);
    let request = Request {
        prompt: &next,
        ..Request::default()
    };
    let choice = servers.select(NOW, "llm", &request).expect("a server");
    assert_eq!(choice.backend.as_ref(), "e2");
}

#[test]
fn a_failed_backend_is_ejected_and_tried_again_later() {
    let mut servers = servers("a", &[("e1", "a"), ("e2", "b")]);
    let request = Request::default();
    let first = servers.select(NOW, "llm", &request).expect("a server");
    assert_eq!(first.backend.as_ref(), "e1");
    servers.record_outcome(NOW, "llm", "e1", Outcome::Failed, None);
    let second = servers.select(NOW, "llm", &request).expect("a server");
    assert_eq!(second.backend.as_ref(), "e2");
    servers.record_outcome(NOW, "llm", "e2", Outcome::Answered, None);
    let later = NOW + Duration::from_secs(1);
    let third = servers.select(later, "llm", &request).expect("a server");
    assert_eq!(third.backend.as_ref(), "e1");
}

#[test]
fn a_backend_that_fails_part_of_its_requests_receives_fewer() {
    let mut servers = servers("a", &[("e1", "a"), ("e2", "a")]);
    let mut counts = [0, 0];
    for n in 0..400_u64 {
        let now = NOW + Duration::from_millis(n * 25);
        let request = Request {
            affinity: n,
            ..Request::default()
        };
        let choice = servers.select(now, "llm", &request).expect("a server");
        let is_faulty = choice.backend.as_ref() == "e1";
        counts[usize::from(!is_faulty)] += 1;
        let outcome = if is_faulty && n % 5 < 2 {
            Outcome::Erred
        } else {
            Outcome::Answered
        };
        servers.record_outcome(now, "llm", &choice.backend, outcome, None);
    }
    assert!(counts[0] * 3 < counts[1], "{counts:?}");
}

#[test]
fn failures_reported_by_another_entry_eject_a_backend() {
    let backends = [("e1", "a"), ("e2", "a"), ("e3", "a")];
    let mut other_entry = servers("a", &backends);
    let mut entry = servers("a", &backends);
    for _ in 0..2 {
        let request = Request {
            excluded: &["e1".into(), "e3".into()],
            ..Request::default()
        };
        other_entry.select(NOW, "llm", &request).expect("a server");
        other_entry.record_outcome(NOW, "llm", "e2", Outcome::Erred, None);
    }
    let reports = other_entry.take_reports();
    assert_eq!(reports.len(), 1);
    assert!(
        other_entry.take_reports().is_empty(),
        "outcomes are returned only once"
    );
    entry.merge_report(NOW, &reports[0]);
    for program in 0..20 {
        let request = Request {
            affinity: affinity_hash(&format!("program-{program}")),
            ..Request::default()
        };
        let choice = entry.select(NOW, "llm", &request).expect("a server");
        assert_ne!(choice.backend.as_ref(), "e2");
        entry.record_outcome(NOW, "llm", &choice.backend, Outcome::Answered, None);
    }
}

#[test]
fn a_low_error_rate_reported_by_another_entry_does_not_eject() {
    let mut entry = servers("a", &[("e1", "a"), ("e2", "a")]);
    for _ in 0..20 {
        entry.merge_report(
            NOW,
            &Report {
                service: "llm".into(),
                backend: "e1".into(),
                born: 1,
                tally: Tally {
                    answered: 12,
                    failed: 1,
                },
                is_leaving: false,
            },
        );
    }
    let request = Request {
        excluded: &["e2".into()],
        ..Request::default()
    };
    let choice = entry.select(NOW, "llm", &request).expect("a server");
    entry.record_outcome(NOW, "llm", "e1", Outcome::Answered, None);
    assert_eq!(choice.backend.as_ref(), "e1");
    // An ejected backend server would not be selected while the other one is available.
    let mut selected = std::collections::BTreeSet::new();
    for program in 0..20 {
        let request = Request {
            affinity: affinity_hash(&format!("program-{program}")),
            ..Request::default()
        };
        let choice = entry.select(NOW, "llm", &request).expect("a server");
        entry.record_outcome(NOW, "llm", &choice.backend, Outcome::Answered, None);
        selected.insert(choice.backend);
    }
    assert_eq!(selected.len(), 2);
}

#[test]
fn a_report_about_an_earlier_incarnation_is_ignored() {
    let mut entry = servers("a", &[("e1", "a")]);
    let before = entry.clone();
    entry.merge_report(
        NOW,
        &Report {
            service: "llm".into(),
            backend: "e1".into(),
            born: 0,
            tally: Tally {
                answered: 0,
                failed: 9,
            },
            is_leaving: false,
        },
    );
    assert_eq!(format!("{entry:?}"), format!("{before:?}"));
}

#[test]
fn isolated_errors_do_not_eject() {
    let mut servers = servers("a", &[("e1", "a"), ("e2", "b")]);
    for n in 0..100 {
        let choice = servers
            .select(NOW, "llm", &Request::default())
            .expect("a server");
        assert_eq!(choice.backend.as_ref(), "e1");
        let outcome = if n % 20 == 0 {
            Outcome::Erred
        } else {
            Outcome::Answered
        };
        servers.record_outcome(NOW, "llm", "e1", outcome, None);
    }
}

#[test]
fn an_ejected_backend_is_selected_if_no_other_is_left() {
    let mut servers = servers("a", &[("e1", "a")]);
    let request = Request::default();
    servers.select(NOW, "llm", &request);
    servers.record_outcome(NOW, "llm", "e1", Outcome::Failed, None);
    assert!(servers.select(NOW, "llm", &request).is_some());
}

#[test]
fn a_cold_backend_receives_no_more_than_its_rate() {
    let mut servers = Servers::new("a".into());
    let cold = Registration {
        cold_until: NOW + Duration::from_secs(3),
        cold_rate: 6.0,
        ..registration("e1", "a")
    };
    servers.update(NOW, &Arc::from("llm"), vec![cold]);
    let mut sent = 0;
    for elapsed_ms in 0..1_000 {
        let now = NOW + Duration::from_millis(elapsed_ms);
        if servers.select(now, "llm", &Request::default()).is_some() {
            sent += 1;
        }
    }
    assert!((6..=7).contains(&sent), "{sent}");
}

#[test]
fn a_new_incarnation_starts_with_an_empty_prefix_cache() {
    let mut servers = servers("a", &[("e1", "a")]);
    let prompt = prompt(1, 3);
    let request = Request {
        prompt: &prompt,
        ..Request::default()
    };
    servers.select(NOW, "llm", &request);
    let restarted = Registration {
        incarnation: 2,
        ..registration("e1", "a")
    };
    servers.update(NOW, &Arc::from("llm"), vec![restarted]);
    let choice = servers.select(NOW, "llm", &request).expect("a server");
    assert_eq!(choice.cached_tokens, 0);
}

/// Guards against numbers near their limits in a load that a backend server reports.
#[test]
fn a_load_at_the_limits_of_its_range_is_the_largest_load() {
    let mut servers = servers("a", &[("full", "a"), ("free", "a")]);
    let load = Load {
        running: u32::MAX,
        waiting: u32::MAX,
        slowdown: None,
    };
    servers.record_load(NOW, "llm", "full", load);
    for _ in 0..3 {
        let selection = servers.select(NOW, "llm", &Request::default());
        assert_eq!(&*selection.expect("a backend server").backend, "free");
    }
    let only_full = Request {
        excluded: &["free".into()],
        ..Request::default()
    };
    for _ in 0..3 {
        let selection = servers.select(NOW, "llm", &only_full);
        assert_eq!(&*selection.expect("the other one").backend, "full");
    }
}

/// Guards against requests to a backend server that has said in a response that it leaves.
#[test]
fn a_backend_server_that_leaves_gets_no_requests_until_it_starts_again() {
    let service = Arc::from("llm");
    let mut servers = servers("a", &[("leaving", "a"), ("staying", "b")]);
    let registered = |incarnation| Registration {
        incarnation,
        ..registration("leaving", "a")
    };
    let selected = |servers: &mut Servers, at: Timestamp| {
        let selections = (0..4).map(|affinity| {
            let request = Request {
                affinity,
                ..Request::default()
            };
            servers.select(at, "llm", &request)
        });
        let names = selections.map(|selection| selection.expect("one stays").backend.to_string());
        names.collect::<std::collections::BTreeSet<_>>()
    };
    assert!(servers.record_departure(NOW, &"leaving".into(), 1));
    assert!(
        !servers.record_departure(NOW, &"leaving".into(), 1),
        "known"
    );
    let staying = ["staying".to_owned()].into();
    assert_eq!(selected(&mut servers, NOW), staying);
    // It stays out however late, though heartbeats still call it ready, and if the fleet's state has left
    // it out for a while.
    let later = NOW + Duration::from_mins(30);
    let both = vec![registered(1), registration("staying", "b")];
    servers.update(later, &service, both.clone());
    assert_eq!(selected(&mut servers, later), staying);
    servers.update(later, &service, vec![registration("staying", "b")]);
    servers.update(later, &service, both);
    assert_eq!(selected(&mut servers, later), staying);
    // Another incarnation starts clean.
    servers.update(
        later,
        &service,
        vec![registered(2), registration("staying", "b")],
    );
    assert!(selected(&mut servers, later).contains("leaving"));
}

#[test]
fn other_entries_are_told_once_that_a_backend_server_leaves() {
    let mut first = servers("a", &[("leaving", "a"), ("staying", "a")]);
    let mut second = first.clone();
    first.record_departure(NOW, &"leaving".into(), 1);
    let reports = first.take_reports();
    assert_eq!(reports.len(), 1);
    assert!(first.take_reports().is_empty());
    second.merge_report(NOW, &reports[0]);
    for _ in 0..4 {
        let selection = second.select(NOW, "llm", &Request::default());
        assert_eq!(&*selection.expect("one stays").backend, "staying");
    }
}

/// Guards against a request that runs on a version which no order allows.
#[test]
fn a_request_goes_only_to_the_versions_that_it_may_run_on() {
    let service = Arc::from("llm");
    let mut servers = Servers::new("a".into());
    let registrations = [("e1", "v1"), ("e2", "v2"), ("e3", "")].map(|(name, version)| {
        let version = version.into();
        Registration {
            version,
            ..registration(name, "a")
        }
    });
    servers.update(NOW, &service, registrations.into());
    let mut selected = |versions| {
        let selections = (0..20).filter_map(|affinity| {
            let request = Request {
                affinity,
                versions,
                ..Request::default()
            };
            let selection = servers.select(NOW, "llm", &request)?;
            servers.record_outcome(NOW, "llm", &selection.backend, Outcome::Answered, None);
            Some(selection.version.to_string())
        });
        selections.collect::<std::collections::BTreeSet<_>>()
    };
    let excluded = ["v2".into()].into();
    let all = ["v1".into(), "v2".into(), "".into()].into();
    assert_eq!(selected(Versions::Only("v2")), ["v2".to_owned()].into());
    assert!(!selected(Versions::Except(&excluded)).contains("v2"));
    assert!(selected(Versions::Except(&all)).is_empty());
    assert!(selected(Versions::Only("v3")).is_empty());
    assert_eq!(selected(Versions::Any).len(), 3);
}
