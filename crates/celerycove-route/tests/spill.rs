//! Two data centres whose traffic varies by half at different times, seen by entries through sums that
//! are 200 to 400 ms old.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use celerycove_route::direct::{
    Load, Outcome, Registration, Request, Run, Servers, affinity_hash,
    demand::{Collector, Counts},
};
use celerycove_types::Timestamp;

const DATA_CENTRES: [&str; 2] = ["a", "b"];
const ENTRIES: usize = 8;
const SERVERS: usize = 12;
const SLOTS: usize = 8;
const CALL: Duration = Duration::from_millis(40);
/// The smallest target latency of a route that has an effect: entries repeat a call at another server
/// after three times as long, but after 450 ms at the earliest.
const TARGET_LATENCY: Duration = Duration::from_millis(150);
const PERIOD: f64 = 13.0;
const INTERVAL: Duration = Duration::from_millis(200);

struct Call {
    end: Timestamp,
    entry: usize,
    server: usize,
    total: Duration,
}

#[derive(Default)]
struct Day {
    times: Vec<Duration>,
    /// Calls that went to the other data centre, by tenth of a second, from each.
    crossed: BTreeMap<u128, [u32; 2]>,
}

impl Day {
    /// Share of the calls that crossed while as many crossed in the other direction.
    fn share_swapped(&self) -> f64 {
        let swapped: u32 = self.crossed.values().map(|[a, b]| 2 * a.min(b)).sum();
        f64::from(swapped) / f64::from(u32::try_from(self.times.len()).expect("few"))
    }

    fn share_crossed(&self) -> f64 {
        let crossed: u32 = self.crossed.values().flatten().sum();
        f64::from(crossed) / f64::from(u32::try_from(self.times.len()).expect("few"))
    }

    fn late(&mut self) -> Duration {
        self.times.sort_unstable();
        self.times[self.times.len() * 99 / 100]
    }
}

fn entry(number: usize, is_split: bool) -> Servers {
    let mut servers = Servers::new(DATA_CENTRES[number % 2].into());
    let registrations = (0..SERVERS).filter(|server| !is_split || server % 2 == number % 2);
    let registrations = registrations.map(|server| Registration {
        backend: format!("s{server}").into(),
        incarnation: 1,
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: DATA_CENTRES[server % 2].into(),
        slots: 8,
        last_heartbeat: Duration::from_hours(1),
        cold_until: Timestamp::ZERO,
        cold_rate: 0.0,
        cache_tokens: None,
        version: "v1".into(),
    });
    servers.update(Timestamp::ZERO, &Arc::from("tool"), registrations.collect());
    // The time of a call is learned where servers share their machines.
    let load = Load {
        running: 0,
        waiting: 0,
        slowdown: Some(101),
    };
    for server in 0..SERVERS {
        servers.record_load(Timestamp::ZERO, "tool", &format!("s{server}"), load);
    }
    servers
}

/// Plays 13 s of calls that take three quarters of all slots together, and at the peak of a data centre
/// more than its own.
fn play(is_split: bool) -> Day {
    let mut entries: Vec<Servers> = (0..ENTRIES).map(|n| entry(n, is_split)).collect();
    let mut running: Vec<Vec<Timestamp>> = vec![Vec::new(); SERVERS];
    let mut calls: Vec<Call> = Vec::new();
    let mut day = Day::default();
    let mut due = [0.0; 2];
    let mut late_sums: Vec<(Timestamp, &str, Counts)> = Vec::new();
    let (mut now, mut number) = (Timestamp::ZERO, 0_usize);
    while now < Duration::from_secs_f64(PERIOD) {
        now += Duration::from_millis(1);
        let (ended, left): (Vec<_>, Vec<_>) = calls.into_iter().partition(|c| c.end <= now);
        calls = left;
        for call in ended {
            let (entry, name) = (&mut entries[call.entry], format!("s{}", call.server));
            entry.record_outcome(now, "tool", &name, Outcome::Answered, None);
            let run = Run {
                first_byte: call.total,
                total: call.total,
                prompt_read: 0,
                generated: 0,
                running: 1,
            };
            entry.record_run(now, "tool", &name, &run);
        }
        if now.as_millis().is_multiple_of(INTERVAL.as_millis()) {
            late_sums.extend(sums(now, &mut entries).map(|(dc, sum)| (now + INTERVAL, dc, sum)));
        }
        let (arrived, later): (Vec<_>, Vec<_>) = late_sums.into_iter().partition(|s| s.0 <= now);
        late_sums = later;
        for (_, data_centre, sum) in arrived {
            for entry in &mut entries {
                entry.merge_demand(now, data_centre.into(), sum.clone());
            }
        }
        for (home, due) in due.iter_mut().enumerate() {
            let phase = if home == 0 { 0.0 } else { 0.5 };
            let wave = ((now.as_secs_f64() / PERIOD + phase) * std::f64::consts::TAU).sin();
            *due += 0.9 * (1.0 + 0.5 * wave);
            while *due >= 1.0 {
                *due -= 1.0;
                number += 1;
                let entry = (number * 7 % (ENTRIES / 2)) * 2 + home;
                let request = Request {
                    affinity: affinity_hash(&format!("call-{number}")),
                    ..Request::default()
                };
                let selection = entries[entry].select(now, "tool", &request);
                let selection = selection.expect("a server");
                let server: usize = selection.backend[1..].parse().expect("a number");
                let queue = &mut running[server];
                queue.retain(|end| *end > now);
                queue.sort_unstable();
                let begin = queue.len().checked_sub(SLOTS).map_or(now, |n| queue[n]);
                let end = begin + CALL;
                queue.push(end);
                let total = end.saturating_sub(now);
                day.times.push(total);
                if server % 2 != home {
                    day.crossed.entry(now.as_millis() / 100).or_default()[home] += 1;
                }
                calls.push(Call {
                    end,
                    entry,
                    server,
                    total,
                });
            }
        }
    }
    day
}

/// Returns the requests in flight of the entries of each data centre.
fn sums(now: Timestamp, entries: &mut [Servers]) -> impl Iterator<Item = (&'static str, Counts)> {
    let mut collectors: [Collector; 2] = Default::default();
    for (number, servers) in entries.iter_mut().enumerate() {
        let name = format!("entry-{number}").as_str().into();
        collectors[number % 2].record(now, &name, servers.take_demand());
    }
    let sums = collectors.map(|mut collector| collector.total(now).expect("reports"));
    DATA_CENTRES.into_iter().zip(sums)
}

/// Guards against queues at one data centre while another has free slots, and against data centres that
/// send each other their calls at the same time.
#[test]
fn data_centres_out_of_phase_help_each_other() {
    let [mut split, mut joint] = [true, false].map(play);
    let case = format!(
        "99%: {:?} apart, {:?} together; crossed {:.3}, swapped {:.3}",
        split.late(),
        joint.late(),
        joint.share_crossed(),
        joint.share_swapped()
    );
    println!("{case}");
    assert!(joint.late() < split.late(), "{case}");
    assert!(joint.late() <= TARGET_LATENCY, "{case}");
    assert!(joint.share_swapped() < 0.02, "{case}");
}
