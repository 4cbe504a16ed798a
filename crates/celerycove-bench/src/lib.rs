//! Measurements: what the page on capacity and the bars on overhead quote.
//!
//! Each slope is measured at three sizes or more and printed with the fit between the first and
//! the last, so that a bend shows.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod fixture;
pub mod measure;
pub mod overhead;
pub mod slopes;
