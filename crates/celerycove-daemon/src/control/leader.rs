//! Periodic work of the control leader besides log replication: expiring directory entries and
//! placing shards.

use std::{sync::Arc, time::Duration};

use celerycove_control::{
    Node,
    log::Term,
    placement::{
        Change, create_shards,
        plan::{self, Candidate, Candidates},
    },
};
use celerycove_sync::{Availability, Directory};
use celerycove_types::{Timestamp, id};

use crate::{process::Process, state::SharedState};

/// Minimum time between two runs.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(200);
/// How much longer than the failure timeout a new leader waits before it moves a shard.
const SETTLE_MARGIN: Duration = Duration::from_millis(500);

/// Maintains the directory and the shard placement while this instance leads.
pub struct Maintenance {
    process: Arc<Process>,
    state: Arc<SharedState>,
    term: Option<Term>,
    term_began_at: Timestamp,
    next_run: Timestamp,
    /// Directory position and placement version for which the last plan had no changes.
    settled_for: Option<(DirectoryPosition, id::Version)>,
}

/// Term and sequence number of a directory's latest change.
type DirectoryPosition = (u64, u64);

impl Maintenance {
    /// Creates the maintenance state of an instance that doesn't lead yet.
    #[must_use]
    pub fn new(process: Arc<Process>, state: Arc<SharedState>) -> Self {
        Self {
            process,
            state,
            term: None,
            term_began_at: Timestamp::ZERO,
            next_run: Timestamp::ZERO,
            settled_for: None,
        }
    }

    /// Runs maintenance if the interval has passed and returns the placement changes to commit.
    ///
    /// Returns no changes while this instance doesn't lead.
    pub fn run(&mut self, now: Timestamp, node: &Node) -> Vec<Change> {
        if node.staleness(now).is_none() {
            self.term = None;
            return Vec::new();
        }
        if now < self.next_run {
            return Vec::new();
        }
        self.next_run = now + PLACEMENT_INTERVAL;
        let failure_timeout = self.process.settings.process.failure_timeout.0;
        let term_changed = self.term != Some(node.term());
        if term_changed {
            self.term = Some(node.term());
            self.term_began_at = now;
        }
        let position = self.state.with_follower(|follower| {
            if term_changed {
                follower.directory.begin_term(node.term(), now);
            }
            follower.directory.expire(now, failure_timeout);
            follower.directory.position()
        });
        let placement = &node.state().placement;
        if placement.shards.is_empty() {
            let shards = self
                .process
                .settings
                .control
                .as_ref()
                .map_or(1, |c| c.shards);
            return create_shards(shards);
        }
        // Until every process had time to announce itself to a new leader, a missing announcement
        // doesn't mean that the process has failed.
        let never_assigned = placement.shards.iter().all(|shard| shard.epoch == 0);
        let announcements_settled = now >= self.term_began_at + failure_timeout + SETTLE_MARGIN;
        if !announcements_settled && !never_assigned {
            return Vec::new();
        }
        // Planning visits every shard and process, and its result depends only on the directory
        // and the placement. Skip it if neither has changed since a plan without changes.
        let current = Some((position, placement.version));
        if self.settled_for == current {
            return Vec::new();
        }
        let candidates = self.state.with_follower(|f| candidates(&f.directory));
        let changes = self.plan(node, &candidates);
        if changes.is_empty() {
            self.settled_for = current;
        }
        changes
    }

    fn plan(&self, node: &Node, candidates: &Candidates) -> Vec<Change> {
        let replicas = self
            .process
            .settings
            .control
            .as_ref()
            .map_or(3, |c| c.replicas);
        let options = plan::Options {
            replicas,
            ..plan::Options::default()
        };
        let changes = plan::plan(&node.state().placement, candidates, options);
        for change in &changes {
            let primary = change
                .assignment
                .primary
                .as_ref()
                .map(|r| r.process.as_ref());
            log::info!(target: "place",
                shard = change.shard,
                epoch = change.assignment.epoch,
                primary = primary.unwrap_or("-"),
                backups = change.assignment.backups.len(),
                learners = change.assignment.learners.len(),
                candidates = candidates.len();
                "assigning shard");
        }
        changes
    }
}

fn candidates(directory: &Directory) -> Candidates {
    directory
        .all()
        .filter_map(|(announcement, silent)| {
            let candidate = Candidate {
                state_incarnation: announcement.shard_incarnation?,
                process_incarnation: announcement.incarnation,
                data_centre: announcement.data_centre.clone(),
                silent,
                leaving: announcement.availability == Availability::Leaving,
                caught_up: announcement.caught_up_learners.clone(),
            };
            Some((announcement.process.clone(), candidate))
        })
        .collect()
}
