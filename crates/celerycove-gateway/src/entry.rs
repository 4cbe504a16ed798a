//! An entry instance: a proxy that forwards callers' requests to backend servers.

mod attempt;
mod chains;
mod crashes;
mod detour;
mod events;
mod exchange;
mod hedge;
mod hop;
mod intake;
mod open_end;
mod outage;
mod outbox;
mod pace;
mod pool;
pub(crate) mod rate_limit;
mod recent;
mod refuse;
mod relay;
mod response;
mod rollout;
mod serve;
mod silence;
mod socket;
mod startup;
mod stop;
mod turns;
mod urgency;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, OnceLock},
    time::Duration,
};

use arc_swap::ArcSwapOption;
use celerycove_fleet::{Fleet, Index, registry::Record};
use celerycove_log::limit::Limit;
use celerycove_quarantine::table::Origin;
use celerycove_route::direct::{Registration, Servers};
use celerycove_types::{Timestamp, id};
use hyper::{Request, Response, StatusCode, body::Incoming};
use tokio::sync::{Notify, watch};

use crate::{
    Dialect, Error, Setup,
    broadcast::FleetState,
    clock,
    http::{self, Body},
    link::{self, Connections, Handler, Sender, lock},
    memory::Account,
    message::{Frame, Peer, RelayedHeartbeat, Update},
    metrics::Metrics,
    setup::Role,
};

pub use refuse::Refusal;

/// How often the requests in flight are reported: several times while a request runs.
const DEMAND_INTERVAL: Duration = Duration::from_millis(200);
/// How often failures of backend servers are reported: several times within the shortest period for
/// which a failed one is avoided.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(150);
/// Lines a second about parts of the memory without room.
const NO_ROOM_LINES: u32 = 1;

/// State of an entry instance.
pub struct Entry {
    setup: Setup,
    dialect: Arc<dyn Dialect>,
    connections: Arc<Connections>,
    /// State of the fleet as reported by the control instances.
    fleet_state: FleetState,
    /// The configuration in force, `None` until one is known.
    index: ArcSwapOption<Index>,
    servers: Mutex<Servers>,
    rate_limiter: Arc<rate_limit::RateLimiter>,
    pool: Arc<pool::Pool>,
    turns: Arc<turns::Client>,
    metrics: Arc<Metrics>,
    crashes: crashes::Crashes,
    startup: startup::Startup,
    rollouts: rollout::Rollouts,
    /// Holds back first turns while a service is overloaded.
    intakes: Arc<intake::Intakes>,
    hedging: hedge::State,
    /// Set once the entry is asked to stop.
    stop: OnceLock<stop::Plan>,
    /// Notified shortly before the process ends: requests that are still open get an answer then.
    grace_ended: Notify,
    /// Programs of which this entry has admitted a request recently.
    recent_programs: Mutex<recent::Programs>,
    /// Limits the lines about parts of the memory without room.
    no_room_lines: Mutex<Limit>,
}

/// A running entry.
pub struct Running {
    entry: Arc<Entry>,
    stop: watch::Sender<bool>,
    server_task: tokio::task::JoinHandle<()>,
}

/// Starts an entry.
///
/// # Errors
///
/// Returns an error if a required setting is missing or a listener can't be opened.
pub async fn start(
    setup: Setup,
    dialect: Arc<dyn Dialect>,
    metrics: Arc<Metrics>,
    account: Arc<Account>,
) -> Result<Running, Error> {
    let callers = setup
        .listen
        .callers
        .ok_or(Error::Missing("address for callers"))?;
    let process = setup.process();
    let local_peer = Peer {
        process: process.clone(),
        role: Role::Entry,
        instance: setup.instance.clone(),
        data_centre: setup.data_centre.clone(),
        has_disk: false,
        may_bootstrap: false,
        has_empty_disk: false,
    };
    let connections = Connections::new(local_peer, account.clone());
    let entry = Arc::new(Entry {
        dialect,
        fleet_state: FleetState::default(),
        index: ArcSwapOption::empty(),
        servers: Mutex::new(Servers::new(setup.data_centre.clone())),
        rate_limiter: Arc::default(),
        pool: Arc::default(),
        turns: turns::Client::start(connections.clone(), metrics.clone()),
        connections: connections.clone(),
        intakes: intake::Intakes::start(metrics.clone()),
        hedging: hedge::State::new(setup.max_extra_share),
        metrics,
        crashes: crashes::Crashes::default(),
        startup: startup::Startup::new(clock::now()),
        rollouts: rollout::Rollouts::default(),
        stop: OnceLock::new(),
        grace_ended: Notify::new(),
        recent_programs: Mutex::default(),
        no_room_lines: Mutex::new(Limit::new(NO_ROOM_LINES)),
        setup,
    });
    connections.set_handler(entry.clone());
    let internal = entry.setup.internal_address()?;
    link::listen(internal, entry.clone(), account).await?;
    entry.connect(entry.setup.seed_processes());
    let (stop, stopped) = watch::channel(false);
    if let Some(ready) = entry.setup.listen.ready {
        let listener = http::bind(ready)?;
        let service = Arc::new(Readiness(entry.clone()));
        let (stop_sender, stop_receiver) = watch::channel(false);
        tokio::spawn(async move {
            http::serve(listener, service, stop_receiver).await;
            drop(stop_sender);
        });
    }
    let listener = http::bind(callers)?;
    let server_task = tokio::spawn(http::serve(listener, entry.clone(), stopped));
    let leasing = entry.clone();
    tokio::spawn(async move { leasing.maintain_leases().await });
    let reporting = entry.clone();
    tokio::spawn(async move { reporting.send_reports().await });
    let counting = entry.clone();
    tokio::spawn(async move { counting.send_demand().await });
    let rollouts = entry.clone();
    tokio::spawn(async move { rollouts.send_rollout_reports().await });
    let crashes = entry.clone();
    tokio::spawn(async move { crashes.maintain_crashes().await });
    Ok(Running {
        entry,
        stop,
        server_task,
    })
}

impl Running {
    /// Stops the entry: reports that it is not ready, accepts requests for a while longer, and
    /// finishes open requests within the grace period. What can't end in time is refused, or answered
    /// shortly before the process ends.
    pub async fn shut_down(mut self) {
        let grace_period = self.entry.setup.bounds.grace_period;
        let plan = stop::Plan::new(clock::now(), grace_period);
        let plan = self.entry.stop.get_or_init(|| plan);
        self.entry.intakes.stop();
        tokio::time::sleep(plan.until_late(clock::now())).await;
        // The receiver is gone only if the server has already ended.
        let _ = self.stop.send(true);
        let is_over = tokio::time::timeout(plan.until_answers(clock::now()), &mut self.server_task);
        if is_over.await.is_err() {
            log::warn!(target: "run", "requests are still open at the end of the grace period");
            self.entry.grace_ended.notify_waiters();
            let left = plan.until_end(clock::now());
            if tokio::time::timeout(left, self.server_task).await.is_err() {
                log::warn!(target: "run", "some requests could not be answered in time");
            }
        }
        self.entry.turns.flush(stop::EXIT_MARGIN / 2).await;
    }

    /// Opens connections to the control instances in the new settings, and applies the new limit on extra
    /// attempts.
    pub fn reload(&self, setup: &Setup) {
        let max_share = setup.max_extra_share.unwrap_or(0.0);
        lock(&self.entry.hedging.hedges).set_max_share(max_share);
        self.entry.connect(setup.seed_processes());
    }
}

impl Entry {
    fn connect(&self, controls: Vec<id::Process>) {
        for control in controls {
            self.connections.open(&control);
        }
    }

    /// Applies an update and returns whether to request the whole state from its sender.
    fn apply_update(&self, update: Update) -> bool {
        let has_peers = update.peers.is_some();
        let changes = self.fleet_state.merge(update);
        if changes.view
            && let Some(view) = self.fleet_state.view()
        {
            self.rollouts
                .follow(clock::now(), &view.fleet, &self.metrics);
            let config = &view.fleet.config;
            self.rate_limiter
                .configure(config, view.fleet.entries.len());
            let indexed = self.index.load();
            if !indexed
                .as_ref()
                .is_some_and(|index| Arc::ptr_eq(index.config(), config))
            {
                self.index.store(Some(Arc::new(Index::new(config.clone()))));
                self.startup.set_configured();
                self.intakes.configure(config);
            }
        }
        if changes.view || !changes.beats.is_empty() {
            self.update_servers();
        }
        self.refresh_servers(&changes.refreshed);
        if has_peers || changes.view {
            let controls = self.fleet_state.peers(Role::Control).into_iter();
            self.connect(controls.map(|status| status.peer.process).collect());
            let stores = self.fleet_state.peers(Role::Store).into_iter();
            let stores = stores.map(|status| status.peer.process).collect();
            let view = self.fleet_state.view();
            let first_members = view.map(|view| view.fleet.founders.clone());
            self.turns
                .set_stores(stores, &first_members.unwrap_or_default());
        }
        changes.request_view
    }

    /// Updates the backend servers of each service from the registry and the configuration.
    fn update_servers(&self) {
        let Some(view) = self.fleet_state.view() else {
            return;
        };
        let now = clock::now();
        let registry = self.fleet_state.registry();
        let mut servers = lock(&self.servers);
        let entries = EntryCounts::new(&view.fleet);
        for service in &view.fleet.config.services {
            let registrations = registry
                .ready(now, &service.name)
                .filter(|(known, _)| !view.fleet.evacuated.contains(&known.heartbeat.data_centre))
                .map(|(known, _)| self.registration(known, service, &entries))
                .collect();
            servers.update(now, &service.name, registrations);
        }
        let config = &view.fleet.config;
        let is_known = |name: &str| config.services.iter().any(|s| s.name.as_ref() == name);
        servers.retain(is_known);
        lock(&self.hedging.hedges).retain(is_known);
    }

    /// Records heartbeats that changed nothing else.
    fn refresh_servers(&self, heartbeats: &[RelayedHeartbeat]) {
        let now = clock::now();
        let mut servers = lock(&self.servers);
        for RelayedHeartbeat { beat, age } in heartbeats {
            let sent_at = now.saturating_sub(*age);
            let cold_until = sent_at + beat.cold_remaining;
            servers.record_heartbeat(
                &beat.service,
                &beat.backend,
                beat.started_at_ms,
                sent_at,
                cold_until,
            );
        }
    }

    fn registration(
        &self,
        known: &Record,
        service: &celerycove_fleet::config::Service,
        entries: &EntryCounts<'_>,
    ) -> Registration {
        let heartbeat = &known.heartbeat;
        Registration {
            backend: heartbeat.backend.clone(),
            incarnation: heartbeat.started_at_ms,
            address: heartbeat.address,
            data_centre: heartbeat.data_centre.clone(),
            slots: heartbeat.slots,
            last_heartbeat: known.sent_at,
            cold_until: if service.cold_rate > 0.0 {
                known.sent_at + heartbeat.cold_remaining
            } else {
                Timestamp::ZERO
            },
            cold_rate: self.cold_rate(service.cold_rate, &heartbeat.data_centre, entries),
            cache_tokens: service.cache_tokens,
            version: heartbeat.version.clone(),
        }
    }

    /// Reports backend servers that failed requests to the other entries, by way of the control
    /// leader.
    async fn send_reports(&self) {
        loop {
            tokio::time::sleep(EVIDENCE_INTERVAL).await;
            let reports = lock(&self.servers).take_reports();
            let Some(leader) = self.fleet_state.leader().filter(|_| !reports.is_empty()) else {
                continue;
            };
            for report in &reports {
                log::info!(target: "route", backend:% = report.backend, answered = report.tally.answered,
                    failed = report.tally.failed; "reported backend server failures to other entries");
            }
            self.connections.send(&leader, &Frame::Evidence(reports));
        }
    }

    /// Reports the requests in flight to the control instances of this data centre.
    async fn send_demand(&self) {
        let mut intervals = tokio::time::interval(DEMAND_INTERVAL);
        intervals.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut was_busy = false;
        loop {
            intervals.tick().await;
            let counts = lock(&self.servers).take_demand();
            let is_busy = !counts.is_empty();
            // An entry without requests reports that once.
            if std::mem::replace(&mut was_busy, is_busy) || is_busy {
                let frame = Frame::Demand(counts);
                for control in self.fleet_state.peers(Role::Control) {
                    if control.peer.data_centre == self.setup.data_centre {
                        self.connections.send(&control.peer.process, &frame);
                    }
                }
            }
        }
    }

    /// Returns this entry's share of the request rate that a cold backend server accepts. Only the
    /// entries in the backend server's data centre share the rate; if there are none, all entries
    /// do.
    fn cold_rate(
        &self,
        total_rate: f64,
        data_centre: &id::DataCentre,
        entries: &EntryCounts<'_>,
    ) -> f64 {
        let (sharers, takes_share) = match entries.by_data_centre.get(data_centre) {
            Some(local) => (*local, self.setup.data_centre == *data_centre),
            None => (entries.total.max(1), true),
        };
        if takes_share {
            total_rate / f64::from(sharers)
        } else {
            0.0
        }
    }

    fn is_ready(&self) -> bool {
        self.index.load().is_some() && self.stop.get().is_none()
    }
}

/// How many entries there are.
struct EntryCounts<'a> {
    total: u32,
    by_data_centre: BTreeMap<&'a id::DataCentre, u32>,
}

impl<'a> EntryCounts<'a> {
    fn new(fleet: &'a Fleet) -> Self {
        let mut by_data_centre = BTreeMap::new();
        for data_centre in fleet.entries.values() {
            *by_data_centre.entry(data_centre).or_default() += 1;
        }
        Self {
            total: by_data_centre.values().sum(),
            by_data_centre,
        }
    }
}

/// Handles messages from control instances.
impl Handler for Entry {
    fn opened(&self, _peer: &id::Process, _hello: Option<&Peer>, sender: &Sender) {
        // A control instance that was started again knows nothing; stores ignore it.
        self.send_known_crashes(sender);
    }

    fn receive(&self, _peer: &id::Process, frame: Frame, sender: &Sender) {
        match frame {
            Frame::Update(update) => {
                let (number, index) = (update.sequence, update.index);
                if self.apply_update(*update) {
                    sender.send(&Frame::RequestView);
                }
                self.rollouts.acknowledge(index, number, sender);
                self.acknowledge_due();
            }
            Frame::Evidence(reports) => {
                let now = clock::now();
                let mut servers = lock(&self.servers);
                for report in &reports {
                    servers.merge_report(now, report);
                }
            }
            Frame::Crashes(evidence) => self.merge_crashes(*evidence, Origin::Told),
            Frame::TotalDemand(data_centre, total) => {
                lock(&self.servers).merge_demand(clock::now(), data_centre, total);
            }
            Frame::RolloutLeases(term, leases) => {
                self.rollouts.accept(clock::now(), term, &leases);
            }
            _ => {}
        }
    }

    fn closed(&self, _peer: &id::Process, _hello: Option<&Peer>, _connection: u64) {}
}

/// HTTP service that reports whether the entry accepts requests.
struct Readiness(Arc<Entry>);

impl http::Service for Readiness {
    async fn handle(self: Arc<Self>, _request: Request<Incoming>) -> Response<Body> {
        if self.0.is_ready() {
            http::text_response(StatusCode::OK, "ready")
        } else {
            http::text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}
