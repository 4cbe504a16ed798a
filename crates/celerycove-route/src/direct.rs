//! Selects a backend server at an entry that connects to backend servers directly.
//!
//! Entries select independently of each other. Rendezvous hashing of the program gives the order in
//! which every entry prefers backend servers, so that a program finds its prefix cached whichever
//! entry its turns come through. In a large pool, only the few first ones in that order are
//! considered: entries that all look for the least busy backend server would send it their requests
//! at once before they hear of each other's.

pub mod demand;
mod departure;
mod forecast;
mod order;
mod report;
mod room;
mod score;
mod shared;
mod speed;
mod spill;
mod versions;

use std::{sync::Arc, time::Duration};

use celerycove_types::{Map, Timestamp, id};

use self::{
    demand::{Counts, Demand},
    departure::Departures,
    forecast::Context,
    order::name_hash,
    room::Reserved,
    shared::SharedParts,
    speed::{Pace, Speeds},
    spill::Spill,
};
pub use self::{
    forecast::{Assessment, Candidate, Exclusion},
    report::{Report, Tally},
    score::Score,
    speed::Run,
    versions::Versions,
};
use crate::prefix::{Cache, Part};

/// How long a backend server is ejected after its first failure; doubles with each further failure.
const BASE_EJECTION: Duration = Duration::from_millis(500);
/// Maximum time that a backend server is ejected before it is tried again.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Factor by which each further response decays the error score, which thus covers about five
/// responses.
const ERROR_DECAY: f64 = 0.8;
/// Error score that ejects a backend server: two errors in a row, or two among any five responses.
/// A tool that fails one call in a hundred stays far below.
const EJECTION_SCORE: f64 = 1.4;
/// A backend server that has been silent for this long is used only if no other is left.
const MAX_SILENCE: Duration = Duration::from_secs(5);
/// Size of an engine's prefix cache where its configuration does not set one.
const DEFAULT_CACHE_TOKENS: id::Tokens = 100_000;

/// One backend server according to the registry and the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// Name of the backend server.
    pub backend: id::Backend,
    /// Incarnation of the process under this name.
    pub incarnation: id::Incarnation,
    /// Address on which it listens.
    pub address: std::net::SocketAddr,
    /// Data centre of the backend server.
    pub data_centre: id::DataCentre,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// When its last heartbeat arrived.
    pub last_heartbeat: Timestamp,
    /// When its cold start ends.
    pub cold_until: Timestamp,
    /// Requests per second that this entry may send during the cold start.
    pub cold_rate: f64,
    /// Size of its prefix cache in tokens, if known.
    pub cache_tokens: Option<id::Tokens>,
    /// Version of its software; empty if it names none.
    pub version: Arc<str>,
}

/// Load of a backend server as reported with its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests waiting for a slot.
    pub waiting: u32,
    /// How long a request takes at this moment, in percent of the usual time, if reported.
    pub slowdown: Option<u32>,
}

impl Load {
    /// The least slowdown that is used, in percent.
    pub const MIN_SLOWDOWN: u32 = 10;
    /// The largest slowdown that is used, in percent.
    pub const MAX_SLOWDOWN: u32 = 10_000;
}

/// Outcome of a request, for assessing the health of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Answered,
    /// The backend server responded with an error, which may be caused by the request itself.
    Erred,
    /// The backend server declined the request before running it.
    Declined,
    /// The backend server was unreachable, broke off or sent an invalid response.
    Failed,
    /// The caller disconnected or timed out, which says nothing about the backend server.
    Abandoned,
}

/// State of one backend server at this entry.
#[derive(Debug, Clone)]
struct Server {
    registration: Registration,
    /// Hash of its name, equal at every entry.
    name_hash: u64,
    /// Number of this entry's requests in flight.
    in_flight: u32,
    /// The last reported load and when it arrived.
    load: Option<(Load, Timestamp)>,
    /// Requests of this entry sent since `load` arrived, less those ended since, at least zero.
    sent_since_load: u32,
    /// Ejections since a success last left the error score below half of [`EJECTION_SCORE`].
    ejections: u32,
    /// Sum over the past responses, errors counting one and others zero, each weighted by
    /// [`ERROR_DECAY`] to the power of its age in responses.
    error_score: f64,
    ejected_until: Timestamp,
    /// When the last response arrived.
    last_response_at: Timestamp,
    /// Requests that could be sent at `cold_refilled_at` during the cold start, at most one.
    cold_allowance: f64,
    /// When `cold_allowance` was last computed.
    cold_refilled_at: Timestamp,
    prefix_cache: Cache,
    /// Memory of this entry's requests in flight.
    reserved: Reserved,
    pace: Pace,
    /// Outcomes since they were last sent to the other entries.
    tally: Tally,
    /// Whether it has said that it leaves, so that it gets no requests any more.
    is_leaving: bool,
    /// Whether the other entries have been told that it leaves.
    is_departure_told: bool,
}

/// A request to place on a backend server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Request<'a> {
    /// Requests with the same value go to the same backend server if the scores are equal.
    pub affinity: u64,
    /// Parts of the prompt; empty for a plain service.
    pub prompt: &'a [Part],
    /// Backend servers to which this request was already sent.
    pub excluded: &'a [id::Backend],
    /// Versions that it may run on.
    pub versions: Versions<'a>,
}

/// A selected backend server.
#[derive(Debug, Clone)]
pub struct Selection {
    /// The backend server.
    pub backend: id::Backend,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// Address on which it listens.
    pub address: std::net::SocketAddr,
    /// Number of prompt tokens that it probably has cached.
    pub cached_tokens: id::Tokens,
    /// Expected delay until the first token, beyond that of an idle local engine with the prompt
    /// cached.
    pub expected_delay: Duration,
    /// Whether its slots or its memory are taken, as far as known.
    pub is_full: bool,
    /// Expected time until it begins to run the request.
    pub expected_wait: Duration,
    /// Number of backend servers that were eligible.
    pub candidates: usize,
    /// Age of its last heartbeat.
    pub heartbeat_age: Duration,
    /// Version of its software.
    pub version: Arc<str>,
}

/// The backend servers of each service, as seen by one entry.
#[derive(Debug, Clone, Default)]
pub struct Servers {
    services: Map<Arc<str>, Vec<Server>>,
    data_centre: id::DataCentre,
    /// Requests of other entries.
    demand: Demand,
    /// The shared parts of each service's prompts.
    shared_parts: Map<Arc<str>, SharedParts>,
    /// What the answers of each service have shown.
    speeds: Map<Arc<str>, Speeds>,
    /// The share of each service's calls that may go to another data centre.
    spills: Map<Arc<str>, Spill>,
    /// The backend servers that have said that they leave.
    departures: Departures,
}

impl Servers {
    /// Creates an empty set for an entry in the given data centre.
    #[must_use]
    pub fn new(data_centre: id::DataCentre) -> Self {
        Self {
            data_centre,
            ..Self::default()
        }
    }

    /// Replaces the backend servers of a service; the state of an incarnation that remains is kept.
    pub fn update(&mut self, now: Timestamp, service: &Arc<str>, registrations: Vec<Registration>) {
        let servers = self.services.entry(service.clone()).or_default();
        let key =
            |registration: &Registration| (registration.backend.clone(), registration.incarnation);
        let mut previous: Map<_, _> = std::mem::take(servers)
            .into_iter()
            .map(|server| (key(&server.registration), server))
            .collect();
        for registration in registrations {
            let is_leaving = self.departures.contains(&key(&registration));
            let mut server = match previous.remove(&key(&registration)) {
                Some(server) => Server {
                    registration,
                    ..server
                },
                None => Server::new(now, registration),
            };
            server.is_leaving |= is_leaving;
            servers.push(server);
        }
        servers.sort_by(|a, b| a.registration.backend.cmp(&b.registration.backend));
        let shared_parts = self.shared_parts.entry(service.clone()).or_default();
        shared_parts.reset_homes();
        self.speeds.entry(service.clone()).or_default();
        self.spills.entry(service.clone()).or_default();
    }

    /// Records a heartbeat of a registered incarnation that changed nothing else.
    pub fn record_heartbeat(
        &mut self,
        service: &str,
        backend: &str,
        incarnation: id::Incarnation,
        sent_at: Timestamp,
        cold_until: Timestamp,
    ) {
        let server = self.find(service, backend);
        if let Some(server) = server.filter(|s| s.registration.incarnation == incarnation) {
            let registration = &mut server.registration;
            registration.last_heartbeat = sent_at;
            // Without a cold start, or in a service without a limit on it, it stays as it is.
            if registration.cold_until > Timestamp::ZERO {
                registration.cold_until = cold_until;
            }
        }
    }

    /// Records that an incarnation of a backend server has said that it leaves: it gets no requests
    /// from now on, even if it is registered again. Returns whether that is new.
    pub fn record_departure(
        &mut self,
        now: Timestamp,
        backend: &id::Backend,
        incarnation: id::Incarnation,
    ) -> bool {
        let is_new = self.departures.insert(now, backend.clone(), incarnation);
        let servers = self.services.values_mut().flatten();
        let leaving = servers.filter(|server| {
            server.registration.backend == *backend
                && server.registration.incarnation == incarnation
        });
        leaving.for_each(|server| server.is_leaving = true);
        is_new
    }

    /// Removes the services for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| keep(service));
        self.shared_parts.retain(|service, _| keep(service));
        self.speeds.retain(|service, _| keep(service));
        self.spills.retain(|service, _| keep(service));
    }

    /// Selects a backend server and counts the request as sent to it, also against its cold-start
    /// limit.
    pub fn select(
        &mut self,
        now: Timestamp,
        service: &str,
        request: &Request<'_>,
    ) -> Option<Selection> {
        let servers = self.services.get_mut(service)?;
        let shared_parts = self.shared_parts.get_mut(service)?;
        let shared = shared_parts.observe(now, request.affinity, request.prompt, servers);
        let slots = servers.first()?.registration.slots;
        let speeds = self.speeds.get_mut(service)?;
        let answer = speeds.record_sent(request.prompt, shared.tokens);
        let spill = self.spills.get_mut(service)?;
        let mut context = Context {
            now,
            request,
            shared,
            demand: &self.demand,
            data_centre: &self.data_centre,
            costs: speeds.costs(slots),
            spill: *spill,
            is_home_full: false,
        };
        let (candidates, assessed) = context.assess(servers);
        if let Some(gain) = context.remote_gain(servers, &assessed) {
            spill.record(now, gain, context.costs.call);
            context.spill = *spill;
        }
        context.check_home(servers, &assessed);
        let best = assessed
            .iter()
            .min_by_key(|assessed| context.key(servers, assessed));
        let (index, _, assessment) = *best?;
        let expected_micros = assessment.score.total_micros();
        let server = &mut servers[index];
        server.record_dispatch(now);
        server.reserved.add(request.prompt, answer);
        let capacity = server
            .registration
            .cache_tokens
            .unwrap_or(DEFAULT_CACHE_TOKENS);
        server.prefix_cache.insert(request.prompt, capacity);
        Some(Selection {
            backend: server.registration.backend.clone(),
            incarnation: server.registration.incarnation,
            address: server.registration.address,
            cached_tokens: assessment.cached_tokens,
            expected_delay: Duration::from_micros(expected_micros.try_into().unwrap_or(0)),
            is_full: assessment.is_full,
            expected_wait: assessment.expected_wait,
            candidates,
            heartbeat_age: now.saturating_sub(server.registration.last_heartbeat),
            version: server.registration.version.clone(),
        })
    }

    /// Returns the backend servers of a service as a request would find them now, in the order in which
    /// it would go to them, and then those to which it would not. Counts nothing.
    #[must_use]
    pub fn forecast(&self, now: Timestamp, service: &str, request: &Request<'_>) -> Vec<Candidate> {
        let known = self.services.get(service).zip(self.speeds.get(service));
        let Some(((servers, speeds), parts)) = known.zip(self.shared_parts.get(service)) else {
            return Vec::new();
        };
        let homes = parts.peek(request.prompt, servers);
        let slots = servers.first().map_or(1, |first| first.registration.slots);
        let mut context = Context {
            now,
            request,
            shared: homes.shared(),
            demand: &self.demand,
            data_centre: &self.data_centre,
            costs: speeds.costs(slots),
            spill: self.spills.get(service).copied().unwrap_or_default(),
            is_home_full: false,
        };
        context.forecast(servers)
    }

    /// Records the outcome of a request to a selected backend server.
    pub fn record_outcome(
        &mut self,
        now: Timestamp,
        service: &str,
        backend: &str,
        outcome: Outcome,
        load: Option<Load>,
    ) {
        if let Some(server) = self.find(service, backend) {
            server.in_flight = server.in_flight.saturating_sub(1);
            server.reserved.remove();
            server.sent_since_load = server.sent_since_load.saturating_sub(1);
            server.record_outcome(now, outcome);
            if let Some(load) = load {
                server.load = Some((load, now));
                server.sent_since_load = 0;
            }
        }
        self.record_slowdown(now, service, load);
    }

    fn record_slowdown(&mut self, now: Timestamp, service: &str, load: Option<Load>) {
        let slowdown = load.and_then(|load| load.slowdown);
        if let Some(speeds) = self.speeds.get_mut(service) {
            speeds.record_slowdown(now, slowdown);
        }
    }

    /// Records the load that was reported at the start of a response.
    pub fn record_load(&mut self, now: Timestamp, service: &str, backend: &str, load: Load) {
        if let Some(server) = self.find(service, backend) {
            server.load = Some((load, now));
            server.sent_since_load = 0;
            server.last_response_at = now;
        }
        self.record_slowdown(now, service, Some(load));
    }

    /// Records how long a request took that was answered in full.
    pub fn record_run(&mut self, now: Timestamp, service: &str, backend: &str, run: &Run) {
        let Some(servers) = self.services.get_mut(service) else {
            return;
        };
        let Some(server) = find(servers, backend) else {
            return;
        };
        let slowdown = server.slowdown_within(now, run.total).unwrap_or(1.0);
        let slots = server.registration.slots;
        if let Some(speeds) = self.speeds.get_mut(service)
            && speeds.is_uneven(now)
        {
            speeds.record(now, &mut server.pace, run, slots, slowdown);
        }
    }

    /// Returns the requests in flight of this entry, to be reported to its data centre.
    pub fn take_demand(&mut self) -> Counts {
        let servers = self.services.values().flatten();
        let busy = servers.filter(|server| server.in_flight > 0);
        let counts = busy
            .map(|server| (server.registration.backend.clone(), server.in_flight))
            .collect();
        self.demand.set_reported(&counts);
        counts
    }

    /// Merges the sum of the requests in flight of a data centre's entries.
    pub fn merge_demand(&mut self, now: Timestamp, data_centre: id::DataCentre, total: Counts) {
        self.demand.merge(now, data_centre, total);
    }

    /// Returns the outcomes since the last call, for the backend servers that failed requests or have
    /// said meanwhile that they leave.
    pub fn take_reports(&mut self) -> Vec<Report> {
        let services = self.services.iter_mut();
        let servers = services
            .flat_map(|(service, servers)| servers.iter_mut().map(move |server| (service, server)));
        servers
            .filter_map(|(service, server)| {
                let tally = std::mem::take(&mut server.tally);
                let was_told = std::mem::replace(&mut server.is_departure_told, server.is_leaving);
                let is_news = tally.failed > 0 || (server.is_leaving && !was_told);
                is_news.then(|| Report {
                    service: service.clone(),
                    backend: server.registration.backend.clone(),
                    born: server.registration.incarnation,
                    tally,
                    is_leaving: server.is_leaving,
                })
            })
            .collect()
    }

    /// Merges what another entry of the same data centre has seen of a backend server.
    pub fn merge_report(&mut self, now: Timestamp, report: &Report) {
        if report.is_leaving {
            self.record_departure(now, &report.backend, report.born);
        }
        let server = self.find(&report.service, &report.backend);
        if let Some(server) = server.filter(|server| server.registration.incarnation == report.born)
        {
            server.merge_tally(now, report.tally);
        }
    }

    /// Returns the number of backend servers of a service.
    #[must_use]
    pub fn count(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, Vec::len)
    }

    fn find(&mut self, service: &str, backend: &str) -> Option<&mut Server> {
        find(self.services.get_mut(service)?, backend)
    }
}

fn find<'a>(servers: &'a mut [Server], backend: &str) -> Option<&'a mut Server> {
    let found =
        servers.binary_search_by(|server| server.registration.backend.as_ref().cmp(backend));
    found.ok().and_then(|index| servers.get_mut(index))
}

impl Server {
    fn new(now: Timestamp, registration: Registration) -> Self {
        Self {
            name_hash: name_hash(&registration.backend),
            registration,
            in_flight: 0,
            load: None,
            sent_since_load: 0,
            ejections: 0,
            error_score: 0.0,
            ejected_until: Timestamp::ZERO,
            last_response_at: Timestamp::ZERO,
            cold_allowance: 1.0,
            cold_refilled_at: now,
            prefix_cache: Cache::default(),
            reserved: Reserved::default(),
            pace: Pace::default(),
            tally: Tally::default(),
            is_leaving: false,
            is_departure_told: false,
        }
    }

    /// Returns how many requests its cold-start limit admits now.
    fn cold_allowance(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_sub(self.cold_refilled_at).as_secs_f64();
        (self.cold_allowance + elapsed * self.registration.cold_rate).min(1.0)
    }

    /// Returns whether it is ejected or has been silent for too long.
    fn is_suspect(&self, now: Timestamp) -> bool {
        let last_contact = self.registration.last_heartbeat.max(self.last_response_at);
        now < self.ejected_until || now.saturating_sub(last_contact) >= MAX_SILENCE
    }

    fn record_dispatch(&mut self, now: Timestamp) {
        if now < self.registration.cold_until {
            self.cold_allowance = self.cold_allowance(now) - 1.0;
            self.cold_refilled_at = now;
        }
        self.in_flight += 1;
        self.sent_since_load += 1;
    }

    /// Adds the outcomes of another entry to the error score, with errors and successes evenly
    /// interleaved. An ejection in progress is neither ended nor extended.
    fn merge_tally(&mut self, now: Timestamp, tally: Tally) {
        let count = i32::try_from(tally.answered + tally.failed).unwrap_or(i32::MAX);
        let failure_rate = f64::from(tally.failed) / f64::from(count.max(1));
        // Sum of the weights of `count` outcomes in a row, where the last one has weight one.
        let total_weight = (1.0 - ERROR_DECAY.powi(count)) / (1.0 - ERROR_DECAY);
        self.error_score = self.error_score * ERROR_DECAY.powi(count) + failure_rate * total_weight;
        if self.error_score >= EJECTION_SCORE && now >= self.ejected_until {
            self.eject(now);
        }
    }

    fn record_outcome(&mut self, now: Timestamp, outcome: Outcome) {
        match outcome {
            Outcome::Answered => self.tally.answered += 1,
            Outcome::Erred | Outcome::Failed => self.tally.failed += 1,
            Outcome::Declined | Outcome::Abandoned => {}
        }
        match outcome {
            Outcome::Answered => {
                self.error_score *= ERROR_DECAY;
                if self.error_score < EJECTION_SCORE / 2.0 {
                    self.ejections = 0;
                }
                self.last_response_at = now;
            }
            Outcome::Erred => {
                self.error_score = self.error_score * ERROR_DECAY + 1.0;
                self.last_response_at = now;
                if self.error_score >= EJECTION_SCORE {
                    self.eject(now);
                }
            }
            Outcome::Failed => self.eject(now),
            Outcome::Declined | Outcome::Abandoned => {}
        }
    }

    fn eject(&mut self, now: Timestamp) {
        let ejection = BASE_EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejections += 1;
        self.ejected_until = now + ejection.min(MAX_EJECTION);
    }

    /// Whether this entry sent it a prompt with the same history: the parts after the first one,
    /// which other programs may share.
    fn holds_history(&self, prompt: &[Part]) -> bool {
        prompt.len() > 1 && self.prefix_cache.cached_parts(prompt) > 1
    }
}

/// Hashes a name to an affinity, which is equal in every process.
#[must_use]
pub fn affinity_hash(name: &str) -> u64 {
    name_hash(name)
}
