//! Cache of chains of turns, so that the stores need not send a chain again.
//!
//! A chain is the history of a conversation: the texts of all turns up to a given one.

use std::{collections::VecDeque, sync::Arc};

use bytes::Bytes;
use celerycove_types::{Map, id};

use crate::memory::{Account, Part};

/// What an entry takes beside its chain: two keys, in two collections.
const ENTRY_BYTES: usize = 256;

/// Identifies a turn: its organisation and the request that ran it.
type TurnKey = (id::Organisation, id::Request);
/// The texts of a chain of turns, oldest first.
pub(super) type Chain = Arc<[Bytes]>;

/// A text that is held by cached chains.
#[derive(Debug)]
struct Text {
    bytes: usize,
    /// How many chains hold it.
    holders: usize,
}

/// Chains by their last turn. The chain that was inserted first is evicted first.
#[derive(Debug)]
pub(super) struct Cache {
    account: Arc<Account>,
    by_turn: Map<TurnKey, Chain>,
    insertion_order: VecDeque<TurnKey>,
    /// The texts by their addresses.
    texts: Map<usize, Text>,
    total_bytes: usize,
}

impl Cache {
    /// Creates a cache that holds as much as the account allows for chains.
    pub(super) fn new(account: Arc<Account>) -> Self {
        Self {
            account,
            by_turn: Map::default(),
            insertion_order: VecDeque::new(),
            texts: Map::default(),
            total_bytes: 0,
        }
    }

    /// Returns the chain that ends with a turn.
    pub(super) fn get(
        &self,
        organisation: &id::Organisation,
        request: &id::Request,
    ) -> Option<Chain> {
        self.by_turn
            .get(&(organisation.clone(), request.clone()))
            .cloned()
    }

    /// Caches a chain. A text that several chains share counts once, until the last of them is
    /// evicted.
    pub(super) fn insert(
        &mut self,
        organisation: &id::Organisation,
        request: &id::Request,
        chain: Chain,
    ) {
        let key = (organisation.clone(), request.clone());
        let limit = self.account.limit(Part::Chains);
        let chain_bytes = entry_bytes(&chain) + chain.iter().map(Bytes::len).sum::<usize>();
        // A chain that can't be held would evict all others.
        if self.by_turn.contains_key(&key) || chain_bytes > limit {
            return;
        }
        for text in chain.iter() {
            let known = self.texts.entry(address(text)).or_insert_with(|| {
                self.total_bytes += text.len();
                Text {
                    bytes: text.len(),
                    holders: 0,
                }
            });
            known.holders += 1;
        }
        self.total_bytes += entry_bytes(&chain);
        self.by_turn.insert(key.clone(), chain);
        self.insertion_order.push_back(key);
        while self.total_bytes > limit {
            let Some(oldest) = self.insertion_order.pop_front() else {
                break;
            };
            self.remove(&oldest);
        }
        self.account.set(Part::Chains, self.total_bytes);
    }

    fn remove(&mut self, key: &TurnKey) {
        let Some(chain) = self.by_turn.remove(key) else {
            return;
        };
        self.total_bytes -= entry_bytes(&chain);
        for text in chain.iter() {
            let address = address(text);
            let Some(known) = self.texts.get_mut(&address) else {
                continue;
            };
            known.holders -= 1;
            if known.holders == 0 {
                self.total_bytes -= known.bytes;
                self.texts.remove(&address);
            }
        }
    }
}

/// Identifies a text while a chain holds it. Empty texts may share an address with others and hold
/// nothing, so they have none.
fn address(text: &Bytes) -> usize {
    if text.is_empty() {
        return 0;
    }
    text.as_ptr() as usize
}

fn entry_bytes(chain: &Chain) -> usize {
    ENTRY_BYTES + std::mem::size_of_val(&**chain)
}

#[cfg(test)]
#[path = "chains_tests.rs"]
mod tests;
