//! Cost model of an inference engine with a prefix cache.

use std::{collections::BTreeMap, time::Duration};

use celerycove_types::Timestamp;

use crate::trace;

/// How long an engine stays cold.
const COLD_PERIOD: Duration = Duration::from_secs(8);
/// Factor by which a cold engine is slower.
const COLD_SLOWDOWN: f64 = 3.0;
/// Divisor of a cold engine's capacity; an engine crashes at more than twice its current capacity.
const COLD_CAPACITY_DIVISOR: u32 = 4;

/// State of an engine: its prefix cache, its running requests and whether it is cold.
#[derive(Debug)]
pub struct Engine {
    /// Its capacity and cost parameters.
    pub spec: trace::Engine,
    /// Programs of the running requests, by dispatch number.
    pub running: BTreeMap<u64, usize>,
    /// Number of crashes.
    pub crashes: u64,
    cold_until: Timestamp,
    /// Cached tokens and the time of last use in units of `uses`, by program.
    cache: BTreeMap<usize, (u64, u64)>,
    /// Number of uses of the cache, the clock of least-recently-used eviction.
    uses: u64,
}

/// How the execution of a request ends.
#[derive(Debug, Clone, Copy)]
pub enum Run {
    /// It completes after this time; the second value is the number of history tokens that are
    /// prefilled again because they are not cached.
    Completed(Duration, u64),
    /// The engine crashes, and all its running requests fail.
    Crash,
}

impl Engine {
    /// Creates a warm engine with an empty cache.
    #[must_use]
    pub fn new(spec: trace::Engine) -> Self {
        Self {
            spec,
            running: BTreeMap::new(),
            crashes: 0,
            cold_until: Timestamp::ZERO,
            cache: BTreeMap::new(),
            uses: 0,
        }
    }

    /// Clears the cache and makes the engine cold for `COLD_PERIOD`.
    pub fn turn_cold(&mut self, now: Timestamp) {
        self.cold_until = now + COLD_PERIOD;
        self.cache.clear();
    }

    /// Starts a request of a program, whose earlier calls left `history` tokens.
    pub fn begin(
        &mut self,
        now: Timestamp,
        dispatch: u64,
        program: usize,
        history: u64,
        call: &trace::Call,
    ) -> Run {
        let cold = now < self.cold_until;
        let capacity = if cold {
            (self.spec.capacity / COLD_CAPACITY_DIVISOR).max(1)
        } else {
            self.spec.capacity
        };
        self.running.insert(dispatch, program);
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        if running > capacity * 2 {
            self.crashes += 1;
            self.turn_cold(now);
            return Run::Crash;
        }
        let cached = self
            .update_cache(program, history + call.prompt + call.generate)
            .min(history);
        let recomputed = history - cached;
        let micros =
            (recomputed + call.prompt) * self.spec.prefill_us + call.generate * self.spec.token_us;
        let slowdown = if cold { COLD_SLOWDOWN } else { 1.0 };
        Run::Completed(Duration::from_micros(micros).mul_f64(slowdown), recomputed)
    }

    /// Caches a program's tokens, evicting the least recently used programs, and returns how many
    /// of its tokens were cached before.
    fn update_cache(&mut self, program: usize, tokens: u64) -> u64 {
        self.uses += 1;
        let previous = self.cache.insert(program, (tokens, self.uses));
        let mut used: u64 = self.cache.values().map(|(tokens, _)| tokens).sum();
        while used > self.spec.cache {
            let least_recent = self
                .cache
                .iter()
                .min_by_key(|(_, (_, last_use))| *last_use)
                .map(|(program, _)| *program);
            let Some((evicted, _)) = least_recent.and_then(|program| self.cache.remove(&program))
            else {
                break;
            };
            used -= evicted;
        }
        previous.map_or(0, |(tokens, _)| tokens)
    }

    /// Returns whether tokens of a program are cached.
    #[must_use]
    pub fn has_cached(&self, program: usize) -> bool {
        self.cache.contains_key(&program)
    }
}
