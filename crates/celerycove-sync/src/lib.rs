//! Freshness leases, configuration spread and the directory of processes.
//!
//! A [`Follower`] holds the newest configuration, placement and directory that it was told of and
//! the age of the statement that they are the newest. It pulls from upstream and may serve other
//! followers in turn, so that control instances serve a few relays instead of the whole fleet.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod announce;
pub mod children;
pub mod directory;
pub mod follower;
pub mod freshness;
pub mod relay;

pub use announce::{Announcement, Backend, Life};
pub use directory::Directory;
pub use follower::{Follower, Pull, Reply};
pub use freshness::Freshness;
