//! Rollouts of service versions: how much traffic goes to a new version, and how the rollout ends.
//!
//! The leader of control runs one [`Decider`] for each running rollout. It merges the cumulative
//! [`Report`]s of the entries and grants short [`Lease`]s of a share of the traffic. Each entry runs
//! one [`Guide`] for each running rollout, which assigns requests to the old or the new version and
//! classifies their answers. Everything here is pure: time is passed in.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod decider;
pub mod guide;
pub mod lease;
pub mod order;
pub mod report;
pub mod statistics;

pub use decider::Decider;
pub use guide::Guide;
pub use lease::{Lease, Share};
pub use order::{Rollout, Stage};
pub use report::Report;
