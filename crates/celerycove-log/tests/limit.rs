//! Lines of one kind that come too often.

use std::time::Duration;

use celerycove_log::limit::{Admitted, Limit};

#[test]
fn lines_beyond_the_limit_are_counted_and_told_with_the_next_one() {
    let mut limit = Limit::new(3);
    let start = Duration::from_secs(100);
    let admitted = (0..209).filter_map(|_| limit.admit(start)).count();
    assert_eq!(admitted, 3);
    assert_eq!(limit.admit(start + Duration::from_millis(999)), None);
    let next = limit.admit(start + Duration::from_secs(1));
    assert_eq!(next, Some(Admitted { held_back: 207 }));
    let next = limit.admit(start + Duration::from_secs(1));
    assert_eq!(next, Some(Admitted { held_back: 0 }));
}
