//! `celerycove-replay`: one trace, all policies, one table.

use std::process::ExitCode;

use celerycove_replay::{
    Outcome, Trace,
    generate::{Deployment, Options, Trouble, generate},
    policy::POLICIES,
    replay,
};

const HELP: &str = "Usage: celerycove-replay [TRACE] [OPTIONS]";

fn flags() -> getopts::Options {
    let mut flags = getopts::Options::new();
    flags.optopt("", "deployment", "urad or lingua (default urad)", "NAME");
    flags.optopt(
        "",
        "load",
        "share of the engines' capacity (default 0.8)",
        "N",
    );
    flags.optopt(
        "",
        "trouble",
        "none, away, cold or flood (default none)",
        "NAME",
    );
    flags.optopt("", "seconds", "how long programs arrive (default 300)", "N");
    flags.optopt("", "seed", "the seed (default 1)", "N");
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

fn number<T: std::str::FromStr>(
    matches: &getopts::Matches,
    name: &str,
    standard: T,
) -> Result<T, String> {
    match matches.opt_str(name) {
        Some(text) => text
            .parse()
            .map_err(|_| format!("--{name}: {text:?} is not a number")),
        None => Ok(standard),
    }
}

fn options(matches: &getopts::Matches) -> Result<Options, String> {
    let deployment = match matches.opt_str("deployment").as_deref() {
        None | Some("urad") => Deployment::Urad,
        Some("lingua") => Deployment::Lingua,
        Some(other) => return Err(format!("--deployment: {other:?} is unknown")),
    };
    let trouble = match matches.opt_str("trouble").as_deref() {
        None | Some("none") => Trouble::None,
        Some("away") => Trouble::Away,
        Some("cold") => Trouble::Cold,
        Some("flood") => Trouble::Flood,
        Some(other) => return Err(format!("--trouble: {other:?} is unknown")),
    };
    Ok(Options {
        deployment,
        load: number(matches, "load", 0.8)?,
        trouble,
        seconds: number(matches, "seconds", 300)?,
        seed: number(matches, "seed", 1)?,
    })
}

fn print(outcomes: &[Outcome]) {
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
    for o in outcomes {
        println!(
            "{:<14} {:>8} {:>6} {:>8.0} {:>8.0} {:>8.0} {:>9.0} {:>7.2} {:>7.2} {:>6.3} {:>7} {:>8.3} {:>7}",
            o.policy,
            o.finished,
            o.failed,
            o.p50_ms,
            o.p95_ms,
            o.p99_ms,
            o.wasted_ktokens,
            o.worst_slowdown,
            o.worst_other_slowdown,
            o.jain,
            o.crashes,
            o.retries_per_call,
            o.refused_others
        );
    }
}

/// Whether the system's own policy keeps what the trace states.
fn keeps(trace: &Trace, own: &Outcome) -> bool {
    let stated = &trace.stated;
    own.failed <= stated.failed
        && own.crashes <= stated.crashes
        && (stated.worst_slowdown <= 0.0 || own.worst_slowdown <= stated.worst_slowdown)
}

fn run() -> Result<bool, String> {
    let matches = flags()
        .parse(std::env::args().skip(1))
        .map_err(|e| e.to_string())?;
    if matches.opt_present("help") {
        println!("{}", flags().usage(HELP));
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
        std::fs::write(&path, trace.write()).map_err(|e| format!("{path}: {e}"))?;
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
        print(&outcomes);
    }
    Ok(keeps(&trace, &outcomes[0]))
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("celerycove-replay: the outcome is not what the trace states");
            ExitCode::FAILURE
        }
        Err(message) => {
            eprintln!("celerycove-replay: {message}");
            ExitCode::from(2)
        }
    }
}
