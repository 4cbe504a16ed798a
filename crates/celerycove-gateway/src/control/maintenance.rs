//! Periodic tasks of a control instance.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use celerycove_control::membership::{self, Candidate};
use celerycove_fleet::{Command, Fleet};
use celerycove_types::{Timestamp, id};
use futures_util::future::join_all;

use super::{Control, DIGEST_INTERVAL};
use crate::{
    broadcast::PEER_EXPIRY,
    clock,
    link::lock,
    message::{Frame, Peer, PeerStatus, RelayedHeartbeat, Reply},
    replica::Status,
    setup::Role,
};

/// How often the periodic tasks run.
pub(super) const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// How long instances may take to connect, after the first is known, before the initial members of
/// a log are chosen. Instances that start together connect within this time.
pub(super) const BOOTSTRAP_WAIT: Duration = Duration::from_millis(1_500);
/// An entry that was silent for this long is removed, and rate limits are no longer shared with it.
const ENTRY_EXPIRY: Duration = Duration::from_mins(1);
/// How often entries are sent the known processes though none has changed; several times within the
/// time after which they forget a process that is not named any more.
const ENTRY_LIST_INTERVAL: Duration = Duration::from_secs(PEER_EXPIRY.as_secs() / 4);
/// A new leader changes no members for this long, until it has heard from the other instances.
const MEMBERSHIP_DELAY: Duration = Duration::from_secs(2);

/// State that the periodic tasks keep between rounds.
#[derive(Debug, Default)]
pub(super) struct State {
    last_digest_at: Timestamp,
    /// The current term as the leader, and when it began.
    led_since: Option<(u64, Timestamp)>,
    /// When the first store that may bootstrap the stores' log was known.
    stores_known_since: Option<Timestamp>,
    had_quorum: bool,
    /// The processes named in the last published list.
    published_peers: BTreeSet<id::Process>,
    /// When the list was last published to entries.
    entries_told_at: Timestamp,
}

impl Control {
    /// Publishes digests and, while leading, admits entries, bootstraps the stores' log and changes
    /// the members of the control log.
    pub(super) async fn run_maintenance(&self) {
        let mut rounds = tokio::time::interval(ROUND_INTERVAL);
        rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            rounds.tick().await;
            let now = clock::now();
            self.note_running(now);
            self.fleet_state.add_peer(&self.local_peer);
            for peer in self.broadcaster.connected_peers() {
                self.fleet_state.add_peer(&peer);
            }
            // Other processes connect to each control instance.
            self.fleet_state.set_informed(now);
            self.publish_on_quorum_change();
            self.publish_demand(now);
            self.publish_changes(std::mem::take(&mut *lock(&self.relayed_changes)));
            if now >= lock(&self.maintenance).last_digest_at + DIGEST_INTERVAL {
                lock(&self.maintenance).last_digest_at = now;
                self.publish_digest(now);
                self.repeat_crashes(now);
            }
            self.advance_bootstrap();
            match self.leader_term() {
                Some(term) => self.run_leader_tasks(now, term).await,
                None => lock(&self.maintenance).led_since = None,
            }
        }
    }

    /// Publishes the index of the state when this instance gains contact with a majority, since
    /// processes without a state accept their first one only from an instance with such contact.
    fn publish_on_quorum_change(&self) {
        let has_quorum = self.has_quorum();
        let previously = std::mem::replace(&mut lock(&self.maintenance).had_quorum, has_quorum);
        if has_quorum && !previously {
            log::info!(target: "spread", leader:? = self.leader(); "gained contact with a majority");
            self.broadcaster.publish(self.empty_update());
        } else if previously && !has_quorum {
            log::warn!(target: "spread", leader:? = self.leader(); "lost contact with a majority");
        }
    }

    /// Publishes the requests in flight of the entries of this data centre, if this instance does that
    /// for its data centre.
    fn publish_demand(&self, now: Timestamp) {
        let Some(total) = lock(&self.demand).total(now) else {
            return;
        };
        if is_first_in_data_centre(&self.local_peer, &self.fleet_state.peers(Role::Control)) {
            let frame = Frame::TotalDemand(self.setup.data_centre.clone(), total);
            self.broadcaster
                .send_to(&frame, |peer| peer.role == Role::Entry);
        }
    }

    /// Publishes the backend servers that sent heartbeats here since the last digest, and the known
    /// processes.
    fn publish_digest(&self, now: Timestamp) {
        let recent = std::mem::take(&mut *lock(&self.recent_heartbeats));
        let mut update = self.empty_update();
        {
            let mut registry = self.fleet_state.registry();
            registry.remove_expired(now);
            update.heartbeats = recent
                .keys()
                .filter_map(|backend| registry.get(backend))
                .map(|known| RelayedHeartbeat {
                    beat: known.heartbeat.clone(),
                    age: now.saturating_sub(known.sent_at),
                })
                .collect();
        }
        self.broadcaster
            .publish_to(update, |peer| peer.role != Role::Store);
        self.publish_peers(now);
    }

    /// Publishes the known processes: to all subscribers if the set has changed, and otherwise only
    /// from the leader. How long each process has been silent matters only to those that change
    /// members of a log, and one sender is enough for them; entries are sent the list often enough that
    /// they forget no process that runs.
    fn publish_peers(&self, now: Timestamp) {
        let mut update = self.empty_update();
        let peers = self.known_peers();
        let names: BTreeSet<_> = peers
            .iter()
            .map(|status| status.peer.process.clone())
            .collect();
        update.peers = Some(peers);
        let (changed, entries_due) = {
            let mut state = lock(&self.maintenance);
            let changed = state.published_peers != names;
            state.published_peers = names;
            let entries_due = changed || now >= state.entries_told_at + ENTRY_LIST_INTERVAL;
            if entries_due {
                state.entries_told_at = now;
            }
            (changed, entries_due)
        };
        let is_leader = self.leader_term().is_some();
        self.broadcaster.publish_to(update, |peer| {
            changed || (is_leader && (entries_due || peer.role != Role::Entry))
        });
    }

    /// Runs the tasks of the leader.
    async fn run_leader_tasks(&self, now: Timestamp, term: u64) {
        let since = {
            let mut state = lock(&self.maintenance);
            match state.led_since {
                Some((since_term, since)) if since_term == term => since,
                _ => {
                    state.led_since = Some((term, now));
                    now
                }
            }
        };
        self.start_leasing(term);
        self.commit_due_commands(now).await;
        if now >= since + MEMBERSHIP_DELAY {
            self.change_members().await;
        }
    }

    /// Commits all commands that are due in one batch, so that the time until the last entry is
    /// admitted does not grow with the number of entries.
    async fn commit_due_commands(&self, now: Timestamp) {
        let fleet = self.fleet();
        let entries = self.fleet_state.peers(Role::Entry);
        let mut commands = entry_commands(&fleet.entries, &entries);
        commands.extend(self.initial_stores(now, &fleet).map(Command::FoundStores));
        join_all(commands.into_iter().map(|command| async {
            let event = format!("{command:?}");
            let committed = self.commit_locally(command).await == Reply::Committed;
            log::info!(target: "place", command = event.as_str(), committed;
                "membership of the fleet changed");
        }))
        .await;
    }

    /// Returns the initial members of the stores' log when the system starts for the first time,
    /// once the stores have had time to connect.
    fn initial_stores(&self, now: Timestamp, fleet: &Fleet) -> Option<BTreeSet<id::Process>> {
        if !fleet.founders.is_empty() {
            return None;
        }
        let stores = self.fleet_state.peers(Role::Store);
        let candidates: Vec<&PeerStatus> = stores
            .iter()
            .filter(|status| status.peer.has_empty_disk && status.silent < ROUND_INTERVAL * 4)
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let began = *lock(&self.maintenance)
            .stores_known_since
            .get_or_insert(now);
        if now < began + BOOTSTRAP_WAIT {
            return None;
        }
        let candidates = candidates
            .iter()
            .map(|status| (status.peer.process.clone(), status.peer.data_centre.clone()));
        let members = self.setup.target_members();
        let candidates = candidates.collect();
        Some(membership::initial_members(&candidates, None, members))
    }

    /// Proposes a change of the control log's members if one is due, for example after an instance
    /// was lost.
    async fn change_members(&self) {
        let Some(replica) = self.replica() else {
            return;
        };
        let status = replica.status();
        let options = membership::Options {
            target: self.setup.target_members(),
            silence_timeout: self.setup.bounds.replacement / 2,
        };
        let peers = self.fleet_state.peers(Role::Control);
        let candidates = member_candidates(clock::now(), peers, &status, &BTreeSet::new());
        let me = self.setup.process();
        let plan = membership::plan(&me, status.current(), &candidates, options);
        replica
            .change_members(plan, "control", ROUND_INTERVAL * 4)
            .await;
    }
}

/// Whether an instance is the first of those in its data centre that were heard from recently. Those
/// with a disk come first, since they have the larger share of a processor.
fn is_first_in_data_centre(own: &Peer, known: &[PeerStatus]) -> bool {
    let order = |peer: &Peer| (!peer.has_disk, peer.process.clone());
    let others = known.iter().filter(|status| {
        status.peer.data_centre == own.data_centre && status.silent < ROUND_INTERVAL * 8
    });
    others
        .map(|status| order(&status.peer))
        .all(|other| other >= order(own))
}

/// Returns the commands that admit entries which have connected, or now run in another data centre,
/// and that remove those which are gone.
fn entry_commands(
    committed: &BTreeMap<id::Process, id::DataCentre>,
    known: &[PeerStatus],
) -> Vec<Command> {
    let connected = known.iter().filter(|entry| {
        entry.silent < ROUND_INTERVAL * 4
            && committed.get(&entry.peer.process) != Some(&entry.peer.data_centre)
    });
    let admitted = connected.map(|entry| Command::Admit {
        entry: entry.peer.process.clone(),
        data_centre: entry.peer.data_centre.clone(),
    });
    let gone = known.iter().filter(|entry| {
        entry.silent >= ENTRY_EXPIRY && committed.contains_key(&entry.peer.process)
    });
    let removed = gone.map(|entry| Command::Dismiss(entry.peer.process.clone()));
    admitted.chain(removed).collect()
}

/// Returns the processes that can be members of a replicated log: those with a disk. A member is as
/// silent as its replica, by the leader's `status`: its storage may have failed while its process
/// runs.
pub(crate) fn member_candidates(
    now: Timestamp,
    peers: Vec<PeerStatus>,
    status: &Status,
    retiring: &BTreeSet<id::Process>,
) -> BTreeMap<id::Process, Candidate> {
    let replica_silence = |process: &id::Process| {
        let replied_at = status.replied_at.get(process).copied();
        replied_at.map_or(Duration::ZERO, |at| now.saturating_sub(at))
    };
    peers
        .into_iter()
        .filter(|status| status.peer.has_disk)
        .map(|status| {
            let candidate = Candidate {
                retiring: retiring.contains(&status.peer.process),
                data_centre: status.peer.data_centre,
                silent_for: status.silent.max(replica_silence(&status.peer.process)),
            };
            (status.peer.process, candidate)
        })
        .collect()
}

#[cfg(test)]
#[path = "maintenance_tests.rs"]
mod tests;
