//! What a plain call and a turn cost each role, on the real processes without faults.

use std::{path::Path, time::Duration};

use celerycove_platform::outside::{Ask, LOOKUPS};
use tokio::time::sleep;

use crate::{
    caller,
    fleet::{Fleet, Folder},
    plan::{Kind, Shape},
    run::{Options, World, of_kind},
};

/// Clock ticks a second in which the system counts processor time.
const TICKS: f64 = 100.0;
/// How long idle processes are watched.
const IDLE: Duration = Duration::from_secs(10);
const KINDS: [Kind; 3] = [Kind::Entry, Kind::Control, Kind::Store];

/// One row of the table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Row {
    /// The role.
    pub kind: Kind,
    /// Milliseconds of processor time in each second without work, over all processes of the role.
    pub idle: f64,
    /// Milliseconds of processor time for each plain call, idle time left out.
    pub call: f64,
    /// Milliseconds of processor time for each turn with two calls beside it.
    pub turn: f64,
    /// The largest peak of memory of one process, in MB.
    pub peak: f64,
}

/// Processor time and peak of memory of processes, by kind.
fn spent(fleet: &Fleet, kind: Kind) -> std::io::Result<(f64, f64)> {
    let (mut seconds, mut peak) = (0.0, 0.0_f64);
    for id in of_kind(kind, fleet) {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
        let fields = stat.rsplit(')').next().unwrap_or_default();
        // After the name: the state is the first, user and system time the 12th and 13th.
        let ticks = fields.split_whitespace().skip(11).take(2);
        seconds += ticks
            .filter_map(|ticks| ticks.parse::<f64>().ok())
            .sum::<f64>()
            / TICKS;
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let high = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let high = high.and_then(|line| line.trim().split(' ').next()?.parse::<f64>().ok());
        peak = peak.max(high.unwrap_or_default() / 1024.0);
    }
    Ok((seconds, peak))
}

async fn all(world: &World) -> std::io::Result<[(f64, f64); 3]> {
    let fleet = world.fleet.lock().await;
    let mut all = [(0.0, 0.0); 3];
    for (slot, kind) in all.iter_mut().zip(KINDS) {
        *slot = spent(&fleet, kind)?;
    }
    Ok(all)
}

/// Measures a small fleet: one data centre each for three control instances and stores, one entry each.
///
/// # Errors
///
/// Returns an error if something can't be started or read.
pub async fn measure(binary: &Path, calls: u32, programs: u32) -> std::io::Result<Vec<Row>> {
    let folder = Folder::new("cost")?;
    let options = Options {
        seed: 0,
        shape: Shape {
            data_centres: 3,
            entries: 1,
            length: Duration::ZERO,
        },
        callers: 0,
        run: 250,
    };
    let world = World::start(binary, &folder.path, &options).await?;
    let before = all(&world).await?;
    sleep(IDLE).await;
    let idle = all(&world).await?;
    let begun = tokio::time::Instant::now();
    for number in 0..calls {
        let name = format!("measured-{number}");
        let asked = Ask {
            request: &name,
            patience: Duration::from_secs(3),
            ..Ask::default()
        };
        let entry = world.entries[number as usize % world.entries.len()];
        caller::ask(entry, LOOKUPS, &asked, bytes::Bytes::new())
            .await
            .map_err(std::io::Error::other)?;
    }
    let (called, calling) = (all(&world).await?, begun.elapsed());
    let begun = tokio::time::Instant::now();
    let turns_before = world.ledger.served("turns");
    let mut measured = world.caller(0);
    for _ in 0..programs {
        measured.program(u64::MAX / 2).await;
    }
    let (turned, turning) = (all(&world).await?, begun.elapsed());
    let turns =
        f64::from(u32::try_from(world.ledger.served("turns") - turns_before).unwrap_or(u32::MAX));
    let rows = KINDS.iter().enumerate().map(|(at, kind)| {
        let rate = (idle[at].0 - before[at].0) / IDLE.as_secs_f64();
        let net = |from: f64, to: f64, time: Duration| to - from - rate * time.as_secs_f64();
        Row {
            kind: *kind,
            idle: rate * 1_000.0,
            call: net(idle[at].0, called[at].0, calling) * 1_000.0 / f64::from(calls),
            turn: net(called[at].0, turned[at].0, turning) * 1_000.0 / turns,
            peak: turned[at].1,
        }
    });
    Ok(rows.collect())
}
