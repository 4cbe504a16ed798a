//! What entries know of the engines.

use std::{collections::BTreeMap, sync::Arc};

use celerycove_config::Config;
use celerycove_route::{Pool, Stats, pool::Target};
use celerycove_sync::{
    Announcement, Availability, Backend,
    announce::{Kind as BackendKind, Model},
};
use celerycove_types::{Labels, id};

use super::{ENTRIES, Replay, backend};
use crate::engine::Engine;

impl Replay<'_> {
    /// Each entry has a pool of the engines that take work, and keeps what it knows of their load.
    pub(super) fn build_pools(&mut self) {
        let known: Vec<BTreeMap<id::Backend, Arc<Stats>>> = self
            .pools
            .iter()
            .map(|pool| {
                pool.members()
                    .iter()
                    .map(|m| (m.backend.clone(), m.stats.clone()))
                    .collect()
            })
            .collect();
        let announced: Vec<Announcement> = (0..self.engines.len())
            .filter(|engine| !self.closed[*engine])
            .map(|engine| announcement(engine, &self.engines[engine]))
            .collect();
        self.pools = (0..ENTRIES)
            .map(|entry| {
                Pool::build(
                    &Config::default(),
                    announced.iter(),
                    &Vec::new(),
                    &Target::Model("m".to_owned()),
                    &format!("dc{entry}").into(),
                    |backend| {
                        known
                            .get(entry)
                            .and_then(|k| k.get(backend))
                            .cloned()
                            .unwrap_or_default()
                    },
                )
            })
            .collect();
    }
}

fn announcement(engine: usize, found: &Engine) -> Announcement {
    Announcement {
        process: format!("s{engine}").into(),
        incarnation: 1,
        revision: 1,
        data_centre: format!("dc{}", found.set.data_centre).into(),
        address: ([127, 0, 0, 1], 1).into(),
        availability: Availability::Serving,
        shard_incarnation: None,
        caught_up_learners: Vec::new(),
        backend: Some(Backend {
            id: backend(engine),
            kind: BackendKind::Engine,
            labels: Labels::new(),
            models: vec![Model {
                name: "m".to_owned(),
                version: "1".to_owned(),
                adapters: Vec::new(),
            }],
            route: None,
            capacity: found.set.capacity,
            failing: false,
        }),
        relay: false,
    }
}
