//! What callers, operators and backend servers say, in the product's own terms.
//!
//! A [`Dialect`] translates between a deployment's wire and these types. It decides nothing and
//! keeps nothing.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use celerycove_fleet::{Config, registry::Beat};
use celerycove_route::{direct::Load, prefix::Part};
use celerycove_types::id;
use hyper::{HeaderMap, Method, Uri, http::request, http::response};

/// What a caller's request says of itself.
#[derive(Debug, Clone, Default)]
pub struct Call {
    /// Names this attempt of the caller.
    pub request: Option<id::Request>,
    /// How long the caller will wait, from now.
    pub patience: Option<Duration>,
    /// The key it presents.
    pub key: Option<String>,
    /// The program that it belongs to.
    pub program: Option<id::Program>,
    /// The line of turns or calls within the program.
    pub session: Option<Arc<str>>,
    /// Time left until the program should be finished.
    pub finish: Option<Duration>,
    /// Tokens that all turns of the program may generate.
    pub budget: Option<id::Tokens>,
    /// Tokens of the prompt, and the most that are generated.
    pub tokens: Option<(id::Tokens, id::Tokens)>,
    /// The turn that this one continues from.
    pub previous: Option<id::Request>,
    /// The last event that the caller has of a stream.
    pub last_event: Option<u64>,
    /// The parts of the prompt.
    pub prompt: Vec<Part>,
    /// Requests about the same object share it.
    pub object: Option<String>,
}

/// Why a request can't be understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field} is missing or malformed")]
pub struct Malformed {
    /// The field.
    pub field: &'static str,
}

/// What the system tells a backend server beside the caller's request.
#[derive(Debug, Clone)]
pub struct Attempt<'a> {
    /// The backend server that is meant; any other declines.
    pub backend: &'a id::Backend,
    /// Time left.
    pub left: Option<Duration>,
    /// The organisation for which it runs.
    pub organisation: Option<&'a id::Organisation>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// How urgent it is among the engine's requests, zero first.
    pub urgency: Option<u8>,
}

/// What a backend server's answer says beside its status and body.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The request that it answers.
    pub request: Option<id::Request>,
    /// Whether it states that the request has not run.
    pub declined: bool,
    /// The requests that it has.
    pub load: Option<Load>,
    /// How long an idle connection stays open.
    pub idle: Option<Duration>,
}

/// What an operator or backend server wants of a control instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Take a heartbeat of this backend server.
    Beat(id::Backend),
    /// This backend server is gone.
    Leave(id::Backend),
    /// Put a complete configuration in force.
    Configure,
    /// Tell the newest configuration.
    Read,
    /// Keep new work from a data centre.
    Evacuate(id::DataCentre),
    /// Take that back.
    Restore(id::DataCentre),
    /// Empty a store's instance.
    Retire(Arc<str>),
    /// Tell how far that is.
    RetireState(Arc<str>),
}

/// Translates a deployment's wire.
pub trait Dialect: Send + Sync + 'static {
    /// Reads what a caller's request says of itself.
    ///
    /// # Errors
    ///
    /// Returns the field that can't be understood.
    fn call(&self, head: &request::Parts) -> Result<Call, Malformed>;

    /// Turns a caller's headers into those of an attempt: removes what only the system sets and
    /// what concerns the caller's connection or key, and adds what the backend server is told.
    fn dress(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>);

    /// Reads what a backend server's answer says.
    fn answer(&self, head: &response::Parts) -> Answer;

    /// Reads what is wanted of a control instance, if it is anything known.
    fn order(&self, method: &Method, uri: &Uri) -> Option<Order>;

    /// Reads a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns the field that can't be understood.
    fn beat(&self, backend: &id::Backend, body: &[u8]) -> Result<Beat, Malformed>;

    /// Reads a complete configuration; validity is checked by the product.
    ///
    /// # Errors
    ///
    /// Returns why the configuration can't be read in full.
    fn config(&self, body: &Bytes) -> Result<Config, String>;

    /// Writes the state of a retirement.
    fn retirement(&self, completed: bool) -> Bytes;
}
