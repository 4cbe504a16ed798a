//! What an engine's prefix cache probably holds, judged by what was sent there.

use celerycove_types::{Map, id};

/// Names one part of a prompt.
pub type PartId = u64;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Names the part; equal parts have equal names.
    pub id: PartId,
    /// Its length.
    pub tokens: id::Tokens,
}

/// The parts that were sent to one engine, the least recently used ones dropped first.
#[derive(Debug, Clone, Default)]
pub struct Record {
    parts: Map<PartId, (id::Tokens, u64)>,
    total: id::Tokens,
    clock: u64,
}

impl Record {
    /// Tokens at the start of a prompt that the engine need not read again.
    #[must_use]
    pub fn cached(&self, prompt: &[Part]) -> id::Tokens {
        prompt
            .iter()
            .map_while(|part| self.parts.get(&part.id).map(|(tokens, _)| *tokens))
            .sum()
    }

    /// Notes that a prompt was sent to the engine, which holds `capacity` tokens.
    pub fn note(&mut self, prompt: &[Part], capacity: id::Tokens) {
        self.clock += 1;
        for part in prompt {
            let before = self.parts.insert(part.id, (part.tokens, self.clock));
            self.total += part.tokens;
            self.total -= before.map_or(0, |(tokens, _)| tokens);
        }
        while self.total > capacity {
            let oldest = self
                .parts
                .iter()
                .min_by_key(|(id, (_, used))| (*used, **id));
            let Some((id, (tokens, _))) = oldest.map(|(id, part)| (*id, *part)) else {
                break;
            };
            self.parts.remove(&id);
            self.total -= tokens;
        }
    }
}
