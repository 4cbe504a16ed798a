//! Tokens that an entry has leased for one organisation; spending them takes no lock.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{
            AtomicU32, AtomicU64,
            Ordering::{AcqRel, Acquire, Relaxed, Release},
        },
    },
    time::Duration,
};

use celerycove_types::{Timestamp, id, micros};

use crate::owner::{Lease, LeaseId, Request};

/// Maximum number of tokens that an entry requests at once.
const MAX_REQUESTED_TOKENS: u32 = 1024;

/// State of the exchange with the owner.
#[derive(Debug, Default)]
struct State {
    /// The current lease; zero if there is none.
    lease: LeaseId,
    /// The last lease that was accepted.
    last_accepted: LeaseId,
    /// Closed leases not yet reported to the owner, with their unspent tokens.
    closed: Vec<(LeaseId, u32)>,
    /// Value of `Holder::spent` at the last request.
    spent_at_request: u64,
    requested_at: Timestamp,
    /// Number of tokens in the last request.
    requested: u32,
}

/// Tokens leased from the owner.
#[derive(Debug, Default)]
pub struct Holder {
    tokens: AtomicU32,
    /// When the lease expires, in microseconds of the process's clock.
    expires: AtomicU64,
    /// Number of tokens ever spent.
    spent: AtomicU64,
    state: Mutex<State>,
}

impl Holder {
    /// Spends one token, if there is one and the lease hasn't expired.
    pub fn spend(&self, now: Timestamp) -> bool {
        if self.expires.load(Acquire) <= micros(now) {
            return false;
        }
        let spent = self
            .tokens
            .fetch_update(AcqRel, Acquire, |tokens| tokens.checked_sub(1))
            .is_ok();
        if spent {
            self.spent.fetch_add(1, Relaxed);
        }
        spent
    }

    /// Puts back the token of a request that did not run.
    pub fn refund(&self) {
        self.tokens.fetch_add(1, AcqRel);
    }

    /// Returns whether more tokens should be requested: half of the last request is used up, or the
    /// lease has expired.
    #[must_use]
    pub fn needs_tokens(&self, now: Timestamp) -> bool {
        let state = self.state();
        self.tokens.load(Acquire) <= state.requested / 2
            || self.expires.load(Acquire) <= micros(now)
    }

    /// Returns whether tokens were spent since the last request, from a lease that hasn't expired.
    #[must_use]
    pub fn is_active(&self, now: Timestamp) -> bool {
        let is_valid = self.expires.load(Acquire) > micros(now);
        let spent = self.spent.load(Relaxed);
        spent > self.state().spent_at_request && is_valid
    }

    /// Builds a request to the owner for the tokens recently spent or now waited for. A lease
    /// granted in response starts at `now`.
    pub fn request(
        &self,
        now: Timestamp,
        organisation: &id::Organisation,
        waiting: u32,
    ) -> Request {
        let mut state = self.state();
        let spent = self.spent.load(Relaxed);
        let recent = u32::try_from(spent - state.spent_at_request).unwrap_or(u32::MAX);
        state.spent_at_request = spent;
        state.requested_at = now;
        state.requested = recent.max(waiting).clamp(1, MAX_REQUESTED_TOKENS);
        let open = if state.lease == 0 {
            Vec::new()
        } else {
            vec![(state.lease, self.tokens.load(Acquire))]
        };
        Request {
            organisation: organisation.clone(),
            want: state.requested,
            open,
            closed: std::mem::take(&mut state.closed),
            reserve: 0,
        }
    }

    /// Builds a request that returns the unspent tokens of an expired lease, if there is one.
    pub fn return_expired(
        &self,
        now: Timestamp,
        organisation: &id::Organisation,
    ) -> Option<Request> {
        let mut state = self.state();
        if state.lease == 0 || self.expires.load(Acquire) > micros(now) {
            return None;
        }
        let unspent = self.tokens.swap(0, AcqRel);
        let lease = std::mem::take(&mut state.lease);
        state.closed.push((lease, unspent));
        Some(Request {
            organisation: organisation.clone(),
            want: 0,
            open: Vec::new(),
            closed: std::mem::take(&mut state.closed),
            reserve: 0,
        })
    }

    /// Accepts a lease that was requested at `requested_at`; closes the previous lease, whose
    /// unspent tokens the next request returns.
    pub fn accept(&self, requested_at: Timestamp, lease: &Lease) {
        if lease.tokens == 0 {
            return;
        }
        let mut state = self.state();
        // A duplicate lease was already accepted; one that arrives late is abandoned.
        if lease.id <= state.last_accepted {
            return;
        }
        state.last_accepted = lease.id;
        // Emptying the tokens first keeps concurrent spenders, between the two stores below, from
        // spending more than the smaller of the two leases.
        let unspent = self.tokens.swap(0, AcqRel);
        if state.lease != 0 {
            let closed = (state.lease, unspent);
            state.closed.push(closed);
        }
        state.lease = lease.id;
        let duration: Duration = lease.lasts;
        self.expires.store(micros(requested_at + duration), Release);
        self.tokens.store(lease.tokens, Release);
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
