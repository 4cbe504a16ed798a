//! Sequential test of the new version's rate of bad answers against the old version's.
//!
//! It is a Bernoulli CUSUM (E. S. Page, "Continuous Inspection Schemes", 1954) whose reference rate
//! is estimated from the old version's answers of the same period. Answers are evaluated in batches,
//! one for each step of the decider.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use celerycove_types::Timestamp;

/// Log-likelihood ratio that raises the alarm: a false alarm takes evidence that is about 8,000
/// times as likely under the worse rate.
const THRESHOLD: f64 = 9.0;
/// The threshold grows by twice the logarithm of the answers in units of this number, so that the
/// chance of a false alarm stays bounded in a rollout of a day.
const THRESHOLD_UNIT: f64 = 2_000.0;
/// Largest part of the threshold that one batch can add. A burst may reach a batch's answers of the
/// new version before those of the old ones, so an alarm takes two batches at least.
const MAX_BATCH: f64 = 0.6;
/// The worse rate is higher than the reference by this much, or by the reference rate if larger.
const LEAST_INCREASE: f64 = 0.1;
/// Lowest reference rate. Single lost answers, up to one in fifty, do not count against a version.
const LEAST_RATE: f64 = 0.02;
/// Weight, in answers, of the rate assumed while there are few answers.
const PRIOR_WEIGHT: f64 = 4.0;
/// The same for the long average, which may be noisy because bursts show in the shorter periods.
const LONG_PRIOR_WEIGHT: f64 = 20.0;
/// Standard deviations by which the old version's rate over a shorter period must be higher to be
/// used instead of the longer average. The highest of several noisy rates would hide bad versions.
const BURST_DEVIATIONS: f64 = 2.0;
/// Half-lives of the two averages of the old version's rate: a short one that follows bursts and a
/// long one with little noise.
const HALF_LIVES: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(2)];
/// Time without answers of the old version for which its averages keep their weight. When all traffic
/// has moved, the last answers of a burst arrive from the new version alone.
const KEPT: Duration = Duration::from_secs(1);
/// Bad answers beyond the expected ones that stop a rollout whatever the test says.
const MAX_EXCESS: f64 = 40.0;
/// Standard deviations by which the excess must also surpass chance, for rollouts with many answers.
const EXCESS_DEVIATIONS: f64 = 4.0;

/// Answers, and the bad ones among them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Count {
    /// All answers.
    pub answered: u64,
    /// Bad answers.
    pub bad: u64,
}

impl Count {
    fn add(&mut self, other: Self) {
        self.answered = self.answered.saturating_add(other.answered);
        self.bad = self.bad.saturating_add(other.bad);
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Average {
    answered: f64,
    bad: f64,
}

impl Average {
    fn from_count(count: Count) -> Self {
        Self {
            answered: float(count.answered),
            bad: float(count.bad),
        }
    }

    fn record(&mut self, count: Count, age: Duration, half_life: Duration) {
        let weight = 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64());
        self.answered = self.answered * weight + float(count.answered);
        self.bad = self.bad * weight + float(count.bad);
    }

    /// Rate of bad answers, drawn towards `assumed` while there are few.
    fn rate(self, assumed: f64) -> f64 {
        self.weighted_rate(assumed, PRIOR_WEIGHT)
    }

    fn weighted_rate(self, assumed: f64, weight: f64) -> f64 {
        (self.bad + weight * assumed) / (self.answered + weight)
    }
}

/// The old version's rate of bad answers over several periods that end now.
#[derive(Debug, Clone, Copy, Default)]
struct Reference {
    /// The present batch, followed by the averages.
    periods: [Average; 3],
    all: Average,
    recorded_at: Timestamp,
    answered_at: Timestamp,
}

impl Reference {
    fn record(&mut self, now: Timestamp, count: Count) {
        let age = now.saturating_sub(self.recorded_at);
        self.recorded_at = now;
        self.periods[0] = Average::from_count(count);
        if count.answered > 0 {
            self.answered_at = now;
        } else if now < self.answered_at + KEPT {
            return;
        }
        for (average, half_life) in self.periods[1..].iter_mut().zip(HALF_LIVES) {
            average.record(count, age, half_life);
        }
        self.all.record(count, Duration::ZERO, Duration::MAX);
    }

    /// Rates over each period. While there are few answers they are drawn towards the rate since the
    /// start, and this one towards `assumed`.
    fn rates(&self, assumed: f64) -> [f64; 3] {
        let all = self.all.rate(assumed);
        self.periods.map(|period| period.rate(all))
    }

    /// Rate that the new version is compared with: the long average, or the rate over a shorter
    /// period if that one is clearly higher.
    fn rate(&self, assumed: [f64; 3]) -> f64 {
        let all = self.all.rate(assumed[2]);
        let assumed_long = f64::midpoint(all, assumed[2]);
        let long = self.periods[2].weighted_rate(assumed_long, LONG_PRIOR_WEIGHT);
        let mut highest = long.max(LEAST_RATE);
        for (period, assumed) in self.periods.iter().zip(assumed).take(2) {
            let rate = period.rate(assumed.max(long));
            let deviation = (long * (1.0 - long) / (period.answered + 1.0)).sqrt();
            if rate > long + BURST_DEVIATIONS * deviation {
                highest = highest.max(rate);
            }
        }
        highest
    }
}

#[derive(Debug, Clone, Default)]
struct Route {
    reference: Reference,
    old: Count,
    new: Count,
    total: Count,
    expected: f64,
    score: f64,
}

/// Why the comparison stops the rollout.
#[derive(Debug, Clone, PartialEq)]
pub enum Finding {
    /// The test raised an alarm, on one route or on all together.
    Worse {
        /// The route; `None` for all routes together.
        route: Option<Arc<str>>,
        /// Answers of the new version.
        count: Count,
        /// Bad ones that the old version's rate explains.
        expected: f64,
    },
    /// There are too many bad answers, whatever the test says.
    Excess,
}

/// Compares both versions by route and in total.
#[derive(Debug, Clone, Default)]
pub struct Comparison {
    routes: BTreeMap<Arc<str>, Route>,
    overall: Route,
}

impl Comparison {
    /// Adds answers to the current batch.
    pub fn record(&mut self, route: &Arc<str>, old: Count, new: Count) {
        let route = self.routes.entry(Arc::clone(route)).or_default();
        route.old.add(old);
        route.new.add(new);
        self.overall.old.add(old);
        self.overall.new.add(new);
    }

    /// Evaluates the current batch and begins the next one.
    pub fn evaluate(&mut self, now: Timestamp) -> Option<Finding> {
        let overall = &mut self.overall;
        overall
            .reference
            .record(now, std::mem::take(&mut overall.old));
        let assumed = overall.reference.rates(LEAST_RATE);
        let mut increment = 0.0;
        let mut finding = None;
        for (name, route) in &mut self.routes {
            route.reference.record(now, std::mem::take(&mut route.old));
            let rate = route.reference.rate(assumed);
            let new = std::mem::take(&mut route.new);
            let ratio = log_likelihood_ratio(new, rate);
            let expected = rate * float(new.answered);
            increment += ratio;
            overall.expected += expected;
            route.add(new, expected, ratio);
            if route.score >= route.threshold() {
                finding = Some(route.worse(Some(Arc::clone(name))));
            }
        }
        let new = std::mem::take(&mut overall.new);
        overall.add(new, 0.0, increment);
        if overall.score >= overall.threshold() {
            finding = Some(overall.worse(None));
        }
        let excess = float(overall.total.bad) - overall.expected;
        if finding.is_none()
            && excess >= MAX_EXCESS
            && excess >= EXCESS_DEVIATIONS * overall.expected.sqrt()
        {
            finding = Some(Finding::Excess);
        }
        finding
    }

    /// Returns the answers of the new version so far.
    #[must_use]
    pub fn total(&self) -> Count {
        self.overall.total
    }

    /// Returns the number of bad answers that the old version's rate explains.
    #[must_use]
    pub fn expected(&self) -> f64 {
        self.overall.expected
    }

    /// Returns the largest score as a fraction of its threshold.
    #[must_use]
    pub fn suspicion(&self) -> f64 {
        self.routes
            .values()
            .chain([&self.overall])
            .map(|route| route.score / route.threshold())
            .fold(0.0, f64::max)
    }
}

impl Route {
    fn threshold(&self) -> f64 {
        THRESHOLD + 2.0 * (float(self.total.answered) / THRESHOLD_UNIT).ln_1p()
    }

    fn add(&mut self, new: Count, expected: f64, ratio: f64) {
        self.total.add(new);
        self.expected += expected;
        self.score = (self.score + ratio.min(MAX_BATCH * self.threshold())).max(0.0);
    }

    fn worse(&self, route: Option<Arc<str>>) -> Finding {
        Finding::Worse {
            route,
            count: self.total,
            expected: self.expected,
        }
    }
}

fn log_likelihood_ratio(count: Count, rate: f64) -> f64 {
    let rate = rate.clamp(LEAST_RATE, 0.999);
    let worse = (rate + LEAST_INCREASE.max(rate)).min(f64::midpoint(1.0, rate));
    let bad = float(count.bad);
    let good = float(count.answered.saturating_sub(count.bad));
    bad * (worse / rate).ln() + good * ((1.0 - worse) / (1.0 - rate)).ln()
}

#[allow(clippy::cast_precision_loss)]
fn float(count: u64) -> f64 {
    count as f64
}
