//! Caches pools of backend servers by traffic class and target; they are rebuilt when the shared
//! state changes.

use std::sync::{Arc, Mutex, PoisonError, RwLock};

use celerycove_config::select::{Class, classify, traffic_labels};
use celerycove_route::{Pool, Stats, pool::Target};
use celerycove_types::{Map, id};

use crate::state::Snapshot;

/// The attributes by which traffic is classified.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Traffic {
    pub(super) organisation: Option<id::Organisation>,
    /// Set only if operators have labelled the program.
    pub(super) program: Option<id::Program>,
    pub(super) target: Target,
}

/// The traffic classes under one version of the configuration.
#[derive(Default)]
struct ClassCache {
    version: id::Version,
    by_traffic: Map<Traffic, Arc<Class>>,
}

/// The pools for one generation of the shared state.
#[derive(Default)]
struct PoolCache {
    generation: u64,
    pools: Map<(Arc<Class>, Target), Arc<Pool>>,
}

/// All pools of this entry, and the load of all backend servers as far as this entry knows it.
pub(super) struct Pools {
    data_centre: id::DataCentre,
    classes: RwLock<ClassCache>,
    by_class: RwLock<PoolCache>,
    stats: Mutex<Map<id::Backend, Arc<Stats>>>,
}

impl Pools {
    pub(super) fn new(data_centre: id::DataCentre) -> Self {
        Self {
            data_centre,
            classes: RwLock::default(),
            by_class: RwLock::default(),
            stats: Mutex::default(),
        }
    }

    /// Returns the pool for the traffic, from the cache if the view has not changed.
    pub(super) fn get(&self, view: &Snapshot, traffic: &Traffic) -> Arc<Pool> {
        let key = (self.class(view, traffic), traffic.target.clone());
        {
            let cache = self.by_class.read().unwrap_or_else(PoisonError::into_inner);
            if cache.generation == view.generation
                && let Some(pool) = cache.pools.get(&key)
            {
                return pool.clone();
            }
        }
        let pool = Arc::new(self.build(view, &key.0, &key.1));
        let mut cache = self
            .by_class
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if cache.generation < view.generation {
            cache.pools.clear();
            cache.generation = view.generation;
        }
        if cache.generation == view.generation {
            cache.pools.insert(key, pool.clone());
        }
        pool
    }

    fn class(&self, view: &Snapshot, traffic: &Traffic) -> Arc<Class> {
        let version = view.config.version;
        {
            let cache = self.classes.read().unwrap_or_else(PoisonError::into_inner);
            if cache.version == version
                && let Some(class) = cache.by_traffic.get(traffic)
            {
                return class.clone();
            }
        }
        let model = match &traffic.target {
            Target::Model(model) => Some(model.as_str()),
            Target::Route(_) => None,
        };
        let labels = traffic_labels(
            &view.config,
            traffic.organisation.as_ref(),
            traffic.program.as_ref(),
            model,
        );
        let class = Arc::new(classify(&view.config, &labels));
        let mut cache = self.classes.write().unwrap_or_else(PoisonError::into_inner);
        if cache.version < version {
            cache.by_traffic.clear();
            cache.version = version;
        }
        if cache.version == version {
            cache.by_traffic.insert(traffic.clone(), class.clone());
        }
        class
    }

    fn build(&self, view: &Snapshot, class: &Class, target: &Target) -> Pool {
        Pool::build(
            &view.config,
            view.directory.live(),
            class,
            target,
            &self.data_centre,
            |backend| self.stats(backend),
        )
    }

    fn stats(&self, backend: &id::Backend) -> Arc<Stats> {
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        stats.entry(backend.clone()).or_default().clone()
    }
}
