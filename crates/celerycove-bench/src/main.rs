//! `celerycove-bench slopes` and `celerycove-bench overhead`.

use std::{path::Path, process::ExitCode, time::Duration};

use celerycove_bench::{overhead, slopes};

const HELP: &str = "Usage: celerycove-bench slopes | overhead [--rate N] [--seconds N]";

fn number(matches: &getopts::Matches, name: &str, standard: u32) -> Result<u32, String> {
    match matches.opt_str(name) {
        Some(text) => text
            .parse()
            .map_err(|_| format!("--{name}: {text:?} is not a number")),
        None => Ok(standard),
    }
}

fn run(folder: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let mut flags = getopts::Options::new();
    flags.optopt(
        "",
        "rate",
        "requests a second on each way (default 500)",
        "N",
    );
    flags.optopt("", "seconds", "how long (default 10)", "N");
    flags.optflag("h", "help", "print this text");
    let matches = flags.parse(std::env::args().skip(1))?;
    match matches.free.first().map(String::as_str) {
        Some("slopes") => slopes::run(folder),
        Some("overhead") => {
            let options = overhead::Options {
                rate: number(&matches, "rate", 500)?,
                span: Duration::from_secs(number(&matches, "seconds", 10)?.into()),
            };
            // The binaries of one build lie beside each other.
            let beside = std::env::current_exe()?;
            let daemon = beside.with_file_name("celerycoved");
            let cli = beside.with_file_name("celerycove");
            let runtime = tokio::runtime::Runtime::new()?;
            runtime.block_on(overhead::run(folder, &daemon, &cli, options))
        }
        _ => {
            println!("{}", flags.usage(HELP));
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    let folder = std::env::temp_dir().join(format!("celerycove-bench-{}", std::process::id()));
    let result = run(&folder);
    // What is left in the folder of temporary files harms nothing.
    let _ = std::fs::remove_dir_all(folder);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("celerycove-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
