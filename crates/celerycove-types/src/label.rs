//! Labels, and the requirements by which selectors match them.

use std::{collections::BTreeMap, fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Labels by key, sorted.
pub type Labels = BTreeMap<String, String>;

/// One condition on a set of labels.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Requirement {
    /// The label has one of the values.
    In(String, Vec<String>),
    /// The label is absent or has none of the values.
    NotIn(String, Vec<String>),
    /// The label is present.
    Exists(String),
    /// The label is absent.
    Absent(String),
}

/// Conditions that must all hold, written `key=a|b,key!=c,key,!key`; empty matches everything.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Requirements(Vec<Requirement>);

/// A requirement or label that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("could not read the requirement {0:?}: expected key=a|b, key!=a|b, key or !key")]
pub struct Error(String);

impl Requirement {
    fn matches(&self, labels: &Labels) -> bool {
        match self {
            Self::In(key, values) => labels.get(key).is_some_and(|value| values.contains(value)),
            Self::NotIn(key, values) => labels.get(key).is_none_or(|value| !values.contains(value)),
            Self::Exists(key) => labels.contains_key(key),
            Self::Absent(key) => !labels.contains_key(key),
        }
    }
}

impl Requirements {
    /// Returns whether `labels` meet every requirement.
    #[must_use]
    pub fn matches(&self, labels: &Labels) -> bool {
        self.0.iter().all(|requirement| requirement.matches(labels))
    }
}

/// Returns whether `text` is valid as a name, label key or label value: 1 to 128 bytes of letters,
/// digits and `-_./:`.
#[must_use]
pub fn is_valid(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= 128
        && text
            .chars()
            .all(|c| c.is_alphanumeric() || "-_./:".contains(c))
}

fn parse_requirement(text: &str) -> Result<Requirement, Error> {
    let error = || Error(text.to_owned());
    let values = |list: &str| -> Result<Vec<String>, Error> {
        let values: Vec<String> = list
            .split('|')
            .map(|value| value.trim().to_owned())
            .collect();
        if values.iter().all(|value| is_valid(value)) {
            Ok(values)
        } else {
            Err(error())
        }
    };
    let key = |name: &str| -> Result<String, Error> {
        let name = name.trim();
        if is_valid(name) {
            Ok(name.to_owned())
        } else {
            Err(error())
        }
    };
    if let Some((name, list)) = text.split_once("!=") {
        return Ok(Requirement::NotIn(key(name)?, values(list)?));
    }
    if let Some((name, list)) = text.split_once('=') {
        return Ok(Requirement::In(key(name)?, values(list)?));
    }
    match text.trim().strip_prefix('!') {
        Some(name) => Ok(Requirement::Absent(key(name)?)),
        None => Ok(Requirement::Exists(key(text)?)),
    }
}

impl FromStr for Requirements {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        text.split(',')
            .filter(|part| !part.trim().is_empty())
            .map(parse_requirement)
            .collect::<Result<Vec<_>, _>>()
            .map(Self)
    }
}

impl TryFrom<String> for Requirements {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Requirements> for String {
    fn from(requirements: Requirements) -> Self {
        requirements.to_string()
    }
}

impl fmt::Display for Requirements {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, requirement) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            match requirement {
                Requirement::In(key, values) => write!(f, "{key}={}", values.join("|"))?,
                Requirement::NotIn(key, values) => write!(f, "{key}!={}", values.join("|"))?,
                Requirement::Exists(key) => f.write_str(key)?,
                Requirement::Absent(key) => write!(f, "!{key}")?,
            }
        }
        Ok(())
    }
}

/// Parses labels written `key=value,key=value`.
///
/// # Errors
///
/// Returns the first part that is not `key=value` or has an invalid key or value.
pub fn parse_labels(text: &str) -> Result<Labels, Error> {
    text.split(',')
        .filter(|part| !part.trim().is_empty())
        .map(|part| {
            let (key, value) = part.split_once('=').ok_or_else(|| Error(part.to_owned()))?;
            let (key, value) = (key.trim(), value.trim());
            if is_valid(key) && is_valid(value) {
                Ok((key.to_owned(), value.to_owned()))
            } else {
                Err(Error(part.to_owned()))
            }
        })
        .collect()
}
