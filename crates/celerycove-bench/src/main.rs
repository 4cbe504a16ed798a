//! Command line of the benchmarks: `celerycove-bench slopes` and `celerycove-bench overhead`.

use std::{path::Path, process::ExitCode, time::Duration};

use celerycove_bench::{overhead, slopes};

const USAGE: &str = "Usage: celerycove-bench slopes | overhead [--rate N] [--seconds N]";

fn parse_number(matches: &getopts::Matches, name: &str, default: u32) -> Result<u32, String> {
    match matches.opt_str(name) {
        Some(text) => text
            .parse()
            .map_err(|_| format!("--{name}: {text:?} is not a number")),
        None => Ok(default),
    }
}

fn run(scratch_dir: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let mut flags = getopts::Options::new();
    flags.optopt(
        "",
        "rate",
        "requests per second, both direct and proxied (default 500)",
        "N",
    );
    flags.optopt("", "seconds", "duration in seconds (default 10)", "N");
    flags.optflag("h", "help", "print this text");
    let matches = flags.parse(std::env::args().skip(1))?;
    match matches.free.first().map(String::as_str) {
        Some("slopes") => slopes::run(scratch_dir),
        Some("overhead") => {
            let options = overhead::Options {
                rate: parse_number(&matches, "rate", 500)?,
                duration: Duration::from_secs(parse_number(&matches, "seconds", 10)?.into()),
            };
            // Cargo puts the binaries of one build into the same directory.
            let own_path = std::env::current_exe()?;
            let daemon = own_path.with_file_name("celerycoved");
            let cli = own_path.with_file_name("celerycove");
            let runtime = tokio::runtime::Runtime::new()?;
            runtime.block_on(overhead::run(scratch_dir, &daemon, &cli, options))
        }
        _ => {
            println!("{}", flags.usage(USAGE));
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    let scratch_dir = std::env::temp_dir().join(format!("celerycove-bench-{}", std::process::id()));
    let result = run(&scratch_dir);
    // A failure is ignored, since leftover temporary files do no harm.
    let _ = std::fs::remove_dir_all(scratch_dir);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("celerycove-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
