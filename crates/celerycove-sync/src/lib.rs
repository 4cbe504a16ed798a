//! Distribution of the configuration, the shard placement and the process directory, with leases
//! that bound how old they may be.
//!
//! A [`Follower`] holds the newest configuration, placement and directory that it has received, and
//! when they were last confirmed to be the newest. It pulls from upstream and may serve other
//! followers in turn, so that the control instances serve a few relays instead of the whole fleet.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod announce;
pub mod children;
pub mod directory;
pub mod follower;
pub mod freshness;
pub mod relay;

pub use announce::{Announcement, Availability, Backend};
pub use directory::Directory;
pub use follower::{Follower, Pull, Reply};
pub use freshness::Freshness;
