//! How fast an organisation may begin programs.
//!
//! A program that begins makes further requests for seconds. Where an organisation begins more
//! programs than its rate carries, all of them would be refused in the middle. So beginnings have a
//! rate of their own: the organisation's, divided by the requests that its programs were seen to make.

use std::time::Duration;

use celerycove_types::Timestamp;
use serde::{Deserialize, Serialize};

use crate::owner::Entitlement;

/// Over this time requests and beginnings are counted, and the estimate follows them: several programs
/// long, and short enough to follow programs of another kind.
const MEMORY: Duration = Duration::from_secs(10);
/// A program's requests are spread over about this time; as much of the rate is there for beginnings
/// that come at once, beside the burst.
const SPREAD: Duration = Duration::from_millis(1_750);
/// Beginnings assumed before any are seen.
const ASSUMED: f64 = 2.0;
/// Requests that a program is assumed to make: a few turns with two calls each.
const ASSUMED_REQUESTS: f64 = 13.0;
/// After a request of a program under way found no token, nothing begins for so long: about as long as
/// it takes until a token comes that nobody waits for.
const STARVED: Duration = Duration::from_millis(500);
/// How much more requests a program is taken to make each time that programs under way run short: what
/// was counted included programs that failed early.
const RAISE: f64 = 1.4;
/// The most requests that a program is taken to make.
const MOST_REQUESTS: f64 = 400.0;

/// The beginnings of one organisation's programs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pace {
    /// Beginnings used up of what is there at once, refilled with time.
    used: f64,
    at: Timestamp,
    /// Requests that a program is taken to make, its first included.
    requests: f64,
    /// Programs that began so lately that they have made few of their requests.
    young: f64,
    /// Programs that began before, older ones counting less.
    begun: f64,
    /// Requests of programs under way of late, counted likewise.
    followed: f64,
    /// Until when programs under way count as short of tokens.
    starved_until: Timestamp,
    /// When the estimate was raised last.
    raised_at: Timestamp,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            used: 0.0,
            at: Timestamp::ZERO,
            requests: ASSUMED_REQUESTS,
            young: 0.0,
            begun: 0.0,
            followed: 0.0,
            starved_until: Timestamp::ZERO,
            raised_at: Timestamp::ZERO,
        }
    }
}

impl Pace {
    /// Lets time pass.
    pub fn advance(&mut self, now: Timestamp, owed: Entitlement) {
        let elapsed = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let kept = fading(elapsed, MEMORY);
        let grown = self.young * (1.0 - fading(elapsed, SPREAD));
        self.young -= grown;
        self.begun = self.begun * kept + grown;
        self.followed *= kept;
        if !self.is_starved() {
            self.requests += (self.counted() - self.requests) * (1.0 - kept);
        }
        self.used = (self.used - elapsed.as_secs_f64() * self.rate(owed)).max(0.0);
    }

    /// Notes that a request of a program under way found no token.
    pub fn starve(&mut self, now: Timestamp) {
        self.starved_until = now + STARVED;
        if now >= self.raised_at + SPREAD {
            self.raised_at = now;
            self.requests = (self.requests * RAISE).min(MOST_REQUESTS);
        }
    }

    fn is_starved(&self) -> bool {
        self.at < self.starved_until
    }

    /// Requests of a program as counted of late, its first included.
    fn counted(&self) -> f64 {
        let followed = self.followed + ASSUMED * (ASSUMED_REQUESTS - 1.0);
        1.0 + followed / (self.begun + ASSUMED)
    }

    /// Beginnings a second.
    fn rate(&self, owed: Entitlement) -> f64 {
        owed.rate / self.requests
    }

    /// Beginnings that are allowed now.
    #[must_use]
    pub fn allowed(&self, owed: Entitlement) -> f64 {
        if self.is_starved() {
            return 0.0;
        }
        let at_once = f64::from(owed.burst) + owed.rate * SPREAD.as_secs_f64();
        (at_once / self.requests).max(1.0) - self.used
    }

    /// The time until another beginning is allowed.
    #[must_use]
    pub fn next(&self, owed: Entitlement) -> Duration {
        let missing = (1.0 - self.allowed(owed)).max(0.0);
        let starved = self.starved_until.saturating_sub(self.at);
        starved.max(Duration::from_secs_f64(missing / self.rate(owed)))
    }

    /// Moves its times to another clock.
    pub(crate) fn rebase(&mut self, to: impl Fn(Timestamp) -> Timestamp) {
        self.at = to(self.at);
        self.starved_until = to(self.starved_until);
        self.raised_at = to(self.raised_at);
    }

    /// Counts beginnings; fewer than none were given back.
    pub fn begin(&mut self, count: f64) {
        self.used = (self.used + count).max(0.0);
        self.young = (self.young + count).max(0.0);
    }

    /// Counts requests of programs under way; fewer than none were given back.
    pub fn follow(&mut self, count: f64) {
        self.followed = (self.followed + count).max(0.0);
    }
}

/// What is left of a count after some time.
fn fading(elapsed: Duration, memory: Duration) -> f64 {
    (-elapsed.as_secs_f64() / memory.as_secs_f64()).exp()
}
