//! Replays against stated outcomes.

use celerycove_replay::{
    Policy, Trace,
    generate::{Deployment, Options, Trouble, generate},
    replay,
};

const SEED: u64 = 1;

fn trace(deployment: Deployment, trouble: Trouble) -> Trace {
    generate(Options {
        deployment,
        load: 0.8,
        trouble,
        seconds: 120,
        seed: SEED,
    })
}

#[test]
fn a_trace_is_written_and_read_back() {
    let trace = trace(Deployment::Lingua, Trouble::Away);
    let again = Trace::parse(&trace.write()).expect("a trace");
    assert_eq!(trace, again);
}

#[test]
fn one_seed_gives_one_outcome() {
    let trace = trace(Deployment::Urad, Trouble::Cold);
    let run = || {
        let outcome = replay(&trace, Policy::Celerycove, SEED);
        (outcome.finished, outcome.p95_ms.to_bits(), outcome.crashes)
    };
    assert_eq!(run(), run());
}

#[test]
fn no_program_fails_while_a_data_centre_leaves_and_returns() {
    for deployment in [Deployment::Urad, Deployment::Lingua] {
        let trace = trace(deployment, Trouble::Away);
        let own = replay(&trace, Policy::Celerycove, SEED);
        assert_eq!(
            (own.failed, own.finished),
            (0, trace.programs.len()),
            "{deployment:?}"
        );
        assert_eq!(
            own.crashes, 0,
            "the returning engines come back cold: {deployment:?}"
        );
    }
}

#[test]
fn waste_is_at_most_half_of_least_in_flight() {
    for deployment in [Deployment::Urad, Deployment::Lingua] {
        let trace = trace(deployment, Trouble::None);
        let own = replay(&trace, Policy::Celerycove, SEED);
        let other = replay(&trace, Policy::LeastInFlight, SEED);
        assert!(
            own.wasted_ktokens * 2.0 <= other.wasted_ktokens,
            "{own:?} {other:?}"
        );
    }
}

#[test]
fn the_worst_served_is_slowed_by_half_at_most_whatever_others_send() {
    let trace = generate(Options {
        deployment: Deployment::Urad,
        load: 0.5,
        trouble: Trouble::Flood,
        seconds: 120,
        seed: SEED,
    });
    let own = replay(&trace, Policy::Celerycove, SEED);
    assert!(own.worst_other_slowdown <= 1.5, "{own:?}");
    assert_eq!(own.refused_others, 0, "nothing inside its rate is refused");
}
