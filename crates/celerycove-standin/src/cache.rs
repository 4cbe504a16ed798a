//! A cache of prompt prefixes in limited memory.

use std::collections::BTreeMap;

use celerycove_types::id;

/// Caches the longest prefix seen of each program, the least recently used dropped first.
#[derive(Debug)]
pub struct Cache {
    limit: id::Tokens,
    used: id::Tokens,
    clock: u64,
    prefixes: BTreeMap<u64, Prefix>,
}

#[derive(Debug)]
struct Prefix {
    tokens: id::Tokens,
    /// Tokens that the prefix adds to its own prefix.
    own: id::Tokens,
    touched: u64,
}

impl Cache {
    /// Creates a cache for so many tokens.
    #[must_use]
    pub fn new(limit: id::Tokens) -> Self {
        Self {
            limit,
            used: 0,
            clock: 0,
            prefixes: BTreeMap::new(),
        }
    }

    /// Looks the messages up and stores them; gives the tokens that were cached.
    pub fn visit<'a>(
        &mut self,
        messages: impl Iterator<Item = (&'a str, id::Tokens)>,
    ) -> id::Tokens {
        self.clock += 1;
        let mut hash = 0;
        let mut total = 0;
        let mut cached = 0;
        for (message, tokens) in messages {
            hash = chain(hash, message);
            total += tokens;
            match self.prefixes.get_mut(&hash) {
                Some(prefix) => {
                    prefix.touched = self.clock;
                    cached = prefix.tokens;
                }
                None => self.insert(hash, total, tokens),
            }
        }
        cached
    }

    /// Tokens held.
    #[must_use]
    pub fn used(&self) -> id::Tokens {
        self.used
    }

    fn insert(&mut self, hash: u64, tokens: id::Tokens, own: id::Tokens) {
        while self.used + own > self.limit {
            let oldest = self
                .prefixes
                .iter()
                .min_by_key(|(_, prefix)| (prefix.touched, std::cmp::Reverse(prefix.tokens)))
                .map(|(hash, _)| *hash);
            let Some(oldest) = oldest.and_then(|oldest| self.prefixes.remove(&oldest)) else {
                return;
            };
            self.used -= oldest.own;
        }
        self.used += own;
        let touched = self.clock;
        let prefix = Prefix {
            tokens,
            own,
            touched,
        };
        self.prefixes.insert(hash, prefix);
    }
}

fn chain(hash: u64, message: &str) -> u64 {
    message
        .bytes()
        .fold(hash ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        })
}
