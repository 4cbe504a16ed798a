//! Permission of an entry to send a share of a service's requests to the new version.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};

use crate::order::Revision;

/// Lifetime of a lease from its receipt; an entry that is cut off stops using the new version then.
pub const LIFETIME: Duration = Duration::from_secs(1);

/// Permission to send a share of the requests to the new version for a short time.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The service whose requests it applies to.
    pub service: Arc<str>,
    /// Revision of the rollout that it belongs to.
    pub revision: Revision,
    /// Share of the requests that go to the new version.
    pub share: Share,
    /// Time from receipt until the lease expires.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub lasts: Duration,
}

/// Share of requests in ten-thousandths, at most 10,000.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(from = "u16")]
pub struct Share(u16);

impl Share {
    /// No requests.
    pub const ZERO: Self = Self(0);
    /// All requests.
    pub const FULL: Self = Self(10_000);

    /// Converts a fraction; values outside 0 to 1 are clamped, and `NaN` becomes zero.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn from_fraction(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * 10_000.0) as u16)
    }

    /// Returns the share as a fraction from 0 to 1.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 10_000.0
    }

    /// Returns whether a program with this hash is in the share. A program in a share is also in
    /// every larger one.
    #[must_use]
    pub fn contains(self, hash: u64) -> bool {
        // Finalizer of SplitMix64: makes all bits of a weak hash affect the upper ones.
        let mut mixed = hash;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        (u128::from(mixed) * 10_000) >> 64 < u128::from(self.0)
    }
}

impl From<u16> for Share {
    fn from(ten_thousandths: u16) -> Self {
        Self(ten_thousandths.min(10_000))
    }
}
