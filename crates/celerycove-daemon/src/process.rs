//! State that lasts as long as the process: identity, clock, availability and secret.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use celerycove_settings::Settings;
use celerycove_sync::Availability;
use celerycove_types::{Timestamp, id};
use tokio::sync::watch;

use crate::{links::Links, metrics::Metrics, requests::Registry};

/// State of one process of the deployment.
pub struct Process {
    /// Its settings.
    pub settings: Settings,
    /// Its name.
    pub name: id::Process,
    /// The data centre that it runs in.
    pub data_centre: id::DataCentre,
    /// Identifies this run of the process: its start time in microseconds since the Unix epoch.
    pub incarnation: id::Incarnation,
    /// The secret that all processes of the deployment share.
    pub secret: String,
    /// Links that tests have cut to simulate network faults.
    pub links: Links,
    /// The requests that it is running.
    pub requests: Arc<Registry>,
    /// Its metrics.
    pub metrics: Metrics,
    start: Instant,
    availability: watch::Sender<Availability>,
    address: OnceLock<SocketAddr>,
}

impl Process {
    /// Creates the state of a process that starts now.
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
            availability: watch::Sender::new(Availability::Serving),
            address: OnceLock::new(),
        }
    }

    /// Returns the time since the process started.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.start.elapsed()
    }

    /// Returns whether the process is serving or leaving.
    #[must_use]
    pub fn availability(&self) -> Availability {
        *self.availability.borrow()
    }

    /// Subscribes to changes of the availability.
    #[must_use]
    pub fn watch_life(&self) -> watch::Receiver<Availability> {
        self.availability.subscribe()
    }

    /// Marks the process as leaving, so that it takes no new work.
    pub fn begin_shutdown(&self) {
        self.availability.send_replace(Availability::Leaving);
    }

    /// Sets the address to which the internal listener is bound.
    pub fn set_address(&self, address: SocketAddr) {
        // The listener is opened only once.
        let _ = self.address.set(address);
    }

    /// Returns the address at which other processes reach this one.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        let listen = self.settings.process.listen;
        let bound = self.address.get().copied().unwrap_or(listen);
        self.settings.process.advertise.unwrap_or(bound)
    }

    /// Returns the id of this run of the process in records of dispatches.
    #[must_use]
    pub fn dispatcher(&self) -> id::Process {
        format!("{}#{}", self.name, self.incarnation).into()
    }
}
