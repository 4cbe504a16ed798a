//! Confirms crashes of backend servers, and holds back the requests that cause them.
//!
//! A broken connection alone is no crash: the network may be cut, or the backend server may have
//! closed it. The process must be gone, which shows when a new connection to its address is refused or
//! a later incarnation takes its place.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::Duration,
};

use celerycove_fleet::registry::Stage;
use celerycove_log::limit::{Admitted, Limit};
use celerycove_quarantine::{
    Evidence, Table, Verdict,
    digest::Digests,
    evidence::{Crash, Run, Server},
    table::{Origin, Quarantine},
};
use celerycove_route::direct::Selection;
use celerycove_types::{Map, Timestamp, id};
use tokio::{net::TcpStream, time::timeout};

use super::{Entry, Refusal, open_end::OpenEnded};
use crate::{
    clock,
    link::{Sender, lock},
    message::Frame,
    setup::Role,
};

/// When the address of a backend server is probed after a connection to it broke. A process that ends
/// may close its connections before its listener.
const PROBE_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(100)];
/// Time limit for a probe: many round trips within a region.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);
/// How often, and how many times, the registry is asked for a later incarnation after the probes: a
/// backend server that starts at once reports within this time.
pub(super) const REGISTRY_INTERVAL: Duration = Duration::from_millis(250);
pub(super) const REGISTRY_CHECKS: u32 = 12;
/// Backend servers that are probed at a time; a break of another one is no evidence meanwhile.
pub(super) const MAX_PROBED: usize = 64;
/// Requests that wait for the confirmation of one crash: those that a large engine runs and queues.
pub(super) const MAX_BROKEN: usize = 128;
/// How often evidence is checked for its age, and sent again.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// How long this entry sends its own evidence again, since messages may be lost.
const REPEAT_PERIOD: Duration = Duration::from_secs(5);
/// Lines a second about quarantined requests and those that are refused.
const LINES_PER_SECOND: u32 = 20;

/// A request that was sent to a backend server.
pub(super) struct SentRequest {
    pub(super) request: id::Request,
    pub(super) digests: Digests,
    pub(super) organisation: id::Organisation,
    /// When it was sent.
    pub(super) started: Timestamp,
}

/// What new connections to the address of a backend server showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Probe {
    /// They were accepted.
    Accepted,
    /// One was refused: no process listens there.
    Refused,
    /// One had another end.
    Unclear,
}

impl Probe {
    /// Returns the text for logs.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Accepted => "its backend server accepts connections",
            Self::Refused => "its backend server refuses connections",
            Self::Unclear => "its backend server does not answer",
        }
    }
}

/// Probes the address of a backend server.
pub(super) async fn probe(address: SocketAddr) -> Probe {
    for delay in PROBE_DELAYS {
        tokio::time::sleep(delay).await;
        match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Probe::Refused;
            }
            Ok(Err(_)) | Err(_) => return Probe::Unclear,
        }
    }
    Probe::Accepted
}

/// What an entry knows of crashes.
pub(super) struct Crashes {
    table: Mutex<Table>,
    /// Whether the table holds anything; without, no digest is computed.
    is_active: AtomicBool,
    /// Broken requests by backend servers whose crash is not confirmed.
    unconfirmed: Mutex<Map<Server, Vec<SentRequest>>>,
    /// Answers that ended with their connections, by backend servers that are not known to live on.
    pub(super) open_ended: Mutex<Map<Server, Vec<OpenEnded>>>,
    lines: Mutex<Limit>,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            table: Mutex::default(),
            is_active: AtomicBool::new(false),
            unconfirmed: Mutex::default(),
            open_ended: Mutex::default(),
            lines: Mutex::new(Limit::new(LINES_PER_SECOND)),
        }
    }
}

impl Crashes {
    pub(super) fn is_active(&self) -> bool {
        self.is_active.load(Relaxed)
    }

    /// Returns whether evidence against a request is known that a whole answer would refute.
    pub(super) fn is_suspect(&self, digests: &Digests) -> bool {
        let mut table = lock(&self.table);
        digests.iter().any(|digest| table.is_suspect(digest))
    }

    /// Returns whether a line may be logged now.
    pub(super) fn admit_line(&self) -> bool {
        let Some(Admitted { held_back }) = lock(&self.lines).admit(clock::now()) else {
            return false;
        };
        if held_back > 0 {
            log::info!(target: "quarantine", held_back; "lines on quarantined requests were held back");
        }
        true
    }
}

impl Entry {
    /// Checks that a request may be sent to a backend server, and returns whether that is a trial.
    ///
    /// # Errors
    ///
    /// Returns the refusal for a request that is quarantined.
    pub(super) fn check_quarantine(
        &self,
        request: &id::Request,
        digests: &Digests,
    ) -> Result<bool, Refusal> {
        let now = clock::now();
        let verdicts = {
            let mut table = lock(&self.crashes.table);
            digests.map(|digest| (digest, table.verdict(now, &digest)))
        };
        for (digest, verdict) in verdicts {
            if let Verdict::Quarantined(left) = verdict {
                self.metrics.record_quarantine_refusal();
                if self.crashes.admit_line() {
                    log::info!(target: "quarantine", request:% = request, digest:% = digest,
                        left_ms = clock::millis(left); "refused a quarantined request");
                }
                return Err(Refusal::Quarantined(left));
            }
        }
        let tried = verdicts
            .into_iter()
            .filter(|(_, verdict)| *verdict == Verdict::Trial);
        let mut is_trial = false;
        for (digest, _) in tried {
            is_trial = true;
            log::info!(target: "quarantine", request:% = request, digest:% = digest;
                "the quarantine is over; the request is tried once");
            let evidence = lock(&self.crashes.table).begin_trial(now, digest);
            self.send_crashes(evidence);
        }
        Ok(is_trial)
    }

    /// Records that a backend server answered a request completely at `ended_at`.
    pub(super) fn vindicate(&self, request: &id::Request, digests: &Digests, ended_at: Timestamp) {
        for digest in digests {
            let now = clock::now();
            let age = now.saturating_sub(ended_at);
            let evidence = lock(&self.crashes.table).vindicate_late(now, age, *digest);
            if evidence.is_empty() {
                continue;
            }
            if self.crashes.admit_line() {
                log::info!(target: "quarantine", request:% = request, digest:% = digest;
                    "the request is vindicated: a backend server answered it");
            }
            self.send_crashes(evidence);
        }
    }

    /// Records that the connection broke on which a request had been sent, and finds out whether the
    /// backend server crashed.
    pub(super) fn record_break(self: &Arc<Self>, choice: &Selection, broken: SentRequest) {
        let server = (choice.backend.clone(), choice.incarnation);
        self.record_break_at(server, choice.address, broken, clock::now());
    }

    pub(super) fn record_break_at(
        self: &Arc<Self>,
        server: Server,
        address: SocketAddr,
        broken: SentRequest,
        broke_at: Timestamp,
    ) {
        let crashed_at = lock(&self.crashes.table).crashed_at(&server);
        if let Some(at) = crashed_at {
            // Sent later, it went to whatever has the address now.
            if broken.started <= at {
                self.report_crash(&server, at, &[broken]);
            }
            return;
        }
        if self.is_leaving(&server) {
            return;
        }
        let is_first = {
            let mut unconfirmed = lock(&self.crashes.unconfirmed);
            if unconfirmed.len() >= MAX_PROBED && !unconfirmed.contains_key(&server) {
                log::warn!(target: "quarantine", backend:% = server.0;
                    "did not probe a backend server: too many are being probed");
                return;
            }
            let waiting = unconfirmed.entry(server.clone()).or_default();
            if waiting.len() < MAX_BROKEN {
                waiting.push(broken);
            }
            waiting.len() == 1
        };
        if is_first {
            let entry = self.clone();
            tokio::spawn(async move { entry.confirm_crash(server, address, broke_at).await });
        }
    }

    /// Whether this incarnation has announced its end, so that no request is to blame for it.
    fn is_leaving(&self, (backend, incarnation): &Server) -> bool {
        let registry = self.fleet_state.registry();
        registry.get(backend).is_some_and(|known| {
            known.heartbeat.started_at_ms == *incarnation && known.heartbeat.stage != Stage::Ready
        })
    }

    async fn confirm_crash(&self, server: Server, address: SocketAddr, broke_at: Timestamp) {
        let is_gone = self.is_gone(&server, address).await;
        let broken = lock(&self.crashes.unconfirmed).remove(&server);
        let broken = broken.unwrap_or_default();
        if is_gone {
            self.metrics.record_crash();
            log::warn!(target: "quarantine", backend:% = server.0, born = server.1,
                requests = broken.len(); "a backend server crashed");
            self.log_broken(&server, &broken);
            self.report_crash(&server, broke_at, &broken);
        } else {
            log::info!(target: "quarantine", backend:% = server.0, born = server.1,
                requests = broken.len(); "connections broke, but the backend server is not known to be gone");
        }
    }

    /// Finds out whether the process of a backend server is gone.
    async fn is_gone(&self, server: &Server, address: SocketAddr) -> bool {
        if probe(address).await == Probe::Refused {
            return true;
        }
        for _ in 0..REGISTRY_CHECKS {
            if self.is_replaced(server, address) {
                return true;
            }
            tokio::time::sleep(REGISTRY_INTERVAL).await;
        }
        false
    }

    /// Whether a later incarnation has the name or the address of a backend server.
    pub(super) fn is_replaced(&self, (backend, incarnation): &Server, address: SocketAddr) -> bool {
        let registry = self.fleet_state.registry();
        registry.iter().any(|known| {
            let heartbeat = &known.heartbeat;
            heartbeat.started_at_ms > *incarnation
                && (heartbeat.backend == *backend || heartbeat.address == address)
        })
    }

    /// Logs the requests that a crash broke off, so that a digest leads to the requests.
    fn log_broken(&self, (backend, incarnation): &Server, broken: &[SentRequest]) {
        for broken in broken {
            if self.crashes.admit_line() {
                let [digest, target] = broken.digests;
                log::info!(target: "quarantine", request:% = broken.request, backend:% = backend,
                    born = incarnation, digest:% = digest, target_digest:% = target;
                    "the crash broke off a request");
            }
        }
    }

    fn report_crash(&self, server: &Server, at: Timestamp, broken: &[SentRequest]) {
        let now = clock::now();
        let runs = broken.iter().map(|broken| {
            let [digest, target] = broken.digests;
            Run {
                digest,
                target,
                organisation: broken.organisation.clone(),
                age: now.saturating_sub(broken.started),
            }
        });
        let crash = Crash {
            server: server.clone(),
            age: now.saturating_sub(at),
            runs: runs.collect(),
        };
        let evidence = Evidence {
            crashes: vec![crash],
            ..Evidence::default()
        };
        self.merge_crashes(evidence, Origin::Own);
    }

    /// Merges evidence, logs which requests are quarantined by it, and sends what this entry found to
    /// the control instances.
    pub(super) fn merge_crashes(&self, evidence: Evidence, origin: Origin) {
        let now = clock::now();
        let (new, quarantines, count) = {
            let mut table = lock(&self.crashes.table);
            let new = table.merge(now, evidence, origin);
            self.crashes.is_active.store(!table.is_empty(), Relaxed);
            if new.is_empty() {
                return;
            }
            let quarantines = table.take_new_quarantines(now);
            (new, quarantines, table.count_quarantined(now))
        };
        self.metrics.record_quarantined(count);
        for quarantine in &quarantines {
            self.log_quarantine(quarantine);
        }
        if origin == Origin::Own {
            self.send_crashes(new);
        }
    }

    fn log_quarantine(&self, quarantine: &Quarantine) {
        if self.crashes.admit_line() {
            log::warn!(target: "quarantine", digest:% = quarantine.digest,
                organisation:% = quarantine.organisation, blamed = quarantine.blamed,
                servers:? = quarantine.servers, left_ms = clock::millis(quarantine.left);
                "a request is quarantined: backend servers crash when they run it");
        }
    }

    /// Sends evidence to the control leader and the control instances of this data centre.
    fn send_crashes(&self, evidence: Evidence) {
        let leader = self.fleet_state.leader();
        let frame = Frame::Crashes(evidence.into());
        for control in self.fleet_state.peers(Role::Control) {
            let process = &control.peer.process;
            if leader.as_ref() == Some(process)
                || control.peer.data_centre == self.setup.data_centre
            {
                self.connections.send(process, &frame);
            }
        }
    }

    /// Sends all evidence on a new connection.
    pub(super) fn send_known_crashes(&self, sender: &Sender) {
        for message in lock(&self.crashes.table).messages(clock::now()) {
            sender.send(&Frame::Crashes(message.into()));
        }
    }

    /// Removes old evidence and sends recent evidence of this entry again.
    pub(super) async fn maintain_crashes(&self) {
        let mut rounds = tokio::time::interval(MAINTENANCE_INTERVAL);
        rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            rounds.tick().await;
            if !self.crashes.is_active() {
                continue;
            }
            let now = clock::now();
            let (evidence, quarantined) = {
                let mut table = lock(&self.crashes.table);
                table.remove_expired(now);
                self.crashes.is_active.store(!table.is_empty(), Relaxed);
                let evidence = table.repeat(now, REPEAT_PERIOD, Origin::Own);
                (evidence, table.count_quarantined(now))
            };
            self.metrics.record_quarantined(quarantined);
            if !evidence.is_empty() {
                self.send_crashes(evidence);
            }
        }
    }
}
