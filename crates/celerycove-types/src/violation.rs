//! Violated invariants, as reported by the self-checks of the state machines.

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("invariant {invariant} is broken: {detail}")]
pub struct Violation {
    /// The short name of the invariant.
    pub invariant: &'static str,
    /// The state that violates it.
    pub detail: String,
}

impl Violation {
    /// Checks an invariant.
    ///
    /// # Errors
    ///
    /// Returns the violation if `holds` is false; `detail` is evaluated only then.
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
