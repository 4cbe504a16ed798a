//! Log lines as text or JSON, and a bounded writer to standard output that never blocks.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod limit;
pub mod line;
pub mod output;

pub use line::Line;
pub use output::Counters;
