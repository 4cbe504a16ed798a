//! The state that the committed entries make.

use celerycove_config::{Outcome, Store, feed::Step};
use celerycove_fleet::Fleet;
use celerycove_turn::Turns;
use celerycove_types::{Violation, id};
use serde::{Deserialize, Serialize};

use crate::{
    log::Command,
    placement::{self, Placement},
};

/// Everything that changes slowly and is agreed upon.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct State {
    /// The configuration and the outcomes of proposals.
    pub store: Store,
    /// Which processes hold which shards.
    pub placement: Placement,
    /// The last fencing number taken.
    pub fence: id::Fence,
    /// The agreed state of a directly routed fleet.
    #[serde(default)]
    pub fleet: Fleet,
    /// Turns and budgets.
    #[serde(default)]
    pub turns: Turns,
}

/// What a committed entry gave.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Nothing to tell.
    None,
    /// The outcome of a proposal, with the step for followers if it was accepted now.
    Configured(Outcome, Option<Step>),
    /// How many of the placement's changes still fitted.
    Placed(usize),
    /// The fencing number taken.
    Fenced(id::Fence),
    /// Whether the fleet's state changed.
    Fleet(celerycove_fleet::Effect),
    /// What became of a turn's command.
    Turn(celerycove_turn::Outcome),
}

impl State {
    /// Applies one committed command.
    pub fn apply(&mut self, command: &Command) -> Effect {
        match command {
            Command::Noop | Command::Members(_) => Effect::None,
            Command::Configure(proposal) => {
                let (outcome, step) = self.store.propose(proposal);
                Effect::Configured(outcome, step)
            }
            Command::Place(changes) => {
                Effect::Placed(placement::apply(&mut self.placement, changes))
            }
            Command::Fence => {
                self.fence += 1;
                Effect::Fenced(self.fence)
            }
            Command::Fleet(command) => Effect::Fleet(self.fleet.apply(command)),
            Command::Turn(command) => Effect::Turn(self.turns.apply(command)),
        }
    }

    /// Checks the state's own invariants.
    ///
    /// # Errors
    ///
    /// Returns the broken invariant.
    pub fn check(&self) -> Result<(), Violation> {
        self.store.check()?;
        self.placement.check()?;
        self.fleet.check()?;
        self.turns.check()
    }
}
