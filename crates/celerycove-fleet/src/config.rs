//! Configurations and their validation.

use std::{collections::BTreeSet, fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use celerycove_types::id;
use serde::{Deserialize, Serialize};

/// The name of a service: a group of backend servers that routes send requests to.
pub type ServiceName = Arc<str>;

/// Whether a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the caller.
    NonIdempotent,
    /// Answered by a stream of events; runs at most once unless the route is resumable.
    Streaming,
}

/// One target of a route and its share of the traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The service that receives the requests.
    pub service: ServiceName,
    /// The weight of this target relative to the other targets of the route.
    pub weight: u32,
}

/// Selects requests by host and path prefix, and determines how they are forwarded.
#[allow(clippy::struct_excessive_bools)] // Independent settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route in logs.
    pub name: Arc<str>,
    /// The host that a request must have.
    pub host: String,
    /// The path prefix that a request must have; the longest matching prefix wins.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub kind: Kind,
    /// The maximum time that a caller waits for the response.
    pub timeout: Duration,
    /// The target latency of a response, or of the first event of a stream.
    #[serde(rename = "aim")]
    pub target_latency: Duration,
    /// The priority of its requests; zero is the highest.
    pub priority: u8,
    /// The services that receive its requests.
    pub targets: Vec<Target>,
    /// The maximum number of backend servers that one attempt of the caller is sent to.
    pub max_attempts: u32,
    /// Whether the turns of a conversation are stored, so that a later request can continue from
    /// one by its name.
    #[serde(rename = "retained")]
    pub stores_turns: bool,
    /// How long turns and token budgets are stored.
    pub retention: Duration,
    /// Whether requests are accepted without an API key.
    #[serde(rename = "open")]
    pub anonymous: bool,
    /// Whether a backend server that has handled the same object before answers faster.
    pub sticky: bool,
    /// Whether an interrupted stream may be resumed on another backend server.
    pub resumable: bool,
    /// How long callers wait for the next event of a stream before they give it up.
    #[serde(default = "Route::default_patience")]
    pub caller_patience: Duration,
}

/// A group of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name that routes refer to.
    pub name: ServiceName,
    /// The number of connections that one backend server accepts in total.
    pub max_connections: u32,
    /// The maximum rate for a cold backend server, in requests per second; zero means no limit.
    pub cold_rate: f64,
    /// For model engines: the number of tokens that each event of a stream counts as.
    pub event_tokens: Option<u32>,
    /// For model engines: the capacity of one engine's prefix cache, in tokens.
    pub cache_tokens: Option<id::Tokens>,
}

/// An organisation with its API keys and limits.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// The name, sent to backend servers in place of the API key.
    pub name: id::Organisation,
    /// The API keys.
    pub keys: Vec<String>,
    /// Overrides the route's priority.
    pub priority: Option<u8>,
    /// The rate limit over all entry processes, in requests per second; zero means no limit.
    pub rate: f64,
    /// The burst size of the rate limit over all entry processes, in requests.
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

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// The maximum time until a request head is complete.
    pub header_timeout: Duration,
    /// The maximum time that a connection may be idle.
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
    /// The version; the highest takes effect.
    pub version: id::Version,
    /// The configuration as the operator sent it, returned when the configuration is read.
    pub source: Bytes,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services.
    pub services: Vec<Service>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// The organisations; if there are none, no API key is required.
    pub organisations: Vec<Organisation>,
}

/// Why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// A route has a target service that is not defined.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[error("two routes share host {host} and prefix {prefix}")]
    DuplicateRoute {
        /// The host.
        host: String,
        /// The prefix.
        prefix: String,
    },
    /// No target of a route has a weight above zero.
    #[error("the weights of route {0} add up to zero")]
    ZeroWeight(Arc<str>),
    /// The timeout of a route is zero.
    #[error("the timeout of route {0} is zero")]
    ZeroTimeout(Arc<str>),
    /// Two organisations have the same API key.
    #[error("organisations {0} and {1} share a key")]
    SharedKey(id::Organisation, id::Organisation),
    /// A prefix does not begin and end with a slash.
    #[error("the prefix of route {0} does not begin and end with a slash")]
    MalformedPrefix(Arc<str>),
}

impl Config {
    /// Checks the configuration as a whole.
    ///
    /// # Errors
    ///
    /// Returns the first reason why it is invalid.
    pub fn check(&self) -> Result<(), Invalid> {
        let services: BTreeSet<&ServiceName> = self.services.iter().map(|s| &s.name).collect();
        let mut matches = BTreeSet::new();
        for route in &self.routes {
            route.check(&services)?;
            if !matches.insert((&route.host, &route.prefix)) {
                return Err(Invalid::DuplicateRoute {
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
    /// How long callers wait that are not known to wait for longer.
    #[must_use]
    pub const fn default_patience() -> Duration {
        Duration::from_secs(2)
    }

    fn check(&self, services: &BTreeSet<&ServiceName>) -> Result<(), Invalid> {
        if let Some(target) = self.targets.iter().find(|t| !services.contains(&t.service)) {
            return Err(Invalid::UnknownService {
                route: self.name.clone(),
                service: target.service.clone(),
            });
        }
        if self.targets.iter().all(|target| target.weight == 0) {
            return Err(Invalid::ZeroWeight(self.name.clone()));
        }
        if self.timeout.is_zero() {
            return Err(Invalid::ZeroTimeout(self.name.clone()));
        }
        if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
            return Err(Invalid::MalformedPrefix(self.name.clone()));
        }
        Ok(())
    }

    /// Returns whether a request may run more than once, or be resumed on another backend server.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.kind == Kind::Idempotent || (self.kind == Kind::Streaming && self.resumable)
    }

    /// Selects a target by weight; `draw` is a uniform random number in `0.0..1.0`.
    #[must_use]
    pub fn target(&self, draw: f64) -> Option<&Target> {
        let total: f64 = self.targets.iter().map(|t| f64::from(t.weight)).sum();
        let mut remaining = draw * total;
        let mut weighted = self.targets.iter().filter(|target| target.weight > 0);
        weighted
            .find(|target| {
                remaining -= f64::from(target.weight);
                remaining < 0.0
            })
            .or_else(|| self.targets.iter().rfind(|target| target.weight > 0))
    }
}
