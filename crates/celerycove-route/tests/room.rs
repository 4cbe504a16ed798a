//! Engines whose memory is full before their slots are, and forecasts of the selection.

use std::{sync::Arc, time::Duration};

use celerycove_route::{
    direct::{Exclusion, Outcome, Registration, Request, Servers, affinity_hash},
    prefix::Part,
};
use celerycove_types::Timestamp;

const NOW: Timestamp = Duration::from_secs(100);
const MEMORY: u64 = 131_445;
const SLOTS: u32 = 48;

fn servers(names: &[&str]) -> Servers {
    let registrations = names.iter().map(|name| Registration {
        backend: (*name).into(),
        incarnation: 1,
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "a".into(),
        slots: SLOTS,
        last_heartbeat: Duration::from_hours(1),
        cold_until: Timestamp::ZERO,
        cold_rate: 0.0,
        cache_tokens: Some(MEMORY),
        version: "v1".into(),
    });
    let mut servers = Servers::new("a".into());
    servers.update(NOW, &Arc::from("llm"), registrations.collect());
    servers
}

/// A prompt with a shared part and a long part of its own.
fn prompt(program: u64) -> Vec<Part> {
    [(1, 2_560), (100 + program, 4_900)]
        .map(|(id, tokens)| Part { id, tokens })
        .into()
}

fn request(program: u64, prompt: &[Part]) -> Request<'_> {
    Request {
        affinity: affinity_hash(&format!("program-{program}")),
        prompt,
        ..Request::default()
    }
}

/// Guards against work sent to engines whose memory is full while others have room: running requests
/// are preempted there and read their prompts again.
#[test]
fn a_full_memory_counts_although_slots_are_free() {
    let mut servers = servers(&["e1", "e2", "e3", "e4"]);
    let mut counts = std::collections::BTreeMap::new();
    // 25 requests fill an engine: 2,560 tokens and 5,000 for each.
    let mut was_full = Vec::new();
    for program in 0..120 {
        let prompt = prompt(program);
        let selection = servers.select(NOW, "llm", &request(program, &prompt));
        let selection = selection.expect("an engine");
        assert_eq!(selection.is_full, selection.expected_wait > Duration::ZERO);
        was_full.push(selection.is_full);
        *counts.entry(selection.backend).or_insert(0_u32) += 1;
    }
    let first_full = was_full.iter().position(|is_full| *is_full);
    assert!(first_full.is_some_and(|n| n > 95), "full at {first_full:?}");
    assert!(was_full.last().is_some_and(|is_full| *is_full));
    assert!(
        counts.values().all(|count| (28..=32).contains(count)),
        "{counts:?}"
    );
    // All of the memory is free again once the requests have ended.
    for (backend, count) in counts {
        for _ in 0..count {
            servers.record_outcome(NOW, "llm", &backend, Outcome::Answered, None);
        }
    }
    let prompt = prompt(500);
    let selection = servers.select(NOW, "llm", &request(500, &prompt));
    let selection = selection.expect("an engine");
    assert!(!selection.is_full);
    assert_eq!(selection.expected_wait, Duration::ZERO);
}

/// Guards against a forecast that counts requests or differs from the selection.
#[test]
fn a_forecast_names_the_selected_one_first_and_counts_nothing() {
    let mut servers = servers(&["e0", "e1", "e2", "leaving", "tried"]);
    servers.record_departure(NOW, &"leaving".into(), 1);
    let tried = ["tried".into()];
    for program in 0..50 {
        let prompt = prompt(program);
        let request = Request {
            excluded: &tried,
            ..request(program, &prompt)
        };
        let forecast = servers.forecast(NOW, "llm", &request);
        assert_eq!(forecast, servers.forecast(NOW, "llm", &request));
        assert_eq!(forecast.len(), 5);
        let reason = |name: &str| {
            let found = forecast.iter().find(|c| &*c.backend == name);
            found.expect("listed").assessment.err()
        };
        assert_eq!(reason("leaving"), Some(Exclusion::Leaving));
        assert_eq!(reason("tried"), Some(Exclusion::Tried));
        assert_eq!(reason("e1"), None);
        let selection = servers.select(NOW, "llm", &request).expect("an engine");
        assert_eq!(selection.backend, forecast[0].backend);
        let expected = forecast[0].assessment.expect("it was selected");
        assert_eq!(selection.cached_tokens, expected.cached_tokens);
        assert_eq!(selection.is_full, expected.is_full);
    }
    assert!(
        servers
            .forecast(NOW, "other", &Request::default())
            .is_empty()
    );
}
