//! Token accounting for one program.

use std::collections::{BTreeMap, VecDeque};

use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::command::UnixMillis;

/// Number of ended turns whose ids are kept, so that a `Begin` delivered late or twice for one of
/// them does not reserve tokens.
const MAX_REMEMBERED_ENDS: usize = 32;

/// Spent and reserved tokens of a program.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub(crate) struct Account {
    pub(crate) spent: id::Tokens,
    /// Reserved tokens of turns that have not ended, by request id.
    pub(crate) reserved: BTreeMap<id::Request, id::Tokens>,
    /// Request ids of turns that ended last, oldest first.
    pub(crate) ended: VecDeque<id::Request>,
    #[serde(rename = "until")]
    pub(crate) expires_at: UnixMillis,
}

impl Account {
    pub(crate) fn total_reserved(&self) -> id::Tokens {
        let reserved = self.reserved.values();
        reserved.fold(0, |sum, tokens| sum.saturating_add(*tokens))
    }

    /// Reserves the maximum that a turn may generate; returns `false` if it exceeds the budget.
    ///
    /// Idempotent: a turn that is already reserved or has ended reserves nothing more.
    pub(crate) fn reserve(
        &mut self,
        request: &id::Request,
        max_tokens: id::Tokens,
        budget: id::Tokens,
    ) -> bool {
        if self.reserved.contains_key(request) || self.ended.contains(request) {
            return true;
        }
        let used = self.spent.saturating_add(self.total_reserved());
        let fits = used.saturating_add(max_tokens) <= budget;
        if fits {
            self.reserved.insert(request.clone(), max_tokens);
        }
        fits
    }

    /// Replaces a reservation by the tokens spent; a repeated end changes nothing.
    ///
    /// If the proposer stopped waiting for its `Begin`, the end may be applied first. The id is
    /// remembered in that case too, so that the `Begin` reserves nothing when it arrives.
    pub(crate) fn settle(&mut self, request: &id::Request, spent: id::Tokens) {
        if self.reserved.remove(request).is_some() {
            self.spent = self.spent.saturating_add(spent);
        }
        if self.ended.contains(request) {
            return;
        }
        self.ended.push_back(request.clone());
        if self.ended.len() > MAX_REMEMBERED_ENDS {
            self.ended.pop_front();
        }
    }
}
