//! The order to move a service to a version, as committed by control.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};

/// Software version of a backend server.
pub type Version = Arc<str>;
/// Revision of a service's rollout; each rollout of the service increments it.
pub type Revision = u64;

/// A rollout of one service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version that the traffic moves to.
    pub to: Version,
    /// The other versions that were registered when the order was accepted.
    pub from: BTreeSet<Version>,
    /// Time from the order to its deadline.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub duration: Duration,
    /// Revision of the service's rollout.
    pub revision: Revision,
    /// Whether the rollout is running, and how it ended.
    pub stage: Stage,
    /// Time since the order, as far as it has been committed; never more than has passed.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub elapsed: Duration,
}

/// Stage of a rollout; all but `Running` are final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Traffic is being moved.
    Running,
    /// All traffic goes to the new version; the old servers may be stopped.
    Completed,
    /// All traffic goes to the old versions.
    RolledBack,
}
