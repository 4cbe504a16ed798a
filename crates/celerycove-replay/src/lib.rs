//! Replays workload traces through the routing, queueing and rate limiting code, and through
//! baseline policies for comparison.
//!
//! A trace lists the programs that arrive and the sizes of their calls. A policy sees a call only
//! when its program sends it. Engines are a cost model in virtual time, so the same trace and seed
//! always give the same result.

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
