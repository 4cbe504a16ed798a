//! Invariants of one instance of the control log.

use celerycove_types::Violation;

use crate::node::Node;

impl Node {
    /// Checks the invariants that can be verified on a single instance.
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        let raft = self.raft();
        Violation::unless(
            raft.applied_index <= raft.commit_index && raft.commit_index <= raft.log.last_index(),
            "commit-within-log",
            || {
                format!(
                    "applied {}, commit {}, last {}",
                    raft.applied_index,
                    raft.commit_index,
                    raft.log.last_index()
                )
            },
        )?;
        Violation::unless(
            raft.log.snapshot_index() <= raft.applied_index,
            "snapshot-applied",
            || {
                format!(
                    "snapshot {}, applied {}",
                    raft.log.snapshot_index(),
                    raft.applied_index
                )
            },
        )?;
        Violation::unless(
            raft.feed.config().version == raft.state.store.config.version,
            "feed-matches-state",
            || format!("feed {}", raft.feed.config().version),
        )?;
        Violation::unless(
            raft.fatal_error.is_none() || !self.is_leader(),
            "failed-disk-steps-aside",
            || format!("{:?}", raft.fatal_error),
        )?;
        raft.state.check()
    }
}
