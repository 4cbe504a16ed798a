//! Judges proposals: compare-and-set on the version, once per request id.

use std::collections::{BTreeMap, VecDeque};

use celerycove_types::{Violation, id};
use serde::{Deserialize, Serialize};

use crate::{
    apply::apply,
    change::{Change, Outcome, Proposal},
    document::Config,
    feed::Step,
};

/// How many outcomes are kept for resends.
const REMEMBERED_OUTCOMES: usize = 4096;
/// How many changes a summary names before it is cut.
const SUMMARISED_CHANGES: usize = 4;

/// The configuration, who made it and the outcomes of the latest proposals.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Store {
    /// The version in force.
    pub config: Config,
    operator: String,
    summary: String,
    outcomes: BTreeMap<id::Request, Outcome>,
    order: VecDeque<id::Request>,
}

impl Store {
    /// Judges a proposal; an accepted one also gives the step that followers need.
    pub fn propose(&mut self, proposal: &Proposal) -> (Outcome, Option<Step>) {
        if let Some(outcome) = self.outcomes.get(&proposal.request) {
            return (outcome.clone(), None);
        }
        let (outcome, step) = self.judge(proposal);
        self.remember(proposal.request.clone(), outcome.clone());
        (outcome, step)
    }

    /// Checks that the outcomes kept and their order agree.
    ///
    /// # Errors
    ///
    /// Returns the broken invariant.
    pub fn check(&self) -> Result<(), Violation> {
        Violation::unless(
            self.outcomes.len() == self.order.len() && self.order.len() <= REMEMBERED_OUTCOMES,
            "outcomes-bounded",
            || {
                format!(
                    "{} outcomes, {} in order",
                    self.outcomes.len(),
                    self.order.len()
                )
            },
        )
    }

    fn judge(&mut self, proposal: &Proposal) -> (Outcome, Option<Step>) {
        let version = self.config.version;
        if proposal.if_version.is_some_and(|v| v != version) {
            let conflict = Outcome::Conflict {
                version,
                operator: self.operator.clone(),
                summary: self.summary.clone(),
            };
            return (conflict, None);
        }
        let mut config = self.config.clone();
        for change in &proposal.changes {
            if let Err(error) = apply(&mut config, change) {
                let reason = error.to_string();
                return (Outcome::Invalid { reason }, None);
            }
        }
        config.version = version + 1;
        self.config = config;
        self.operator.clone_from(&proposal.operator);
        self.summary = summarise(&proposal.changes);
        let step = Step {
            version: version + 1,
            changes: proposal.changes.clone(),
        };
        (
            Outcome::Accepted {
                version: version + 1,
            },
            Some(step),
        )
    }

    fn remember(&mut self, request: id::Request, outcome: Outcome) {
        self.outcomes.insert(request.clone(), outcome);
        self.order.push_back(request);
        if self.order.len() > REMEMBERED_OUTCOMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }
}

fn summarise(changes: &[Change]) -> String {
    let mut parts: Vec<String> = changes
        .iter()
        .take(SUMMARISED_CHANGES)
        .map(Change::summary)
        .collect();
    if changes.len() > SUMMARISED_CHANGES {
        parts.push(format!("{} more", changes.len() - SUMMARISED_CHANGES));
    }
    parts.join("; ")
}
