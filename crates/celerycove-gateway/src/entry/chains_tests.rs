//! Tests of the cache of chains.

use bytes::Bytes;

use super::{Cache, Chain};
use crate::{
    memory::{Account, Budget, Part},
    setup::Role,
};

const TEXT_BYTES: usize = 100_000;

fn cache() -> (Cache, std::sync::Arc<Account>) {
    let budget = Budget::new(88_000_000, Role::Entry).expect("a budget");
    let account = Account::new(budget);
    (Cache::new(account.clone()), account)
}

/// Only the last text of a chain counted, also once the chains that it shared the others with had been
/// evicted.
#[test]
fn texts_count_until_the_last_chain_that_holds_them_is_evicted() {
    let (mut cache, account) = cache();
    let limit = account.limit(Part::Chains);
    let organisation = "zilina".into();
    let texts = (0..limit / TEXT_BYTES * 2).map(|_| Bytes::from(vec![b'x'; TEXT_BYTES]));
    let texts: Vec<_> = texts.collect();
    // One conversation, longer than the cache: each chain holds all earlier texts.
    for length in 1..=texts.len() {
        let chain: Chain = texts[..length].into();
        let request = format!("turn-{length}");
        cache.insert(&organisation, &request.as_str().into(), chain);
    }
    let held: usize = texts
        .iter()
        .filter(|text| !text.is_unique())
        .map(Bytes::len)
        .sum();
    assert!(held <= limit, "{held} of {limit}");
    assert!(account.used(Part::Chains) <= limit);
}

/// The chain of a conversation that goes on must be found.
#[test]
fn the_newest_chains_stay() {
    let (mut cache, account) = cache();
    let organisation = "zilina".into();
    let count = account.limit(Part::Chains) / TEXT_BYTES * 2;
    for number in 0..count {
        let chain: Chain = [Bytes::from(vec![b'x'; TEXT_BYTES])].into();
        cache.insert(&organisation, &number.to_string().as_str().into(), chain);
    }
    let is_cached = |number: usize| {
        let request = number.to_string();
        cache.get(&organisation, &request.as_str().into()).is_some()
    };
    assert!(!is_cached(0));
    assert!((count - 10..count).all(is_cached));
}
