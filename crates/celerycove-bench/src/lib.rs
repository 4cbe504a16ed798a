//! Benchmarks whose results the capacity page and the limits on overhead quote.
//!
//! A slope is the growth of a cost per unit of size. Each one is measured at three sizes or
//! more and printed with the slope between the first and the last, so that non-linear growth is
//! visible.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod fixture;
pub mod measure;
pub mod overhead;
pub mod slopes;
