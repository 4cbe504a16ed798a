//! The cost model of an engine.

use std::{collections::BTreeMap, time::Duration};

use celerycove_types::Timestamp;

use crate::trace;

/// How long an engine is cold.
const COLD: Duration = Duration::from_secs(8);
/// How much longer everything takes while it is cold.
const COLD_SLOWDOWN: f64 = 3.0;
/// The share of its capacity that it bears while it is cold; twice as much makes it fall over.
const COLD_SHARE: u32 = 4;

/// An engine: a prefix cache, running requests and its temperature.
#[derive(Debug)]
pub struct Engine {
    /// What it costs.
    pub set: trace::Engine,
    /// Requests that run, by name.
    pub running: BTreeMap<u64, usize>,
    /// How often it fell over.
    pub crashes: u64,
    cold_until: Timestamp,
    /// Tokens and last use by program.
    cache: BTreeMap<usize, (u64, u64)>,
    clock: u64,
}

/// How a request will go.
#[derive(Debug, Clone, Copy)]
pub enum Run {
    /// It takes so long, with so many tokens of history prefilled again.
    Served(Duration, u64),
    /// The engine falls over, and all that it runs fails.
    Crash,
}

impl Engine {
    /// Starts warm and empty.
    #[must_use]
    pub fn new(set: trace::Engine) -> Self {
        Self {
            set,
            running: BTreeMap::new(),
            crashes: 0,
            cold_until: Timestamp::ZERO,
            cache: BTreeMap::new(),
            clock: 0,
        }
    }

    /// Loses its cache and is cold for a while.
    pub fn turn_cold(&mut self, now: Timestamp) {
        self.cold_until = now + COLD;
        self.cache.clear();
    }

    /// Begins a request of a program.
    pub fn begin(
        &mut self,
        now: Timestamp,
        name: u64,
        program: usize,
        history: u64,
        call: &trace::Call,
    ) -> Run {
        let cold = now < self.cold_until;
        let bears = if cold {
            (self.set.capacity / COLD_SHARE).max(1)
        } else {
            self.set.capacity
        };
        self.running.insert(name, program);
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        if running > bears * 2 {
            self.crashes += 1;
            self.turn_cold(now);
            return Run::Crash;
        }
        let cached = self
            .visit(program, history + call.prompt + call.generate)
            .min(history);
        let again = history - cached;
        let micros =
            (again + call.prompt) * self.set.prefill_us + call.generate * self.set.token_us;
        let slowdown = if cold { COLD_SLOWDOWN } else { 1.0 };
        Run::Served(Duration::from_micros(micros).mul_f64(slowdown), again)
    }

    /// Stores a program's tokens and gives those that were cached; the least recently used go.
    fn visit(&mut self, program: usize, tokens: u64) -> u64 {
        self.clock += 1;
        let known = self.cache.insert(program, (tokens, self.clock));
        let mut used: u64 = self.cache.values().map(|(tokens, _)| tokens).sum();
        while used > self.set.cache {
            let oldest = self
                .cache
                .iter()
                .min_by_key(|(_, (_, at))| *at)
                .map(|(p, _)| *p);
            let Some((gone, _)) = oldest.and_then(|oldest| self.cache.remove(&oldest)) else {
                break;
            };
            used -= gone;
        }
        known.map_or(0, |(tokens, _)| tokens)
    }

    /// Whether a program's tokens are cached.
    #[must_use]
    pub fn caches(&self, program: usize) -> bool {
        self.cache.contains_key(&program)
    }
}
