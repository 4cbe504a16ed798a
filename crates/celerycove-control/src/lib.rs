//! The replicated control log and its state machine.
//!
//! [`Node`] is one of 1, 3, 5 or 7 instances that agree on a log of commands. It has no socket
//! and no clock: events and the time go in through [`Node::step`], actions come out, and what
//! must survive goes through [`Storage`], whose calls return only when the data is synced.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod check;
mod core;
mod election;
pub mod log;
pub mod membership;
pub mod message;
pub mod node;
pub mod placement;
mod replicate;
mod role;
pub mod state;
pub mod storage;
mod transfer;

pub use log::{Command, Entry};
pub use message::Message;
pub use node::{Action, Answer, Event, Node, Options};
pub use placement::Placement;
pub use state::State;
pub use storage::Storage;
