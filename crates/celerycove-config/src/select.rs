//! Decides which traffic may reach which targets, from selectors and drained subjects.

use celerycove_types::{Labels, id};

use crate::document::{Config, Subject};

/// Why traffic may not reach a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The backend server or its data centre is drained.
    Drained,
    /// Selectors reserve the target for other traffic.
    Reserved,
    /// Selectors confine the traffic to other targets.
    Confined,
}

/// Returns whether a backend server or its data centre is drained.
#[must_use]
pub fn is_drained(config: &Config, backend: &id::Backend, data_centre: &id::DataCentre) -> bool {
    config.drained.contains(&Subject::Backend(backend.clone()))
        || config
            .drained
            .contains(&Subject::DataCentre(data_centre.clone()))
}

/// Returns the labels of a target: its own, overridden by those that operators attached to the data
/// centre and the backend server, then the built-in ones.
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

/// Returns the labels of traffic: those of its organisation, overridden by those of its program,
/// then the built-in ones.
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

/// Whether each selector matches the traffic, in the order of the selectors' names. All traffic of
/// a class may reach the same targets.
pub type Class = Vec<bool>;

/// Computes the class of traffic with these labels.
#[must_use]
pub fn classify(config: &Config, traffic: &Labels) -> Class {
    config
        .selectors
        .values()
        .map(|selector| selector.traffic.matches(traffic))
        .collect()
}

/// Checks whether the selectors let traffic of a class reach `target`.
///
/// # Errors
///
/// Returns why the traffic may not reach the target.
pub fn check_access(config: &Config, class: &Class, target: &Labels) -> Result<(), Denial> {
    let mut reserved = false;
    let mut permitted = false;
    let mut confined = false;
    let mut confined_to_target = false;
    for (selector, matches_traffic) in config.selectors.values().zip(class) {
        let matches_traffic = *matches_traffic;
        let matches_target = selector.target.matches(target);
        reserved |= matches_target;
        permitted |= matches_target && matches_traffic;
        confined |= matches_traffic && selector.confine;
        confined_to_target |= matches_traffic && selector.confine && matches_target;
    }
    if reserved && !permitted {
        return Err(Denial::Reserved);
    }
    if confined && !confined_to_target {
        return Err(Denial::Confined);
    }
    Ok(())
}
