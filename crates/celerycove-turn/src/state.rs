//! The replicated state: stored turns and accounts of programs.

use std::time::Duration;

use bytes::Bytes;
use celerycove_types::{Map, Violation, id};
use serde::{Deserialize, Serialize};

use crate::{
    account::Account,
    command::{Begin, Command, End, Outcome, UnixMillis},
};

/// Time that is added to every retention: the clocks of leaders differ, and a turn's retention
/// counts from when the caller receives the end of the turn, which is after the end was recorded.
const RETENTION_MARGIN: Duration = Duration::from_secs(20);
/// Interval at which expired turns and accounts are removed.
const SWEEP_INTERVAL_MS: u64 = 5_000;
/// Maximum number of turns in a chain; well-behaved callers never reach it.
const MAX_CHAIN_TURNS: usize = 4_096;

/// The id of a turn or program, scoped to the organisation that owns it.
type ScopedId = (id::Organisation, id::Request);

/// A stored turn.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Turn {
    previous: Option<id::Request>,
    text: Bytes,
    #[serde(rename = "until")]
    expires_at: UnixMillis,
}

/// Turns that later turns can continue, and the accounts of programs.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Turns {
    /// The latest time seen in a command; never goes back, although leaders' clocks differ.
    now: UnixMillis,
    /// The time of the next removal of expired entries.
    sweep_at: UnixMillis,
    accounts: Map<ScopedId, Account>,
    /// Stored turns by organisation and request id.
    kept: Map<ScopedId, Turn>,
}

impl Turns {
    /// Applies a committed command.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        let at = match command {
            Command::Begin(begin) => begin.at,
            Command::End(end) => end.at,
        };
        self.now = self.now.max(at);
        self.remove_expired();
        match command {
            Command::Begin(begin) => self.apply_begin(begin),
            Command::End(end) => self.apply_end(end),
        }
    }

    fn apply_begin(&mut self, begin: &Begin) -> Outcome {
        let chain = match &begin.previous {
            None => Vec::new(),
            Some(previous) => match self.chain_texts(&begin.organisation, previous) {
                Some(chain) => chain,
                None => return Outcome::NoTurn,
            },
        };
        if let Some((program, budget)) = &begin.budget {
            let expires_at = self.expires_at(begin.retention);
            let id = (begin.organisation.clone(), program.clone());
            let account = self.accounts.entry(id).or_default();
            account.expires_at = account.expires_at.max(expires_at);
            if !account.reserve(&begin.request, begin.max_tokens, *budget) {
                return Outcome::OverBudget {
                    spent: account.spent,
                    reserved: account.total_reserved(),
                };
            }
        }
        Outcome::Begun(if begin.holds_chain { Vec::new() } else { chain })
    }

    fn apply_end(&mut self, end: &End) -> Outcome {
        let expires_at = self.expires_at(end.retention);
        if let Some(program) = &end.program {
            let id = (end.organisation.clone(), program.clone());
            let account = self.accounts.entry(id).or_default();
            account.settle(&end.request, end.spent);
            account.expires_at = account.expires_at.max(expires_at);
        }
        if let Some(keep) = &end.keep {
            self.extend_retention(&end.organisation, keep.previous.as_ref(), expires_at);
            let turn = Turn {
                previous: keep.previous.clone(),
                text: keep.text.clone(),
                expires_at,
            };
            let id = (end.organisation.clone(), end.request.clone());
            self.kept.insert(id, turn);
        }
        Outcome::Ended
    }

    /// Returns the texts of a chain, oldest first, or `None` if a turn is missing or the chain is
    /// too long.
    fn chain_texts(
        &self,
        organisation: &id::Organisation,
        last: &id::Request,
    ) -> Option<Vec<Bytes>> {
        let mut texts = Vec::new();
        let mut next = Some(last);
        while let Some(request) = next {
            let turn = self.kept.get(&(organisation.clone(), request.clone()))?;
            texts.push(turn.text.clone());
            if texts.len() > MAX_CHAIN_TURNS {
                return None;
            }
            next = turn.previous.as_ref();
        }
        texts.reverse();
        Some(texts)
    }

    /// Keeps a chain at least until `expires_at`, so that it does not expire before a turn that
    /// continues it.
    fn extend_retention(
        &mut self,
        organisation: &id::Organisation,
        last: Option<&id::Request>,
        expires_at: UnixMillis,
    ) {
        let mut next = last.cloned();
        while let Some(request) = next.clone() {
            let Some(turn) = self.kept.get_mut(&(organisation.clone(), request)) else {
                break;
            };
            turn.expires_at = turn.expires_at.max(expires_at);
            next.clone_from(&turn.previous);
        }
    }

    /// Returns the time until which something with this retention is kept.
    fn expires_at(&self, retention: Duration) -> UnixMillis {
        let retention_ms =
            u64::try_from((retention + RETENTION_MARGIN).as_millis()).unwrap_or(u64::MAX);
        self.now.saturating_add(retention_ms)
    }

    /// Removes expired turns and accounts, at most once per [`SWEEP_INTERVAL_MS`].
    fn remove_expired(&mut self) {
        if self.now < self.sweep_at {
            return;
        }
        let now = self.now;
        self.sweep_at = now + SWEEP_INTERVAL_MS;
        self.accounts.retain(|_, account| account.expires_at > now);
        self.kept.retain(|_, turn| turn.expires_at > now);
    }

    /// Returns the number of turns, the number of accounts and the total size of the turns' texts
    /// in bytes.
    #[must_use]
    pub fn size(&self) -> (usize, usize, usize) {
        let bytes = self.kept.values().map(|turn| turn.text.len()).sum();
        (self.kept.len(), self.accounts.len(), bytes)
    }

    /// Checks that every chain is complete: no turn may expire before a turn that continues it.
    ///
    /// # Errors
    ///
    /// Returns the violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        for ((organisation, request), turn) in &self.kept {
            let Some(previous) = &turn.previous else {
                continue;
            };
            let parent = self.kept.get(&(organisation.clone(), previous.clone()));
            let is_complete = parent.is_some_and(|parent| parent.expires_at >= turn.expires_at);
            Violation::unless(is_complete, "chain-whole", || {
                format!("turn {request} of {organisation} outlives its predecessor {previous}")
            })?;
        }
        Ok(())
    }
}
