//! Decides by selectors and drains which traffic may reach which targets.

use celerycove_types::{Labels, id};

use crate::document::{Config, Subject};

/// Why a target is closed to some traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The backend server or its data centre is drained.
    Drained,
    /// A selector keeps the target for other traffic.
    Reserved,
    /// A selector confines the traffic to other targets.
    Confined,
}

/// Tells whether a backend server or its data centre is drained.
#[must_use]
pub fn is_drained(config: &Config, backend: &id::Backend, data_centre: &id::DataCentre) -> bool {
    config.drained.contains(&Subject::Backend(backend.clone()))
        || config
            .drained
            .contains(&Subject::DataCentre(data_centre.clone()))
}

/// Gives the labels of a target: its own, then those that operators attached.
#[must_use]
pub fn target_labels(
    config: &Config,
    own: &Labels,
    backend: &id::Backend,
    data_centre: &id::DataCentre,
) -> Labels {
    let mut labels = own.clone();
    for subject in [
        Subject::DataCentre(data_centre.clone()),
        Subject::Backend(backend.clone()),
    ] {
        if let Some(attached) = config.labels.get(&subject) {
            labels.extend(attached.clone());
        }
    }
    labels.insert("backend".to_owned(), backend.to_string());
    labels.insert("data-centre".to_owned(), data_centre.to_string());
    labels
}

/// Gives the labels of traffic: those of its organisation and program, then the built-in ones.
#[must_use]
pub fn traffic_labels(
    config: &Config,
    organisation: Option<&id::Organisation>,
    program: Option<&id::Program>,
    model: Option<&str>,
) -> Labels {
    let mut labels = Labels::new();
    let subjects = [
        organisation.map(|id| Subject::Organisation(id.clone())),
        program.map(|id| Subject::Program(id.clone())),
    ];
    for subject in subjects.iter().flatten() {
        if let Some(attached) = config.labels.get(subject) {
            labels.extend(attached.clone());
        }
    }
    let built_in = [
        ("organisation", organisation.map(ToString::to_string)),
        ("program", program.map(ToString::to_string)),
        ("model", model.map(ToOwned::to_owned)),
    ];
    for (key, value) in built_in {
        if let Some(value) = value {
            labels.insert(key.to_owned(), value);
        }
    }
    labels
}

/// Which selectors speak of some traffic, in the order of their names. Traffic of one class may
/// reach the same targets.
pub type Class = Vec<bool>;

/// Finds the class of traffic.
#[must_use]
pub fn class(config: &Config, traffic: &Labels) -> Class {
    config
        .selectors
        .values()
        .map(|selector| selector.traffic.matches(traffic))
        .collect()
}

/// Tells whether selectors let traffic of a class reach `target`.
///
/// # Errors
///
/// Returns why the target is closed.
pub fn admits(config: &Config, class: &Class, target: &Labels) -> Result<(), Refusal> {
    let mut reserved = false;
    let mut invited = false;
    let mut confined = false;
    let mut within = false;
    for (selector, from) in config.selectors.values().zip(class) {
        let from = *from;
        let to = selector.target.matches(target);
        reserved |= to;
        invited |= to && from;
        confined |= from && selector.confine;
        within |= from && selector.confine && to;
    }
    if reserved && !invited {
        return Err(Refusal::Reserved);
    }
    if confined && !within {
        return Err(Refusal::Confined);
    }
    Ok(())
}
