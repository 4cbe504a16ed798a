//! The entry's tokens of the organisations' rates.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering::Relaxed},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use celerycove_fleet::Config;
use celerycove_limit::{Ask as Want, Entitlement, Loan, Purse, fallback::Fallback};
use celerycove_types::{Map, Timestamp, id};
use tokio::sync::Notify;

use super::Entry;
use crate::{
    clock,
    link::lock,
    message::{Ask, Reply},
};

/// How often loans that have run out are given back.
const GIVE_BACK: Duration = Duration::from_millis(120);
/// How long any request may wait for tokens before it is refused: several rounds to the owner, or what
/// other entries give back.
const WAIT: Duration = Duration::from_millis(300);
/// How long the owner may take to answer.
const PATIENCE: Duration = Duration::from_millis(250);
/// The pause after the owner could not be asked.
const PAUSE: Duration = Duration::from_millis(50);
/// Without an owner for so long, the entry helps itself.
const ALONE: Duration = Duration::from_millis(300);

/// An owner that was lost is replaced within about this time: an election, and the time in which loans of
/// the one before run out. So long a request rather waits than be refused for want of a share of its own.
const REPLACED: Duration = Duration::from_secs(2);
/// How much longer than otherwise a request may wait for a new owner.
const LONGER: u32 = 2;

/// Percent of the burst that is left to programs under way when a program begins, by the rank of its
/// route. A program that is refused in the middle has been served in vain; one that is refused at its
/// beginning comes back.
const RESERVES: [u8; 3] = [10, 20, 30];

/// How a request may claim tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Claim {
    /// The rank of its route, if it begins a program.
    pub(super) begins: Option<u8>,
    /// How long it may wait.
    pub(super) patience: Duration,
}

impl Claim {
    /// A request that begins a program.
    pub(super) fn beginning(rank: u8, patience: Duration) -> Self {
        Self {
            begins: Some(rank),
            patience: patience.max(WAIT),
        }
    }

    /// A request of a program under way, or of none.
    pub(super) fn under_way(patience: Duration) -> Self {
        Self {
            begins: None,
            patience: patience.max(WAIT),
        }
    }

    /// Which of an account's purses it spends from.
    fn purse(self) -> usize {
        self.begins
            .map_or(0, |rank| 1 + usize::from(rank).min(RESERVES.len() - 1))
    }
}

/// The organisation is over its rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Over {
    /// After this time a token comes.
    pub(super) retry: Duration,
    /// What the organisation is owed over all entries.
    pub(super) owed: Entitlement,
    /// Whether no owner could be asked.
    pub(super) alone: bool,
}

/// One organisation's tokens at this entry.
struct Account {
    name: id::Organisation,
    owed: Entitlement,
    /// For programs under way, then for those that begin, by rank.
    purses: [Pocket; 1 + RESERVES.len()],
    fallback: Mutex<Option<Fallback>>,
}

impl Account {
    fn over(&self, retry: Duration) -> Over {
        Over {
            retry,
            owed: self.owed,
            alone: false,
        }
    }
}

/// Tokens for claims of one kind.
#[derive(Default)]
struct Pocket {
    purse: Purse,
    waiting: AtomicU32,
    /// Requests that could not wait for an owner since it was last asked.
    missed: AtomicU32,
    /// The owner had nothing: when that was, and when to come back.
    empty: Mutex<Option<(Timestamp, Duration)>>,
}

/// The tokens held.
pub(super) struct Allowances {
    accounts: ArcSwap<Map<id::Organisation, Arc<Account>>>,
    wanted: Notify,
    renewed: Notify,
    /// When the owner answered last.
    heard: Mutex<Timestamp>,
    entries: AtomicU32,
}

impl Default for Allowances {
    fn default() -> Self {
        Self {
            accounts: ArcSwap::default(),
            wanted: Notify::new(),
            renewed: Notify::new(),
            heard: Mutex::new(clock::now()),
            entries: AtomicU32::new(1),
        }
    }
}

impl Allowances {
    /// Follows the configuration and the number of entries.
    pub(super) fn entitle(&self, config: &Config, entries: usize) {
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        self.entries.store(entries, Relaxed);
        let before = self.accounts.load();
        let mut accounts = Map::default();
        for organisation in config.organisations.iter().filter(|o| o.rate > 0.0) {
            let owed = entitlement(organisation.rate, organisation.burst);
            let same = before.get(&organisation.name);
            let account = match same.filter(|account| account.owed == owed) {
                Some(account) => account.clone(),
                None => Arc::new(Account {
                    name: organisation.name.clone(),
                    owed,
                    purses: std::array::from_fn(|_| Pocket::default()),
                    fallback: Mutex::default(),
                }),
            };
            accounts.insert(organisation.name.clone(), account);
        }
        self.accounts.store(Arc::new(accounts));
    }

    /// Spends one token, waiting shortly for a loan.
    pub(super) async fn pass(
        &self,
        organisation: &id::Organisation,
        claim: Claim,
    ) -> Result<(), Over> {
        let Some(account) = self.accounts.load().get(organisation).cloned() else {
            return Ok(());
        };
        let pocket = &account.purses[claim.purse()];
        if pocket.purse.spend(clock::now()) {
            if pocket.purse.is_low(clock::now()) {
                self.wanted.notify_one();
            }
            return Ok(());
        }
        let waiting = Waiting::new(&pocket.waiting);
        let passed = self.wait(&account, pocket, claim.patience).await;
        drop(waiting);
        passed
    }

    /// Takes back the token of a request that then did not run.
    pub(super) fn refund(&self, organisation: &id::Organisation, claim: Claim) {
        if let Some(account) = self.accounts.load().get(organisation) {
            account.purses[claim.purse()].purse.refund();
        }
    }

    async fn wait(
        &self,
        account: &Account,
        pocket: &Pocket,
        patience: Duration,
    ) -> Result<(), Over> {
        let began = clock::now();
        loop {
            let renewed = self.renewed.notified();
            let now = clock::now();
            if pocket.purse.spend(now) {
                return Ok(());
            }
            let waited = now.saturating_sub(began);
            let left = patience.saturating_sub(waited);
            let lost = now.saturating_sub(*lock(&self.heard));
            if lost > ALONE {
                pocket.missed.fetch_add(1, Relaxed);
                let Err(over) = self.help_itself(account, now) else {
                    return Ok(());
                };
                let pause = pause_alone(
                    lost,
                    over.retry,
                    left,
                    (patience * LONGER).saturating_sub(waited),
                );
                let Some(pause) = pause else {
                    return Err(Over {
                        retry: over.retry.min(REPLACED.saturating_sub(lost).max(WAIT)),
                        ..over
                    });
                };
                // An owner may be back sooner than the next token of the own bucket.
                let _ = tokio::time::timeout(pause, renewed).await;
                continue;
            }
            let told = lock(&pocket.empty).filter(|(at, _)| *at >= began);
            if let Some((_, retry)) = told
                && (left.is_zero() || retry > left)
            {
                return Err(account.over(retry));
            }
            if left.is_zero() {
                return Err(account.over(WAIT));
            }
            self.wanted.notify_one();
            let pause = told.map_or(left, |(_, retry)| retry.max(PAUSE / 10).min(left));
            // Whichever comes first, the purse is looked at again.
            let _ = tokio::time::timeout(pause, renewed).await;
        }
    }

    fn help_itself(&self, account: &Account, now: Timestamp) -> Result<(), Over> {
        let entries = usize::try_from(self.entries.load(Relaxed)).unwrap_or(1);
        lock(&account.fallback)
            .get_or_insert_with(|| Fallback::new(now))
            .spend(now, account.owed, entries)
            .map_err(|retry| Over {
                alone: true,
                ..account.over(retry)
            })
    }

    /// What is to be asked of the owner now.
    fn wants(&self, now: Timestamp) -> (Vec<(Arc<Account>, usize)>, Vec<Want>) {
        let mut asking = Vec::new();
        let mut wants = Vec::new();
        for account in self.accounts.load().values() {
            for (at, pocket) in account.purses.iter().enumerate() {
                if let Some(mut want) = pocket.want(now, &account.name) {
                    want.reserve = at.checked_sub(1).map_or(0, |rank| RESERVES[rank]);
                    asking.push((account.clone(), at));
                    wants.push(want);
                }
            }
        }
        (asking, wants)
    }

    fn take(&self, asked: Timestamp, asking: &[(Arc<Account>, usize)], loans: &[Loan]) {
        let now = clock::now();
        *lock(&self.heard) = now;
        for ((account, at), loan) in asking.iter().zip(loans) {
            let pocket = &account.purses[*at];
            pocket.purse.take(asked, loan);
            *lock(&account.fallback) = None;
            *lock(&pocket.empty) = (loan.tokens == 0).then_some((now, loan.retry));
        }
        self.renewed.notify_waiters();
    }
}

/// How long a request waits before it looks again, while no owner can be asked; `None` if it is to be
/// refused. The owner has been `lost` so long, the own bucket has a token after `own`, and the request may
/// wait for `left`, or for `longer` if a new owner is about to lend.
fn pause_alone(
    lost: Duration,
    own: Duration,
    left: Duration,
    longer: Duration,
) -> Option<Duration> {
    let limit = if lost < REPLACED { longer } else { left };
    let in_time = own <= limit || lost < REPLACED;
    (in_time && !limit.is_zero()).then(|| own.min(limit))
}

impl Pocket {
    fn want(&self, now: Timestamp, organisation: &id::Organisation) -> Option<Want> {
        let waiting = self.waiting.load(Relaxed) + self.missed.swap(0, Relaxed);
        if waiting > 0 || (self.purse.is_used(now) && self.purse.is_low(now)) {
            Some(self.purse.ask(now, organisation, waiting))
        } else {
            self.purse.give_back(now, organisation)
        }
    }
}

/// What an organisation is owed, as the owner counts it.
pub(crate) fn entitlement(rate: f64, burst: f64) -> Entitlement {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let burst = burst.clamp(1.0, f64::from(u32::MAX)) as u32;
    Entitlement { rate, burst }
}

/// Counts a request that waits, also if its caller leaves.
struct Waiting<'a>(&'a AtomicU32);

impl<'a> Waiting<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Relaxed);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

impl Entry {
    /// Borrows and gives back tokens, again and again.
    pub(super) async fn borrow(&self) {
        let mut reached = true;
        loop {
            let wanted = self.allowances.wanted.notified();
            // Either way it is time to look.
            let _ = tokio::time::timeout(GIVE_BACK, wanted).await;
            let now = clock::now();
            let (asking, wants) = self.allowances.wants(now);
            if wants.is_empty() {
                // Nothing was asked, so nothing was refused either.
                if reached {
                    *lock(&self.allowances.heard) = now;
                }
                continue;
            }
            let reply = match self.picture.leader() {
                Some(leader) => self
                    .links
                    .ask(&leader, Ask::Loans(wants), PATIENCE)
                    .await
                    .ok(),
                None => None,
            };
            let loans = match reply {
                Some(Reply::Loans(loans)) => Some(loans),
                _ => None,
            };
            if loans.is_some() != reached {
                reached = loans.is_some();
                log::info!(target: "limit", reached; "owner of the rates");
            }
            if let Some(loans) = loans {
                self.allowances.take(now, &asking, &loans);
            } else {
                self.allowances.renewed.notify_waiters();
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

#[cfg(test)]
#[path = "allowance_tests.rs"]
mod tests;
