//! The choice of a backend server by an entry that reaches them directly.
//!
//! Several entries choose without talking to each other. What they know in common is hashed: the
//! programs that an entry has not seen yet go where every other entry would send them, so that
//! a program finds its prefix cached whichever entry its turns come through.

use std::{sync::Arc, time::Duration};

use celerycove_types::{Map, Timestamp, id};
use serde::{Deserialize, Serialize};

use crate::prefix::{Part, Record};

/// How long one token takes to read that is not cached, as measured on an idle engine of the
/// deployments in `etc/`.
const PREFILL: Duration = Duration::from_micros(33);
/// What one running request costs those beside it, by slower steps and chunks read in between.
const BESIDE: Duration = Duration::from_millis(3);
/// What one waiting request costs those behind it: about the time until a slot is free.
const WAITING: Duration = Duration::from_millis(60);
/// What a data centre away costs a plain call: the way there and back.
const DISTANCE: Duration = Duration::from_millis(4);
/// What a data centre away costs a prompt: the way, and bytes between data centres, which cost users more
/// than a step or two of an engine. Half the time in which a prompt of a thousand tokens is read, so that a
/// cached history is still worth the way.
const FAR_PROMPT: Duration = Duration::from_millis(16);
/// After this age a load told by an answer no longer counts.
const LOAD_LASTS: Duration = Duration::from_secs(1);
/// How long a backend server is avoided after its first failure; each further one doubles it.
const EJECTION: Duration = Duration::from_millis(500);
/// The longest that a backend server is avoided before it is tried again.
const LONGEST_EJECTION: Duration = Duration::from_secs(4);
/// How much of the count of errors is left after another answer: about five answers count.
const FADING: f64 = 0.8;
/// A backend server with so many errors of late is avoided: two in a row, or two of any five. A tool that
/// fails one call in a hundred stays far below.
const ERRORS: f64 = 1.4;
/// After this silence a backend server is used only if nothing else is left.
const SILENCE: Duration = Duration::from_secs(5);
/// Tokens that an engine caches where its configuration does not say.
const CACHE: id::Tokens = 100_000;

/// What the registry and the configuration say of one backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Facts {
    /// Its name.
    pub backend: id::Backend,
    /// Tells its lives apart.
    pub born: id::Incarnation,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Where it stands.
    pub data_centre: id::DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// When it was last heard, by a heartbeat.
    pub heard: Timestamp,
    /// Until when it is cold.
    pub cold_until: Timestamp,
    /// Requests a second that this entry may send while it is cold.
    pub cold_rate: f64,
    /// Tokens that its prefix cache holds.
    pub cache: Option<id::Tokens>,
}

/// Requests at a backend server, told by its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
}

/// How a request ended, for judging the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It answered.
    Answered,
    /// It answered that it failed, which single requests may be to blame for.
    Erred,
    /// It declined before running the request.
    Declined,
    /// It could not be reached, broke off, or sent what is no answer.
    Failed,
    /// The caller left or ran out of time, which says nothing.
    Abandoned,
}

/// How a backend server did at one entry for a while, told to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that it answered.
    pub answered: u32,
    /// Requests that it failed or broke off.
    pub failed: u32,
}

/// A tally and whose it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The service.
    pub service: Arc<str>,
    /// The backend server.
    pub backend: id::Backend,
    /// Its incarnation.
    pub born: id::Incarnation,
    /// How it did.
    pub tally: Tally,
}

#[derive(Debug, Clone)]
struct Server {
    facts: Facts,
    own: u32,
    load: Option<(Load, Timestamp)>,
    since_load: u32,
    failures: u32,
    /// Errors of late, each answer counting [`FADING`] of the one after it.
    errors: f64,
    ejected_until: Timestamp,
    answered: Timestamp,
    cold_level: f64,
    cold_at: Timestamp,
    record: Record,
    /// How it did since others were last told.
    tally: Tally,
}

/// What a request needs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Need<'a> {
    /// Requests with the same value go to the same place where nothing else tells.
    pub affinity: u64,
    /// The parts of the prompt, none for plain services.
    pub prompt: &'a [Part],
    /// Backend servers that had this request already.
    pub avoid: &'a [id::Backend],
}

/// A choice and what decided it.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The backend server.
    pub backend: id::Backend,
    /// Its incarnation.
    pub born: id::Incarnation,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Tokens of the prompt that it probably caches.
    pub cached: id::Tokens,
    /// The expected delay before the first token, beyond an idle engine's.
    pub expected: Duration,
    /// How many could have been chosen.
    pub candidates: usize,
    /// Age of its last heartbeat.
    pub heard: Duration,
}

/// The backend servers of each service, as one entry sees them.
#[derive(Debug, Clone, Default)]
pub struct Servers {
    services: Map<Arc<str>, Vec<Server>>,
    data_centre: id::DataCentre,
}

impl Servers {
    /// Begins without any, for an entry in a data centre.
    #[must_use]
    pub fn new(data_centre: id::DataCentre) -> Self {
        Self {
            services: Map::default(),
            data_centre,
        }
    }

    /// Replaces the facts of a service; what was learned of those that stay is kept.
    pub fn update(&mut self, now: Timestamp, service: &Arc<str>, facts: Vec<Facts>) {
        let servers = self.services.entry(service.clone()).or_default();
        let mut known = std::mem::take(servers);
        for facts in facts {
            let same = |s: &Server| s.facts.backend == facts.backend && s.facts.born == facts.born;
            let server = match known.iter().position(same) {
                Some(at) => Server {
                    facts,
                    ..known.swap_remove(at)
                },
                None => Server::new(now, facts),
            };
            servers.push(server);
        }
        servers.sort_by(|a, b| a.facts.backend.cmp(&b.facts.backend));
    }

    /// Drops the services that are not named.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| keep(service));
    }

    /// Chooses a backend server; a cold one's allowance is spent with the choice.
    pub fn choose(&mut self, now: Timestamp, service: &str, need: &Need<'_>) -> Option<Choice> {
        let near = self.data_centre.clone();
        let servers = self.services.get_mut(service)?;
        let mut best: Option<(usize, (bool, Duration, u64))> = None;
        let mut candidates = 0;
        for (at, server) in servers.iter_mut().enumerate() {
            if need.avoid.contains(&server.facts.backend) || !server.may_take(now) {
                continue;
            }
            candidates += 1;
            let doubtful = server.is_doubtful(now);
            let rank = u64::MAX - weight(need.affinity, &server.facts.backend);
            let score = (doubtful, server.expected(now, need, &near), rank);
            if best.as_ref().is_none_or(|(_, other)| score < *other) {
                best = Some((at, score));
            }
        }
        let (at, (_, expected, _)) = best?;
        let server = &mut servers[at];
        server.begin(now);
        let cached = server.record.cached(need.prompt);
        let capacity = server.facts.cache.unwrap_or(CACHE);
        server.record.note(need.prompt, capacity);
        Some(Choice {
            backend: server.facts.backend.clone(),
            born: server.facts.born,
            address: server.facts.address,
            cached,
            expected,
            candidates,
            heard: now.saturating_sub(server.facts.heard),
        })
    }

    /// Notes how a chosen backend server did.
    pub fn end(
        &mut self,
        now: Timestamp,
        service: &str,
        backend: &str,
        ending: Ending,
        load: Option<Load>,
    ) {
        if let Some(server) = self.find(service, backend) {
            server.own = server.own.saturating_sub(1);
            server.since_load = server.since_load.saturating_sub(1);
            server.judge(now, ending);
            if let Some(load) = load {
                server.load = Some((load, now));
                server.since_load = 0;
            }
        }
    }

    /// Notes the load that an answer told when it began.
    pub fn tell(&mut self, now: Timestamp, service: &str, backend: &str, load: Load) {
        if let Some(server) = self.find(service, backend) {
            server.load = Some((load, now));
            server.since_load = 0;
            server.answered = now;
        }
    }

    /// How backend servers did since this was last asked, of those that failed requests.
    pub fn evidence(&mut self) -> Vec<Evidence> {
        let services = self.services.iter_mut();
        let servers = services
            .flat_map(|(service, servers)| servers.iter_mut().map(move |server| (service, server)));
        servers
            .map(|(service, server)| (service, std::mem::take(&mut server.tally), server))
            .filter(|(_, tally, _)| tally.failed > 0)
            .map(|(service, tally, server)| Evidence {
                service: service.clone(),
                backend: server.facts.backend.clone(),
                born: server.facts.born,
                tally,
            })
            .collect()
    }

    /// Takes what another entry of the same data centre saw.
    pub fn hear(&mut self, now: Timestamp, evidence: &Evidence) {
        let server = self.find(&evidence.service, &evidence.backend);
        if let Some(server) = server.filter(|server| server.facts.born == evidence.born) {
            server.weigh(now, evidence.tally);
        }
    }

    /// How many backend servers a service has.
    #[must_use]
    pub fn count(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, Vec::len)
    }

    fn find(&mut self, service: &str, backend: &str) -> Option<&mut Server> {
        let servers = self.services.get_mut(service)?;
        let mut servers = servers.iter_mut();
        servers.find(|server| server.facts.backend.as_ref() == backend)
    }
}

impl Server {
    fn new(now: Timestamp, facts: Facts) -> Self {
        Self {
            facts,
            own: 0,
            load: None,
            since_load: 0,
            failures: 0,
            errors: 0.0,
            ejected_until: Timestamp::ZERO,
            answered: Timestamp::ZERO,
            cold_level: 1.0,
            cold_at: now,
            record: Record::default(),
            tally: Tally::default(),
        }
    }

    /// Whether its cold-start allowance lets another request through.
    fn may_take(&mut self, now: Timestamp) -> bool {
        if now >= self.facts.cold_until {
            return true;
        }
        let elapsed = now.saturating_sub(self.cold_at).as_secs_f64();
        self.cold_at = now;
        self.cold_level = (self.cold_level + elapsed * self.facts.cold_rate).min(1.0);
        self.cold_level >= 1.0
    }

    /// Whether it failed lately or has been silent for long.
    fn is_doubtful(&self, now: Timestamp) -> bool {
        let seen = self.facts.heard.max(self.answered);
        now < self.ejected_until || now.saturating_sub(seen) >= SILENCE
    }

    fn begin(&mut self, now: Timestamp) {
        if now < self.facts.cold_until {
            self.cold_level -= 1.0;
        }
        self.own += 1;
        self.since_load += 1;
    }

    /// Counts what another entry saw as if it had been seen here, errors and answers evenly mixed. It
    /// never readmits a backend server that fails here.
    fn weigh(&mut self, now: Timestamp, tally: Tally) {
        let count = i32::try_from(tally.answered + tally.failed).unwrap_or(i32::MAX);
        let fresh = f64::from(tally.failed) / f64::from(count.max(1));
        // The weights of so many outcomes in a row, the last one counting one.
        let weights = (1.0 - FADING.powi(count)) / (1.0 - FADING);
        self.errors = self.errors * FADING.powi(count) + fresh * weights;
        if self.errors >= ERRORS && now >= self.ejected_until {
            self.eject(now);
        }
    }

    fn judge(&mut self, now: Timestamp, ending: Ending) {
        match ending {
            Ending::Answered => self.tally.answered += 1,
            Ending::Erred | Ending::Failed => self.tally.failed += 1,
            Ending::Declined | Ending::Abandoned => {}
        }
        match ending {
            Ending::Answered => {
                self.errors *= FADING;
                if self.errors < ERRORS / 2.0 {
                    self.failures = 0;
                }
                self.answered = now;
            }
            Ending::Erred => {
                self.errors = self.errors * FADING + 1.0;
                self.answered = now;
                if self.errors >= ERRORS {
                    self.eject(now);
                }
            }
            Ending::Failed => self.eject(now),
            Ending::Declined | Ending::Abandoned => {}
        }
    }

    fn eject(&mut self, now: Timestamp) {
        let doubled = EJECTION * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.ejected_until = now + doubled.min(LONGEST_EJECTION);
    }

    /// Requests running and waiting, by the latest answer and what was sent since.
    fn pressure(&self, now: Timestamp) -> (u32, u32) {
        let told = self
            .load
            .filter(|(_, at)| now.saturating_sub(*at) < LOAD_LASTS);
        let (running, waiting) = told.map_or((0, 0), |(load, _)| {
            (load.running + self.since_load, load.waiting)
        });
        let running = self.own.max(running);
        let over = running.saturating_sub(self.facts.slots);
        (running.min(self.facts.slots), waiting + over)
    }

    fn expected(&self, now: Timestamp, need: &Need<'_>, near: &id::DataCentre) -> Duration {
        let (running, waiting) = self.pressure(now);
        let prompt: id::Tokens = need.prompt.iter().map(|part| part.tokens).sum();
        let missing = prompt.saturating_sub(self.record.cached(need.prompt));
        let read = PREFILL * u32::try_from(missing).unwrap_or(u32::MAX);
        let beside = if need.prompt.is_empty() {
            // A plain server works on each request alone: only a full one delays.
            BESIDE * running * 2 / self.facts.slots.max(1)
        } else {
            BESIDE * running
        };
        let way = if self.facts.data_centre == *near {
            Duration::ZERO
        } else if need.prompt.is_empty() {
            DISTANCE
        } else {
            FAR_PROMPT
        };
        read + beside + WAITING * waiting + way
    }
}

/// A backend server's weight for an affinity: each entry computes the same.
fn weight(affinity: u64, backend: &str) -> u64 {
    let mut hash = affinity ^ 0x9E37_79B9_7F4A_7C15;
    for byte in backend.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3);
    }
    hash ^= hash >> 29;
    hash = hash.wrapping_mul(0xBF58_476D_1CE4_E5B9);
    hash ^ (hash >> 32)
}

/// Hashes a name to an affinity, equal in every process.
#[must_use]
pub fn affinity(name: &str) -> u64 {
    weight(0, name)
}
