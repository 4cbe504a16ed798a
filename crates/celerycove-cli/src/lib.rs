//! The command line for operators.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod client;
pub mod command;
pub mod exit;
pub mod options;
pub mod table;

pub use client::Client;
pub use exit::Failure;
