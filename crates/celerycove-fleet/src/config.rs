//! A complete configuration and what makes one invalid.

use std::{collections::BTreeSet, fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use celerycove_types::id;
use serde::{Deserialize, Serialize};

/// The name of a service, the group of backend servers that a route leads to.
pub type ServiceName = Arc<str>;

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    NonIdempotent,
    /// Answered by a stream of events; runs at most once unless it may be resumed.
    Streaming,
}

/// One target of a route and its share of the traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// Which requests go where, and how.
#[allow(clippy::struct_excessive_bools)] // Each is a property of its own that operators set.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Names the route in logs.
    pub name: Arc<str>,
    /// The host that selects it.
    pub host: String,
    /// The path prefix that selects it; the longest wins.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest that a caller may be kept waiting.
    pub timeout: Duration,
    /// Within this time an answer, or the first event of a stream, is on time.
    pub aim: Duration,
    /// The rank of its requests; zero is the highest.
    pub priority: u8,
    /// Where its requests go.
    pub targets: Vec<Target>,
    /// How many backend servers one attempt of a caller may run on.
    pub max_attempts: u32,
    /// Whether turns are kept and continued from by name.
    pub retained: bool,
    /// How long turns and budgets are kept.
    pub retention: Duration,
    /// Whether no key is needed.
    pub open: bool,
    /// Whether a backend server that handled the same object before is faster.
    pub sticky: bool,
    /// Whether a stream may go on at another backend server.
    pub resumable: bool,
}

/// A group of backend servers that do the same work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one backend server accepts from all callers.
    pub max_connections: u32,
    /// Requests a second that a cold backend server bears; zero means no limit.
    pub cold_rate: f64,
    /// For model engines: tokens counted for each event of a stream.
    pub event_tokens: Option<u32>,
    /// For model engines: tokens that the prefix cache of one engine holds.
    pub cache_tokens: Option<id::Tokens>,
}

/// An organisation, its keys and what it is owed.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name, told to backend servers in place of the key.
    pub name: id::Organisation,
    /// Its keys.
    pub keys: Vec<String>,
    /// Goes before the route's priority.
    pub priority: Option<u8>,
    /// Requests a second over all entries; zero means no limit.
    pub rate: f64,
    /// Requests at once over all entries.
    pub burst: f64,
}

impl fmt::Debug for Organisation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Organisation")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("rate", &self.rate)
            .field("burst", &self.burst)
            .finish_non_exhaustive()
    }
}

/// What a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A complete configuration.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Config {
    /// The highest version takes effect.
    pub version: id::Version,
    /// The configuration as the operator sent it, given back on reading.
    pub source: Bytes,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services.
    pub services: Vec<Service>,
    /// Bounds on callers.
    pub limits: Limits,
    /// The organisations; without any, no key is asked for.
    pub organisations: Vec<Organisation>,
}

/// Why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// A route leads to a service that is not defined.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The service.
        service: ServiceName,
    },
    /// Two routes would be selected by the same requests.
    #[error("two routes share host {host} and prefix {prefix}")]
    SamePlace {
        /// The host.
        host: String,
        /// The prefix.
        prefix: String,
    },
    /// A route leads nowhere.
    #[error("the weights of route {0} add up to zero")]
    NoWeight(Arc<str>),
    /// A route would time out at once.
    #[error("the timeout of route {0} is zero")]
    NoTimeout(Arc<str>),
    /// A key would belong to two organisations.
    #[error("organisations {0} and {1} share a key")]
    SharedKey(id::Organisation, id::Organisation),
    /// A prefix does not begin and end with a slash.
    #[error("the prefix of route {0} does not begin and end with a slash")]
    Prefix(Arc<str>),
}

impl Config {
    /// Checks the configuration as a whole.
    ///
    /// # Errors
    ///
    /// Returns the first reason why it is invalid.
    pub fn check(&self) -> Result<(), Invalid> {
        let services: BTreeSet<&ServiceName> = self.services.iter().map(|s| &s.name).collect();
        let mut places = BTreeSet::new();
        for route in &self.routes {
            route.check(&services)?;
            if !places.insert((&route.host, &route.prefix)) {
                return Err(Invalid::SamePlace {
                    host: route.host.clone(),
                    prefix: route.prefix.clone(),
                });
            }
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<(), Invalid> {
        let mut owners = std::collections::BTreeMap::new();
        for organisation in &self.organisations {
            for key in &organisation.keys {
                match owners.insert(key, &organisation.name) {
                    Some(other) if *other != organisation.name => {
                        let (a, b) = (other.clone(), organisation.name.clone());
                        return Err(Invalid::SharedKey(a, b));
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }
}

impl Route {
    fn check(&self, services: &BTreeSet<&ServiceName>) -> Result<(), Invalid> {
        if let Some(target) = self.targets.iter().find(|t| !services.contains(&t.service)) {
            return Err(Invalid::UnknownService {
                route: self.name.clone(),
                service: target.service.clone(),
            });
        }
        if self.targets.iter().all(|target| target.weight == 0) {
            return Err(Invalid::NoWeight(self.name.clone()));
        }
        if self.timeout.is_zero() {
            return Err(Invalid::NoTimeout(self.name.clone()));
        }
        if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
            return Err(Invalid::Prefix(self.name.clone()));
        }
        Ok(())
    }

    /// Whether a request may run more than once, or go on elsewhere where it broke off.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.kind == Kind::Idempotent || (self.kind == Kind::Streaming && self.resumable)
    }

    /// Chooses a target by weight; `draw` lies in `0.0..1.0`.
    #[must_use]
    pub fn target(&self, draw: f64) -> Option<&Target> {
        let total: f64 = self.targets.iter().map(|t| f64::from(t.weight)).sum();
        let mut left = draw * total;
        let mut weighted = self.targets.iter().filter(|target| target.weight > 0);
        weighted
            .find(|target| {
                left -= f64::from(target.weight);
                left < 0.0
            })
            .or_else(|| self.targets.iter().rfind(|target| target.weight > 0))
    }
}
