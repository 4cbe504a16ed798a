//! A fixed small set of the randomised runs; `cargo run --release --bin celerycove-proof` runs more.

use celerycove_proof::{WORLDS, World};
use quickcheck::{Arbitrary, Gen};

const SIZE: usize = 100;
const SEED: u64 = 20_261_204;
const RUNS: usize = 25;
const STEPS: usize = 2000;

/// The stores' log needs more steps until disks are lost and members change.
const LONG: usize = 20_000;

fn run(world: World) {
    run_steps(world, STEPS);
}

fn run_steps(world: World, steps: usize) {
    let mut generator = Gen::from_size_and_seed(SIZE, SEED);
    let mut events = 0;
    for _ in 0..RUNS {
        let seed = u64::arbitrary(&mut generator);
        match world.run(seed, steps) {
            Ok(more) => events += more,
            Err(failure) => panic!("{failure}"),
        }
    }
    assert!(events > 0, "{world:?}: nothing that matters happened");
}

#[test]
fn control_log_agrees_and_never_reverts() {
    run(World::Control);
}

#[test]
fn programs_keep_history_order_and_budget() {
    run(World::Program);
}

#[test]
fn organisations_get_no_more_than_rate_and_burst() {
    run(World::Limit);
}

#[test]
fn queue_starts_no_more_than_is_borne() {
    run(World::Queue);
}

#[test]
fn turns_are_kept_and_budgets_hold_while_members_change() {
    run_steps(World::Turns, LONG);
}

#[test]
fn one_seed_gives_one_run() {
    for world in WORLDS {
        assert_eq!(world.run(7, 500), world.run(7, 500), "{world:?}");
    }
}
