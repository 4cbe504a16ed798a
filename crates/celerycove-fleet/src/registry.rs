//! The backend servers that are known from their heartbeats.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use celerycove_types::{Timestamp, id};
use serde::{Deserialize, Serialize};

use crate::config::ServiceName;

/// How long a backend server that left or fell silent is remembered, so that late heartbeats of
/// it are recognised. Longer than any message is held up by a partition that the design bears.
const REMEMBERED: Duration = Duration::from_mins(2);

/// What a backend server says of its own life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// It takes requests.
    Ready,
    /// It finishes what it has and leaves.
    Leaving,
    /// It is gone.
    Left,
}

/// What one heartbeat says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Names the backend server.
    pub backend: id::Backend,
    /// Milliseconds of the time of day when this incarnation began.
    pub born: u64,
    /// Orders the heartbeats of one incarnation.
    pub seq: u64,
    /// What it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: id::DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub stage: Stage,
    /// How much longer it is cold, counted from the heartbeat.
    pub cold: Duration,
}

/// A heartbeat and when it was heard.
#[derive(Debug, Clone, PartialEq)]
pub struct Known {
    /// The newest heartbeat.
    pub beat: Beat,
    /// When it was sent, as far as is known, on the own clock.
    pub heard: Timestamp,
}

/// What a heartbeat changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing: it was late or told twice.
    Outdated,
    /// Only that the backend server is still there.
    Alive,
    /// Something that others must hear at once.
    News,
}

/// All backend servers known.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    known: BTreeMap<id::Backend, Known>,
}

impl Registry {
    /// Merges a heartbeat that is `age` old.
    pub fn merge(&mut self, now: Timestamp, age: Duration, beat: Beat) -> Change {
        let heard = now.saturating_sub(age);
        if self.is_displaced(&beat) {
            return Change::Outdated;
        }
        let Some(known) = self.known.get_mut(&beat.backend) else {
            self.known
                .insert(beat.backend.clone(), Known { beat, heard });
            return Change::News;
        };
        let before = (known.beat.born, known.beat.seq);
        if (beat.born, beat.seq) < before {
            return Change::Outdated;
        }
        let same_life = beat.born == known.beat.born;
        if (beat.born, beat.seq) == before && beat.stage <= known.beat.stage {
            return Change::Outdated;
        }
        // Whoever said that it leaves does not come back in the same incarnation.
        if same_life && beat.stage < known.beat.stage {
            return Change::Outdated;
        }
        let warmer = beat.cold.is_zero() && !known.beat.cold.is_zero();
        let colder = !beat.cold.is_zero() && known.beat.cold.is_zero();
        let same = same_life
            && beat.stage == known.beat.stage
            && beat.address == known.beat.address
            && beat.service == known.beat.service
            && beat.slots == known.beat.slots;
        *known = Known { beat, heard };
        if same && !warmer && !colder {
            Change::Alive
        } else {
            Change::News
        }
    }

    /// Marks a backend server as gone by its own word, which names no incarnation.
    pub fn leave(&mut self, now: Timestamp, backend: &id::Backend) -> Option<Beat> {
        let known = self.known.get_mut(backend)?;
        known.beat.stage = Stage::Left;
        known.beat.seq += 1;
        known.heard = now;
        Some(known.beat.clone())
    }

    /// Tells whether a later incarnation of another name holds the beat's address.
    fn is_displaced(&self, beat: &Beat) -> bool {
        self.known.values().any(|known| {
            known.beat.address == beat.address
                && known.beat.backend != beat.backend
                && known.beat.born > beat.born
                && known.beat.stage != Stage::Left
        })
    }

    /// Forgets what was heard long ago.
    pub fn forget(&mut self, now: Timestamp) {
        self.known
            .retain(|_, known| now.saturating_sub(known.heard) < REMEMBERED);
    }

    /// The backend servers that take requests of a service, and how long ago each was heard. Of
    /// several with one address, only the one that began last.
    pub fn ready<'a>(
        &'a self,
        now: Timestamp,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a Known, Duration)> {
        self.known
            .values()
            .filter(move |known| known.beat.service.as_ref() == service)
            .filter(|known| known.beat.stage == Stage::Ready && !self.is_displaced(&known.beat))
            .map(move |known| (known, now.saturating_sub(known.heard)))
    }

    /// Everything known, the silent and the gone included.
    pub fn iter(&self) -> impl Iterator<Item = &Known> {
        self.known.values()
    }

    /// What is known of one backend server.
    #[must_use]
    pub fn get(&self, backend: &str) -> Option<&Known> {
        self.known.get(backend)
    }
}
