//! The versioned configuration that operators change, and the validation of those changes.
//!
//! Everything here is deterministic: replicas that apply the same changes in the same order hold
//! the same configuration.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod apply;
pub mod change;
pub mod document;
pub mod feed;
pub mod ini_file;
pub mod secret;
pub mod select;
pub mod store;

pub use change::{Change, Outcome, Proposal};
pub use document::{Config, Organisation, Selector, Subject};
pub use feed::{Feed, Update};
pub use store::Store;
