//! Rates while the owner of a bucket can't be asked.

use std::time::Duration;

use celerycove_limit::{
    Ask, Entitlement, Seat,
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

#[test]
fn a_change_of_owner_costs_no_more_than_it_must_and_gives_no_more_than_is_owed() {
    let entries = 4;
    let lost = Duration::from_secs(10);
    let mut seat = Seat::begin_after_fallback(2, lost, Duration::from_millis(400));
    let mut buckets = vec![Fallback::new(lost); entries];
    let mut passed = 0;
    for milli in 0..3_000 {
        let now = lost + Duration::from_millis(milli);
        if seat.is_quiet(now) {
            let spends = |bucket: &mut Fallback| bucket.spend(now, OWED, entries).is_ok();
            passed += u32::try_from(
                buckets
                    .iter_mut()
                    .filter_map(|b| spends(b).then_some(()))
                    .count(),
            )
            .expect("few");
            continue;
        }
        let ask = Ask {
            organisation: "zilina".into(),
            want: 50,
            open: Vec::new(),
            closed: Vec::new(),
            reserve: 0,
        };
        let loan = seat
            .lend(now, Duration::ZERO, &ask, OWED)
            .expect("a proven owner");
        passed += loan.tokens;
    }
    // Three seconds of the rate are 210, the burst was spent just before, and each entry that helps
    // itself begins with one request.
    let owed = 210 + u32::try_from(entries).expect("few");
    assert!((180..=owed).contains(&passed), "{passed}");
}
