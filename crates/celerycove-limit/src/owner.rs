//! The owner of buckets, who lends tokens.

use std::{collections::BTreeMap, time::Duration};

use celerycove_types::{Timestamp, Violation, id};
use serde::{Deserialize, Serialize};

use crate::seat::CLOCK_MARGIN;

/// Names a loan of one owner.
pub type LoanId = u64;

/// The longest that a loan lasts: a new owner waits until all loans of the one before have run out.
pub const LONGEST_LOAN: Duration = Duration::from_millis(300);
/// The shortest that a loan lasts.
pub const SHORTEST_LOAN: Duration = Duration::from_millis(50);
/// How long after its end a loan may still be given back. Until then its tokens count against the
/// burst; what came back later would come on top of it.
const GIVE_BACK: Duration = Duration::from_millis(250);
/// Rounding errors of refills stay below this many tokens.
const TOLERANCE: f64 = 1e-6;

/// What an organisation is owed.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Entitlement {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub burst: u32,
}

/// An entry asks for tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// For whom.
    pub organisation: id::Organisation,
    /// How many it expects to spend soon; zero only gives back.
    pub want: u32,
    /// What is still unspent of earlier loans that last; all others are spent or given back.
    pub open: Vec<(LoanId, u32)>,
    /// Earlier loans that were closed with so many unspent.
    pub closed: Vec<(LoanId, u32)>,
    /// Percent of the burst that must be left for others.
    #[serde(default)]
    pub reserve: u8,
}

/// Tokens lent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// Names the loan.
    pub id: LoanId,
    /// How many tokens; zero if there are none.
    pub tokens: u32,
    /// How long they may be spent, from the time of asking.
    pub lasts: Duration,
    /// When to ask again if there are none.
    pub retry: Duration,
    /// Whether tokens may come back from other entries before the refill brings any.
    pub outstanding: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Lent {
    unspent: u32,
    /// Until when it counts.
    until: Timestamp,
}

/// The tokens of one organisation.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Bucket {
    level: f64,
    at: Timestamp,
    lent: BTreeMap<LoanId, Lent>,
}

impl Bucket {
    /// Tokens that may still be spent or given back.
    fn outstanding(&self) -> u32 {
        self.lent.values().map(|lent| lent.unspent).sum()
    }

    fn refill(&mut self, now: Timestamp, entitlement: Entitlement) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let room = f64::from(entitlement.burst) - f64::from(self.outstanding());
        let filled = self.level + elapsed * entitlement.rate;
        self.level = filled.min(room).max(0.0);
    }

    /// Forgets loans that can neither be spent nor given back any more. Whether they were spent is
    /// not known, so only the refill makes up for them.
    fn expire(&mut self, now: Timestamp) {
        self.lent.retain(|_, lent| lent.until > now);
    }

    fn settle(&mut self, ask: &Ask) {
        for (loan, unspent) in &ask.open {
            if let Some(lent) = self.lent.get_mut(loan) {
                lent.unspent = lent.unspent.min(*unspent);
            }
        }
        for (loan, unspent) in &ask.closed {
            if let Some(lent) = self.lent.remove(loan) {
                self.level += f64::from(lent.unspent.min(*unspent));
            }
        }
    }

    /// Re-bases the bucket's times from one clock to another.
    fn rebased(mut self, from: Timestamp, to: Timestamp) -> Self {
        self.at = rebase(self.at, from, to);
        for lent in self.lent.values_mut() {
            lent.until = rebase(lent.until, from, to);
        }
        self
    }
}

/// What is known of buckets that nobody has asked for yet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Unseen {
    /// Whether they were full at `at`; otherwise they were empty.
    full: bool,
    at: Timestamp,
}

/// What one owner hands over to the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Estate {
    buckets: BTreeMap<id::Organisation, Bucket>,
    unseen: Unseen,
}

/// Re-bases a time from one clock to another.
fn rebase(time: Timestamp, from: Timestamp, to: Timestamp) -> Timestamp {
    to.saturating_sub(from.saturating_sub(time)) + time.saturating_sub(from)
}

/// The owner of some organisations' buckets during one epoch.
#[derive(Debug, Clone)]
pub struct Owner {
    quiet_until: Timestamp,
    unseen: Unseen,
    next: LoanId,
    buckets: BTreeMap<id::Organisation, Bucket>,
}

impl Owner {
    /// Starts owning. Until `quiet_until` an earlier owner's loans may last, so nothing is lent.
    /// All may have been spent just then, so buckets are empty unless they are known to be `full`.
    /// `epoch` keeps the names of loans apart from those of earlier owners.
    #[must_use]
    pub fn new(epoch: id::Epoch, quiet_until: Timestamp, full: bool) -> Self {
        Self {
            quiet_until,
            unseen: Unseen {
                full,
                at: quiet_until,
            },
            next: epoch << 32,
            buckets: BTreeMap::new(),
        }
    }

    /// Takes over from the owner before, who lends no more.
    pub fn inherit(&mut self, now: Timestamp, sent: Timestamp, estate: Estate) {
        if !self.is_quiet(now) {
            return;
        }
        self.quiet_until = now;
        self.unseen = Unseen {
            at: rebase(estate.unseen.at, sent, now),
            ..estate.unseen
        };
        for (organisation, bucket) in estate.buckets {
            self.buckets.insert(organisation, bucket.rebased(sent, now));
        }
    }

    /// Counts what was earned, but surely not spent, during the quiet time: entries that help
    /// themselves meanwhile let through only a part of the rate.
    pub(crate) fn credit(&mut self, earned: Duration) {
        self.unseen.at = self.unseen.at.saturating_sub(earned);
    }

    /// Whether an earlier owner's loans may last.
    #[must_use]
    pub fn is_quiet(&self, now: Timestamp) -> bool {
        now < self.quiet_until
    }

    /// Gives the buckets away; this owner must lend no more.
    #[must_use]
    pub fn bequeath(self) -> Estate {
        Estate {
            buckets: self.buckets,
            unseen: self.unseen,
        }
    }

    /// Lends tokens.
    pub fn lend(&mut self, now: Timestamp, ask: &Ask, entitlement: Entitlement) -> Loan {
        let quiet = self.quiet_until.saturating_sub(now);
        if !quiet.is_zero() {
            return Loan {
                id: 0,
                tokens: 0,
                lasts: Duration::ZERO,
                retry: quiet,
                outstanding: true,
            };
        }
        let unseen = self.unseen;
        let bucket = self
            .buckets
            .entry(ask.organisation.clone())
            .or_insert_with(|| Bucket {
                level: if unseen.full {
                    f64::from(entitlement.burst)
                } else {
                    0.0
                },
                at: unseen.at,
                lent: BTreeMap::new(),
            });
        // Room that a report makes is filled from now on, not from before.
        bucket.refill(now, entitlement);
        bucket.expire(now);
        bucket.settle(ask);
        let reserve = f64::from(entitlement.burst) * f64::from(ask.reserve) / 100.0;
        let tokens = share(bucket.level - reserve, ask.want);
        let lasts = loan_length(entitlement);
        if tokens == 0 {
            return refuse(bucket, now, entitlement, reserve);
        }
        bucket.level -= f64::from(tokens);
        self.next += 1;
        let lent = Lent {
            unspent: tokens,
            until: now + lasts.mul_f64(CLOCK_MARGIN) + GIVE_BACK,
        };
        bucket.lent.insert(self.next, lent);
        Loan {
            id: self.next,
            tokens,
            lasts,
            retry: Duration::ZERO,
            outstanding: false,
        }
    }

    /// Checks that tokens in the bucket and lent together stay within the burst.
    ///
    /// # Errors
    ///
    /// Returns the broken invariant.
    pub fn check(
        &self,
        entitlement: impl Fn(&id::Organisation) -> Option<Entitlement>,
    ) -> Result<(), Violation> {
        for (organisation, bucket) in &self.buckets {
            let Some(owed) = entitlement(organisation) else {
                continue;
            };
            let total = bucket.level + f64::from(bucket.outstanding());
            Violation::unless(
                total <= f64::from(owed.burst) + TOLERANCE,
                "tokens-within-burst",
                || format!("{organisation}: {total} of {}", owed.burst),
            )?;
        }
        Ok(())
    }
}

/// How many tokens to lend: half of what is there at most, so that the next entry finds some.
fn share(level: f64, want: u32) -> u32 {
    let whole = (level.max(0.0) + TOLERANCE)
        .floor()
        .min(f64::from(u32::MAX));
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = whole as u32;
    want.min(whole.div_ceil(2))
}

/// How long a loan lasts: so short that tokens asleep in one entry soon come back.
fn loan_length(entitlement: Entitlement) -> Duration {
    let quarter = f64::from(entitlement.burst) / entitlement.rate / 4.0;
    Duration::from_secs_f64(quarter.clamp(SHORTEST_LOAN.as_secs_f64(), LONGEST_LOAN.as_secs_f64()))
}

fn refuse(bucket: &Bucket, now: Timestamp, entitlement: Entitlement, reserve: f64) -> Loan {
    let missing = (1.0 + reserve - bucket.level).max(0.0);
    let refill = Duration::from_secs_f64(missing / entitlement.rate);
    let back = bucket
        .lent
        .values()
        .filter(|lent| lent.unspent > 0)
        .map(|lent| lent.until.saturating_sub(now))
        .min();
    Loan {
        id: 0,
        tokens: 0,
        lasts: Duration::ZERO,
        retry: back.map_or(refill, |back| back.min(refill)),
        outstanding: back.is_some(),
    }
}
