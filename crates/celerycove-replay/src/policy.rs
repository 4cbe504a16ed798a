//! The `Celerycove` policy and the baselines that it is compared with.

use rand::{RngExt, rngs::StdRng};

use crate::engine::Engine;

/// How engines are chosen and their queues ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The routing and queues of Celerycove.
    Celerycove,
    /// An engine at random.
    Random,
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the fewest requests waiting or running.
    LeastInFlight,
    /// The engine given by a hash of the program.
    Affinity,
    /// An engine that caches the program's history, otherwise the one with the fewest requests.
    CacheOnly,
}

/// All policies, with `Celerycove` first.
pub const POLICIES: [Policy; 6] = [
    Policy::Celerycove,
    Policy::Random,
    Policy::RoundRobin,
    Policy::LeastInFlight,
    Policy::Affinity,
    Policy::CacheOnly,
];

/// An engine that accepts requests, as a baseline policy sees it.
pub struct Candidate<'a> {
    /// Index of the engine.
    pub index: usize,
    /// State of the engine.
    pub engine: &'a Engine,
    /// Requests waiting or running.
    pub in_flight: usize,
}

impl Policy {
    /// Chooses an engine for a baseline policy and returns its index.
    ///
    /// `sequence` advances from choice to choice and drives [`Policy::RoundRobin`].
    pub fn choose(
        self,
        candidates: &[Candidate<'_>],
        program: usize,
        sequence: usize,
        rng: &mut StdRng,
    ) -> Option<usize> {
        let least = || {
            candidates
                .iter()
                .min_by_key(|candidate| (candidate.in_flight, candidate.index))
        };
        let chosen = match self {
            Self::Random => candidates.get(rng.random_range(0..candidates.len().max(1))),
            Self::RoundRobin => candidates.get(sequence.checked_rem(candidates.len())?),
            Self::Affinity => {
                let hash = (program as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
                candidates.get(usize::try_from(hash).ok()?.checked_rem(candidates.len())?)
            }
            Self::CacheOnly => candidates
                .iter()
                .find(|candidate| candidate.engine.has_cached(program))
                .or_else(least),
            Self::LeastInFlight | Self::Celerycove => least(),
        };
        chosen.map(|candidate| candidate.index)
    }
}
