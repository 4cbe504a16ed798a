//! The owner of token buckets, which leases tokens to entries.

use std::{collections::BTreeMap, time::Duration};

use celerycove_types::{Timestamp, Violation, id};
use serde::{Deserialize, Serialize};

use crate::ownership::CLOCK_MARGIN;

/// Identifies a lease; unique over the owners of all epochs.
pub type LeaseId = u64;

/// Maximum duration of a lease: a new owner waits until all leases of the previous one have
/// expired.
pub const MAX_LEASE: Duration = Duration::from_millis(300);
/// Minimum duration of a lease.
pub const MIN_LEASE: Duration = Duration::from_millis(50);
/// How long unspent tokens may be returned after their lease has expired. Until then they count
/// against the burst; tokens returned later would exceed it.
const RETURN_WINDOW: Duration = Duration::from_millis(250);
/// Upper bound of the rounding errors of refills.
const TOLERANCE_TOKENS: f64 = 1e-6;

/// The rate limit of an organisation.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Entitlement {
    /// Requests per second.
    pub rate: f64,
    /// Maximum number of requests in a burst.
    pub burst: u32,
}

/// An entry's request for tokens, which also returns unspent ones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The organisation whose tokens are requested.
    pub organisation: id::Organisation,
    /// Number of tokens that the entry expects to spend soon; zero if it only returns tokens.
    pub want: u32,
    /// Leases that are still valid, with their unspent tokens. The tokens of all other leases are
    /// spent or returned.
    pub open: Vec<(LeaseId, u32)>,
    /// Leases that the entry has closed, with the unspent tokens that it returns.
    pub closed: Vec<(LeaseId, u32)>,
    /// Percentage of the burst that must be left in the bucket for other requests.
    #[serde(default)]
    pub reserve: u8,
}

/// Tokens leased to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Id of the lease.
    pub id: LeaseId,
    /// Number of tokens; zero if none are available.
    pub tokens: u32,
    /// How long the tokens may be spent, counted from when the entry sent the request.
    pub lasts: Duration,
    /// How long to wait before the next request if no tokens are available.
    pub retry: Duration,
    /// Whether other entries may return tokens before the bucket is refilled.
    pub outstanding: bool,
}

/// A lease whose tokens may still be spent or returned.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct OpenLease {
    unspent: u32,
    /// When its unspent tokens cease to count against the burst.
    until: Timestamp,
}

/// The token bucket of one organisation.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Bucket {
    /// Number of tokens in the bucket.
    level: f64,
    /// When the bucket was last refilled.
    #[serde(rename = "at")]
    refilled_at: Timestamp,
    /// Leases that count against the burst.
    #[serde(rename = "lent")]
    leases: BTreeMap<LeaseId, OpenLease>,
}

impl Bucket {
    /// Returns the number of leased tokens that may still be spent or returned.
    fn outstanding(&self) -> u32 {
        self.leases.values().map(|lease| lease.unspent).sum()
    }

    fn refill(&mut self, now: Timestamp, entitlement: Entitlement) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let room = f64::from(entitlement.burst) - f64::from(self.outstanding());
        let filled = self.level + elapsed * entitlement.rate;
        self.level = filled.min(room).max(0.0);
    }

    /// Removes leases whose tokens can no longer be spent or returned. Since it isn't known whether
    /// the tokens were spent, they don't go back to the bucket; only the refill replaces them.
    fn expire(&mut self, now: Timestamp) {
        self.leases.retain(|_, lease| lease.until > now);
    }

    /// Applies the unspent tokens that an entry reports and returns.
    fn apply_report(&mut self, request: &Request) {
        for (id, unspent) in &request.open {
            if let Some(lease) = self.leases.get_mut(id) {
                lease.unspent = lease.unspent.min(*unspent);
            }
        }
        for (id, unspent) in &request.closed {
            if let Some(lease) = self.leases.remove(id) {
                self.level += f64::from(lease.unspent.min(*unspent));
            }
        }
    }

    /// Translates the bucket's times from one clock to another.
    fn rebased(mut self, from: Timestamp, to: Timestamp) -> Self {
        self.refilled_at = rebase(self.refilled_at, from, to);
        for lease in self.leases.values_mut() {
            lease.until = rebase(lease.until, from, to);
        }
        self
    }
}

/// Initial state of the buckets that no entry has requested tokens from yet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Unseen {
    /// Whether they were full at `at`; otherwise they were empty.
    full: bool,
    /// When the refill starts.
    at: Timestamp,
}

/// The state that an owner hands over to the next one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    buckets: BTreeMap<id::Organisation, Bucket>,
    unseen: Unseen,
}

/// Translates a time from one clock to another, where `from` and `to` are the same moment.
fn rebase(time: Timestamp, from: Timestamp, to: Timestamp) -> Timestamp {
    to.saturating_sub(from.saturating_sub(time)) + time.saturating_sub(from)
}

/// Owner of the buckets of some organisations during one epoch.
#[derive(Debug, Clone)]
pub struct Owner {
    /// When the owner may start to lease tokens.
    starts_at: Timestamp,
    unseen: Unseen,
    /// Id of the last lease.
    last_lease: LeaseId,
    buckets: BTreeMap<id::Organisation, Bucket>,
}

impl Owner {
    /// Creates an owner that leases no tokens before `starts_at`, as leases of an earlier owner may
    /// be valid until then. All of their tokens may be spent at the last moment, so the buckets are
    /// empty at `starts_at` unless they are known to be `full`. Ids of leases start with `epoch`,
    /// which keeps them apart from those of earlier owners.
    #[must_use]
    pub fn new(epoch: id::Epoch, starts_at: Timestamp, full: bool) -> Self {
        Self {
            starts_at,
            unseen: Unseen {
                full,
                at: starts_at,
            },
            last_lease: epoch << 32,
            buckets: BTreeMap::new(),
        }
    }

    /// Takes over the state of the previous owner, which has stopped leasing tokens. `sent` is when
    /// it was handed over by the previous owner's clock.
    pub fn take_over(&mut self, now: Timestamp, sent: Timestamp, handover: Handover) {
        if !self.is_waiting(now) {
            return;
        }
        self.starts_at = now;
        self.unseen = Unseen {
            at: rebase(handover.unseen.at, sent, now),
            ..handover.unseen
        };
        for (organisation, bucket) in handover.buckets {
            self.buckets.insert(organisation, bucket.rebased(sent, now));
        }
    }

    /// Starts the refill of new buckets earlier by `duration`, for tokens that accrued while the
    /// owner waited and certainly weren't spent: meanwhile, entries on their own admit only a
    /// fraction of the rate.
    pub(crate) fn credit(&mut self, duration: Duration) {
        self.unseen.at = self.unseen.at.saturating_sub(duration);
    }

    /// Returns whether leases of an earlier owner may still be valid.
    #[must_use]
    pub fn is_waiting(&self, now: Timestamp) -> bool {
        now < self.starts_at
    }

    /// Ends this ownership and returns the state for the next owner.
    #[must_use]
    pub fn hand_over(self) -> Handover {
        Handover {
            buckets: self.buckets,
            unseen: self.unseen,
        }
    }

    /// Leases tokens to an entry, after taking back those that it returns.
    pub fn grant(&mut self, now: Timestamp, request: &Request, entitlement: Entitlement) -> Lease {
        let wait = self.starts_at.saturating_sub(now);
        if !wait.is_zero() {
            return Lease {
                id: 0,
                tokens: 0,
                lasts: Duration::ZERO,
                retry: wait,
                outstanding: true,
            };
        }
        let unseen = self.unseen;
        let bucket = self
            .buckets
            .entry(request.organisation.clone())
            .or_insert_with(|| Bucket {
                level: if unseen.full {
                    f64::from(entitlement.burst)
                } else {
                    0.0
                },
                refilled_at: unseen.at,
                leases: BTreeMap::new(),
            });
        // Refilled before the entry's report is applied: room that the report makes is only
        // refilled from now on.
        bucket.refill(now, entitlement);
        bucket.expire(now);
        bucket.apply_report(request);
        let reserve = f64::from(entitlement.burst) * f64::from(request.reserve) / 100.0;
        let tokens = tokens_to_lease(bucket.level - reserve, request.want);
        let lasts = lease_duration(entitlement);
        if tokens == 0 {
            return refusal(bucket, now, entitlement, reserve);
        }
        bucket.level -= f64::from(tokens);
        self.last_lease += 1;
        let lease = OpenLease {
            unspent: tokens,
            until: now + lasts.mul_f64(CLOCK_MARGIN) + RETURN_WINDOW,
        };
        bucket.leases.insert(self.last_lease, lease);
        Lease {
            id: self.last_lease,
            tokens,
            lasts,
            retry: Duration::ZERO,
            outstanding: false,
        }
    }

    /// Checks that the tokens in the bucket and the leased ones together don't exceed the burst.
    ///
    /// # Errors
    ///
    /// Returns the violated invariant.
    pub fn check(
        &self,
        entitlement: impl Fn(&id::Organisation) -> Option<Entitlement>,
    ) -> Result<(), Violation> {
        for (organisation, bucket) in &self.buckets {
            let Some(limit) = entitlement(organisation) else {
                continue;
            };
            let total = bucket.level + f64::from(bucket.outstanding());
            Violation::unless(
                total <= f64::from(limit.burst) + TOLERANCE_TOKENS,
                "tokens-within-burst",
                || format!("{organisation}: {total} of {}", limit.burst),
            )?;
        }
        Ok(())
    }
}

/// Returns how many tokens to lease: at most half of those available, rounded up, so that some are
/// left for the next entry.
fn tokens_to_lease(level: f64, want: u32) -> u32 {
    let available = (level.max(0.0) + TOLERANCE_TOKENS)
        .floor()
        .min(f64::from(u32::MAX));
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let available = available as u32;
    want.min(available.div_ceil(2))
}

/// Returns the duration of a lease: a quarter of the time to refill the burst, within [`MIN_LEASE`]
/// and [`MAX_LEASE`], so that unused tokens are soon returned.
fn lease_duration(entitlement: Entitlement) -> Duration {
    let refill_quarter = f64::from(entitlement.burst) / entitlement.rate / 4.0;
    Duration::from_secs_f64(refill_quarter.clamp(MIN_LEASE.as_secs_f64(), MAX_LEASE.as_secs_f64()))
}

/// Returns a lease without tokens; its `retry` is the time until the next token is expected.
fn refusal(bucket: &Bucket, now: Timestamp, entitlement: Entitlement, reserve: f64) -> Lease {
    let missing = (1.0 + reserve - bucket.level).max(0.0);
    let refill = Duration::from_secs_f64(missing / entitlement.rate);
    let next_expiry = bucket
        .leases
        .values()
        .filter(|lease| lease.unspent > 0)
        .map(|lease| lease.until.saturating_sub(now))
        .min();
    Lease {
        id: 0,
        tokens: 0,
        lasts: Duration::ZERO,
        retry: next_expiry.map_or(refill, |next_expiry| next_expiry.min(refill)),
        outstanding: next_expiry.is_some(),
    }
}
