//! Admission: checks the API key, that the configuration is up to date, and the rate limit.

use std::sync::Arc;

use celerycove_config::{Config, secret};
use celerycove_types::id;
use hyper::{HeaderMap, StatusCode, header::AUTHORIZATION};

use super::{Entry, refuse::Refusal};

/// The caller of a request, as authenticated by its API key.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The organisation that the key belongs to.
    pub organisation: id::Organisation,
    /// The public id of the key.
    pub key: id::Key,
    /// The organisation's weight in the queues of backend servers.
    pub weight: u32,
}

impl Entry {
    /// Returns the configuration, or refuses if it may be out of date.
    pub(super) fn fresh_config(&self) -> Result<Arc<Config>, Refusal> {
        if !self.state.is_fresh(self.process.now()) {
            return Err(Refusal::stale_config());
        }
        Ok(self.state.view().config.clone())
    }

    /// Authenticates the caller by the API key in the headers.
    pub(super) fn authenticate(&self, headers: &HeaderMap) -> Result<Caller, Refusal> {
        let config = self.fresh_config()?;
        let invalid_key = || {
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
            .ok_or_else(invalid_key)?;
        let (key, organisation) =
            secret::authenticate(&config, presented.trim()).ok_or_else(invalid_key)?;
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

    /// Returns whether the configuration is up to date and the caller's key still valid under it.
    pub(super) fn is_key_valid(&self, caller: &Caller) -> bool {
        let now = self.process.now();
        self.state.is_fresh(now) && self.state.view().config.keys.contains_key(&caller.key)
    }

    /// Takes one rate-limit token of the caller's organisation. Waits for it if the organisation is
    /// within its rate.
    pub(super) async fn admit(&self, caller: &Caller) -> Result<(), Refusal> {
        self.limiter.admit(&caller.organisation).await
    }
}
