//! Decides when a request gets an extra attempt at another backend server, to guard against a slow
//! response (J. Dean, L. A. Barroso, "The Tail at Scale", 2013).
//!
//! An extra attempt is due once the request has waited for longer than a quantile of the time to the
//! head of the response. The work of extra attempts is limited to a share of the other work of the
//! same service, and of the same organisation in it.

mod window;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use celerycove_types::{Timestamp, id, micros};

use self::window::Window;

/// Number of times to the head of the response that are kept for a class. The standard error of the rank
/// of the 0.95 quantile is then 1.4 percent.
const SAMPLES: usize = 256;
/// Number of samples from which the quantile is used: two of them lie beyond it.
const MIN_SAMPLES: usize = 40;
/// Least time between two samples of a class once there are enough, so that the samples cover 32 s. If
/// they covered less, a service that is slow as a whole for a few seconds would soon seem usual.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(125);
/// The quantile after which an extra attempt is due, in percent.
const QUANTILE_PERCENT: usize = 95;
/// The median, in percent.
const MEDIAN_PERCENT: usize = 50;
/// Samples of a class that had no attempt for this long say nothing about the present.
const MAX_IDLE: Duration = Duration::from_mins(1);
/// Number of latest attempts by which a service counts as slow as a whole.
const RECENT_ATTEMPTS: usize = 32;
/// Age up to which those attempts count.
const RECENT: Duration = Duration::from_secs(1);
/// Number of late or slow attempts below which a service does not count as slow as a whole.
const MIN_LATE: usize = 4;
/// A service is slow as a whole if one in this many of the latest attempts is late. Usually it is one in
/// twenty.
const LATE_DIVISOR: usize = 4;
/// It is also slow as a whole if one in this many of them is slow, that is, if their median has moved.
const SLOW_DIVISOR: usize = 2;
/// An attempt is slow if it takes more than the median of its class times this number of halves.
const SLOW_HALVES: u64 = 3;
/// Limits on what is kept.
const MAX_SERVICES: usize = 64;
const MAX_CLASSES: usize = 32;
const MAX_ORGANISATIONS: usize = 256;

/// Requests that take about the same time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class {
    /// The service that runs them.
    pub service: Arc<str>,
    /// The route by which they came.
    pub route: Arc<str>,
    /// Their size.
    pub size: Size,
}

/// The size of a request, by powers of two.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Size {
    /// Length of the body in bytes, of a call.
    Body(u32),
    /// Number of tokens of a prompt.
    Prompt(u32),
}

/// The work of an attempt: tokens of a prompt that are read, or microseconds of a call.
pub type Work = u64;

/// An attempt at a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The class of its request.
    pub class: Class,
    /// The organisation that is charged.
    pub organisation: id::Organisation,
}

/// Allows one extra attempt for a request.
#[derive(Debug, Default)]
pub struct Permit {
    is_used: bool,
}

/// The extra work that was charged for an extra attempt.
#[derive(Debug)]
#[must_use = "the time that the attempt took has to be charged"]
pub struct Charge {
    attempt: Attempt,
    work: Work,
    charged_at: Timestamp,
}

/// Why an extra attempt does not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Extra attempts are switched off.
    Off,
    /// The request has had one.
    Repeated,
    /// Capacity is short.
    Short,
    /// There are too few samples.
    Unknown,
    /// The service is slow as a whole.
    Common,
    /// The extra work would exceed the service's share.
    Limit,
    /// The extra work would exceed the organisation's share.
    OrganisationLimit,
}

/// Times to the head of the response of one class, in microseconds.
#[derive(Debug, Default)]
struct Times {
    samples: VecDeque<u64>,
    sampled_at: Timestamp,
    last_at: Timestamp,
}

/// One of the latest attempts of a service.
#[derive(Debug, Clone, Copy)]
struct Recent {
    /// When it was answered or found to be late.
    at: Timestamp,
    is_late: bool,
    is_slow: bool,
}

/// What is known of a service, apart for calls and prompts.
#[derive(Debug, Default)]
struct Service {
    classes: BTreeMap<(Arc<str>, Size), Times>,
    /// The latest attempts.
    recent: VecDeque<Recent>,
    total: Window,
    organisations: BTreeMap<id::Organisation, Window>,
}

/// The extra attempts of one entry.
#[derive(Debug, Default)]
pub struct Hedges {
    max_share: f64,
    services: BTreeMap<(Arc<str>, bool), Service>,
}

impl Size {
    /// Returns the size of a request with a prompt of this many tokens, or without one.
    #[must_use]
    pub fn new(prompt: id::Tokens, body_bytes: usize) -> Self {
        if prompt > 0 {
            Self::Prompt(prompt.ilog2())
        } else {
            Self::Body(body_bytes.max(1).ilog2())
        }
    }

    fn is_prompt(self) -> bool {
        matches!(self, Self::Prompt(_))
    }
}

impl Class {
    fn service_key(&self) -> (Arc<str>, bool) {
        (self.service.clone(), self.size.is_prompt())
    }

    fn key(&self) -> (Arc<str>, Size) {
        (self.route.clone(), self.size)
    }
}

impl Refusal {
    /// The reason's name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Off => "off",
            Self::Repeated => "repeated",
            Self::Short => "short",
            Self::Unknown => "unknown",
            Self::Common => "common",
            Self::Limit => "limit",
            Self::OrganisationLimit => "organisation_limit",
        }
    }
}

impl Times {
    fn quantile(&self, now: Timestamp, percent: usize) -> Option<u64> {
        let is_stale = now.saturating_sub(self.last_at) > MAX_IDLE;
        if self.samples.len() < MIN_SAMPLES || is_stale {
            return None;
        }
        let mut samples: Vec<_> = self.samples.iter().copied().collect();
        let index = samples.len() * percent / 100;
        Some(*samples.select_nth_unstable(index).1)
    }

    /// Whether an attempt that takes this long is slow.
    fn is_slow(&self, now: Timestamp, time: u64) -> bool {
        let median = self.quantile(now, MEDIAN_PERCENT);
        median.is_some_and(|median| time.saturating_mul(2) > median.saturating_mul(SLOW_HALVES))
    }

    fn record(&mut self, now: Timestamp, time: u64) {
        if now.saturating_sub(self.last_at) > MAX_IDLE {
            self.samples.clear();
        }
        self.last_at = now;
        let is_soon = now.saturating_sub(self.sampled_at) < SAMPLE_INTERVAL;
        if self.samples.len() >= MIN_SAMPLES && is_soon {
            return;
        }
        if self.samples.len() >= SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(time);
        self.sampled_at = now;
    }
}

impl Service {
    fn record_recent(&mut self, recent: Recent) {
        if self.recent.len() >= RECENT_ATTEMPTS {
            self.recent.pop_front();
        }
        self.recent.push_back(recent);
    }

    fn is_slow(&self, now: Timestamp) -> bool {
        let (mut count, mut late, mut slow) = (0, 0, 0);
        for recent in &self.recent {
            if now.saturating_sub(recent.at) <= RECENT {
                count += 1;
                late += usize::from(recent.is_late);
                slow += usize::from(recent.is_slow);
            }
        }
        (late >= MIN_LATE && late * LATE_DIVISOR >= count)
            || (slow >= MIN_LATE && slow * SLOW_DIVISOR >= count)
    }

    /// Returns the window of an organisation, unless there are too many.
    fn organisation(
        &mut self,
        now: Timestamp,
        organisation: &id::Organisation,
    ) -> Option<&mut Window> {
        if !self.organisations.contains_key(organisation)
            && self.organisations.len() >= MAX_ORGANISATIONS
        {
            self.organisations.retain(|_, window| !window.is_empty(now));
            if self.organisations.len() >= MAX_ORGANISATIONS {
                return None;
            }
        }
        Some(self.organisations.entry(organisation.clone()).or_default())
    }
}

impl Hedges {
    /// Creates the state for a largest share of extra work; zero switches extra attempts off.
    #[must_use]
    pub fn new(max_share: f64) -> Self {
        Self {
            max_share,
            services: BTreeMap::new(),
        }
    }

    /// Changes the largest share of extra work.
    pub fn set_max_share(&mut self, max_share: f64) {
        self.max_share = max_share;
    }

    /// Whether extra attempts are switched on.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.max_share > 0.0
    }

    /// Removes the services for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.services.retain(|(service, _), _| keep(service));
    }

    /// Returns how long a request of a class waits for a response before an extra attempt is due, if that
    /// is known.
    #[must_use]
    pub fn delay(&self, now: Timestamp, class: &Class) -> Option<Duration> {
        if !self.is_on() {
            return None;
        }
        let service = self.services.get(&class.service_key())?;
        let quantile = service
            .classes
            .get(&class.key())?
            .quantile(now, QUANTILE_PERCENT)?;
        Some(Duration::from_micros(quantile))
    }

    /// Records that a request has waited for its [`delay`](Self::delay).
    pub fn record_late(&mut self, now: Timestamp, class: &Class) {
        let Some(delay) = self.delay(now, class) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&class.service_key()) {
            let times = service.classes.get(&class.key());
            let is_slow = times.is_some_and(|times| times.is_slow(now, micros(delay)));
            service.record_recent(Recent {
                at: now,
                is_late: true,
                is_slow,
            });
        }
    }

    /// Decides whether an extra attempt that is due may start, and charges its work. `prompt_work` is its
    /// number of tokens to read; a call is charged with the time after which it is due. `is_short` tells
    /// whether capacity is short.
    ///
    /// # Errors
    ///
    /// Returns the reason if it may not start.
    pub fn start(
        &mut self,
        now: Timestamp,
        permit: &mut Permit,
        attempt: &Attempt,
        prompt_work: Work,
        is_short: bool,
    ) -> Result<Charge, Refusal> {
        if !self.is_on() {
            return Err(Refusal::Off);
        }
        if permit.is_used {
            return Err(Refusal::Repeated);
        }
        if is_short {
            return Err(Refusal::Short);
        }
        let max_share = self.max_share;
        let class = &attempt.class;
        let delay = self.delay(now, class).ok_or(Refusal::Unknown)?;
        let service = self.services.get_mut(&class.service_key());
        let service = service.ok_or(Refusal::Unknown)?;
        if service.is_slow(now) {
            return Err(Refusal::Common);
        }
        let work = if class.size.is_prompt() {
            prompt_work
        } else {
            micros(delay)
        };
        let work = work.max(1);
        if !service.total.has_room(now, work, max_share) {
            return Err(Refusal::Limit);
        }
        let organisation = service.organisation(now, &attempt.organisation);
        let organisation = organisation.ok_or(Refusal::OrganisationLimit)?;
        if !organisation.has_room(now, work, max_share) {
            return Err(Refusal::OrganisationLimit);
        }
        organisation.add_extra(now, work);
        service.total.add_extra(now, work);
        permit.is_used = true;
        Ok(Charge {
            attempt: attempt.clone(),
            work,
            charged_at: now,
        })
    }

    /// Records the end of an extra attempt and returns its work: a call is charged for the time that it
    /// took.
    pub fn finish(&mut self, now: Timestamp, charge: Charge, took: Duration) -> Work {
        let Charge {
            attempt,
            work,
            charged_at,
        } = charge;
        let actual = if attempt.class.size.is_prompt() {
            work
        } else {
            micros(took)
        };
        if let Some(service) = self.services.get_mut(&attempt.class.service_key()) {
            let organisation = service.organisations.get_mut(&attempt.organisation);
            let windows = organisation.into_iter().chain([&mut service.total]);
            for window in windows {
                window.remove_extra(charged_at, work.saturating_sub(actual));
                window.add_extra(now, actual.saturating_sub(work));
            }
        }
        actual
    }

    /// Records the end of an attempt that is no extra one: the head of its response arrived after `took`,
    /// or it was cancelled then in favour of the extra attempt. `was_late` tells whether it has been
    /// recorded as late.
    pub fn record_attempt(
        &mut self,
        now: Timestamp,
        attempt: &Attempt,
        took: Duration,
        prompt_work: Work,
        was_late: bool,
    ) {
        let class = &attempt.class;
        let key = class.service_key();
        if !self.is_on()
            || (self.services.len() >= MAX_SERVICES && !self.services.contains_key(&key))
        {
            return;
        }
        let service = self.services.entry(key).or_default();
        let key = class.key();
        if !was_late {
            let times = service.classes.get(&key);
            let is_slow = times.is_some_and(|times| times.is_slow(now, micros(took)));
            service.record_recent(Recent {
                at: now,
                is_late: false,
                is_slow,
            });
        }
        if service.classes.len() >= MAX_CLASSES && !service.classes.contains_key(&key) {
            let is_used = |times: &Times| now.saturating_sub(times.last_at) <= MAX_IDLE;
            service.classes.retain(|_, times| is_used(times));
        }
        if service.classes.len() < MAX_CLASSES || service.classes.contains_key(&key) {
            let times = service.classes.entry(key).or_default();
            times.record(now, micros(took));
        }
        let work = if class.size.is_prompt() {
            prompt_work
        } else {
            micros(took)
        };
        service.total.add_usual(now, work);
        if let Some(organisation) = service.organisation(now, &attempt.organisation) {
            organisation.add_usual(now, work);
        }
    }
}
