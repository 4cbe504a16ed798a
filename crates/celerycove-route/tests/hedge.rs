//! Tests of the decisions on extra attempts, in a model of a service without a network.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use celerycove_route::hedge::{Attempt, Class, Hedges, Permit, Refusal, Size};
use celerycove_types::Timestamp;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const ORGANISATIONS: [&str; 3] = ["zilina", "kosice", "martin"];
const WINDOW: Duration = Duration::from_secs(10);

fn attempt(organisation: &str) -> Attempt {
    Attempt {
        class: Class {
            service: "app".into(),
            route: "plain".into(),
            size: Size::new(0, 100),
        },
        organisation: organisation.into(),
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What happens to one request of the model.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Due(usize),
    Answer(usize),
    ExtraAnswer(usize),
}

struct Request {
    organisation: &'static str,
    sent_at: Timestamp,
    permit: Permit,
    was_late: bool,
    extra: Option<(Timestamp, celerycove_route::hedge::Charge)>,
    took: Option<Duration>,
}

/// A service whose servers answer each attempt after an independent time.
struct Model<'a> {
    hedges: Hedges,
    random: StdRng,
    /// The time that an attempt sent at this time takes; the flag tells whether it is an extra one.
    time: &'a dyn Fn(&mut StdRng, Timestamp, bool) -> Duration,
    /// Mean time between arrivals.
    gap: &'a dyn Fn(Timestamp) -> Duration,
    share: f64,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Timestamp, Event)>>,
    /// Usual and extra work by time and organisation.
    usual: Vec<(Timestamp, &'static str, Duration)>,
    extra: Vec<(Timestamp, &'static str, Duration)>,
    refusals: Vec<(Timestamp, Refusal)>,
}

impl<'a> Model<'a> {
    fn new(
        seed: u64,
        share: f64,
        gap: &'a dyn Fn(Timestamp) -> Duration,
        time: &'a dyn Fn(&mut StdRng, Timestamp, bool) -> Duration,
    ) -> Self {
        Self {
            hedges: Hedges::new(share),
            random: StdRng::seed_from_u64(seed),
            time,
            gap,
            share,
            requests: Vec::new(),
            events: BinaryHeap::from([Reverse((Timestamp::ZERO, Event::Arrive))]),
            usual: Vec::new(),
            extra: Vec::new(),
            refusals: Vec::new(),
        }
    }

    fn run(mut self, until: Timestamp) -> Self {
        while let Some(Reverse((now, event))) = self.events.pop() {
            match event {
                Event::Arrive if now >= until => {}
                Event::Arrive => self.arrive(now),
                Event::Due(number) => self.start_extra(now, number),
                Event::Answer(number) | Event::ExtraAnswer(number) => self.answer(now, number),
            }
        }
        assert!(self.requests.iter().all(|request| request.took.is_some()));
        self
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn arrive(&mut self, now: Timestamp) {
        let number = self.requests.len();
        let organisation = ORGANISATIONS[self.random.random_range(0..ORGANISATIONS.len())];
        self.requests.push(Request {
            organisation,
            sent_at: now,
            permit: Permit::default(),
            was_late: false,
            extra: None,
            took: None,
        });
        let took = (self.time)(&mut self.random, now, false);
        self.push(now + took, Event::Answer(number));
        if let Some(delay) = self.hedges.delay(now, &attempt(organisation).class) {
            self.push(now + delay, Event::Due(number));
        }
        let gap = (self.gap)(now).mul_f64(self.random.random_range(0.5..1.5));
        self.push(now + gap, Event::Arrive);
    }

    fn start_extra(&mut self, now: Timestamp, number: usize) {
        let request = &mut self.requests[number];
        if request.took.is_some() {
            return;
        }
        let attempt = attempt(request.organisation);
        self.hedges.record_late(now, &attempt.class);
        request.was_late = true;
        let charge = self
            .hedges
            .start(now, &mut request.permit, &attempt, 0, false);
        match charge {
            Ok(charge) => {
                let again = self
                    .hedges
                    .start(now, &mut request.permit, &attempt, 0, false);
                assert_eq!(again.err(), Some(Refusal::Repeated));
                request.extra = Some((now, charge));
                self.check_limit(now, number);
                let took = (self.time)(&mut self.random, now, true);
                self.push(now + took, Event::ExtraAnswer(number));
            }
            Err(refusal) => self.refusals.push((now, refusal)),
        }
    }

    /// The work that has ended keeps to the limit when an extra attempt starts.
    fn check_limit(&self, now: Timestamp, number: usize) {
        let organisation = self.requests[number].organisation;
        let sum = |work: &[(Timestamp, &'static str, Duration)], of: Option<&str>| -> f64 {
            let recent = work.iter().rev().take_while(|(at, ..)| *at + WINDOW >= now);
            let counted = recent.filter(|(_, by, _)| of.is_none_or(|of| of == *by));
            counted.map(|(_, _, work)| work.as_secs_f64()).sum()
        };
        for of in [None, Some(organisation)] {
            let (extra, usual) = (sum(&self.extra, of), sum(&self.usual, of));
            assert!(
                extra <= self.share * usual,
                "{of:?} at {now:?}: {extra} {usual}"
            );
        }
    }

    fn answer(&mut self, now: Timestamp, number: usize) {
        let request = &mut self.requests[number];
        if request.took.is_some() {
            return;
        }
        let took = now.saturating_sub(request.sent_at);
        request.took = Some(took);
        let (organisation, was_late) = (request.organisation, request.was_late);
        if let Some((started, charge)) = request.extra.take() {
            let took = now.saturating_sub(started);
            let work = self.hedges.finish(now, charge, took);
            assert_eq!(u128::from(work), took.as_micros());
            self.extra.push((now, organisation, took));
        }
        self.hedges
            .record_attempt(now, &attempt(organisation), took, 0, was_late);
        self.usual.push((now, organisation, took));
    }

    /// The time that this share of the requests sent in a period took at most.
    fn quantile(&self, period: std::ops::Range<Timestamp>, share: f64) -> Duration {
        let requests = self.requests.iter();
        let sent = requests.filter(|request| period.contains(&request.sent_at));
        let mut times: Vec<_> = sent.filter_map(|request| request.took).collect();
        times.sort_unstable();
        let index = (0..times.len()).find(|index| {
            (f64::from(u32::try_from(*index).expect("few")) + 1.0)
                >= share * f64::from(u32::try_from(times.len()).expect("few"))
        });
        times[index.expect("requests")]
    }

    fn extra_share(&self) -> f64 {
        let sum = |work: &[(Timestamp, &str, Duration)]| -> f64 {
            work.iter().map(|(.., work)| work.as_secs_f64()).sum()
        };
        sum(&self.extra) / sum(&self.usual)
    }
}

fn usual_time(random: &mut StdRng) -> Duration {
    ms(20).mul_f64(random.random_range(0.8..1.2))
}

/// A time from 100 ms to 2 s whose logarithm is uniform.
fn heavy_tail(random: &mut StdRng) -> Duration {
    ms(100).mul_f64(20_f64.powf(random.random_range(0.0..1.0)))
}

/// Guards against extra attempts that start too late or go wrong, so that the slowest tenth of the
/// requests stays as slow: callers need the time of the 99th percentile to fall by a third.
#[test]
fn a_slow_tenth_gets_faster() {
    for seed in 0..8 {
        let time = |random: &mut StdRng, _, _| {
            if random.random_bool(0.1) {
                heavy_tail(random)
            } else {
                usual_time(random)
            }
        };
        let gap = |_| ms(10);
        let until = Duration::from_mins(1);
        let without = Model::new(seed, 0.0, &gap, &time).run(until);
        let with = Model::new(seed, 0.2, &gap, &time).run(until);
        let tail = |model: &Model<'_>| model.quantile(ms(5_000)..until, 0.99);
        assert!(
            tail(&with) * 3 <= tail(&without) * 2,
            "seed {seed}: {:?} instead of {:?}",
            tail(&with),
            tail(&without)
        );
        assert_eq!(without.extra.len(), 0);
    }
}

/// Guards against extra attempts that wait until the slow server's times have become usual: with one
/// slow server of 25, requests sent to it are answered in a third of its time.
#[test]
fn requests_to_one_slow_server_are_answered_by_another() {
    for seed in 0..8 {
        let time = |random: &mut StdRng, now: Timestamp, is_extra: bool| {
            let is_slow = now > ms(5_000) && !is_extra && random.random_ratio(1, 25);
            if is_slow { ms(300) } else { usual_time(random) }
        };
        let gap = |_| ms(10);
        let model = Model::new(seed, 0.2, &gap, &time).run(Duration::from_secs(40));
        let tail = model.quantile(ms(5_000)..ms(40_000), 0.98);
        assert!(tail <= ms(100), "seed {seed}: {tail:?}");
    }
}

/// Guards against extra attempts that add work to a service that is slow as a whole: at most the few
/// attempts that show it.
#[test]
fn no_extra_attempts_start_while_all_servers_are_slow() {
    for seed in 0..8 {
        let slow = ms(10_000)..ms(12_000);
        let time = |random: &mut StdRng, now: Timestamp, _| {
            let factor = if slow.contains(&now) { 5 } else { 1 };
            usual_time(random) * factor
        };
        let gap = |_| ms(2);
        let model = Model::new(seed, 0.5, &gap, &time).run(Duration::from_secs(13));
        let extra = model.extra.iter();
        let count = extra.filter(|(at, ..)| slow.contains(at)).count();
        assert!(count <= 8, "seed {seed}: {count}");
        let is_common =
            |(at, refusal): &(Timestamp, Refusal)| slow.contains(at) && *refusal == Refusal::Common;
        assert!(model.refusals.iter().any(is_common), "seed {seed}");
    }
}

/// Guards against a burst in which extra attempts make the queue longer, and against work from before
/// the burst that pays for extra attempts after it.
#[test]
fn a_burst_stays_within_the_limit() {
    for seed in 0..8 {
        let burst = ms(10_000)..ms(14_000);
        let time = |random: &mut StdRng, _, _| {
            if random.random_bool(0.1) {
                ms(random.random_range(100..1_000))
            } else {
                usual_time(random)
            }
        };
        let gap = |now| {
            if burst.contains(&now) { ms(1) } else { ms(20) }
        };
        // The limit is checked at each start.
        let model = Model::new(seed, 0.02, &gap, &time).run(Duration::from_secs(40));
        let has_refused = model
            .refusals
            .iter()
            .any(|(_, refusal)| matches!(refusal, Refusal::Limit | Refusal::OrganisationLimit));
        assert!(has_refused, "seed {seed}");
        assert!(!model.extra.is_empty(), "seed {seed}");
    }
}

/// Guards against a limit that is exceeded for some distribution of times and arrivals. The limit is
/// checked at each start, and one extra attempt for each request.
#[test]
fn the_limit_holds_for_random_loads() {
    for seed in 0..60 {
        let mut random = StdRng::seed_from_u64(seed);
        let share = random.random_range(0.01..0.5);
        let slow_share = random.random_range(0.0..0.3);
        let slowest = random.random_range(30..1_500);
        let (calm, busy) = (random.random_range(2..60), random.random_range(1..60));
        let time = move |random: &mut StdRng, _, _| {
            if random.random_bool(slow_share) {
                ms(random.random_range(20..slowest))
            } else {
                usual_time(random)
            }
        };
        let gap = move |now: Timestamp| ms(if now.as_secs() % 7 < 3 { busy } else { calm });
        let model = Model::new(seed, share, &gap, &time).run(Duration::from_secs(30));
        // Extra attempts that run when the load ends may take longer than they are charged for.
        let total = model.extra_share();
        assert!(total <= share * 1.5, "seed {seed}: {total} of {share}");
    }
}

/// Fills a class with samples of about 20 ms, from four seconds before to `now`.
fn learned(share: f64, now: Timestamp) -> Hedges {
    let mut hedges = Hedges::new(share);
    for number in 0..100 {
        let at = now.saturating_sub(ms(40) * (100 - number));
        hedges.record_attempt(at, &attempt("zilina"), ms(20), 0, false);
    }
    hedges
}

fn start(hedges: &mut Hedges, now: Timestamp, organisation: &str) -> Option<Refusal> {
    let mut permit = Permit::default();
    let attempt = attempt(organisation);
    let charge = hedges.start(now, &mut permit, &attempt, 0, false);
    charge.err()
}

/// Guards against an extra attempt on the work of another organisation.
#[test]
fn each_organisation_has_its_own_limit() {
    let now = ms(10_000);
    let mut hedges = learned(0.1, now);
    assert_eq!(
        start(&mut hedges, now, "kosice"),
        Some(Refusal::OrganisationLimit)
    );
    assert_eq!(start(&mut hedges, now, "zilina"), None);
}

/// Guards against extra attempts that are switched off, while capacity is short, or from too few or
/// outdated samples.
#[test]
fn extra_attempts_need_samples_and_free_capacity() {
    let now = ms(100_000);
    let mut hedges = learned(0.5, now);
    let class = attempt("zilina").class;
    assert_eq!(hedges.delay(now, &class), Some(ms(20)));
    let charge = hedges.start(now, &mut Permit::default(), &attempt("zilina"), 0, true);
    assert_eq!(charge.err(), Some(Refusal::Short));
    assert_eq!(hedges.delay(now + ms(61_000), &class), None);
    hedges.set_max_share(0.0);
    assert_eq!(start(&mut hedges, now, "zilina"), Some(Refusal::Off));
    assert_eq!(hedges.delay(now, &class), None);

    let mut hedges = Hedges::new(0.5);
    for _ in 0..39 {
        hedges.record_attempt(now, &attempt("zilina"), ms(20), 0, false);
    }
    assert_eq!(start(&mut hedges, now, "zilina"), Some(Refusal::Unknown));
    hedges.record_attempt(now, &attempt("zilina"), ms(20), 0, false);
    assert_eq!(start(&mut hedges, now, "zilina"), None);
}

/// Guards against prompts that are charged by their time, or whose extra work is paid by calls.
#[test]
fn prompts_are_charged_by_their_tokens_and_apart_from_calls() {
    let now = ms(10_000);
    let mut hedges = learned(0.1, now);
    let mut prompt = attempt("zilina");
    prompt.class.size = Size::new(1_000, 100);
    for _ in 0..100 {
        hedges.record_attempt(now, &prompt, ms(20), 10, false);
    }
    let mut start = |work| hedges.start(now, &mut Permit::default(), &prompt, work, false);
    assert_eq!(start(101).err(), Some(Refusal::Limit));
    let charge = start(60).expect("an extra attempt");
    assert_eq!(start(41).err(), Some(Refusal::Limit));
    // A cancelled attempt may have read the whole prompt.
    assert_eq!(hedges.finish(now, charge, ms(1)), 60);
    let again = hedges.start(now, &mut Permit::default(), &prompt, 41, false);
    assert_eq!(again.err(), Some(Refusal::Limit));
}
