//! Type aliases for identifiers shared between crates.

use std::sync::Arc;

/// Id of an organisation: a tenant, the owner of API keys.
pub type Organisation = Arc<str>;
/// Id of a program: one or more chains of dependent calls.
pub type Program = Arc<str>;
/// Name of an agent within a program, whose calls form one chain; the main chain is `main`.
pub type Agent = Arc<str>;
/// Id of a backend server.
pub type Backend = Arc<str>;
/// Name of a data centre.
pub type DataCentre = Arc<str>;
/// Name of a process of this system; stable across restarts.
pub type Process = Arc<str>;
/// Public id of an API key; it does not reveal the secret.
pub type Key = Arc<str>;
/// Id of one request, for logs and for matching replies to it.
pub type Request = Arc<str>;
/// Incarnation of a process: distinguishes its restarts; larger is later.
pub type Incarnation = u64;
/// Version of the configuration; each accepted proposal increments it.
pub type Version = u64;
/// Epoch of a shard; each change of its assignment increments it.
pub type Epoch = u64;
/// Number of a shard of programs.
pub type Shard = u32;
/// Fencing token of a command to an engine; larger is later.
pub type FencingToken = u64;
/// Number of a dispatch attempt of one call.
pub type Attempt = u32;
/// Number of a call in its chain, from 1.
pub type Call = u32;
/// Number of tokens, prompt and completion alike.
pub type Tokens = u64;
