//! Traces: the simulated workload and the bounds on its outcome, as JSON lines.

use serde::{Deserialize, Serialize};

/// One line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "kebab-case")]
pub enum Line {
    /// An engine of the deployment.
    Engine(Engine),
    /// The rate limit of an organisation.
    Organisation(Organisation),
    /// A program and its calls.
    Program(Program),
    /// A fault or the recovery from one.
    Fault(Fault),
    /// Bounds on the outcome of the `Celerycove` policy.
    Stated(Bounds),
}

/// An engine and its cost parameters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Index of its data centre.
    pub data_centre: usize,
    /// Requests that it runs concurrently when it is warm.
    pub capacity: u32,
    /// Capacity of its prefix cache in tokens.
    pub cache: u64,
    /// Microseconds to generate one token.
    pub token_us: u64,
    /// Microseconds to prefill one prompt token that is not cached.
    pub prefill_us: u64,
}

/// An organisation and its rate limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its id.
    pub id: String,
    /// Sustained rate in calls per second.
    pub rate: f64,
    /// Burst size in calls.
    pub burst: u32,
}

/// One call of a program.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Milliseconds that the program spends on tools before the call.
    pub pause_ms: u64,
    /// Prompt tokens that the call adds to the history.
    pub prompt: u64,
    /// Tokens that the engine generates.
    pub generate: u64,
}

/// A program: a sequence of calls that share a growing history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Program {
    /// Arrival time in milliseconds.
    pub at_ms: u64,
    /// Organisation that it belongs to.
    pub organisation: String,
    /// Name of its class of programs.
    pub class: String,
    /// Its calls, in order; policies see each one only when it is sent.
    pub calls: Vec<Call>,
}

/// A kind of fault or recovery.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The data centre with this index is drained.
    Drain(usize),
    /// The data centre with this index is restored; its engines are cold.
    Restore(usize),
    /// The engine with this index becomes cold without notice to the policies.
    Cold(usize),
}

/// A fault or recovery and its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Time in milliseconds.
    pub at_ms: u64,
    /// What happens.
    pub kind: Kind,
}

/// Upper bounds on the outcome.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Bounds {
    /// Largest number of programs that may fail.
    pub failed: u64,
    /// Largest number of engine crashes.
    pub crashes: u64,
    /// Largest slowdown of the worst-served organisation; zero means no bound.
    pub worst_slowdown: f64,
}

/// A whole trace.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Trace {
    /// Engines of the deployment.
    pub engines: Vec<Engine>,
    /// Organisations with a rate limit; all others are unlimited.
    pub organisations: Vec<Organisation>,
    /// Programs, sorted by arrival time.
    pub programs: Vec<Program>,
    /// Faults and recoveries.
    pub faults: Vec<Fault>,
    /// Bounds on the outcome.
    pub bounds: Bounds,
}

/// A line that is not a valid record.
#[derive(Debug, thiserror::Error)]
#[error("line {number} of the trace is not a valid record")]
pub struct Error {
    number: usize,
    #[source]
    source: serde_json::Error,
}

impl Trace {
    /// Parses a trace from JSON lines.
    ///
    /// # Errors
    ///
    /// Returns the number of the first line that is not a valid record.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut trace = Self::default();
        for (number, line) in (1..).zip(text.lines()) {
            let line = serde_json::from_str(line).map_err(|source| Error { number, source })?;
            match line {
                Line::Engine(engine) => trace.engines.push(engine),
                Line::Organisation(organisation) => trace.organisations.push(organisation),
                Line::Program(program) => trace.programs.push(program),
                Line::Fault(fault) => trace.faults.push(fault),
                Line::Stated(bounds) => trace.bounds = bounds,
            }
        }
        Ok(trace)
    }

    /// Formats the trace as JSON lines.
    #[must_use]
    pub fn to_json_lines(&self) -> String {
        let engines = self.engines.iter().cloned().map(Line::Engine);
        let programs = self.programs.iter().cloned().map(Line::Program);
        let faults = self.faults.iter().cloned().map(Line::Fault);
        let organisations = self.organisations.iter().cloned().map(Line::Organisation);
        let lines = engines.chain(organisations).chain(programs).chain(faults);
        lines
            .chain([Line::Stated(self.bounds.clone())])
            .filter_map(|line| serde_json::to_string(&line).ok())
            .fold(String::new(), |text, line| text + &line + "\n")
    }
}
