//! Sets up the logger, which writes lines as text or JSON.

use celerycove_log::{Line, line::timestamp};
use celerycove_settings::{Log, schema::LogFormat};

/// An error while the logger is set up.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log file can't be opened.
    #[error("could not open the log file")]
    File(#[source] std::io::Error),
    /// The log level is unknown.
    #[error("unknown log level {0:?}")]
    Level(String),
    /// A logger is already installed.
    #[error("could not install the logger")]
    Install(#[from] log::SetLoggerError),
}

/// Installs the logger.
///
/// # Errors
///
/// Returns an error if the level is unknown, the file can't be opened, or a logger is already
/// installed.
pub fn init(settings: &Log) -> Result<(), Error> {
    let level = match &settings.level {
        Some(level) => level.parse().map_err(|_| Error::Level(level.clone()))?,
        None => log::LevelFilter::Info,
    };
    let json = settings.format == Some(LogFormat::Json);
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("celerycove", level)
        .filter(move |metadata| metadata.level() <= level)
        .format(move |out, message, record| {
            let mut line = Line::new(json);
            line.add_field("time", &timestamp());
            line.add_field("level", &record.level().to_string().to_lowercase());
            line.add_field("target", record.target());
            line.add_field("message", &message.to_string());
            // The visit fails only if the visitor does, and `Line` never fails.
            let _ = record.key_values().visit(&mut line);
            out.finish(format_args!("{}", line.finish()));
        });
    let targets = [
        "control", "route", "place", "limit", "queue", "entry", "home", "run", "sync",
    ];
    let dispatch = targets.into_iter().fold(dispatch, |dispatch, target| {
        dispatch.level_for(target, level)
    });
    let dispatch = match &settings.file {
        Some(file) => dispatch.chain(fern::log_file(file).map_err(Error::File)?),
        None => dispatch.chain(std::io::stderr()),
    };
    dispatch.apply()?;
    Ok(())
}
