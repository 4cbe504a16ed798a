//! Measures the time of one selection with its outcome and run, by number of backend servers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use celerycove_route::{
    direct::{Outcome, Registration, Request, Run, Servers, affinity_hash},
    prefix::Part,
};
use celerycove_types::Timestamp;

const SELECTIONS: u32 = 50_000;

fn main() {
    for count in [16, 32, 64, 128] {
        for is_prompt in [false, true] {
            let took = measure(count, is_prompt);
            let kind = if is_prompt { "prompt" } else { "call" };
            println!("{count} servers, {kind}: {took:?}");
        }
    }
}

fn measure(count: usize, is_prompt: bool) -> Duration {
    let mut servers = Servers::new("a".into());
    let registrations = (0..count).map(|number| Registration {
        backend: format!("engine-{number}").into(),
        incarnation: 1,
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: ["a", "b", "c"][number % 3].into(),
        slots: 48,
        last_heartbeat: Duration::from_hours(1),
        cold_until: Timestamp::ZERO,
        cold_rate: 0.0,
        cache_tokens: Some(131_445),
        version: "v1".into(),
    });
    servers.update(Timestamp::ZERO, &Arc::from("llm"), registrations.collect());
    let begun = Instant::now();
    for number in 0..SELECTIONS {
        let now = Duration::from_micros(u64::from(number) * 100);
        let program = u64::from(number / 6);
        let prompt = [
            (program % 16, 2_560),
            (1_000 + program * 8 + u64::from(number % 6), 700),
        ]
        .map(|(id, tokens)| Part { id, tokens });
        let request = Request {
            affinity: affinity_hash(&program.to_string()),
            prompt: if is_prompt { &prompt } else { &[] },
            ..Request::default()
        };
        let Some(selection) = servers.select(now, "llm", &request) else {
            continue;
        };
        let run = Run {
            first_byte: Duration::from_millis(40),
            total: Duration::from_millis(if is_prompt { 400 } else { 40 }),
            prompt_read: if is_prompt { 700 } else { 0 },
            generated: if is_prompt { 60 } else { 0 },
            running: 3,
        };
        let (backend, outcome) = (&selection.backend, Outcome::Answered);
        servers.record_outcome(now, "llm", backend, outcome, None);
        servers.record_run(now, "llm", backend, &run);
    }
    begun.elapsed() / SELECTIONS
}
