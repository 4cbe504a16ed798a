//! `celerycove-soak`: runs fault plans by seed, or measures costs.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use celerycove_soak::{
    cost,
    plan::{self, Shape},
    run::{self, Options},
};
use tokio::runtime::Runtime;

/// Exit code for an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

struct Arguments {
    binary: PathBuf,
    first_seed: u64,
    seed_count: u64,
    print_plan: bool,
    measure_costs: bool,
    options: Options,
}

fn parse_arguments() -> Result<Arguments, String> {
    let mut options = getopts::Options::new();
    options.optopt(
        "",
        "node",
        "the program under test (celerycove-node in this program's folder)",
        "FILE",
    );
    options.optopt("", "first", "the first seed (1)", "SEED");
    options.optopt("", "seeds", "number of seeds (1)", "N");
    options.optopt("", "seconds", "seconds during which faults begin (15)", "N");
    options.optopt("", "data-centres", "data centres (3)", "N");
    options.optopt(
        "",
        "entries",
        "entry processes in each data centre (1)",
        "N",
    );
    options.optopt("", "callers", "concurrent callers (8)", "N");
    options.optopt(
        "",
        "run",
        "second byte of the loopback addresses, different for concurrent runs, 1 to 240 (1)",
        "N",
    );
    options.optflag("", "plan", "print the fault plan only");
    options.optflag("", "cost", "measure the cost of calls and turns instead");
    options.optflag("h", "help", "print this help");
    let help = options.usage("celerycove-soak [options]");
    let matches = options
        .parse(std::env::args().skip(1))
        .map_err(|error| format!("{error}\n{help}"))?;
    if matches.opt_present("help") {
        return Err(help);
    }
    let parse_number = |name: &str, default: u64| match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text
            .parse()
            .map_err(|_| format!("--{name}: not a number: {text}\n{help}")),
    };
    let default_binary = || {
        let own_path = std::env::current_exe().map_err(|error| error.to_string())?;
        Ok::<_, String>(own_path.with_file_name("celerycove-node"))
    };
    let to_usize = |value: u64| usize::try_from(value).map_err(|error| error.to_string());
    Ok(Arguments {
        binary: matches
            .opt_str("node")
            .map_or_else(default_binary, |file| Ok(file.into()))?,
        first_seed: parse_number("first", 1)?,
        seed_count: parse_number("seeds", 1)?,
        print_plan: matches.opt_present("plan"),
        measure_costs: matches.opt_present("cost"),
        options: Options {
            seed: 0,
            shape: Shape {
                data_centres: to_usize(parse_number("data-centres", 3)?)?,
                entries: to_usize(parse_number("entries", 1)?)?,
                fault_period: Duration::from_secs(parse_number("seconds", 15)?),
            },
            callers: to_usize(parse_number("callers", 8)?)?,
            address_byte: u8::try_from(parse_number("run", 1)?)
                .map_err(|error| error.to_string())?,
        },
    })
}

fn main() -> ExitCode {
    let arguments = match parse_arguments() {
        Ok(arguments) => arguments,
        Err(text) => {
            eprintln!("{text}");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    let result = if arguments.measure_costs {
        print_costs(&arguments)
    } else {
        run_seeds(&arguments)
    };
    match result {
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
    let measurement = cost::measure(&arguments.binary, CALLS, PROGRAMS);
    for row in Runtime::new()?.block_on(measurement)? {
        let kind = format!("{:?}", row.kind);
        println!(
            "{kind:<8} {:>9.2} {:>10.3} {:>24.3} {:>8.1}",
            row.idle_ms_per_s, row.call_ms, row.turn_ms, row.peak_mb
        );
    }
    Ok(true)
}

fn run_seeds(arguments: &Arguments) -> std::io::Result<bool> {
    let mut passed = true;
    for seed in arguments.first_seed..arguments.first_seed + arguments.seed_count {
        if arguments.print_plan {
            for event in plan::generate(seed, arguments.options.shape) {
                println!("{seed} {event:?}");
            }
            continue;
        }
        let options = Options {
            seed,
            ..arguments.options.clone()
        };
        // Each run has its own runtime; dropping it closes all listeners, so that the next run can
        // bind the same addresses.
        let outcome = Runtime::new()?.block_on(run::execute(&arguments.binary, &options))?;
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
        passed &= outcome.violations.is_empty();
    }
    Ok(passed)
}
