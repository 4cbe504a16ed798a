//! Rate and burst per organisation by leased tokens.
//!
//! One [`Owner`] holds the bucket of an organisation and lends tokens for a short time; each
//! entry spends from its own [`Purse`]. Tokens lent and not known to be spent count against the
//! burst, so in any window of length t at most rate × t + burst requests pass, wherever they come.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod fallback;
pub mod owner;
pub mod purse;
pub mod seat;

pub use owner::{Ask, Entitlement, Estate, Loan, Owner};
pub use purse::Purse;
pub use seat::Seat;
