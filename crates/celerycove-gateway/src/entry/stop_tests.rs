use super::*;

const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Guards against requests that come late in the grace period, are passed on and then cut.
#[test]
fn a_late_request_is_admitted_only_if_it_ends_before_the_entry() {
    let at = Duration::from_millis;
    let plan = Plan::new(at(1_000), GRACE_PERIOD);
    // Most callers still come while the load balancer learns of the stop.
    assert!(plan.admits(at(3_500), at(9_500)));
    for late in (3_600..9_000).step_by(100) {
        for limit in [300, 1_500, 3_000, 5_000, 6_000] {
            let deadline = at(late + limit);
            let ends_in_time = deadline <= plan.answers_at;
            assert_eq!(plan.admits(at(late), deadline), ends_in_time);
            assert!(!ends_in_time || deadline < plan.ends_at);
        }
    }
}

#[test]
fn the_phases_of_a_stop_are_in_order_in_any_grace_period() {
    let start = Duration::from_secs(5);
    for millis in [0, 100, 900, 1_500, 3_000, 8_000, 60_000] {
        let plan = Plan::new(start, Duration::from_millis(millis));
        assert!(start <= plan.late_from, "{millis}");
        assert!(plan.late_from <= plan.answers_at, "{millis}");
        assert!(plan.answers_at <= plan.ends_at, "{millis}");
        assert!(plan.ends_at <= start + Duration::from_millis(millis));
    }
}
