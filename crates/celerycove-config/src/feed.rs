//! The configuration with a bounded history of changes, for incremental updates to followers.

use std::{collections::VecDeque, sync::Arc};

use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::{apply::apply, change::Change, document::Config};

/// Steps kept for incremental updates; a follower further behind gets the full configuration.
pub const MAX_RECENT_STEPS: usize = 512;

/// The changes between one version and the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The version that the changes lead to.
    pub version: id::Version,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// The data that brings a follower up to date.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The steps after the follower's version; empty if it is up to date.
    Steps(Vec<Step>),
    /// The full configuration.
    Whole(Box<Config>),
}

/// The current configuration and the latest steps that led to it.
#[derive(Debug, Clone, Default)]
pub struct Feed {
    config: Arc<Config>,
    recent_steps: VecDeque<Step>,
}

impl Feed {
    /// Starts from a configuration, without history.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            config: Arc::new(config),
            recent_steps: VecDeque::new(),
        }
    }

    /// Returns the current configuration.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the update that a follower at `version` needs.
    #[must_use]
    pub fn update_since(&self, version: id::Version) -> Update {
        let current = self.config.version;
        if version >= current {
            return Update::Steps(Vec::new());
        }
        match self.recent_steps.front() {
            Some(first) if first.version <= version + 1 => Update::Steps(
                self.recent_steps
                    .iter()
                    .filter(|step| step.version > version)
                    .cloned()
                    .collect(),
            ),
            _ => Update::Whole(Box::new((*self.config).clone())),
        }
    }

    /// Applies an update and returns whether the version advanced; older updates are ignored.
    pub fn apply(&mut self, update: Update) -> bool {
        let before = self.config.version;
        match update {
            Update::Whole(config) => {
                if config.version > before {
                    *self = Self::new(*config);
                }
            }
            Update::Steps(steps) => steps.into_iter().for_each(|step| self.apply_step(step)),
        }
        self.config.version > before
    }

    fn apply_step(&mut self, step: Step) {
        if step.version != self.config.version + 1 {
            return;
        }
        let config = Arc::make_mut(&mut self.config);
        for change in &step.changes {
            // The leader validated the step against exactly this version.
            let result = apply(config, change);
            debug_assert_eq!(result, Ok(()));
        }
        config.version = step.version;
        self.recent_steps.push_back(step);
        if self.recent_steps.len() > MAX_RECENT_STEPS {
            self.recent_steps.pop_front();
        }
    }
}
