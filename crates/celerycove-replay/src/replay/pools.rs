//! The pools of engines that entries route to.

use std::{collections::BTreeMap, sync::Arc};

use celerycove_config::Config;
use celerycove_route::{Pool, Stats, pool::Target};
use celerycove_sync::{
    Announcement, Availability, Backend,
    announce::{Kind as BackendKind, Model},
};
use celerycove_types::{Labels, id};

use super::{ENTRIES, Replay, backend_id};
use crate::engine::Engine;

impl Replay<'_> {
    /// Rebuilds the pool of each entry from the engines that are not drained, and keeps the load
    /// statistics that the entry has collected.
    pub(super) fn build_pools(&mut self) {
        let stats_by_entry: Vec<BTreeMap<id::Backend, Arc<Stats>>> = self
            .pools
            .iter()
            .map(|pool| {
                pool.members()
                    .iter()
                    .map(|member| (member.backend.clone(), member.stats.clone()))
                    .collect()
            })
            .collect();
        let announcements: Vec<Announcement> = (0..self.engines.len())
            .filter(|index| !self.drained[*index])
            .map(|index| announcement(index, &self.engines[index]))
            .collect();
        self.pools = (0..ENTRIES)
            .map(|entry| {
                Pool::build(
                    &Config::default(),
                    announcements.iter(),
                    &Vec::new(),
                    &Target::Model("m".to_owned()),
                    &format!("dc{entry}").into(),
                    |backend| {
                        stats_by_entry
                            .get(entry)
                            .and_then(|stats| stats.get(backend))
                            .cloned()
                            .unwrap_or_default()
                    },
                )
            })
            .collect();
    }
}

fn announcement(index: usize, engine: &Engine) -> Announcement {
    Announcement {
        process: format!("s{index}").into(),
        incarnation: 1,
        revision: 1,
        data_centre: format!("dc{}", engine.spec.data_centre).into(),
        address: ([127, 0, 0, 1], 1).into(),
        availability: Availability::Serving,
        shard_incarnation: None,
        caught_up_learners: Vec::new(),
        backend: Some(Backend {
            id: backend_id(index),
            kind: BackendKind::Engine,
            labels: Labels::new(),
            models: vec![Model {
                name: "m".to_owned(),
                version: "1".to_owned(),
                adapters: Vec::new(),
            }],
            route: None,
            capacity: engine.spec.capacity,
            failing: false,
        }),
        relay: false,
    }
}
