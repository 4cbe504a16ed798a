//! Names that were seen lately.

use std::collections::VecDeque;

use celerycove_types::{Set, id};

/// How many names are remembered: the programs under way through one entry, several times over.
const CAPACITY: usize = 8_192;

/// The names seen last.
#[derive(Debug, Default)]
pub(super) struct Recent {
    names: Set<id::Program>,
    order: VecDeque<id::Program>,
}

impl Recent {
    /// Whether a name was seen lately.
    pub(super) fn contains(&self, name: &id::Program) -> bool {
        self.names.contains(name)
    }

    /// Remembers a name.
    pub(super) fn insert(&mut self, name: id::Program) {
        if !self.names.insert(name.clone()) {
            return;
        }
        self.order.push_back(name);
        if self.order.len() > CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.names.remove(&oldest);
        }
    }
}
