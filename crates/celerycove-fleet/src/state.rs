//! The state that the control instances replicate.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use celerycove_types::{Violation, id};
use serde::{Deserialize, Serialize};

use crate::config::Config;

/// How often an evacuation of a data centre was started or reversed.
pub type Revision = u64;

/// A command in the replicated control log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration if the version is higher.
    Configure(Arc<Config>),
    /// Stops sending new requests to the backend servers of a data centre. Only in logs of earlier
    /// versions, like [`Restore`](Self::Restore).
    Evacuate(id::DataCentre),
    /// Reverses an evacuation.
    Restore(id::DataCentre),
    /// Starts or reverses an evacuation, unless one was started or reversed since the order was
    /// accepted: an order that was delayed on its way must not undo a later one.
    SetEvacuated {
        /// The data centre.
        data_centre: id::DataCentre,
        /// Whether its backend servers get no new requests from now on.
        evacuated: bool,
        /// The data centre's revision in the state that was the newest when the order was accepted.
        revision: Revision,
    },
    /// Adds an entry process to those that share the rate limits.
    Admit {
        /// The entry process.
        entry: id::Process,
        /// The data centre that it runs in.
        data_centre: id::DataCentre,
    },
    /// Removes an entry process that has not been heard from for a long time.
    Dismiss(id::Process),
    /// Sets the initial members of the stores' log; has an effect only the first time.
    FoundStores(BTreeSet<id::Process>),
    /// Starts moving all data off a store, to take it out of service.
    Retire {
        /// The store.
        store: id::Process,
        /// The instance that the store runs on, which is how operators refer to it.
        instance: Arc<str>,
    },
}

/// The effect of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// The state changed.
    Changed,
    /// The state already was as requested, or the command was outdated.
    Unchanged,
    /// The order was accepted before the state that it is about last changed, and had no effect.
    Superseded,
}

/// The replicated state.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Fleet {
    /// The newest configuration; version zero until the first one is set.
    pub config: Arc<Config>,
    /// Data centres whose backend servers get no new requests.
    pub evacuated: BTreeSet<id::DataCentre>,
    /// How often the evacuation of each data centre was started or reversed.
    #[serde(default)]
    pub revisions: BTreeMap<id::DataCentre, Revision>,
    /// The entry processes that share the rate limits, with their data centres.
    pub entries: BTreeMap<id::Process, id::DataCentre>,
    /// The initial members of the stores' log; empty until they are set.
    pub founders: BTreeSet<id::Process>,
    /// Stores that are being or have been taken out of service, by the instance they run on.
    pub retiring: BTreeMap<Arc<str>, id::Process>,
}

impl Fleet {
    /// Applies one committed command.
    pub fn apply(&mut self, command: &Command) -> Effect {
        let changed = match command {
            Command::Configure(config) => {
                let is_newer = config.version > self.config.version;
                if is_newer {
                    self.config = config.clone();
                }
                is_newer
            }
            Command::Evacuate(data_centre) => self.set_evacuated(data_centre, true),
            Command::Restore(data_centre) => self.set_evacuated(data_centre, false),
            Command::SetEvacuated {
                data_centre,
                evacuated,
                revision,
            } => {
                if self.revision(data_centre) != *revision {
                    return Effect::Superseded;
                }
                self.set_evacuated(data_centre, *evacuated)
            }
            Command::Admit { entry, data_centre } => self
                .entries
                .insert(entry.clone(), data_centre.clone())
                .is_none_or(|previous| previous != *data_centre),
            Command::Dismiss(entry) => self.entries.remove(entry).is_some(),
            Command::FoundStores(members) => {
                let is_first = self.founders.is_empty();
                if is_first {
                    self.founders.clone_from(members);
                }
                is_first
            }
            Command::Retire { store, instance } => self
                .retiring
                .insert(instance.clone(), store.clone())
                .is_none_or(|previous| previous != *store),
        };
        if changed {
            Effect::Changed
        } else {
            Effect::Unchanged
        }
    }

    /// The revision of a data centre.
    #[must_use]
    pub fn revision(&self, data_centre: &id::DataCentre) -> Revision {
        self.revisions.get(data_centre).copied().unwrap_or_default()
    }

    /// Returns whether the state changed.
    fn set_evacuated(&mut self, data_centre: &id::DataCentre, evacuated: bool) -> bool {
        let changed = if evacuated {
            self.evacuated.insert(data_centre.clone())
        } else {
            self.evacuated.remove(data_centre)
        };
        if changed {
            *self.revisions.entry(data_centre.clone()).or_default() += 1;
        }
        changed
    }

    /// Checks the state's invariants.
    ///
    /// # Errors
    ///
    /// Returns the violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        Violation::unless(self.config.check().is_ok(), "config-valid", || {
            format!("version {}", self.config.version)
        })
    }
}
