//! Runs generated traces and checks the outcome of the `Celerycove` policy.

use celerycove_replay::{
    Policy, Trace,
    generate::{Deployment, Disruption, Options, generate},
    replay,
};

const SEED: u64 = 1;

fn generated_trace(deployment: Deployment, disruption: Disruption) -> Trace {
    generate(Options {
        deployment,
        load: 0.8,
        disruption,
        seconds: 120,
        seed: SEED,
    })
}

#[test]
fn formatting_and_parsing_preserves_a_trace() {
    let trace = generated_trace(Deployment::Lingua, Disruption::Drain);
    let parsed = Trace::parse(&trace.to_json_lines()).expect("valid JSON lines");
    assert_eq!(trace, parsed);
}

#[test]
fn equal_seeds_give_equal_outcomes() {
    let trace = generated_trace(Deployment::Urad, Disruption::ColdEngines);
    let run = || {
        let outcome = replay(&trace, Policy::Celerycove, SEED);
        (outcome.finished, outcome.p95_ms.to_bits(), outcome.crashes)
    };
    assert_eq!(run(), run());
}

#[test]
fn no_program_fails_while_a_data_centre_is_drained_and_restored() {
    for deployment in [Deployment::Urad, Deployment::Lingua] {
        let trace = generated_trace(deployment, Disruption::Drain);
        let celerycove = replay(&trace, Policy::Celerycove, SEED);
        assert_eq!(
            (celerycove.failed, celerycove.finished),
            (0, trace.programs.len()),
            "{deployment:?}"
        );
        assert_eq!(
            celerycove.crashes, 0,
            "the cold engines of the restored data centre must not be overloaded: {deployment:?}"
        );
    }
}

#[test]
fn at_most_half_as_many_tokens_are_prefilled_again_as_with_least_in_flight() {
    for deployment in [Deployment::Urad, Deployment::Lingua] {
        let trace = generated_trace(deployment, Disruption::None);
        let celerycove = replay(&trace, Policy::Celerycove, SEED);
        let baseline = replay(&trace, Policy::LeastInFlight, SEED);
        assert!(
            celerycove.wasted_ktokens * 2.0 <= baseline.wasted_ktokens,
            "{celerycove:?} {baseline:?}"
        );
    }
}

#[test]
fn a_flooding_organisation_slows_the_others_by_half_at_most() {
    let trace = generate(Options {
        deployment: Deployment::Urad,
        load: 0.5,
        disruption: Disruption::Flood,
        seconds: 120,
        seed: SEED,
    });
    let celerycove = replay(&trace, Policy::Celerycove, SEED);
    assert!(celerycove.worst_other_slowdown <= 1.5, "{celerycove:?}");
    assert_eq!(
        celerycove.refused_others, 0,
        "calls within the rate limit must not be refused"
    );
}
