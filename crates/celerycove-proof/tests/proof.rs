//! A small fixed set of the randomised runs.
//!
//! `cargo run --release --bin celerycove-proof` runs other seeds.

use celerycove_proof::{WORLDS, World};
use quickcheck::{Arbitrary, Gen};

const GENERATOR_SIZE: usize = 100;
const GENERATOR_SEED: u64 = 20_261_204;
const RUNS: usize = 25;
const STEPS: usize = 2000;

/// More steps than [`STEPS`], since disk loss and membership changes take long to happen.
const TURNS_STEPS: usize = 20_000;

fn run_seeds(world: World) {
    run_steps(world, STEPS);
}

fn run_steps(world: World, steps: usize) {
    let mut generator = Gen::from_size_and_seed(GENERATOR_SIZE, GENERATOR_SEED);
    let mut progress = 0;
    for _ in 0..RUNS {
        let seed = u64::arbitrary(&mut generator);
        match world.run(seed, steps) {
            Ok(achieved) => progress += achieved,
            Err(failure) => panic!("{failure}"),
        }
    }
    assert!(progress > 0, "{world:?}: the runs made no progress");
}

#[test]
fn control_log_agrees_and_accepted_changes_survive() {
    run_seeds(World::Control);
}

#[test]
fn programs_preserve_history_order_and_budget() {
    run_seeds(World::Program);
}

#[test]
fn organisations_get_no_more_than_rate_and_burst() {
    run_seeds(World::Limit);
}

#[test]
fn queue_starts_no_more_than_the_engine_capacity() {
    run_seeds(World::Queue);
}

#[test]
fn turns_survive_and_budgets_hold_while_members_change() {
    run_steps(World::Turns, TURNS_STEPS);
}

/// A member is removed, or another is added, while a third one loses its disk.
#[test]
fn the_stores_log_recovers_if_a_disk_is_lost_during_a_change_of_members() {
    for seed in [602, 3_970] {
        if let Err(failure) = World::Turns.run(seed, TURNS_STEPS) {
            panic!("{failure}");
        }
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    for world in WORLDS {
        assert_eq!(world.run(7, 500), world.run(7, 500), "{world:?}");
    }
}
