//! Proposals of operators and their outcomes.

use std::collections::BTreeMap;

use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::document::{Key, Organisation, Selector, Subject};

/// One step from a configuration to the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Creates an organisation or replaces its rate, burst and weight.
    Organisation {
        /// Which organisation.
        id: id::Organisation,
        /// Its new entitlement; `None` removes it with its keys.
        organisation: Option<Organisation>,
    },
    /// Sets or removes labels.
    Label {
        /// What the labels are on.
        subject: Subject,
        /// New values by key; `None` removes the label.
        labels: BTreeMap<String, Option<String>>,
    },
    /// Creates, replaces or removes a selector.
    Select {
        /// The selector's name.
        name: String,
        /// Its new rule; `None` removes it.
        selector: Option<Selector>,
    },
    /// Drains a backend server or data centre, or restores it.
    Drain {
        /// A backend server or data centre.
        subject: Subject,
        /// True to drain, false to restore.
        drained: bool,
    },
    /// Makes a key known by its digest.
    Issue {
        /// The key's public id.
        id: id::Key,
        /// Its organisation and digest.
        key: Key,
    },
    /// Withdraws a key.
    Withdraw {
        /// The key's public id.
        id: id::Key,
    },
}

/// Changes that an operator wants made together or not at all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Names the proposal, so that a resend has the same outcome.
    pub request: id::Request,
    /// Who proposes.
    pub operator: String,
    /// The version that the changes were made for, if the operator guards against a race.
    pub if_version: Option<id::Version>,
    /// The changes, applied in order.
    pub changes: Vec<Change>,
}

/// What became of a proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The changes are part of this version and all later ones.
    Accepted {
        /// The version that the proposal made.
        version: id::Version,
    },
    /// Another version came first.
    Conflict {
        /// The version in force.
        version: id::Version,
        /// Who made it.
        operator: String,
        /// What it changed.
        summary: String,
    },
    /// A change can't be made.
    Invalid {
        /// Which and why.
        reason: String,
    },
}

impl Change {
    /// Describes the change in a few words, without secrets.
    #[must_use]
    pub fn summary(&self) -> String {
        match self {
            Self::Organisation { id, organisation } => match organisation {
                Some(o) => format!("organisation {id}: rate {}/s, burst {}", o.rate, o.burst),
                None => format!("organisation {id}: removed"),
            },
            Self::Label { subject, labels } => {
                let parts: Vec<String> = labels
                    .iter()
                    .map(|(key, value)| match value {
                        Some(value) => format!("{key}={value}"),
                        None => format!("{key} removed"),
                    })
                    .collect();
                format!("{subject}: {}", parts.join(", "))
            }
            Self::Select { name, selector } => match selector {
                Some(s) => format!("selector {name}: [{}] to [{}]", s.traffic, s.target),
                None => format!("selector {name}: removed"),
            },
            Self::Drain { subject, drained } => {
                format!(
                    "{subject}: {}",
                    if *drained { "drained" } else { "restored" }
                )
            }
            Self::Issue { id, key } => format!("key {id}: issued to {}", key.organisation),
            Self::Withdraw { id } => format!("key {id}: withdrawn"),
        }
    }
}
