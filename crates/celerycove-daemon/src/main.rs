//! `celerycoved`, the daemon that runs one process of a celerycove deployment.

use std::{path::Path, process::ExitCode};

use celerycove_daemon::{
    logging,
    options::{self, Options},
    run,
};
use celerycove_settings::{Settings, parse};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for an invalid command line or invalid settings.
const EXIT_INVALID_CONFIG: u8 = 2;

fn main() -> ExitCode {
    match options::parse(std::env::args().skip(1)) {
        Ok(Options::Help(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Options::Version) => {
            println!("celerycoved {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Options::Check { config }) => match load_settings(&config) {
            Some(_) => {
                println!("{}: no faults", config.display());
                ExitCode::SUCCESS
            }
            None => ExitCode::from(EXIT_INVALID_CONFIG),
        },
        Ok(Options::Run { config, bootstrap }) => match load_settings(&config) {
            Some(settings) => serve(settings, bootstrap),
            None => ExitCode::from(EXIT_INVALID_CONFIG),
        },
        Err(message) => {
            eprintln!("celerycoved: {message}; see --help");
            ExitCode::from(EXIT_INVALID_CONFIG)
        }
    }
}

fn load_settings(path: &Path) -> Option<Settings> {
    let name = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("celerycoved: could not read {name}: {error}");
            return None;
        }
    };
    match parse(&name, &text) {
        Ok(settings) => Some(settings),
        Err(errors) => {
            for error in errors {
                eprintln!("{error}");
            }
            None
        }
    }
}

fn serve(settings: Settings, bootstrap: bool) -> ExitCode {
    if let Err(error) = logging::init(&settings.log) {
        eprintln!("celerycoved: {error}");
        return ExitCode::from(EXIT_INVALID_CONFIG);
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("celerycoved: could not start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let code = runtime.block_on(run_until_signal(settings, bootstrap));
    runtime.shutdown_background();
    code
}

async fn run_until_signal(settings: Settings, bootstrap: bool) -> ExitCode {
    let signals = signal(SignalKind::terminate())
        .and_then(|terminate| Ok((terminate, signal(SignalKind::interrupt())?)));
    let (mut terminate, mut interrupt) = match signals {
        Ok(signals) => signals,
        Err(error) => {
            log::error!(target: "run", error:% = error; "could not install signal handlers");
            return ExitCode::FAILURE;
        }
    };
    let running = match run::start(settings, bootstrap).await {
        Ok(running) => running,
        Err(error) => {
            log::error!(target: "run", error:% = error; "could not start");
            eprintln!("celerycoved: {error}");
            return ExitCode::FAILURE;
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    running.shut_down().await;
    ExitCode::SUCCESS
}
