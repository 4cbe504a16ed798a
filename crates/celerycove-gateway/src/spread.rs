//! How what control instances know reaches all processes.
//!
//! Each entry, store and control instance is connected to every control instance. A control
//! instance pushes changes as soon as it knows them, and a digest periodically. Whoever is told
//! keeps a [`Picture`]; the newest statement wins, whichever way it came.

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
    registry::{Beat, Change},
};
use celerycove_types::{Timestamp, id};
use tokio::sync::Notify;

use crate::{
    clock,
    link::{Sender, lock},
    message::{Frame, News, Number, Peer, Seen, Told, View},
    setup::Role,
};

/// A process that was silent for so long is forgotten.
const FORGOTTEN: Duration = Duration::from_mins(2);

/// A process and when it was last heard.
#[derive(Debug, Clone)]
struct Heard {
    peer: Peer,
    at: Timestamp,
}

/// What a process knows of the fleet.
#[derive(Default)]
pub struct Picture {
    view: ArcSwapOption<View>,
    registry: Mutex<Registry>,
    peers: Mutex<BTreeMap<id::Process, Heard>>,
    leader: Mutex<Option<id::Process>>,
}

/// What news changed.
#[derive(Debug, Default)]
pub struct Changes {
    /// The agreed state is newer.
    pub view: bool,
    /// Heartbeats that others must hear.
    pub beats: Vec<Told>,
}

impl Picture {
    /// Merges what a control instance told. The first state is taken only from an instance in touch
    /// with a majority: another may have missed any number of changes.
    pub fn take(&self, news: News) -> Changes {
        let now = clock::now();
        let mut changes = Changes::default();
        if let Some(view) = news.view {
            changes.view = self.adopt(view, news.proven);
        }
        for told in news.beats {
            let change = self.hear(now, &told);
            if change == Change::News {
                changes.beats.push(told);
            }
        }
        for seen in news.peers.into_iter().flatten() {
            self.meet(now, seen);
        }
        if news.proven && news.leader.is_some() {
            *lock(&self.leader) = news.leader;
        }
        changes
    }

    fn adopt(&self, view: View, proven: bool) -> bool {
        let before = self.view.load();
        let newer = match before.as_ref() {
            Some(before) => view.index > before.index,
            None => proven,
        };
        if newer {
            log::info!(target: "spread", index = view.index, version = view.fleet.config.version,
                evacuated:? = view.fleet.evacuated; "a newer state is in force here");
            self.view.store(Some(view.into()));
        }
        newer
    }

    /// Merges one heartbeat.
    pub fn hear(&self, now: Timestamp, told: &Told) -> Change {
        let change = lock(&self.registry).merge(now, told.age, told.beat.clone());
        if change == Change::News {
            log_beat(&told.beat, told.age);
        }
        change
    }

    fn meet(&self, now: Timestamp, seen: Seen) {
        let at = now.saturating_sub(seen.silent);
        let mut peers = lock(&self.peers);
        let heard = peers
            .entry(seen.peer.process.clone())
            .or_insert_with(|| Heard {
                peer: seen.peer.clone(),
                at,
            });
        if at >= heard.at {
            heard.peer = seen.peer;
            heard.at = at;
        }
    }

    /// Notes that a process was heard just now.
    pub fn greet(&self, peer: &Peer) {
        let seen = Seen {
            peer: peer.clone(),
            silent: Duration::ZERO,
        };
        self.meet(clock::now(), seen);
    }

    /// Notes that a known process was heard just now.
    pub fn touch(&self, process: &id::Process) {
        if let Some(heard) = lock(&self.peers).get_mut(process) {
            heard.at = clock::now();
        }
    }

    /// The processes of a role and how long each has been silent.
    #[must_use]
    pub fn peers(&self, role: Role) -> Vec<Seen> {
        let now = clock::now();
        let mut peers = lock(&self.peers);
        peers.retain(|_, heard| now.saturating_sub(heard.at) < FORGOTTEN);
        let of_role = peers.values().filter(|heard| heard.peer.role == role);
        of_role
            .map(|heard| Seen {
                peer: heard.peer.clone(),
                silent: now.saturating_sub(heard.at),
            })
            .collect()
    }

    /// The agreed state, if any is known.
    #[must_use]
    pub fn view(&self) -> Option<std::sync::Arc<View>> {
        self.view.load_full()
    }

    /// The control instance that leads, as far as is known.
    #[must_use]
    pub fn leader(&self) -> Option<id::Process> {
        lock(&self.leader).clone()
    }

    /// The backend servers.
    pub fn registry(&self) -> std::sync::MutexGuard<'_, Registry> {
        lock(&self.registry)
    }
}

/// Writes the line for a change of what is believed of a backend server.
pub fn log_beat(beat: &Beat, age: Duration) {
    log::info!(target: "registry", backend:% = beat.backend, born = beat.born, seq = beat.seq,
        stage:? = beat.stage, service:% = beat.service, address:% = beat.address,
        cold_ms = clock::millis(beat.cold), age_ms = clock::millis(age); "backend server changed");
}

struct Subscriber {
    peer: Peer,
    sender: Sender,
    heard: Number,
}

/// Pushes news to all who are connected.
#[derive(Default)]
pub struct Spread {
    subscribers: Mutex<Vec<Subscriber>>,
    numbers: AtomicU64,
    acknowledged: Notify,
}

impl Spread {
    /// Adds a process that connected.
    pub fn subscribe(&self, peer: &Peer, sender: &Sender) {
        let mut subscribers = lock(&self.subscribers);
        subscribers.retain(|known| known.peer.process != peer.process);
        subscribers.push(Subscriber {
            peer: peer.clone(),
            sender: sender.clone(),
            heard: 0,
        });
    }

    /// Drops connections that are gone and gives those who are connected.
    #[must_use]
    pub fn connected(&self) -> Vec<Peer> {
        let mut subscribers = lock(&self.subscribers);
        subscribers.retain(|known| !known.sender.is_closed());
        subscribers.iter().map(|known| known.peer.clone()).collect()
    }

    /// Drops the connection of this number.
    pub fn unsubscribe(&self, connection: u64) {
        lock(&self.subscribers).retain(|known| known.sender.connection != connection);
        self.acknowledged.notify_waiters();
    }

    /// Sends news to one connection.
    pub fn tell(&self, sender: &Sender, mut news: News) {
        news.number = self.numbers.fetch_add(1, Relaxed) + 1;
        sender.send(&Frame::News(Box::new(news)));
    }

    /// Sends news to all and gives its number.
    pub fn publish(&self, news: News) -> Number {
        self.publish_to(news, |_| true)
    }

    /// Sends news to some and gives its number.
    pub fn publish_to(&self, mut news: News, to: impl Fn(&Peer) -> bool) -> Number {
        news.number = self.numbers.fetch_add(1, Relaxed) + 1;
        let number = news.number;
        self.send_to(&Frame::News(Box::new(news)), to);
        number
    }

    /// Sends a frame to some.
    pub fn send_to(&self, frame: &Frame, to: impl Fn(&Peer) -> bool) {
        for subscriber in lock(&self.subscribers).iter() {
            if to(&subscriber.peer) {
                subscriber.sender.send(frame);
            }
        }
    }

    /// Notes that news is in force at a subscriber.
    pub fn heard(&self, process: &id::Process, number: Number) {
        for known in lock(&self.subscribers).iter_mut() {
            if known.peer.process == *process {
                known.heard = known.heard.max(number);
            }
        }
        self.acknowledged.notify_waiters();
    }

    /// Waits until news is in force at all entries that are connected, or for `patience`. Tells
    /// whether it is.
    pub async fn settled(&self, number: Number, patience: Duration) -> bool {
        let waiting = async {
            loop {
                let notified = self.acknowledged.notified();
                let pending = lock(&self.subscribers).iter().any(|known| {
                    known.peer.role == Role::Entry
                        && known.heard < number
                        && !known.sender.is_closed()
                });
                if !pending {
                    return;
                }
                notified.await;
            }
        };
        tokio::time::timeout(patience, waiting).await.is_ok()
    }
}
