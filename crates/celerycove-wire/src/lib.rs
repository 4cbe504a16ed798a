//! The protocol between the processes of celerycove: header names, RPC methods and their
//! parameters.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod header;
pub mod method;
pub mod operator;

pub use header::Execution;
