//! Local rate limiting at an entry that can't reach the owner of a bucket.

use std::time::Duration;

use celerycove_types::Timestamp;

use crate::owner::Entitlement;

/// Fraction of an organisation's rate and burst that all entries together admit without an owner.
/// Less than one, since an owner may briefly lease tokens to some entries while others can't reach
/// it.
pub const RATE_FRACTION: f64 = 0.6;

/// Returns the entitlement that an owner may lease from while some entries are unreachable: the
/// rate is reduced by what those entries may admit on their own.
#[must_use]
pub fn reduced_entitlement(
    entitlement: Entitlement,
    unreachable: usize,
    entries: usize,
) -> Entitlement {
    #[allow(clippy::cast_precision_loss)]
    let unreachable_fraction = unreachable as f64 / entries.max(1) as f64;
    Entitlement {
        rate: entitlement.rate * (1.0 - RATE_FRACTION * unreachable_fraction.min(1.0)),
        burst: entitlement.burst,
    }
}

/// Token bucket of one entry, for use while no owner is reachable.
#[derive(Debug, Clone, PartialEq)]
pub struct Fallback {
    tokens: f64,
    refilled_at: Timestamp,
}

impl Fallback {
    /// Creates a bucket with one token; if it were empty, an organisation with a low rate would
    /// wait for seconds.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            tokens: 1.0,
            refilled_at: now,
        }
    }

    /// Spends one token, if there is one.
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
        let fraction = RATE_FRACTION / entries.max(1) as f64;
        let (rate, burst) = (
            entitlement.rate * fraction,
            f64::from(entitlement.burst) * fraction,
        );
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * rate).min(burst.max(1.0));
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }
}
