//! Aliases for the identifiers that cross crate borders.

use std::sync::Arc;

/// Names an organisation, the tenant that a key belongs to.
pub type Organisation = Arc<str>;
/// Names a program: a chain of dependent calls.
pub type Program = Arc<str>;
/// Names the chain of one agent within a program; the main chain is `main`.
pub type Agent = Arc<str>;
/// Names a backend server.
pub type Backend = Arc<str>;
/// Names a data centre.
pub type DataCentre = Arc<str>;
/// Names a process of the system; stable over restarts.
pub type Process = Arc<str>;
/// Names a key without revealing it.
pub type Key = Arc<str>;
/// Names one request for the logs and for matching answers.
pub type Request = Arc<str>;
/// Tells one life of a process from the next; larger is later.
pub type Incarnation = u64;
/// Counts accepted configurations.
pub type Version = u64;
/// Counts the assignments of a shard.
pub type Epoch = u64;
/// Numbers a shard of programs.
pub type Shard = u32;
/// Orders the commands given to one engine; larger is later.
pub type Fence = u64;
/// Counts dispatches of one call.
pub type Attempt = u32;
/// The number of a call in its chain, from 1.
pub type Call = u32;
/// Counts tokens, in and out alike.
pub type Tokens = u64;
