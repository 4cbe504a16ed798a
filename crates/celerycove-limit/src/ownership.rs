//! Ownership of the buckets of a shard: when a process may lease tokens, and how it hands over.

use std::time::Duration;

use celerycove_types::{Timestamp, Violation, id};

use crate::owner::{Entitlement, Handover, Lease, MAX_LEASE, Owner, Request};

/// Factor by which a process waits longer than another may act, since their clocks may differ in
/// rate.
pub(crate) const CLOCK_MARGIN: f64 = 1.1;

/// One process's ownership of the buckets of one shard.
#[derive(Debug, Clone)]
pub struct Ownership {
    owner_epoch: id::Epoch,
    /// How long the process may lease tokens after the last proof that it is the owner.
    proof_validity: Duration,
    owner: Owner,
}

impl Ownership {
    /// Takes ownership with an epoch. Unless the owner `is_first`, it waits: an earlier owner may
    /// lease tokens for `proof_validity` after the last proof of its ownership, and those leases
    /// may still be valid after that.
    #[must_use]
    pub fn new(epoch: id::Epoch, now: Timestamp, proof_validity: Duration, is_first: bool) -> Self {
        let wait = if is_first {
            Duration::ZERO
        } else {
            (proof_validity + MAX_LEASE).mul_f64(CLOCK_MARGIN)
        };
        Self {
            owner_epoch: epoch,
            proof_validity,
            owner: Owner::new(epoch, now + wait, is_first),
        }
    }

    /// Takes ownership where entries admit requests on their own while no owner leases tokens,
    /// within [`RATE_FRACTION`](crate::fallback::RATE_FRACTION) of the rate.
    #[must_use]
    pub fn after_fallback(epoch: id::Epoch, now: Timestamp, proof_validity: Duration) -> Self {
        let mut ownership = Self::new(epoch, now, proof_validity, false);
        let wait = (proof_validity + MAX_LEASE).mul_f64(CLOCK_MARGIN);
        ownership
            .owner
            .credit(wait.mul_f64(1.0 - crate::fallback::RATE_FRACTION));
        ownership
    }

    /// Returns whether leases of an earlier owner may still be valid, so that no tokens are leased.
    #[must_use]
    pub fn is_waiting(&self, now: Timestamp) -> bool {
        self.owner.is_waiting(now)
    }

    /// Returns the epoch with which the process became the owner.
    #[must_use]
    pub fn epoch(&self) -> id::Epoch {
        self.owner_epoch
    }

    /// Takes over the state of the previous owner and returns true, if it was handed over to this
    /// owner's epoch. Returns false for any other epoch, since there was another owner in between.
    pub fn take_over(
        &mut self,
        epoch: id::Epoch,
        now: Timestamp,
        sent: Timestamp,
        handover: Handover,
    ) -> bool {
        let is_successor = epoch == self.owner_epoch;
        if is_successor {
            self.owner.take_over(now, sent, handover);
        }
        is_successor
    }

    /// Leases tokens; returns `None` if the last proof of ownership, `age` ago, is no longer valid.
    pub fn grant(
        &mut self,
        now: Timestamp,
        age: Duration,
        request: &Request,
        entitlement: Entitlement,
    ) -> Option<Lease> {
        (age < self.proof_validity).then(|| self.owner.grant(now, request, entitlement))
    }

    /// Gives up ownership and returns the state for the next owner. Returns `None` while leases of
    /// an earlier owner may still be valid, so that the next owner has to wait as well.
    #[must_use]
    pub fn hand_over(self, now: Timestamp) -> Option<Handover> {
        (!self.owner.is_waiting(now)).then(|| self.owner.hand_over())
    }

    /// Checks the owner's invariants.
    ///
    /// # Errors
    ///
    /// Returns the violated invariant.
    pub fn check(
        &self,
        entitlement: impl Fn(&id::Organisation) -> Option<Entitlement>,
    ) -> Result<(), Violation> {
        self.owner.check(entitlement)
    }
}
