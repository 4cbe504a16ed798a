//! The right to own buckets: from when a process may lend, and how it passes that on.

use std::time::Duration;

use celerycove_types::{Timestamp, Violation, id};

use crate::owner::{Ask, Entitlement, Estate, LONGEST_LOAN, Loan, Owner};

/// How much longer one process waits than another acts, since their clocks may differ in rate.
pub(crate) const CLOCK_MARGIN: f64 = 1.1;

/// One process's right to own the buckets of one shard.
#[derive(Debug, Clone)]
pub struct Seat {
    began: id::Epoch,
    authority: Duration,
    owner: Owner,
}

impl Seat {
    /// Takes the seat with an epoch. An earlier owner may lend for `authority` after the last
    /// proof that it owns, and its loans may last after that; `first` says that there was none.
    #[must_use]
    pub fn begin(epoch: id::Epoch, now: Timestamp, authority: Duration, first: bool) -> Self {
        let wait = if first {
            Duration::ZERO
        } else {
            (authority + LONGEST_LOAN).mul_f64(CLOCK_MARGIN)
        };
        Self {
            began: epoch,
            authority,
            owner: Owner::new(epoch, now + wait, first),
        }
    }

    /// Takes the seat where entries help themselves as long as nobody lends, within
    /// [`PART`](crate::fallback::PART) of the rate.
    #[must_use]
    pub fn begin_after_fallback(epoch: id::Epoch, now: Timestamp, authority: Duration) -> Self {
        let mut seat = Self::begin(epoch, now, authority, false);
        let quiet = (authority + LONGEST_LOAN).mul_f64(CLOCK_MARGIN);
        seat.owner
            .credit(quiet.mul_f64(1.0 - crate::fallback::PART));
        seat
    }

    /// Whether tokens of an earlier owner may be out, so that nothing is lent.
    #[must_use]
    pub fn is_quiet(&self, now: Timestamp) -> bool {
        self.owner.is_quiet(now)
    }

    /// The epoch with which the seat began.
    #[must_use]
    pub fn began(&self) -> id::Epoch {
        self.began
    }

    /// Takes over what the owner before left in the epoch with which this seat began. What comes
    /// from any other epoch is refused: there was another owner in between.
    pub fn inherit(
        &mut self,
        epoch: id::Epoch,
        now: Timestamp,
        sent: Timestamp,
        estate: Estate,
    ) -> bool {
        let direct = epoch == self.began;
        if direct {
            self.owner.inherit(now, sent, estate);
        }
        direct
    }

    /// Lends tokens, if it was proved not longer ago than `age` that this process owns.
    pub fn lend(
        &mut self,
        now: Timestamp,
        age: Duration,
        ask: &Ask,
        entitlement: Entitlement,
    ) -> Option<Loan> {
        (age < self.authority).then(|| self.owner.lend(now, ask, entitlement))
    }

    /// Leaves the seat. While an owner before it may still have lent, there is nothing to hand
    /// over, and the next owner has to wait as well.
    #[must_use]
    pub fn leave(self, now: Timestamp) -> Option<Estate> {
        (!self.owner.is_quiet(now)).then(|| self.owner.bequeath())
    }

    /// Checks the owner's invariants.
    ///
    /// # Errors
    ///
    /// Returns the broken invariant.
    pub fn check(
        &self,
        entitlement: impl Fn(&id::Organisation) -> Option<Entitlement>,
    ) -> Result<(), Violation> {
        self.owner.check(entitlement)
    }
}
