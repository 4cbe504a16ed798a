//! Clocks of the local instance.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use celerycove_types::Timestamp;

/// The time since boot, including any time for which the instance was suspended. Leases are
/// measured on this clock: `CLOCK_MONOTONIC` stops while an instance is suspended, so a lease
/// measured on it would outlast the lease that its owner measures.
#[must_use]
pub fn now() -> Timestamp {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Milliseconds of wall-clock time since the Unix epoch; clocks of different instances differ.
#[must_use]
pub fn wall_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Converts a duration to whole milliseconds, saturating at [`u64::MAX`].
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
