//! Choices under the loads that entries meet, without a network.

use std::{sync::Arc, time::Duration};

use celerycove_route::{
    direct::{Ending, Evidence, Facts, Load, Need, Servers, Tally, affinity},
    prefix::Part,
};
use celerycove_types::Timestamp;

const NOW: Timestamp = Duration::from_secs(100);

fn facts(name: &str, data_centre: &str) -> Facts {
    Facts {
        backend: name.into(),
        born: 1,
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: data_centre.into(),
        slots: 6,
        heard: NOW,
        cold_until: Timestamp::ZERO,
        cold_rate: 0.0,
        cache: Some(10_000),
    }
}

fn servers(near: &str, of: &[(&str, &str)]) -> Servers {
    let mut servers = Servers::new(near.into());
    let facts = of.iter().map(|(name, at)| facts(name, at)).collect();
    servers.update(NOW, &Arc::from("llm"), facts);
    servers
}

fn prompt(program: u64, turns: u64) -> Vec<Part> {
    let shared = Part {
        id: 1,
        tokens: 2_560,
    };
    let own = (0..turns).map(|turn| Part {
        id: program * 1_000 + turn,
        tokens: 300,
    });
    std::iter::once(shared).chain(own).collect()
}

#[test]
fn entries_agree_on_where_an_unseen_program_goes() {
    let of = [("e1", "a"), ("e2", "a"), ("e3", "a"), ("e4", "a")];
    for program in 0..50_u64 {
        let need = Need {
            affinity: affinity(&format!("program-{program}")),
            ..Need::default()
        };
        let first = servers("a", &of).choose(NOW, "llm", &need);
        let second = servers("a", &of).choose(NOW, "llm", &need);
        let names = (first.map(|c| c.backend), second.map(|c| c.backend));
        assert_eq!(names.0, names.1);
    }
}

#[test]
fn a_program_s_turns_go_where_its_history_is_cached() {
    let mut servers = servers("a", &[("e1", "a"), ("e2", "a"), ("e3", "a")]);
    let mut homes = std::collections::BTreeSet::new();
    for turns in 1..6 {
        let prompt = prompt(7, turns);
        let need = Need {
            affinity: affinity("p7"),
            prompt: &prompt,
            avoid: &[],
        };
        let choice = servers.choose(NOW, "llm", &need).expect("a server");
        assert!(turns == 1 || choice.cached >= 2_560 + 300 * (turns - 1));
        servers.end(NOW, "llm", &choice.backend, Ending::Answered, None);
        homes.insert(choice.backend);
    }
    assert_eq!(homes.len(), 1);
}

#[test]
fn a_burst_of_one_class_spreads_over_all_engines() {
    let mut servers = servers("a", &[("e1", "a"), ("e2", "b"), ("e3", "c")]);
    let mut counts = std::collections::BTreeMap::new();
    for program in 0..60_u64 {
        let prompt = prompt(program, 1);
        let need = Need {
            affinity: affinity(&format!("p{program}")),
            prompt: &prompt,
            avoid: &[],
        };
        let choice = servers.choose(NOW, "llm", &need).expect("a server");
        *counts.entry(choice.backend).or_insert(0) += 1;
    }
    assert!(
        counts.values().all(|count| (15..=25).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn a_full_server_is_passed_over_by_what_its_answers_tell() {
    let mut servers = servers("a", &[("e1", "a"), ("e2", "a")]);
    let load = Load {
        running: 6,
        waiting: 3,
    };
    servers.tell(NOW, "llm", "e1", load);
    for n in 0..20_u64 {
        let need = Need {
            affinity: n,
            ..Need::default()
        };
        let choice = servers.choose(NOW, "llm", &need).expect("a server");
        assert_eq!(choice.backend.as_ref(), "e2");
        servers.end(NOW, "llm", "e2", Ending::Answered, None);
    }
}

#[test]
fn programs_begin_in_their_own_data_centre_until_it_is_busier_by_far() {
    let of = [("e1", "a"), ("e2", "a"), ("e3", "b"), ("e4", "b")];
    let mut servers = servers("a", &of);
    let mut chosen = Vec::new();
    for program in 0..30 {
        let prompt = prompt(program, 1);
        let need = Need {
            prompt: &prompt,
            ..Need::default()
        };
        chosen.push(servers.choose(NOW, "llm", &need).expect("a server").backend);
    }
    let near = |name: &Arc<str>| ["e1", "e2"].contains(&name.as_ref());
    assert!(chosen.iter().take(8).all(near), "{chosen:?}");
    assert!(!chosen.iter().all(near), "{chosen:?}");
}

#[test]
fn a_history_cached_far_away_is_worth_the_way() {
    let mut servers = servers("a", &[("e1", "a"), ("e2", "b")]);
    let first = prompt(1, 2);
    let need = Need {
        prompt: &first,
        avoid: &["e1".into()],
        ..Need::default()
    };
    servers.choose(NOW, "llm", &need).expect("a server");
    servers.end(NOW, "llm", "e2", Ending::Answered, None);
    let next = prompt(1, 3);
    let need = Need {
        prompt: &next,
        ..Need::default()
    };
    let choice = servers.choose(NOW, "llm", &need).expect("a server");
    assert_eq!(choice.backend.as_ref(), "e2");
}

#[test]
fn a_failing_server_is_avoided_and_tried_again() {
    let mut servers = servers("a", &[("e1", "a"), ("e2", "b")]);
    let need = Need::default();
    let first = servers.choose(NOW, "llm", &need).expect("a server");
    assert_eq!(first.backend.as_ref(), "e1");
    servers.end(NOW, "llm", "e1", Ending::Failed, None);
    let second = servers.choose(NOW, "llm", &need).expect("a server");
    assert_eq!(second.backend.as_ref(), "e2");
    servers.end(NOW, "llm", "e2", Ending::Answered, None);
    let later = NOW + Duration::from_secs(1);
    let third = servers.choose(later, "llm", &need).expect("a server");
    assert_eq!(third.backend.as_ref(), "e1");
}

#[test]
fn a_server_that_fails_part_of_its_requests_is_used_less() {
    let mut servers = servers("a", &[("e1", "a"), ("e2", "a")]);
    let mut counts = [0, 0];
    for n in 0..400_u64 {
        let now = NOW + Duration::from_millis(n * 25);
        let need = Need {
            affinity: n,
            ..Need::default()
        };
        let choice = servers.choose(now, "llm", &need).expect("a server");
        let grey = choice.backend.as_ref() == "e1";
        counts[usize::from(!grey)] += 1;
        let ending = if grey && n % 5 < 2 {
            Ending::Erred
        } else {
            Ending::Answered
        };
        servers.end(now, "llm", &choice.backend, ending, None);
    }
    assert!(counts[0] * 3 < counts[1], "{counts:?}");
}

#[test]
fn what_other_entries_saw_fail_is_avoided_before_it_fails_here() {
    let of = [("e1", "a"), ("e2", "a"), ("e3", "a")];
    let mut elsewhere = servers("a", &of);
    let mut here = servers("a", &of);
    for _ in 0..2 {
        let need = Need {
            avoid: &["e1".into(), "e3".into()],
            ..Need::default()
        };
        elsewhere.choose(NOW, "llm", &need).expect("a server");
        elsewhere.end(NOW, "llm", "e2", Ending::Erred, None);
    }
    let evidence = elsewhere.evidence();
    assert_eq!(evidence.len(), 1);
    assert!(elsewhere.evidence().is_empty(), "told once");
    here.hear(NOW, &evidence[0]);
    for program in 0..20 {
        let need = Need {
            affinity: affinity(&format!("program-{program}")),
            ..Need::default()
        };
        let choice = here.choose(NOW, "llm", &need).expect("a server");
        assert_ne!(choice.backend.as_ref(), "e2");
        here.end(NOW, "llm", &choice.backend, Ending::Answered, None);
    }
}

#[test]
fn one_error_among_many_answers_elsewhere_changes_nothing_here() {
    let mut here = servers("a", &[("e1", "a"), ("e2", "a")]);
    for _ in 0..20 {
        here.hear(
            NOW,
            &Evidence {
                service: "llm".into(),
                backend: "e1".into(),
                born: 1,
                tally: Tally {
                    answered: 12,
                    failed: 1,
                },
            },
        );
    }
    let need = Need {
        avoid: &["e2".into()],
        ..Need::default()
    };
    let choice = here.choose(NOW, "llm", &need).expect("a server");
    here.end(NOW, "llm", "e1", Ending::Answered, None);
    assert_eq!(choice.backend.as_ref(), "e1");
    // It would be the second choice if it were avoided.
    let mut chosen = std::collections::BTreeSet::new();
    for program in 0..20 {
        let need = Need {
            affinity: affinity(&format!("program-{program}")),
            ..Need::default()
        };
        let choice = here.choose(NOW, "llm", &need).expect("a server");
        here.end(NOW, "llm", &choice.backend, Ending::Answered, None);
        chosen.insert(choice.backend);
    }
    assert_eq!(chosen.len(), 2);
}

#[test]
fn evidence_of_an_earlier_incarnation_is_not_held_against_the_next() {
    let mut here = servers("a", &[("e1", "a")]);
    let before = here.clone();
    here.hear(
        NOW,
        &Evidence {
            service: "llm".into(),
            backend: "e1".into(),
            born: 0,
            tally: Tally {
                answered: 0,
                failed: 9,
            },
        },
    );
    assert_eq!(format!("{here:?}"), format!("{before:?}"));
}

#[test]
fn a_rare_error_ejects_nobody() {
    let mut servers = servers("a", &[("e1", "a"), ("e2", "b")]);
    for n in 0..100 {
        let choice = servers
            .choose(NOW, "llm", &Need::default())
            .expect("a server");
        assert_eq!(choice.backend.as_ref(), "e1");
        let ending = if n % 20 == 0 {
            Ending::Erred
        } else {
            Ending::Answered
        };
        servers.end(NOW, "llm", "e1", ending, None);
    }
}

#[test]
fn few_engines_left_are_used_even_if_all_have_failed() {
    let mut servers = servers("a", &[("e1", "a")]);
    let need = Need::default();
    servers.choose(NOW, "llm", &need);
    servers.end(NOW, "llm", "e1", Ending::Failed, None);
    assert!(servers.choose(NOW, "llm", &need).is_some());
}

#[test]
fn a_cold_server_gets_no_more_than_its_allowance() {
    let mut servers = Servers::new("a".into());
    let cold = Facts {
        cold_until: NOW + Duration::from_secs(3),
        cold_rate: 6.0,
        ..facts("e1", "a")
    };
    servers.update(NOW, &Arc::from("llm"), vec![cold]);
    let mut taken = 0;
    for milli in 0..1_000 {
        let now = NOW + Duration::from_millis(milli);
        if servers.choose(now, "llm", &Need::default()).is_some() {
            taken += 1;
        }
    }
    assert!((6..=7).contains(&taken), "{taken}");
}

#[test]
fn a_new_incarnation_under_an_old_name_begins_without_a_past() {
    let mut servers = servers("a", &[("e1", "a")]);
    let prompt = prompt(1, 3);
    let need = Need {
        prompt: &prompt,
        ..Need::default()
    };
    servers.choose(NOW, "llm", &need);
    let reborn = Facts {
        born: 2,
        ..facts("e1", "a")
    };
    servers.update(NOW, &Arc::from("llm"), vec![reborn]);
    let choice = servers.choose(NOW, "llm", &need).expect("a server");
    assert_eq!(choice.cached, 0);
}
