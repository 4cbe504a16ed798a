//! Measures time and memory and prints the results.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

/// Minimum time over which the calls of one measurement are repeated.
const MEASUREMENT_TIME: Duration = Duration::from_millis(120);

/// Measures the mean time of one call in nanoseconds, after three calls to warm up.
pub fn mean_nanos<T>(mut call: impl FnMut() -> T) -> f64 {
    for _ in 0..3 {
        black_box(call());
    }
    let started = Instant::now();
    let mut calls = 0_u32;
    while started.elapsed() < MEASUREMENT_TIME {
        black_box(call());
        calls += 1;
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(calls)
}

/// Returns the resident memory of this process in bytes, or zero if it is unknown.
#[must_use]
pub fn resident_bytes() -> u64 {
    resident_bytes_of("self")
}

/// Returns the resident memory of the process with this id in bytes, or zero if it is unknown.
#[must_use]
pub fn resident_bytes_of(process: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes =
        resident.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kibibytes.unwrap_or(0) * 1024
}

/// Runs `build` and returns the growth of resident memory in bytes with the value built.
pub fn memory_growth<T>(build: impl FnOnce() -> T) -> (f64, T) {
    let before = resident_bytes();
    let result = build();
    let added = resident_bytes().saturating_sub(before);
    (to_float(added), result)
}

/// Converts a count to a float; large counts are rounded.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn to_float(count: u64) -> f64 {
    count as f64
}

/// Prints results at several sizes and the slope between the first and the last.
pub fn print_results(name: &str, unit: &str, results: &[(usize, f64)]) {
    let cells: Vec<String> = results
        .iter()
        .map(|(size, value)| format!("{size}: {value:.1}"))
        .collect();
    let slope = match (results.first(), results.last()) {
        (Some((smallest, first)), Some((largest, last))) if largest > smallest => {
            (last - first) / to_float((largest - smallest) as u64)
        }
        _ => 0.0,
    };
    println!(
        "{name:<46} {unit:<12} {}  slope {slope:.4}",
        cells.join("  ")
    );
}
