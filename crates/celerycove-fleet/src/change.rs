//! The difference between two states of a fleet, for receivers that hold the earlier one.
//!
//! A configuration with its routes and organisations is by far the largest part of the state, and
//! most changes touch a few of its items or none. A [`Change`] replaces whole small parts and single
//! items of large ones.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use bytes::Bytes;
use celerycove_rollout::{Rollout, order::Version};
use celerycove_types::{Map, id};
use serde::{Deserialize, Serialize};

use crate::{
    Config, Fleet,
    config::{Limits, Organisation, Route, Service, ServiceName},
    state::Revision,
};

/// What changed from an earlier to a later state. A field is `None` if that part is unchanged.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Change {
    config: Option<ConfigChange>,
    evacuated: Option<BTreeSet<id::DataCentre>>,
    #[serde(default)]
    revisions: Option<BTreeMap<id::DataCentre, Revision>>,
    entries: Option<BTreeMap<id::Process, id::DataCentre>>,
    founders: Option<BTreeSet<id::Process>>,
    retiring: Option<BTreeMap<Arc<str>, id::Process>>,
    #[serde(default)]
    rollouts: Option<BTreeMap<ServiceName, Rollout>>,
    #[serde(default)]
    barred: Option<BTreeMap<ServiceName, BTreeSet<Version>>>,
}

/// What changed in the configuration. The source text is never included.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ConfigChange {
    version: id::Version,
    routes: Option<ListChange<Arc<Route>>>,
    services: Option<Vec<Service>>,
    limits: Option<Limits>,
    organisations: Option<ListChange<Organisation>>,
}

/// What changed in a list whose items have keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum ListChange<T> {
    /// The whole new list.
    Whole(Vec<T>),
    /// Single items: removed ones by their key, and new or changed ones. Changed items keep their
    /// place, new ones are appended.
    Items { removed: Vec<String>, set: Vec<T> },
}

/// An item of a list, identified by a key.
trait Keyed: Clone + PartialEq {
    fn key(&self) -> String;
}

impl Keyed for Arc<Route> {
    /// Two routes never share host and prefix, and neither contains a line feed.
    fn key(&self) -> String {
        format!("{}\n{}", self.host, self.prefix)
    }
}

impl Keyed for Organisation {
    fn key(&self) -> String {
        self.name.to_string()
    }
}

impl Change {
    /// Returns what changed from `before` to `after`.
    #[must_use]
    pub fn between(before: &Fleet, after: &Fleet) -> Self {
        Self {
            config: ConfigChange::between(&before.config, &after.config),
            evacuated: changed(&before.evacuated, &after.evacuated),
            revisions: changed(&before.revisions, &after.revisions),
            entries: changed(&before.entries, &after.entries),
            founders: changed(&before.founders, &after.founders),
            retiring: changed(&before.retiring, &after.retiring),
            rollouts: changed(&before.rollouts, &after.rollouts),
            barred: changed(&before.barred, &after.barred),
        }
    }

    /// Returns the state after the change. `fleet` must be the state before it, except for the
    /// source text of the configuration.
    #[must_use]
    pub fn apply(&self, fleet: &Fleet) -> Fleet {
        let config = match &self.config {
            Some(change) => Arc::new(change.apply(&fleet.config)),
            None => fleet.config.clone(),
        };
        Fleet {
            config,
            evacuated: self.evacuated.as_ref().unwrap_or(&fleet.evacuated).clone(),
            revisions: self.revisions.as_ref().unwrap_or(&fleet.revisions).clone(),
            entries: self.entries.as_ref().unwrap_or(&fleet.entries).clone(),
            founders: self.founders.as_ref().unwrap_or(&fleet.founders).clone(),
            retiring: self.retiring.as_ref().unwrap_or(&fleet.retiring).clone(),
            rollouts: self.rollouts.as_ref().unwrap_or(&fleet.rollouts).clone(),
            barred: self.barred.as_ref().unwrap_or(&fleet.barred).clone(),
        }
    }
}

impl ConfigChange {
    fn between(before: &Config, after: &Config) -> Option<Self> {
        (before.version != after.version).then(|| Self {
            version: after.version,
            routes: ListChange::between(&before.routes, &after.routes),
            services: changed(&before.services, &after.services),
            limits: changed(&before.limits, &after.limits),
            organisations: ListChange::between(&before.organisations, &after.organisations),
        })
    }

    fn apply(&self, config: &Config) -> Config {
        let routes = self.routes.as_ref().map(|list| list.apply(&config.routes));
        let organisations = self.organisations.as_ref();
        let organisations = organisations.map(|list| list.apply(&config.organisations));
        Config {
            version: self.version,
            source: Bytes::new(),
            routes: routes.unwrap_or_else(|| config.routes.clone()),
            services: self.services.as_ref().unwrap_or(&config.services).clone(),
            limits: self.limits.unwrap_or(config.limits),
            organisations: organisations.unwrap_or_else(|| config.organisations.clone()),
        }
    }
}

impl<T: Keyed> ListChange<T> {
    fn between(before: &[T], after: &[T]) -> Option<Self> {
        if before == after {
            return None;
        }
        let old: Map<String, &T> = before.iter().map(|item| (item.key(), item)).collect();
        let new: BTreeSet<String> = after.iter().map(Keyed::key).collect();
        let removed = before.iter().map(Keyed::key);
        let set = after
            .iter()
            .filter(|item| old.get(&item.key()) != Some(item));
        let items = Self::Items {
            removed: removed.filter(|key| !new.contains(key)).collect(),
            set: set.cloned().collect(),
        };
        // Items with equal keys or in another order can only be sent as a whole list.
        let is_exact = items.apply(before) == after;
        Some(if is_exact {
            items
        } else {
            Self::Whole(after.to_vec())
        })
    }

    fn apply(&self, list: &[T]) -> Vec<T> {
        let (removed, set) = match self {
            Self::Whole(list) => return list.clone(),
            Self::Items { removed, set } => (removed, set),
        };
        let mut set_by_key: Map<String, &T> = set.iter().map(|item| (item.key(), item)).collect();
        let kept = list.iter().filter(|item| !removed.contains(&item.key()));
        let mut items: Vec<T> = kept
            .map(|item| set_by_key.remove(&item.key()).unwrap_or(item).clone())
            .collect();
        let added = set
            .iter()
            .filter(|item| set_by_key.contains_key(&item.key()));
        items.extend(added.cloned());
        items
    }
}

fn changed<T: Clone + PartialEq>(before: &T, after: &T) -> Option<T> {
    (before != after).then(|| after.clone())
}
