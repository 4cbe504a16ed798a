//! Invariants of one replica of a shard.

use celerycove_types::{Violation, id};

use crate::{shard::Shard, state::State};

impl State {
    /// Checks budgets, reservations and the order of calls.
    ///
    /// # Errors
    ///
    /// Returns the broken invariant.
    pub fn check(&self) -> Result<(), Violation> {
        for (id, program) in &self.programs {
            let reserved: id::Tokens = program
                .chains
                .values()
                .filter_map(|chain| chain.pending.as_ref().filter(|p| p.live))
                .map(|pending| pending.reserve)
                .sum();
            Violation::unless(reserved == program.reserved, "reservations-add-up", || {
                format!("{id}: {reserved} against {}", program.reserved)
            })?;
            let used = program.spent + program.reserved;
            Violation::unless(
                program.budget.is_none_or(|budget| used <= budget),
                "within-budget",
                || format!("{id}: {used} of {:?}", program.budget),
            )?;
        }
        Ok(())
    }
}

impl Shard {
    /// Checks the invariants that one replica can see alone.
    ///
    /// # Errors
    ///
    /// Returns the broken invariant.
    pub fn check(&self) -> Result<(), Violation> {
        Violation::unless(self.last.epoch <= self.epoch, "epoch-monotone", || {
            format!("{:?} in epoch {}", self.last, self.epoch)
        })?;
        let steps = self.recent.iter().map(|r| r.position.sequence);
        let follows = steps
            .clone()
            .zip(steps.skip(1))
            .all(|(before, after)| after == before + 1);
        Violation::unless(follows, "records-contiguous", || {
            format!("shard {}: {:?}", self.id, self.last)
        })?;
        self.state.check()
    }
}
