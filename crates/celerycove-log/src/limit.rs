//! A limit on how often a kind of line is logged.

use std::time::Duration;

/// Admits a number of lines in each window of a second and counts the others.
#[derive(Debug)]
pub struct Limit {
    per_second: u32,
    window_start: Duration,
    admitted: u32,
    held_back: u64,
}

/// The line may be logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admitted {
    /// How many lines were held back since the last one admitted; to be logged with it.
    pub held_back: u64,
}

impl Limit {
    /// Creates a limit of `per_second` lines.
    #[must_use]
    pub const fn new(per_second: u32) -> Self {
        Self {
            per_second,
            window_start: Duration::ZERO,
            admitted: 0,
            held_back: 0,
        }
    }

    /// Returns whether a line may be logged at `now`, a time on any steady clock.
    pub fn admit(&mut self, now: Duration) -> Option<Admitted> {
        if now.saturating_sub(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.admitted = 0;
        }
        if self.admitted >= self.per_second {
            self.held_back += 1;
            return None;
        }
        self.admitted += 1;
        let held_back = std::mem::take(&mut self.held_back);
        Some(Admitted { held_back })
    }
}
