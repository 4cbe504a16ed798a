//! Tests of the budget and the account.

use std::time::Duration;

use super::{Account, BASE_BYTES, Budget, DEFAULT_LIMIT_BYTES, MIN_LIMIT_BYTES, Part, TooSmall};
use crate::setup::Role;

const ROLES: [Role; 3] = [Role::Entry, Role::Control, Role::Store];
/// The smallest limit of the known deployments.
const SMALL_DEPLOYMENT_BYTES: usize = 88_000_000;

fn account(role: Role) -> std::sync::Arc<Account> {
    Account::new(Budget::new(SMALL_DEPLOYMENT_BYTES, role).expect("a budget"))
}

/// Each bound fitted in the memory limit alone, and some of them together did not.
#[test]
fn all_parts_together_stay_below_the_limit() {
    let doublings = std::iter::successors(Some(MIN_LIMIT_BYTES), |limit| limit.checked_mul(2));
    let limits = doublings.take_while(|limit| *limit < 16 << 30);
    for limit in limits.chain([DEFAULT_LIMIT_BYTES, SMALL_DEPLOYMENT_BYTES, 123_456_789]) {
        for role in ROLES {
            let budget = Budget::new(limit, role).expect("a budget");
            let parts = Part::ALL.map(|part| budget.limit(part));
            let parts: usize = parts.iter().sum();
            let sum = BASE_BYTES + budget.allocator() + parts;
            assert!(sum <= limit, "{role:?}: {sum} of {limit}");
            assert!(sum > limit / 100 * 99, "{role:?}: {sum} of {limit}");
        }
    }
}

/// A budget of a few megabytes would refuse each configuration.
#[test]
fn a_limit_without_room_for_buffers_is_rejected_with_the_reason() {
    let limit = MIN_LIMIT_BYTES - 1;
    let error = Budget::new(limit, Role::Control).expect_err("too small");
    assert_eq!(error, TooSmall { limit });
    assert!(error.to_string().contains(&MIN_LIMIT_BYTES.to_string()));
}

/// Bytes that are not returned would end in refusing everything.
#[test]
fn room_is_returned_when_it_is_dropped_or_shrunk() {
    let account = account(Role::Entry);
    let limit = account.limit(Part::Streams);
    let mut room = account.try_reserve(Part::Streams, limit).expect("room");
    assert!(account.try_reserve(Part::Streams, 1).is_none());
    assert!(!room.try_extend(1));
    room.shrink_to(limit - 10);
    let rest = account.try_reserve(Part::Streams, 10).expect("room");
    drop((room, rest));
    assert_eq!(account.used(Part::Streams), 0);
}

/// A request for more than the limit would wait without end, and small ones would always overtake a
/// large one.
#[tokio::test]
async fn room_is_granted_in_the_order_of_the_requests_also_to_the_largest() {
    let account = account(Role::Control);
    let part = Part::ReceivedFrames;
    let first = account.reserve(part, 1).await;
    let mut large = Box::pin(account.reserve(part, usize::MAX));
    let short = Duration::from_millis(10);
    assert!(tokio::time::timeout(short, &mut large).await.is_err());
    let mut small = Box::pin(account.reserve(part, 1));
    assert!(tokio::time::timeout(short, &mut small).await.is_err());
    drop(first);
    let large = large.await;
    assert_eq!(account.used(part), account.limit(part));
    drop(large);
    drop(small.await);
    assert_eq!(account.used(part), 0);
}
