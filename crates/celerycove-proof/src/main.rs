//! Runs each simulation with many seeds and reports invariant violations.

use std::{process::ExitCode, time::Instant};

use celerycove_proof::{Failure, WORLDS, World};

const USAGE: &str =
    "Usage: celerycove-proof [--seeds N] [--first N] [--steps N] [--world NAME] [--trace]";

struct Options {
    first: u64,
    seeds: u64,
    steps: usize,
    worlds: Vec<World>,
}

fn options() -> Result<Options, String> {
    let mut flags = getopts::Options::new();
    flags.optopt(
        "",
        "seeds",
        "number of seeds for each simulation (default 1000)",
        "N",
    );
    flags.optopt("", "first", "first seed (default 0)", "N");
    flags.optopt("", "steps", "steps of each run (default 2000)", "N");
    flags.optopt(
        "",
        "world",
        "run only this simulation: control, program, limit, queue or turns",
        "NAME",
    );
    flags.optflag(
        "",
        "trace",
        "trace the runs to stderr; best with a single seed",
    );
    flags.optflag("h", "help", "print this text");
    let matches = flags
        .parse(std::env::args().skip(1))
        .map_err(|e| e.to_string())?;
    if matches.opt_present("help") {
        return Err(flags.usage(USAGE));
    }
    if matches.opt_present("trace") {
        fern::Dispatch::new()
            .chain(std::io::stderr())
            .apply()
            .map_err(|e| e.to_string())?;
    }
    let number = |name: &str, default: u64| match matches.opt_str(name) {
        Some(text) => text
            .parse()
            .map_err(|_| format!("--{name}: {text:?} is not a number")),
        None => Ok(default),
    };
    let worlds = match matches.opt_str("world") {
        Some(name) => WORLDS
            .into_iter()
            .filter(|world| format!("{world:?}").eq_ignore_ascii_case(&name))
            .collect(),
        None => WORLDS.to_vec(),
    };
    Ok(Options {
        first: number("first", 0)?,
        seeds: number("seeds", 1000)?,
        steps: usize::try_from(number("steps", 2000)?).map_err(|e| e.to_string())?,
        worlds,
    })
}

fn main() -> ExitCode {
    let options = match options() {
        Ok(options) => options,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(2);
        }
    };
    let mut failed = 0;
    for world in &options.worlds {
        let started = Instant::now();
        let results = run_all(*world, &options);
        let failures: Vec<&Failure> = results.iter().filter_map(|r| r.as_ref().err()).collect();
        let progress: u64 = results.iter().flatten().sum();
        println!(
            "{world:?}: {} seeds of {} steps, {progress} progress events, {} failed, {:.1} s",
            options.seeds,
            options.steps,
            failures.len(),
            started.elapsed().as_secs_f64()
        );
        for failure in failures.iter().take(5) {
            println!("  {failure}");
        }
        failed += failures.len();
    }
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs the seeds in parallel on all cores; runs are independent of each other.
fn run_all(world: World, options: &Options) -> Vec<Result<u64, Failure>> {
    let threads = std::thread::available_parallelism().map_or(1, std::num::NonZero::get) as u64;
    let (first, end, steps) = (options.first, options.first + options.seeds, options.steps);
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|worker| {
                let seeds = (first + worker..end).step_by(usize::try_from(threads).unwrap_or(1));
                scope.spawn(move || seeds.map(|seed| world.run(seed, steps)).collect::<Vec<_>>())
            })
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().unwrap_or_default())
            .collect()
    })
}
