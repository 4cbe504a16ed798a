//! A configuration with its latest steps, so that followers can be sent only what they lack.

use std::{collections::VecDeque, sync::Arc};

use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::{apply::apply, change::Change, document::Config};

/// How many steps a feed remembers; a follower further behind gets the whole configuration.
pub const REMEMBERED_STEPS: usize = 512;

/// The changes that made one version out of the one before.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The version made.
    pub version: id::Version,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// What a follower lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The steps after the follower's version; empty if it has the newest.
    Steps(Vec<Step>),
    /// The whole configuration.
    Whole(Box<Config>),
}

/// A configuration and how it came about.
#[derive(Debug, Clone, Default)]
pub struct Feed {
    config: Arc<Config>,
    recent: VecDeque<Step>,
}

impl Feed {
    /// Starts from a configuration whose steps are not known.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            config: Arc::new(config),
            recent: VecDeque::new(),
        }
    }

    /// The newest version held.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// What a follower at `version` lacks.
    #[must_use]
    pub fn since(&self, version: id::Version) -> Update {
        let newest = self.config.version;
        if version >= newest {
            return Update::Steps(Vec::new());
        }
        match self.recent.front() {
            Some(first) if first.version <= version + 1 => Update::Steps(
                self.recent
                    .iter()
                    .filter(|step| step.version > version)
                    .cloned()
                    .collect(),
            ),
            _ => Update::Whole(Box::new((*self.config).clone())),
        }
    }

    /// Takes an update in and tells whether the version moved; it never moves back.
    pub fn update(&mut self, update: Update) -> bool {
        let before = self.config.version;
        match update {
            Update::Whole(config) => {
                if config.version > before {
                    *self = Self::new(*config);
                }
            }
            Update::Steps(steps) => steps.into_iter().for_each(|step| self.push(step)),
        }
        self.config.version > before
    }

    fn push(&mut self, step: Step) {
        if step.version != self.config.version + 1 {
            return;
        }
        let config = Arc::make_mut(&mut self.config);
        for change in &step.changes {
            // An accepted step applies cleanly to the version it was judged against.
            let applied = apply(config, change);
            debug_assert_eq!(applied, Ok(()));
        }
        config.version = step.version;
        self.recent.push_back(step);
        if self.recent.len() > REMEMBERED_STEPS {
            self.recent.pop_front();
        }
    }
}
