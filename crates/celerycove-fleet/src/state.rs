//! What the control instances agree on.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use celerycove_types::{Violation, id};
use serde::{Deserialize, Serialize};

use crate::config::Config;

/// One command of the control log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration if the version is higher.
    Configure(Arc<Config>),
    /// Keeps new work from the backend servers of a data centre.
    Evacuate(id::DataCentre),
    /// Takes an evacuation back.
    Restore(id::DataCentre),
    /// Lets an entry share in the allowances.
    Admit {
        /// The entry.
        entry: id::Process,
        /// Where it stands.
        data_centre: id::DataCentre,
    },
    /// Forgets an entry that has been silent for long.
    Dismiss(id::Process),
    /// Names the first members of the stores' log, once.
    FoundStores(BTreeSet<id::Process>),
    /// Empties a store.
    Retire {
        /// The store.
        store: id::Process,
        /// The instance that it runs on, by which operators name it.
        instance: Arc<str>,
    },
}

/// What a command gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// The state changed.
    Changed,
    /// The state was so already, or the command was outdated.
    Unchanged,
}

/// The agreed state.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Fleet {
    /// The newest configuration; version zero before the first.
    pub config: Arc<Config>,
    /// Data centres whose backend servers get no new work.
    pub evacuated: BTreeSet<id::DataCentre>,
    /// The entries that share allowances, and where they stand.
    pub entries: BTreeMap<id::Process, id::DataCentre>,
    /// The first members of the stores' log; empty until they are named.
    pub founders: BTreeSet<id::Process>,
    /// Stores that are being emptied or have been, by the instance that they run on.
    pub retiring: BTreeMap<Arc<str>, id::Process>,
}

impl Fleet {
    /// Applies one committed command.
    pub fn apply(&mut self, command: &Command) -> Effect {
        let changed = match command {
            Command::Configure(config) => {
                let newer = config.version > self.config.version;
                if newer {
                    self.config = config.clone();
                }
                newer
            }
            Command::Evacuate(data_centre) => self.evacuated.insert(data_centre.clone()),
            Command::Restore(data_centre) => self.evacuated.remove(data_centre),
            Command::Admit { entry, data_centre } => self
                .entries
                .insert(entry.clone(), data_centre.clone())
                .is_none_or(|before| before != *data_centre),
            Command::Dismiss(entry) => self.entries.remove(entry).is_some(),
            Command::FoundStores(members) => {
                let first = self.founders.is_empty();
                if first {
                    self.founders.clone_from(members);
                }
                first
            }
            Command::Retire { store, instance } => self
                .retiring
                .insert(instance.clone(), store.clone())
                .is_none_or(|before| before != *store),
        };
        if changed {
            Effect::Changed
        } else {
            Effect::Unchanged
        }
    }

    /// Checks the state's invariants.
    ///
    /// # Errors
    ///
    /// Returns the broken invariant.
    pub fn check(&self) -> Result<(), Violation> {
        Violation::unless(self.config.check().is_ok(), "config-valid", || {
            format!("version {}", self.config.version)
        })
    }
}
