//! What is done while a stream is silent.
//!
//! Silence alone says little of the backend server: it may have put the request back for more urgent ones.
//! So it is probed first, and another one is asked only when the caller is about to lose patience.

use std::{net::SocketAddr, pin::Pin, time::Duration};

use celerycove_types::Timestamp;

use super::crashes::{self, Probe};

/// Gap between a stream's events after which its backend server is probed, if the stream may be resumed.
const PROBE_GAP: Duration = Duration::from_millis(1_200);
/// How many probes in a row must stay without an answer: packets may be lost.
const MAX_UNANSWERED_PROBES: u32 = 2;
/// The part of its caller's patience after which another backend server is asked to go on with a silent
/// stream. What is left is for the answer.
const SEARCH_FRACTION: f64 = 0.6;

/// The time since the last event, and what has been done about it.
pub(super) struct Silence {
    pub(super) since: Timestamp,
    probe: Option<Pin<Box<dyn Future<Output = Probe> + Send>>>,
    probes: u32,
    /// Whether other backend servers were asked to go on with the stream.
    pub(super) is_searched: bool,
}

impl Silence {
    pub(super) fn new(since: Timestamp) -> Self {
        Self {
            since,
            probe: None,
            probes: 0,
            is_searched: false,
        }
    }

    fn search_due(&self, patience: Duration) -> Timestamp {
        self.since + patience.mul_f64(SEARCH_FRACTION)
    }

    pub(super) fn is_search_due(&self, now: Timestamp, patience: Duration) -> bool {
        !self.is_searched && now >= self.search_due(patience)
    }

    pub(super) fn is_probe_due(&self, now: Timestamp) -> bool {
        self.probes == 0 && now >= self.since + PROBE_GAP
    }

    /// Returns when something is to be done next if the silence lasts.
    pub(super) fn next_due(&self, patience: Duration) -> Option<Timestamp> {
        let probe = (self.probes == 0).then_some(self.since + PROBE_GAP);
        let search = (!self.is_searched).then(|| self.search_due(patience));
        probe.into_iter().chain(search).min()
    }

    pub(super) fn start_probe(&mut self, address: SocketAddr) {
        self.probes += 1;
        self.probe = Some(Box::pin(crashes::probe(address)));
    }

    /// Waits for the end of a probe, if there is one.
    pub(super) async fn probed(&mut self) -> Probe {
        let Some(probe) = &mut self.probe else {
            return std::future::pending().await;
        };
        let result = probe.await;
        self.probe = None;
        result
    }

    /// Whether a probe shows that the backend server is gone; one without an answer is repeated first.
    pub(super) fn is_gone(&mut self, probe: Probe, address: SocketAddr) -> bool {
        match probe {
            Probe::Accepted => false,
            Probe::Unclear if self.probes < MAX_UNANSWERED_PROBES => {
                self.start_probe(address);
                false
            }
            Probe::Refused | Probe::Unclear => true,
        }
    }
}

#[cfg(test)]
#[path = "silence_tests.rs"]
mod tests;
