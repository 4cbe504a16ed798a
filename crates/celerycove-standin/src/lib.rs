//! Stand-ins for backend servers, for tests and measurements: a model engine and a plain service.
//!
//! The engine runs requests concurrently, caches prompt prefixes in limited memory, has less
//! capacity and speed in the cold phase after a start, and reports its load. The service counts
//! executions per idempotency key.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod cache;
pub mod engine;
pub mod http;
pub mod service;

pub use engine::Engine;
pub use service::Service;
