//! Invariants of a replica of a shard.

use celerycove_types::{Violation, id};

use crate::{shard::Shard, state::State};

impl State {
    /// Checks that reservations add up and that budgets are kept.
    ///
    /// # Errors
    ///
    /// Returns the violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        for (id, program) in &self.programs {
            let reserved: id::Tokens = program
                .chains
                .values()
                .filter_map(|chain| chain.pending.as_ref().filter(|p| p.live))
                .map(|pending| pending.reserve)
                .sum();
            Violation::unless(reserved == program.reserved, "reservations-add-up", || {
                format!(
                    "program {id}: calls in flight reserve {reserved} tokens, {} are recorded",
                    program.reserved
                )
            })?;
            let used = program.spent + program.reserved;
            Violation::unless(
                program.budget.is_none_or(|budget| used <= budget),
                "within-budget",
                || format!("program {id}: {used} tokens used of {:?}", program.budget),
            )?;
        }
        Ok(())
    }
}

impl Shard {
    /// Checks the invariants that involve a single replica only.
    ///
    /// # Errors
    ///
    /// Returns the violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        Violation::unless(self.last.epoch <= self.epoch, "epoch-monotone", || {
            format!("last record {:?} in epoch {}", self.last, self.epoch)
        })?;
        let sequence_numbers = self.recent.iter().map(|r| r.position.sequence);
        let is_contiguous = sequence_numbers
            .clone()
            .zip(sequence_numbers.skip(1))
            .all(|(previous, next)| next == previous + 1);
        Violation::unless(is_contiguous, "records-contiguous", || {
            format!(
                "shard {}: gap in the records up to {:?}",
                self.id, self.last
            )
        })?;
        self.state.check()
    }
}
