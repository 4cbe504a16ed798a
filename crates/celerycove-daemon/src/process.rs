//! What lives as long as the process: its identity, clock, life cycle and secret.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use celerycove_settings::Settings;
use celerycove_sync::Life;
use celerycove_types::{Timestamp, id};
use tokio::sync::watch;

use crate::{links::Links, metrics::Metrics, requests::Requests};

/// One process of the deployment.
pub struct Process {
    /// What it is set to.
    pub settings: Settings,
    /// Its name.
    pub name: id::Process,
    /// Where it runs.
    pub data_centre: id::DataCentre,
    /// Its life.
    pub incarnation: id::Incarnation,
    /// The secret that all processes of the deployment share.
    pub secret: String,
    /// Links that tests have cut.
    pub links: Links,
    /// The requests that it runs.
    pub requests: Arc<Requests>,
    /// What it counts.
    pub metrics: Metrics,
    start: Instant,
    life: watch::Sender<Life>,
    address: OnceLock<SocketAddr>,
}

impl Process {
    /// Begins a life.
    #[must_use]
    pub fn new(settings: Settings, secret: String, metrics: Metrics) -> Self {
        let incarnation = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |since| u64::try_from(since.as_micros()).unwrap_or(1));
        Self {
            name: settings.process.name.as_str().into(),
            data_centre: settings.process.data_centre.as_str().into(),
            settings,
            incarnation,
            secret,
            links: Links::default(),
            requests: Arc::default(),
            metrics,
            start: Instant::now(),
            life: watch::Sender::new(Life::Serving),
            address: OnceLock::new(),
        }
    }

    /// Time since the process began.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.start.elapsed()
    }

    /// Whether the process takes new work.
    #[must_use]
    pub fn life(&self) -> Life {
        *self.life.borrow()
    }

    /// Tells when the process begins to leave.
    #[must_use]
    pub fn watch_life(&self) -> watch::Receiver<Life> {
        self.life.subscribe()
    }

    /// Begins to leave.
    pub fn leave(&self) {
        self.life.send_replace(Life::Leaving);
    }

    /// Sets where other processes reach this one.
    pub fn set_address(&self, address: SocketAddr) {
        // A process listens once.
        let _ = self.address.set(address);
    }

    /// Where other processes reach this one.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        let listen = self.settings.process.listen;
        let bound = self.address.get().copied().unwrap_or(listen);
        self.settings.process.advertise.unwrap_or(bound)
    }

    /// Names this life of the process where its dispatches are recorded.
    #[must_use]
    pub fn dispatcher(&self) -> id::Process {
        format!("{}#{}", self.name, self.incarnation).into()
    }
}
