//! What can be set. Sections not present leave their role out.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf};

use serde::Deserialize;
use serde_with::{DisplayFromStr, StringWithSeparator, formats::CommaSeparator, serde_as};

use crate::unit::{Bytes, Span};

/// Everything that one process is set to.
#[derive(Debug, Clone)]
pub struct Settings {
    /// `[process]`: what every process needs.
    pub process: Process,
    /// `[log]`.
    pub log: Log,
    /// `[control]`: the process is an instance of the control log.
    pub control: Option<Control>,
    /// `[home]`: the process may hold program shards.
    pub home: Option<Home>,
    /// `[entry]`: the process serves callers.
    pub entry: Option<Entry>,
    /// `[route PREFIX]`: routes to plain services.
    pub routes: BTreeMap<String, Route>,
    /// `[sidecar NAME]`: the process stands beside these backend servers.
    pub sidecars: BTreeMap<String, Sidecar>,
    /// `[stand-in NAME]`: stand-ins that the process runs itself, for trying it out.
    pub standins: BTreeMap<String, Standin>,
}

/// `[process]`.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Process {
    /// The process's name, unique in the deployment and stable over restarts.
    pub name: String,
    /// The data centre where it runs.
    pub data_centre: String,
    /// Where it listens for other processes; port 0 takes a free one.
    pub listen: SocketAddr,
    /// What other processes are told, if that differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// The file with the secret that all processes of the deployment share.
    pub cluster_secret_file: PathBuf,
    /// Control instances, as `name=address`, comma separated.
    #[serde_as(as = "StringWithSeparator::<CommaSeparator, Peer>")]
    pub control: Vec<Peer>,
    /// The data folder, where there is a disk.
    pub data: Option<PathBuf>,
    /// Where metrics and health are served.
    pub admin_listen: Option<SocketAddr>,
    /// Whether the process passes shared state on to others of its data centre.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default)]
    pub relay: bool,
    /// How often shared state is pulled.
    #[serde(default = "pull_interval")]
    pub pull: Span,
    /// How old the proof may be that the configuration is the newest before new work is refused.
    #[serde(default = "freshness")]
    pub freshness: Span,
    /// How long a process may be silent before it counts as failed.
    #[serde(default = "silence")]
    pub silence: Span,
    /// How long a graceful shutdown may take.
    #[serde(default = "shutdown")]
    pub shutdown: Span,
    /// Lets `POST /faults/cut` and `/faults/heal` on the admin listener drop links, for tests.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default)]
    pub faults: bool,
}

/// A control instance and where it listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
}

/// `[log]`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Log {
    /// The least level written: `error`, `warn`, `info`, `debug` or `trace`; `info` if not set.
    pub level: Option<String>,
    /// `json` or `text`; `text` if not set.
    pub format: Option<LogFormat>,
    /// Where lines go; the standard error stream if not set.
    pub file: Option<PathBuf>,
}

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text.
    Text,
}

/// `[control]`.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Control {
    /// Where operators' commands are taken.
    pub operator_listen: SocketAddr,
    /// A file with one operator a line, as `name:credential`.
    pub operators_file: PathBuf,
    /// How many shards programs are spread over; only read when the deployment begins.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "shards")]
    pub shards: u32,
    /// How many replicas a shard has.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "replicas")]
    pub replicas: usize,
    /// How often the leader asks its followers.
    #[serde(default = "heartbeat")]
    pub heartbeat: Span,
    /// The shortest time without a leader before an election.
    #[serde(default = "election")]
    pub election: Span,
}

/// `[home]`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Home {
    /// How long an ended program is remembered.
    #[serde(default = "keep_ended")]
    pub keep_ended: Span,
    /// How long an idle program is remembered.
    #[serde(default = "keep_idle")]
    pub keep_idle: Span,
    /// How long idempotency records are remembered.
    #[serde(default = "keep_idle")]
    pub keep_records: Span,
    /// How long engine memory is held over a pause of a program.
    #[serde(default = "keep_memory")]
    pub keep_memory: Span,
}

/// `[entry]`.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Entry {
    /// Where callers are served.
    pub listen: SocketAddr,
    /// The largest request body.
    #[serde(default = "max_body")]
    pub max_body: Bytes,
    /// The largest request head.
    #[serde(default = "max_head")]
    pub max_head: Bytes,
    /// How long a caller may take to send a head, and a body.
    #[serde(default = "read_timeout")]
    pub read_timeout: Span,
    /// How long a request may wait for tokens of its organisation's rate or for a queue.
    #[serde(default = "patience")]
    pub patience: Span,
    /// How long a backend server may take to begin or go on with an answer.
    #[serde(default = "answer_timeout")]
    pub answer_timeout: Span,
    /// Tokens generated at most where a caller does not say.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "max_tokens")]
    pub max_tokens: u64,
}

/// `[route PREFIX]`.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Route {
    /// Whether requests need no key.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default)]
    pub open: bool,
    /// Whether a call may be repeated without harm.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default)]
    pub idempotent: bool,
}

/// Whether a backend server is an engine or a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// `[sidecar NAME]`.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Sidecar {
    /// What kind of backend server it is.
    pub kind: Kind,
    /// Its address; must be on this machine.
    pub backend: SocketAddr,
    /// Its labels, as `key=value`, comma separated.
    #[serde(default)]
    pub labels: String,
    /// Models served, as `name@version` or `name@version+adapter+adapter`, comma separated.
    #[serde_as(as = "Option<StringWithSeparator::<CommaSeparator, String>>")]
    #[serde(default)]
    pub models: Option<Vec<String>>,
    /// The route prefix served.
    pub route: Option<String>,
    /// Requests that it can run at once when warm.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "capacity")]
    pub capacity: u32,
    /// Requests that may wait.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "waiting")]
    pub waiting: usize,
    /// Whether the backend server refuses an order with an old fencing number itself.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default)]
    pub checks_fence: bool,
}

/// `[stand-in NAME]`.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Standin {
    /// What it stands in for.
    pub kind: Kind,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Requests that it can run at once when warm.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "capacity")]
    pub capacity: u32,
    /// How long one token takes to generate.
    #[serde(default = "token_time")]
    pub token: Span,
    /// How long it is cold after its start.
    #[serde(default)]
    pub cold: Span,
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
        let fault = || format!("expected name=address, got {text:?}");
        let (name, address) = text.trim().split_once('=').ok_or_else(fault)?;
        Ok(Self {
            name: name.trim().to_owned(),
            address: address.trim().parse().map_err(|_| fault())?,
        })
    }
}

impl Default for Span {
    fn default() -> Self {
        Self(std::time::Duration::ZERO)
    }
}

macro_rules! spans {
    ($($name:ident = $millis:expr;)*) => {
        $(fn $name() -> Span {
            Span(std::time::Duration::from_millis($millis))
        })*
    };
}

spans! {
    pull_interval = 500;
    freshness = 4_000;
    silence = 3_000;
    shutdown = 30_000;
    heartbeat = 150;
    election = 1_000;
    keep_ended = 600_000;
    keep_idle = 86_400_000;
    keep_memory = 120_000;
    read_timeout = 10_000;
    patience = 3_000;
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

const fn waiting() -> usize {
    256
}
