//! Rate limits: the tokens of each organisation's bucket that this entry has on lease.
//!
//! The bucket is owned by the primary of a program shard; entries lease tokens from it and return
//! those that they do not spend.

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

use celerycove_limit::{Holder, Lease, Request};
use celerycove_types::{Map, id, micros};
use celerycove_wire::method;
use hyper::StatusCode;

use super::refuse::Refusal;
use crate::{home::Replicas, peer::Peers, process::Process, state::SharedState};

/// The interval at which leased tokens that were not spent are returned.
const RETURN_INTERVAL: Duration = Duration::from_millis(100);
/// The shortest time between two requests to an owner that has no tokens.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The longest time for which requests are refused without another request to the owner.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(50);
/// The most requests of one organisation that may wait for tokens.
const MAX_WAITERS: u32 = 1024;

/// The tokens that one organisation may spend here, and the requests that wait for more.
#[derive(Default)]
struct Allowance {
    tokens: Holder,
    /// Held while a request to the owner is under way.
    refill_lock: tokio::sync::Mutex<()>,
    waiters: AtomicU32,
    /// Until when the owner surely has no tokens, in microseconds of the process's clock.
    owner_empty_until: AtomicU64,
}

/// The rate limits of all organisations.
pub(super) struct Limiter {
    process: Arc<Process>,
    state: Arc<SharedState>,
    peers: Arc<Peers>,
    replicas: Option<Arc<Replicas>>,
    /// How long a request may wait for tokens.
    wait_timeout: Duration,
    allowances: RwLock<Map<id::Organisation, Arc<Allowance>>>,
}

/// Counts a waiting request until dropped.
struct WaiterGuard<'a>(&'a AtomicU32);

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, AcqRel);
    }
}

impl Limiter {
    pub(super) fn start(
        process: &Arc<Process>,
        state: &Arc<SharedState>,
        peers: &Arc<Peers>,
        replicas: Option<&Arc<Replicas>>,
        wait_timeout: Duration,
    ) -> Arc<Self> {
        let limiter = Arc::new(Self {
            process: process.clone(),
            state: state.clone(),
            peers: peers.clone(),
            replicas: replicas.cloned(),
            wait_timeout,
            allowances: RwLock::default(),
        });
        tokio::spawn(limiter.clone().run_returns());
        limiter
    }

    /// Spends one token. An organisation that has used up its rate is refused once the owner says
    /// so; one that has not waits for tokens that other entries still have on lease.
    pub(super) async fn admit(
        self: &Arc<Self>,
        organisation: &id::Organisation,
    ) -> Result<(), Refusal> {
        let allowance = self.allowance(organisation);
        if allowance.tokens.spend(self.process.now()) {
            self.prefetch(organisation, &allowance);
            return Ok(());
        }
        let waiters = allowance.waiters.fetch_add(1, AcqRel);
        let _waiter = WaiterGuard(&allowance.waiters);
        if waiters >= MAX_WAITERS {
            return Err(rate_exceeded(Duration::from_secs(1)));
        }
        let deadline = self.process.now() + self.wait_timeout;
        loop {
            if let Some(wait) = self.owner_empty_for(&allowance) {
                return Err(rate_exceeded(wait));
            }
            let _refilling = allowance.refill_lock.lock().await;
            let now = self.process.now();
            if allowance.tokens.spend(now) {
                return Ok(());
            }
            if !self.state.is_fresh(now) {
                return Err(Refusal::stale_config());
            }
            if now >= deadline {
                return Err(Refusal::unavailable(
                    "rate_unknown",
                    "the organisation's rate could not be looked up in time",
                ));
            }
            self.refill(organisation, &allowance).await?;
        }
    }

    /// Requests tokens from the owner once; the calling function holds the refill lock.
    async fn refill(
        &self,
        organisation: &id::Organisation,
        allowance: &Allowance,
    ) -> Result<(), Refusal> {
        let requested_at = self.process.now();
        let waiters = allowance.waiters.load(Relaxed);
        let request = allowance
            .tokens
            .request(requested_at, organisation, waiters);
        match self.request_lease(request).await {
            None => tokio::time::sleep(MIN_RETRY_DELAY * 5).await,
            Some(lease) if lease.tokens > 0 => allowance.tokens.accept(requested_at, &lease),
            Some(lease) if lease.outstanding => {
                tokio::time::sleep(lease.retry.clamp(MIN_RETRY_DELAY, MIN_RETRY_DELAY * 10)).await;
            }
            Some(lease) => {
                let until = requested_at + lease.retry.min(MAX_REFUSAL_TIME);
                allowance.owner_empty_until.store(micros(until), Relaxed);
                log::debug!(target: "limit", organisation:% = organisation;
                    "the organisation has spent its rate and burst");
                return Err(rate_exceeded(lease.retry));
            }
        }
        Ok(())
    }

    /// Returns how much longer the owner surely has no tokens; `None` if it may have some.
    fn owner_empty_for(&self, allowance: &Allowance) -> Option<Duration> {
        let until = allowance.owner_empty_until.load(Relaxed);
        let wait = until.checked_sub(micros(self.process.now()))?;
        (wait > 0).then(|| Duration::from_micros(wait))
    }

    /// Requests more tokens in the background before they run out.
    fn prefetch(self: &Arc<Self>, organisation: &id::Organisation, allowance: &Arc<Allowance>) {
        if !allowance.tokens.needs_tokens(self.process.now())
            || self.owner_empty_for(allowance).is_some()
        {
            return;
        }
        let (limiter, organisation, allowance) =
            (self.clone(), organisation.clone(), allowance.clone());
        tokio::spawn(async move {
            let Ok(_refilling) = allowance.refill_lock.try_lock() else {
                return;
            };
            if allowance.tokens.needs_tokens(limiter.process.now()) {
                // If this is refused, the next caller's request tries again.
                let _ = limiter.refill(&organisation, &allowance).await;
            }
        });
    }

    /// Requests a lease from the owner of an organisation's bucket; `None` if there is no answer.
    async fn request_lease(&self, request: Request) -> Option<Lease> {
        let name = format!("organisation/{}", request.organisation);
        let (shard, owner) = self.state.view().primary_of(&name)?;
        let request = method::TokenRequest {
            shard,
            ask: request,
        };
        if owner == self.process.name {
            return self.replicas.as_ref()?.borrow_tokens(request).await;
        }
        self.peers
            .call(&owner, method::BORROW_TOKENS, &request)
            .await
            .ok()
            .flatten()
    }

    fn allowance(&self, organisation: &id::Organisation) -> Arc<Allowance> {
        let allowances = self
            .allowances
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(allowance) = allowances.get(organisation) {
            return allowance.clone();
        }
        drop(allowances);
        let mut allowances = self
            .allowances
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        allowances.entry(organisation.clone()).or_default().clone()
    }

    /// Returns unspent tokens of expired leases for as long as the process runs.
    async fn run_returns(self: Arc<Self>) {
        loop {
            tokio::time::sleep(RETURN_INTERVAL).await;
            let now = self.process.now();
            let requests: Vec<Request> = {
                let allowances = self
                    .allowances
                    .read()
                    .unwrap_or_else(PoisonError::into_inner);
                allowances
                    .iter()
                    .filter_map(|(organisation, allowance)| {
                        allowance.tokens.return_expired(now, organisation)
                    })
                    .collect()
            };
            for request in requests {
                // If tokens can't be returned, the bucket regains them by its refill.
                let _ = self.request_lease(request).await;
            }
        }
    }
}

fn rate_exceeded(wait: Duration) -> Refusal {
    Refusal::new(
        StatusCode::TOO_MANY_REQUESTS,
        "rate_exceeded",
        "the organisation has spent its rate and burst",
    )
    .with_retry_after(wait)
}
