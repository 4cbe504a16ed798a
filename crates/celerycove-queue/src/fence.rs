//! Fencing of orders to one backend server.

use celerycove_types::id;

/// Remembers the latest fencing number, since some engines do not.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fence {
    latest: id::Fence,
}

/// An order that came after a later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("could not pass the order on: its fencing number {order} is older than {latest}")]
pub struct Error {
    /// The order's number.
    pub order: id::Fence,
    /// The latest number seen.
    pub latest: id::Fence,
}

impl Fence {
    /// Starts from a number known from an earlier life or from control.
    #[must_use]
    pub fn new(latest: id::Fence) -> Self {
        Self { latest }
    }

    /// Admits an order with a number that is not older than any before.
    ///
    /// # Errors
    ///
    /// Returns an error for an older number; the order must not be passed on.
    pub fn admit(&mut self, order: id::Fence) -> Result<(), Error> {
        if order < self.latest {
            return Err(Error {
                order,
                latest: self.latest,
            });
        }
        self.latest = order;
        Ok(())
    }

    /// The latest number seen.
    #[must_use]
    pub fn latest(&self) -> id::Fence {
        self.latest
    }
}
