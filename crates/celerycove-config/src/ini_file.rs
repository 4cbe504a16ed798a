//! The INI format of configuration changes, read by `celerycove apply`.
//!
//! Sections are `[organisation ID]` (`rate`, `burst`, `weight`), `[labels KIND/ID]` (label keys; an
//! empty value removes the label), `[selector NAME]` (`traffic`, `target`, `confine`) and
//! `[drain KIND/ID]` (`drained`).

use std::collections::BTreeMap;

use celerycove_types::Requirements;
use ini::{Ini, Properties};

use crate::{
    change::Change,
    document::{Config, Organisation, Selector, Subject},
};

/// An error in a file of configuration changes.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("section [{section}], key {key}: {reason}")]
pub struct Error {
    /// The section's name, or `-` outside any section.
    pub section: String,
    /// The key, or `-` if the error concerns the whole section.
    pub key: String,
    /// The cause.
    pub reason: String,
}

/// Parses a file of changes, one change per section.
///
/// # Errors
///
/// Returns the first error of every invalid section.
pub fn parse(text: &str) -> Result<Vec<Change>, Vec<Error>> {
    let ini = Ini::load_from_str(text).map_err(|error| {
        vec![Error {
            section: "-".to_owned(),
            key: "-".to_owned(),
            reason: error.to_string(),
        }]
    })?;
    let mut changes = Vec::new();
    let mut errors = Vec::new();
    for (section, properties) in &ini {
        let Some(section) = section else {
            if !properties.is_empty() {
                errors.push(file_error("-", "-", "keys before the first section"));
            }
            continue;
        };
        match parse_section(section, properties) {
            Ok(change) => changes.push(change),
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() {
        Ok(changes)
    } else {
        Err(errors)
    }
}

/// Formats a configuration for [`parse`], leaving out the API keys.
#[must_use]
pub fn render(config: &Config) -> String {
    let mut ini = Ini::new();
    for (id, organisation) in &config.organisations {
        ini.with_section(Some(format!("organisation {id}")))
            .set("rate", organisation.rate.to_string())
            .set("burst", organisation.burst.to_string())
            .set("weight", organisation.weight.to_string());
    }
    for (subject, labels) in &config.labels {
        for (key, value) in labels {
            ini.with_section(Some(format!("labels {subject}")))
                .set(key, value);
        }
    }
    for (name, selector) in &config.selectors {
        ini.with_section(Some(format!("selector {name}")))
            .set("traffic", selector.traffic.to_string())
            .set("target", selector.target.to_string())
            .set("confine", selector.confine.to_string());
    }
    for subject in &config.drained {
        ini.with_section(Some(format!("drain {subject}")))
            .set("drained", "true");
    }
    let mut text = Vec::new();
    // Writing to a Vec cannot fail, and the output is valid UTF-8.
    let written = ini.write_to(&mut text).is_ok();
    debug_assert!(written);
    String::from_utf8_lossy(&text).into_owned()
}

fn file_error(section: &str, key: &str, reason: impl std::fmt::Display) -> Error {
    Error {
        section: section.to_owned(),
        key: key.to_owned(),
        reason: reason.to_string(),
    }
}

fn parse_section(section: &str, properties: &Properties) -> Result<Change, Error> {
    let (kind, name) = section
        .split_once(' ')
        .ok_or_else(|| file_error(section, "-", "expected a kind and a name"))?;
    let name = name.trim();
    let subject = || {
        name.parse::<Subject>()
            .map_err(|error| file_error(section, "-", error))
    };
    match kind {
        "organisation" => {
            reject_unknown_keys(section, properties, &["rate", "burst", "weight"])?;
            let defaults = Organisation::default();
            Ok(Change::Organisation {
                id: name.into(),
                organisation: Some(Organisation {
                    rate: parse_value(section, properties, "rate", defaults.rate)?,
                    burst: parse_value(section, properties, "burst", defaults.burst)?,
                    weight: parse_value(section, properties, "weight", defaults.weight)?,
                }),
            })
        }
        "labels" => Ok(Change::Label {
            subject: subject()?,
            labels: properties
                .iter()
                .map(|(key, value)| {
                    let value = (!value.is_empty()).then(|| value.to_owned());
                    (key.to_owned(), value)
                })
                .collect::<BTreeMap<_, _>>(),
        }),
        "selector" => {
            reject_unknown_keys(section, properties, &["traffic", "target", "confine"])?;
            Ok(Change::Select {
                name: name.to_owned(),
                selector: Some(Selector {
                    traffic: parse_value(section, properties, "traffic", Requirements::default())?,
                    target: parse_value(section, properties, "target", Requirements::default())?,
                    confine: parse_value(section, properties, "confine", false)?,
                }),
            })
        }
        "drain" => {
            reject_unknown_keys(section, properties, &["drained"])?;
            Ok(Change::Drain {
                subject: subject()?,
                drained: parse_value(section, properties, "drained", true)?,
            })
        }
        _ => Err(file_error(
            section,
            "-",
            "unknown kind; expected organisation, labels, selector or drain",
        )),
    }
}

fn reject_unknown_keys(
    section: &str,
    properties: &Properties,
    known: &[&str],
) -> Result<(), Error> {
    match properties.iter().find(|(key, _)| !known.contains(key)) {
        Some((key, _)) => Err(file_error(
            section,
            key,
            format!("unknown key; known: {}", known.join(", ")),
        )),
        None => Ok(()),
    }
}

fn parse_value<T>(section: &str, properties: &Properties, key: &str, default: T) -> Result<T, Error>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    match properties.get(key) {
        Some(text) => text
            .trim()
            .parse()
            .map_err(|error| file_error(section, key, error)),
        None => Ok(default),
    }
}
