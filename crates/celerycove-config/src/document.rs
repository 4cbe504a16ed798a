//! The configuration itself.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    str::FromStr,
};

use celerycove_types::{Labels, Requirements, id, label};
use serde::{Deserialize, Serialize};

/// What may carry labels or be drained.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Subject {
    /// A program.
    Program(id::Program),
    /// An organisation.
    Organisation(id::Organisation),
    /// A backend server.
    Backend(id::Backend),
    /// A data centre.
    DataCentre(id::DataCentre),
}

/// A subject that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "could not read the subject {0:?}: expected program/ID, organisation/ID, backend/ID or data-centre/ID"
)]
pub struct SubjectError(String);

impl FromStr for Subject {
    type Err = SubjectError;

    fn from_str(text: &str) -> Result<Self, SubjectError> {
        let fault = || SubjectError(text.to_owned());
        let (kind, name) = text.split_once('/').ok_or_else(fault)?;
        if !label::is_valid(name) {
            return Err(fault());
        }
        match kind {
            "program" => Ok(Self::Program(name.into())),
            "organisation" => Ok(Self::Organisation(name.into())),
            "backend" => Ok(Self::Backend(name.into())),
            "data-centre" => Ok(Self::DataCentre(name.into())),
            _ => Err(fault()),
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Program(name) => write!(f, "program/{name}"),
            Self::Organisation(name) => write!(f, "organisation/{name}"),
            Self::Backend(name) => write!(f, "backend/{name}"),
            Self::DataCentre(name) => write!(f, "data-centre/{name}"),
        }
    }
}

impl TryFrom<String> for Subject {
    type Error = SubjectError;

    fn try_from(text: String) -> Result<Self, SubjectError> {
        text.parse()
    }
}

impl From<Subject> for String {
    fn from(subject: Subject) -> Self {
        subject.to_string()
    }
}

/// A tenant and what it is owed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Requests a second over the whole fleet.
    pub rate: f64,
    /// Requests that may come at once after a pause.
    pub burst: u32,
    /// The share of a busy backend server relative to other organisations.
    pub weight: u32,
}

impl Default for Organisation {
    fn default() -> Self {
        Self {
            rate: 10.0,
            burst: 20,
            weight: 1,
        }
    }
}

/// A caller's key, known only by digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The organisation that requests with this key run for.
    pub organisation: id::Organisation,
    /// SHA-256 of the secret, in hexadecimal.
    pub digest: String,
}

/// A rule on which traffic may reach which targets.
///
/// A target matched by any selector is open only to traffic that such a selector matches. With
/// `confine`, the matched traffic may reach no other targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Selector {
    /// Which traffic the rule speaks of.
    pub traffic: Requirements,
    /// Which backend servers, model versions and adapters it speaks of.
    pub target: Requirements,
    /// Whether the traffic is kept away from all other targets.
    pub confine: bool,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Config {
    /// How many proposals were accepted before and with this version.
    pub version: id::Version,
    /// Organisations by id.
    pub organisations: BTreeMap<id::Organisation, Organisation>,
    /// Keys by public id.
    pub keys: BTreeMap<id::Key, Key>,
    /// Labels that operators attached.
    pub labels: BTreeMap<Subject, Labels>,
    /// Backend servers and data centres that get no new work.
    pub drained: BTreeSet<Subject>,
    /// Selectors by name.
    pub selectors: BTreeMap<String, Selector>,
}
