//! Estimates what an engine's prefix cache holds from the prompts that were sent to it.

use celerycove_types::{Map, id};

/// Identifies one part of a prompt.
pub type PartId = u64;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Equal parts have equal ids.
    pub id: PartId,
    /// Length of the part in tokens.
    pub tokens: id::Tokens,
}

/// Model of one engine's prefix cache with least-recently-used eviction.
#[derive(Debug, Clone, Default)]
pub struct Cache {
    /// Length of each part in tokens, and the value of `insertions` when it was last used.
    parts: Map<PartId, (id::Tokens, u64)>,
    total_tokens: id::Tokens,
    /// Number of prompts inserted; orders the parts by last use.
    insertions: u64,
}

impl Cache {
    /// Returns how many tokens at the start of the prompt need no prefill.
    #[must_use]
    pub fn cached_tokens(&self, prompt: &[Part]) -> id::Tokens {
        prompt
            .iter()
            .map_while(|part| self.parts.get(&part.id).map(|(tokens, _)| *tokens))
            .sum()
    }

    /// Returns how many parts at the start of the prompt need no prefill.
    #[must_use]
    pub fn cached_parts(&self, prompt: &[Part]) -> usize {
        let cached = prompt.iter();
        cached
            .take_while(|part| self.parts.contains_key(&part.id))
            .count()
    }

    /// Adds a prompt that was sent to the engine; evicts parts while they exceed `capacity` tokens.
    pub fn insert(&mut self, prompt: &[Part], capacity: id::Tokens) {
        self.insertions += 1;
        for part in prompt {
            let previous = self.parts.insert(part.id, (part.tokens, self.insertions));
            self.total_tokens += part.tokens;
            self.total_tokens -= previous.map_or(0, |(tokens, _)| tokens);
        }
        while self.total_tokens > capacity {
            let oldest = self
                .parts
                .iter()
                .min_by_key(|(id, (_, last_used))| (*last_used, **id));
            let Some((id, (tokens, _))) = oldest.map(|(id, part)| (*id, *part)) else {
                break;
            };
            self.parts.remove(&id);
            self.total_tokens -= tokens;
        }
    }
}
