//! Broken invariants, as reported by the machines' own checks.

/// An invariant that does not hold.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("invariant {invariant} is broken: {detail}")]
pub struct Violation {
    /// The short name of the invariant.
    pub invariant: &'static str,
    /// What was seen.
    pub detail: String,
}

impl Violation {
    /// Reports a broken invariant unless `holds`.
    ///
    /// # Errors
    ///
    /// Returns the violation if `holds` is false; `detail` is only evaluated then.
    pub fn unless(
        holds: bool,
        invariant: &'static str,
        detail: impl FnOnce() -> String,
    ) -> Result<(), Self> {
        if holds {
            return Ok(());
        }
        Err(Self {
            invariant,
            detail: detail(),
        })
    }
}
