//! Policies: the system's own and what a user would otherwise pick.

use rand::{RngExt, rngs::StdRng};

use crate::engine::Engine;

/// How engines are chosen and queues ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The system's routing and queues.
    Celerycove,
    /// Any engine.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The one with the fewest requests waiting or running.
    LeastInFlight,
    /// By hash of the program.
    Affinity,
    /// One that caches the program, otherwise the one with the fewest requests.
    CacheOnly,
}

/// All policies, the system's first.
pub const POLICIES: [Policy; 6] = [
    Policy::Celerycove,
    Policy::Random,
    Policy::RoundRobin,
    Policy::LeastInFlight,
    Policy::Affinity,
    Policy::CacheOnly,
];

/// What a baseline sees of an engine that takes work.
pub struct View<'a> {
    /// Its number.
    pub number: usize,
    /// The engine.
    pub engine: &'a Engine,
    /// Requests waiting or running.
    pub in_flight: usize,
}

impl Policy {
    /// Chooses among the engines that take work, for a baseline; `turn` counts choices.
    pub fn choose(
        self,
        views: &[View<'_>],
        program: usize,
        turn: usize,
        rng: &mut StdRng,
    ) -> Option<usize> {
        let least = || {
            views
                .iter()
                .min_by_key(|view| (view.in_flight, view.number))
        };
        let chosen = match self {
            Self::Random => views.get(rng.random_range(0..views.len().max(1))),
            Self::RoundRobin => views.get(turn.checked_rem(views.len())?),
            Self::Affinity => {
                let hash = (program as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
                views.get(usize::try_from(hash).ok()?.checked_rem(views.len())?)
            }
            Self::CacheOnly => views
                .iter()
                .find(|view| view.engine.caches(program))
                .or_else(least),
            Self::LeastInFlight | Self::Celerycove => least(),
        };
        chosen.map(|view| view.number)
    }
}
