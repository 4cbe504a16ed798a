//! Configuration changes that operators propose, and their outcomes.

use std::collections::BTreeMap;

use celerycove_types::id;
use serde::{Deserialize, Serialize};

use crate::document::{Key, Organisation, Selector, Subject};

/// A single edit of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Creates an organisation or replaces its rate, burst and weight.
    Organisation {
        /// The organisation's id.
        id: id::Organisation,
        /// Its new settings; `None` removes it and its API keys.
        organisation: Option<Organisation>,
    },
    /// Sets or removes labels.
    Label {
        /// The entity that carries the labels.
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
    /// Adds an API key by its digest.
    Issue {
        /// The key's public id.
        id: id::Key,
        /// Its organisation and digest.
        key: Key,
    },
    /// Revokes an API key.
    Withdraw {
        /// The key's public id.
        id: id::Key,
    },
}

/// A set of changes that is applied atomically.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Idempotency key: a resent proposal gets the outcome of the first.
    pub request: id::Request,
    /// The operator who makes the proposal.
    pub operator: String,
    /// The version that must be current for the changes to apply; `None` applies them to any.
    pub if_version: Option<id::Version>,
    /// The changes, applied in order.
    pub changes: Vec<Change>,
}

/// The result of a proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The changes were committed.
    Accepted {
        /// The version that the proposal created.
        version: id::Version,
    },
    /// The current version is not the one that the proposal requires.
    Conflict {
        /// The current version.
        version: id::Version,
        /// The operator who created it.
        operator: String,
        /// What it changed.
        summary: String,
    },
    /// A change is invalid; none was applied.
    Invalid {
        /// The error of the first invalid change.
        reason: String,
    },
}

impl Change {
    /// Describes the change in one short line, without secrets.
    #[must_use]
    pub fn summary(&self) -> String {
        match self {
            Self::Organisation { id, organisation } => match organisation {
                Some(new) => format!(
                    "organisation {id}: rate {}/s, burst {}",
                    new.rate, new.burst
                ),
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
                Some(new) => format!("selector {name}: [{}] to [{}]", new.traffic, new.target),
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
