//! The budget of one program.

use std::collections::{BTreeMap, VecDeque};

use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::command::Millis;

/// How many ended turns are remembered, so that a late copy of their beginning reserves nothing.
const REMEMBERED_ENDS: usize = 32;

/// What a program has spent and may still spend.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub(crate) struct Account {
    pub(crate) spent: id::Tokens,
    pub(crate) reserved: BTreeMap<id::Request, id::Tokens>,
    pub(crate) ended: VecDeque<id::Request>,
    pub(crate) until: Millis,
}

impl Account {
    pub(crate) fn outstanding(&self) -> id::Tokens {
        self.reserved.values().sum()
    }

    /// Reserves the most that a turn may generate; a repeated reservation changes nothing.
    pub(crate) fn reserve(
        &mut self,
        request: &id::Request,
        most: id::Tokens,
        budget: id::Tokens,
    ) -> bool {
        if self.reserved.contains_key(request) || self.ended.contains(request) {
            return true;
        }
        let fits = self.spent + self.outstanding() + most <= budget;
        if fits {
            self.reserved.insert(request.clone(), most);
        }
        fits
    }

    /// Replaces a reservation by what was spent; a repeated end changes nothing. An end may come
    /// before its beginning, if the proposer gave up waiting: the beginning then reserves nothing.
    pub(crate) fn settle(&mut self, request: &id::Request, spent: id::Tokens) {
        if self.reserved.remove(request).is_some() {
            self.spent += spent;
        }
        if self.ended.contains(request) {
            return;
        }
        self.ended.push_back(request.clone());
        if self.ended.len() > REMEMBERED_ENDS {
            self.ended.pop_front();
        }
    }
}
