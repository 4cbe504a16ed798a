//! The tokens that this entry holds of each organisation's rate.

use std::{
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{
            AtomicU32, AtomicU64,
            Ordering::{AcqRel, Relaxed},
        },
    },
    time::Duration,
};

use celerycove_limit::{Ask, Loan, Purse};
use celerycove_types::{Map, id, micros};
use celerycove_wire::method;
use hyper::StatusCode;

use super::refuse::Refusal;
use crate::{home::Homes, peer::Peers, process::Process, share::Share};

/// How often tokens that were lent and not spent are given back.
const GIVE_BACK: Duration = Duration::from_millis(100);
/// The shortest time between two questions to an owner that has nothing.
const PAUSE: Duration = Duration::from_millis(10);
/// How long a refusal stands without asking the owner again.
const REFUSAL: Duration = Duration::from_millis(50);
/// How many requests of one organisation may wait for tokens.
const WAITING: u32 = 1024;

/// One organisation's tokens and who waits for more.
#[derive(Default)]
struct Account {
    purse: Purse,
    asking: tokio::sync::Mutex<()>,
    waiting: AtomicU32,
    /// Until when the owner surely has nothing, in microseconds, and when it has.
    empty_until: AtomicU64,
}

/// All organisations' tokens.
pub(super) struct Purses {
    process: Arc<Process>,
    share: Arc<Share>,
    peers: Arc<Peers>,
    homes: Option<Arc<Homes>>,
    patience: Duration,
    accounts: RwLock<Map<id::Organisation, Arc<Account>>>,
}

/// Counts a waiting request until it is dropped.
struct Waiting<'a>(&'a AtomicU32);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, AcqRel);
    }
}

impl Purses {
    pub(super) fn start(
        process: &Arc<Process>,
        share: &Arc<Share>,
        peers: &Arc<Peers>,
        homes: Option<&Arc<Homes>>,
        patience: Duration,
    ) -> Arc<Self> {
        let purses = Arc::new(Self {
            process: process.clone(),
            share: share.clone(),
            peers: peers.clone(),
            homes: homes.cloned(),
            patience,
            accounts: RwLock::default(),
        });
        tokio::spawn(purses.clone().give_back());
        purses
    }

    /// Spends one token. Who has spent its rate is refused once the owner said so; who has not
    /// waits for tokens that other entries still hold.
    pub(super) async fn admit(
        self: &Arc<Self>,
        organisation: &id::Organisation,
    ) -> Result<(), Refusal> {
        let account = self.account(organisation);
        if account.purse.spend(self.process.now()) {
            self.prefetch(organisation, &account);
            return Ok(());
        }
        let waiting = account.waiting.fetch_add(1, AcqRel);
        let _waiting = Waiting(&account.waiting);
        if waiting >= WAITING {
            return Err(over_rate(Duration::from_secs(1)));
        }
        let deadline = self.process.now() + self.patience;
        loop {
            if let Some(wait) = self.empty(&account) {
                return Err(over_rate(wait));
            }
            let _asking = account.asking.lock().await;
            let now = self.process.now();
            if account.purse.spend(now) {
                return Ok(());
            }
            if !self.share.is_fresh(now) {
                return Err(Refusal::stale());
            }
            if now >= deadline {
                return Err(Refusal::unavailable(
                    "rate_unknown",
                    "the organisation's rate could not be looked up in time",
                ));
            }
            self.refill(organisation, &account).await?;
        }
    }

    /// Asks the owner once; the caller holds the account's lock.
    async fn refill(
        &self,
        organisation: &id::Organisation,
        account: &Account,
    ) -> Result<(), Refusal> {
        let asked = self.process.now();
        let waiting = account.waiting.load(Relaxed);
        let ask = account.purse.ask(asked, organisation, waiting);
        match self.ask(ask).await {
            None => tokio::time::sleep(PAUSE * 5).await,
            Some(loan) if loan.tokens > 0 => account.purse.take(asked, &loan),
            Some(loan) if loan.outstanding => {
                tokio::time::sleep(loan.retry.clamp(PAUSE, PAUSE * 10)).await;
            }
            Some(loan) => {
                let until = asked + loan.retry.min(REFUSAL);
                account.empty_until.store(micros(until), Relaxed);
                log::debug!(target: "limit", organisation:% = organisation; "the rate is spent");
                return Err(over_rate(loan.retry));
            }
        }
        Ok(())
    }

    fn empty(&self, account: &Account) -> Option<Duration> {
        let until = account.empty_until.load(Relaxed);
        let wait = until.checked_sub(micros(self.process.now()))?;
        (wait > 0).then(|| Duration::from_micros(wait))
    }

    /// Asks for more in the background before the tokens run out.
    fn prefetch(self: &Arc<Self>, organisation: &id::Organisation, account: &Arc<Account>) {
        if !account.purse.is_low(self.process.now()) || self.empty(account).is_some() {
            return;
        }
        let (purses, organisation, account) = (self.clone(), organisation.clone(), account.clone());
        tokio::spawn(async move {
            let Ok(_asking) = account.asking.try_lock() else {
                return;
            };
            if account.purse.is_low(purses.process.now()) {
                // A refusal only means that the next request asks for itself.
                let _ = purses.refill(&organisation, &account).await;
            }
        });
    }

    async fn ask(&self, ask: Ask) -> Option<Loan> {
        let name = format!("organisation/{}", ask.organisation);
        let (shard, owner) = self.share.view().home_of(&name)?;
        let ask = method::Ask { shard, ask };
        if owner == self.process.name {
            return self.homes.as_ref()?.ask(ask).await;
        }
        self.peers
            .ask(&owner, method::ASK, &ask)
            .await
            .ok()
            .flatten()
    }

    fn account(&self, organisation: &id::Organisation) -> Arc<Account> {
        let accounts = self.accounts.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(account) = accounts.get(organisation) {
            return account.clone();
        }
        drop(accounts);
        let mut accounts = self
            .accounts
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        accounts.entry(organisation.clone()).or_default().clone()
    }

    async fn give_back(self: Arc<Self>) {
        loop {
            tokio::time::sleep(GIVE_BACK).await;
            let now = self.process.now();
            let asks: Vec<Ask> = {
                let accounts = self.accounts.read().unwrap_or_else(PoisonError::into_inner);
                accounts
                    .iter()
                    .filter_map(|(organisation, account)| {
                        account.purse.give_back(now, organisation)
                    })
                    .collect()
            };
            for ask in asks {
                // What is not given back comes back with the refill.
                let _ = self.ask(ask).await;
            }
        }
    }
}

fn over_rate(wait: Duration) -> Refusal {
    Refusal::new(
        StatusCode::TOO_MANY_REQUESTS,
        "rate_exceeded",
        "the organisation has spent its rate and burst",
    )
    .after(wait)
}
