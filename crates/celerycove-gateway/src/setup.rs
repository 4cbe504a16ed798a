//! The configuration of a process at its start.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use celerycove_disk::{Store as Disk, control::FirstStart};
use celerycove_rollout::decider as rollout;
use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::memory;

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Forwards callers' requests to backend servers.
    Entry,
    /// Receives heartbeats and operators' requests, and replicates the fleet's state.
    Control,
    /// Replicates turns and budgets.
    Store,
}

impl Role {
    /// The offset of the role's port from the first internal port, equal on all instances.
    fn port_offset(self) -> u16 {
        match self {
            Self::Control => 0,
            Self::Entry => 1,
            Self::Store => 2,
        }
    }

    /// The role's name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
            Self::Store => "store",
        }
    }
}

/// The addresses on which a process listens.
#[derive(Debug, Clone, Default)]
pub struct ListenAddresses {
    /// For callers' requests.
    pub callers: Option<SocketAddr>,
    /// For readiness probes.
    pub ready: Option<SocketAddr>,
    /// For backend servers and operators.
    pub control: Option<SocketAddr>,
    /// For metrics scrapes.
    pub metrics: Option<SocketAddr>,
    /// For other processes, where it differs from the address by which they know this one.
    pub internal: Option<SocketAddr>,
}

/// Time limits that the deployment guarantees.
#[derive(Debug, Clone, Copy)]
pub struct TimeLimits {
    /// The grace period: a process is killed this long after the signal to stop.
    pub grace_period: Duration,
    /// The time within which a lost instance must be replaced in the replicated logs.
    pub replacement: Duration,
}

/// Bounds on rollouts where the settings name none.
pub const DEFAULT_ROLLOUT: rollout::Options = rollout::Options {
    max_share: 0.1,
    slack: 50,
    rollback: Duration::from_secs(5),
};

/// The configuration of a process at its start.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The role that it runs.
    pub role: Role,
    /// The name by which operators know the instance that it runs on.
    pub instance: Arc<str>,
    /// The data centre of the instance.
    pub data_centre: id::DataCentre,
    /// All data centres of the deployment.
    pub data_centres: Vec<id::DataCentre>,
    /// The IP address of the instance.
    pub ip: std::net::IpAddr,
    /// The first of the ports for connections between processes; see [`Setup::peer`].
    pub internal_port: u16,
    /// The addresses on which it listens.
    pub listen: ListenAddresses,
    /// Control instances to connect to first, by their addresses for operators.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// The data directory, if the instance has a disk.
    pub data_dir: Option<PathBuf>,
    /// How many instances that hold replicated state may be lost at once.
    pub tolerated_failures: usize,
    /// Time limits that the deployment guarantees.
    pub bounds: TimeLimits,
    /// Bounds on rollouts of service versions.
    pub rollout: rollout::Options,
    /// Whether first turns of new programs wait at the entry while their service is overloaded.
    pub holds_first_turns: bool,
    /// The largest share of extra work for hedged requests; zero or `None` switches them off.
    pub max_extra_share: Option<f64>,
    /// What the process may hold in memory.
    pub memory: memory::Budget,
}

impl Setup {
    /// The name of this process: its address for other processes.
    #[must_use]
    pub fn process(&self) -> id::Process {
        self.peer(self.ip, self.role)
    }

    /// The address to listen on for other processes.
    ///
    /// # Errors
    ///
    /// Returns an error if the name of the process can't be parsed as a socket address.
    pub fn internal_address(&self) -> Result<SocketAddr, crate::Error> {
        let address_of_name = || self.process().parse().ok();
        let address = self.listen.internal.or_else(address_of_name);
        address.ok_or(crate::Error::Missing("internal address"))
    }

    /// The name of the process that runs `role` on the instance with address `ip`.
    #[must_use]
    pub fn peer(&self, ip: std::net::IpAddr, role: Role) -> id::Process {
        let address = SocketAddr::new(ip, self.internal_port + role.port_offset());
        address.to_string().into()
    }

    /// The control instances named by [`seeds`](Self::seeds).
    #[must_use]
    pub fn seed_processes(&self) -> Vec<id::Process> {
        let seeds = self.seeds.iter();
        seeds
            .map(|seed| self.peer(seed.ip(), Role::Control))
            .collect()
    }

    /// Records on the disk that the system starts for the first time. If the process is killed before
    /// it opens its log, its next start is told that the system starts no more for the first time.
    pub(crate) fn record_own_first_start(&self) {
        if self.bootstrap {
            self.record_first_start(FirstStart::Own);
        }
    }

    /// Records on an empty disk that no log had been opened when this process already ran.
    pub(crate) fn record_first_start(&self, record: FirstStart) {
        if let Some(data) = &self.data_dir
            && !Disk::has_log(data)
            && let Err(error) = Disk::record_first_start(data, record)
        {
            log::warn!(target: "log", error:% = error; "could not record the first start");
        }
    }

    /// Removes the record of the first start, after the log was opened.
    pub(crate) fn clear_first_start(&self) {
        if let Some(data) = &self.data_dir
            && let Err(error) = Disk::clear_first_start(data)
        {
            log::warn!(target: "log", error:% = error; "could not clear the record of the first start");
        }
    }

    /// Whether this process was started as part of the first start of the system, now or before it was
    /// killed, and its disk holds no log yet.
    #[must_use]
    pub fn may_bootstrap_log(&self) -> bool {
        let is_own =
            |data: &PathBuf| self.bootstrap || Disk::first_start(data) == Some(FirstStart::Own);
        self.has_empty_disk() && self.data_dir.as_ref().is_some_and(is_own)
    }

    /// Whether this process may open a new log with a vote: its disk holds no log, and has not been
    /// lost since a time at which no log had been opened.
    ///
    /// The record of the first start is lost with the disk, so an instance that may have voted before
    /// it lost its disk gets no vote by this.
    #[must_use]
    pub fn may_vote_in_new_log(&self) -> bool {
        let is_recorded = |data: &PathBuf| self.bootstrap || Disk::first_start(data).is_some();
        self.has_empty_disk() && self.data_dir.as_ref().is_some_and(is_recorded)
    }

    /// Whether this process has a disk that holds no log.
    #[must_use]
    pub fn has_empty_disk(&self) -> bool {
        let is_empty = |data: &PathBuf| !Disk::has_log(data);
        self.data_dir.as_ref().is_some_and(is_empty)
    }

    /// How many members a replicated log should have, so that a majority survives the loss of
    /// [`tolerated_failures`](Self::tolerated_failures) instances.
    #[must_use]
    pub fn target_members(&self) -> usize {
        self.tolerated_failures.max(1) * 2 + 1
    }
}
