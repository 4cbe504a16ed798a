//! The versioned configuration that operators change, and how a change is judged.
//!
//! Everything here is deterministic: each process that applies the same changes in the same
//! order holds the same configuration.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod apply;
pub mod change;
pub mod document;
pub mod feed;
pub mod file;
pub mod secret;
pub mod select;
pub mod store;

pub use change::{Change, Outcome, Proposal};
pub use document::{Config, Organisation, Selector, Subject};
pub use feed::{Feed, Update};
pub use store::Store;
