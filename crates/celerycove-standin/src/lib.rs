//! Small stand-ins for a model engine and a plain service, for trials and tests.
//!
//! The engine batches continuously, caches prompt prefixes in limited memory, is slow and fragile
//! while cold, and reports its load with a lag. The service counts executions per idempotency key.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod cache;
pub mod engine;
pub mod http;
pub mod service;

pub use engine::Engine;
pub use service::Service;
