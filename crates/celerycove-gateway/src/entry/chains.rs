//! Cache of chains of turns, so that the stores need not send a chain again.
//!
//! A chain is the history of a conversation: the texts of all turns up to a given one.

use std::{collections::VecDeque, sync::Arc};

use bytes::Bytes;
use celerycove_types::{Map, id};

use crate::memory::{Account, Part};

/// What an entry takes beside its text: two keys and the list of the chain's texts.
const ENTRY_BYTES: usize = 512;

/// Identifies a turn: its organisation and the request that ran it.
type TurnKey = (id::Organisation, id::Request);
/// The texts of a chain of turns, oldest first.
pub(super) type Chain = Arc<[Bytes]>;

/// Chains by their last turn. The chain that was inserted first is evicted first.
#[derive(Debug)]
pub(super) struct Cache {
    account: Arc<Account>,
    by_turn: Map<TurnKey, Chain>,
    insertion_order: VecDeque<(TurnKey, usize)>,
    total_bytes: usize,
}

impl Cache {
    /// Creates a cache that holds as much as the account allows for chains.
    pub(super) fn new(account: Arc<Account>) -> Self {
        Self {
            account,
            by_turn: Map::default(),
            insertion_order: VecDeque::new(),
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

    /// Caches a chain. Only its last text counts towards the size: the others are shared with the
    /// chain of the previous turn.
    pub(super) fn insert(
        &mut self,
        organisation: &id::Organisation,
        request: &id::Request,
        chain: Chain,
    ) {
        let key = (organisation.clone(), request.clone());
        let size = chain.last().map_or(0, Bytes::len) + ENTRY_BYTES;
        if self.by_turn.insert(key.clone(), chain).is_some() {
            return;
        }
        self.insertion_order.push_back((key, size));
        self.total_bytes += size;
        while self.total_bytes > self.account.limit(Part::Chains) {
            let Some((oldest, size)) = self.insertion_order.pop_front() else {
                break;
            };
            self.by_turn.remove(&oldest);
            self.total_bytes -= size;
        }
        self.account.set(Part::Chains, self.total_bytes);
    }
}
