//! Starts the roles and listeners of a process, and shuts them down gracefully.

use std::{sync::Arc, time::Duration};

use celerycove_settings::{Settings, schema::Kind};
use celerycove_standin::{Engine, Service, engine};
use celerycove_types::Timestamp;

use crate::{
    admin::Admin,
    control::{self, Control},
    entry::Entry,
    home::Replicas,
    http::{Limits, Server},
    internal::Internal,
    metrics::{self, Metrics},
    operator::Operators,
    peer::Peers,
    process::Process,
    puller::{PROPAGATION_DELAY, Puller},
    secret,
    sidecar::Sidecars,
    state::SharedState,
};

/// How often a leaving process checks whether it may exit.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An error that prevents the process from starting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A secret can't be used.
    #[error(transparent)]
    Secret(#[from] secret::Error),
    /// A listener can't be opened.
    #[error("could not listen on {address}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        #[source]
        source: std::io::Error,
    },
    /// The control log can't be started.
    #[error(transparent)]
    Control(#[from] control::Error),
    /// The stored shards can't be read or are damaged.
    #[error(transparent)]
    Home(#[from] celerycove_disk::value::Error),
    /// The metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
    /// An RPC method is registered twice.
    #[error(transparent)]
    Methods(#[from] jsonrpsee::server::RegisterMethodError),
}

/// The roles and listeners of a running process.
pub struct Running {
    /// State that lasts as long as the process.
    pub process: Arc<Process>,
    state: Arc<SharedState>,
    replicas: Option<Arc<Replicas>>,
    sidecars: Arc<Sidecars>,
    puller: Arc<Puller>,
    entry: Option<Server>,
    internal: Server,
    other_servers: Vec<Server>,
}

/// Opens a listener; the error names its address.
async fn open<H: crate::http::Handler>(
    address: std::net::SocketAddr,
    limits: Limits,
    handler: Arc<H>,
) -> Result<Server, Error> {
    Server::open(address, limits, handler)
        .await
        .map_err(|source| Error::Listen { address, source })
}

/// Starts every role and listener in the settings. With `bootstrap`, control instances with empty
/// storage form a new deployment.
///
/// # Errors
///
/// Returns an error if a secret, file or address can't be used.
pub async fn start(settings: Settings, bootstrap: bool) -> Result<Running, Error> {
    let single_control = settings.control.is_some() && settings.process.control.len() == 1;
    let cluster_secret =
        secret::load_cluster_secret(&settings.process.cluster_secret_file, single_control)?;
    start_standins(&settings).await?;
    let process = Arc::new(Process::new(settings, cluster_secret, Metrics::new()?));
    let process_settings = &process.settings.process;
    let state = SharedState::new(
        process_settings.max_config_age.0,
        process_settings.failure_timeout.0,
    );
    let peers = Peers::new(process.clone(), state.clone());
    let sidecars = Sidecars::start(&process, &state);
    let internal_handler = Internal::new(process.clone(), sidecars.clone());
    let internal = open(
        process_settings.listen,
        Limits::default(),
        internal_handler.clone(),
    )
    .await?;
    process.set_address(internal.address);
    let replicas = match &process.settings.home {
        Some(_) => Some(Replicas::start(&process, &state, &peers)?),
        None => None,
    };
    let control = match &process.settings.control {
        Some(_) => Some(Control::start(&process, &state, &peers, bootstrap)?),
        None => None,
    };
    let puller = Puller::start(
        process.clone(),
        state.clone(),
        peers.clone(),
        control.clone(),
        replicas.clone(),
        sidecars.clone(),
    );
    internal_handler.register_methods(control.clone(), replicas.clone(), puller.clone())?;
    let mut other_servers = Vec::new();
    if let (Some(setting), Some(control)) = (&process.settings.control, &control) {
        let credentials = secret::load_operators(&setting.operators_file, single_control)?;
        let operators = Operators::new(
            credentials,
            process.clone(),
            state.clone(),
            control.clone(),
            peers.clone(),
        )?;
        other_servers.push(open(setting.operator_listen, Limits::default(), operators).await?);
    }
    if let Some(address) = process_settings.admin_listen {
        let admin = Arc::new(Admin {
            process: process.clone(),
            state: state.clone(),
        });
        other_servers.push(open(address, Limits::default(), admin).await?);
    }
    let entry = match process.settings.entry.clone() {
        Some(setting) => {
            let limits = Limits {
                max_head_bytes: setting.max_head.0,
                head_timeout: setting.read_timeout.0,
            };
            let address = setting.listen;
            let entry = Entry::new(
                process.clone(),
                state.clone(),
                peers.clone(),
                replicas.clone(),
                setting,
            );
            Some(open(address, limits, entry).await?)
        }
        None => None,
    };
    let entry_address = entry.as_ref().map(|entry| entry.address.to_string());
    log::info!(target: "run", process:% = process.name, internal:% = internal.address,
        entry = entry_address.as_deref().unwrap_or("-"); "started");
    Ok(Running {
        process: process.clone(),
        state,
        replicas,
        sidecars,
        puller,
        entry,
        internal,
        other_servers,
    })
}

async fn start_standins(settings: &Settings) -> Result<(), Error> {
    for standin in settings.standins.values() {
        let address = standin.listen;
        let result = match standin.kind {
            Kind::Engine => {
                let options = engine::Options {
                    capacity: standin.capacity,
                    token_time: standin.token_time.0,
                    cold_time: standin.cold_time.0,
                    ..engine::Options::default()
                };
                Engine::new(options).serve(address).await
            }
            Kind::Service => Service::new(standin.token_time.0).serve(address).await,
        };
        result.map_err(|source| Error::Listen { address, source })?;
    }
    Ok(())
}

impl Running {
    /// Returns the address of the callers' listener, if this process has one.
    #[must_use]
    pub fn entry_address(&self) -> Option<std::net::SocketAddr> {
        self.entry.as_ref().map(|entry| entry.address)
    }

    /// Shuts down gracefully: announces that the process is leaving, waits for load balancers to
    /// notice, finishes running requests, hands its shards over and closes the listeners.
    pub async fn shut_down(self) {
        let deadline = self.process.now() + self.process.settings.process.shutdown_timeout.0;
        log::info!(target: "run", process:% = self.process.name; "leaving");
        self.process.begin_shutdown();
        self.puller.wake.notify_one();
        // Callers are still served until the load balancer has noticed.
        tokio::time::sleep(PROPAGATION_DELAY).await;
        if let Some(entry) = self.entry {
            let remaining = deadline.saturating_sub(self.process.now());
            if tokio::time::timeout(remaining, entry.close())
                .await
                .is_err()
            {
                log::warn!(target: "run",
                    "shutdown deadline passed while callers were still served");
            }
        }
        wait_until(&self.process, deadline, || self.sidecars.is_idle()).await;
        if self.replicas.is_some() {
            let (process, state) = (&self.process, &self.state);
            wait_until(process, deadline, || {
                !has_shards_to_hand_over(process, state)
            })
            .await;
        }
        let remaining = deadline
            .saturating_sub(self.process.now())
            .max(POLL_INTERVAL);
        // Other processes keep their connections open, so only a timeout ends this wait.
        let _ = tokio::time::timeout(
            remaining.min(Duration::from_millis(500)),
            self.internal.close(),
        )
        .await;
        for server in self.other_servers {
            let _ = tokio::time::timeout(POLL_INTERVAL, server.close()).await;
        }
        log::info!(target: "run", process:% = self.process.name; "left");
    }
}

async fn wait_until(process: &Process, deadline: Timestamp, mut condition: impl FnMut() -> bool) {
    while !condition() && process.now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Whether this process still has a full replica of a shard and another process could take over.
fn has_shards_to_hand_over(process: &Process, state: &SharedState) -> bool {
    let view = state.view();
    let another_serves = view.directory.live().any(|announcement| {
        announcement.shard_incarnation.is_some()
            && announcement.process != process.name
            && announcement.availability == celerycove_sync::Availability::Serving
    });
    let is_replica = view.placement.shards.iter().any(|shard| {
        shard
            .in_sync()
            .any(|replica| replica.process == process.name)
    });
    another_serves && is_replica
}
