//! The replicated control log (Raft with pre-votes) and its state machine.
//!
//! [`Node`] is one of 1, 3, 5 or 7 instances that agree on a log of commands. It performs no
//! network I/O and reads no clock: [`Node::step`] takes the current time and an event and returns
//! the actions to perform. Durable data goes through [`Storage`], whose calls return only once the
//! data is synced.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod check;
mod election;
pub mod log;
pub mod membership;
pub mod message;
pub mod node;
pub mod placement;
mod raft;
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
