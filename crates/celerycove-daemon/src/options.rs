//! Command line of the daemon.

use std::path::PathBuf;

use getopts::Options as Flags;

/// The parsed command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Options {
    /// Run with a settings file.
    Run {
        /// Path of the settings file.
        config: PathBuf,
        /// Whether this is the first start of a new deployment.
        bootstrap: bool,
    },
    /// Check a settings file and exit.
    Check {
        /// Path of the settings file.
        config: PathBuf,
    },
    /// Print the help text.
    Help(String),
    /// Print the version.
    Version,
}

/// Parses the command line.
///
/// # Errors
///
/// Returns a message for the user if an option or argument is not valid.
pub fn parse<I: IntoIterator<Item = String>>(arguments: I) -> Result<Options, String> {
    let mut flags = Flags::new();
    flags.optopt("c", "config", "run with this file of settings", "FILE");
    flags.optflag("", "check", "check the settings and exit");
    flags.optflag(
        "",
        "bootstrap",
        "begin a new deployment on empty control disks",
    );
    flags.optflag("h", "help", "print this text");
    flags.optflag("V", "version", "print the version");
    let matches = flags.parse(arguments).map_err(|error| error.to_string())?;
    if matches.opt_present("help") {
        return Ok(Options::Help(flags.usage(
            "Usage: celerycoved --config FILE [--check | --bootstrap]",
        )));
    }
    if matches.opt_present("version") {
        return Ok(Options::Version);
    }
    if let Some(extra) = matches.free.first() {
        return Err(format!("unexpected argument {extra:?}"));
    }
    let config = matches
        .opt_str("config")
        .ok_or("--config FILE is required")?;
    let config = PathBuf::from(config);
    if matches.opt_present("check") {
        return Ok(Options::Check { config });
    }
    let bootstrap = matches.opt_present("bootstrap");
    Ok(Options::Run { config, bootstrap })
}
