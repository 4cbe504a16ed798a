//! Clocks of one process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use celerycove_types::Timestamp;

/// The time since boot, including any time for which the instance was suspended. Leases are counted
/// on it: the steady clock stands still while an instance is suspended, and a lease counted on that
/// would outlive what its grantor counts.
#[must_use]
pub fn now() -> Timestamp {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Milliseconds of the time of day, which differs between instances.
#[must_use]
pub fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Whole milliseconds.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
