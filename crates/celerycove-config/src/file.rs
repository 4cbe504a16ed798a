//! Reads the changes that `celerycove apply` proposes from an INI file.
//!
//! Sections are `[organisation ID]` (`rate`, `burst`, `weight`), `[labels KIND/ID]` (label keys),
//! `[selector NAME]` (`traffic`, `target`, `confine`) and `[drain KIND/ID]` (`drained`).

use std::collections::BTreeMap;

use celerycove_types::Requirements;
use ini::{Ini, Properties};

use crate::{
    change::Change,
    document::{Config, Organisation, Selector, Subject},
};

/// A fault in a file of changes.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("section [{section}], key {key}: {reason}")]
pub struct Fault {
    /// The section's heading.
    pub section: String,
    /// The key, or `-` where the section itself is at fault.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

/// Reads every section, or reports every fault.
///
/// # Errors
///
/// Returns all faults found.
pub fn parse(text: &str) -> Result<Vec<Change>, Vec<Fault>> {
    let ini = Ini::load_from_str(text).map_err(|error| {
        vec![Fault {
            section: "-".to_owned(),
            key: "-".to_owned(),
            reason: error.to_string(),
        }]
    })?;
    let mut changes = Vec::new();
    let mut faults = Vec::new();
    for (heading, properties) in &ini {
        let Some(heading) = heading else {
            if !properties.is_empty() {
                faults.push(fault("-", "-", "keys before the first section"));
            }
            continue;
        };
        match section(heading, properties) {
            Ok(change) => changes.push(change),
            Err(fault) => faults.push(fault),
        }
    }
    if faults.is_empty() {
        Ok(changes)
    } else {
        Err(faults)
    }
}

/// Writes a configuration so that [`parse`] reads it back, without its keys.
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
    // Writing to memory does not fail, and all that is written is text.
    let written = ini.write_to(&mut text).is_ok();
    debug_assert!(written);
    String::from_utf8_lossy(&text).into_owned()
}

fn fault(section: &str, key: &str, reason: impl std::fmt::Display) -> Fault {
    Fault {
        section: section.to_owned(),
        key: key.to_owned(),
        reason: reason.to_string(),
    }
}

fn section(heading: &str, properties: &Properties) -> Result<Change, Fault> {
    let (kind, name) = heading
        .split_once(' ')
        .ok_or_else(|| fault(heading, "-", "expected a kind and a name"))?;
    let name = name.trim();
    let subject = || {
        name.parse::<Subject>()
            .map_err(|error| fault(heading, "-", error))
    };
    match kind {
        "organisation" => {
            only(heading, properties, &["rate", "burst", "weight"])?;
            let standard = Organisation::default();
            Ok(Change::Organisation {
                id: name.into(),
                organisation: Some(Organisation {
                    rate: value(heading, properties, "rate", standard.rate)?,
                    burst: value(heading, properties, "burst", standard.burst)?,
                    weight: value(heading, properties, "weight", standard.weight)?,
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
            only(heading, properties, &["traffic", "target", "confine"])?;
            Ok(Change::Select {
                name: name.to_owned(),
                selector: Some(Selector {
                    traffic: value(heading, properties, "traffic", Requirements::default())?,
                    target: value(heading, properties, "target", Requirements::default())?,
                    confine: value(heading, properties, "confine", false)?,
                }),
            })
        }
        "drain" => {
            only(heading, properties, &["drained"])?;
            Ok(Change::Drain {
                subject: subject()?,
                drained: value(heading, properties, "drained", true)?,
            })
        }
        _ => Err(fault(
            heading,
            "-",
            "unknown kind; expected organisation, labels, selector or drain",
        )),
    }
}

fn only(heading: &str, properties: &Properties, known: &[&str]) -> Result<(), Fault> {
    match properties.iter().find(|(key, _)| !known.contains(key)) {
        Some((key, _)) => Err(fault(
            heading,
            key,
            format!("unknown key; known: {}", known.join(", ")),
        )),
        None => Ok(()),
    }
}

fn value<T>(heading: &str, properties: &Properties, key: &str, standard: T) -> Result<T, Fault>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    match properties.get(key) {
        Some(text) => text
            .trim()
            .parse()
            .map_err(|error| fault(heading, key, error)),
        None => Ok(standard),
    }
}
