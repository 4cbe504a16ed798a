//! Generates traces of two reference deployments from a seed.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::trace::{Bounds, Call, Engine, Fault, Kind, Organisation, Program, Trace};

/// A reference deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Three data centres, ten language engines.
    Urad,
    /// Four data centres, twelve translation engines.
    Lingua,
}

/// What disturbs the deployment during the trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    /// No disruption.
    None,
    /// A data centre is drained and later restored.
    Drain,
    /// Engines become cold without notice to the policies.
    ColdEngines,
    /// One organisation sends five times the configured load in addition to it.
    Flood,
}

/// Parameters of a generated trace.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The deployment.
    pub deployment: Deployment,
    /// Load that arrives, as a share of the capacity of all engines.
    pub load: f64,
    /// What disturbs the deployment.
    pub disruption: Disruption,
    /// Length of the period in which programs arrive, in seconds.
    pub seconds: u64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A class of programs; pairs are inclusive ranges.
struct Class {
    name: &'static str,
    /// Share of all programs.
    share: f64,
    /// Calls of a program.
    calls: (usize, usize),
    /// Prompt tokens that a call adds.
    prompt: (u64, u64),
    /// Tokens that a call generates.
    generate: (u64, u64),
    /// Milliseconds between two calls.
    pause_ms: (u64, u64),
}

/// Classes of programs of [`Deployment::Urad`].
const URAD: [Class; 4] = [
    Class {
        name: "draft",
        share: 0.45,
        calls: (3, 8),
        prompt: (200, 1200),
        generate: (60, 300),
        pause_ms: (50, 1500),
    },
    Class {
        name: "advice",
        share: 0.2,
        calls: (8, 30),
        prompt: (80, 500),
        generate: (80, 250),
        pause_ms: (500, 6000),
    },
    Class {
        name: "stock",
        share: 0.3,
        calls: (1, 2),
        prompt: (60, 200),
        generate: (10, 50),
        pause_ms: (20, 200),
    },
    Class {
        name: "payment",
        share: 0.05,
        calls: (2, 4),
        prompt: (100, 400),
        generate: (20, 80),
        pause_ms: (100, 1000),
    },
];

/// Classes of programs of [`Deployment::Lingua`].
const LINGUA: [Class; 3] = [
    Class {
        name: "menu",
        share: 0.5,
        calls: (4, 10),
        prompt: (300, 1500),
        generate: (100, 400),
        pause_ms: (20, 600),
    },
    Class {
        name: "allergen",
        share: 0.35,
        calls: (6, 20),
        prompt: (60, 300),
        generate: (40, 150),
        pause_ms: (500, 5000),
    },
    Class {
        name: "invoice",
        share: 0.15,
        calls: (1, 3),
        prompt: (200, 800),
        generate: (20, 100),
        pause_ms: (50, 500),
    },
];

/// Shares of the programs of eight organisations, a few of them large.
const ORGANISATION_SHARES: [f64; 8] = [0.32, 0.24, 0.18, 0.1, 0.06, 0.05, 0.03, 0.02];
/// Microseconds to generate one token.
const TOKEN_US: u64 = 12_000;
/// Microseconds to prefill one prompt token.
const PREFILL_US: u64 = 250;

/// Generates a trace; equal options give equal traces.
#[must_use]
pub fn generate(options: Options) -> Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let (engines, data_centres, classes): (usize, usize, &[Class]) = match options.deployment {
        Deployment::Urad => (10, 3, &URAD),
        Deployment::Lingua => (12, 4, &LINGUA),
    };
    let engines: Vec<Engine> = (0..engines)
        .map(|n| Engine {
            data_centre: n % data_centres,
            capacity: 8,
            cache: 60_000,
            token_us: TOKEN_US,
            prefill_us: PREFILL_US,
        })
        .collect();
    let slots: f64 = engines
        .iter()
        .map(|engine| f64::from(engine.capacity))
        .sum();
    let end_ms = options.seconds * 1000;
    let mut programs = arrivals(&mut rng, classes, slots * options.load, end_ms, None);
    let organisations = rate_limits(&programs, options.seconds);
    if options.disruption == Disruption::Flood {
        let flood = arrivals(
            &mut rng,
            classes,
            slots * options.load * 5.0,
            end_ms,
            Some("org-0"),
        );
        programs.extend(flood);
        programs.sort_by_key(|program| program.at_ms);
    }
    Trace {
        faults: faults(options, engines.len()),
        bounds: Bounds {
            failed: 0,
            crashes: u64::MAX,
            worst_slowdown: 0.0,
        },
        engines,
        organisations,
        programs,
    }
}

/// Sets the rate limit of each organisation to one and a half times its average rate, with a burst
/// of ten seconds at that limit, since a program sends its calls in bursts.
fn rate_limits(programs: &[Program], seconds: u64) -> Vec<Organisation> {
    const HEADROOM: f64 = 1.5;
    const BURST_SECONDS: f64 = 10.0;
    let mut calls: BTreeMap<&str, u64> = BTreeMap::new();
    for program in programs {
        *calls.entry(&program.organisation).or_default() += program.calls.len() as u64;
    }
    calls
        .into_iter()
        .map(|(id, calls)| {
            // A rate rounded to thousandths is unchanged by formatting as text and parsing.
            let rate = (to_float(calls) / to_float(seconds) * HEADROOM * 1e3).round() / 1e3;
            Organisation {
                id: id.to_owned(),
                rate,
                burst: u32::try_from(truncate(rate * BURST_SECONDS))
                    .unwrap_or(u32::MAX)
                    .max(5),
            }
        })
        .collect()
}

/// Generates Poisson arrivals of programs that keep `slots` engine slots busy on average if every
/// history stays cached. All programs belong to `fixed_organisation` if there is one.
fn arrivals(
    rng: &mut ChaCha8Rng,
    classes: &[Class],
    slots: f64,
    end_ms: u64,
    fixed_organisation: Option<&str>,
) -> Vec<Program> {
    let mut programs = Vec::new();
    let mut at_ms = 0.0;
    let slot_ms_per_s = slots * 1000.0;
    while at_ms < to_float(end_ms) {
        let class = sample_index(rng, classes.iter().map(|class| class.share));
        let organisation = fixed_organisation.map_or_else(
            || format!("org-{}", sample_index(rng, ORGANISATION_SHARES.into_iter())),
            ToOwned::to_owned,
        );
        let program = random_program(rng, &classes[class], truncate(at_ms), organisation);
        let work_us: u64 = program
            .calls
            .iter()
            .map(|call| call.prompt * PREFILL_US + call.generate * TOKEN_US)
            .sum();
        // The mean time to the next arrival is the time that all slots need for this program.
        let mean_gap_ms = to_float(work_us) / 1000.0 / (slot_ms_per_s / 1000.0);
        at_ms += -mean_gap_ms * rng.random_range(1e-6_f64..1.0).ln();
        programs.push(program);
    }
    programs
}

fn random_program(
    rng: &mut ChaCha8Rng,
    class: &Class,
    at_ms: u64,
    organisation: String,
) -> Program {
    let calls = rng.random_range(class.calls.0..=class.calls.1);
    let calls = (0..calls)
        .map(|n| Call {
            pause_ms: if n == 0 {
                0
            } else {
                rng.random_range(class.pause_ms.0..=class.pause_ms.1)
            },
            prompt: rng.random_range(class.prompt.0..=class.prompt.1),
            generate: rng.random_range(class.generate.0..=class.generate.1),
        })
        .collect();
    Program {
        at_ms,
        organisation,
        class: class.name.to_owned(),
        calls,
    }
}

/// Draws an index with the probabilities in `shares`.
fn sample_index(rng: &mut ChaCha8Rng, shares: impl Iterator<Item = f64>) -> usize {
    let mut remaining: f64 = rng.random_range(0.0..1.0);
    let mut last = 0;
    for (n, share) in shares.enumerate() {
        last = n;
        remaining -= share;
        if remaining < 0.0 {
            break;
        }
    }
    last
}

/// Generates the faults of a disruption; the first one is a third into the trace.
fn faults(options: Options, engines: usize) -> Vec<Fault> {
    let third_ms = options.seconds * 1000 / 3;
    let fault = |at_ms, kind| Fault { at_ms, kind };
    match options.disruption {
        Disruption::None | Disruption::Flood => Vec::new(),
        Disruption::Drain => vec![
            fault(third_ms, Kind::Drain(1)),
            fault(third_ms * 2, Kind::Restore(1)),
        ],
        Disruption::ColdEngines => (0..engines)
            .step_by(3)
            .map(|engine| fault(third_ms + 2000 * engine as u64, Kind::Cold(engine)))
            .collect(),
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_float(count: u64) -> f64 {
    count as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn truncate(value: f64) -> u64 {
    value as u64
}
