//! Fencing of orders to one backend server.

use celerycove_types::id;

/// The latest fencing number admitted, kept here because some engines don't check it themselves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fence {
    latest: id::FencingToken,
}

/// An order was rejected because one with a later fencing number was admitted before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("could not pass the order on: its fencing number {order} is older than {latest}")]
pub struct Error {
    /// The order's fencing number.
    pub order: id::FencingToken,
    /// The latest fencing number admitted.
    pub latest: id::FencingToken,
}

impl Fence {
    /// Starts from a number known from an earlier run or from the control instances.
    #[must_use]
    pub fn new(latest: id::FencingToken) -> Self {
        Self { latest }
    }

    /// Admits an order whose fencing number is not lower than any admitted before.
    ///
    /// # Errors
    ///
    /// Returns an error for a lower number; the order must not be passed on.
    pub fn admit(&mut self, order: id::FencingToken) -> Result<(), Error> {
        if order < self.latest {
            return Err(Error {
                order,
                latest: self.latest,
            });
        }
        self.latest = order;
        Ok(())
    }

    /// Returns the latest fencing number admitted.
    #[must_use]
    pub fn latest(&self) -> id::FencingToken {
        self.latest
    }
}
