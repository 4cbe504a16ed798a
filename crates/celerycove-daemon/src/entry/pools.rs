//! Pools of backend servers by class of traffic and target, rebuilt when the shared state changes.

use std::sync::{Arc, Mutex, PoisonError, RwLock};

use celerycove_config::select::{Class, class, traffic_labels};
use celerycove_route::{Pool, Stats, pool::Target};
use celerycove_types::{Map, id};

use crate::share::View;

/// What traffic is told apart by.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Traffic {
    pub(super) organisation: Option<id::Organisation>,
    /// Only a program that operators labelled is told apart.
    pub(super) program: Option<id::Program>,
    pub(super) target: Target,
}

/// What lives for one version of the configuration.
#[derive(Default)]
struct Classes {
    version: id::Version,
    classes: Map<Traffic, Arc<Class>>,
}

/// What lives for one view of the shared state.
#[derive(Default)]
struct Built {
    generation: u64,
    pools: Map<(Arc<Class>, Target), Arc<Pool>>,
}

/// All pools of this entry, and the load of all backend servers as it knows it.
pub(super) struct Pools {
    data_centre: id::DataCentre,
    classes: RwLock<Classes>,
    built: RwLock<Built>,
    stats: Mutex<Map<id::Backend, Arc<Stats>>>,
}

impl Pools {
    pub(super) fn new(data_centre: id::DataCentre) -> Self {
        Self {
            data_centre,
            classes: RwLock::default(),
            built: RwLock::default(),
            stats: Mutex::default(),
        }
    }

    pub(super) fn get(&self, view: &View, traffic: &Traffic) -> Arc<Pool> {
        let key = (self.class(view, traffic), traffic.target.clone());
        {
            let built = self.built.read().unwrap_or_else(PoisonError::into_inner);
            if built.generation == view.generation
                && let Some(pool) = built.pools.get(&key)
            {
                return pool.clone();
            }
        }
        let pool = Arc::new(self.build(view, &key.0, &key.1));
        let mut built = self.built.write().unwrap_or_else(PoisonError::into_inner);
        if built.generation < view.generation {
            built.pools.clear();
            built.generation = view.generation;
        }
        if built.generation == view.generation {
            built.pools.insert(key, pool.clone());
        }
        pool
    }

    fn class(&self, view: &View, traffic: &Traffic) -> Arc<Class> {
        let version = view.config.version;
        {
            let classes = self.classes.read().unwrap_or_else(PoisonError::into_inner);
            if classes.version == version
                && let Some(class) = classes.classes.get(traffic)
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
        let class = Arc::new(class(&view.config, &labels));
        let mut classes = self.classes.write().unwrap_or_else(PoisonError::into_inner);
        if classes.version < version {
            classes.classes.clear();
            classes.version = version;
        }
        if classes.version == version {
            classes.classes.insert(traffic.clone(), class.clone());
        }
        class
    }

    fn build(&self, view: &View, class: &Class, target: &Target) -> Pool {
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
