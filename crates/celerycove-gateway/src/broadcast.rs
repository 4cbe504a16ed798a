//! Distributes the fleet's state from control instances to all processes.
//!
//! Each entry, store and control instance is connected to every control instance. A control
//! instance pushes changes as soon as it receives them, and a digest periodically. Each receiver
//! keeps a [`FleetState`] of its own. An update may arrive by several control instances and in any
//! order; the newest version wins.
//!
//! The committed state is pushed as steps from one index to another. A receiver that has no state,
//! or that no step leads on from, requests the whole state from one control instance.

mod lag;

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use celerycove_fleet::{
    Registry,
    registry::{Change, Heartbeat},
};
use celerycove_log::limit::{Admitted, Limit};
use celerycove_types::{Timestamp, id};
use tokio::sync::Notify;

use self::lag::Lag;
use crate::{
    clock,
    link::{Encoded, Sender, lock},
    message::{
        Frame, Peer, PeerStatus, RelayedHeartbeat, SequenceNumber, Update, View, ViewUpdate,
    },
    setup::Role,
};

/// Lines a second about changes of backend servers that other processes told.
const RELAYED_CHANGE_LINES: u32 = 10;
/// A process from which nothing was heard for this long, while others were, is removed from the known
/// peers.
pub(crate) const PEER_EXPIRY: Duration = Duration::from_mins(2);

/// A known process and when it was last heard from.
#[derive(Debug, Clone)]
struct KnownPeer {
    peer: Peer,
    heard_at: Timestamp,
}

/// What a process knows about the fleet: committed state, backend servers, processes and leader.
#[derive(Default)]
pub struct FleetState {
    view: ArcSwapOption<View>,
    registry: Mutex<Registry>,
    peers: Mutex<BTreeMap<id::Process, KnownPeer>>,
    /// When this process last learned which processes run. Nothing is known to be gone since then.
    informed_at: Mutex<Timestamp>,
    leader: Mutex<Option<id::Process>>,
    lag: Mutex<Lag>,
    change_lines: Mutex<LineLimit>,
}

/// What an update changed in a [`FleetState`].
#[derive(Debug, Default)]
pub struct Changes {
    /// Whether the committed state was replaced by a newer one.
    pub view: bool,
    /// Whether to request the whole state from the sender.
    pub request_view: bool,
    /// Heartbeats that must be passed on to other processes.
    pub beats: Vec<RelayedHeartbeat>,
    /// Heartbeats that changed nothing but the time of the last one.
    pub refreshed: Vec<RelayedHeartbeat>,
}

impl FleetState {
    /// Merges an update from a control instance. The first state is accepted only from an instance
    /// in contact with a majority: any other may have missed any number of changes.
    pub fn merge(&self, update: Update) -> Changes {
        self.merge_at(clock::now(), update)
    }

    /// Merges an update like [`merge`](Self::merge) that is received at the given time.
    pub fn merge_at(&self, now: Timestamp, update: Update) -> Changes {
        let mut changes = Changes::default();
        if let Some(view) = update.view {
            changes.view = self.merge_view(view, update.has_quorum);
        }
        changes.request_view = self.observe_index(now, update.index, update.has_quorum);
        for relayed in update.heartbeats {
            let change = self.merge_heartbeat(now, &relayed);
            match change {
                Change::Update => changes.beats.push(relayed),
                Change::Refreshed => changes.refreshed.push(relayed),
                Change::Outdated => {}
            }
        }
        if let Some(peers) = update.peers {
            for status in peers {
                self.merge_peer(now, status);
            }
            self.set_informed(now);
        }
        if update.has_quorum && update.leader.is_some() {
            *lock(&self.leader) = update.leader;
        }
        changes
    }

    /// Replaces the state if the update leads from the known one to a newer one.
    fn merge_view(&self, update: ViewUpdate, has_quorum: bool) -> bool {
        match update {
            ViewUpdate::Whole(view) => self.replace_if_newer(view, has_quorum),
            ViewUpdate::Step {
                base,
                index,
                change,
            } => {
                let known = self.view.load();
                let known = known.as_ref().filter(|known| known.index == base);
                known.is_some_and(|known| {
                    let fleet = change.apply(&known.fleet).into();
                    self.replace_if_newer(View { index, fleet }, has_quorum)
                })
            }
        }
    }

    /// Returns whether to request the whole state from a control instance whose state has the given
    /// index.
    fn observe_index(&self, now: Timestamp, index: u64, has_quorum: bool) -> bool {
        let known = self.view.load().as_ref().map(|known| known.index);
        // A process without a state accepts its first one only from an instance in contact with a
        // majority.
        let is_usable = known.is_some() || has_quorum;
        is_usable && lock(&self.lag).observe(now, known, index)
    }

    fn replace_if_newer(&self, view: View, has_quorum: bool) -> bool {
        let before = self.view.load();
        let newer = match before.as_ref() {
            Some(before) => view.index > before.index,
            None => has_quorum,
        };
        if newer {
            log::info!(target: "spread", index = view.index, version = view.fleet.config.version,
                evacuated:? = view.fleet.evacuated; "a newer fleet state is in force here");
            self.view.store(Some(view.into()));
        }
        newer
    }

    /// Merges a heartbeat that this process got from the backend server itself.
    pub fn merge_own_heartbeat(&self, now: Timestamp, relayed: &RelayedHeartbeat) -> Change {
        lock(&self.registry).merge(now, relayed.age, relayed.beat.clone())
    }

    /// Merges a heartbeat that another process passed on.
    fn merge_heartbeat(&self, now: Timestamp, relayed: &RelayedHeartbeat) -> Change {
        let change = self.merge_own_heartbeat(now, relayed);
        if change == Change::Update {
            self.log_relayed_change(now, relayed);
        }
        change
    }

    /// Logs a change of a backend server's state that another process told. The control instance that
    /// it was reported to logs each; many start at once, so the others hold lines back.
    fn log_relayed_change(&self, now: Timestamp, relayed: &RelayedHeartbeat) {
        let Some(Admitted { held_back }) = lock(&self.change_lines).0.admit(now) else {
            return;
        };
        if held_back > 0 {
            log::info!(target: "registry", held_back; "lines on changed backend servers were held back");
        }
        log_backend_change(&relayed.beat, relayed.age);
    }

    fn merge_peer(&self, now: Timestamp, status: PeerStatus) {
        let heard_at = now.saturating_sub(status.silent);
        let mut peers = lock(&self.peers);
        let known = peers
            .entry(status.peer.process.clone())
            .or_insert_with(|| KnownPeer {
                peer: status.peer.clone(),
                heard_at,
            });
        if heard_at >= known.heard_at {
            known.peer = status.peer;
            known.heard_at = heard_at;
        }
    }

    /// Records that this process has just learned which processes run.
    pub fn set_informed(&self, now: Timestamp) {
        *lock(&self.informed_at) = now;
    }

    /// Records that a process, possibly unknown so far, was heard from just now.
    pub fn add_peer(&self, peer: &Peer) {
        let status = PeerStatus {
            peer: peer.clone(),
            silent: Duration::ZERO,
        };
        self.merge_peer(clock::now(), status);
    }

    /// Records that a known process was heard from just now.
    pub fn touch_peer(&self, process: &id::Process) {
        if let Some(known) = lock(&self.peers).get_mut(process) {
            known.heard_at = clock::now();
        }
    }

    /// The known processes of a role, each with the time since it was last heard from.
    #[must_use]
    pub fn peers(&self, role: Role) -> Vec<PeerStatus> {
        self.peers_at(clock::now(), role)
    }

    /// The known processes of a role at the given time.
    #[must_use]
    pub fn peers_at(&self, now: Timestamp, role: Role) -> Vec<PeerStatus> {
        let informed_at = *lock(&self.informed_at);
        let mut peers = lock(&self.peers);
        peers.retain(|_, known| informed_at.saturating_sub(known.heard_at) < PEER_EXPIRY);
        let of_role = peers.values().filter(|known| known.peer.role == role);
        of_role
            .map(|known| PeerStatus {
                peer: known.peer.clone(),
                silent: now.saturating_sub(known.heard_at),
            })
            .collect()
    }

    /// The committed state, if known.
    #[must_use]
    pub fn view(&self) -> Option<std::sync::Arc<View>> {
        self.view.load_full()
    }

    /// The leader of the control log, if known.
    #[must_use]
    pub fn leader(&self) -> Option<id::Process> {
        lock(&self.leader).clone()
    }

    /// Locks and returns the registry of backend servers.
    pub fn registry(&self) -> std::sync::MutexGuard<'_, Registry> {
        lock(&self.registry)
    }
}

/// The limit on lines about changes of backend servers.
struct LineLimit(Limit);

impl Default for LineLimit {
    fn default() -> Self {
        Self(Limit::new(RELAYED_CHANGE_LINES))
    }
}

/// Logs a change of a backend server's state.
pub fn log_backend_change(heartbeat: &Heartbeat, age: Duration) {
    log::info!(target: "registry", backend:% = heartbeat.backend,
        born = heartbeat.started_at_ms, seq = heartbeat.sequence, stage:? = heartbeat.stage,
        service:% = heartbeat.service, address:% = heartbeat.address,
        cold_ms = clock::millis(heartbeat.cold_remaining), age_ms = clock::millis(age); "backend server changed");
}

/// A connected process that updates are sent to.
struct Subscriber {
    peer: Peer,
    sender: Sender,
    /// The latest update that the process has acknowledged; 0 if none.
    acknowledged: SequenceNumber,
}

/// Sends updates to all connected processes.
#[derive(Default)]
pub struct Broadcaster {
    subscribers: Mutex<Vec<Subscriber>>,
    last_number: AtomicU64,
    /// Notified when an update is acknowledged or a subscriber is removed.
    progress: Notify,
}

impl Broadcaster {
    /// Adds a connected process; its connection replaces an earlier one.
    pub fn subscribe(&self, peer: &Peer, sender: &Sender) {
        let mut subscribers = lock(&self.subscribers);
        subscribers.retain(|subscriber| subscriber.peer.process != peer.process);
        subscribers.push(Subscriber {
            peer: peer.clone(),
            sender: sender.clone(),
            acknowledged: 0,
        });
    }

    /// Removes subscribers whose connection is closed and returns the others.
    #[must_use]
    pub fn connected_peers(&self) -> Vec<Peer> {
        let mut subscribers = lock(&self.subscribers);
        subscribers.retain(|subscriber| !subscriber.sender.is_closed());
        subscribers
            .iter()
            .map(|subscriber| subscriber.peer.clone())
            .collect()
    }

    /// Removes the subscriber on the connection of this number.
    pub fn unsubscribe(&self, connection: u64) {
        lock(&self.subscribers).retain(|subscriber| subscriber.sender.connection != connection);
        self.progress.notify_waiters();
    }

    /// Sends an update on one connection.
    pub fn send_update(&self, sender: &Sender, update: Update) {
        sender.send(&Frame::Update(Box::new(update)));
    }

    /// Sends an update to all subscribers.
    pub fn publish(&self, update: Update) {
        self.publish_to(update, |_| true);
    }

    /// Sends an update to the subscribers selected by `filter`.
    pub fn publish_to(&self, update: Update, filter: impl Fn(&Peer) -> bool) {
        self.send_to(&Frame::Update(Box::new(update)), filter);
    }

    /// Sends an update that entries acknowledge to all subscribers, and returns its number.
    pub fn publish_numbered(&self, mut update: Update) -> SequenceNumber {
        update.sequence = self.last_number.fetch_add(1, Relaxed) + 1;
        let number = update.sequence;
        self.publish(update);
        number
    }

    /// Sends a frame to the subscribers selected by `filter`.
    pub fn send_to(&self, frame: &Frame, filter: impl Fn(&Peer) -> bool) {
        let Some(encoded) = Encoded::new(frame) else {
            return;
        };
        for subscriber in lock(&self.subscribers).iter() {
            if filter(&subscriber.peer) {
                subscriber.sender.send_encoded(&encoded);
            }
        }
    }

    /// Records that a subscriber has acknowledged an update.
    pub fn acknowledge(&self, process: &id::Process, number: SequenceNumber) {
        for subscriber in lock(&self.subscribers).iter_mut() {
            if subscriber.peer.process == *process {
                subscriber.acknowledged = subscriber.acknowledged.max(number);
            }
        }
        self.progress.notify_waiters();
    }

    /// Waits until all connected entries have acknowledged an update, for at most `timeout`.
    /// Returns whether they have.
    pub async fn wait_acknowledged(&self, number: SequenceNumber, timeout: Duration) -> bool {
        let waiting = async {
            loop {
                let notified = self.progress.notified();
                let pending = lock(&self.subscribers).iter().any(|subscriber| {
                    subscriber.peer.role == Role::Entry
                        && subscriber.acknowledged < number
                        && !subscriber.sender.is_closed()
                });
                if !pending {
                    return;
                }
                notified.await;
            }
        };
        tokio::time::timeout(timeout, waiting).await.is_ok()
    }
}
