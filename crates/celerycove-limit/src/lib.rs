//! Distributed rate limiting per organisation with leased tokens.
//!
//! One [`Owner`] holds an organisation's token bucket and leases tokens to entries for a short
//! time; each entry spends the tokens of its own [`Holder`]. Leased tokens that aren't known to be
//! spent count against the burst, so in any window of length t at most rate × t + burst requests
//! pass over all entries.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod fallback;
pub mod holder;
pub mod owner;
pub mod ownership;

pub use holder::Holder;
pub use owner::{Entitlement, Handover, Lease, Owner, Request};
pub use ownership::Ownership;
