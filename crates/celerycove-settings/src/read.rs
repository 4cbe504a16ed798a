//! Reads settings and reports every fault with its place.

use std::collections::BTreeMap;

use celerycove_types::label;
use ini::{Ini, Properties};
use serde::{
    Deserialize,
    de::{IntoDeserializer, value::MapDeserializer},
};

use crate::schema::{Kind, Settings};

/// A fault in the settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}: section [{section}], key {key}: {reason}")]
pub struct Fault {
    /// The file.
    pub file: String,
    /// The section's heading.
    pub section: String,
    /// The key, or `-` where the section itself is at fault.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

struct Reader<'a> {
    file: &'a str,
    faults: Vec<Fault>,
}

/// Reads settings from the text of `file`, or reports every fault.
///
/// # Errors
///
/// Returns all faults found.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Fault>> {
    let mut reader = Reader {
        file,
        faults: Vec::new(),
    };
    let ini = match Ini::load_from_str(text) {
        Ok(ini) => ini,
        Err(error) => {
            reader.fault("-", "-", &error.to_string());
            return Err(reader.faults);
        }
    };
    let settings = reader.settings(&ini);
    match settings {
        Some(settings) if reader.faults.is_empty() => Ok(settings),
        _ => Err(reader.faults),
    }
}

impl Reader<'_> {
    fn fault(&mut self, section: &str, key: &str, reason: &str) {
        self.faults.push(Fault {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            reason: reason.to_owned(),
        });
    }

    fn settings(&mut self, ini: &Ini) -> Option<Settings> {
        self.check_headings(ini);
        let process = self.required(ini, "process");
        let log = self.section(ini, "log");
        let control = self.section(ini, "control");
        let home = self.section(ini, "home");
        let entry = self.section(ini, "entry");
        let routes = self.named(ini, "route");
        let sidecars = self.named(ini, "sidecar");
        let standins = self.named(ini, "stand-in");
        let settings = Settings {
            process: process?,
            log: log.unwrap_or_default(),
            control,
            home,
            entry,
            routes,
            sidecars,
            standins,
        };
        self.check(&settings);
        Some(settings)
    }

    fn check_headings(&mut self, ini: &Ini) {
        const PLAIN: [&str; 5] = ["process", "log", "control", "home", "entry"];
        const NAMED: [&str; 3] = ["route", "sidecar", "stand-in"];
        let mut seen = Vec::new();
        for (heading, properties) in ini {
            let Some(heading) = heading else {
                if !properties.is_empty() {
                    self.fault("-", "-", "keys before the first section");
                }
                continue;
            };
            let known = match heading.split_once(' ') {
                Some((kind, name)) => NAMED.contains(&kind) && !name.trim().is_empty(),
                None => PLAIN.contains(&heading),
            };
            if !known {
                self.fault(heading, "-", "unknown section");
            }
            if seen.contains(&heading) {
                self.fault(heading, "-", "the section stands twice");
            }
            seen.push(heading);
            let mut keys: Vec<&str> = properties.iter().map(|(key, _)| key).collect();
            keys.sort_unstable();
            for pair in keys.windows(2).filter(|pair| pair[0] == pair[1]) {
                self.fault(heading, pair[0], "the key stands twice");
            }
        }
    }

    fn required<T: for<'de> Deserialize<'de>>(&mut self, ini: &Ini, heading: &str) -> Option<T> {
        if ini.section(Some(heading)).is_none() {
            self.fault(heading, "-", "the section is missing");
            return None;
        }
        self.section(ini, heading)
    }

    fn section<T: for<'de> Deserialize<'de>>(&mut self, ini: &Ini, heading: &str) -> Option<T> {
        let properties = ini.section(Some(heading))?;
        self.decode(heading, properties)
    }

    fn named<T: for<'de> Deserialize<'de>>(
        &mut self,
        ini: &Ini,
        kind: &str,
    ) -> BTreeMap<String, T> {
        let mut all = BTreeMap::new();
        for (heading, properties) in ini {
            let Some((found, name)) = heading.and_then(|heading| heading.split_once(' ')) else {
                continue;
            };
            if found == kind
                && let Some(value) = self.decode(heading.unwrap_or_default(), properties)
            {
                all.insert(name.trim().to_owned(), value);
            }
        }
        all
    }

    /// Decodes a section. To report each fault and not only the first, a key that is at fault is
    /// left out and the rest is tried again.
    fn decode<T: for<'de> Deserialize<'de>>(
        &mut self,
        heading: &str,
        properties: &Properties,
    ) -> Option<T> {
        let mut pairs: Vec<(&str, &str)> = properties.iter().collect();
        let before = self.faults.len();
        loop {
            let decoded = T::deserialize(MapDeserializer::new(
                pairs.iter().map(|(key, value)| (*key, Value(value))),
            ));
            let error: Error = match decoded {
                Ok(value) if self.faults.len() == before => return Some(value),
                Ok(_) => return None,
                Err(error) => error,
            };
            let culprit = pairs.iter().position(|(key, value)| {
                let alone = std::iter::once((*key, Value(value)));
                let single = T::deserialize(MapDeserializer::new(alone));
                single.is_err_and(|alone: Error| alone.0 == error.0 && !alone.is_missing())
            });
            if let Some(culprit) = culprit {
                let (key, _) = pairs.remove(culprit);
                self.fault(heading, key, &error.0);
            } else {
                self.fault(heading, "-", &error.0);
                return None;
            }
        }
    }

    fn check(&mut self, settings: &Settings) {
        let process = &settings.process;
        for (key, name) in [
            ("name", &process.name),
            ("data-centre", &process.data_centre),
        ] {
            if !label::is_valid(name) {
                self.fault("process", key, "letters, digits and -_./: are allowed");
            }
        }
        if process.control.is_empty() {
            self.fault(
                "process",
                "control",
                "at least one control instance is needed",
            );
        }
        if process.freshness.0 <= process.pull.0 * 2 {
            self.fault("process", "freshness", "must be more than twice pull");
        }
        if settings.control.is_some() {
            self.check_control(settings);
        }
        for (name, sidecar) in &settings.sidecars {
            let heading = format!("sidecar {name}");
            self.check_sidecar(&heading, sidecar);
        }
    }

    fn check_control(&mut self, settings: &Settings) {
        let process = &settings.process;
        if process.data.is_none() {
            self.fault("process", "data", "a control instance needs a data folder");
        }
        if !process.control.iter().any(|peer| peer.name == process.name) {
            self.fault("process", "control", "must list this control instance too");
        }
        if let Some(control) = &settings.control {
            if control.shards == 0 || control.shards > 65_536 {
                self.fault("control", "shards", "must be between 1 and 65536");
            }
            if control.replicas == 0 || control.replicas > 7 {
                self.fault("control", "replicas", "must be between 1 and 7");
            }
            if control.election.0 < control.heartbeat.0 * 3 {
                self.fault(
                    "control",
                    "election",
                    "must be at least three times heartbeat",
                );
            }
        }
    }

    fn check_sidecar(&mut self, heading: &str, sidecar: &crate::schema::Sidecar) {
        if let Err(error) = label::parse_labels(&sidecar.labels) {
            self.fault(heading, "labels", &error.to_string());
        }
        if !sidecar.backend.ip().is_loopback() {
            self.fault(heading, "backend", "must be an address on this machine");
        }
        match sidecar.kind {
            Kind::Engine if sidecar.models.as_ref().is_none_or(Vec::is_empty) => {
                self.fault(heading, "models", "an engine serves at least one model");
            }
            Kind::Service if sidecar.route.is_none() => {
                self.fault(heading, "route", "a service serves a route");
            }
            Kind::Engine | Kind::Service => {}
        }
        if sidecar.capacity == 0 {
            self.fault(heading, "capacity", "must be at least 1");
        }
    }
}

/// A value as it stands in the file.
#[derive(Clone, Copy)]
struct Value<'a>(&'a str);

impl IntoDeserializer<'_, Error> for Value<'_> {
    type Deserializer = Text;

    fn into_deserializer(self) -> Text {
        Text(self.0.trim().to_owned())
    }
}

/// Hands text to whatever type wants to be read from it.
struct Text(String);

impl<'de> serde::Deserializer<'de> for Text {
    type Error = Error;

    fn deserialize_any<V: serde::de::Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_string(self.0)
    }

    fn deserialize_option<V: serde::de::Visitor<'de>>(self, visitor: V) -> Result<V::Value, Error> {
        visitor.visit_some(self)
    }

    fn deserialize_enum<V: serde::de::Visitor<'de>>(
        self,
        _name: &'static str,
        _variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_enum(self.0.into_deserializer())
    }

    fn deserialize_newtype_struct<V: serde::de::Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Error> {
        visitor.visit_newtype_struct(self)
    }

    serde::forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct seq tuple tuple_struct map struct identifier ignored_any
    }
}

/// Why a section can't be decoded.
#[derive(Debug)]
struct Error(String);

impl Error {
    fn is_missing(&self) -> bool {
        self.0.starts_with("missing field")
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

impl serde::de::Error for Error {
    fn custom<T: std::fmt::Display>(message: T) -> Self {
        Self(message.to_string())
    }
}
