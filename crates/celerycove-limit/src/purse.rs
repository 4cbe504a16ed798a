//! An entry's tokens of one organisation, spent without a lock.

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

use crate::owner::{Ask, Loan, LoanId};

/// The most tokens that one ask wants.
const LARGEST_ASK: u32 = 1024;

#[derive(Debug, Default)]
struct Ledger {
    /// The loan being spent; zero if it was given back.
    loan: LoanId,
    /// The latest loan ever taken.
    latest: LoanId,
    closed: Vec<(LoanId, u32)>,
    spent_at_ask: u64,
    asked: Timestamp,
    want: u32,
}

/// Tokens on loan from the owner.
#[derive(Debug, Default)]
pub struct Purse {
    tokens: AtomicU32,
    /// Microseconds of the process's clock.
    expires: AtomicU64,
    spent: AtomicU64,
    ledger: Mutex<Ledger>,
}

impl Purse {
    /// Spends one token, if there is one that lasts.
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

    /// Takes back a token that was spent on a request which then did not run.
    pub fn refund(&self) {
        self.tokens.fetch_add(1, AcqRel);
    }

    /// Whether it is time to ask for more before the tokens run out.
    #[must_use]
    pub fn is_low(&self, now: Timestamp) -> bool {
        let ledger = self.ledger();
        self.tokens.load(Acquire) <= ledger.want / 2 || self.expires.load(Acquire) <= micros(now)
    }

    /// Whether tokens were spent since the last question, or a loan lasts that was being spent.
    #[must_use]
    pub fn is_used(&self, now: Timestamp) -> bool {
        let lasts = self.expires.load(Acquire) > micros(now);
        let spent = self.spent.load(Relaxed);
        spent > self.ledger().spent_at_ask && lasts
    }

    /// The question to the owner; the time of asking is when the loan begins.
    pub fn ask(&self, now: Timestamp, organisation: &id::Organisation, waiting: u32) -> Ask {
        let mut ledger = self.ledger();
        let spent = self.spent.load(Relaxed);
        let recent = u32::try_from(spent - ledger.spent_at_ask).unwrap_or(u32::MAX);
        ledger.spent_at_ask = spent;
        ledger.asked = now;
        ledger.want = recent.max(waiting).clamp(1, LARGEST_ASK);
        let open = if ledger.loan == 0 {
            Vec::new()
        } else {
            vec![(ledger.loan, self.tokens.load(Acquire))]
        };
        Ask {
            organisation: organisation.clone(),
            want: ledger.want,
            open,
            closed: std::mem::take(&mut ledger.closed),
            reserve: 0,
        }
    }

    /// The question that gives back what is left of a loan which has run out, if anything is.
    pub fn give_back(&self, now: Timestamp, organisation: &id::Organisation) -> Option<Ask> {
        let mut ledger = self.ledger();
        if ledger.loan == 0 || self.expires.load(Acquire) > micros(now) {
            return None;
        }
        let left = self.tokens.swap(0, AcqRel);
        let loan = std::mem::take(&mut ledger.loan);
        ledger.closed.push((loan, left));
        Some(Ask {
            organisation: organisation.clone(),
            want: 0,
            open: Vec::new(),
            closed: std::mem::take(&mut ledger.closed),
            reserve: 0,
        })
    }

    /// Takes a loan that was asked for at `asked`; what is left of the one before is given back.
    pub fn take(&self, asked: Timestamp, loan: &Loan) {
        if loan.tokens == 0 {
            return;
        }
        let mut ledger = self.ledger();
        // A loan that comes twice or late was spent before, or is given up.
        if loan.id <= ledger.latest {
            return;
        }
        ledger.latest = loan.id;
        // Nobody can spend between the two stores more than the smaller of both loans.
        let left = self.tokens.swap(0, AcqRel);
        if ledger.loan != 0 {
            let closed = (ledger.loan, left);
            ledger.closed.push(closed);
        }
        ledger.loan = loan.id;
        let lasts: Duration = loan.lasts;
        self.expires.store(micros(asked + lasts), Release);
        self.tokens.store(loan.tokens, Release);
    }

    fn ledger(&self) -> std::sync::MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
