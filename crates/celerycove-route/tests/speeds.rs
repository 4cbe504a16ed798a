//! Servers of different speeds, and servers that neighbours slow down for fractions of a second.

use std::{sync::Arc, time::Duration};

use celerycove_route::direct::{Load, Outcome, Registration, Request, Servers, affinity_hash};
use celerycove_types::Timestamp;

const NOW: Timestamp = Duration::from_secs(100);

fn registration(name: &str) -> Registration {
    Registration {
        backend: name.into(),
        incarnation: 1,
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "a".into(),
        slots: 8,
        last_heartbeat: Duration::from_hours(1),
        cold_until: Timestamp::ZERO,
        cold_rate: 0.0,
        cache_tokens: None,
    }
}

fn servers(count: usize) -> Servers {
    let mut servers = Servers::new("a".into());
    let registrations = (0..count).map(|n| registration(&format!("s{n}")));
    servers.update(NOW, &Arc::from("tool"), registrations.collect());
    servers
}

/// Returns how many of 100 calls go to the first server.
fn calls_at_first(servers: &mut Servers, now: Timestamp) -> usize {
    let calls = (0..100_u64).filter(|call| {
        let request = Request {
            affinity: affinity_hash(&format!("call-{call}")),
            ..Request::default()
        };
        let selection = servers.select(now, "tool", &request).expect("a server");
        let outcome = Outcome::Abandoned;
        servers.record_outcome(now, "tool", &selection.backend, outcome, None);
        &*selection.backend == "s0"
    });
    calls.count()
}

fn idle(slowdown: u32) -> Load {
    Load {
        running: 0,
        waiting: 0,
        slowdown: Some(slowdown),
    }
}

/// Guards against calls to a server that just reported that a neighbour slows it down, and against
/// avoiding it for longer than the report says anything about.
#[test]
fn a_reported_slowdown_counts_while_it_is_fresh() {
    for (age_ms, is_avoided) in [(0, true), (150, true), (300, false), (2_000, false)] {
        let mut servers = servers(3);
        servers.record_load(NOW, "tool", "s0", idle(250));
        let calls = calls_at_first(&mut servers, NOW + Duration::from_millis(age_ms));
        assert_eq!(calls == 0, is_avoided, "{calls} of 100 after {age_ms} ms");
    }
}

/// Guards against figures at the limits of their range, and against taking the usual speed for a
/// slowdown.
#[test]
fn any_slowdown_is_used() {
    for slowdown in [0, 10, 99, 100, 101, 10_000, u32::MAX] {
        let mut servers = servers(3);
        servers.record_load(NOW, "tool", "s0", idle(slowdown));
        let calls = calls_at_first(&mut servers, NOW);
        match slowdown {
            0..100 => assert_eq!(calls, 100, "{slowdown}"),
            100 => assert!((15..55).contains(&calls), "{calls}"),
            _ => assert_eq!(calls, 0, "{slowdown}"),
        }
    }
}
