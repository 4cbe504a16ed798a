//! How long a request is expected to take at a backend server.

use std::time::Duration;

use celerycove_types::{Timestamp, id};

use super::{Assessment, Load, Request, Server, room, speed::Costs};
use crate::prefix::Part;

/// Delay added to a plain call to another data centre: the round trip.
const REMOTE_CALL_DELAY: Duration = Duration::from_millis(4);
/// Delay added to a prompt for another data centre: the round trip, and the traffic between data
/// centres, which costs users more than a step or two of an engine. Half the time to prefill a
/// thousand tokens, so that a cached history still outweighs the distance.
const REMOTE_PROMPT_DELAY: Duration = Duration::from_millis(16);
/// Delay by which a backend server must be better than its predecessor in a program's order, so
/// that the program's turns find each other's prefixes.
const RANK_DELAY: Duration = Duration::from_millis(10);
/// Age from which a load reported with a response is ignored.
const MAX_LOAD_AGE: Duration = Duration::from_secs(1);
/// Age from which a reported slowdown is ignored: it changes many times a second.
const MAX_SLOWDOWN_AGE: Duration = Duration::from_millis(300);
/// How long a slowdown lasts on average after it was reported; neighbours slow a server down for
/// fractions of a second.
const SLOWDOWN_TIME: Duration = Duration::from_millis(200);

/// What matters for a request's delay at a backend server besides the server's own state.
#[derive(Debug, Clone, Copy)]
pub(super) struct Conditions {
    /// Tokens at the start of the prompt that the engines which keep them have cached.
    pub(super) shared_tokens: id::Tokens,
    /// Whether it keeps those tokens cached.
    pub(super) is_home: bool,
    /// Requests of other entries in flight there, if known.
    pub(super) elsewhere: Option<u32>,
    /// Its place in the program's order; 0 is the first.
    pub(super) rank: u32,
    /// Whether it is in the entry's data centre.
    pub(super) is_local: bool,
}

/// The components of the expected delay of a request at a backend server, beyond that of an idle local
/// one of usual speed with the prompt cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Score {
    /// Reading the part of the prompt that is not cached.
    pub reading: Duration,
    /// Requests that run beside it.
    pub running: Duration,
    /// Requests that wait before it.
    pub waiting: Duration,
    /// Memory that is nearly or entirely taken.
    pub memory: Duration,
    /// The way to another data centre.
    pub network: Duration,
    /// The place in the program's order.
    pub rank: Duration,
    /// What it takes longer than a server of usual speed, in microseconds; negative if it is faster.
    pub speed_micros: i64,
    /// What it takes longer because of the slowdown that it reported, in microseconds.
    pub slowdown_micros: i64,
}

impl Score {
    /// Returns the sum, which is negative for a backend server that is faster than usual.
    pub(super) fn total_micros(&self) -> i64 {
        let delay: Duration = [
            self.reading,
            self.running,
            self.waiting,
            self.memory,
            self.network,
            self.rank,
        ]
        .iter()
        .sum();
        micros(delay) + self.speed_micros + self.slowdown_micros
    }
}

fn micros(delay: Duration) -> i64 {
    i64::try_from(delay.as_micros()).unwrap_or(i64::MAX)
}

impl Server {
    /// Estimates how many tokens at the start of a prompt it has cached. An engine that does not keep
    /// a shared part evicts it soon, except before the history of a program that it serves.
    pub(super) fn cached_tokens(&self, prompt: &[Part], conditions: Conditions) -> id::Tokens {
        if conditions.is_home {
            let cached = self.prefix_cache.cached_tokens(prompt);
            cached.max(conditions.shared_tokens)
        } else if self.holds_history(prompt) {
            self.prefix_cache.cached_tokens(prompt)
        } else {
            0
        }
    }

    /// Estimates the running and the waiting requests from those of all entries. If those of other
    /// entries are not known, it uses the last reported load and the requests sent since.
    fn estimated_load(&self, now: Timestamp, elsewhere: Option<u32>) -> (u32, u32) {
        let slots = self.registration.slots;
        if let Some(elsewhere) = elsewhere {
            let total = self.in_flight + elsewhere;
            return (total.min(slots), total.saturating_sub(slots));
        }
        let recent = self
            .load
            .filter(|(_, reported_at)| now.saturating_sub(*reported_at) < MAX_LOAD_AGE);
        let (running, waiting) = recent.map_or((0, 0), |(load, _)| {
            let running = load.running.saturating_add(self.sent_since_load);
            (running, load.waiting)
        });
        let running = self.in_flight.max(running);
        let excess = running.saturating_sub(slots);
        (running.min(slots), waiting.saturating_add(excess))
    }

    /// Returns the slowdown that it reported within `period` as a factor of the usual time.
    pub(super) fn slowdown_within(&self, now: Timestamp, period: Duration) -> Option<f64> {
        let (load, reported_at) = self.load?;
        let percent = load.slowdown?;
        let percent = percent.clamp(Load::MIN_SLOWDOWN, Load::MAX_SLOWDOWN);
        (now.saturating_sub(reported_at) <= period).then(|| f64::from(percent) / 100.0)
    }

    /// Returns the last reported slowdown as a factor of the usual time, and the weight that its age
    /// leaves it.
    fn slowdown(&self, now: Timestamp) -> Option<(f64, f64)> {
        let factor = self.slowdown_within(now, MAX_SLOWDOWN_AGE)?;
        let (_, reported_at) = self.load?;
        let age = now.saturating_sub(reported_at);
        let weight = 1.0 - age.as_secs_f64() / MAX_SLOWDOWN_AGE.as_secs_f64();
        (weight > 0.0).then_some((factor, weight))
    }

    /// Returns what a request is expected to meet.
    pub(super) fn assess(
        &self,
        now: Timestamp,
        request: &Request<'_>,
        conditions: Conditions,
        costs: &Costs,
    ) -> Assessment {
        let (running, waiting) = self.estimated_load(now, conditions.elsewhere);
        let is_plain = request.prompt.is_empty();
        let prompt: id::Tokens = request.prompt.iter().map(|part| part.tokens).sum();
        let cached = self.cached_tokens(request.prompt, conditions);
        let uncached = u32::try_from(prompt.saturating_sub(cached)).unwrap_or(u32::MAX);
        let slots = self.registration.slots.max(1);
        let others = (running + waiting.min(slots)).saturating_sub(self.in_flight);
        let taken = self.registration.cache_tokens.map_or(0.0, |memory| {
            self.reserved.share(others, costs.tokens, memory)
        });
        let has_slot = running < slots && waiting == 0;
        let is_full = !has_slot || taken >= 1.0;
        let occupied = f64::from(running) / f64::from(slots);
        let reading = costs.per_token * uncached;
        let running = if is_plain {
            // A plain service runs requests independently, so only a full one is slow.
            costs.per_running * running * 2 / slots
        } else {
            costs.per_running * running
        };
        let waiting = costs.per_waiting * waiting;
        // Requests arrive unevenly and those of other entries are known late, so that queues form
        // before the slots are all taken.
        let queues = if is_plain {
            costs.call.mul_f64(room::delay(occupied.min(1.0)))
        } else {
            Duration::ZERO
        };
        let waiting = waiting + queues;
        let network = match (conditions.is_local, is_plain) {
            (true, _) => Duration::ZERO,
            (false, true) => REMOTE_CALL_DELAY,
            (false, false) => REMOTE_PROMPT_DELAY,
        };
        let rank = if is_plain {
            Duration::ZERO
        } else {
            RANK_DELAY * conditions.rank
        };
        let own_time = if is_plain {
            costs.call
        } else {
            costs.generation
        };
        let memory = own_time.mul_f64(room::delay(taken));
        let work = own_time + reading + running + waiting;
        let factor = self.pace.factor(now);
        // A fast server is preferred the less, the more of its slots are taken. Other entries prefer it
        // too, and their latest requests are not known yet.
        let advantage = own_time.mul_f64((1.0 - factor).max(0.0) * (1.0 - occupied).max(0.0));
        let drawback = own_time.mul_f64((factor - 1.0).max(0.0));
        let others = reading + running + waiting;
        let speed_micros =
            micros(drawback) - micros(advantage) + micros(others.mul_f64(factor)) - micros(others);
        let slowdown_micros = self.slowdown(now).map_or(0, |(slowdown, weight)| {
            slowdown_micros(work.mul_f64(factor), slowdown, weight)
        });
        let for_slot = if has_slot {
            Duration::ZERO
        } else {
            waiting.saturating_sub(queues) + costs.per_waiting
        };
        let for_memory = if taken >= 1.0 { memory } else { Duration::ZERO };
        Assessment {
            score: Score {
                reading,
                running,
                waiting,
                memory,
                network,
                rank,
                speed_micros,
                slowdown_micros,
            },
            is_suspect: self.is_suspect(now),
            cached_tokens: cached,
            is_full,
            expected_wait: for_slot.max(for_memory).mul_f64(factor),
        }
    }
}

/// Returns how much longer work takes that a server would do in `work` at its usual speed, if it now
/// needs `factor` times as long. A moment later it runs as usual.
fn slowdown_micros(work: Duration, factor: f64, weight: f64) -> i64 {
    // What the server gets done while the slowdown lasts.
    let affected = work.min(SLOWDOWN_TIME.div_f64(factor)).mul_f64(weight);
    micros(affected.mul_f64(factor)) - micros(affected)
}
