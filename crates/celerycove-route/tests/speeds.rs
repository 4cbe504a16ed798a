//! Servers of different speeds, and servers that neighbours slow down for fractions of a second.

use std::{sync::Arc, time::Duration};

use celerycove_route::{
    direct::{Load, Outcome, Registration, Request, Run, Servers, affinity_hash},
    prefix::Part,
};
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
        version: "v1".into(),
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

/// Speeds of the servers of a service, repeated.
const FACTORS: [f64; 3] = [1.0 / 0.6, 1.0, 1.0 / 1.6];

/// A service whose servers run requests independently, each in its slots.
struct Service {
    entries: Vec<Servers>,
    /// How much longer than usual each server takes.
    factors: [f64; 3],
    /// End of each running request, by server.
    running: Vec<Vec<Timestamp>>,
    /// Requests in flight by the time at which they end.
    in_flight: Vec<(Timestamp, usize, usize, Run)>,
    times: Vec<Duration>,
    /// Number of requests sent to each server.
    counts: [u32; 12],
    learns: bool,
}

impl Service {
    /// Sends a request that takes `work` on a usual server, with `parts` of a prompt.
    fn send(&mut self, now: Timestamp, number: u64, work: Duration, prompt: &[Part]) {
        let request = Request {
            affinity: affinity_hash(&format!("program-{number}")),
            prompt,
            ..Request::default()
        };
        let entry = usize::try_from(number).expect("small") % self.entries.len();
        let selection = self.entries[entry].select(now, "tool", &request);
        let selection = selection.expect("a server");
        let server: usize = selection.backend[1..].parse().expect("a number");
        let running = &mut self.running[server];
        running.retain(|end| *end > now);
        running.sort_unstable();
        let slots = 8;
        let begin = if running.len() >= slots {
            running[running.len() - slots]
        } else {
            now
        };
        let load = u32::try_from(running.len()).expect("few");
        let end = begin + work.mul_f64(self.factors[server % 3]);
        running.push(end);
        let generated = if prompt.is_empty() { 0 } else { 50 };
        let run = Run {
            first_byte: begin.saturating_sub(now),
            total: end.saturating_sub(now),
            prompt_read: prompt.iter().map(|part| part.tokens).sum(),
            generated,
            running: load + 1,
        };
        self.in_flight.push((end, entry, server, run));
        self.times.push(run.total);
        self.counts[server] += 1;
    }

    fn advance(&mut self, now: Timestamp) {
        let (ended, left): (Vec<_>, Vec<_>) =
            self.in_flight.drain(..).partition(|(end, ..)| *end <= now);
        self.in_flight = left;
        for (_, entry, server, run) in ended {
            let name = format!("s{server}");
            let running = self.running[server].iter().filter(|end| **end > now);
            let running = u32::try_from(running.count()).expect("few");
            let load = Load {
                running: running.min(8),
                waiting: running.saturating_sub(8),
                slowdown: None,
            };
            let entry = &mut self.entries[entry];
            entry.record_outcome(now, "tool", &name, Outcome::Answered, Some(load));
            if self.learns {
                entry.record_run(now, "tool", &name, &run);
            }
        }
    }
}

/// Plays 8 s of requests that take 40 ms on average, through `entries` entries, and keep `busy` of the
/// slots of twelve servers busy, if each gets as many as it can do. Counts the last 4 s.
fn play(learns: bool, factors: [f64; 3], entries: usize, busy: f64, prompt: &[Part]) -> Service {
    let mut service = Service {
        entries: vec![servers(12); entries],
        factors,
        running: vec![Vec::new(); 12],
        in_flight: Vec::new(),
        times: Vec::new(),
        counts: [0; 12],
        learns,
    };
    for entry in &mut service.entries {
        entry.record_load(NOW, "tool", "s0", idle(101));
    }
    let capacity: f64 = (0..12).map(|n| 8.0 / factors[n % 3] / 0.040).sum();
    let mut now = NOW;
    let mut number = 0_u32;
    while now < NOW + Duration::from_secs(8) {
        now += Duration::from_millis(1);
        service.advance(now);
        if now < NOW + Duration::from_secs(4) {
            service.times.clear();
            service.counts = [0; 12];
        }
        while f64::from(number) < now.saturating_sub(NOW).as_secs_f64() * capacity * busy {
            number += 1;
            // From half to one and a half of the mean.
            let spread = f64::from(number * 7_919 % 1_000) / 1_000.0 + 0.5;
            let work = Duration::from_millis(40).mul_f64(spread);
            service.send(now, number.into(), work, prompt);
        }
    }
    service.times.sort_unstable();
    service
}

fn mean(times: &[Duration]) -> Duration {
    times.iter().sum::<Duration>() / u32::try_from(times.len()).expect("few")
}

/// Guards against sending as much to servers at 0.6 of the usual speed as to those at 1.6, for calls
/// and for streams.
#[test]
fn uneven_servers_answer_sooner_than_if_taken_for_equal() {
    let prompt = [Part { id: 1, tokens: 200 }];
    for (prompt, entries, busy) in [
        (&[][..], 1, 0.3),
        (&[], 1, 0.8),
        (&[], 6, 0.3),
        (&[], 6, 0.8),
        (&prompt, 1, 0.8),
        (&prompt, 6, 0.3),
        (&prompt, 6, 0.8),
    ] {
        let [before, after] =
            [false, true].map(|learns| play(learns, FACTORS, entries, busy, prompt).times);
        let late = |times: &[Duration]| times[times.len() * 95 / 100];
        let case = format!(
            "{entries} entries, {busy}: mean {:?} to {:?}, 95% {:?} to {:?}",
            mean(&before),
            mean(&after),
            late(&before),
            late(&after)
        );
        println!("{case}");
        assert!(mean(&after) < mean(&before), "{case}");
        assert!(late(&after) <= late(&before), "{case}");
    }
}

/// Guards against taking requests of different sizes, queues or other entries' requests for speed.
#[test]
fn equal_servers_get_equal_shares() {
    for (entries, busy) in [(1, 0.3), (6, 0.8)] {
        let service = play(true, [1.0; 3], entries, busy, &[]);
        let total: u32 = service.counts.iter().sum();
        for count in service.counts {
            let share = f64::from(count) * 12.0 / f64::from(total);
            assert!((0.7..1.4).contains(&share), "{:?}", service.counts);
        }
    }
}

/// Guards against judging a restarted server by its predecessor.
#[test]
fn a_new_incarnation_has_the_usual_speed() {
    let mut servers = servers(3);
    let run = |total_ms| Run {
        first_byte: Duration::from_millis(total_ms),
        total: Duration::from_millis(total_ms),
        prompt_read: 0,
        generated: 0,
        running: 1,
    };
    servers.record_load(NOW, "tool", "s1", idle(101));
    for _ in 0..100 {
        for (name, total_ms) in [("s0", 100), ("s1", 40), ("s2", 40)] {
            servers.record_run(NOW, "tool", name, &run(total_ms));
        }
    }
    assert_eq!(calls_at_first(&mut servers, NOW), 0);
    let mut registrations: Vec<_> = ["s0", "s1", "s2"].map(registration).into();
    registrations[0].incarnation = 2;
    servers.update(NOW, &Arc::from("tool"), registrations);
    let calls = calls_at_first(&mut servers, NOW);
    assert!((15..55).contains(&calls), "{calls}");
}

/// Guards against leaving the common order for differences that come from load, in a service whose
/// servers have machines of their own.
#[test]
fn speeds_are_learned_only_where_servers_share_machines() {
    let run = |total_ms| Run {
        first_byte: Duration::from_millis(total_ms),
        total: Duration::from_millis(total_ms),
        prompt_read: 0,
        generated: 0,
        running: 1,
    };
    for (slowdown, avoids) in [(None, false), (Some(100), false), (Some(101), true)] {
        let mut servers = servers(3);
        let load = Load {
            slowdown,
            ..idle(100)
        };
        servers.record_load(NOW, "tool", "s1", load);
        for _ in 0..100 {
            for (name, total_ms) in [("s0", 100), ("s1", 40), ("s2", 40)] {
                servers.record_run(NOW, "tool", name, &run(total_ms));
            }
        }
        let calls = calls_at_first(&mut servers, NOW);
        assert_eq!(calls == 0, avoids, "{slowdown:?}: {calls}");
    }
}
