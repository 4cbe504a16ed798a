//! Rates while the owner of a bucket can't be asked.

use std::time::Duration;

use celerycove_limit::{
    Entitlement,
    fallback::{Fallback, reduced},
};

const OWED: Entitlement = Entitlement {
    rate: 70.0,
    burst: 70,
};

#[test]
fn entries_without_an_owner_stay_within_the_rate_together() {
    let entries = 7;
    let mut buckets = vec![Fallback::new(Duration::ZERO); entries];
    let mut passed = 0;
    for milli in 0..5_000 {
        let now = Duration::from_millis(milli);
        for bucket in &mut buckets {
            passed += u32::from(bucket.spend(now, OWED, entries).is_ok());
        }
    }
    // Five seconds of the rate and the burst would be 420.
    assert!((200..=420).contains(&passed), "{passed}");
}

#[test]
fn an_owner_lends_less_while_entries_may_help_themselves() {
    assert!((reduced(OWED, 0, 7).rate - 70.0).abs() < 1e-9);
    assert!((reduced(OWED, 7, 7).rate - 28.0).abs() < 1e-9);
}

#[test]
fn a_small_organisation_is_told_when_to_come_back() {
    let owed = Entitlement {
        rate: 2.0,
        burst: 2,
    };
    let mut bucket = Fallback::new(Duration::ZERO);
    assert_eq!(bucket.spend(Duration::ZERO, owed, 4), Ok(()));
    let wait = bucket.spend(Duration::ZERO, owed, 4).expect_err("empty");
    assert!(wait > Duration::from_secs(3) && wait < Duration::from_secs(4));
}
