//! Results of a replay.

use std::collections::BTreeMap;

use serde::Serialize;

/// A program that finished.
#[derive(Debug, Clone)]
pub struct FinishedProgram {
    /// Organisation that it belongs to.
    pub organisation: String,
    /// Time from arrival to the end without its own pauses, in milliseconds.
    pub latency_ms: f64,
    /// Time that its calls take on an idle engine with its history cached, in milliseconds.
    pub unloaded_ms: f64,
}

/// Result of one policy on one trace.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Name of the policy.
    pub policy: String,
    /// Programs that finished.
    pub finished: usize,
    /// Programs that failed.
    pub failed: u64,
    /// Median latency of whole programs without their pauses, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of that latency, in milliseconds.
    pub p95_ms: f64,
    /// 99th percentile of that latency, in milliseconds.
    pub p99_ms: f64,
    /// History tokens prefilled again because they were not cached, in thousands.
    pub wasted_ktokens: f64,
    /// Slowdown of the worst-served organisation: the total latency of its programs over their
    /// total unloaded time.
    pub worst_slowdown: f64,
    /// The same without `org-0`, the organisation that sends the excess load of a flood.
    pub worst_other_slowdown: f64,
    /// Jain's fairness index of the organisations' slowdowns.
    pub jain: f64,
    /// Engine crashes.
    pub crashes: u64,
    /// Calls refused by their organisation's rate limit, without those of `org-0`.
    pub refused_others: u64,
    /// Dispatches that failed or were refused, per call.
    pub retries_per_call: f64,
}

/// Summarises the replay of a trace with one policy.
#[must_use]
#[allow(clippy::too_many_arguments)]
pub fn summarise(
    policy: String,
    finished: &[FinishedProgram],
    failed: u64,
    wasted_tokens: u64,
    crashes: u64,
    retries_per_call: f64,
    refused_others: u64,
) -> Outcome {
    let mut latencies: Vec<f64> = finished.iter().map(|program| program.latency_ms).collect();
    latencies.sort_by(f64::total_cmp);
    let mut totals: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
    for program in finished {
        let sums = totals.entry(&program.organisation).or_default();
        sums.0 += program.latency_ms;
        sums.1 += program.unloaded_ms;
    }
    let slowdowns: BTreeMap<&str, f64> = totals
        .into_iter()
        .map(|(organisation, (latency, unloaded))| (organisation, latency / unloaded))
        .collect();
    let worst_without = |excluded: &str| {
        let included = slowdowns
            .iter()
            .filter(|(organisation, _)| **organisation != excluded)
            .map(|(_, slowdown)| *slowdown);
        included.fold(0.0, f64::max)
    };
    let sum: f64 = slowdowns.values().sum();
    let squares: f64 = slowdowns.values().map(|slowdown| slowdown * slowdown).sum();
    let count = to_float(slowdowns.len());
    Outcome {
        policy,
        finished: finished.len(),
        failed,
        p50_ms: quantile(&latencies, 50),
        p95_ms: quantile(&latencies, 95),
        p99_ms: quantile(&latencies, 99),
        wasted_ktokens: to_float(usize::try_from(wasted_tokens).unwrap_or(usize::MAX)) / 1e3,
        worst_slowdown: worst_without(""),
        worst_other_slowdown: worst_without("org-0"),
        jain: if squares > 0.0 {
            sum * sum / (count * squares)
        } else {
            1.0
        },
        crashes,
        refused_others,
        retries_per_call,
    }
}

fn quantile(sorted: &[f64], percent: usize) -> f64 {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or(0.0)
}

#[allow(clippy::cast_precision_loss)]
fn to_float(count: usize) -> f64 {
    count as f64
}
