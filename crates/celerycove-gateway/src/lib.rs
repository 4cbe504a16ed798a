//! The processes of a fleet whose entries reach backend servers directly.
//!
//! Three roles run the decision crates over sockets: an [`entry`] takes requests from callers, a
//! [`control`] instance hears heartbeats and operators and agrees with its peers, and a [`store`]
//! keeps turns and budgets. What callers, operators and backend servers say on the wire is known
//! only to a [`Dialect`], which a deployment provides.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod clock;
pub mod control;
pub mod dialect;
pub mod entry;
pub mod group;
pub mod http;
pub mod link;
pub mod message;
pub mod metrics;
pub mod setup;
pub mod spread;
pub mod store;

pub use dialect::Dialect;
pub use setup::Setup;

use thiserror::Error;

/// Why a process could not start.
#[derive(Debug, Error)]
pub enum Error {
    /// A listener can't be opened.
    #[error("could not listen on {address}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// Signals can't be watched for.
    #[error("could not watch for signals")]
    Signals {
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// The log on the disk can't be used.
    #[error(transparent)]
    Storage(#[from] celerycove_control::storage::Error),
    /// The role needs something that the settings don't give.
    #[error("the settings name no {0}, which this role needs")]
    Missing(&'static str),
    /// The metrics can't be built.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
}
