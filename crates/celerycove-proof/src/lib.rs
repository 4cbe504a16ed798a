//! Seeded randomised runs over the decision machines, with invariants checked after each step.
//!
//! A run delivers messages late, doubled, crossed or not at all, cuts links, kills and restarts
//! processes, and lets their clocks run at different rates. One seed gives one run.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod disk;
pub mod net;
pub mod world;

use celerycove_types::Violation;

/// One kind of run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum World {
    /// The control log, operators who race, and followers.
    Control,
    /// Program shards, callers who resend, engines and services.
    Program,
    /// Leased tokens.
    Limit,
    /// The sidecar's queue.
    Queue,
    /// The stores' log: turns by name, budgets, members that change.
    Turns,
}

/// All kinds of runs.
pub const WORLDS: [World; 5] = [
    World::Control,
    World::Program,
    World::Limit,
    World::Queue,
    World::Turns,
];

/// A broken invariant and where it was seen.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{world:?} seed {seed} step {step}: {violation}")]
pub struct Failure {
    /// The kind of run.
    pub world: World,
    /// Its seed.
    pub seed: u64,
    /// The step after which it was seen.
    pub step: usize,
    /// What is broken.
    #[source]
    pub violation: Violation,
}

impl World {
    /// Runs `steps` steps from a seed, then heals all faults and asks for progress. Gives the
    /// number of events that mattered: answers, spends or starts.
    ///
    /// # Errors
    ///
    /// Returns the first broken invariant.
    pub fn run(self, seed: u64, steps: usize) -> Result<u64, Failure> {
        let mut step = 0;
        let result = match self {
            Self::Control => world::control::run(seed, steps, &mut step),
            Self::Program => world::program::run(seed, steps, &mut step),
            Self::Limit => world::limit::run(seed, steps, &mut step),
            Self::Queue => world::queue::run(seed, steps, &mut step),
            Self::Turns => world::turns::run(seed, steps, &mut step),
        };
        result.map_err(|violation| Failure {
            world: self,
            seed,
            step,
            violation,
        })
    }
}
