//! Measures the processor time that a plain call and a turn cost each role, and the memory, with
//! the real processes and without faults.

use std::{path::Path, time::Duration};

use celerycove_platform::simulation::{ClientRequest, LOOKUP_PREFIX};
use tokio::time::sleep;

use crate::{
    caller,
    fleet::{Fleet, RunDir},
    plan::{Kind, Shape},
    run::{Options, Testbed, pids},
};

/// Unit of the processor times in `/proc`, in ticks per second (`USER_HZ`).
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
/// Duration of the measurement without load.
const IDLE_PERIOD: Duration = Duration::from_secs(10);
const KINDS: [Kind; 3] = [Kind::Entry, Kind::Control, Kind::Store];

/// The costs of one role.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Row {
    /// The role.
    pub kind: Kind,
    /// Milliseconds of processor time per second without load, summed over all processes of the
    /// role.
    pub idle_ms_per_s: f64,
    /// Milliseconds of processor time per plain call, without the idle share.
    pub call_ms: f64,
    /// Milliseconds of processor time per turn and the two calls that follow it, without the idle
    /// share.
    pub turn_ms: f64,
    /// The highest peak memory use of a process of the role, in MB.
    pub peak_mb: f64,
}

/// Returns the processor time of all processes of a kind in seconds, and the highest peak memory
/// use of one of them in MB.
fn resource_usage(fleet: &Fleet, kind: Kind) -> std::io::Result<(f64, f64)> {
    let (mut seconds, mut peak_mb) = (0.0, 0.0_f64);
    for pid in pids(kind, fleet) {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let fields = stat.rsplit(')').next().unwrap_or_default();
        // Fields after the command name: the first is the state, the 12th and 13th are user and
        // system time.
        let ticks = fields.split_whitespace().skip(11).take(2);
        seconds += ticks
            .filter_map(|ticks| ticks.parse::<f64>().ok())
            .sum::<f64>()
            / CLOCK_TICKS_PER_SECOND;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
        let high_water_kb = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let high_water_kb =
            high_water_kb.and_then(|line| line.trim().split(' ').next()?.parse::<f64>().ok());
        peak_mb = peak_mb.max(high_water_kb.unwrap_or_default() / 1024.0);
    }
    Ok((seconds, peak_mb))
}

/// Returns the resource usage of the processes of each of [`KINDS`], in that order.
async fn usage_by_kind(testbed: &Testbed) -> std::io::Result<[(f64, f64); 3]> {
    let fleet = testbed.fleet.lock().await;
    let mut usage = [(0.0, 0.0); 3];
    for (slot, kind) in usage.iter_mut().zip(KINDS) {
        *slot = resource_usage(&fleet, kind)?;
    }
    Ok(usage)
}

/// Measures a fleet of three data centres, each with one control, store and entry process.
///
/// # Errors
///
/// Returns an error if a process can't be started, a call fails or `/proc` can't be read.
pub async fn measure(binary: &Path, calls: u32, programs: u32) -> std::io::Result<Vec<Row>> {
    let run_dir = RunDir::new("cost")?;
    let options = Options {
        seed: 0,
        shape: Shape {
            data_centres: 3,
            entries: 1,
            fault_period: Duration::ZERO,
        },
        callers: 0,
        address_byte: 250,
    };
    let testbed = Testbed::start(binary, &run_dir.path, &options).await?;
    let at_start = usage_by_kind(&testbed).await?;
    sleep(IDLE_PERIOD).await;
    let idle = usage_by_kind(&testbed).await?;
    let started = tokio::time::Instant::now();
    for number in 0..calls {
        let name = format!("measured-{number}");
        let metadata = ClientRequest {
            request_id: &name,
            timeout: Duration::from_secs(3),
            ..ClientRequest::default()
        };
        let entry = testbed.entries[number as usize % testbed.entries.len()];
        caller::send_request(entry, LOOKUP_PREFIX, &metadata, bytes::Bytes::new())
            .await
            .map_err(std::io::Error::other)?;
    }
    let (after_calls, calls_duration) = (usage_by_kind(&testbed).await?, started.elapsed());
    let started = tokio::time::Instant::now();
    let turns_before = testbed.checker.served("turns");
    let mut caller = testbed.caller(0);
    for _ in 0..programs {
        caller.run_program(u64::MAX / 2).await;
    }
    let (after_turns, turns_duration) = (usage_by_kind(&testbed).await?, started.elapsed());
    let turns = f64::from(
        u32::try_from(testbed.checker.served("turns") - turns_before).unwrap_or(u32::MAX),
    );
    let rows = KINDS.iter().enumerate().map(|(index, kind)| {
        let idle_rate = (idle[index].0 - at_start[index].0) / IDLE_PERIOD.as_secs_f64();
        let without_idle =
            |from: f64, to: f64, duration: Duration| to - from - idle_rate * duration.as_secs_f64();
        Row {
            kind: *kind,
            idle_ms_per_s: idle_rate * 1_000.0,
            call_ms: without_idle(idle[index].0, after_calls[index].0, calls_duration) * 1_000.0
                / f64::from(calls),
            turn_ms: without_idle(after_calls[index].0, after_turns[index].0, turns_duration)
                * 1_000.0
                / turns,
            peak_mb: after_turns[index].1,
        }
    });
    Ok(rows.collect())
}
