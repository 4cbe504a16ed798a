//! The priority with which a prompt waits in an engine's queue.
//!
//! Engines are where the requests of all entries meet, so the order among programs is carried to
//! them in the priority of each request.

use std::time::Duration;

use celerycove_types::id;

/// Number of ranks that are kept apart; a larger rank counts as the last one.
const RANKS: u8 = 4;
/// First level for programs that can no longer finish in time. All levels of programs that can are
/// more urgent.
const LATE_LEVEL: u8 = 2 * RANKS;
/// Last level that engines accept.
const MAX_LEVEL: u8 = 9;
/// Time to generate a token on the fastest idle engine: steps take 4 ms at the usual speed, and the
/// fastest engines run at 1.6 times that speed.
const MIN_STEP: Duration = Duration::from_micros(2_500);

/// What decides the priority of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Turn {
    /// Rank of the organisation or route, 0 first.
    pub(super) rank: u8,
    /// Whether this is the first turn of its program.
    pub(super) begins_program: bool,
    /// Time left until the program should be finished, if it states one.
    pub(super) program_deadline: Option<Duration>,
    /// Maximum number of tokens to generate.
    pub(super) max_tokens: id::Tokens,
}

impl Turn {
    /// Returns the priority, from 0 (first) to 9.
    ///
    /// Turns whose program can no longer finish in time come last. Others are ordered by rank, and
    /// within a rank turns of programs in progress come before first turns: work already done is
    /// lost if a program in progress ends late. Requests without a program deadline are ordered by
    /// rank only.
    pub(super) fn priority(&self) -> u8 {
        let rank = self.rank.min(RANKS - 1);
        if self.is_late() {
            return (LATE_LEVEL + rank).min(MAX_LEVEL);
        }
        let is_postponed = self.begins_program && self.program_deadline.is_some();
        2 * rank + u8::from(is_postponed)
    }

    /// Returns whether the program can no longer finish in time, even on an idle engine.
    fn is_late(&self) -> bool {
        let max_tokens = u32::try_from(self.max_tokens).unwrap_or(u32::MAX);
        self.program_deadline
            .is_some_and(|left| left.is_zero() || left < MIN_STEP.saturating_mul(max_tokens))
    }
}

#[cfg(test)]
#[path = "urgency_tests.rs"]
mod tests;
