//! The sidecar's decisions: what runs on one backend server, and when.
//!
//! All work for a backend server passes its sidecar, so what must be exact is decided here:
//! the limit during a cold start, the order of the queue, the holds of engine memory, the fences
//! of orders, and that a drained or leaving backend server gets nothing new.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod fair;
pub mod fence;
pub mod hold;
pub mod queue;
pub mod ramp;

pub use fair::{Job, Line};
pub use fence::Fence;
pub use hold::Holds;
pub use queue::{Action, Event, Gate, Load, Options, Queue, Refusal};
pub use ramp::{Ramp, Sample};
