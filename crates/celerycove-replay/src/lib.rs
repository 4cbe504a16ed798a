//! Replay of traces against the decision machines, with baselines.
//!
//! A trace says which programs arrive and what their calls turn out to be; the policies learn it
//! call by call. Engines are a cost model in virtual time, so one trace and seed give one result.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod engine;
pub mod generate;
pub mod measure;
pub mod policy;
pub mod replay;
pub mod trace;

pub use measure::Outcome;
pub use policy::Policy;
pub use replay::replay;
pub use trace::Trace;
