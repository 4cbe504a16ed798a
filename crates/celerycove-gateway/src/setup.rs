//! What a process is told at its start.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use celerycove_disk::Store as Disk;
use celerycove_types::id;
use serde::{Deserialize, Serialize};

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Serves callers.
    Entry,
    /// Hears backend servers and operators, and agrees on the fleet's state.
    Control,
    /// Keeps turns and budgets.
    Store,
}

impl Role {
    /// The place of the role's port among the internal ports, equal on all instances.
    fn offset(self) -> u16 {
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

/// Where a process listens.
#[derive(Debug, Clone, Default)]
pub struct Listen {
    /// For callers.
    pub callers: Option<SocketAddr>,
    /// For questions about readiness.
    pub ready: Option<SocketAddr>,
    /// For backend servers and operators.
    pub control: Option<SocketAddr>,
    /// For readers of metrics.
    pub metrics: Option<SocketAddr>,
    /// For other processes, where that is not the address by which they know this one.
    pub internal: Option<SocketAddr>,
}

/// Times that the deployment promises its users.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// After a signal to stop, a process is killed this much later.
    pub grace: Duration,
    /// Within this time a lost instance must be made up for.
    pub catch_up: Duration,
}

/// What a process is told at its start.
#[derive(Debug, Clone)]
pub struct Setup {
    /// What it does.
    pub role: Role,
    /// The instance that it runs on, by which operators name it.
    pub instance: Arc<str>,
    /// Where it stands.
    pub data_centre: id::DataCentre,
    /// All data centres.
    pub data_centres: Vec<id::DataCentre>,
    /// The instance's address.
    pub ip: std::net::IpAddr,
    /// The first of the ports for talk between processes.
    pub internal_port: u16,
    /// Where it listens.
    pub listen: Listen,
    /// Control instances to ask first, at the addresses for operators.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Where files may be kept.
    pub data: Option<PathBuf>,
    /// How many instances with state may be lost at once.
    pub tolerated: usize,
    /// Times promised.
    pub bounds: Bounds,
}

impl Setup {
    /// The process's name: the address on which it talks to others.
    #[must_use]
    pub fn process(&self) -> id::Process {
        self.peer(self.ip, self.role)
    }

    /// The address to listen on for other processes.
    ///
    /// # Errors
    ///
    /// Returns an error if the process's name is no address.
    pub fn internal_address(&self) -> Result<SocketAddr, crate::Error> {
        let named = || self.process().parse().ok();
        let address = self.listen.internal.or_else(named);
        address.ok_or(crate::Error::Missing("internal address"))
    }

    /// The name of a process of another role or on another instance.
    #[must_use]
    pub fn peer(&self, ip: std::net::IpAddr, role: Role) -> id::Process {
        let address = SocketAddr::new(ip, self.internal_port + role.offset());
        address.to_string().into()
    }

    /// The control instances named by the settings.
    #[must_use]
    pub fn seed_processes(&self) -> Vec<id::Process> {
        let seeds = self.seeds.iter();
        seeds
            .map(|seed| self.peer(seed.ip(), Role::Control))
            .collect()
    }

    /// Whether this process may found a log: the system starts for the first time and the disk holds
    /// none yet.
    #[must_use]
    pub fn may_found(&self) -> bool {
        let empty = |data: &PathBuf| !Disk::is_used(data);
        self.bootstrap && self.data.as_ref().is_some_and(empty)
    }

    /// How many members a replicated log should have, so that the tolerated losses leave most.
    #[must_use]
    pub fn members(&self) -> usize {
        self.tolerated.max(1) * 2 + 1
    }
}
