//! Chains and accounts.

use std::time::Duration;

use bytes::Bytes;
use celerycove_types::{Map, Violation, id};
use serde::{Deserialize, Serialize};

use crate::{
    account::Account,
    command::{Begin, Command, End, Millis, Outcome},
};

/// How much longer than asked everything is kept: clocks of leaders differ, and a turn's retention
/// begins when the caller has its end, which is later than the end was recorded.
const MARGIN: Duration = Duration::from_secs(20);
/// How often what has run out is dropped.
const SWEEP: Millis = 5_000;
/// The longest chain that is followed; longer ones can't come from callers in order.
const LONGEST_CHAIN: usize = 4_096;

/// Names a thing of one organisation.
type Owned = (id::Organisation, id::Request);

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Turn {
    previous: Option<id::Request>,
    text: Bytes,
    until: Millis,
}

/// The turns that can be continued from, and the accounts of programs.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Turns {
    now: Millis,
    sweep_at: Millis,
    accounts: Map<Owned, Account>,
    kept: Map<Owned, Turn>,
}

impl Turns {
    /// Applies one committed command.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        let at = match command {
            Command::Begin(begin) => begin.at,
            Command::End(end) => end.at,
        };
        self.now = self.now.max(at);
        self.sweep();
        match command {
            Command::Begin(begin) => self.begin(begin),
            Command::End(end) => self.end(end),
        }
    }

    fn begin(&mut self, begin: &Begin) -> Outcome {
        let chain = match &begin.previous {
            None => Vec::new(),
            Some(previous) => match self.chain(&begin.organisation, previous) {
                Some(chain) => chain,
                None => return Outcome::NoTurn,
            },
        };
        if let Some((program, budget)) = &begin.budget {
            let until = self.until(begin.retention);
            let owned = (begin.organisation.clone(), program.clone());
            let account = self.accounts.entry(owned).or_default();
            account.until = account.until.max(until);
            if !account.reserve(&begin.request, begin.most, *budget) {
                return Outcome::OverBudget {
                    spent: account.spent,
                    reserved: account.outstanding(),
                };
            }
        }
        Outcome::Begun(if begin.holds_chain { Vec::new() } else { chain })
    }

    fn end(&mut self, end: &End) -> Outcome {
        let until = self.until(end.retention);
        if let Some(program) = &end.program {
            let owned = (end.organisation.clone(), program.clone());
            let account = self.accounts.entry(owned).or_default();
            account.settle(&end.request, end.spent);
            account.until = account.until.max(until);
        }
        if let Some(keep) = &end.keep {
            self.extend_chain(&end.organisation, keep.previous.as_ref(), until);
            let turn = Turn {
                previous: keep.previous.clone(),
                text: keep.text.clone(),
                until,
            };
            let owned = (end.organisation.clone(), end.request.clone());
            self.kept.insert(owned, turn);
        }
        Outcome::Ended
    }

    /// The texts of a chain, oldest first, or `None` if part of it is unknown.
    fn chain(&self, organisation: &id::Organisation, last: &id::Request) -> Option<Vec<Bytes>> {
        let mut texts = Vec::new();
        let mut next = Some(last);
        while let Some(request) = next {
            let turn = self.kept.get(&(organisation.clone(), request.clone()))?;
            texts.push(turn.text.clone());
            if texts.len() > LONGEST_CHAIN {
                return None;
            }
            next = turn.previous.as_ref();
        }
        texts.reverse();
        Some(texts)
    }

    fn extend_chain(
        &mut self,
        organisation: &id::Organisation,
        last: Option<&id::Request>,
        until: Millis,
    ) {
        let mut next = last.cloned();
        while let Some(request) = next.clone() {
            let Some(turn) = self.kept.get_mut(&(organisation.clone(), request)) else {
                break;
            };
            turn.until = turn.until.max(until);
            next.clone_from(&turn.previous);
        }
    }

    fn until(&self, retention: Duration) -> Millis {
        let kept = u64::try_from((retention + MARGIN).as_millis()).unwrap_or(u64::MAX);
        self.now.saturating_add(kept)
    }

    fn sweep(&mut self) {
        if self.now < self.sweep_at {
            return;
        }
        let now = self.now;
        self.sweep_at = now + SWEEP;
        self.accounts.retain(|_, account| account.until > now);
        self.kept.retain(|_, turn| turn.until > now);
    }

    /// How many turns and accounts are held, and the bytes of the turns' texts.
    #[must_use]
    pub fn size(&self) -> (usize, usize, usize) {
        let bytes = self.kept.values().map(|turn| turn.text.len()).sum();
        (self.kept.len(), self.accounts.len(), bytes)
    }

    /// Checks that every chain is whole.
    ///
    /// # Errors
    ///
    /// Returns the broken invariant.
    pub fn check(&self) -> Result<(), Violation> {
        for ((organisation, request), turn) in &self.kept {
            let Some(previous) = &turn.previous else {
                continue;
            };
            let parent = self.kept.get(&(organisation.clone(), previous.clone()));
            let whole = parent.is_some_and(|parent| parent.until >= turn.until);
            Violation::unless(whole, "chain-whole", || {
                format!("{request} of {organisation} outlives {previous}")
            })?;
        }
        Ok(())
    }
}
