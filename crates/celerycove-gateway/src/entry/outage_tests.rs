//! Many callers of a dependency that is away for a while: who waits, who is refused, and how those
//! come back.

use std::time::Duration;

use celerycove_types::Timestamp;

use super::{Outage, REPLACEMENT_TIME};

/// How long a request waits for the dependency if it is in reach.
const LIMIT: Duration = Duration::from_millis(2_500);
const OUTAGE_AT: Timestamp = Duration::from_secs(100);
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Default)]
struct Outcomes {
    /// How long each served request waited.
    served: Vec<Duration>,
    /// How long each refused request waited, and when its caller comes back.
    refused: Vec<(Duration, Timestamp)>,
}

/// Plays requests that arrive from the begin of an outage until a second after its end.
fn play(length: Duration) -> Outcomes {
    let mut outage = Outage::default();
    outage.record_failure(OUTAGE_AT);
    let mut outcomes = Outcomes::default();
    let back_at = OUTAGE_AT + length;
    let mut now = OUTAGE_AT;
    let mut random = 0.0;
    while now < back_at + Duration::from_secs(1) {
        random = (random + 0.618_034_f64).fract();
        if now >= back_at {
            outage.record_success(now);
        }
        let patience = outage.patience(now, LIMIT);
        let wait = back_at.saturating_sub(now);
        if wait < patience {
            outcomes.served.push(wait);
        } else {
            let refused_at = now + patience;
            let back = refused_at + outage.return_after(refused_at, random);
            outcomes.refused.push((patience, back));
        }
        now += ARRIVAL_INTERVAL;
    }
    outcomes
}

#[test]
fn nobody_is_refused_while_a_leader_is_replaced_in_the_usual_time() {
    let outcomes = play(Duration::from_millis(500));
    assert!(outcomes.refused.is_empty());
    assert!(outcomes.served.iter().max() <= Some(&Duration::from_millis(500)));
}

#[test]
fn requests_are_refused_at_once_when_an_outage_outlasts_a_replacement() {
    for seconds in [3, 15] {
        let length = Duration::from_secs(seconds);
        let outcomes = play(length);
        let waited = outcomes.refused.iter().map(|(waited, _)| *waited);
        assert!(waited.clone().max() <= Some(REPLACEMENT_TIME));
        let at_once = waited.filter(Duration::is_zero).count();
        let late =
            length.saturating_sub(REPLACEMENT_TIME).as_millis() / ARRIVAL_INTERVAL.as_millis();
        assert_eq!(at_once as u128, late);
        assert!(outcomes.served.iter().all(Duration::is_zero));
    }
}

#[test]
fn refused_callers_do_not_come_back_in_one_wave() {
    let length = Duration::from_secs(15);
    let refused = play(length).refused;
    let per_window = |from: Timestamp| {
        let window = from..from + Duration::from_millis(200);
        let back = refused.iter().filter(|(_, at)| window.contains(at));
        back.count()
    };
    // 100 requests arrive in each window; as many may return besides.
    let windows = (0..200).map(|n| OUTAGE_AT + Duration::from_millis(100) * n);
    let largest = windows.map(per_window).max().expect("windows");
    assert!(largest <= 200, "{largest} callers return at once");
}

#[test]
fn the_dependency_is_waited_for_as_usual_after_it_is_back() {
    let mut outage = Outage::default();
    assert_eq!(outage.patience(OUTAGE_AT, LIMIT), LIMIT);
    assert!(outage.record_failure(OUTAGE_AT));
    assert!(!outage.record_failure(OUTAGE_AT + LIMIT));
    let later = OUTAGE_AT + LIMIT * 2;
    assert_eq!(outage.patience(later, LIMIT), Duration::ZERO);
    assert_eq!(outage.record_success(later), Some(LIMIT * 2));
    assert_eq!(outage.patience(later, LIMIT), LIMIT);
    assert!(!outage.is_active());
}
