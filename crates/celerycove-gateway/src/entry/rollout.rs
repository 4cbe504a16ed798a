//! Rollouts of service versions at an entry: which versions a request may run on, and what is reported
//! about those that ran.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use celerycove_fleet::{
    Fleet, Rollout, Stage,
    config::{Kind, ServiceName},
};
use celerycove_rollout::{
    Guide, Lease, Report, Share,
    guide::{Answer, Side},
    order::{Revision, Version},
    report,
};
use celerycove_route::direct::{
    Assessment, Request as RouteRequest, Selection, Versions, affinity_hash,
};
use celerycove_types::{Map, Timestamp, id};

use super::{Entry, exchange::Dispatch};
use crate::{
    clock,
    link::{Sender, lock},
    message::{Frame, SequenceNumber, UNNUMBERED},
    metrics::Metrics,
};

/// A backend server that started less than this ago is still warming up, whatever it reports.
const WARM_UP: Duration = Duration::from_secs(3);
/// The most updates whose acknowledgement waits for the state of their index. Control instances number
/// few updates, and stop waiting for the acknowledgement after half a second.
const MAX_PENDING: usize = 256;

/// What an entry knows of the rollouts of all services.
#[derive(Default)]
pub(super) struct Rollouts {
    state: Mutex<State>,
    /// Updates to acknowledge once the state of their index is in force.
    pending: Mutex<Vec<Pending>>,
}

struct Pending {
    index: u64,
    number: SequenceNumber,
    sender: Sender,
}

#[derive(Default)]
struct State {
    /// Distinguishes restarts of this entry; zero until the first rollout.
    boot: u64,
    /// The highest term of a leader whose leases were taken.
    lease_term: u64,
    /// The services with a rollout, or with versions that get no requests.
    services: Map<ServiceName, Rules>,
    /// Requests that backend servers are running, by service and version.
    in_flight: Map<ServiceName, BTreeMap<Version, u32>>,
}

/// Which versions of a service get requests.
struct Rules {
    rollout: Rollout,
    /// The versions that get no requests, or only by the guide.
    excluded: Arc<BTreeSet<Version>>,
    /// Present while the rollout is running.
    guide: Option<Guide>,
    /// Requests and bad answers of the old and the new versions that the metrics contain.
    counted: [(u64, u64); 2],
}

/// Versions that a request may run on.
#[derive(Debug, Clone)]
enum Allowed {
    Any,
    Only(Version),
    Except(Arc<BTreeSet<Version>>),
}

impl Allowed {
    fn versions(&self) -> Versions<'_> {
        match self {
            Self::Any => Versions::Any,
            Self::Only(version) => Versions::Only(version),
            Self::Except(versions) => Versions::Except(versions),
        }
    }
}

impl Rules {
    fn new(rollout: &Rollout, barred: &BTreeSet<Version>) -> Self {
        let mut excluded = barred.clone();
        match rollout.stage {
            Stage::Running | Stage::RolledBack => {
                excluded.insert(rollout.to.clone());
            }
            Stage::Completed => excluded.extend(rollout.from.iter().cloned()),
        }
        Self {
            rollout: rollout.clone(),
            excluded: excluded.into(),
            guide: None,
            counted: Default::default(),
        }
    }

    fn side_of(&self, version: &str) -> Side {
        if *self.rollout.to == *version {
            Side::New
        } else {
            Side::Old
        }
    }

    /// The versions to try first, and those to try if no backend server of these is eligible.
    ///
    /// A request that failed on the new version is retried on the old ones. With the full share it first
    /// tries other servers of the new version, because the old ones may be stopped at any time then.
    fn allowed(&self, now: Timestamp, hash: u64, failed: bool) -> (Allowed, Option<Allowed>) {
        let old = Allowed::Except(self.excluded.clone());
        let guide = self.guide.as_ref();
        let Some(guide) = guide.filter(|guide| guide.side(now, hash) == Side::New) else {
            return (old, None);
        };
        let new = Allowed::Only(self.rollout.to.clone());
        if failed && guide.share(now) < Share::FULL {
            (old, Some(new))
        } else {
            (new, Some(old))
        }
    }

    /// Adds what the guide has counted since the last call to the metrics.
    fn record_metrics(&mut self, now: Timestamp, service: &str, metrics: &Metrics) {
        let Some(guide) = &self.guide else { return };
        let routes = guide.report(now).routes;
        let mut totals = [(0, 0); 2];
        for route in routes {
            for (total, tally) in totals.iter_mut().zip([route.old, route.new]) {
                total.0 += tally.sent;
                total.1 += tally.bad();
            }
        }
        for ((side, total), counted) in ["old", "new"].into_iter().zip(totals).zip(self.counted) {
            let (sent, bad) = (
                total.0.saturating_sub(counted.0),
                total.1.saturating_sub(counted.1),
            );
            metrics.record_rollout(service, side, sent, bad);
        }
        self.counted = totals;
        metrics.record_rollout_share(service, guide.share(now).fraction());
    }
}

impl State {
    /// Requests to the old versions that are running.
    fn old_in_flight(&self, service: &str, to: &str) -> u32 {
        let versions = self.in_flight.get(service).into_iter().flatten();
        let old = versions.filter(|(version, _)| ***version != *to);
        old.map(|(_, count)| count).sum()
    }

    /// Whether requests run on versions that a completed rollout has replaced.
    fn is_draining(&self) -> bool {
        self.services.iter().any(|(service, rules)| {
            let mut versions = self.in_flight.get(service).into_iter().flatten();
            rules.rollout.stage == Stage::Completed
                && versions.any(|(version, _)| rules.excluded.contains(version))
        })
    }

    fn follow(&mut self, now: Timestamp, fleet: &Fleet, metrics: &Metrics) {
        self.services
            .retain(|service, _| fleet.rollouts.contains_key(service));
        for (service, rollout) in &fleet.rollouts {
            let known = self.services.get_mut(service);
            if let Some(known) = known {
                let key = |rollout: &Rollout| (rollout.revision, rollout.stage);
                if key(&known.rollout) == key(rollout) {
                    continue;
                }
                known.record_metrics(now, service, metrics);
            }
            let barred = fleet.barred.get(service);
            let mut rules = Rules::new(rollout, barred.unwrap_or(&BTreeSet::new()));
            log::info!(target: "rollout", service:% = service, revision = rollout.revision,
                stage:? = rollout.stage, to:% = rollout.to, excluded:? = rules.excluded;
                "a stage of a rollout is in force here");
            if rollout.stage == Stage::Running {
                if self.boot == 0 {
                    self.boot = rand::random();
                }
                let mut guide = Guide::new(service.clone(), rollout, self.boot);
                guide.record_earlier(self.old_in_flight(service, &rollout.to));
                rules.guide = Some(guide);
            } else {
                metrics.record_rollout_share(service, 0.0);
            }
            self.services.insert(service.clone(), rules);
        }
    }

    /// Counts a request that is being sent.
    fn begin(&mut self, service: &ServiceName, route: &Arc<str>, version: &Version) -> Sent {
        let versions = self.in_flight.entry(service.clone()).or_default();
        *versions.entry(version.clone()).or_default() += 1;
        let mut sent = Sent {
            service: service.clone(),
            route: route.clone(),
            version: version.clone(),
            revision: None,
        };
        if let Some(rules) = self.services.get_mut(service) {
            let side = rules.side_of(version);
            if let Some(guide) = &mut rules.guide {
                guide.record_sent(route, side);
                sent.revision = Some(rules.rollout.revision);
            }
        }
        sent
    }

    fn end(&mut self, now: Timestamp, sent: &Sent, answer: Answer) {
        if let Some(versions) = self.in_flight.get_mut(&sent.service) {
            if let Some(count) = versions.get_mut(&sent.version) {
                *count -= 1;
            }
            versions.retain(|_, count| *count > 0);
            if versions.is_empty() {
                self.in_flight.remove(&sent.service);
            }
        }
        let Some(rules) = self.services.get_mut(&sent.service) else {
            return;
        };
        let side = rules.side_of(&sent.version);
        let is_judged = sent.revision == Some(rules.rollout.revision);
        // A guide counts the requests that were sent to the old versions before it was created.
        if let Some(guide) = rules
            .guide
            .as_mut()
            .filter(|_| is_judged || side == Side::Old)
        {
            guide.record_answer(now, &sent.route, side, answer);
        }
    }
}

impl Rollouts {
    /// Follows a newer committed state.
    pub(super) fn follow(&self, now: Timestamp, fleet: &Fleet, metrics: &Metrics) {
        lock(&self.state).follow(now, fleet, metrics);
    }

    /// Takes the leases of the leader of a term. Those of an earlier leader are ignored: they could
    /// replace a share that a later one has taken back.
    pub(super) fn accept(&self, now: Timestamp, term: u64, leases: &[Lease]) {
        let mut state = lock(&self.state);
        if term < state.lease_term {
            return;
        }
        state.lease_term = term;
        for lease in leases {
            let rules = state.services.get_mut(&lease.service);
            if let Some(guide) = rules.and_then(|rules| rules.guide.as_mut()) {
                guide.accept(now, lease);
            }
        }
    }

    /// Acknowledges an update, at once or when [`acknowledge_due`](Self::acknowledge_due) finds that it
    /// may be. One without an index needs no state.
    pub(super) fn acknowledge(&self, index: u64, number: SequenceNumber, sender: &Sender) {
        if number == UNNUMBERED {
            return;
        }
        if index == 0 {
            sender.send(&Frame::Acknowledge(number));
            return;
        }
        let mut pending = lock(&self.pending);
        if pending.len() < MAX_PENDING {
            let sender = sender.clone();
            pending.push(Pending {
                index,
                number,
                sender,
            });
        }
    }

    /// Acknowledges the updates that waited for a state up to `known`, unless requests still run on
    /// versions that a completed rollout has replaced.
    pub(super) fn acknowledge_due(&self, known: u64) {
        let is_draining = lock(&self.state).is_draining();
        lock(&self.pending).retain(|update| {
            let is_due = update.index <= known && !is_draining;
            if is_due {
                update.sender.send(&Frame::Acknowledge(update.number));
            }
            !is_due && !update.sender.is_closed()
        });
    }

    fn allowed(
        &self,
        now: Timestamp,
        service: &str,
        hash: u64,
        failed_on: Option<&Version>,
    ) -> (Allowed, Option<Allowed>) {
        match lock(&self.state).services.get(service) {
            Some(rules) => rules.allowed(now, hash, failed_on == Some(&rules.rollout.to)),
            None => (Allowed::Any, None),
        }
    }

    /// Whether a request may still be sent to a version that was selected a moment ago.
    fn allows(&self, now: Timestamp, service: &str, hash: u64, version: &str) -> bool {
        let state = lock(&self.state);
        let Some(rules) = state.services.get(service) else {
            return true;
        };
        let guide = rules.guide.as_ref();
        let is_new_allowed = || guide.is_some_and(|guide| guide.side(now, hash) == Side::New);
        !rules.excluded.contains(version) || (*rules.rollout.to == *version && is_new_allowed())
    }

    /// Whether a rollout of the service is running.
    pub(super) fn is_running(&self, service: &str) -> bool {
        let state = lock(&self.state);
        let rules = state.services.get(service);
        rules.is_some_and(|rules| rules.rollout.stage == Stage::Running)
    }

    fn reports(&self, now: Timestamp, metrics: &Metrics) -> Vec<Report> {
        let mut state = lock(&self.state);
        let services = state.services.iter_mut();
        let reports = services.filter_map(|(service, rules)| {
            rules.record_metrics(now, service, metrics);
            Some(rules.guide.as_ref()?.report(now))
        });
        reports.collect()
    }
}

/// A request that was counted as sent.
struct Sent {
    service: ServiceName,
    route: Arc<str>,
    version: Version,
    /// The rollout that judges the answer.
    revision: Option<Revision>,
}

/// A request that a backend server is running. Dropping it counts it as abandoned, unless the server
/// has already answered with an error.
pub(super) struct Ticket {
    entry: Arc<Entry>,
    sent: Sent,
    sent_at: Timestamp,
    first_byte_at: Option<Timestamp>,
    floor: Duration,
    is_warm: bool,
    has_failed: bool,
    is_open: bool,
}

impl Ticket {
    /// Notes the head of the response; `has_failed` tells whether it is an error of the server.
    pub(super) fn note_head(&mut self, has_failed: bool) {
        self.first_byte_at = Some(clock::now());
        self.has_failed = has_failed;
    }

    /// Notes that the first data of a stream arrived at `at`, after its head.
    pub(super) fn note_first_data(&mut self, at: Timestamp) {
        self.first_byte_at = Some(at);
    }

    /// The answer of a server that has not failed. One that has not begun to respond counts as if it
    /// did now: that its caller's time ran out must not hide how slow it is.
    pub(super) fn good(&self) -> Answer {
        let first_byte_at = self.first_byte_at.unwrap_or_else(clock::now);
        Answer::Good {
            first_byte: first_byte_at.saturating_sub(self.sent_at),
            floor: self.floor,
            is_warm: self.is_warm,
        }
    }

    /// The answer of a server whose stream has had no data until now, though it may have had a head.
    pub(super) fn good_without_data(&mut self) -> Answer {
        self.first_byte_at = None;
        self.good()
    }

    fn end(mut self, answer: Answer) {
        self.close(answer);
    }

    fn close(&mut self, answer: Answer) {
        if std::mem::replace(&mut self.is_open, false) {
            lock(&self.entry.rollouts.state).end(clock::now(), &self.sent, answer);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let answer = if self.has_failed {
            Answer::Failed
        } else {
            Answer::Abandoned
        };
        self.close(answer);
    }
}

impl Dispatch {
    /// Selects a backend server of a version that the request may run on.
    pub(super) fn choose_backend(&mut self, now: Timestamp) -> Option<Selection> {
        let rollouts = &self.entry.rollouts;
        let hash = self.program_hash();
        let (first, second) = rollouts.allowed(now, &self.service, hash, self.failed_on.as_ref());
        let mut servers = lock(&self.entry.servers);
        std::iter::once(first).chain(second).find_map(|allowed| {
            let request = RouteRequest {
                affinity: self.affinity,
                prompt: &self.call.prompt,
                excluded: &self.excluded,
                versions: allowed.versions(),
            };
            servers.select(now, &self.service, &request)
        })
    }

    /// Returns the backend server that [`choose_backend`](Self::choose_backend) would select beside those
    /// excluded, without counting the request.
    pub(super) fn forecast_backend(
        &self,
        now: Timestamp,
        excluded: &[id::Backend],
    ) -> Option<(id::Backend, Assessment)> {
        let rollouts = &self.entry.rollouts;
        let hash = self.program_hash();
        let (first, _) = rollouts.allowed(now, &self.service, hash, self.failed_on.as_ref());
        let request = RouteRequest {
            affinity: self.affinity,
            prompt: &self.call.prompt,
            excluded,
            versions: first.versions(),
        };
        let candidates = lock(&self.entry.servers).forecast(now, &self.service, &request);
        let best = candidates.into_iter().next()?;
        Some((best.backend, best.assessment.ok()?))
    }

    /// Decides on the side of a rollout, equally at all entries and for all requests of a program.
    fn program_hash(&self) -> u64 {
        let program = self.call.program.as_deref();
        program.map_or(self.affinity, affinity_hash)
    }

    /// Whether the request may still be sent to the selected backend server: a connection may take a
    /// while, and a rollout may be stopped meanwhile.
    pub(super) fn may_still_run_on(&self, choice: &Selection) -> bool {
        let rollouts = &self.entry.rollouts;
        rollouts.allows(
            clock::now(),
            &self.service,
            self.program_hash(),
            &choice.version,
        )
    }

    /// Counts the request as sent to a backend server.
    pub(super) fn begin_ticket(&self, choice: &Selection) -> Ticket {
        let now = clock::now();
        let mut state = lock(&self.entry.rollouts.state);
        let sent = state.begin(&self.service, &self.route.name, &choice.version);
        drop(state);
        Ticket {
            entry: self.entry.clone(),
            is_warm: sent.revision.is_some() && self.entry.is_warm(now, &choice.backend),
            sent,
            sent_at: now,
            first_byte_at: None,
            floor: match self.route.kind {
                Kind::Streaming => self.route.target_latency,
                Kind::Idempotent | Kind::NonIdempotent => self.route.target_latency / 2,
            },
            has_failed: false,
            is_open: true,
        }
    }

    /// Records how a backend server answered.
    pub(super) fn end_ticket(&mut self, ticket: Ticket, answer: Answer) {
        if answer == Answer::Failed {
            self.failed_on = Some(ticket.sent.version.clone());
        }
        ticket.end(answer);
    }
}

impl Entry {
    /// Whether a backend server is neither cold nor has just started.
    pub(super) fn is_warm(&self, now: Timestamp, backend: &id::Backend) -> bool {
        let registry = self.fleet_state.registry();
        registry.get(backend).is_some_and(|known| {
            let age = clock::wall_millis().saturating_sub(known.heartbeat.started_at_ms);
            now >= known.sent_at + known.heartbeat.cold_remaining && age >= clock::millis(WARM_UP)
        })
    }

    /// Acknowledges the updates whose state is in force.
    pub(super) fn acknowledge_due(&self) {
        if let Some(view) = self.fleet_state.view() {
            self.rollouts.acknowledge_due(view.index);
        }
    }

    /// Reports what was sent to old and new versions to the leader.
    pub(super) async fn send_rollout_reports(&self) {
        let mut intervals = tokio::time::interval(report::INTERVAL);
        intervals.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            intervals.tick().await;
            self.acknowledge_due();
            let reports = self.rollouts.reports(clock::now(), &self.metrics);
            if let Some(leader) = self.fleet_state.leader().filter(|_| !reports.is_empty()) {
                self.connections
                    .send(&leader, &Frame::RolloutReports(reports));
            }
        }
    }
}

#[cfg(test)]
#[path = "rollout_tests.rs"]
mod tests;
