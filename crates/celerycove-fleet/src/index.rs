//! Lookup tables over a configuration, for use on the request path.

use std::sync::Arc;

use celerycove_types::Map;

use crate::config::{Config, Organisation, Route, Service};

/// A configuration with lookup tables.
#[derive(Debug, Default)]
pub struct Index {
    config: Arc<Config>,
    /// Indexes of the routes of each host, the longest prefix first.
    routes_by_host: Map<String, Vec<usize>>,
    organisation_by_key: Map<String, usize>,
    service_by_name: Map<Arc<str>, usize>,
}

impl Index {
    /// Builds the lookup tables of a configuration.
    #[must_use]
    pub fn new(config: Arc<Config>) -> Self {
        let mut routes_by_host: Map<String, Vec<usize>> = Map::default();
        for (index, route) in config.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            routes_by_host.entry(host).or_default().push(index);
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(config.routes[*index].prefix.len()));
        }
        let organisations = config.organisations.iter().enumerate();
        let organisation_by_key = organisations
            .flat_map(|(index, organisation)| {
                organisation
                    .keys
                    .iter()
                    .map(move |key| (key.clone(), index))
            })
            .collect();
        let services = config.services.iter().enumerate();
        let service_by_name = services
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        Self {
            config,
            routes_by_host,
            organisation_by_key,
            service_by_name,
        }
    }

    /// Returns the configuration.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the route of the host with the longest matching path prefix.
    ///
    /// The host is compared without its port and without regard to ASCII case.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let without_port = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes_by_host.get(without_port).or_else(|| {
            let lowercase = without_port.to_ascii_lowercase();
            self.routes_by_host.get(&lowercase)
        })?;
        let mut routes = routes.iter().map(|index| &self.config.routes[*index]);
        routes.find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the organisation that an API key belongs to.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        let index = self.organisation_by_key.get(key)?;
        self.config.organisations.get(*index)
    }

    /// Returns the service of a name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.service_by_name.get(name)?;
        self.config.services.get(*index)
    }
}
