//! A log line with fields, formatted as JSON or text.

use std::fmt::Write as _;

use log::kv::{Error as KvError, Key, Value, VisitSource};

/// Returns the current time (UTC) in RFC 3339 with milliseconds.
#[must_use]
pub fn timestamp() -> String {
    humantime::format_rfc3339_millis(std::time::SystemTime::now()).to_string()
}

/// Builds one log line.
#[derive(Debug)]
pub struct Line {
    json: bool,
    text: String,
}

impl Line {
    /// Starts a line, formatted as JSON or else as text.
    #[must_use]
    pub fn new(json: bool) -> Self {
        let text = if json { "{".to_owned() } else { String::new() };
        Self { json, text }
    }

    /// Adds a field. Text lines show `time`, `level`, `target` and `message` without their keys.
    pub fn add_field(&mut self, key: &str, value: &str) {
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

    /// Returns the finished line, without a newline.
    #[must_use]
    pub fn finish(mut self) -> String {
        if self.json {
            self.text.push('}');
        }
        self.text
    }
}

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        self.add_field(key.as_str(), &value.to_string());
        Ok(())
    }
}
