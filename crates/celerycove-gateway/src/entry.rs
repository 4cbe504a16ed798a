//! An entry: takes requests from callers and has backend servers answer them.

pub(crate) mod allowance;
mod chains;
mod events;
mod exchange;
mod hop;
mod pool;
mod recent;
mod refuse;
mod relay;
mod serve;
mod turns;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use celerycove_fleet::{Fleet, Index, registry::Known};
use celerycove_route::direct::{Facts, Servers};
use celerycove_types::{Timestamp, id};
use hyper::{Request, Response, StatusCode, body::Incoming};
use tokio::sync::watch;

use crate::{
    Dialect, Error, Setup, clock,
    http::{self, Body},
    link::{self, Handler, Links, Sender, lock},
    message::{Frame, News, Peer},
    metrics::Metrics,
    setup::Role,
    spread::Picture,
};

pub use refuse::Refusal;

/// How long an entry that is to stop goes on serving, so that whoever sends callers here notices:
/// it asks once a second and believes the second answer.
const NOTICE: Duration = Duration::from_millis(2_600);
/// How often failures of backend servers are told: several times within the shortest avoidance.
const EVIDENCE: Duration = Duration::from_millis(150);
/// What is left of the grace period when the process ends at the latest.
const SPARE: Duration = Duration::from_millis(700);

/// An entry.
pub struct Entry {
    setup: Setup,
    dialect: Arc<dyn Dialect>,
    links: Arc<Links>,
    picture: Picture,
    index: ArcSwapOption<Index>,
    servers: Mutex<Servers>,
    allowances: Arc<allowance::Allowances>,
    pool: Arc<pool::Pool>,
    turns: Arc<turns::Turns>,
    metrics: Arc<Metrics>,
    leaving: AtomicBool,
    /// Programs of which a request has been let in here.
    under_way: Mutex<recent::Recent>,
}

/// A running entry.
pub struct Running {
    entry: Arc<Entry>,
    stop: watch::Sender<bool>,
    served: tokio::task::JoinHandle<()>,
}

/// Starts an entry.
///
/// # Errors
///
/// Returns an error if the settings lack something or a listener can't be opened.
pub async fn start(
    setup: Setup,
    dialect: Arc<dyn Dialect>,
    metrics: Arc<Metrics>,
) -> Result<Running, Error> {
    let callers = setup
        .listen
        .callers
        .ok_or(Error::Missing("address for callers"))?;
    let me = setup.process();
    let links = Links::new(Peer {
        process: me.clone(),
        role: Role::Entry,
        instance: setup.instance.clone(),
        data_centre: setup.data_centre.clone(),
        keeps: false,
        founder: false,
    });
    let entry = Arc::new(Entry {
        dialect,
        picture: Picture::default(),
        index: ArcSwapOption::empty(),
        servers: Mutex::new(Servers::new(setup.data_centre.clone())),
        allowances: Arc::default(),
        pool: Arc::default(),
        turns: turns::Turns::start(links.clone(), metrics.clone()),
        links: links.clone(),
        metrics,
        leaving: AtomicBool::new(false),
        under_way: Mutex::default(),
        setup,
    });
    links.handle(entry.clone());
    let internal = entry.setup.internal_address()?;
    link::listen(internal, entry.clone()).await?;
    entry.connect(entry.setup.seed_processes());
    let (stop, stopped) = watch::channel(false);
    if let Some(ready) = entry.setup.listen.ready {
        let listener = http::bind(ready)?;
        let service = Arc::new(Readiness(entry.clone()));
        let (keep, never) = watch::channel(false);
        tokio::spawn(async move {
            http::serve(listener, service, never).await;
            drop(keep);
        });
    }
    let listener = http::bind(callers)?;
    let served = tokio::spawn(http::serve(listener, entry.clone(), stopped));
    let borrowing = entry.clone();
    tokio::spawn(async move { borrowing.borrow().await });
    let telling = entry.clone();
    tokio::spawn(async move { telling.tell_evidence().await });
    Ok(Running {
        entry,
        stop,
        served,
    })
}

impl Running {
    /// Stops: tells that it is not ready, serves on for a while, finishes what is open and returns.
    pub async fn leave(self) {
        self.entry.leaving.store(true, Relaxed);
        let grace = self.entry.setup.bounds.grace.saturating_sub(SPARE);
        let notice = NOTICE.min(grace / 2);
        tokio::time::sleep(notice).await;
        // The receiver is gone only if serving has ended already.
        let _ = self.stop.send(true);
        if tokio::time::timeout(grace.saturating_sub(notice), self.served)
            .await
            .is_err()
        {
            log::warn!(target: "run", "requests are still open at the end of the grace period");
        }
        self.entry.turns.flush(SPARE / 2).await;
    }

    /// Opens connections to control instances that the settings name now.
    pub fn reload(&self, setup: &Setup) {
        self.entry.connect(setup.seed_processes());
    }
}

impl Entry {
    fn connect(&self, controls: Vec<id::Process>) {
        for control in controls {
            self.links.open(&control);
        }
    }

    fn take_news(&self, news: News) {
        let tells_servers = !news.beats.is_empty();
        let tells_peers = news.peers.is_some();
        let changes = self.picture.take(news);
        if changes.view
            && let Some(view) = self.picture.view()
        {
            let index = Index::new(view.fleet.config.clone());
            self.allowances
                .entitle(&view.fleet.config, view.fleet.entries.len());
            self.index.store(Some(Arc::new(index)));
        }
        if changes.view || tells_servers {
            self.update_servers();
        }
        if tells_peers {
            let controls = self.picture.peers(Role::Control).into_iter();
            self.connect(controls.map(|seen| seen.peer.process).collect());
            let stores = self.picture.peers(Role::Store).into_iter();
            let stores = stores.map(|seen| seen.peer.process).collect();
            self.turns.know(stores);
        }
    }

    /// Brings the candidates of each service up to date with registry and configuration.
    fn update_servers(&self) {
        let Some(view) = self.picture.view() else {
            return;
        };
        let now = clock::now();
        let registry = self.picture.registry();
        let mut servers = lock(&self.servers);
        for service in &view.fleet.config.services {
            let facts = registry
                .ready(now, &service.name)
                .filter(|(known, _)| !view.fleet.evacuated.contains(&known.beat.data_centre))
                .map(|(known, _)| self.facts(known, service, &view.fleet))
                .collect();
            servers.update(now, &service.name, facts);
        }
        let config = &view.fleet.config;
        servers.retain(|name| config.services.iter().any(|s| s.name.as_ref() == name));
    }

    fn facts(
        &self,
        known: &Known,
        service: &celerycove_fleet::config::Service,
        fleet: &Fleet,
    ) -> Facts {
        let beat = &known.beat;
        Facts {
            backend: beat.backend.clone(),
            born: beat.born,
            address: beat.address,
            data_centre: beat.data_centre.clone(),
            slots: beat.slots,
            heard: known.heard,
            cold_until: if service.cold_rate > 0.0 {
                known.heard + beat.cold
            } else {
                Timestamp::ZERO
            },
            cold_rate: self.cold_rate(service.cold_rate, &beat.data_centre, fleet),
            cache: service.cache_tokens,
        }
    }

    /// Tells other entries, through the leader, of backend servers that failed requests here.
    async fn tell_evidence(&self) {
        loop {
            tokio::time::sleep(EVIDENCE).await;
            let evidence = lock(&self.servers).evidence();
            let Some(leader) = self.picture.leader().filter(|_| !evidence.is_empty()) else {
                continue;
            };
            for told in &evidence {
                log::info!(target: "route", backend:% = told.backend, answered = told.tally.answered,
                    failed = told.tally.failed; "failures told to other entries");
            }
            self.links.send(&leader, &Frame::Evidence(evidence));
        }
    }

    /// This entry's part of what a cold backend server bears. Only the entries of its own data
    /// centre divide it among themselves, all entries where there are none.
    fn cold_rate(&self, whole: f64, data_centre: &id::DataCentre, fleet: &Fleet) -> f64 {
        let near = fleet.entries.values().filter(|at| *at == data_centre);
        let near = near.count();
        let (sharing, part) = if near > 0 {
            (near, self.setup.data_centre == *data_centre)
        } else {
            (fleet.entries.len().max(1), true)
        };
        let sharing = u32::try_from(sharing).unwrap_or(u32::MAX);
        if part {
            whole / f64::from(sharing)
        } else {
            0.0
        }
    }

    fn is_ready(&self) -> bool {
        self.index.load().is_some() && !self.leaving.load(Relaxed)
    }
}

/// The entry's side of its connections.
impl Handler for Entry {
    fn opened(&self, _peer: &id::Process, _hello: Option<&Peer>, _back: &Sender) {}

    fn take(&self, _peer: &id::Process, frame: Frame, back: &Sender) {
        match frame {
            Frame::News(news) => {
                let number = news.number;
                self.take_news(*news);
                back.send(&Frame::Heard(number));
            }
            Frame::Evidence(evidence) => {
                let now = clock::now();
                let mut servers = lock(&self.servers);
                for told in &evidence {
                    servers.hear(now, told);
                }
            }
            _ => {}
        }
    }

    fn closed(&self, _peer: &id::Process, _hello: Option<&Peer>, _connection: u64) {}
}

/// Tells whether the entry takes callers.
struct Readiness(Arc<Entry>);

impl http::Service for Readiness {
    async fn answer(self: Arc<Self>, _request: Request<Incoming>) -> Response<Body> {
        if self.0.is_ready() {
            http::text(StatusCode::OK, "ready")
        } else {
            http::text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}
