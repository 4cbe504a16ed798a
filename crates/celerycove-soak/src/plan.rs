//! The fault plan of one run, generated from its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The size and length of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// Number of data centres, each with one control process and one store process.
    pub data_centres: usize,
    /// Number of entry processes in each data centre.
    pub entries: usize,
    /// Length of the period in which faults begin.
    pub fault_period: Duration,
}

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Accepts requests of callers and forwards them to backend servers.
    Entry,
    /// Accepts heartbeats of backend servers and orders of operators.
    Control,
    /// Stores turns.
    Store,
}

/// A process, by its kind and its index among the processes of that kind.
pub type Name = (Kind, usize);

/// A fault of processes, of connections between them or of backend servers, or a configuration
/// update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Kills the process and starts it again after the given time.
    Kill(Name, Duration),
    /// Kills the process and leaves an incomplete record at the end of its log, as if it had
    /// crashed in the middle of a write.
    Torn(Name, Duration),
    /// Kills the process, deletes its data and starts it again after the given time.
    Wipe(Name, Duration),
    /// Sends SIGTERM to the process and starts it again once it has exited.
    Restart(Name),
    /// Suspends the process for the given time.
    Pause(Name, Duration),
    /// Kills all processes at once and starts them again after the given time.
    KillAll(Duration),
    /// Blocks traffic from other processes to the process, and back unless `one_way`.
    Cut {
        /// The process.
        name: Name,
        /// Whether traffic from the process to others still passes.
        one_way: bool,
        /// Duration of the fault.
        lasts: Duration,
    },
    /// Resets all connections to the process, and those to all backend servers.
    Reset(Name),
    /// Delays traffic to the process.
    Delay {
        /// The process.
        name: Name,
        /// Additional latency.
        by: Duration,
        /// Duration of the fault.
        lasts: Duration,
    },
    /// Backend servers abort, mislabel or reject some of their requests for the given time.
    Servers(Duration),
    /// Sends a new configuration; if `races`, sends two through two control instances at once.
    Configure {
        /// Whether two versions are sent concurrently.
        races: bool,
    },
}

/// A fault and its start time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Time since the faults of the run began to be injected.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Mean time between the starts of two faults; shorter than the average fault, so that several
/// overlap.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(700);
/// Minimum time between two wipes, so that the copies lost with one disk are replaced before the
/// next is lost; covers the recovery time that the settings guarantee plus the longest fault.
const MIN_WIPE_INTERVAL: Duration = Duration::from_secs(9);
/// Range of fault durations in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..2_500;

/// Generates the faults of a run, in order of their start times.
///
/// A seed and a shape always give the same faults.
#[must_use]
pub fn generate(seed: u64, shape: Shape) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at = Duration::from_millis(500);
    let mut last_wipe: Option<Duration> = None;
    while at < shape.fault_period {
        let wipe_allowed = last_wipe.is_none_or(|last| at >= last + MIN_WIPE_INTERVAL);
        let fault = random_fault(&mut rng, shape, wipe_allowed);
        if matches!(fault, Fault::Wipe(..)) {
            last_wipe = Some(at);
        }
        events.push(Event { at, fault });
        at += MEAN_FAULT_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
    }
    events
}

/// Generates one fault. Always draws a duration, a process and a process with a data directory
/// first, whichever the fault needs.
fn random_fault(rng: &mut ChaCha8Rng, shape: Shape, wipe_allowed: bool) -> Fault {
    let lasts = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    let name = random_name(rng, shape);
    let stateful = (
        [Kind::Control, Kind::Store][rng.random_range(0..2)],
        rng.random_range(0..shape.data_centres),
    );
    match rng.random_range(0..22) {
        0..3 => Fault::Kill(name, lasts),
        3 => Fault::Torn(stateful, lasts),
        4 if wipe_allowed => Fault::Wipe(stateful, lasts),
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

fn random_name(rng: &mut ChaCha8Rng, shape: Shape) -> Name {
    match rng.random_range(0..3) {
        0 => (
            Kind::Entry,
            rng.random_range(0..shape.data_centres * shape.entries),
        ),
        1 => (Kind::Control, rng.random_range(0..shape.data_centres)),
        _ => (Kind::Store, rng.random_range(0..shape.data_centres)),
    }
}
