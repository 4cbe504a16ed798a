//! What an entry lets through while it can't ask the owner of a bucket.

use std::time::Duration;

use celerycove_types::Timestamp;

use crate::owner::Entitlement;

/// The part of the whole that all entries together let through without an owner. Below one, since
/// for a moment an owner may lend to some entries while others can't reach it.
pub const PART: f64 = 0.6;

/// The part of the rate that an owner may lend while some entries are out of its reach.
#[must_use]
pub fn reduced(entitlement: Entitlement, unreachable: usize, entries: usize) -> Entitlement {
    #[allow(clippy::cast_precision_loss)]
    let away = unreachable as f64 / entries.max(1) as f64;
    Entitlement {
        rate: entitlement.rate * (1.0 - PART * away.min(1.0)),
        burst: entitlement.burst,
    }
}

/// An entry's own bucket.
#[derive(Debug, Clone, PartialEq)]
pub struct Fallback {
    level: f64,
    at: Timestamp,
}

impl Fallback {
    /// Begins with one request, without which a small organisation would wait for seconds.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            level: 1.0,
            at: now,
        }
    }

    /// Spends one token, if there is one; otherwise tells when there will be.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token.
    pub fn spend(
        &mut self,
        now: Timestamp,
        entitlement: Entitlement,
        entries: usize,
    ) -> Result<(), Duration> {
        #[allow(clippy::cast_precision_loss)]
        let part = PART / entries.max(1) as f64;
        let (rate, burst) = (entitlement.rate * part, f64::from(entitlement.burst) * part);
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.level = (self.level + elapsed * rate).min(burst.max(1.0));
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.level) / rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }
}
