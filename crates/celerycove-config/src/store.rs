//! Evaluates proposals: compare-and-set on the version, idempotent by request id.

use std::collections::{BTreeMap, VecDeque};

use celerycove_types::{Violation, id};
use serde::{Deserialize, Serialize};

use crate::{
    apply::apply,
    change::{Change, Outcome, Proposal},
    document::Config,
    feed::Step,
};

/// Outcomes kept to answer resent proposals.
const MAX_OUTCOMES: usize = 4096;
/// Changes listed in a summary; the rest are only counted.
const MAX_SUMMARISED_CHANGES: usize = 4;

/// The current configuration, the operator who made it and the outcomes of the latest proposals.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Store {
    /// The current version.
    pub config: Config,
    /// The operator who made the current version.
    operator: String,
    /// A summary of the changes that made the current version.
    summary: String,
    outcomes: BTreeMap<id::Request, Outcome>,
    /// The keys of `outcomes`, oldest first, for eviction.
    #[serde(rename = "order")]
    eviction_order: VecDeque<id::Request>,
}

impl Store {
    /// Evaluates a proposal and applies it if valid; an accepted one also returns the step to send
    /// to followers.
    pub fn propose(&mut self, proposal: &Proposal) -> (Outcome, Option<Step>) {
        if let Some(outcome) = self.outcomes.get(&proposal.request) {
            return (outcome.clone(), None);
        }
        let (outcome, step) = self.evaluate(proposal);
        self.record_outcome(proposal.request.clone(), outcome.clone());
        (outcome, step)
    }

    /// Checks that the stored outcomes match the eviction queue and stay within the limit.
    ///
    /// # Errors
    ///
    /// Returns the violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        Violation::unless(
            self.outcomes.len() == self.eviction_order.len()
                && self.eviction_order.len() <= MAX_OUTCOMES,
            "outcomes-bounded",
            || {
                format!(
                    "{} outcomes, {} in the eviction queue",
                    self.outcomes.len(),
                    self.eviction_order.len()
                )
            },
        )
    }

    fn evaluate(&mut self, proposal: &Proposal) -> (Outcome, Option<Step>) {
        let version = self.config.version;
        if proposal
            .if_version
            .is_some_and(|required| required != version)
        {
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

    fn record_outcome(&mut self, request: id::Request, outcome: Outcome) {
        self.outcomes.insert(request.clone(), outcome);
        self.eviction_order.push_back(request);
        if self.eviction_order.len() > MAX_OUTCOMES
            && let Some(oldest) = self.eviction_order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }
}

fn summarise(changes: &[Change]) -> String {
    let mut parts: Vec<String> = changes
        .iter()
        .take(MAX_SUMMARISED_CHANGES)
        .map(Change::summary)
        .collect();
    if changes.len() > MAX_SUMMARISED_CHANGES {
        parts.push(format!("{} more", changes.len() - MAX_SUMMARISED_CHANGES));
    }
    parts.join("; ")
}
