//! How much of a service's calls go to another data centre.
//!
//! Entries learn 200 to 400 ms late how busy another data centre is, in which time calls have long ended.
//! If each call went where it seemed faster, all entries would go there and back together. So an entry
//! lets a share of its calls go, and changes that share slowly compared with the delay.

use std::time::Duration;

use celerycove_types::Timestamp;

/// Change of the share per second if a call would gain its own time in another data centre. In the 400 ms
/// until its effect is known, that is 8% of the calls.
const RATE: f64 = 0.2;
/// Largest multiple of that rate, for calls that would gain more because much of a data centre is lost.
const MAX_GAIN: f64 = 5.0;
/// Longest time between calls for which the share changes.
const MAX_GAP: Duration = Duration::from_secs(1);

/// The share of the calls of one service that may go to another data centre.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Spill {
    share: f64,
    changed_at: Timestamp,
}

impl Spill {
    /// Changes the share, when a call would wait `gain` microseconds less in another data centre; `call` is
    /// the time of a call.
    pub(super) fn record(&mut self, now: Timestamp, gain: i64, call: Duration) {
        let elapsed = now.saturating_sub(self.changed_at).min(MAX_GAP);
        self.changed_at = now;
        let call = i64::try_from(call.as_micros()).unwrap_or(i64::MAX).max(1);
        let percent = i32::try_from(gain.saturating_mul(100) / call);
        let percent = percent.unwrap_or(if gain > 0 { i32::MAX } else { i32::MIN });
        let rate = RATE * (f64::from(percent) / 100.0).clamp(-1.0, MAX_GAIN);
        self.share = (self.share + rate * elapsed.as_secs_f64()).clamp(0.0, 1.0);
    }

    /// Whether a call may go to another data centre; `place` from 0 to 1 differs between programs.
    pub(super) fn allows(&self, place: f64) -> bool {
        place < self.share
    }
}
