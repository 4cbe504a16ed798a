//! Learns from answers how long a service's requests take, and how fast each backend server is
//! relative to its service.
//!
//! All estimates are quantiles that each sample moves by a bounded step in the logarithm, so that
//! outliers have little effect. The speed of an engine is taken from the time between the events of its
//! streams, for a similar number of running requests: caches, queues and the size of the prompt affect
//! the first event only. That of a plain server is taken from calls that found a free slot.

use std::time::Duration;

use celerycove_types::{Timestamp, id};

use crate::prefix::Part;

/// Samples from which an estimate of a service replaces its neutral value.
const MIN_SAMPLES: u32 = 20;
/// Tokens from which a stream's time per token is used.
const MIN_GENERATED: id::Tokens = 8;
/// Tokens from which the time to the first event tells how fast a prompt is read.
const MIN_READ: id::Tokens = 500;
/// Smallest step of a quantile: it forgets after about two hundred samples.
const MIN_STEP: f64 = 0.005;
/// Samples of a server at which its factor counts half.
const HALF_TRUST: f64 = 4.0;
/// Pull of each sample towards the usual speed. Without it, the factors of all servers could drift
/// together, because only their ratios show in the samples.
const PULL: f64 = 0.005;
/// Time without samples in which a server's factor loses half of its weight, so that a server avoided
/// for a wrong estimate is tried again.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Largest factor between a server and its service, and its reciprocal the smallest.
const MAX_FACTOR: f64 = 4.0;
/// Logarithm of the factor up to which a server counts as being of usual speed, however many samples
/// there are: so small a difference is not worth leaving the common order.
const MIN_BAND: f64 = 0.05;
/// Further width of that band, in units of the samples' median deviation divided by the square root of
/// their number. The standard error of the median of normally distributed samples is 1.9 of them.
const BAND_DEVIATIONS: f64 = 6.0;
/// How long the servers of a service count as sharing their machines after one of them last reported
/// that work took another time there than usual.
const SHARED_MACHINES_TIME: Duration = Duration::from_mins(1);
/// How far the learned delays may be from the neutral ones, as a factor.
const MAX_CHANGE: f64 = 2.0;

/// One answered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Run {
    /// Time from sending it to the first event of the stream, or to the whole answer of a call.
    pub first_byte: Duration,
    /// Time from sending it to the end.
    pub total: Duration,
    /// Estimated number of prompt tokens that were not cached.
    pub prompt_read: id::Tokens,
    /// Number of generated tokens; zero for a call.
    pub generated: id::Tokens,
    /// Number of running requests that the backend server reported with the answer.
    pub running: u32,
}

/// Delays of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Costs {
    /// Time to read one token of a prompt.
    pub(super) per_token: Duration,
    /// Delay that each running request adds to the others.
    pub(super) per_running: Duration,
    /// Delay that each waiting request adds to those behind it.
    pub(super) per_waiting: Duration,
    /// Time that a plain call takes at a server of usual speed.
    pub(super) call: Duration,
    /// Whether answers have shown that time.
    pub(super) is_call_learned: bool,
    /// Time in which an engine of usual speed generates an answer.
    pub(super) generation: Duration,
    /// Mean number of tokens that a request takes of an engine's memory.
    pub(super) tokens: f64,
}

/// The values of a service without samples, measured on the deployments in `etc/`; the times of a call
/// and of an answer matter only for servers that are faster or slower than usual.
pub(super) const NEUTRAL: Costs = Costs {
    per_token: Duration::from_micros(33),
    per_running: Duration::from_millis(3),
    per_waiting: Duration::from_millis(60),
    call: Duration::from_millis(30),
    is_call_learned: false,
    generation: Duration::from_millis(400),
    tokens: 0.0,
};

/// Tokens of an answer in a service without samples.
const NEUTRAL_ANSWER: f64 = 100.0;
/// Weight of a request in the mean of their tokens.
const MEAN_STEP: f64 = 0.02;

/// Estimate of a quantile of positive samples.
#[derive(Debug, Clone, Copy, Default)]
struct Quantile {
    log: f64,
    count: u32,
}

impl Quantile {
    /// Records a sample for the estimate of the quantile `share`.
    fn record(&mut self, sample: f64, share: f64) {
        if !sample.is_normal() || sample < 0.0 {
            return;
        }
        self.count = self.count.saturating_add(1);
        let sample = sample.ln();
        if self.count == 1 {
            self.log = sample;
            return;
        }
        let step = (1.0 / f64::from(self.count)).max(MIN_STEP) * 2.0;
        self.log += if sample > self.log {
            step * share
        } else {
            -step * (1.0 - share)
        };
    }

    fn value(&self) -> Option<f64> {
        (self.count >= MIN_SAMPLES).then(|| self.log.exp())
    }

    fn duration(&self) -> Option<Duration> {
        let seconds = self.value()?;
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// Number of classes of running requests: up to 1, 3, 7, 15, 31 and more.
const CLASSES: usize = 6;
/// Mean number of running requests of each class.
const CLASS_MEANS: [f64; CLASSES] = [1.0, 2.5, 5.5, 11.5, 23.5, 40.0];

fn class(running: u32) -> usize {
    let bits = u32::BITS - (running.max(1)).leading_zeros();
    usize::try_from(bits - 1).map_or(0, |class| class.min(CLASSES - 1))
}

/// Estimates of one service, for a server of usual speed.
#[derive(Debug, Clone, Default)]
pub(super) struct Speeds {
    /// Time to generate a token, by class of running requests.
    per_token: [Quantile; CLASSES],
    /// Time to read a token of a prompt.
    reading: Quantile,
    generated: Quantile,
    generation: Quantile,
    /// Time of a whole call or stream.
    total: Quantile,
    /// Deviation of the samples of a server's speed, in the logarithm.
    deviation: Quantile,
    /// Mean number of tokens that the latest requests take of an engine's memory, if there were any.
    tokens: Option<f64>,
    /// When a server last reported that work took another time there than usual.
    uneven_at: Option<Timestamp>,
}

/// How fast one backend server is.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pace {
    /// Logarithm of its time relative to its service.
    ratio: Quantile,
    /// Median deviation of the samples of its service, in the logarithm.
    deviation: f64,
    sampled_at: Timestamp,
}

impl Pace {
    /// Returns how long it takes relative to a server of usual speed.
    pub(super) fn factor(&self, now: Timestamp) -> f64 {
        let count = f64::from(self.ratio.count);
        let age = now.saturating_sub(self.sampled_at).as_secs_f64();
        let trust = count / (count + HALF_TRUST) * (-age / HALF_LIFE.as_secs_f64()).exp2();
        let independent = count.clamp(1.0, 1.0 / MIN_STEP);
        let band = MIN_BAND + BAND_DEVIATIONS * self.deviation / independent.sqrt();
        // The factor has its full effect from twice the band on.
        let evidence = (self.ratio.log.abs() / band - 1.0).clamp(0.0, 1.0);
        (self.ratio.log * trust * evidence)
            .exp()
            .clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
    }

    fn record(&mut self, now: Timestamp, ratio: f64, deviation: f64) {
        self.deviation = deviation;
        self.ratio
            .record(ratio.clamp(1.0 / MAX_FACTOR, MAX_FACTOR), 0.5);
        self.ratio.log *= 1.0 - PULL;
        self.sampled_at = now;
    }
}

impl Speeds {
    /// Records the slowdown that a server reported, in percent of the usual time.
    pub(super) fn record_slowdown(&mut self, now: Timestamp, percent: Option<u32>) {
        if percent.is_some_and(|percent| percent != 100) {
            self.uneven_at = Some(now);
        }
    }

    /// Returns whether servers of the service share their machines with other work. Speeds are learned
    /// only then: elsewhere the differences in the samples come from load, and following them moves
    /// programs away from their cached prompts.
    pub(super) fn is_uneven(&self, now: Timestamp) -> bool {
        self.uneven_at
            .is_some_and(|at| now.saturating_sub(at) < SHARED_MACHINES_TIME)
    }

    /// Records an answered request of a server with `slots` slots that reported to take `slowdown` times
    /// the usual time at that moment.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        pace: &mut Pace,
        run: &Run,
        slots: u32,
        slowdown: f64,
    ) {
        let factor = pace.factor(now);
        let usual = |time: Duration| time.as_secs_f64() / slowdown;
        if run.generated >= MIN_GENERATED {
            let generation = usual(run.total.saturating_sub(run.first_byte));
            let generated = to_f64(run.generated);
            let per_token = generation / (generated - 1.0);
            let known = &mut self.per_token[class(run.running)];
            if let Some(typical) = known.value() {
                let ratio = per_token / typical;
                self.deviation.record((ratio / factor).ln().abs(), 0.5);
                pace.record(now, ratio, self.deviation.log.exp());
            }
            known.record(per_token / factor, 0.5);
            self.generation.record(generation / factor, 0.5);
            self.generated.record(generated, 0.5);
            self.total.record(usual(run.total) / factor, 0.5);
            if run.prompt_read >= MIN_READ && run.running < slots {
                // Queues and cached parts that were evicted only add to the time.
                let reading = (usual(run.first_byte) - per_token).max(0.0);
                let reading = reading / to_f64(run.prompt_read);
                self.reading.record(reading / factor, 0.25);
            }
        } else if run.generated == 0 && run.prompt_read == 0 && run.running < slots {
            let total = usual(run.total);
            if let Some(typical) = self.total.value() {
                let ratio = total / typical;
                self.deviation.record((ratio / factor).ln().abs(), 0.5);
                pace.record(now, ratio, self.deviation.log.exp());
            }
            self.total.record(total / factor, 0.5);
        }
    }

    /// Records a request that is sent, and returns how many tokens its answer probably has. A shared
    /// part of the prompt takes no memory of its own.
    pub(super) fn record_sent(&mut self, prompt: &[Part], shared: id::Tokens) -> id::Tokens {
        if prompt.is_empty() {
            return 0;
        }
        let prompt: id::Tokens = prompt.iter().map(|part| part.tokens).sum();
        let answer = self.generated.value().unwrap_or(NEUTRAL_ANSWER);
        let answer = Duration::try_from_secs_f64(answer).map_or(0, |tokens| tokens.as_secs());
        let tokens = prompt.saturating_sub(shared) + answer;
        let mean = self.tokens.get_or_insert(to_f64(tokens));
        *mean += (to_f64(tokens) - *mean) * MEAN_STEP;
        answer
    }

    /// Returns the delays of the service.
    pub(super) fn costs(&self, slots: u32) -> Costs {
        let total = self.total.duration();
        let per_waiting = total.map(|total| total / slots.max(1));
        Costs {
            per_token: bounded(self.reading.duration(), NEUTRAL.per_token),
            per_running: bounded(self.per_running(), NEUTRAL.per_running),
            per_waiting: bounded(per_waiting, NEUTRAL.per_waiting),
            call: total.unwrap_or(NEUTRAL.call),
            is_call_learned: total.is_some(),
            generation: self.generation.duration().unwrap_or(NEUTRAL.generation),
            tokens: self.tokens.unwrap_or(NEUTRAL.tokens),
        }
    }

    /// Returns how much longer each running request makes the generation of an answer.
    fn per_running(&self) -> Option<Duration> {
        let known = self.per_token.iter().zip(CLASS_MEANS);
        let mut known = known.filter_map(|(quantile, mean)| Some((quantile.value()?, mean)));
        let (low, low_mean) = known.next()?;
        let (high, high_mean) = known.next_back()?;
        let slope = (high - low) / (high_mean - low_mean);
        Duration::try_from_secs_f64(slope * self.generated.value()?).ok()
    }
}

/// Returns a learned delay within its bounds, or the neutral one if nothing was learned.
fn bounded(learned: Option<Duration>, neutral: Duration) -> Duration {
    learned.map_or(neutral, |learned| {
        learned.clamp(neutral.div_f64(MAX_CHANGE), neutral.mul_f64(MAX_CHANGE))
    })
}

fn to_f64(tokens: id::Tokens) -> f64 {
    u32::try_from(tokens).map_or(f64::from(u32::MAX), f64::from)
}
