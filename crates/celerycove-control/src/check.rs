//! Invariants of one instance of the control log.

use celerycove_types::Violation;

use crate::node::Node;

impl Node {
    /// Checks the invariants that one instance can see alone.
    ///
    /// # Errors
    ///
    /// Returns the broken invariant.
    pub fn check(&self) -> Result<(), Violation> {
        let core = self.core();
        Violation::unless(
            core.applied <= core.commit && core.commit <= core.log.last_index(),
            "commit-within-log",
            || {
                format!(
                    "applied {}, commit {}, last {}",
                    core.applied,
                    core.commit,
                    core.log.last_index()
                )
            },
        )?;
        Violation::unless(core.log.base() <= core.applied, "snapshot-applied", || {
            format!("snapshot {}, applied {}", core.log.base(), core.applied)
        })?;
        Violation::unless(
            core.feed.config().version == core.state.store.config.version,
            "feed-matches-state",
            || format!("feed {}", core.feed.config().version),
        )?;
        Violation::unless(
            core.failed.is_none() || !self.is_leader(),
            "failed-disk-steps-aside",
            || format!("{:?}", core.failed),
        )?;
        core.state.check()
    }
}
