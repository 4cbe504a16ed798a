//! Rollouts of service versions: the orders of operators, and what the leader decides about them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use celerycove_fleet::{
    Command, Fleet, Rollout, Stage, config::ServiceName, registry::MAX_NAME_BYTES,
};
use celerycove_rollout::{
    Decider, Report, Share,
    decider::{Decision, Options, Step},
    order::Revision,
    report,
};
use celerycove_types::{Timestamp, id};
use hyper::{Response, StatusCode};

use super::{
    Control, LEASING_TIMEOUT,
    api::{ACKNOWLEDGE_TIMEOUT, MAX_ORDER_ATTEMPTS, unavailable},
};
use crate::{
    clock,
    dialect::RolloutOrder,
    http::{self, Body},
    link::lock,
    message::{Frame, Reply},
    setup::Role,
};

/// The shortest and the longest time from an order to its deadline.
const DURATIONS: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_hours(24);
/// How long after a rollback the same order counts as a repetition of the one that was rolled back:
/// operators may send an order again as long as they wait for its outcome.
const REPETITION_TIME: Duration = Duration::from_secs(30);
/// How often it is checked whether a committed order has arrived at this instance.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(5);
/// How often the evidence on a running rollout is logged.
const EVIDENCE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What this instance knows of rollouts besides the committed state.
#[derive(Default)]
pub(super) struct Rollouts {
    /// The running rollouts, while this instance leads.
    running: BTreeMap<ServiceName, Running>,
    /// The term in which `running` was built.
    term: u64,
    /// When this instance learnt of what is committed about a service's last rollout.
    noted: BTreeMap<ServiceName, Noted>,
}

/// A committed state of a rollout, and when it was seen first.
#[derive(Debug, Clone, Copy)]
struct Noted {
    revision: Revision,
    stage: Stage,
    elapsed: Duration,
    at: Timestamp,
}

/// A running rollout at the leader.
struct Running {
    decider: Decider,
    revision: Revision,
    /// The share that was logged last.
    share: Share,
    evidence_logged_at: Timestamp,
    is_verdict_logged: bool,
    /// Whether a command about it is being committed.
    is_committing: bool,
    /// The share in force at each entry and its requests on the old versions, as reported last; for log
    /// lines.
    reported: BTreeMap<id::Process, (Share, u32)>,
}

/// A decision that is to be committed.
struct Due {
    service: ServiceName,
    revision: Revision,
    decision: Decision,
}

impl Noted {
    /// The time that has passed at least since the order.
    fn passed(&self, now: Timestamp) -> Duration {
        self.elapsed + now.saturating_sub(self.at)
    }
}

impl Rollouts {
    /// Notes the committed states of rollouts, and when they were seen first.
    fn note(&mut self, now: Timestamp, fleet: &Fleet) {
        for (service, rollout) in &fleet.rollouts {
            let noted = Noted {
                revision: rollout.revision,
                stage: rollout.stage,
                elapsed: rollout.elapsed,
                at: now,
            };
            let is_known = self.noted.get(service).is_some_and(|known| {
                (known.revision, known.stage) == (noted.revision, noted.stage)
                    && (known.stage != Stage::Running || known.passed(now) >= noted.elapsed)
            });
            if !is_known {
                self.noted.insert(service.clone(), noted);
            }
        }
    }

    /// The rollout with the time that has passed at least since the order: what is committed, and the
    /// time since then. Without the latter, each change of the leader would prolong the rollout.
    fn with_time_passed(&self, now: Timestamp, service: &str, rollout: &Rollout) -> Rollout {
        let mut rollout = rollout.clone();
        if let Some(noted) = self.noted.get(service)
            && (noted.revision, noted.stage) == (rollout.revision, rollout.stage)
        {
            rollout.elapsed = rollout.elapsed.max(noted.passed(now));
        }
        rollout
    }

    /// Drops what belongs to another term, and deciders of rollouts that have ended, and starts the
    /// missing ones.
    fn follow(&mut self, now: Timestamp, term: u64, fleet: &Fleet, options: Options) {
        if self.term != term {
            self.term = term;
            self.running.clear();
        }
        self.running.retain(|service, running| {
            let rollout = fleet.rollouts.get(service);
            let stage = rollout
                .filter(|rollout| rollout.revision == running.revision)
                .map(|rollout| rollout.stage);
            if stage == Some(Stage::Running) {
                return true;
            }
            log::info!(target: "rollout", service:% = service, revision = running.revision, stage:?,
                configured = fleet.has_service(service), evidence:? = running.decider.evidence(now);
                "the rollout has ended");
            false
        });
        for (service, rollout) in &fleet.rollouts {
            if rollout.stage == Stage::Running && !self.running.contains_key(service) {
                let rollout = &self.with_time_passed(now, service, rollout);
                log::info!(target: "rollout", service:% = service, revision = rollout.revision,
                    to:% = rollout.to, from:? = rollout.from, term,
                    duration_ms = clock::millis(rollout.duration),
                    elapsed_ms = clock::millis(rollout.elapsed); "this instance decides about the rollout");
                let running = Running {
                    decider: Decider::new(now, service.clone(), rollout, options),
                    revision: rollout.revision,
                    share: Share::ZERO,
                    evidence_logged_at: now,
                    is_verdict_logged: false,
                    is_committing: false,
                    reported: BTreeMap::new(),
                };
                self.running.insert(service.clone(), running);
            }
        }
    }
}

impl Running {
    /// Takes a step, and logs what changed.
    fn step(
        &mut self,
        now: Timestamp,
        service: &str,
        entries: &BTreeSet<id::Process>,
        ready: usize,
    ) -> Step {
        let step = self.decider.step(now, entries, ready);
        let share = step.lease.share;
        if share != self.share {
            log::info!(target: "rollout", service, revision = self.revision,
                before = self.share.fraction(), after = share.fraction(), entries = entries.len(),
                ready, evidence:? = self.decider.evidence(now); "the share of the new version changes");
            self.share = share;
        }
        let verdict = match &step.command {
            Some(Decision::RollBack(reason)) => Some(reason.to_string()),
            Some(Decision::Complete) => Some("complete".to_owned()),
            Some(Decision::Progress(_)) | None => None,
        };
        if let Some(verdict) = verdict.filter(|_| !self.is_verdict_logged) {
            self.is_verdict_logged = true;
            log::info!(target: "rollout", service, revision = self.revision,
                verdict = verdict.as_str(), evidence:? = self.decider.evidence(now);
                "the rollout is to end");
        }
        if now >= self.evidence_logged_at + EVIDENCE_LOG_INTERVAL {
            self.evidence_logged_at = now;
            self.reported.retain(|entry, _| entries.contains(entry));
            let reported = self.reported.values();
            let at_share = reported.clone().filter(|(in_force, _)| *in_force == share);
            log::info!(target: "rollout", service, revision = self.revision,
                share = share.fraction(), entries = entries.len(), at_share = at_share.count(),
                old_in_flight = reported.map(|(_, in_flight)| in_flight).sum::<u32>(), ready,
                evidence:? = self.decider.evidence(now); "the rollout is running");
        }
        step
    }
}

impl RolloutOrder {
    /// Returns why the order can't be carried out, whatever the state.
    fn fault(&self) -> Option<&'static str> {
        let is_named = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        if !is_named(&self.service) {
            Some("the name of the service is empty or too long")
        } else if !is_named(&self.to) {
            Some("the version is empty or too long")
        } else if !DURATIONS.contains(&self.duration) {
            Some("the duration is not between 0.1 s and 24 h")
        } else {
            None
        }
    }
}

impl Control {
    /// Starts a rollout.
    ///
    /// As for evacuations, the order applies only to the state that was read after it arrived, however
    /// long it takes to reach the leader.
    pub(super) async fn start_rollout(&self, body: &[u8]) -> Response<Body> {
        let order = match self.dialect.rollout_order(body) {
            Ok(order) => order,
            Err(error) => return reject(error.to_string()),
        };
        if let Some(fault) = order.fault() {
            return reject(fault.to_owned());
        }
        let RolloutOrder {
            service,
            to,
            duration,
        } = &order;
        for _ in 0..MAX_ORDER_ATTEMPTS {
            let Reply::State(fleet) = self.read_latest().await else {
                return unavailable("the newest state is not known for sure");
            };
            if !fleet.has_service(service) {
                return http::text_response(StatusCode::NOT_FOUND, "no such service");
            }
            let revision = fleet.rollout_revision(service);
            match fleet.rollouts.get(service) {
                Some(known) if known.stage == Stage::Running && known.to != *to => {
                    let text = format!("the rollout of version {} is running", known.to);
                    return http::text_response(StatusCode::CONFLICT, text);
                }
                Some(known) if known.stage != Stage::RolledBack && known.to == *to => {
                    return self.acknowledge_rollout(service, revision).await;
                }
                _ => {}
            }
            let command = Command::StartRollout {
                service: service.clone(),
                to: to.clone(),
                from: self.other_versions(service, to),
                duration: *duration,
                revision,
            };
            let reply = self.commit(command).await;
            log::info!(target: "rollout", service:% = service, to:% = to, revision,
                duration_ms = clock::millis(*duration), reply:? = reply; "rollout ordered");
            match reply {
                Reply::Committed => return self.acknowledge_rollout(service, revision + 1).await,
                Reply::Repeated => return self.acknowledge_rollout(service, revision).await,
                Reply::Superseded => {}
                _ => return unavailable("the order may or may not be committed"),
            }
        }
        unavailable("other orders for this service come in between")
    }

    /// The versions of a service's registered backend servers other than `to`.
    fn other_versions(&self, service: &str, to: &str) -> BTreeSet<Arc<str>> {
        let registry = self.fleet_state.registry();
        let heartbeats = registry.iter().map(|known| &known.heartbeat);
        heartbeats
            .filter(|heartbeat| *heartbeat.service == *service && *heartbeat.version != *to)
            .map(|heartbeat| heartbeat.version.clone())
            .collect()
    }

    /// Responds to an order as soon as all connected entries know it, since one that doesn't could send
    /// any number of requests to the new version.
    async fn acknowledge_rollout(
        &self,
        service: &ServiceName,
        revision: Revision,
    ) -> Response<Body> {
        let is_ordered = |fleet: &Fleet| fleet.rollout_revision(service) >= revision;
        if !self.wait_until_known(is_ordered).await {
            log::warn!(target: "rollout", service:% = service, revision;
                "not all entries have acknowledged the order of a rollout");
        }
        http::json_response(StatusCode::OK, bytes::Bytes::from_static(b"{}"))
    }

    /// Waits until all connected entries hold a state with a property, for at most
    /// [`ACKNOWLEDGE_TIMEOUT`]. Returns whether they do.
    async fn wait_until_known(&self, has_property: impl Fn(&Fleet) -> bool) -> bool {
        let known = tokio::time::timeout(ACKNOWLEDGE_TIMEOUT, async {
            let index = loop {
                match self.index_of_state(&has_property) {
                    Some(index) => break index,
                    None => tokio::time::sleep(ARRIVAL_INTERVAL).await,
                }
            };
            let mut update = self.empty_update();
            update.index = index;
            let number = self.broadcaster.publish_numbered(update);
            let wait = self
                .broadcaster
                .wait_acknowledged(number, ACKNOWLEDGE_TIMEOUT);
            wait.await
        });
        known.await.unwrap_or(false)
    }

    /// The index of a state known here that has a property.
    fn index_of_state(&self, has_property: impl Fn(&Fleet) -> bool) -> Option<u64> {
        let applied = self.applied.load();
        if has_property(&applied.1) {
            return Some(applied.0);
        }
        let view = self.fleet_state.view()?;
        has_property(&view.fleet).then_some(view.index)
    }

    /// Responds with the state of a service's last rollout. The operator stops the old servers when it is
    /// completed, so that is told once no connected entry uses them any more. An entry may have gone
    /// back to them shortly before the end, because its lease lapsed or it can't reach the leader.
    pub(super) async fn rollout_state(&self, service: &str) -> Response<Body> {
        let Reply::State(fleet) = self.read_latest().await else {
            return unavailable("the newest state is not known for sure");
        };
        let Some(rollout) = fleet.rollouts.get(service) else {
            return http::text_response(StatusCode::NOT_FOUND, "no such rollout");
        };
        let is_completed = |fleet: &Fleet| {
            let known = fleet.rollouts.get(service);
            known.is_some_and(|known| {
                known.revision > rollout.revision
                    || (known.revision == rollout.revision && known.stage == rollout.stage)
            })
        };
        if rollout.stage == Stage::Completed && !self.wait_until_known(is_completed).await {
            log::warn!(target: "rollout", service, revision = rollout.revision;
                "not all entries have acknowledged the end of a rollout");
        }
        http::json_response(StatusCode::OK, self.dialect.rollout_body(rollout))
    }

    /// Whether a command repeats the order of a rollout that was rolled back a short time ago. Only the
    /// leader knows that, since it has seen the rollback or has only just taken over.
    pub(super) fn repeats_rolled_back(&self, command: &Command) -> bool {
        let Command::StartRollout { service, to, .. } = command else {
            return false;
        };
        let applied = self.applied.load();
        let known = applied.1.rollouts.get(service);
        if known.is_none_or(|known| known.stage != Stage::RolledBack || known.to != *to) {
            return false;
        }
        let now = clock::now();
        let mut rollouts = lock(&self.rollouts);
        rollouts.note(now, &applied.1);
        let noted = rollouts.noted.get(service);
        noted.is_some_and(|noted| now.saturating_sub(noted.at) < REPETITION_TIME)
    }

    /// Merges an entry's reports.
    pub(super) fn merge_rollout_reports(&self, entry: &id::Process, reports: &[Report]) {
        let now = clock::now();
        let mut rollouts = lock(&self.rollouts);
        for report in reports {
            let running = rollouts.running.get_mut(&report.service);
            if let Some(running) = running.filter(|known| known.revision == report.revision) {
                running.decider.record(now, entry, report);
                let reported = (report.share_in_force, report.old_in_flight);
                running.reported.insert(entry.clone(), reported);
            }
        }
    }

    /// Takes the leader's decisions about rollouts. This runs apart from the other tasks of the leader,
    /// which wait for commits: the leases would run out meanwhile.
    pub(super) async fn run_rollouts(&self) {
        let mut steps = tokio::time::interval(report::INTERVAL);
        steps.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            steps.tick().await;
            self.step_rollouts(clock::now());
        }
    }

    fn step_rollouts(&self, now: Timestamp) {
        lock(&self.rollouts).note(now, &self.fleet());
        let confirmed_at = self
            .replica()
            .and_then(|replica| replica.status().confirmed_at);
        let is_confirmed = confirmed_at.is_some_and(|at| now.saturating_sub(at) < LEASING_TIMEOUT);
        let Some(term) = self.leader_term() else {
            lock(&self.rollouts).running.clear();
            return;
        };
        // Another instance may lead: its leases count.
        if !is_confirmed {
            return;
        }
        let fleet = self.applied.load().1.clone();
        let peers = self.broadcaster.connected_peers();
        let entries = peers.into_iter().filter(|peer| peer.role == Role::Entry);
        let entries: BTreeSet<_> = entries.map(|peer| peer.process).collect();
        let mut leases = Vec::new();
        let mut due = Vec::new();
        {
            let mut rollouts = lock(&self.rollouts);
            rollouts.follow(now, term, &fleet, self.setup.rollout);
            for (service, running) in &mut rollouts.running {
                let Some(rollout) = fleet.rollouts.get(service) else {
                    continue;
                };
                let ready = self.ready_servers(now, service, &rollout.to, &fleet);
                let step = running.step(now, service, &entries, ready);
                leases.push(step.lease);
                let decision = step.command.filter(|_| !running.is_committing);
                due.extend(decision.map(|decision| {
                    running.is_committing = true;
                    Due {
                        service: service.clone(),
                        revision: running.revision,
                        decision,
                    }
                }));
            }
        }
        if !leases.is_empty() {
            let frame = Frame::RolloutLeases(term, leases);
            self.broadcaster
                .send_to(&frame, |peer| peer.role == Role::Entry);
        }
        for due in due {
            self.commit_decision(due);
        }
    }

    /// The number of ready backend servers of a version that entries may use.
    fn ready_servers(&self, now: Timestamp, service: &str, version: &str, fleet: &Fleet) -> usize {
        let registry = self.fleet_state.registry();
        let ready = registry.ready(now, service).filter(|(known, _)| {
            *known.heartbeat.version == *version
                && !fleet.evacuated.contains(&known.heartbeat.data_centre)
        });
        ready.count()
    }

    /// Commits a decision in a task of its own, so that leases go on meanwhile.
    fn commit_decision(&self, due: Due) {
        let Some(this) = self.weak_self.upgrade() else {
            return;
        };
        let Due {
            service,
            revision,
            decision,
        } = due;
        let end = |stage| Command::EndRollout {
            service: service.clone(),
            revision,
            stage,
        };
        let command = match decision {
            Decision::Progress(elapsed) => Command::SetRolloutElapsed {
                service: service.clone(),
                revision,
                elapsed,
            },
            Decision::Complete => end(Stage::Completed),
            Decision::RollBack(_) => end(Stage::RolledBack),
        };
        tokio::spawn(async move {
            let reply = this.commit_locally(command).await;
            if reply != Reply::Committed {
                log::warn!(target: "rollout", service:% = service, revision, reply:? = reply;
                    "a decision could not be committed");
            }
            let mut rollouts = lock(&this.rollouts);
            let running = rollouts.running.get_mut(&service);
            if let Some(running) = running.filter(|running| running.revision == revision) {
                running.is_committing = false;
            }
        });
    }
}

fn reject(reason: String) -> Response<Body> {
    log::info!(target: "rollout", reason = reason.as_str(); "the order of a rollout is rejected");
    http::text_response(StatusCode::BAD_REQUEST, reason)
}

#[cfg(test)]
#[path = "rollout_tests.rs"]
mod tests;
