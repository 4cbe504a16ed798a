//! The sidecar's request queue: which requests run on one backend server, and when.
//!
//! All requests to a backend server pass through its sidecar, so decisions that must be exact are
//! made here: the concurrency limit during a cold start, the scheduling order, the leases on engine
//! memory, the fencing of orders, and the refusal of new requests while the backend server is
//! drained or leaving.
//!
//! [`intake`] is the part that entries use: it holds back first turns of new programs while the
//! engines of a service are overloaded.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod fair;
pub mod fence;
pub mod hold;
pub mod intake;
pub mod queue;
pub mod ramp;

pub use fair::{Job, Scheduler};
pub use fence::Fence;
pub use hold::Holds;
pub use intake::Intake;
pub use queue::{Action, Event, Gate, Load, Options, Queue, Refusal};
pub use ramp::{Ramp, Sample};
