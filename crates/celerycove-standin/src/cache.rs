//! An LRU cache of prompt prefixes with a limit in tokens.

use std::collections::BTreeMap;

use celerycove_types::id;

/// Prompt prefixes, by a hash over their messages.
///
/// Evicts the least recently used prefix first and, among prefixes of one prompt, the longest.
#[derive(Debug)]
pub struct Cache {
    capacity: id::Tokens,
    used: id::Tokens,
    /// Counts lookups, to order prefixes by last use.
    clock: u64,
    prefixes: BTreeMap<u64, Prefix>,
}

#[derive(Debug)]
struct Prefix {
    /// Tokens of the whole prefix.
    tokens: id::Tokens,
    /// Tokens of its last message, which count against the capacity.
    added_tokens: id::Tokens,
    last_used: u64,
}

impl Cache {
    /// Creates a cache that holds up to `capacity` tokens.
    #[must_use]
    pub fn new(capacity: id::Tokens) -> Self {
        Self {
            capacity,
            used: 0,
            clock: 0,
            prefixes: BTreeMap::new(),
        }
    }

    /// Looks up the prefixes of a prompt, inserts the missing ones and returns how many tokens of
    /// the prompt were cached.
    pub fn lookup_and_insert<'a>(
        &mut self,
        messages: impl Iterator<Item = (&'a str, id::Tokens)>,
    ) -> id::Tokens {
        self.clock += 1;
        let mut hash = 0;
        let mut total = 0;
        let mut cached = 0;
        for (message, tokens) in messages {
            hash = extend_hash(hash, message);
            total += tokens;
            match self.prefixes.get_mut(&hash) {
                Some(prefix) => {
                    prefix.last_used = self.clock;
                    cached = prefix.tokens;
                }
                None => self.insert(hash, total, tokens),
            }
        }
        cached
    }

    /// Returns the number of tokens in the cache.
    #[must_use]
    pub fn used(&self) -> id::Tokens {
        self.used
    }

    fn insert(&mut self, hash: u64, tokens: id::Tokens, added_tokens: id::Tokens) {
        while self.used + added_tokens > self.capacity {
            let oldest = self
                .prefixes
                .iter()
                .min_by_key(|(_, prefix)| (prefix.last_used, std::cmp::Reverse(prefix.tokens)))
                .map(|(hash, _)| *hash);
            let Some(evicted) = oldest.and_then(|oldest| self.prefixes.remove(&oldest)) else {
                return;
            };
            self.used -= evicted.added_tokens;
        }
        self.used += added_tokens;
        let last_used = self.clock;
        let prefix = Prefix {
            tokens,
            added_tokens,
            last_used,
        };
        self.prefixes.insert(hash, prefix);
    }
}

/// Extends the hash of a prefix by one message, with the FNV-1a constants.
fn extend_hash(hash: u64, message: &str) -> u64 {
    message
        .bytes()
        .fold(hash ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        })
}
