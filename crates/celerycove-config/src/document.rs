//! The data model of the configuration.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    str::FromStr,
};

use celerycove_types::{Labels, Requirements, id, label};
use serde::{Deserialize, Serialize};

/// An entity that can be labelled or, for backend servers and data centres, drained.
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

/// A subject that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "could not read the subject {0:?}: expected program/ID, organisation/ID, backend/ID or data-centre/ID"
)]
pub struct SubjectError(String);

impl FromStr for Subject {
    type Err = SubjectError;

    fn from_str(text: &str) -> Result<Self, SubjectError> {
        let error = || SubjectError(text.to_owned());
        let (kind, name) = text.split_once('/').ok_or_else(error)?;
        if !label::is_valid(name) {
            return Err(error());
        }
        match kind {
            "program" => Ok(Self::Program(name.into())),
            "organisation" => Ok(Self::Organisation(name.into())),
            "backend" => Ok(Self::Backend(name.into())),
            "data-centre" => Ok(Self::DataCentre(name.into())),
            _ => Err(error()),
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

/// A tenant's rate limit and scheduling weight.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Rate limit in requests per second, across all data centres.
    pub rate: f64,
    /// Requests that may arrive at once after an idle period (the token bucket's size).
    pub burst: u32,
    /// Relative share of a saturated backend server, compared with other organisations.
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

/// An API key, of which only the digest is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The organisation that requests with this key are accounted to.
    pub organisation: id::Organisation,
    /// SHA-256 of the secret, in hexadecimal.
    pub digest: String,
}

/// A rule on which traffic may reach which targets.
///
/// A target that any selector matches accepts only traffic that one of these selectors matches.
/// With `confine`, the matched traffic may reach no other targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Selector {
    /// The traffic that the rule applies to.
    pub traffic: Requirements,
    /// The backend servers, model versions and adapters that the rule applies to.
    pub target: Requirements,
    /// Whether the matched traffic may reach only the matched targets.
    pub confine: bool,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Config {
    /// Number of proposals accepted so far, including the one that made this version.
    pub version: id::Version,
    /// Organisations by id.
    pub organisations: BTreeMap<id::Organisation, Organisation>,
    /// API keys by public id.
    pub keys: BTreeMap<id::Key, Key>,
    /// Labels that operators attached to entities.
    pub labels: BTreeMap<Subject, Labels>,
    /// Backend servers and data centres that receive no new requests.
    pub drained: BTreeSet<Subject>,
    /// Selectors by name.
    pub selectors: BTreeMap<String, Selector>,
}
