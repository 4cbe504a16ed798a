//! The faults of one run, drawn from its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What a run is made of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// Data centres, each with one control instance and one store.
    pub data_centres: usize,
    /// Entries in each data centre.
    pub entries: usize,
    /// How long faults come.
    pub length: Duration,
}

/// The kinds of processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Serves callers.
    Entry,
    /// Hears backend servers and operators.
    Control,
    /// Keeps turns.
    Store,
}

/// One process: its kind and its number among them.
pub type Name = (Kind, usize);

/// What happens to the processes or the connections between them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed and started again after a while.
    Kill(Name, Duration),
    /// The process is killed in the middle of a write, which leaves part of a record behind.
    Torn(Name, Duration),
    /// The process is killed, its files are gone, and it starts again.
    Wipe(Name, Duration),
    /// The process is asked to stop and is started again once it has.
    Restart(Name),
    /// The process stands still for a while.
    Pause(Name, Duration),
    /// All processes are killed at once and start again after a while.
    KillAll(Duration),
    /// Nothing passes from others to the process, nor back unless `one_way`.
    Cut {
        /// The process.
        name: Name,
        /// Whether what it says still passes.
        one_way: bool,
        /// For how long.
        lasts: Duration,
    },
    /// All connections to the process are reset.
    Reset(Name),
    /// What is said to the process comes late.
    Delay {
        /// The process.
        name: Name,
        /// How late.
        by: Duration,
        /// For how long.
        lasts: Duration,
    },
    /// Backend servers lose, spoil or decline part of their answers.
    Servers(Duration),
    /// A configuration is sent, to two control instances at once if `races`.
    Configure {
        /// Whether two versions race.
        races: bool,
    },
}

/// A fault and when it begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// After the start of traffic.
    pub at: Duration,
    /// What happens.
    pub fault: Fault,
}

/// The pause between two faults, on average: several overlap.
const BETWEEN: Duration = Duration::from_millis(700);
/// A disk is lost only so long after the one before, so that lost copies are made up for; the time
/// that the settings promise, and the longest fault beside it.
const DISKS_APART: Duration = Duration::from_secs(9);
/// How long faults last.
const LASTS: std::ops::Range<u64> = 300..2_500;

/// Draws the faults of a run.
#[must_use]
pub fn draw(seed: u64, shape: Shape) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at = Duration::from_millis(500);
    let mut disk_lost: Option<Duration> = None;
    while at < shape.length {
        let may_wipe = disk_lost.is_none_or(|lost| at >= lost + DISKS_APART);
        let fault = fault(&mut rng, shape, may_wipe);
        if matches!(fault, Fault::Wipe(..)) {
            disk_lost = Some(at);
        }
        events.push(Event { at, fault });
        at += BETWEEN.mul_f64(rng.random_range(0.1..1.9));
    }
    events
}

fn fault(rng: &mut ChaCha8Rng, shape: Shape, may_wipe: bool) -> Fault {
    let lasts = Duration::from_millis(rng.random_range(LASTS));
    let name = name(rng, shape);
    let kept = (
        [Kind::Control, Kind::Store][rng.random_range(0..2)],
        rng.random_range(0..shape.data_centres),
    );
    match rng.random_range(0..22) {
        0..3 => Fault::Kill(name, lasts),
        3 => Fault::Torn(kept, lasts),
        4 if may_wipe => Fault::Wipe(kept, lasts),
        4..7 => Fault::Restart(name),
        7..9 => Fault::Pause(name, lasts),
        9 => Fault::KillAll(lasts),
        10..13 => Fault::Cut {
            name,
            one_way: rng.random_bool(0.5),
            lasts,
        },
        13..15 => Fault::Reset(name),
        15..17 => Fault::Delay {
            name,
            by: Duration::from_millis(rng.random_range(5..120)),
            lasts,
        },
        17..19 => Fault::Servers(lasts),
        _ => Fault::Configure {
            races: rng.random_bool(0.3),
        },
    }
}

fn name(rng: &mut ChaCha8Rng, shape: Shape) -> Name {
    match rng.random_range(0..3) {
        0 => (
            Kind::Entry,
            rng.random_range(0..shape.data_centres * shape.entries),
        ),
        1 => (Kind::Control, rng.random_range(0..shape.data_centres)),
        _ => (Kind::Store, rng.random_range(0..shape.data_centres)),
    }
}
