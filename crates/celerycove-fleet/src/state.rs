//! The state that the control instances replicate.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use celerycove_rollout::{
    Rollout, Stage,
    order::{self, Version},
};
use celerycove_types::{Violation, id};
use serde::{Deserialize, Serialize};

use crate::config::{Config, ServiceName};

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
    /// Starts the rollout of a version, unless one of the same service was started since the order was
    /// accepted or is running.
    StartRollout {
        /// The service.
        service: ServiceName,
        /// The version that the traffic moves to.
        to: Version,
        /// The other versions that are registered.
        from: BTreeSet<Version>,
        /// The time from the order to its deadline.
        duration: Duration,
        /// The revision of the service's rollout in the state that was the newest when the order was
        /// accepted; zero without one.
        revision: order::Revision,
    },
    /// Records how much time has passed since the order of a running rollout.
    SetRolloutElapsed {
        /// The service.
        service: ServiceName,
        /// The revision of the rollout.
        revision: order::Revision,
        /// The time since the order.
        elapsed: Duration,
    },
    /// Ends a running rollout.
    EndRollout {
        /// The service.
        service: ServiceName,
        /// The revision of the rollout.
        revision: order::Revision,
        /// How it ends.
        stage: Stage,
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
    /// The last rollout of each service.
    #[serde(default)]
    pub rollouts: BTreeMap<ServiceName, Rollout>,
    /// The versions of each service that get no requests: rolled back, or replaced by a completed
    /// rollout. Their servers may still run when the next rollout starts.
    #[serde(default)]
    pub barred: BTreeMap<ServiceName, BTreeSet<Version>>,
}

impl Fleet {
    /// Applies one committed command.
    pub fn apply(&mut self, command: &Command) -> Effect {
        let changed = match command {
            Command::Configure(config) => {
                let is_newer = config.version > self.config.version;
                if is_newer {
                    self.config = config.clone();
                    self.end_rollouts_of_removed_services();
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
            Command::StartRollout {
                service,
                to,
                from,
                duration,
                revision,
            } => {
                let rollout = Rollout {
                    to: to.clone(),
                    from: from.clone(),
                    duration: *duration,
                    revision: revision.saturating_add(1),
                    stage: Stage::Running,
                    elapsed: Duration::ZERO,
                };
                return self.start_rollout(service, rollout);
            }
            Command::SetRolloutElapsed {
                service,
                revision,
                elapsed,
            } => {
                let rollout = self.running_rollout(service, *revision);
                let rollout = rollout.filter(|rollout| rollout.elapsed < *elapsed);
                rollout.map(|rollout| rollout.elapsed = *elapsed).is_some()
            }
            Command::EndRollout {
                service,
                revision,
                stage,
            } => self.end_rollout(service, *revision, *stage),
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

    /// Starts a rollout whose revision follows the one that its order was accepted at.
    fn start_rollout(&mut self, service: &ServiceName, rollout: Rollout) -> Effect {
        let known = self.rollouts.get(service);
        let is_running = known.is_some_and(|known| known.stage == Stage::Running);
        let is_next = self.rollout_revision(service).checked_add(1) == Some(rollout.revision);
        if is_running || !is_next || !self.has_service(service) {
            return Effect::Superseded;
        }
        // Versions without registered servers need not be barred any more.
        if let Some(barred) = self.barred.get_mut(service) {
            barred.retain(|v| rollout.from.contains(v) && *v != rollout.to);
            if barred.is_empty() {
                self.barred.remove(service);
            }
        }
        self.rollouts.insert(service.clone(), rollout);
        Effect::Changed
    }

    /// Returns whether the rollout was running.
    fn end_rollout(
        &mut self,
        service: &ServiceName,
        revision: order::Revision,
        stage: Stage,
    ) -> bool {
        let Some(rollout) = self.running_rollout(service, revision) else {
            return false;
        };
        rollout.stage = stage;
        let (to, from) = (rollout.to.clone(), rollout.from.clone());
        let barred = self.barred.entry(service.clone()).or_default();
        match stage {
            Stage::Running => return false,
            Stage::Completed => {
                barred.extend(from);
                barred.remove(&to);
            }
            Stage::RolledBack => {
                barred.insert(to);
            }
        }
        true
    }

    /// A service that the configuration no longer has gets no requests, so nothing can be learned
    /// about its new version.
    fn end_rollouts_of_removed_services(&mut self) {
        let rollouts = self.rollouts.iter();
        let removed: Vec<_> = rollouts
            .filter(|(service, _)| !self.has_service(service))
            .map(|(service, rollout)| (service.clone(), rollout.revision))
            .collect();
        for (service, revision) in removed {
            self.end_rollout(&service, revision, Stage::RolledBack);
        }
    }

    fn running_rollout(
        &mut self,
        service: &str,
        revision: order::Revision,
    ) -> Option<&mut Rollout> {
        let rollout = self.rollouts.get_mut(service)?;
        (rollout.revision == revision && rollout.stage == Stage::Running).then_some(rollout)
    }

    /// The revision of the last rollout of a service; zero without one.
    #[must_use]
    pub fn rollout_revision(&self, service: &str) -> order::Revision {
        let rollout = self.rollouts.get(service);
        rollout.map_or(0, |rollout| rollout.revision)
    }

    /// Whether the configuration has a service of this name.
    #[must_use]
    pub fn has_service(&self, service: &str) -> bool {
        let mut services = self.config.services.iter();
        services.any(|known| *known.name == *service)
    }

    /// Checks the state's invariants.
    ///
    /// # Errors
    ///
    /// Returns the violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        Violation::unless(self.config.check().is_ok(), "config-valid", || {
            format!("version {}", self.config.version)
        })?;
        let barred = |service, version| {
            let versions: Option<&BTreeSet<Version>> = self.barred.get(service);
            versions.is_some_and(|versions| versions.contains(version))
        };
        let misplaced = self.rollouts.iter().find(|(service, rollout)| {
            let is_rolled_back = rollout.stage == Stage::RolledBack;
            barred(*service, &rollout.to) != is_rolled_back
        });
        Violation::unless(misplaced.is_none(), "barred-only-if-rolled-back", || {
            format!("{misplaced:?}")
        })
    }
}
