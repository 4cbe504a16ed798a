//! Log lines as text or JSON.

use std::fmt::Write as _;

use celerycove_settings::{Log, schema::LogFormat};
use log::kv::{Error as KvError, Key, Value, VisitSource};

/// Why logging could not begin.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log file can't be opened.
    #[error("could not open the log file")]
    File(#[source] std::io::Error),
    /// The level is none of those known.
    #[error("unknown log level {0:?}")]
    Level(String),
    /// Logging has begun before.
    #[error("could not install the logger")]
    Install(#[from] log::SetLoggerError),
}

/// Begins logging.
///
/// # Errors
///
/// Returns an error if the level is unknown, the file can't be opened, or logging has begun.
pub fn begin(settings: &Log) -> Result<(), Error> {
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
            line.put("time", &timestamp());
            line.put("level", &record.level().to_string().to_lowercase());
            line.put("target", record.target());
            line.put("message", &message.to_string());
            // Visiting only fails where the visitor does, and this one does not.
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

fn timestamp() -> String {
    humantime::format_rfc3339_millis(std::time::SystemTime::now()).to_string()
}

/// One line being written.
struct Line {
    json: bool,
    text: String,
}

impl Line {
    fn new(json: bool) -> Self {
        let text = if json { "{".to_owned() } else { String::new() };
        Self { json, text }
    }

    fn put(&mut self, key: &str, value: &str) {
        if self.json {
            let comma = if self.text.len() > 1 { "," } else { "" };
            let key = serde_json::Value::from(key);
            let value = serde_json::Value::from(value);
            let _ = write!(self.text, "{comma}{key}:{value}");
            return;
        }
        let space = if self.text.is_empty() { "" } else { " " };
        let _ = match key {
            "time" | "level" | "message" => write!(self.text, "{space}{value}"),
            "target" => write!(self.text, "{space}{value}:"),
            _ => write!(self.text, "{space}{key}={value:?}"),
        };
    }

    fn finish(mut self) -> String {
        if self.json {
            self.text.push('}');
        }
        self.text
    }
}

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        self.put(key.as_str(), &value.to_string());
        Ok(())
    }
}
