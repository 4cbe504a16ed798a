//! Decides which requests are held back because they crash the backend servers that run them.
//!
//! Each process keeps a [`Table`] of confirmed crashes, each with the requests that it broke off. A
//! request under which several backend servers have crashed, one after the other, is quarantined.
//! Tables are merged from [`Evidence`] that the processes send to each other, in any order and any
//! number of times.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod bound;
pub mod digest;
pub mod evidence;
mod standing;
pub mod table;

pub use digest::Digest;
pub use evidence::Evidence;
pub use table::{Table, Verdict};
