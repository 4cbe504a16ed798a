//! How much of an engine's memory the requests in flight take.

use std::collections::VecDeque;

use celerycove_types::{Map, id};

use crate::prefix::{Part, PartId};

/// Share of an engine's memory up to which requests don't delay each other. Above it, an estimate that
/// is some requests too low would already have the engine preempt running ones.
const FREE_SHARE: f64 = 0.7;

/// Tokens of this entry's requests in flight at an engine, prompts and expected answers. An outcome does
/// not say which request it is of: the oldest one is taken, which is exact once all have ended.
#[derive(Debug, Clone, Default)]
pub(super) struct Reserved {
    /// First part of the prompt and further tokens of each request.
    requests: VecDeque<(Option<Part>, id::Tokens)>,
    /// Number of requests with each first part, which the engine holds once.
    first_parts: Map<PartId, u32>,
    total: id::Tokens,
}

impl Reserved {
    /// Adds a request with the expected number of tokens of its answer.
    pub(super) fn add(&mut self, prompt: &[Part], answer: id::Tokens) {
        let first = prompt.first().copied();
        let further = prompt.iter().skip(1).map(|part| part.tokens);
        let further = further.sum::<id::Tokens>() + answer;
        if let Some(first) = first {
            let count = self.first_parts.entry(first.id).or_default();
            *count += 1;
            if *count == 1 {
                self.total += first.tokens;
            }
        }
        self.total += further;
        self.requests.push_back((first, further));
    }

    pub(super) fn remove(&mut self) {
        let Some((first, further)) = self.requests.pop_front() else {
            return;
        };
        self.total = self.total.saturating_sub(further);
        let Some(first) = first else {
            return;
        };
        let count = self.first_parts.entry(first.id).or_default();
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.first_parts.remove(&first.id);
            self.total = self.total.saturating_sub(first.tokens);
        }
    }

    /// Returns the share of the memory that is taken if `others` further requests of `mean` tokens run.
    pub(super) fn share(&self, others: u32, mean: f64, memory: id::Tokens) -> f64 {
        let own = to_f64(self.total);
        (own + f64::from(others) * mean) / to_f64(memory.max(1))
    }
}

/// Returns the delay that memory of which `share` is taken adds, in units of the time of an answer: zero
/// up to [`FREE_SHARE`], one where it is full.
pub(super) fn delay(share: f64) -> f64 {
    let excess = (share - FREE_SHARE).max(0.0) / (1.0 - FREE_SHARE);
    (excess * excess).min(MAX_DELAY)
}

/// Upper bound of the delay, beyond which the estimates mean nothing.
const MAX_DELAY: f64 = 100.0;

fn to_f64(tokens: id::Tokens) -> f64 {
    u32::try_from(tokens).map_or(f64::from(u32::MAX), f64::from)
}
