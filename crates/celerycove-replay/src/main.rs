//! `celerycove-replay`: replays one trace with each policy and prints a table of the results.

use std::process::ExitCode;

use celerycove_replay::{
    Outcome, Trace,
    generate::{Deployment, Disruption, Options, generate},
    policy::POLICIES,
    replay,
};

const USAGE: &str = "Usage: celerycove-replay [TRACE] [OPTIONS]";

fn flags() -> getopts::Options {
    let mut flags = getopts::Options::new();
    flags.optopt("", "deployment", "urad or lingua (default urad)", "NAME");
    flags.optopt(
        "",
        "load",
        "load as a share of the engines' capacity (default 0.8)",
        "N",
    );
    flags.optopt(
        "",
        "trouble",
        "disruption: none, away, cold or flood (default none)",
        "NAME",
    );
    flags.optopt(
        "",
        "seconds",
        "length of the arrivals in seconds (default 300)",
        "N",
    );
    flags.optopt("", "seed", "seed of the random numbers (default 1)", "N");
    flags.optopt(
        "",
        "write",
        "write the trace to a file instead of replaying it",
        "FILE",
    );
    flags.optflag("", "json", "print JSON");
    flags.optflag("h", "help", "print this text");
    flags
}

fn parse_number<T: std::str::FromStr>(
    matches: &getopts::Matches,
    name: &str,
    default: T,
) -> Result<T, String> {
    match matches.opt_str(name) {
        Some(text) => text
            .parse()
            .map_err(|_| format!("--{name}: {text:?} is not a number")),
        None => Ok(default),
    }
}

fn options(matches: &getopts::Matches) -> Result<Options, String> {
    let deployment = match matches.opt_str("deployment").as_deref() {
        None | Some("urad") => Deployment::Urad,
        Some("lingua") => Deployment::Lingua,
        Some(other) => return Err(format!("--deployment: {other:?} is unknown")),
    };
    let disruption = match matches.opt_str("trouble").as_deref() {
        None | Some("none") => Disruption::None,
        Some("away") => Disruption::Drain,
        Some("cold") => Disruption::ColdEngines,
        Some("flood") => Disruption::Flood,
        Some(other) => return Err(format!("--trouble: {other:?} is unknown")),
    };
    Ok(Options {
        deployment,
        load: parse_number(matches, "load", 0.8)?,
        disruption,
        seconds: parse_number(matches, "seconds", 300)?,
        seed: parse_number(matches, "seed", 1)?,
    })
}

fn print_table(outcomes: &[Outcome]) {
    println!(
        "{:<14} {:>8} {:>6} {:>8} {:>8} {:>8} {:>9} {:>7} {:>7} {:>6} {:>7} {:>8} {:>7}",
        "policy",
        "finished",
        "failed",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "wasted k",
        "worst",
        "others",
        "Jain",
        "crashes",
        "retries",
        "refused"
    );
    for outcome in outcomes {
        println!(
            "{:<14} {:>8} {:>6} {:>8.0} {:>8.0} {:>8.0} {:>9.0} {:>7.2} {:>7.2} {:>6.3} {:>7} {:>8.3} {:>7}",
            outcome.policy,
            outcome.finished,
            outcome.failed,
            outcome.p50_ms,
            outcome.p95_ms,
            outcome.p99_ms,
            outcome.wasted_ktokens,
            outcome.worst_slowdown,
            outcome.worst_other_slowdown,
            outcome.jain,
            outcome.crashes,
            outcome.retries_per_call,
            outcome.refused_others
        );
    }
}

/// Returns whether the outcome of the `Celerycove` policy is within the bounds of the trace.
fn meets_bounds(trace: &Trace, outcome: &Outcome) -> bool {
    let bounds = &trace.bounds;
    outcome.failed <= bounds.failed
        && outcome.crashes <= bounds.crashes
        && (bounds.worst_slowdown <= 0.0 || outcome.worst_slowdown <= bounds.worst_slowdown)
}

fn run() -> Result<bool, String> {
    let matches = flags()
        .parse(std::env::args().skip(1))
        .map_err(|e| e.to_string())?;
    if matches.opt_present("help") {
        println!("{}", flags().usage(USAGE));
        return Ok(true);
    }
    let options = options(&matches)?;
    let trace = match matches.free.first() {
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
            Trace::parse(&text).map_err(|e| format!("{path}: {e}"))?
        }
        None => generate(options),
    };
    if let Some(path) = matches.opt_str("write") {
        std::fs::write(&path, trace.to_json_lines()).map_err(|e| format!("{path}: {e}"))?;
        return Ok(true);
    }
    let outcomes: Vec<Outcome> = POLICIES
        .iter()
        .map(|policy| replay(&trace, *policy, options.seed))
        .collect();
    if matches.opt_present("json") {
        println!(
            "{}",
            serde_json::to_string_pretty(&outcomes).map_err(|e| e.to_string())?
        );
    } else {
        print_table(&outcomes);
    }
    Ok(meets_bounds(&trace, &outcomes[0]))
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!(
                "celerycove-replay: the outcome of the Celerycove policy exceeds the bounds in the trace"
            );
            ExitCode::FAILURE
        }
        Err(message) => {
            eprintln!("celerycove-replay: {message}");
            ExitCode::from(2)
        }
    }
}
