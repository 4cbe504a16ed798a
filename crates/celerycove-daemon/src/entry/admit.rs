//! Admission: the key, the proof that the configuration is the newest, and the rate.

use std::sync::Arc;

use celerycove_config::{Config, secret};
use celerycove_types::id;
use hyper::{HeaderMap, StatusCode, header::AUTHORIZATION};

use super::{Entry, refuse::Refusal};

/// For whom a request runs.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The organisation whose key came with it.
    pub organisation: id::Organisation,
    /// The key's public id.
    pub key: id::Key,
    /// The organisation's weight.
    pub weight: u32,
}

impl Entry {
    /// The configuration, if it is surely the newest.
    pub(super) fn fresh_config(&self) -> Result<Arc<Config>, Refusal> {
        if !self.share.is_fresh(self.process.now()) {
            return Err(Refusal::stale());
        }
        Ok(self.share.view().config.clone())
    }

    /// Finds the caller by the key presented.
    pub(super) fn authenticate(&self, headers: &HeaderMap) -> Result<Caller, Refusal> {
        let config = self.fresh_config()?;
        let refused = || {
            Refusal::new(
                StatusCode::UNAUTHORIZED,
                "invalid_key",
                "a key that is in force is required as Authorization: Bearer KEY",
            )
        };
        let presented = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "))
            .ok_or_else(refused)?;
        let (key, organisation) =
            secret::authenticate(&config, presented.trim()).ok_or_else(refused)?;
        let weight = config
            .organisations
            .get(&organisation)
            .map_or(1, |found| found.weight);
        Ok(Caller {
            organisation,
            key,
            weight,
        })
    }

    /// Whether the key that a request came with is still in force.
    pub(super) fn is_in_force(&self, caller: &Caller) -> bool {
        let now = self.process.now();
        self.share.is_fresh(now) && self.share.view().config.keys.contains_key(&caller.key)
    }

    /// Spends one token of the caller's rate, waiting for it if the organisation is inside it.
    pub(super) async fn admit(&self, caller: &Caller) -> Result<(), Refusal> {
        self.purses.admit(&caller.organisation).await
    }
}
