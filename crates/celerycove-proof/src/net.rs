//! A seeded queue of messages and timers, with faults.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    time::Duration,
};

use celerycove_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Numbers a process of a run.
pub type Place = usize;

/// How badly messages are treated.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    /// The share of messages lost.
    pub loss: f64,
    /// The share of messages doubled.
    pub doubled: f64,
    /// The longest delay; each message takes its own, so that messages cross.
    pub delay: Duration,
}

/// How far a clock's rate is from true, at most.
pub const DRIFT: f64 = 0.02;

struct Queued<E> {
    at: Timestamp,
    order: u64,
    to: Place,
    event: E,
}

impl<E> PartialEq for Queued<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<E> Eq for Queued<E> {}

impl<E> PartialOrd for Queued<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Queued<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Messages and timers of one run, in virtual time.
pub struct Net<E> {
    /// The run's only source of randomness.
    pub rng: ChaCha8Rng,
    /// How badly messages are treated now.
    pub faults: Faults,
    queue: BinaryHeap<Reverse<Queued<E>>>,
    now: Timestamp,
    order: u64,
    cut: BTreeSet<(Place, Place)>,
    clocks: Vec<(f64, Duration)>,
}

impl<E: Clone> Net<E> {
    /// Starts with so many processes, each with a clock of its own.
    #[must_use]
    pub fn new(seed: u64, places: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let clocks = (0..places)
            .map(|_| {
                let rate = rng.random_range(1.0 - DRIFT..1.0 + DRIFT);
                let offset = Duration::from_millis(rng.random_range(0..100_000));
                (rate, offset)
            })
            .collect();
        let faults = Faults {
            loss: rng.random_range(0.0..0.15),
            doubled: rng.random_range(0.0..0.1),
            delay: Duration::from_millis(rng.random_range(5..120)),
        };
        Self {
            rng,
            faults,
            queue: BinaryHeap::new(),
            now: Timestamp::ZERO,
            order: 0,
            cut: BTreeSet::new(),
            clocks,
        }
    }

    /// True time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// The time on a process's own clock.
    #[must_use]
    pub fn clock(&self, place: Place) -> Timestamp {
        let (rate, offset) = self.clocks[place];
        self.now.mul_f64(rate) + offset
    }

    /// Sends a message, unless the link is cut or the message is lost.
    pub fn send(&mut self, from: Place, to: Place, event: E) {
        if self.is_cut(from, to) || self.rng.random_bool(self.faults.loss) {
            return;
        }
        if self.rng.random_bool(self.faults.doubled) {
            let delay = self.delay();
            self.after(delay, to, event.clone());
        }
        let delay = self.delay();
        self.after(delay, to, event);
    }

    /// Sets a timer.
    pub fn after(&mut self, delay: Duration, to: Place, event: E) {
        self.order += 1;
        self.queue.push(Reverse(Queued {
            at: self.now + delay,
            order: self.order,
            to,
            event,
        }));
    }

    /// Takes the next event; `None` when there is nothing left.
    pub fn pop(&mut self) -> Option<(Place, E)> {
        let Reverse(queued) = self.queue.pop()?;
        self.now = self.now.max(queued.at);
        Some((queued.to, queued.event))
    }

    /// True with so much probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    /// A number below `limit`.
    pub fn below(&mut self, limit: usize) -> usize {
        self.rng.random_range(0..limit)
    }

    /// Cuts the link between two processes, in both directions or in one.
    pub fn cut(&mut self, a: Place, b: Place, both: bool) {
        self.cut.insert((a, b));
        if both {
            self.cut.insert((b, a));
        }
    }

    /// Cuts one process off from all others.
    pub fn isolate(&mut self, place: Place, places: usize) {
        for other in (0..places).filter(|other| *other != place) {
            self.cut(place, other, true);
        }
    }

    /// Whether any link of a process is cut.
    #[must_use]
    pub fn is_cut_off(&self, place: Place) -> bool {
        self.cut.iter().any(|(a, b)| *a == place || *b == place)
    }

    /// Heals all links.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Ends all faults of messages.
    pub fn calm(&mut self) {
        self.heal();
        self.faults = Faults {
            loss: 0.0,
            doubled: 0.0,
            delay: Duration::from_millis(5),
        };
    }

    fn is_cut(&self, from: Place, to: Place) -> bool {
        self.cut.contains(&(from, to))
    }

    fn delay(&mut self) -> Duration {
        let most = self.faults.delay.as_secs_f64();
        // Most messages are quick, some are very late.
        let share = self.rng.random_range(0.0_f64..1.0).powi(4);
        Duration::from_secs_f64(most * share) + Duration::from_micros(200)
    }
}
