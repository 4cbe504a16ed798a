//! Bounded set of the programs seen most recently.

use std::collections::VecDeque;

use celerycove_types::{Set, id};

/// Limit on remembered programs: several times the programs that run through one entry at a time.
const CAPACITY: usize = 8_192;

/// The programs seen most recently; the oldest is evicted first.
#[derive(Debug, Default)]
pub(super) struct Programs {
    known: Set<id::Program>,
    insertion_order: VecDeque<id::Program>,
}

impl Programs {
    /// Returns whether a program was seen recently.
    pub(super) fn contains(&self, program: &id::Program) -> bool {
        self.known.contains(program)
    }

    /// Adds a program, evicting the oldest if the set is full.
    pub(super) fn insert(&mut self, program: id::Program) {
        if !self.known.insert(program.clone()) {
            return;
        }
        self.insertion_order.push_back(program);
        if self.insertion_order.len() > CAPACITY
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }
}
