//! Applies changes to a configuration.

use celerycove_types::label;

use crate::{
    change::Change,
    document::{Config, Subject},
};

/// Why a change is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The organisation of a new API key is unknown.
    #[error("could not issue a key: organisation {0:?} is unknown")]
    UnknownOrganisation(String),
    /// The id of a new API key is in use.
    #[error("could not issue a key: id {0:?} is taken")]
    KeyIdInUse(String),
    /// The id of a new API key contains an underscore, which separates the id from the secret.
    #[error("could not issue a key: id {0:?} has an underscore")]
    InvalidKeyId(String),
    /// The API key to revoke is unknown.
    #[error("could not withdraw the key: id {0:?} is unknown")]
    UnknownKey(String),
    /// The subject is neither a backend server nor a data centre.
    #[error("could not drain {0}: only a backend server or a data centre can be drained")]
    NotDrainable(Subject),
    /// A name or label is empty, too long or has characters that are not allowed.
    #[error("could not use the name {0:?}: letters, digits and -_./: are allowed, 128 at most")]
    InvalidName(String),
    /// A rate is not a positive number.
    #[error("could not set the rate of {0:?}: it must be a positive number of requests a second")]
    InvalidRate(String),
    /// A burst or weight is zero.
    #[error("could not set burst and weight of {0:?}: both must be at least 1")]
    ZeroBurstOrWeight(String),
    /// A digest is not a SHA-256 in hexadecimal.
    #[error("could not issue key {0:?}: the digest is not a SHA-256 in hexadecimal")]
    InvalidDigest(String),
}

fn validate_name(name: &str) -> Result<(), Error> {
    if label::is_valid(name) {
        Ok(())
    } else {
        Err(Error::InvalidName(name.to_owned()))
    }
}

/// Applies one change to `config` without advancing its version.
///
/// # Errors
///
/// Returns why the change is invalid; `config` is then unchanged.
pub fn apply(config: &mut Config, change: &Change) -> Result<(), Error> {
    match change {
        Change::Organisation { id, organisation } => {
            validate_name(id)?;
            let Some(organisation) = organisation else {
                config.organisations.remove(id);
                config.keys.retain(|_, key| key.organisation != *id);
                return Ok(());
            };
            if !(organisation.rate.is_finite() && organisation.rate > 0.0) {
                return Err(Error::InvalidRate(id.to_string()));
            }
            if organisation.burst == 0 || organisation.weight == 0 {
                return Err(Error::ZeroBurstOrWeight(id.to_string()));
            }
            config
                .organisations
                .insert(id.clone(), organisation.clone());
        }
        Change::Label { subject, labels } => {
            for (key, value) in labels {
                validate_name(key)?;
                value.as_deref().map_or(Ok(()), validate_name)?;
            }
            let current = config.labels.entry(subject.clone()).or_default();
            for (key, value) in labels {
                match value {
                    Some(value) => current.insert(key.clone(), value.clone()),
                    None => current.remove(key),
                };
            }
            if current.is_empty() {
                config.labels.remove(subject);
            }
        }
        Change::Select { name, selector } => {
            validate_name(name)?;
            match selector {
                Some(selector) => config.selectors.insert(name.clone(), selector.clone()),
                None => config.selectors.remove(name),
            };
        }
        Change::Drain { subject, drained } => {
            if !matches!(subject, Subject::Backend(_) | Subject::DataCentre(_)) {
                return Err(Error::NotDrainable(subject.clone()));
            }
            if *drained {
                config.drained.insert(subject.clone());
            } else {
                config.drained.remove(subject);
            }
        }
        Change::Issue { id, key } => {
            validate_name(id)?;
            if id.contains('_') {
                return Err(Error::InvalidKeyId(id.to_string()));
            }
            if !config.organisations.contains_key(&key.organisation) {
                return Err(Error::UnknownOrganisation(key.organisation.to_string()));
            }
            if config.keys.contains_key(id) {
                return Err(Error::KeyIdInUse(id.to_string()));
            }
            if key.digest.len() != 64 || !key.digest.bytes().all(|b| b.is_ascii_hexdigit()) {
                return Err(Error::InvalidDigest(id.to_string()));
            }
            config.keys.insert(id.clone(), key.clone());
        }
        Change::Withdraw { id } => {
            config
                .keys
                .remove(id)
                .ok_or_else(|| Error::UnknownKey(id.to_string()))?;
        }
    }
    Ok(())
}
