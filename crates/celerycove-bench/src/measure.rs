//! Timing, memory and the lines that report them.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

/// How long one figure is measured.
const SPAN: Duration = Duration::from_millis(120);

/// Gives the mean time of one call in nanoseconds.
pub fn nanos<T>(mut call: impl FnMut() -> T) -> f64 {
    for _ in 0..3 {
        black_box(call());
    }
    let began = Instant::now();
    let mut calls = 0_u32;
    while began.elapsed() < SPAN {
        black_box(call());
        calls += 1;
    }
    began.elapsed().as_secs_f64() * 1e9 / f64::from(calls)
}

/// Resident memory of this process in bytes; zero where the system does not tell.
#[must_use]
pub fn resident() -> u64 {
    resident_of("self")
}

/// Resident memory of a process in bytes.
#[must_use]
pub fn resident_of(process: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Gives the memory in bytes that building something adds, with what was built.
pub fn memory<T>(build: impl FnOnce() -> T) -> (f64, T) {
    let before = resident();
    let result = build();
    let added = resident().saturating_sub(before);
    (to_float(added), result)
}

/// Turns a count into a float for a figure.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn to_float(count: u64) -> f64 {
    count as f64
}

/// Prints figures at several sizes and the slope between the first and the last.
pub fn line(name: &str, unit: &str, sizes: &[(usize, f64)]) {
    let cells: Vec<String> = sizes
        .iter()
        .map(|(size, figure)| format!("{size}: {figure:.1}"))
        .collect();
    let slope = match (sizes.first(), sizes.last()) {
        (Some((small, low)), Some((large, high))) if large > small => {
            (high - low) / to_float((large - small) as u64)
        }
        _ => 0.0,
    };
    println!(
        "{name:<46} {unit:<12} {}  slope {slope:.4}",
        cells.join("  ")
    );
}
