//! The processes of a fleet whose entries connect to backend servers directly.
//!
//! A process runs one of three roles. An [`entry`] is a proxy that forwards callers' requests to
//! backend servers. A [`control`] instance receives heartbeats and operators' requests and
//! replicates the fleet's state among its peers. A [`store`] replicates turns and budgets. This
//! crate does the I/O; the logic is in crates without sockets, such as `celerycove-control`.
//! Headers, paths and bodies on the wire are known only to a [`Dialect`], which a deployment
//! implements.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod broadcast;
pub mod clock;
pub mod control;
pub mod dialect;
pub mod entry;
pub mod http;
pub mod link;
pub mod memory;
pub mod message;
pub mod metrics;
pub mod replica;
pub mod setup;
pub mod store;

pub use dialect::Dialect;
pub use setup::Setup;

use thiserror::Error;

/// Why a process could not start.
#[derive(Debug, Error)]
pub enum Error {
    /// A listening socket can't be opened.
    #[error("could not listen on {address}")]
    Listen {
        /// The address to listen on.
        address: std::net::SocketAddr,
        /// The cause.
        #[source]
        source: std::io::Error,
    },
    /// The replicated log on the disk can't be opened.
    #[error(transparent)]
    Storage(#[from] celerycove_control::storage::Error),
    /// A setting that the role requires is missing.
    #[error("the settings lack the {0} that this role requires")]
    Missing(&'static str),
    /// The metrics exporter can't be built.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
}
