//! What is measured of a replay.

use std::collections::BTreeMap;

use serde::Serialize;

/// One finished program.
#[derive(Debug, Clone)]
pub struct Finished {
    /// Whose it was.
    pub organisation: String,
    /// Time without its own pauses, in milliseconds.
    pub took_ms: f64,
    /// What it would have taken alone, in milliseconds.
    pub alone_ms: f64,
}

/// The result of one policy on one trace.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// The policy.
    pub policy: String,
    /// Programs finished.
    pub finished: usize,
    /// Programs that failed.
    pub failed: u64,
    /// Whole-program latency without pauses: median, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Tokens of history prefilled again, in thousands.
    pub wasted_ktokens: f64,
    /// The mean slowdown of the worst-served organisation against running alone.
    pub worst_slowdown: f64,
    /// The same without the organisation that floods, `org-0`.
    pub worst_other_slowdown: f64,
    /// Jain's index of the organisations' slowdowns.
    pub jain: f64,
    /// Engines that fell over.
    pub crashes: u64,
    /// Calls refused for their organisation's rate, without those of `org-0`, which floods.
    pub refused_others: u64,
    /// Dispatches that were refused and tried elsewhere, for each call.
    pub retries_per_call: f64,
}

/// Sums up one policy.
#[must_use]
#[allow(clippy::too_many_arguments)]
pub fn sum_up(
    policy: String,
    finished: &[Finished],
    failed: u64,
    wasted: u64,
    crashes: u64,
    retries: f64,
    refused_others: u64,
) -> Outcome {
    let mut times: Vec<f64> = finished.iter().map(|program| program.took_ms).collect();
    times.sort_by(f64::total_cmp);
    let mut by: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for program in finished {
        let sums = by.entry(&program.organisation).or_default();
        sums.0 += program.took_ms;
        sums.1 += program.alone_ms;
    }
    let slowdowns: BTreeMap<&str, f64> = by
        .into_iter()
        .map(|(o, (took, alone))| (o, took / alone))
        .collect();
    let worst = |leave: &str| {
        let of = slowdowns
            .iter()
            .filter(|(o, _)| **o != leave)
            .map(|(_, s)| *s);
        of.fold(0.0, f64::max)
    };
    let sum: f64 = slowdowns.values().sum();
    let squares: f64 = slowdowns.values().map(|s| s * s).sum();
    let count = float(slowdowns.len());
    Outcome {
        policy,
        finished: finished.len(),
        failed,
        p50_ms: quantile(&times, 50),
        p95_ms: quantile(&times, 95),
        p99_ms: quantile(&times, 99),
        wasted_ktokens: float(usize::try_from(wasted).unwrap_or(usize::MAX)) / 1e3,
        worst_slowdown: worst(""),
        worst_other_slowdown: worst("org-0"),
        jain: if squares > 0.0 {
            sum * sum / (count * squares)
        } else {
            1.0
        },
        crashes,
        refused_others,
        retries_per_call: retries,
    }
}

fn quantile(sorted: &[f64], percent: usize) -> f64 {
    let at = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(at).copied().unwrap_or(0.0)
}

#[allow(clippy::cast_precision_loss)]
fn float(count: usize) -> f64 {
    count as f64
}
