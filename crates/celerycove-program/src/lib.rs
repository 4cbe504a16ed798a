//! Program shards: history, order, budgets, idempotency records and their replication.
//!
//! A [`Shard`] is one replica of one shard. The primary judges requests, turns them into
//! [`Op`]s and answers only when every backup of its epoch holds them. A backup refuses the
//! messages of an older epoch, so a primary that was replaced can acknowledge nothing.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod check;
pub mod judge;
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
