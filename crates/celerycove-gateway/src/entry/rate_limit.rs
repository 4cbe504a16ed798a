//! Rate limits of organisations at one entry.
//!
//! The control instance that leads owns the token bucket of each organisation and leases tokens to
//! entries for a short time; the messages [`RpcRequest::Loans`] and [`Reply::Loans`] carry the
//! requests and the leases. An entry admits requests with leased tokens. While it can't reach the
//! owner, it admits a reduced rate from a local fallback bucket.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering::Relaxed},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use celerycove_fleet::Config;
use celerycove_limit::{Entitlement, Holder, Lease, Request as LeaseRequest, fallback::Fallback};
use celerycove_types::{Map, Timestamp, id};
use tokio::sync::Notify;

use super::{
    Entry,
    detour::{Detour, Target},
};
use crate::{
    clock,
    link::lock,
    message::{Reply, RpcRequest},
    setup::Role,
};

/// How often expired leases are returned to the owner.
const RETURN_INTERVAL: Duration = Duration::from_millis(120);
/// Shortest time limit on waiting for a token: several round trips to the owner, or until other
/// entries return tokens.
const MIN_TOKEN_WAIT: Duration = Duration::from_millis(300);
/// Time limit for the owner's reply.
const OWNER_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay before the next request to the owner after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long the owner must be out of reach before the entry uses its fallback buckets.
const FALLBACK_DELAY: Duration = Duration::from_millis(300);

/// Time in which a failed owner is normally replaced: an election, and the expiry of the leases
/// that the previous owner granted. During that time a request waits rather than being refused
/// because the fallback bucket is empty.
const OWNER_REPLACEMENT_TIME: Duration = Duration::from_secs(2);
/// Factor by which a request may exceed its usual waiting time while the owner is being replaced.
const REPLACEMENT_WAIT_FACTOR: u32 = 2;

/// Percentage of the burst that is reserved for running programs when a program begins, by the
/// priority of its route. Refusing a running program wastes the work already done for it, whereas a
/// program that is refused at its first request can simply be retried.
const RESERVE_PERCENT: [u8; 3] = [10, 20, 30];

/// How a request may spend tokens. The field names appear in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Claim {
    /// Priority of the route, if the request is the first of a program.
    pub(super) begins: Option<u8>,
    /// How long the request may wait for a token.
    pub(super) patience: Duration,
}

impl Claim {
    /// Creates the claim of a program's first request.
    pub(super) fn new_program(priority: u8, max_wait: Duration) -> Self {
        Self {
            begins: Some(priority),
            patience: max_wait.max(MIN_TOKEN_WAIT),
        }
    }

    /// Creates the claim of a request of a running program, or of no program.
    pub(super) fn running_program(max_wait: Duration) -> Self {
        Self {
            begins: None,
            patience: max_wait.max(MIN_TOKEN_WAIT),
        }
    }

    /// Returns the index of the claim's class in [`Account::classes`].
    fn class(self) -> usize {
        self.begins.map_or(0, |priority| {
            1 + usize::from(priority).min(RESERVE_PERCENT.len() - 1)
        })
    }
}

/// The organisation exceeds its rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct OverLimit {
    /// Time until a token is expected.
    pub(super) retry_after: Duration,
    /// The organisation's limit over all entries.
    pub(super) limit: Entitlement,
    /// Whether the owner was out of reach.
    pub(super) owner_lost: bool,
}

/// Tokens of one organisation at this entry.
struct Account {
    name: id::Organisation,
    limit: Entitlement,
    /// Tokens for running programs, followed by those for new programs by priority.
    classes: [LocalTokens; 1 + RESERVE_PERCENT.len()],
    fallback: Mutex<Option<Fallback>>,
}

impl Account {
    fn over(&self, retry_after: Duration) -> OverLimit {
        OverLimit {
            retry_after,
            limit: self.limit,
            owner_lost: false,
        }
    }
}

/// Tokens for one class of claims.
#[derive(Default)]
struct LocalTokens {
    leased: Holder,
    waiters: AtomicU32,
    /// Requests that the fallback bucket had to decide since tokens were last requested from the
    /// owner.
    fallback_requests: AtomicU32,
    /// When the owner last had no tokens to lease, and the delay before it has some.
    denied: Mutex<Option<(Timestamp, Duration)>>,
}

/// Admits requests within the rate limits of their organisations.
pub(super) struct RateLimiter {
    accounts: ArcSwap<Map<id::Organisation, Arc<Account>>>,
    lease_needed: Notify,
    leases_updated: Notify,
    /// When the owner last replied; also advances while nothing has to be requested from a
    /// reachable owner.
    owner_heard: Mutex<Timestamp>,
    entry_count: AtomicU32,
}

impl Default for RateLimiter {
    fn default() -> Self {
        Self {
            accounts: ArcSwap::default(),
            lease_needed: Notify::new(),
            leases_updated: Notify::new(),
            owner_heard: Mutex::new(clock::now()),
            entry_count: AtomicU32::new(1),
        }
    }
}

impl RateLimiter {
    /// Applies a configuration and the number of entries, keeping the tokens of organisations whose
    /// limit is unchanged.
    pub(super) fn configure(&self, config: &Config, entries: usize) {
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        self.entry_count.store(entries, Relaxed);
        let before = self.accounts.load();
        let mut accounts = Map::default();
        for organisation in config.organisations.iter().filter(|o| o.rate > 0.0) {
            let limit = entitlement_of(organisation.rate, organisation.burst);
            let existing = before.get(&organisation.name);
            let account = match existing.filter(|account| account.limit == limit) {
                Some(account) => account.clone(),
                None => Arc::new(Account {
                    name: organisation.name.clone(),
                    limit,
                    classes: std::array::from_fn(|_| LocalTokens::default()),
                    fallback: Mutex::default(),
                }),
            };
            accounts.insert(organisation.name.clone(), account);
        }
        self.accounts.store(Arc::new(accounts));
    }

    /// Spends one token, waiting for a lease if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`OverLimit`] if no token is available in time.
    pub(super) async fn acquire(
        &self,
        organisation: &id::Organisation,
        claim: Claim,
    ) -> Result<(), OverLimit> {
        let Some(account) = self.accounts.load().get(organisation).cloned() else {
            return Ok(());
        };
        let tokens = &account.classes[claim.class()];
        if tokens.leased.spend(clock::now()) {
            if tokens.leased.needs_tokens(clock::now()) {
                self.lease_needed.notify_one();
            }
            return Ok(());
        }
        let waiter = WaiterGuard::new(&tokens.waiters);
        let acquired = self.wait_for_token(&account, tokens, claim.patience).await;
        drop(waiter);
        acquired
    }

    /// Returns the token of a request that did not run.
    pub(super) fn refund(&self, organisation: &id::Organisation, claim: Claim) {
        if let Some(account) = self.accounts.load().get(organisation) {
            account.classes[claim.class()].leased.refund();
        }
    }

    async fn wait_for_token(
        &self,
        account: &Account,
        tokens: &LocalTokens,
        max_wait: Duration,
    ) -> Result<(), OverLimit> {
        let started = clock::now();
        loop {
            let leases_updated = self.leases_updated.notified();
            let now = clock::now();
            if tokens.leased.spend(now) {
                return Ok(());
            }
            let waited = now.saturating_sub(started);
            let remaining = max_wait.saturating_sub(waited);
            let owner_silence = now.saturating_sub(*lock(&self.owner_heard));
            if owner_silence > FALLBACK_DELAY {
                tokens.fallback_requests.fetch_add(1, Relaxed);
                let Err(over) = self.spend_fallback(account, now) else {
                    return Ok(());
                };
                let pause = wait_without_owner(
                    owner_silence,
                    over.retry_after,
                    remaining,
                    (max_wait * REPLACEMENT_WAIT_FACTOR).saturating_sub(waited),
                );
                let Some(pause) = pause else {
                    return Err(OverLimit {
                        retry_after: over.retry_after.min(
                            OWNER_REPLACEMENT_TIME
                                .saturating_sub(owner_silence)
                                .max(MIN_TOKEN_WAIT),
                        ),
                        ..over
                    });
                };
                // The owner may be reachable again before the fallback bucket has its next token.
                let _ = tokio::time::timeout(pause, leases_updated).await;
                continue;
            }
            let denial = lock(&tokens.denied).filter(|(at, _)| *at >= started);
            if let Some((_, retry)) = denial
                && (remaining.is_zero() || retry > remaining)
            {
                return Err(account.over(retry));
            }
            if remaining.is_zero() {
                return Err(account.over(MIN_TOKEN_WAIT));
            }
            self.lease_needed.notify_one();
            let pause = denial.map_or(remaining, |(_, retry)| {
                retry.max(RETRY_DELAY / 10).min(remaining)
            });
            // The loop tries again both on timeout and when leases were updated.
            let _ = tokio::time::timeout(pause, leases_updated).await;
        }
    }

    fn spend_fallback(&self, account: &Account, now: Timestamp) -> Result<(), OverLimit> {
        let entries = usize::try_from(self.entry_count.load(Relaxed)).unwrap_or(1);
        lock(&account.fallback)
            .get_or_insert_with(|| Fallback::new(now))
            .spend(now, account.limit, entries)
            .map_err(|retry| OverLimit {
                owner_lost: true,
                ..account.over(retry)
            })
    }

    /// Builds the lease requests that are due, with the account and class of each.
    fn lease_requests(&self, now: Timestamp) -> (Vec<(Arc<Account>, usize)>, Vec<LeaseRequest>) {
        let mut requested_for = Vec::new();
        let mut requests = Vec::new();
        for account in self.accounts.load().values() {
            for (class, tokens) in account.classes.iter().enumerate() {
                if let Some(mut request) = tokens.lease_request(now, &account.name) {
                    request.reserve = class
                        .checked_sub(1)
                        .map_or(0, |priority| RESERVE_PERCENT[priority]);
                    requested_for.push((account.clone(), class));
                    requests.push(request);
                }
            }
        }
        (requested_for, requests)
    }

    fn apply_leases(
        &self,
        requested_at: Timestamp,
        requested_for: &[(Arc<Account>, usize)],
        leases: &[Lease],
    ) {
        let now = clock::now();
        *lock(&self.owner_heard) = now;
        for ((account, class), lease) in requested_for.iter().zip(leases) {
            let tokens = &account.classes[*class];
            tokens.leased.accept(requested_at, lease);
            *lock(&account.fallback) = None;
            *lock(&tokens.denied) = (lease.tokens == 0).then_some((now, lease.retry));
        }
        self.leases_updated.notify_waiters();
    }
}

/// Returns how long a request waits before it tries again while the owner is out of reach, or
/// `None` if it is to be refused.
///
/// The fallback bucket has a token after `next_token`. The request may wait for `remaining`, or for
/// `extended` as long as the owner is likely being replaced, that is, `owner_silence` is still
/// short.
fn wait_without_owner(
    owner_silence: Duration,
    next_token: Duration,
    remaining: Duration,
    extended: Duration,
) -> Option<Duration> {
    let limit = if owner_silence < OWNER_REPLACEMENT_TIME {
        extended
    } else {
        remaining
    };
    let token_in_time = next_token <= limit || owner_silence < OWNER_REPLACEMENT_TIME;
    (token_in_time && !limit.is_zero()).then(|| next_token.min(limit))
}

impl LocalTokens {
    fn lease_request(
        &self,
        now: Timestamp,
        organisation: &id::Organisation,
    ) -> Option<LeaseRequest> {
        let waiting = self.waiters.load(Relaxed) + self.fallback_requests.swap(0, Relaxed);
        if waiting > 0 || (self.leased.is_active(now) && self.leased.needs_tokens(now)) {
            Some(self.leased.request(now, organisation, waiting))
        } else {
            self.leased.return_expired(now, organisation)
        }
    }
}

/// Converts a configured rate (requests per second) and burst (requests) into the form that the
/// owner uses.
pub(crate) fn entitlement_of(rate: f64, burst: f64) -> Entitlement {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let burst = burst.clamp(1.0, f64::from(u32::MAX)) as u32;
    Entitlement { rate, burst }
}

/// Counts a waiting request until it is dropped, even if its caller disconnects.
struct WaiterGuard<'a>(&'a AtomicU32);

impl<'a> WaiterGuard<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Relaxed);
        Self(count)
    }
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

impl Entry {
    /// Requests and returns leases of tokens until the process ends.
    pub(super) async fn maintain_leases(&self) {
        let mut reached = true;
        let mut detour = Detour::default();
        loop {
            let lease_needed = self.rate_limiter.lease_needed.notified();
            // Leases are checked both on request and periodically.
            let _ = tokio::time::timeout(RETURN_INTERVAL, lease_needed).await;
            let now = clock::now();
            let (requested_for, requests) = self.rate_limiter.lease_requests(now);
            if requests.is_empty() {
                // With nothing to request, an owner that was in reach counts as still in reach.
                if reached {
                    *lock(&self.rate_limiter.owner_heard) = now;
                }
                continue;
            }
            let leases = self.request_leases(&mut detour, requests).await;
            if leases.is_some() != reached {
                reached = leases.is_some();
                log::info!(target: "limit", reached; "reachability of the rate limit owner changed");
            }
            if let Some(leases) = leases {
                self.rate_limiter.apply_leases(now, &requested_for, &leases);
            } else {
                self.rate_limiter.leases_updated.notify_waiters();
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Requests leases from the owner, through another control instance if there was no connection to
    /// the owner lately.
    async fn request_leases(
        &self,
        detour: &mut Detour,
        requests: Vec<LeaseRequest>,
    ) -> Option<Vec<Lease>> {
        let leader = self.fleet_state.leader()?;
        let controls = self.fleet_state.peers(Role::Control).into_iter();
        let controls: Vec<_> = controls.map(|status| status.peer.process).collect();
        let request = RpcRequest::Loans(requests);
        let target = detour.target(clock::now(), Some(&leader), &controls, &[])?;
        let (peer, request) = match &target {
            Target::Direct(peer) => (peer, request),
            Target::Via(peer) => (peer, RpcRequest::Relay(Box::new(request))),
        };
        let reply = self.connections.request(peer, request, OWNER_TIMEOUT).await;
        if reply.is_err() && !self.connections.is_connected(&leader) {
            detour.avoid(clock::now(), &leader);
        }
        if let Ok(Reply::Loans(leases)) = reply {
            return Some(leases);
        }
        detour.record_failure();
        None
    }
}

#[cfg(test)]
#[path = "rate_limit_tests.rs"]
mod tests;
