//! Traces: JSON lines of what happens and what is stated of the outcome.

use serde::{Deserialize, Serialize};

/// One line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "kebab-case")]
pub enum Line {
    /// An engine.
    Engine(Engine),
    /// What an organisation is owed.
    Organisation(Organisation),
    /// A program arrives.
    Program(Program),
    /// Something breaks or is mended.
    Fault(Fault),
    /// What must hold at the end, for the system's own policy.
    Stated(Stated),
}

/// An engine and what it costs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Its data centre.
    pub data_centre: usize,
    /// Requests that it runs at once when warm.
    pub capacity: u32,
    /// Tokens that its prefix cache holds.
    pub cache: u64,
    /// Microseconds for a token generated.
    pub token_us: u64,
    /// Microseconds for a token of the prompt that is not cached.
    pub prefill_us: u64,
}

/// An organisation and what it is owed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its id.
    pub id: String,
    /// Calls a second.
    pub rate: f64,
    /// Calls at once.
    pub burst: u32,
}

/// One call, as it turns out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Milliseconds that tools take before it.
    pub pause_ms: u64,
    /// New tokens of the prompt.
    pub prompt: u64,
    /// Tokens generated.
    pub generate: u64,
}

/// A program, as it turns out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Program {
    /// When it arrives, in milliseconds.
    pub at_ms: u64,
    /// Whose it is.
    pub organisation: String,
    /// What kind it is.
    pub class: String,
    /// Its calls, revealed one by one.
    pub calls: Vec<Call>,
}

/// What breaks or is mended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A data centre is drained.
    Drain(usize),
    /// A data centre is restored; its engines come back cold.
    Restore(usize),
    /// An engine turns cold unannounced.
    Cold(usize),
}

/// A fault and its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// What.
    pub kind: Kind,
}

/// What is stated of the outcome.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Stated {
    /// Programs that fail, at most.
    pub failed: u64,
    /// Engines that fall over, at most.
    pub crashes: u64,
    /// The slowdown of the worst-served organisation, at most; zero states nothing.
    pub worst_slowdown: f64,
}

/// A whole trace.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Trace {
    /// Engines.
    pub engines: Vec<Engine>,
    /// Organisations with a rate; others have none.
    pub organisations: Vec<Organisation>,
    /// Programs by arrival.
    pub programs: Vec<Program>,
    /// Faults.
    pub faults: Vec<Fault>,
    /// What is stated.
    pub stated: Stated,
}

/// A line that can't be read.
#[derive(Debug, thiserror::Error)]
#[error("could not read line {number} of the trace")]
pub struct Error {
    number: usize,
    #[source]
    source: serde_json::Error,
}

impl Trace {
    /// Reads a trace.
    ///
    /// # Errors
    ///
    /// Returns the first line that can't be read.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut trace = Self::default();
        for (number, line) in (1..).zip(text.lines()) {
            let line = serde_json::from_str(line).map_err(|source| Error { number, source })?;
            match line {
                Line::Engine(engine) => trace.engines.push(engine),
                Line::Organisation(organisation) => trace.organisations.push(organisation),
                Line::Program(program) => trace.programs.push(program),
                Line::Fault(fault) => trace.faults.push(fault),
                Line::Stated(stated) => trace.stated = stated,
            }
        }
        Ok(trace)
    }

    /// Writes the trace.
    #[must_use]
    pub fn write(&self) -> String {
        let engines = self.engines.iter().cloned().map(Line::Engine);
        let programs = self.programs.iter().cloned().map(Line::Program);
        let faults = self.faults.iter().cloned().map(Line::Fault);
        let organisations = self.organisations.iter().cloned().map(Line::Organisation);
        let lines = engines.chain(organisations).chain(programs).chain(faults);
        lines
            .chain([Line::Stated(self.stated.clone())])
            .filter_map(|line| serde_json::to_string(&line).ok())
            .fold(String::new(), |text, line| text + &line + "\n")
    }
}
