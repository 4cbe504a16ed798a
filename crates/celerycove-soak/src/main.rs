//! `celerycove-soak`: plays seeds of faults, or measures costs.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use celerycove_soak::{
    cost,
    plan::{self, Shape},
    run::{self, Options},
};
use tokio::runtime::Runtime;

/// The command line can't be read.
const USAGE: u8 = 2;

struct Arguments {
    binary: PathBuf,
    first: u64,
    seeds: u64,
    plan: bool,
    cost: bool,
    options: Options,
}

fn arguments() -> Result<Arguments, String> {
    let mut options = getopts::Options::new();
    options.optopt(
        "",
        "node",
        "the program under test; beside this one if left out",
        "FILE",
    );
    options.optopt("", "first", "the first seed (1)", "SEED");
    options.optopt("", "seeds", "how many seeds (1)", "N");
    options.optopt("", "seconds", "how long faults come (15)", "N");
    options.optopt("", "data-centres", "data centres (3)", "N");
    options.optopt("", "entries", "entries in each data centre (1)", "N");
    options.optopt("", "callers", "programs at once (8)", "N");
    options.optopt(
        "",
        "run",
        "tells apart the addresses of runs at the same time, 1 to 240 (1)",
        "N",
    );
    options.optflag("", "plan", "only print the faults");
    options.optflag("", "cost", "measure what calls and turns cost instead");
    options.optflag("h", "help", "print this help");
    let usage = options.usage("celerycove-soak [options]");
    let matches = options
        .parse(std::env::args().skip(1))
        .map_err(|error| format!("{error}\n{usage}"))?;
    if matches.opt_present("help") {
        return Err(usage);
    }
    let number = |name: &str, default: u64| match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text
            .parse()
            .map_err(|_| format!("--{name}: not a number: {text}\n{usage}")),
    };
    let beside = || {
        let own = std::env::current_exe().map_err(|error| error.to_string())?;
        Ok::<_, String>(own.with_file_name("celerycove-node"))
    };
    let size = |value: u64| usize::try_from(value).map_err(|error| error.to_string());
    Ok(Arguments {
        binary: matches
            .opt_str("node")
            .map_or_else(beside, |file| Ok(file.into()))?,
        first: number("first", 1)?,
        seeds: number("seeds", 1)?,
        plan: matches.opt_present("plan"),
        cost: matches.opt_present("cost"),
        options: Options {
            seed: 0,
            shape: Shape {
                data_centres: size(number("data-centres", 3)?)?,
                entries: size(number("entries", 1)?)?,
                length: Duration::from_secs(number("seconds", 15)?),
            },
            callers: size(number("callers", 8)?)?,
            run: u8::try_from(number("run", 1)?).map_err(|error| error.to_string())?,
        },
    })
}

fn main() -> ExitCode {
    let arguments = match arguments() {
        Ok(arguments) => arguments,
        Err(text) => {
            eprintln!("{text}");
            return ExitCode::from(USAGE);
        }
    };
    let played = if arguments.cost {
        print_costs(&arguments)
    } else {
        play(&arguments)
    };
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("celerycove-soak: {error}");
            ExitCode::FAILURE
        }
    }
}

fn print_costs(arguments: &Arguments) -> std::io::Result<bool> {
    const CALLS: u32 = 2_000;
    const PROGRAMS: u32 = 100;
    println!("role     idle ms/s  ms a call  ms a turn and two calls  peak MB");
    let measured = cost::measure(&arguments.binary, CALLS, PROGRAMS);
    for row in Runtime::new()?.block_on(measured)? {
        let kind = format!("{:?}", row.kind);
        println!(
            "{kind:<8} {:>9.2} {:>10.3} {:>24.3} {:>8.1}",
            row.idle, row.call, row.turn, row.peak
        );
    }
    Ok(true)
}

fn play(arguments: &Arguments) -> std::io::Result<bool> {
    let mut green = true;
    for seed in arguments.first..arguments.first + arguments.seeds {
        if arguments.plan {
            for event in plan::draw(seed, arguments.options.shape) {
                println!("{seed} {event:?}");
            }
            continue;
        }
        let options = Options {
            seed,
            ..arguments.options.clone()
        };
        // With its runtime, everything that listens on the run's addresses is gone.
        let outcome = Runtime::new()?.block_on(run::play(&arguments.binary, &options))?;
        let (turns, calls) = outcome.served;
        println!(
            "seed {seed}: {turns} turns, {calls} calls, {} violations",
            outcome.violations.len()
        );
        for violation in &outcome.violations {
            println!("  {violation}");
        }
        if let Some(logs) = outcome.logs {
            println!("  logs: {}", logs.display());
        }
        green &= outcome.violations.is_empty();
    }
    Ok(green)
}
