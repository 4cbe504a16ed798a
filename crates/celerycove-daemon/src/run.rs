//! Puts a process together, runs it, and takes it apart gracefully.

use std::{sync::Arc, time::Duration};

use celerycove_settings::{Settings, schema::Kind};
use celerycove_standin::{Engine, Service, engine};
use celerycove_types::Timestamp;

use crate::{
    admin::Admin,
    control::{self, Control},
    entry::Entry,
    follow::{ANNOUNCE, Follow},
    home::Homes,
    http::{Limits, Server},
    internal::Internal,
    metrics::{self, Metrics},
    operator::Operators,
    peer::Peers,
    process::Process,
    secret,
    share::Share,
    sidecar::Sidecars,
};

/// How often a leaving process looks whether it may go.
const LOOK: Duration = Duration::from_millis(50);

/// Why a process could not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A secret can't be used.
    #[error(transparent)]
    Secret(#[from] secret::Error),
    /// A listener can't be opened.
    #[error("could not listen on {address}")]
    Listen {
        /// Where.
        address: std::net::SocketAddr,
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// The control log can't begin.
    #[error(transparent)]
    Control(#[from] control::Error),
    /// The saved shards can't be used.
    #[error(transparent)]
    Home(#[from] celerycove_disk::whole::WholeError),
    /// The metrics can't begin.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
    /// A method stands twice.
    #[error(transparent)]
    Methods(#[from] jsonrpsee::server::RegisterMethodError),
}

/// A process that runs.
pub struct Running {
    /// The process.
    pub process: Arc<Process>,
    share: Arc<Share>,
    homes: Option<Arc<Homes>>,
    sidecars: Arc<Sidecars>,
    follow: Arc<Follow>,
    entry: Option<Server>,
    internal: Server,
    others: Vec<Server>,
}

async fn open<H: crate::http::Handler>(
    address: std::net::SocketAddr,
    limits: Limits,
    handler: Arc<H>,
) -> Result<Server, Error> {
    Server::open(address, limits, handler)
        .await
        .map_err(|source| Error::Listen { address, source })
}

/// Starts everything that the settings name. `bootstrap` begins a new deployment.
///
/// # Errors
///
/// Returns an error if a secret, file or address can't be used.
pub async fn start(settings: Settings, bootstrap: bool) -> Result<Running, Error> {
    let alone = settings.control.is_some() && settings.process.control.len() == 1;
    let cluster = secret::cluster(&settings.process.cluster_secret_file, alone)?;
    start_standins(&settings).await?;
    let process = Arc::new(Process::new(settings, cluster, Metrics::new()?));
    let set = &process.settings.process;
    let share = Share::new(set.freshness.0, set.silence.0);
    let peers = Peers::new(process.clone(), share.clone());
    let sidecars = Sidecars::start(&process, &share);
    let surface = Internal::new(process.clone(), sidecars.clone());
    let internal = open(set.listen, Limits::default(), surface.clone()).await?;
    process.set_address(internal.address);
    let homes = match &process.settings.home {
        Some(_) => Some(Homes::start(&process, &share, &peers)?),
        None => None,
    };
    let control = match &process.settings.control {
        Some(_) => Some(Control::start(&process, &share, &peers, bootstrap)?),
        None => None,
    };
    let follow = Follow::start(
        process.clone(),
        share.clone(),
        peers.clone(),
        control.clone(),
        homes.clone(),
        sidecars.clone(),
    );
    surface.offer(control.clone(), homes.clone(), follow.clone())?;
    let mut others = Vec::new();
    if let (Some(setting), Some(control)) = (&process.settings.control, &control) {
        let credentials = secret::operators(&setting.operators_file, alone)?;
        let operators = Operators::new(
            credentials,
            process.clone(),
            share.clone(),
            control.clone(),
            peers.clone(),
        )?;
        others.push(open(setting.operator_listen, Limits::default(), operators).await?);
    }
    if let Some(address) = set.admin_listen {
        let admin = Arc::new(Admin {
            process: process.clone(),
            share: share.clone(),
        });
        others.push(open(address, Limits::default(), admin).await?);
    }
    let entry = match process.settings.entry.clone() {
        Some(setting) => {
            let limits = Limits {
                head: setting.max_head.0,
                head_timeout: setting.read_timeout.0,
            };
            let address = setting.listen;
            let entry = Entry::new(
                process.clone(),
                share.clone(),
                peers.clone(),
                homes.clone(),
                setting,
            );
            Some(open(address, limits, entry).await?)
        }
        None => None,
    };
    let listens = entry.as_ref().map(|entry| entry.address.to_string());
    log::info!(target: "run", process:% = process.name, internal:% = internal.address,
        entry = listens.as_deref().unwrap_or("-"); "started");
    Ok(Running {
        process: process.clone(),
        share,
        homes,
        sidecars,
        follow,
        entry,
        internal,
        others,
    })
}

async fn start_standins(settings: &Settings) -> Result<(), Error> {
    for standin in settings.standins.values() {
        let address = standin.listen;
        let served = match standin.kind {
            Kind::Engine => {
                let options = engine::Options {
                    capacity: standin.capacity,
                    token: standin.token.0,
                    cold: standin.cold.0,
                    ..engine::Options::default()
                };
                Engine::new(options).serve(address).await
            }
            Kind::Service => Service::new(standin.token.0).serve(address).await,
        };
        served.map_err(|source| Error::Listen { address, source })?;
    }
    Ok(())
}

impl Running {
    /// Where callers are served.
    #[must_use]
    pub fn entry_address(&self) -> Option<std::net::SocketAddr> {
        self.entry.as_ref().map(|entry| entry.address)
    }

    /// Leaves gracefully: announces it, lets the platform look away, finishes what runs, hands
    /// shards over, then closes.
    pub async fn leave(self) {
        let deadline = self.process.now() + self.process.settings.process.shutdown.0;
        log::info!(target: "run", process:% = self.process.name; "leaving");
        self.process.leave();
        self.follow.hurry.notify_one();
        // Callers are still served while the balancer takes notice.
        tokio::time::sleep(ANNOUNCE).await;
        if let Some(entry) = self.entry {
            let left = deadline.saturating_sub(self.process.now());
            if tokio::time::timeout(left, entry.close()).await.is_err() {
                log::warn!(target: "run", "callers were still served when time was up");
            }
        }
        wait_until(&self.process, deadline, || self.sidecars.is_idle()).await;
        if self.homes.is_some() {
            let (process, share) = (&self.process, &self.share);
            wait_until(process, deadline, || !holds_needed(process, share)).await;
        }
        let left = deadline.saturating_sub(self.process.now()).max(LOOK);
        // Connections of other processes stay open for ever; time alone ends them.
        let _ =
            tokio::time::timeout(left.min(Duration::from_millis(500)), self.internal.close()).await;
        for server in self.others {
            let _ = tokio::time::timeout(LOOK, server.close()).await;
        }
        log::info!(target: "run", process:% = self.process.name; "left");
    }
}

async fn wait_until(process: &Process, deadline: Timestamp, mut done: impl FnMut() -> bool) {
    while !done() && process.now() < deadline {
        tokio::time::sleep(LOOK).await;
    }
}

/// Whether this process still holds shards that another could take over.
fn holds_needed(process: &Process, share: &Share) -> bool {
    let view = share.view();
    let others = view.directory.live().any(|announcement| {
        announcement.home.is_some()
            && announcement.process != process.name
            && announcement.life == celerycove_sync::Life::Serving
    });
    let holds = view
        .placement
        .shards
        .iter()
        .any(|shard| shard.full().any(|replica| replica.process == process.name));
    others && holds
}
