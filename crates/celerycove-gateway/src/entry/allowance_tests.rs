//! Tokens while the owner comes and goes.

use std::{sync::Arc, time::Duration};

use celerycove_fleet::{Config, config::Organisation};
use celerycove_limit::Loan;
use celerycove_types::{Timestamp, id};

use super::{Allowances, Claim};
use crate::{clock, link::lock};

fn allowances(rate: f64) -> Allowances {
    let allowances = Allowances::default();
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
    allowances.entitle(&config, 1);
    allowances
}

fn organisation() -> id::Organisation {
    "zilina".into()
}

fn run<T>(work: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime")
        .block_on(work)
}

const CLAIM: Claim = Claim {
    begins: None,
    patience: Duration::from_millis(40),
};

#[test]
fn an_entry_that_helps_itself_goes_on_asking_for_the_owner() {
    run(async {
        let allowances = allowances(50.0);
        *lock(&allowances.heard) = Timestamp::ZERO;
        assert_eq!(allowances.pass(&organisation(), CLAIM).await, Ok(()));
        let (_, wants) = allowances.wants(clock::now());
        assert_eq!(wants.len(), 1);
        assert!(wants[0].want >= 1);
    });
}

#[test]
fn an_entry_without_an_owner_waits_for_its_own_next_token() {
    run(async {
        // Alone it lets 0.6 of the rate through: 30 a second, one every 33 ms, after the first.
        let allowances = allowances(50.0);
        *lock(&allowances.heard) = Timestamp::ZERO;
        for _ in 0..3 {
            let claim = Claim {
                patience: Duration::from_secs(5),
                ..CLAIM
            };
            assert_eq!(allowances.pass(&organisation(), claim).await, Ok(()));
        }
    });
}

/// Lends one token to whoever waits.
fn lend(allowances: &Allowances) {
    let now = clock::now();
    let (asking, wants) = allowances.wants(now);
    let loan = |id| Loan {
        id,
        tokens: 1,
        lasts: Duration::from_secs(1),
        retry: Duration::ZERO,
        outstanding: false,
    };
    let loans: Vec<Loan> = (1..).take(wants.len()).map(loan).collect();
    allowances.take(now, &asking, &loans);
}

#[test]
fn a_request_waits_for_a_new_owner_where_the_one_before_was_lost_just_now() {
    run(async {
        // Alone, one token each 1.7 s: the second request would wait for longer than it may.
        let allowances = Arc::new(allowances(1.0));
        *lock(&allowances.heard) = clock::now().saturating_sub(Duration::from_millis(400));
        assert_eq!(allowances.pass(&organisation(), CLAIM).await, Ok(()));
        let other = allowances.clone();
        let waiting = tokio::spawn(async move {
            let claim = Claim {
                patience: Duration::from_secs(1),
                ..CLAIM
            };
            other.pass(&organisation(), claim).await
        });
        tokio::task::yield_now().await;
        lend(&allowances);
        assert_eq!(waiting.await.expect("no panic"), Ok(()));
    });
}

#[test]
fn a_request_is_refused_at_once_where_the_owner_has_been_lost_for_long() {
    run(async {
        let allowances = allowances(1.0);
        *lock(&allowances.heard) = clock::now().saturating_sub(Duration::from_secs(9));
        assert_eq!(allowances.pass(&organisation(), CLAIM).await, Ok(()));
        let over = allowances.pass(&organisation(), CLAIM).await;
        assert!(over.is_err_and(|over| over.alone));
    });
}

#[test]
fn a_request_with_hardly_any_time_left_is_refused_and_nothing_worse() {
    run(async {
        let allowances = Arc::new(allowances(50.0));
        let other = allowances.clone();
        let waiting = tokio::spawn(async move {
            let claim = Claim {
                patience: Duration::from_millis(42),
                ..CLAIM
            };
            other.pass(&organisation(), claim).await
        });
        // The owner answers again and again that a token comes sooner than the patience ends.
        for _ in 0..20 {
            tokio::time::sleep(Duration::from_millis(4)).await;
            let now = clock::now();
            let (asking, wants) = allowances.wants(now);
            let nothing = Loan {
                id: 0,
                tokens: 0,
                lasts: Duration::ZERO,
                retry: Duration::from_micros(100),
                outstanding: false,
            };
            let loans = vec![nothing; wants.len()];
            allowances.take(now, &asking, &loans);
        }
        assert!(waiting.await.expect("no panic").is_err());
    });
}
