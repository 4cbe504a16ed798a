//! Answers that end with their connections, as evidence for requests that are suspected of crashes.
//!
//! Such an answer has neither a length nor chunks, so that one which a crash cuts short can look whole.
//! It speaks for its request once the backend server is known to have lived on, and against it if the
//! server is gone right afterwards.

use std::{net::SocketAddr, sync::Arc};

use celerycove_quarantine::evidence::Server;
use celerycove_route::direct::Selection;
use celerycove_types::Timestamp;

use super::{
    Entry,
    crashes::{
        MAX_BROKEN, MAX_PROBED, Probe, REGISTRY_CHECKS, REGISTRY_INTERVAL, SentRequest, probe,
    },
};
use crate::{clock, link::lock};

/// An answer that ended with its connection.
pub(super) struct OpenEnded {
    request: SentRequest,
    ended_at: Timestamp,
}

/// What is known of a backend server after the end of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Life {
    LivesOn,
    Gone,
    /// It can't be reached, or a later incarnation has taken its place, which may have been before or
    /// after the end of the answer.
    Unknown,
}

impl Entry {
    /// Records that an answer ended with its connection, and finds out whether the backend server lived
    /// on, if that matters to the request.
    pub(super) fn record_open_end(self: &Arc<Self>, choice: &Selection, request: SentRequest) {
        if !self.crashes.is_suspect(&request.digests) {
            return;
        }
        let (server, ended_at) = ((choice.backend.clone(), choice.incarnation), clock::now());
        let is_first = {
            let mut open_ended = lock(&self.crashes.open_ended);
            if open_ended.len() >= MAX_PROBED && !open_ended.contains_key(&server) {
                // A later answer speaks for the request.
                return;
            }
            let waiting = open_ended.entry(server.clone()).or_default();
            if waiting.len() < MAX_BROKEN {
                waiting.push(OpenEnded { request, ended_at });
            }
            waiting.len() == 1
        };
        if is_first {
            let (entry, address) = (self.clone(), choice.address);
            tokio::spawn(async move { entry.judge_open_ends(server, address).await });
        }
    }

    /// Judges the answers of a backend server until none waits. What ended after a check had begun needs
    /// the next one.
    async fn judge_open_ends(self: Arc<Self>, server: Server, address: SocketAddr) {
        loop {
            let began_at = clock::now();
            let life = self.life(&server, address).await;
            let (judged, is_done) = {
                let mut open_ended = lock(&self.crashes.open_ended);
                let Some(waiting) = open_ended.get_mut(&server) else {
                    return;
                };
                let is_judged = |answer: &mut OpenEnded| answer.ended_at <= began_at;
                let judged: Vec<_> = waiting.extract_if(.., is_judged).collect();
                let is_done = waiting.is_empty();
                if is_done {
                    open_ended.remove(&server);
                }
                (judged, is_done)
            };
            self.log_open_ends(&server, life, judged.len());
            for OpenEnded { request, ended_at } in judged {
                match life {
                    Life::LivesOn => self.vindicate(&request.request, &request.digests, ended_at),
                    Life::Gone => self.record_break_at(server.clone(), address, request, ended_at),
                    Life::Unknown => {}
                }
            }
            if is_done {
                return;
            }
        }
    }

    /// Finds out whether a backend server lives. One that crashed and started again at once accepts
    /// connections too, but sends no more heartbeats of its earlier incarnation.
    async fn life(&self, server: &Server, address: SocketAddr) -> Life {
        match probe(address).await {
            Probe::Accepted => {}
            Probe::Refused => return Life::Gone,
            Probe::Unclear => return Life::Unknown,
        }
        let probed_at = clock::now();
        for _ in 0..REGISTRY_CHECKS {
            if self.is_replaced(server, address) {
                return Life::Unknown;
            }
            if self.has_reported_since(server, probed_at) {
                return Life::LivesOn;
            }
            tokio::time::sleep(REGISTRY_INTERVAL).await;
        }
        Life::LivesOn
    }

    /// Whether this incarnation of a backend server has sent a heartbeat since.
    fn has_reported_since(&self, (backend, incarnation): &Server, since: Timestamp) -> bool {
        let registry = self.fleet_state.registry();
        registry.get(backend).is_some_and(|known| {
            known.heartbeat.started_at_ms == *incarnation && known.sent_at > since
        })
    }

    fn log_open_ends(&self, (backend, incarnation): &Server, life: Life, answers: usize) {
        if self.crashes.admit_line() {
            log::info!(target: "quarantine", backend:% = backend, born = incarnation, answers,
                life:? = life; "answers of suspected requests ended with their connections");
        }
    }
}
