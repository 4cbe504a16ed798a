//! The replicated state, built by applying the committed entries in order.

use celerycove_config::{Outcome, Store, feed::Step};
use celerycove_fleet::Fleet;
use celerycove_turn::Turns;
use celerycove_types::{Violation, id};
use serde::{Deserialize, Serialize};

use crate::{
    log::Command,
    placement::{self, Placement},
};

/// The replicated state of the control log.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct State {
    /// The configuration and the outcomes of recent proposals.
    pub store: Store,
    /// The assignment of shards to processes.
    pub placement: Placement,
    /// The fencing number allocated last.
    pub fence: id::FencingToken,
    /// The replicated state of a directly routed fleet.
    #[serde(default)]
    pub fleet: Fleet,
    /// The turns kept for continuation, and the token budgets of programs.
    #[serde(default)]
    pub turns: Turns,
}

/// The result of applying a committed command.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// The command has no result.
    None,
    /// The outcome of a proposal, and the configuration step it made unless it was rejected or a
    /// duplicate.
    Configured(Outcome, Option<Step>),
    /// The number of placement changes applied; the others were made for another epoch.
    Placed(usize),
    /// The fencing number allocated.
    Fenced(id::FencingToken),
    /// Whether the fleet's state changed.
    Fleet(celerycove_fleet::Effect),
    /// The outcome of a turn command.
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

    /// Checks the invariants of the state.
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        self.store.check()?;
        self.placement.check()?;
        self.fleet.check()?;
        self.turns.check()
    }
}
