//! The adapter between a deployment's HTTP conventions and this crate.
//!
//! A [`Dialect`] translates headers, paths and bodies of callers, operators and backend servers to
//! and from the types of this module. It is stateless and makes no decisions.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use celerycove_fleet::{Config, Rollout, config::ServiceName, registry::Heartbeat};
use celerycove_rollout::order::Version;
use celerycove_route::{direct::Load, prefix::Part};
use celerycove_types::id;
use hyper::{HeaderMap, Method, Uri, http::request, http::response};

/// Metadata of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct RequestMetadata {
    /// The identifier that the caller gave the request.
    pub request_id: Option<id::Request>,
    /// How long the caller waits for the response, from now.
    pub timeout: Option<Duration>,
    /// The API key.
    pub api_key: Option<String>,
    /// The program that it belongs to.
    pub program: Option<id::Program>,
    /// The session within the program: a sequence of turns or calls.
    pub session: Option<Arc<str>>,
    /// The time within which the program should be finished, from now.
    pub program_deadline: Option<Duration>,
    /// The most tokens that all turns of the program together may generate.
    pub budget: Option<id::Tokens>,
    /// The number of tokens of the prompt, and the most that may be generated.
    pub tokens: Option<(id::Tokens, id::Tokens)>,
    /// The turn that this one continues from.
    pub previous_turn: Option<id::Request>,
    /// The identifier of the last stream event that the caller received.
    pub last_event: Option<u64>,
    /// The parts of the prompt, for choosing a backend server that has a prefix of it cached.
    pub prompt: Vec<Part>,
    /// The affinity key: requests with the same key prefer the same backend server.
    pub affinity_key: Option<String>,
}

/// A field of a request or heartbeat can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field} is missing or malformed")]
pub struct MalformedField {
    /// The name of the field.
    pub field: &'static str,
}

/// What an attempt at a backend server adds to the caller's request.
#[derive(Debug, Clone)]
pub struct Attempt<'a> {
    /// The backend server that the attempt is meant for; any other declines it.
    pub backend: &'a id::Backend,
    /// The time left until the caller's deadline.
    pub remaining: Option<Duration>,
    /// The organisation on whose behalf the request runs.
    pub organisation: Option<&'a id::Organisation>,
    /// The identifier of the last stream event that the caller received.
    pub last_event: Option<u64>,
    /// The priority among the requests in the backend server's queue; zero is served first.
    pub priority: Option<u8>,
}

/// Metadata of a backend server's response.
#[derive(Debug, Clone, Default)]
pub struct ResponseMetadata {
    /// The request that it answers.
    pub request_id: Option<id::Request>,
    /// Whether the backend server states that it has not executed the request.
    pub declined: bool,
    /// Whether the backend server states that it leaves and should get no further requests.
    pub leaving: bool,
    /// The numbers of running and waiting requests at the backend server.
    pub load: Option<Load>,
    /// How long the backend server keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
}

/// A request of an operator or backend server to a control instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Records a heartbeat of a backend server.
    Beat(id::Backend),
    /// Removes a backend server that has stopped.
    Leave(id::Backend),
    /// Replaces the configuration; the body holds all of it.
    Configure,
    /// Returns the newest configuration.
    Read,
    /// Sends no new requests to backend servers of a data centre.
    Evacuate(id::DataCentre),
    /// Ends the evacuation of a data centre.
    Restore(id::DataCentre),
    /// Moves the store of an instance out of the replicated log, so that the instance can be
    /// removed.
    Retire(Arc<str>),
    /// Returns the progress of such a retirement.
    RetireState(Arc<str>),
    /// Starts the rollout of a service's version; the body holds the order.
    StartRollout,
    /// Returns the state of a service's last rollout.
    RolloutState(ServiceName),
}

/// The order to move the traffic of a service to a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub to: Version,
    /// The time from the order to its deadline.
    pub duration: Duration,
}

impl Operation {
    /// Whether the operation changes what the fleet does, so that carrying it out late can do harm.
    #[must_use]
    pub fn changes_state(&self) -> bool {
        !matches!(
            self,
            Self::Read | Self::RetireState(_) | Self::RolloutState(_)
        )
    }
}

/// Translates between a deployment's HTTP conventions and the types of this crate.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the metadata of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if a field is missing or malformed.
    fn request_metadata(&self, head: &request::Parts) -> Result<RequestMetadata, MalformedField>;

    /// Turns a caller's headers into those of an attempt: removes headers that only the system may
    /// set, connection headers and the API key, and adds what `attempt` holds.
    fn rewrite_headers(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>);

    /// Reads the metadata of a backend server's response.
    fn response_metadata(&self, head: &response::Parts) -> ResponseMetadata;

    /// Reads the method and path of a request to a control instance; `None` if it is unknown.
    fn operation(&self, method: &Method, uri: &Uri) -> Option<Operation>;

    /// Reads the body of a backend server's heartbeat.
    ///
    /// # Errors
    ///
    /// Returns an error if a field is missing or malformed.
    fn heartbeat(&self, backend: &id::Backend, body: &[u8]) -> Result<Heartbeat, MalformedField>;

    /// Reads a complete configuration. The caller checks that it is valid.
    ///
    /// # Errors
    ///
    /// Returns a description of the first part that can't be read.
    fn config(&self, body: &Bytes) -> Result<Config, String>;

    /// Writes the response body that states whether a retirement is completed.
    fn retirement_body(&self, completed: bool) -> Bytes;

    /// Reads the order of a rollout. The caller checks that its values are in range.
    ///
    /// # Errors
    ///
    /// Returns an error if a field is missing or malformed.
    fn rollout_order(&self, body: &[u8]) -> Result<RolloutOrder, MalformedField>;

    /// Writes the response body that states how far a rollout is.
    fn rollout_body(&self, rollout: &Rollout) -> Bytes;
}
