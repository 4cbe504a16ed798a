//! A simulated network in virtual time: seeded message delivery and timers, with injected faults.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    time::Duration,
};

use celerycove_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Index of a simulated process.
pub type ProcessIndex = usize;

/// Faults injected into message delivery.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    /// Fraction of messages lost.
    pub loss: f64,
    /// Fraction of messages delivered twice.
    pub duplication: f64,
    /// Longest delivery delay. Each message draws its own delay, so messages are reordered.
    pub max_delay: Duration,
}

/// Largest deviation of a process's clock rate from true time, as a fraction.
pub const MAX_CLOCK_DRIFT: f64 = 0.02;

struct Scheduled<E> {
    at: Timestamp,
    /// Orders events of the same time by when they were scheduled.
    sequence: u64,
    to: ProcessIndex,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// The messages and timers of one simulation run, in virtual time.
pub struct Network<E> {
    /// The only source of randomness of the run, so that a seed determines the run.
    pub rng: ChaCha8Rng,
    /// Faults injected now.
    pub faults: Faults,
    queue: BinaryHeap<Reverse<Scheduled<E>>>,
    now: Timestamp,
    sequence: u64,
    cut_links: BTreeSet<(ProcessIndex, ProcessIndex)>,
    clocks: Vec<(f64, Duration)>,
}

impl<E: Clone> Network<E> {
    /// Creates a network of `processes` processes. Each gets its own clock rate and offset, and the
    /// faults are drawn at random.
    #[must_use]
    pub fn new(seed: u64, processes: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let clocks = (0..processes)
            .map(|_| {
                let rate = rng.random_range(1.0 - MAX_CLOCK_DRIFT..1.0 + MAX_CLOCK_DRIFT);
                let offset = Duration::from_millis(rng.random_range(0..100_000));
                (rate, offset)
            })
            .collect();
        let faults = Faults {
            loss: rng.random_range(0.0..0.15),
            duplication: rng.random_range(0.0..0.1),
            max_delay: Duration::from_millis(rng.random_range(5..120)),
        };
        Self {
            rng,
            faults,
            queue: BinaryHeap::new(),
            now: Timestamp::ZERO,
            sequence: 0,
            cut_links: BTreeSet::new(),
            clocks,
        }
    }

    /// Returns the true time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Returns the time on a process's own clock.
    #[must_use]
    pub fn clock(&self, process: ProcessIndex) -> Timestamp {
        let (rate, offset) = self.clocks[process];
        self.now.mul_f64(rate) + offset
    }

    /// Sends a message with a random delay. It is dropped if the link is cut, and may be lost or
    /// duplicated at random.
    pub fn send(&mut self, from: ProcessIndex, to: ProcessIndex, event: E) {
        if self.is_cut(from, to) || self.rng.random_bool(self.faults.loss) {
            return;
        }
        if self.rng.random_bool(self.faults.duplication) {
            let delay = self.delay();
            self.schedule(delay, to, event.clone());
        }
        let delay = self.delay();
        self.schedule(delay, to, event);
    }

    /// Delivers an event to a process after a delay, without loss; also used for timers.
    pub fn schedule(&mut self, delay: Duration, to: ProcessIndex, event: E) {
        self.sequence += 1;
        self.queue.push(Reverse(Scheduled {
            at: self.now + delay,
            sequence: self.sequence,
            to,
            event,
        }));
    }

    /// Advances to the next event and returns it with its receiver; `None` if none is scheduled.
    pub fn next_event(&mut self) -> Option<(ProcessIndex, E)> {
        let Reverse(scheduled) = self.queue.pop()?;
        self.now = self.now.max(scheduled.at);
        Some((scheduled.to, scheduled.event))
    }

    /// Returns `true` with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    /// Returns a random number below `limit`.
    pub fn random_below(&mut self, limit: usize) -> usize {
        self.rng.random_range(0..limit)
    }

    /// Cuts the link from `a` to `b`, and the reverse link too if `both`.
    pub fn cut_link(&mut self, a: ProcessIndex, b: ProcessIndex, both: bool) {
        self.cut_links.insert((a, b));
        if both {
            self.cut_links.insert((b, a));
        }
    }

    /// Cuts all links between one process and the others.
    pub fn isolate(&mut self, process: ProcessIndex, processes: usize) {
        for other in (0..processes).filter(|other| *other != process) {
            self.cut_link(process, other, true);
        }
    }

    /// Returns whether any link of a process is cut.
    #[must_use]
    pub fn has_cut_link(&self, process: ProcessIndex) -> bool {
        self.cut_links
            .iter()
            .any(|(a, b)| *a == process || *b == process)
    }

    /// Restores all cut links.
    pub fn restore_links(&mut self) {
        self.cut_links.clear();
    }

    /// Restores all links, stops message loss and duplication, and shortens delays.
    pub fn stop_faults(&mut self) {
        self.restore_links();
        self.faults = Faults {
            loss: 0.0,
            duplication: 0.0,
            max_delay: Duration::from_millis(5),
        };
    }

    fn is_cut(&self, from: ProcessIndex, to: ProcessIndex) -> bool {
        self.cut_links.contains(&(from, to))
    }

    fn delay(&mut self) -> Duration {
        let max_delay = self.faults.max_delay.as_secs_f64();
        // The fourth power skews the delays: most are short, a few come close to the maximum.
        let fraction = self.rng.random_range(0.0_f64..1.0).powi(4);
        Duration::from_secs_f64(max_delay * fraction) + Duration::from_micros(200)
    }
}
