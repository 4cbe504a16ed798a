//! Parses settings and reports every error with its section and key.

use std::collections::BTreeMap;

use celerycove_types::label;
use ini::{Ini, Properties};
use serde::{
    Deserialize,
    de::{IntoDeserializer, value::MapDeserializer},
};

use crate::schema::{Kind, Settings};

/// An invalid section or key of the settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{file}: section [{section}], key {key}: {reason}")]
pub struct Error {
    /// Path of the file.
    pub file: String,
    /// Heading of the section, or `-` if the error is outside any section.
    pub section: String,
    /// The key, or `-` if the error concerns the whole section.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

struct Parser<'a> {
    file: &'a str,
    errors: Vec<Error>,
}

/// Parses settings from `text`; `file` is the path named in errors.
///
/// # Errors
///
/// Returns every error found.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Error>> {
    let mut parser = Parser {
        file,
        errors: Vec::new(),
    };
    let ini = match Ini::load_from_str(text) {
        Ok(ini) => ini,
        Err(error) => {
            parser.report("-", "-", &error.to_string());
            return Err(parser.errors);
        }
    };
    let settings = parser.parse_settings(&ini);
    match settings {
        Some(settings) if parser.errors.is_empty() => Ok(settings),
        _ => Err(parser.errors),
    }
}

impl Parser<'_> {
    fn report(&mut self, section: &str, key: &str, reason: &str) {
        self.errors.push(Error {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            reason: reason.to_owned(),
        });
    }

    fn parse_settings(&mut self, ini: &Ini) -> Option<Settings> {
        self.check_headings(ini);
        let process = self.required_section(ini, "process");
        let log = self.optional_section(ini, "log");
        let control = self.optional_section(ini, "control");
        let home = self.optional_section(ini, "home");
        let entry = self.optional_section(ini, "entry");
        let routes = self.named_sections(ini, "route");
        let sidecars = self.named_sections(ini, "sidecar");
        let standins = self.named_sections(ini, "stand-in");
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
        self.validate(&settings);
        Some(settings)
    }

    fn check_headings(&mut self, ini: &Ini) {
        const UNNAMED_KINDS: [&str; 5] = ["process", "log", "control", "home", "entry"];
        const NAMED_KINDS: [&str; 3] = ["route", "sidecar", "stand-in"];
        let mut seen = Vec::new();
        for (heading, properties) in ini {
            let Some(heading) = heading else {
                if !properties.is_empty() {
                    self.report("-", "-", "keys before the first section");
                }
                continue;
            };
            let known = match heading.split_once(' ') {
                Some((kind, name)) => NAMED_KINDS.contains(&kind) && !name.trim().is_empty(),
                None => UNNAMED_KINDS.contains(&heading),
            };
            if !known {
                self.report(heading, "-", "unknown section");
            }
            if seen.contains(&heading) {
                self.report(heading, "-", "duplicate section");
            }
            seen.push(heading);
            let mut keys: Vec<&str> = properties.iter().map(|(key, _)| key).collect();
            keys.sort_unstable();
            for pair in keys.windows(2).filter(|pair| pair[0] == pair[1]) {
                self.report(heading, pair[0], "duplicate key");
            }
        }
    }

    fn required_section<T: for<'de> Deserialize<'de>>(
        &mut self,
        ini: &Ini,
        heading: &str,
    ) -> Option<T> {
        if ini.section(Some(heading)).is_none() {
            self.report(heading, "-", "the section is missing");
            return None;
        }
        self.optional_section(ini, heading)
    }

    fn optional_section<T: for<'de> Deserialize<'de>>(
        &mut self,
        ini: &Ini,
        heading: &str,
    ) -> Option<T> {
        let properties = ini.section(Some(heading))?;
        self.decode(heading, properties)
    }

    fn named_sections<T: for<'de> Deserialize<'de>>(
        &mut self,
        ini: &Ini,
        kind: &str,
    ) -> BTreeMap<String, T> {
        let mut sections = BTreeMap::new();
        for (heading, properties) in ini {
            let Some((found_kind, name)) = heading.and_then(|heading| heading.split_once(' '))
            else {
                continue;
            };
            if found_kind == kind
                && let Some(value) = self.decode(heading.unwrap_or_default(), properties)
            {
                sections.insert(name.trim().to_owned(), value);
            }
        }
        sections
    }

    /// Decodes a section. Deserialization stops at the first error, so the invalid key is reported
    /// and removed, and the remaining keys are decoded again until every error is found.
    fn decode<T: for<'de> Deserialize<'de>>(
        &mut self,
        heading: &str,
        properties: &Properties,
    ) -> Option<T> {
        let mut pairs: Vec<(&str, &str)> = properties.iter().collect();
        let errors_before = self.errors.len();
        loop {
            let decoded = T::deserialize(MapDeserializer::new(
                pairs.iter().map(|(key, value)| (*key, RawValue(value))),
            ));
            let error: DecodeError = match decoded {
                Ok(value) if self.errors.len() == errors_before => return Some(value),
                Ok(_) => return None,
                Err(error) => error,
            };
            let invalid_key = pairs.iter().position(|(key, value)| {
                let pair = std::iter::once((*key, RawValue(value)));
                let decoded = T::deserialize(MapDeserializer::new(pair));
                decoded.is_err_and(|single: DecodeError| {
                    single.0 == error.0 && !single.is_missing_field()
                })
            });
            if let Some(invalid_key) = invalid_key {
                let (key, _) = pairs.remove(invalid_key);
                self.report(heading, key, &error.0);
            } else {
                self.report(heading, "-", &error.0);
                return None;
            }
        }
    }

    fn validate(&mut self, settings: &Settings) {
        let process = &settings.process;
        for (key, name) in [
            ("name", &process.name),
            ("data-centre", &process.data_centre),
        ] {
            if !label::is_valid(name) {
                self.report("process", key, "only letters, digits and -_./: are allowed");
            }
        }
        if process.control.is_empty() {
            self.report(
                "process",
                "control",
                "at least one control instance is needed",
            );
        }
        if process.max_config_age.0 <= process.pull_interval.0 * 2 {
            self.report("process", "freshness", "must be more than twice pull");
        }
        if settings.control.is_some() {
            self.validate_control(settings);
        }
        for (name, sidecar) in &settings.sidecars {
            let heading = format!("sidecar {name}");
            self.validate_sidecar(&heading, sidecar);
        }
    }

    fn validate_control(&mut self, settings: &Settings) {
        let process = &settings.process;
        if process.data_dir.is_none() {
            self.report("process", "data", "a control instance needs a data folder");
        }
        if !process.control.iter().any(|peer| peer.name == process.name) {
            self.report("process", "control", "must list this control instance too");
        }
        if let Some(control) = &settings.control {
            if control.shards == 0 || control.shards > 65_536 {
                self.report("control", "shards", "must be between 1 and 65536");
            }
            if control.replicas == 0 || control.replicas > 7 {
                self.report("control", "replicas", "must be between 1 and 7");
            }
            if control.election_timeout.0 < control.heartbeat_interval.0 * 3 {
                self.report(
                    "control",
                    "election",
                    "must be at least three times heartbeat",
                );
            }
        }
    }

    fn validate_sidecar(&mut self, heading: &str, sidecar: &crate::schema::Sidecar) {
        if let Err(error) = label::parse_labels(&sidecar.labels) {
            self.report(heading, "labels", &error.to_string());
        }
        if !sidecar.backend.ip().is_loopback() {
            self.report(heading, "backend", "must be an address on this machine");
        }
        match sidecar.kind {
            Kind::Engine if sidecar.models.as_ref().is_none_or(Vec::is_empty) => {
                self.report(heading, "models", "an engine serves at least one model");
            }
            Kind::Service if sidecar.route.is_none() => {
                self.report(heading, "route", "a service serves a route");
            }
            Kind::Engine | Kind::Service => {}
        }
        if sidecar.capacity == 0 {
            self.report(heading, "capacity", "must be at least 1");
        }
    }
}

/// The raw text of a value.
#[derive(Clone, Copy)]
struct RawValue<'a>(&'a str);

impl IntoDeserializer<'_, DecodeError> for RawValue<'_> {
    type Deserializer = TextDeserializer;

    fn into_deserializer(self) -> TextDeserializer {
        TextDeserializer(self.0.trim().to_owned())
    }
}

/// Deserializes text into any type that accepts a string.
struct TextDeserializer(String);

impl<'de> serde::Deserializer<'de> for TextDeserializer {
    type Error = DecodeError;

    fn deserialize_any<V: serde::de::Visitor<'de>>(
        self,
        visitor: V,
    ) -> Result<V::Value, DecodeError> {
        visitor.visit_string(self.0)
    }

    fn deserialize_option<V: serde::de::Visitor<'de>>(
        self,
        visitor: V,
    ) -> Result<V::Value, DecodeError> {
        visitor.visit_some(self)
    }

    fn deserialize_enum<V: serde::de::Visitor<'de>>(
        self,
        _name: &'static str,
        _variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, DecodeError> {
        visitor.visit_enum(self.0.into_deserializer())
    }

    fn deserialize_newtype_struct<V: serde::de::Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, DecodeError> {
        visitor.visit_newtype_struct(self)
    }

    serde::forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct seq tuple tuple_struct map struct identifier ignored_any
    }
}

/// Error of decoding a section.
#[derive(Debug)]
struct DecodeError(String);

impl DecodeError {
    fn is_missing_field(&self) -> bool {
        self.0.starts_with("missing field")
    }
}

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DecodeError {}

impl serde::de::Error for DecodeError {
    fn custom<T: std::fmt::Display>(message: T) -> Self {
        Self(message.to_string())
    }
}
