//! Tests for rate limiting while the owner of a bucket is unreachable.

use std::time::Duration;

use celerycove_limit::{
    Entitlement, Ownership, Request,
    fallback::{Fallback, reduced_entitlement},
};

const ENTITLEMENT: Entitlement = Entitlement {
    rate: 70.0,
    burst: 70,
};

#[test]
fn entries_without_an_owner_together_stay_within_the_rate() {
    let entries = 7;
    let mut buckets = vec![Fallback::new(Duration::ZERO); entries];
    let mut admitted = 0;
    for elapsed_ms in 0..5_000 {
        let now = Duration::from_millis(elapsed_ms);
        for bucket in &mut buckets {
            admitted += u32::from(bucket.spend(now, ENTITLEMENT, entries).is_ok());
        }
    }
    // The limit over five seconds is 5 × 70 + 70 = 420.
    assert!((200..=420).contains(&admitted), "{admitted}");
}

#[test]
fn an_owner_leases_less_while_entries_are_unreachable() {
    assert!((reduced_entitlement(ENTITLEMENT, 0, 7).rate - 70.0).abs() < 1e-9);
    assert!((reduced_entitlement(ENTITLEMENT, 7, 7).rate - 28.0).abs() < 1e-9);
}

#[test]
fn an_empty_bucket_returns_the_time_until_the_next_token() {
    let entitlement = Entitlement {
        rate: 2.0,
        burst: 2,
    };
    let mut bucket = Fallback::new(Duration::ZERO);
    assert_eq!(bucket.spend(Duration::ZERO, entitlement, 4), Ok(()));
    let wait = bucket
        .spend(Duration::ZERO, entitlement, 4)
        .expect_err("empty");
    assert!(wait > Duration::from_secs(3) && wait < Duration::from_secs(4));
}

#[test]
fn a_change_of_owner_keeps_most_of_the_rate_and_never_exceeds_it() {
    let entries = 4;
    let owner_lost_at = Duration::from_secs(10);
    let mut ownership = Ownership::after_fallback(2, owner_lost_at, Duration::from_millis(400));
    let mut buckets = vec![Fallback::new(owner_lost_at); entries];
    let mut admitted = 0;
    for elapsed_ms in 0..3_000 {
        let now = owner_lost_at + Duration::from_millis(elapsed_ms);
        if ownership.is_waiting(now) {
            let spend = |bucket: &mut Fallback| bucket.spend(now, ENTITLEMENT, entries).is_ok();
            admitted += u32::try_from(
                buckets
                    .iter_mut()
                    .filter_map(|b| spend(b).then_some(()))
                    .count(),
            )
            .expect("few");
            continue;
        }
        let request = Request {
            organisation: "zilina".into(),
            want: 50,
            open: Vec::new(),
            closed: Vec::new(),
            reserve: 0,
        };
        let lease = ownership
            .grant(now, Duration::ZERO, &request, ENTITLEMENT)
            .expect("a valid proof of ownership");
        admitted += lease.tokens;
    }
    // Three seconds of the rate are 210 requests. The burst was spent just before the owner was
    // lost, and each entry starts its fallback bucket with one token.
    let limit = 210 + u32::try_from(entries).expect("few");
    assert!((180..=limit).contains(&admitted), "{admitted}");
}
