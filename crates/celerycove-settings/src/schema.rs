//! Schema of the settings. A process runs only the roles whose sections are present.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf};

use serde::Deserialize;
use serde_with::{DisplayFromStr, StringWithSeparator, formats::CommaSeparator, serde_as};

use crate::unit::{Bytes, Span};

/// Settings of one process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// `[process]`: settings that every process needs.
    pub process: Process,
    /// `[log]`: how log lines are written.
    pub log: Log,
    /// `[control]`: the process is an instance of the replicated control log.
    pub control: Option<Control>,
    /// `[home]`: the process may host program shards.
    pub home: Option<Home>,
    /// `[entry]`: the process accepts requests from callers.
    pub entry: Option<Entry>,
    /// `[route PREFIX]`: routes to services other than engines, by path prefix.
    pub routes: BTreeMap<String, Route>,
    /// `[sidecar NAME]`: backend servers on the same machine that the process represents.
    pub sidecars: BTreeMap<String, Sidecar>,
    /// `[stand-in NAME]`: simulated backend servers that the process runs itself, for evaluation.
    pub standins: BTreeMap<String, Standin>,
}

/// The `[process]` section.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Process {
    /// Name of the process, unique in the deployment and stable across restarts.
    pub name: String,
    /// The data centre in which the process runs.
    pub data_centre: String,
    /// Address on which it listens for other processes; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Address that other processes connect to, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// The file with the secret that all processes of the deployment share.
    pub cluster_secret_file: PathBuf,
    /// Control instances, as `name=address`, comma separated.
    #[serde_as(as = "StringWithSeparator::<CommaSeparator, Peer>")]
    pub control: Vec<Peer>,
    /// The data folder, if the process has a disk.
    #[serde(rename = "data")]
    pub data_dir: Option<PathBuf>,
    /// Address on which metrics and health checks are served.
    pub admin_listen: Option<SocketAddr>,
    /// Whether the process relays shared state to other processes of its data centre.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default)]
    pub relay: bool,
    /// Interval between pulls of shared state.
    #[serde(default = "pull_interval", rename = "pull")]
    pub pull_interval: Span,
    /// Maximum time since the configuration was last confirmed to be the newest; after that, new
    /// work is refused.
    #[serde(default = "max_config_age", rename = "freshness")]
    pub max_config_age: Span,
    /// Time without a message from a process after which it is considered failed.
    #[serde(default = "failure_timeout", rename = "silence")]
    pub failure_timeout: Span,
    /// Timeout of a graceful shutdown.
    #[serde(default = "shutdown_timeout", rename = "shutdown")]
    pub shutdown_timeout: Span,
    /// Enables fault injection for tests: `POST /faults/cut` and `/faults/heal` on the admin
    /// listener drop and restore links.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default, rename = "faults")]
    pub fault_injection: bool,
}

/// A control instance and its address.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Peer {
    /// Process name of the instance.
    pub name: String,
    /// Address on which it listens for other processes.
    pub address: SocketAddr,
}

/// The `[log]` section.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Log {
    /// Minimum level of the lines written: `error`, `warn`, `info`, `debug` or `trace`; `info` if
    /// not set.
    pub level: Option<String>,
    /// Format of the lines; text if not set.
    pub format: Option<LogFormat>,
    /// File to which lines are written; standard error if not set.
    pub file: Option<PathBuf>,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Plain text.
    Text,
}

/// The `[control]` section.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Control {
    /// Address on which operators' commands are accepted.
    pub operator_listen: SocketAddr,
    /// File with one operator per line, as `name:credential`.
    pub operators_file: PathBuf,
    /// Number of shards that programs are partitioned into; read only when the deployment is
    /// created.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "shards")]
    pub shards: u32,
    /// Number of replicas of each shard.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "replicas")]
    pub replicas: usize,
    /// Interval between heartbeats from the leader to its followers.
    #[serde(default = "heartbeat_interval", rename = "heartbeat")]
    pub heartbeat_interval: Span,
    /// Minimum election timeout: time without a leader before a replica starts an election.
    #[serde(default = "election_timeout", rename = "election")]
    pub election_timeout: Span,
}

/// The `[home]` section.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Home {
    /// How long the state of an ended program is retained.
    #[serde(default = "keep_ended")]
    pub keep_ended: Span,
    /// How long the state of an idle program is retained.
    #[serde(default = "keep_idle")]
    pub keep_idle: Span,
    /// How long idempotency records are retained.
    #[serde(default = "keep_idle")]
    pub keep_records: Span,
    /// How long an engine keeps the memory of a paused program reserved.
    #[serde(default = "keep_memory")]
    pub keep_memory: Span,
}

/// The `[entry]` section.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Entry {
    /// Address on which requests from callers are accepted.
    pub listen: SocketAddr,
    /// Maximum size of a request body.
    #[serde(default = "max_body")]
    pub max_body: Bytes,
    /// Maximum size of a request head.
    #[serde(default = "max_head")]
    pub max_head: Bytes,
    /// Timeout for a caller to send the request head, and again for the body.
    #[serde(default = "read_timeout")]
    pub read_timeout: Span,
    /// How long a request may wait for its organisation's rate limit or in a queue.
    #[serde(default = "max_wait", rename = "patience")]
    pub max_wait: Span,
    /// Timeout for a backend server to start its answer, and to continue it after a part.
    #[serde(default = "answer_timeout")]
    pub answer_timeout: Span,
    /// Maximum number of tokens to generate if the caller sets no limit.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "max_tokens")]
    pub max_tokens: u64,
}

/// A `[route PREFIX]` section.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Route {
    /// Whether requests are accepted without an API key.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default)]
    pub open: bool,
    /// Whether a call may safely be sent more than once.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default)]
    pub idempotent: bool,
}

/// Kind of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// An engine that runs models.
    Engine,
    /// Any other HTTP service.
    Service,
}

/// A `[sidecar NAME]` section.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Sidecar {
    /// Kind of the backend server.
    pub kind: Kind,
    /// Address of the backend server; must be a loopback address.
    pub backend: SocketAddr,
    /// Labels of the backend server, as `key=value`, comma separated.
    #[serde(default)]
    pub labels: String,
    /// Models served, as `name@version` or `name@version+adapter+adapter`, comma separated.
    #[serde_as(as = "Option<StringWithSeparator::<CommaSeparator, String>>")]
    #[serde(default)]
    pub models: Option<Vec<String>>,
    /// Path prefix of the route that a service serves.
    pub route: Option<String>,
    /// Number of requests that it can run concurrently when warm.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "capacity")]
    pub capacity: u32,
    /// Maximum number of queued requests.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "max_waiting", rename = "waiting")]
    pub max_waiting: usize,
    /// Whether the backend server itself rejects orders with a stale fencing token.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default)]
    pub checks_fence: bool,
}

/// A `[stand-in NAME]` section.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Standin {
    /// Kind of backend server that it simulates.
    pub kind: Kind,
    /// Address on which it listens.
    pub listen: SocketAddr,
    /// Number of requests that it can run concurrently when warm.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "capacity")]
    pub capacity: u32,
    /// Time to generate one token.
    #[serde(default = "token_time", rename = "token")]
    pub token_time: Span,
    /// Length of the cold phase after a start.
    #[serde(default, rename = "cold")]
    pub cold_time: Span,
}

impl TryFrom<String> for Peer {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl std::str::FromStr for Peer {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let invalid = || format!("expected name=address, got {text:?}");
        let (name, address) = text.trim().split_once('=').ok_or_else(invalid)?;
        Ok(Self {
            name: name.trim().to_owned(),
            address: address.trim().parse().map_err(|_| invalid())?,
        })
    }
}

impl Default for Span {
    fn default() -> Self {
        Self(std::time::Duration::ZERO)
    }
}

/// Defines functions that return default durations, in milliseconds.
macro_rules! default_spans {
    ($($name:ident = $milliseconds:expr;)*) => {
        $(fn $name() -> Span {
            Span(std::time::Duration::from_millis($milliseconds))
        })*
    };
}

default_spans! {
    pull_interval = 500;
    max_config_age = 4_000;
    failure_timeout = 3_000;
    shutdown_timeout = 30_000;
    heartbeat_interval = 150;
    election_timeout = 1_000;
    keep_ended = 600_000;
    keep_idle = 86_400_000;
    keep_memory = 120_000;
    read_timeout = 10_000;
    max_wait = 3_000;
    answer_timeout = 120_000;
    token_time = 2;
}

const fn shards() -> u32 {
    64
}

const fn replicas() -> usize {
    3
}

const fn max_body() -> Bytes {
    Bytes(8 << 20)
}

const fn max_head() -> Bytes {
    Bytes(16 << 10)
}

const fn max_tokens() -> u64 {
    1024
}

const fn capacity() -> u32 {
    16
}

const fn max_waiting() -> usize {
    256
}
