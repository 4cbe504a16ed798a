//! Pools of backend servers by traffic and target, rebuilt when the shared state changes.

use std::sync::{Arc, Mutex, PoisonError, RwLock};

use celerycove_config::select::traffic_labels;
use celerycove_route::{Pool, Stats, pool::Target};
use celerycove_types::{Map, id};

use crate::share::View;

/// What a pool is built for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Traffic {
    pub(super) organisation: Option<id::Organisation>,
    /// Only a program that operators labelled has a pool of its own.
    pub(super) program: Option<id::Program>,
    pub(super) target: Target,
}

#[derive(Default)]
struct Built {
    generation: u64,
    pools: Map<Traffic, Arc<Pool>>,
}

/// All pools of this entry, and the load of all backend servers as it knows it.
pub(super) struct Pools {
    data_centre: id::DataCentre,
    built: RwLock<Built>,
    stats: Mutex<Map<id::Backend, Arc<Stats>>>,
}

impl Pools {
    pub(super) fn new(data_centre: id::DataCentre) -> Self {
        Self {
            data_centre,
            built: RwLock::default(),
            stats: Mutex::default(),
        }
    }

    pub(super) fn get(&self, view: &View, traffic: &Traffic) -> Arc<Pool> {
        {
            let built = self.built.read().unwrap_or_else(PoisonError::into_inner);
            if built.generation == view.generation
                && let Some(pool) = built.pools.get(traffic)
            {
                return pool.clone();
            }
        }
        let pool = Arc::new(self.build(view, traffic));
        let mut built = self.built.write().unwrap_or_else(PoisonError::into_inner);
        if built.generation < view.generation {
            built.pools.clear();
            built.generation = view.generation;
        }
        if built.generation == view.generation {
            built.pools.insert(traffic.clone(), pool.clone());
        }
        pool
    }

    fn build(&self, view: &View, traffic: &Traffic) -> Pool {
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
        Pool::build(
            &view.config,
            view.directory.live(),
            &labels,
            &traffic.target,
            &self.data_centre,
            |backend| self.stats(backend),
        )
    }

    fn stats(&self, backend: &id::Backend) -> Arc<Stats> {
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        stats.entry(backend.clone()).or_default().clone()
    }
}
