//! Running median of recent latencies.

use std::{collections::VecDeque, time::Duration};

use celerycove_types::Timestamp;

/// Recent latencies of the old version on one route.
#[derive(Debug, Clone, Default)]
pub struct Baseline {
    samples: VecDeque<(Timestamp, Duration)>,
}

/// Age up to which a sample counts.
const WINDOW: Duration = Duration::from_secs(2);
/// Least time between two samples; with the window it bounds their number.
const SPACING: Duration = Duration::from_millis(40);
/// Samples kept whatever their age: with all traffic on the new version no newer ones arrive.
const KEPT: usize = 9;
/// Fewest samples that give a median.
const FEWEST: usize = 3;

impl Baseline {
    /// Adds a latency, unless another one was added less than 40 ms ago.
    pub fn record(&mut self, now: Timestamp, latency: Duration) {
        if self
            .samples
            .back()
            .is_some_and(|(at, _)| now < *at + SPACING)
        {
            return;
        }
        self.samples.push_back((now, latency));
        while self.samples.len() > KEPT && self.is_outdated(now) {
            self.samples.pop_front();
        }
    }

    /// Returns the median of the samples of the last 2 s, or of the newest ones if those are fewer
    /// than nine; `None` if there are fewer than three.
    #[must_use]
    pub fn median(&self, now: Timestamp) -> Option<Duration> {
        let recent = self
            .samples
            .iter()
            .rev()
            .take_while(|(at, _)| at.saturating_add(WINDOW) >= now)
            .count()
            .max(KEPT)
            .min(self.samples.len());
        if recent < FEWEST {
            return None;
        }
        let mut latencies: Vec<Duration> = self
            .samples
            .iter()
            .rev()
            .take(recent)
            .map(|(_, latency)| *latency)
            .collect();
        let middle = latencies.len() / 2;
        Some(*latencies.select_nth_unstable(middle).1)
    }

    fn is_outdated(&self, now: Timestamp) -> bool {
        self.samples
            .front()
            .is_some_and(|(at, _)| at.saturating_add(WINDOW) < now)
    }
}
