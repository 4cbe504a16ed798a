//! Seeded randomised simulations of the state machines, with invariants checked after each step.
//!
//! A run delays, duplicates, reorders and drops messages, cuts links, kills and restarts processes,
//! and lets their clocks run at different rates. The same seed always gives the same run.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod disk;
pub mod net;
pub mod world;

use celerycove_types::Violation;

/// A simulated part of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum World {
    /// The control log with concurrent operators, and followers that pull its configuration.
    Control,
    /// Program shards with callers that resend, engines and services.
    Program,
    /// Organisations' rate limits by leased tokens.
    Limit,
    /// The sidecar's request queue before an engine.
    Queue,
    /// The stores' replicated log: turns by name, token budgets and membership changes.
    Turns,
}

/// All simulated parts.
pub const WORLDS: [World; 5] = [
    World::Control,
    World::Program,
    World::Limit,
    World::Queue,
    World::Turns,
];

/// An invariant violation and the run and step in which it was detected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{world:?} seed {seed} step {step}: {violation}")]
pub struct Failure {
    /// The simulated part.
    pub world: World,
    /// The seed of the run.
    pub seed: u64,
    /// The step after which it was detected.
    pub step: usize,
    /// The violated invariant.
    #[source]
    pub violation: Violation,
}

impl World {
    /// Runs `steps` steps from a seed, then stops all faults and checks that progress resumes.
    /// Returns how much was achieved, in the simulation's own unit: accepted proposals,
    /// acknowledged calls, spent tokens, served requests or ended turns.
    ///
    /// # Errors
    ///
    /// Returns the first invariant violation.
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
