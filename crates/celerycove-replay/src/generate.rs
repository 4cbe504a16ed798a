//! Traces of both deployments, by seed.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::trace::{Call, Engine, Fault, Kind, Organisation, Program, Stated, Trace};

/// Which deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Three data centres, ten language engines.
    Urad,
    /// Four data centres, twelve translation engines.
    Lingua,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// A data centre leaves and returns.
    Away,
    /// Engines turn cold unannounced.
    Cold,
    /// One organisation sends five times as much as the rest together, above the load.
    Flood,
}

/// What to generate.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Which deployment.
    pub deployment: Deployment,
    /// The share of all engines' capacity that arrives.
    pub load: f64,
    /// What goes wrong.
    pub trouble: Trouble,
    /// How long programs arrive, in seconds.
    pub seconds: u64,
    /// The seed.
    pub seed: u64,
}

/// A kind of program: its share, calls, new tokens, tokens generated and pause.
struct Class {
    name: &'static str,
    share: f64,
    calls: (usize, usize),
    prompt: (u64, u64),
    generate: (u64, u64),
    pause_ms: (u64, u64),
}

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

/// Shares of eight organisations, a few of them large.
const ORGANISATIONS: [f64; 8] = [0.32, 0.24, 0.18, 0.1, 0.06, 0.05, 0.03, 0.02];
const TOKEN_US: u64 = 12_000;
const PREFILL_US: u64 = 250;

/// Generates a trace.
#[must_use]
pub fn generate(options: Options) -> Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let (engines, centres, classes): (usize, usize, &[Class]) = match options.deployment {
        Deployment::Urad => (10, 3, &URAD),
        Deployment::Lingua => (12, 4, &LINGUA),
    };
    let engines: Vec<Engine> = (0..engines)
        .map(|n| Engine {
            data_centre: n % centres,
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
    let end = options.seconds * 1000;
    let mut programs = arrivals(&mut rng, classes, slots * options.load, end, None);
    let organisations = entitlements(&programs, options.seconds);
    if options.trouble == Trouble::Flood {
        let flood = arrivals(
            &mut rng,
            classes,
            slots * options.load * 5.0,
            end,
            Some("org-0"),
        );
        programs.extend(flood);
        programs.sort_by_key(|program| program.at_ms);
    }
    Trace {
        faults: faults(options, engines.len()),
        stated: Stated {
            failed: 0,
            crashes: u64::MAX,
            worst_slowdown: 0.0,
        },
        engines,
        organisations,
        programs,
    }
}

/// Owes each organisation half as much again as it sends on average, and ten seconds of that at
/// once, since programs bring their calls in bunches.
fn entitlements(programs: &[Program], seconds: u64) -> Vec<Organisation> {
    const HEADROOM: f64 = 1.5;
    const BURST_SECONDS: f64 = 10.0;
    let mut calls: BTreeMap<&str, u64> = BTreeMap::new();
    for program in programs {
        *calls.entry(&program.organisation).or_default() += program.calls.len() as u64;
    }
    calls
        .into_iter()
        .map(|(id, calls)| {
            // Thousandths read back from text as they were written.
            let rate = (float(calls) / float(seconds) * HEADROOM * 1e3).round() / 1e3;
            Organisation {
                id: id.to_owned(),
                rate,
                burst: u32::try_from(whole(rate * BURST_SECONDS))
                    .unwrap_or(u32::MAX)
                    .max(5),
            }
        })
        .collect()
}

/// Programs that together keep so many slots busy, if every history stays cached.
fn arrivals(
    rng: &mut ChaCha8Rng,
    classes: &[Class],
    slots: f64,
    end: u64,
    only: Option<&str>,
) -> Vec<Program> {
    let mut programs = Vec::new();
    let mut at = 0.0;
    let budget = slots * 1000.0;
    while at < float(end) {
        let class = pick(rng, classes.iter().map(|class| class.share));
        let organisation = only.map_or_else(
            || format!("org-{}", pick(rng, ORGANISATIONS.into_iter())),
            ToOwned::to_owned,
        );
        let program = program(rng, &classes[class], whole(at), organisation);
        let work: u64 = program
            .calls
            .iter()
            .map(|call| call.prompt * PREFILL_US + call.generate * TOKEN_US)
            .sum();
        // The next arrival comes, on average, when the slots have done this one's work.
        let mean = float(work) / 1000.0 / (budget / 1000.0);
        at += -mean * rng.random_range(1e-6_f64..1.0).ln();
        programs.push(program);
    }
    programs
}

fn program(rng: &mut ChaCha8Rng, class: &Class, at_ms: u64, organisation: String) -> Program {
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

fn pick(rng: &mut ChaCha8Rng, shares: impl Iterator<Item = f64>) -> usize {
    let mut left: f64 = rng.random_range(0.0..1.0);
    let mut last = 0;
    for (n, share) in shares.enumerate() {
        last = n;
        left -= share;
        if left < 0.0 {
            break;
        }
    }
    last
}

fn faults(options: Options, engines: usize) -> Vec<Fault> {
    let third = options.seconds * 1000 / 3;
    let at = |at_ms, kind| Fault { at_ms, kind };
    match options.trouble {
        Trouble::None | Trouble::Flood => Vec::new(),
        Trouble::Away => vec![at(third, Kind::Drain(1)), at(third * 2, Kind::Restore(1))],
        Trouble::Cold => (0..engines)
            .step_by(3)
            .map(|engine| at(third + 2000 * engine as u64, Kind::Cold(engine)))
            .collect(),
    }
}

#[allow(clippy::cast_precision_loss)]
fn float(count: u64) -> f64 {
    count as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(time: f64) -> u64 {
    time as u64
}
