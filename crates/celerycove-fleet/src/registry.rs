//! The registry of backend servers, built from their heartbeats.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use celerycove_types::{Map, Timestamp, id};
use serde::{Deserialize, Serialize};

use crate::config::ServiceName;

/// How long a backend server stays in the registry after its last heartbeat, so that delayed
/// heartbeats of it are recognised. Exceeds the delay that any partition within the design's fault
/// model causes to a message.
const RETENTION: Duration = Duration::from_mins(2);

/// A backend server loses its address to one that started earlier if that one was heard this much
/// later: several heartbeat intervals. Only one of them can listen there.
const ADDRESS_CLAIM: Duration = Duration::from_secs(5);
/// The longest name of a backend server, a service, a data centre or a version, in bytes.
pub const MAX_NAME_BYTES: usize = 200;
/// The most requests that a backend server can run concurrently.
const MAX_SLOTS: u32 = 100_000;
/// The longest time for which a backend server can stay cold.
const MAX_COLD: Duration = Duration::from_hours(1);
/// The most by which the wall clocks of a backend server and a control instance may differ.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_mins(10);

/// The lifecycle stage that a backend server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// It accepts requests.
    Ready,
    /// It finishes its running requests, accepts no new ones and then shuts down.
    Leaving,
    /// It has shut down.
    Left,
}

/// The content of one heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The id of the backend server.
    pub backend: id::Backend,
    /// The wall-clock time at which this incarnation started, in milliseconds.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
    /// The sequence number of the heartbeat within its incarnation.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: id::DataCentre,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Its lifecycle stage.
    pub stage: Stage,
    /// How much longer it stays cold, counted from the heartbeat.
    #[serde(rename = "cold")]
    pub cold_remaining: Duration,
    /// The version of the software that it runs; empty if it names none.
    #[serde(default)]
    pub version: Arc<str>,
}

/// A value in a heartbeat that no backend server sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the {field} of a heartbeat is implausible")]
pub struct Implausible {
    /// What the value describes.
    pub field: &'static str,
}

impl Heartbeat {
    /// Checks that a backend server can have sent the heartbeat by `wall_millis`, the time of day in
    /// milliseconds since the Unix epoch. Another writer's values could hide heartbeats that follow, or
    /// make the server unusable to all.
    ///
    /// # Errors
    ///
    /// Returns the first implausible value.
    pub fn check(&self, wall_millis: u64) -> Result<(), Implausible> {
        let tolerance = u64::try_from(MAX_CLOCK_DIFFERENCE.as_millis()).unwrap_or(u64::MAX);
        let latest_start = wall_millis.saturating_add(tolerance);
        // A backend server sends fewer heartbeats than milliseconds pass.
        let max_sequence = latest_start.saturating_sub(self.started_at_ms);
        let ip = self.address.ip();
        let names = [
            &*self.backend,
            &*self.service,
            &*self.data_centre,
            &*self.version,
        ];
        let checks = [
            ("start time", self.started_at_ms <= latest_start),
            ("sequence number", self.sequence <= max_sequence),
            ("port", self.address.port() != 0),
            ("address", !ip.is_unspecified() && !ip.is_multicast()),
            (
                "names",
                names.iter().all(|name| name.len() <= MAX_NAME_BYTES),
            ),
            ("slots", (1..=MAX_SLOTS).contains(&self.slots)),
            ("cold time", self.cold_remaining <= MAX_COLD),
        ];
        match checks.into_iter().find(|(_, is_plausible)| !is_plausible) {
            Some((field, _)) => Err(Implausible { field }),
            None => Ok(()),
        }
    }
}

/// The newest heartbeat of a backend server and its time.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// The newest heartbeat.
    pub heartbeat: Heartbeat,
    /// When it was sent, estimated on the local clock.
    pub sent_at: Timestamp,
}

/// What a heartbeat changed in the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing, since the heartbeat was late or a duplicate.
    Outdated,
    /// Only the time of the last heartbeat.
    Refreshed,
    /// Something that must be sent to the other processes at once.
    Update,
}

/// All known backend servers.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    by_backend: BTreeMap<id::Backend, Record>,
    /// The backend servers that have or had an address: rarely more than one.
    by_address: Map<SocketAddr, Vec<id::Backend>>,
}

impl Registry {
    /// Merges a heartbeat that was sent `age` ago.
    pub fn merge(&mut self, now: Timestamp, age: Duration, heartbeat: Heartbeat) -> Change {
        let sent_at = now.saturating_sub(age);
        if self.is_superseded(&heartbeat, sent_at) {
            return Change::Outdated;
        }
        let at_address = self.by_address.entry(heartbeat.address).or_default();
        if !at_address.contains(&heartbeat.backend) {
            at_address.push(heartbeat.backend.clone());
        }
        let Some(known) = self.by_backend.get_mut(&heartbeat.backend) else {
            self.by_backend
                .insert(heartbeat.backend.clone(), Record { heartbeat, sent_at });
            return Change::Update;
        };
        let latest = (known.heartbeat.started_at_ms, known.heartbeat.sequence);
        if (heartbeat.started_at_ms, heartbeat.sequence) < latest {
            return Change::Outdated;
        }
        let is_same_incarnation = heartbeat.started_at_ms == known.heartbeat.started_at_ms;
        if (heartbeat.started_at_ms, heartbeat.sequence) == latest
            && heartbeat.stage <= known.heartbeat.stage
        {
            return Change::Outdated;
        }
        // A backend server that is leaving does not become ready again in the same incarnation.
        if is_same_incarnation && heartbeat.stage < known.heartbeat.stage {
            return Change::Outdated;
        }
        let became_warm =
            heartbeat.cold_remaining.is_zero() && !known.heartbeat.cold_remaining.is_zero();
        let became_cold =
            !heartbeat.cold_remaining.is_zero() && known.heartbeat.cold_remaining.is_zero();
        let is_unchanged = is_same_incarnation
            && heartbeat.stage == known.heartbeat.stage
            && heartbeat.address == known.heartbeat.address
            && heartbeat.service == known.heartbeat.service
            && heartbeat.version == known.heartbeat.version
            && heartbeat.slots == known.heartbeat.slots;
        *known = Record { heartbeat, sent_at };
        if is_unchanged && !became_warm && !became_cold {
            Change::Refreshed
        } else {
            Change::Update
        }
    }

    /// Marks a backend server as [`Stage::Left`] after it reported its own shutdown, and returns
    /// the heartbeat that records it.
    ///
    /// The report carries no incarnation, so it applies to the newest known one.
    pub fn mark_left(&mut self, now: Timestamp, backend: &id::Backend) -> Option<Heartbeat> {
        let known = self.by_backend.get_mut(backend)?;
        known.heartbeat.stage = Stage::Left;
        known.heartbeat.sequence = known.heartbeat.sequence.saturating_add(1);
        known.sent_at = now;
        Some(known.heartbeat.clone())
    }

    /// Returns whether a backend server with another id has the same address. That is the one that
    /// started later, or the earlier one if it was heard more than [`ADDRESS_CLAIM`] after the other.
    fn is_superseded(&self, heartbeat: &Heartbeat, sent_at: Timestamp) -> bool {
        let at_address = self.by_address.get(&heartbeat.address);
        let mut at_address = at_address.into_iter().flatten();
        at_address.any(|backend| {
            let Some(known) = self.by_backend.get(backend) else {
                return false;
            };
            let has_address = known.heartbeat.address == heartbeat.address
                && known.heartbeat.backend != heartbeat.backend
                && known.heartbeat.stage != Stage::Left;
            let known_start = known.heartbeat.started_at_ms;
            let outlasts = if known_start > heartbeat.started_at_ms {
                sent_at <= known.sent_at + ADDRESS_CLAIM
            } else {
                known_start < heartbeat.started_at_ms && known.sent_at > sent_at + ADDRESS_CLAIM
            };
            has_address && outlasts
        })
    }

    /// Removes backend servers whose last heartbeat is older than the retention time.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.by_backend
            .retain(|_, known| now.saturating_sub(known.sent_at) < RETENTION);
        let by_backend = &self.by_backend;
        self.by_address.retain(|_, backends| {
            backends.retain(|backend| by_backend.contains_key(backend));
            !backends.is_empty()
        });
    }

    /// Returns the ready backend servers of a service, with the age of each one's last heartbeat.
    ///
    /// Of several with the same address, only the one that started last is returned.
    pub fn ready<'a>(
        &'a self,
        now: Timestamp,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a Record, Duration)> {
        self.by_backend
            .values()
            .filter(move |known| known.heartbeat.service.as_ref() == service)
            .filter(|known| {
                known.heartbeat.stage == Stage::Ready
                    && !self.is_superseded(&known.heartbeat, known.sent_at)
            })
            .map(move |known| (known, now.saturating_sub(known.sent_at)))
    }

    /// Returns all known backend servers, including those that have left or sent no recent
    /// heartbeat.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.by_backend.values()
    }

    /// Returns what is known of a backend server.
    #[must_use]
    pub fn get(&self, backend: &str) -> Option<&Record> {
        self.by_backend.get(backend)
    }
}
