//! Chains of turns that this entry has seen, so that the stores need not send them again.

use std::{collections::VecDeque, sync::Arc};

use bytes::Bytes;
use celerycove_types::{Map, id};

/// Bytes of texts that are kept: a small part of the memory of an entry's instance.
const CAPACITY: usize = 8 << 20;

/// Names a turn of an organisation.
type Owned = (id::Organisation, id::Request);
/// The texts of a chain, oldest first.
pub(super) type Chain = Arc<[Bytes]>;

/// Chains by their last turn.
#[derive(Debug, Default)]
pub(super) struct Chains {
    by_turn: Map<Owned, Chain>,
    order: VecDeque<(Owned, usize)>,
    bytes: usize,
}

impl Chains {
    /// The chain up to a turn.
    pub(super) fn get(
        &self,
        organisation: &id::Organisation,
        request: &id::Request,
    ) -> Option<Chain> {
        self.by_turn
            .get(&(organisation.clone(), request.clone()))
            .cloned()
    }

    /// Keeps a chain, of which the last text is new.
    pub(super) fn insert(
        &mut self,
        organisation: &id::Organisation,
        request: &id::Request,
        chain: Chain,
    ) {
        let owned = (organisation.clone(), request.clone());
        let size = chain.last().map_or(0, Bytes::len);
        if self.by_turn.insert(owned.clone(), chain).is_some() {
            return;
        }
        self.order.push_back((owned, size));
        self.bytes += size;
        while self.bytes > CAPACITY {
            let Some((oldest, size)) = self.order.pop_front() else {
                break;
            };
            self.by_turn.remove(&oldest);
            self.bytes -= size;
        }
    }
}
