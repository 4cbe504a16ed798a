//! A configuration arranged for looking things up on the path of a request.

use std::sync::Arc;

use celerycove_types::Map;

use crate::config::{Config, Organisation, Route, Service};

/// A configuration with its lookups.
#[derive(Debug, Default)]
pub struct Index {
    config: Arc<Config>,
    /// Routes of each host by position, the longest prefix first.
    hosts: Map<String, Vec<usize>>,
    keys: Map<String, usize>,
    services: Map<Arc<str>, usize>,
}

impl Index {
    /// Arranges a configuration.
    #[must_use]
    pub fn new(config: Arc<Config>) -> Self {
        let mut hosts: Map<String, Vec<usize>> = Map::default();
        for (at, route) in config.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(at);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|at| std::cmp::Reverse(config.routes[*at].prefix.len()));
        }
        let organisations = config.organisations.iter().enumerate();
        let keys = organisations
            .flat_map(|(at, organisation)| organisation.keys.iter().map(move |k| (k.clone(), at)))
            .collect();
        let services = config.services.iter().enumerate();
        let services = services.map(|(at, s)| (s.name.clone(), at)).collect();
        Self {
            config,
            hosts,
            keys,
            services,
        }
    }

    /// The configuration.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The route with the longest prefix of the path, among those of the host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let without_port = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(without_port).or_else(|| {
            let lowercase = without_port.to_ascii_lowercase();
            self.hosts.get(&lowercase)
        })?;
        let mut routes = routes.iter().map(|at| &self.config.routes[*at]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// The organisation that holds a key.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        let at = self.keys.get(key)?;
        self.config.organisations.get(*at)
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self.services.get(name)?;
        self.config.services.get(*at)
    }
}
