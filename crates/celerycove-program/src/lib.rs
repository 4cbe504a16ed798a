//! Replicated state of programs: chat histories, order of calls, token budgets and idempotency
//! records.
//!
//! A program is a series of calls to models by one or more agents, under one token budget. Calls to
//! plain services, which are HTTP services other than models, have no program: they are recorded
//! by idempotency key, so that a call that may have run is not run again.
//!
//! The state is partitioned into shards. A shard has a primary, backups, and learners, which are
//! replicas that still have to catch up. Entry processes, which accept requests from clients, ask
//! the primary before they dispatch a call to a backend server and report how the call ended.
//!
//! A [`Shard`] is one replica of one shard. The primary decides on requests, turns them into
//! [`Op`]s and responds only when every backup of its epoch holds them. A backup rejects messages
//! from an older epoch, so a primary that was replaced can't acknowledge anything.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod check;
pub mod decision;
pub mod message;
pub mod op;
mod primary;
mod replica;
pub mod request;
pub mod shard;
pub mod state;

pub use message::{Message, Position, Record};
pub use op::Op;
pub use request::{Request, Response};
pub use shard::{Action, Event, Options, Shard};
pub use state::State;
