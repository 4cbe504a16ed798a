//! Waiting for tokens while the owner of the buckets fails, is replaced or has none to lease.

use std::{sync::Arc, time::Duration};

use celerycove_fleet::{Config, config::Organisation};
use celerycove_limit::Lease;
use celerycove_types::{Timestamp, id};

use super::{Claim, RateLimiter};
use crate::{clock, link::lock};

fn limiter(rate: f64) -> RateLimiter {
    let limiter = RateLimiter::default();
    let config = Config {
        organisations: vec![Organisation {
            name: "zilina".into(),
            keys: Vec::new(),
            priority: None,
            rate,
            burst: rate,
        }],
        ..Config::default()
    };
    limiter.configure(&config, 1);
    limiter
}

fn organisation() -> id::Organisation {
    "zilina".into()
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime")
        .block_on(future)
}

const CLAIM: Claim = Claim {
    begins: None,
    patience: Duration::from_millis(40),
};

#[test]
fn an_entry_that_uses_its_fallback_bucket_keeps_requesting_leases() {
    block_on(async {
        let limiter = limiter(50.0);
        *lock(&limiter.owner_heard) = Timestamp::ZERO;
        assert_eq!(limiter.acquire(&organisation(), CLAIM).await, Ok(()));
        let (_, requests) = limiter.lease_requests(clock::now());
        assert_eq!(requests.len(), 1);
        assert!(requests[0].want >= 1);
    });
}

#[test]
fn a_request_waits_for_the_next_token_of_the_fallback_bucket() {
    block_on(async {
        // The fallback bucket admits 0.6 of the rate: 30 a second, one every 33 ms, after the
        // first.
        let limiter = limiter(50.0);
        *lock(&limiter.owner_heard) = Timestamp::ZERO;
        for _ in 0..3 {
            let claim = Claim {
                patience: Duration::from_secs(5),
                ..CLAIM
            };
            assert_eq!(limiter.acquire(&organisation(), claim).await, Ok(()));
        }
    });
}

/// Grants one token to each pending lease request.
fn grant_one_token(limiter: &RateLimiter) {
    let now = clock::now();
    let (requested_for, requests) = limiter.lease_requests(now);
    let lease = |id| Lease {
        id,
        tokens: 1,
        lasts: Duration::from_secs(1),
        retry: Duration::ZERO,
        outstanding: false,
    };
    let leases: Vec<Lease> = (1..).take(requests.len()).map(lease).collect();
    limiter.apply_leases(now, &requested_for, &leases);
}

#[test]
fn a_request_waits_for_a_new_owner_if_the_previous_one_failed_recently() {
    block_on(async {
        // The fallback bucket has one token each 1.7 s, so the second request can't get its token
        // in time.
        let limiter = Arc::new(limiter(1.0));
        *lock(&limiter.owner_heard) = clock::now().saturating_sub(Duration::from_millis(400));
        assert_eq!(limiter.acquire(&organisation(), CLAIM).await, Ok(()));
        let waiter_limiter = limiter.clone();
        let waiting = tokio::spawn(async move {
            let claim = Claim {
                patience: Duration::from_secs(1),
                ..CLAIM
            };
            waiter_limiter.acquire(&organisation(), claim).await
        });
        tokio::task::yield_now().await;
        grant_one_token(&limiter);
        assert_eq!(waiting.await.expect("no panic"), Ok(()));
    });
}

#[test]
fn a_request_is_refused_at_once_if_the_owner_has_been_out_of_reach_for_long() {
    block_on(async {
        let limiter = limiter(1.0);
        *lock(&limiter.owner_heard) = clock::now().saturating_sub(Duration::from_secs(9));
        assert_eq!(limiter.acquire(&organisation(), CLAIM).await, Ok(()));
        let over = limiter.acquire(&organisation(), CLAIM).await;
        assert!(over.is_err_and(|over| over.owner_lost));
    });
}

#[test]
fn a_request_with_hardly_any_time_left_is_refused_without_a_panic() {
    block_on(async {
        let limiter = Arc::new(limiter(50.0));
        let waiter_limiter = limiter.clone();
        let waiting = tokio::spawn(async move {
            let claim = Claim {
                patience: Duration::from_millis(42),
                ..CLAIM
            };
            waiter_limiter.acquire(&organisation(), claim).await
        });
        // The owner keeps replying that a token is due before the request's waiting time ends.
        for _ in 0..20 {
            tokio::time::sleep(Duration::from_millis(4)).await;
            let now = clock::now();
            let (requested_for, requests) = limiter.lease_requests(now);
            let no_tokens = Lease {
                id: 0,
                tokens: 0,
                lasts: Duration::ZERO,
                retry: Duration::from_micros(100),
                outstanding: false,
            };
            let leases = vec![no_tokens; requests.len()];
            limiter.apply_leases(now, &requested_for, &leases);
        }
        assert!(waiting.await.expect("no panic").is_err());
    });
}
