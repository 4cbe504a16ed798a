//! What a control leader does besides replicating: it keeps the directory and places shards.

use std::{sync::Arc, time::Duration};

use celerycove_control::{
    Node,
    log::Term,
    placement::{
        Change, create,
        plan::{self, Candidate, Candidates},
    },
};
use celerycove_sync::{Directory, Life};
use celerycove_types::{Timestamp, id};

use crate::{process::Process, share::Share};

/// How often shards are placed.
const INTERVAL: Duration = Duration::from_millis(200);
/// What a new leader waits beyond the silence that counts as failure, before it moves a shard.
const MARGIN: Duration = Duration::from_millis(500);

/// The duties of a leader.
pub struct Lead {
    process: Arc<Process>,
    share: Arc<Share>,
    term: Option<Term>,
    since: Timestamp,
    due: Timestamp,
    /// The directory and placement for which there was nothing to move.
    idle_at: Option<(Position, id::Version)>,
}

/// A directory's term and newest change.
type Position = (u64, u64);

impl Lead {
    /// Starts without duties.
    #[must_use]
    pub fn new(process: Arc<Process>, share: Arc<Share>) -> Self {
        Self {
            process,
            share,
            term: None,
            since: Timestamp::ZERO,
            due: Timestamp::ZERO,
            idle_at: None,
        }
    }

    /// Does what is due and gives the moves of shards to commit.
    pub fn duties(&mut self, now: Timestamp, node: &Node) -> Vec<Change> {
        if node.freshness(now).is_none() {
            self.term = None;
            return Vec::new();
        }
        if now < self.due {
            return Vec::new();
        }
        self.due = now + INTERVAL;
        let silence = self.process.settings.process.silence.0;
        let begins = self.term != Some(node.term());
        if begins {
            self.term = Some(node.term());
            self.since = now;
        }
        let position = self.share.with_follower(|follower| {
            if begins {
                follower.directory.begin(node.term(), now);
            }
            follower.directory.expire(now, silence);
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
            return create(shards);
        }
        // Before everyone had time to announce itself to a new leader, silence means nothing.
        let unused = placement.shards.iter().all(|shard| shard.epoch == 0);
        let settled = now >= self.since + silence + MARGIN;
        if !settled && !unused {
            return Vec::new();
        }
        // The plan depends on nothing else, and it costs a look at every shard and process.
        let seen = Some((position, placement.version));
        if self.idle_at == seen {
            return Vec::new();
        }
        let candidates = self.share.with_follower(|f| candidates(&f.directory));
        let changes = self.plan(node, &candidates);
        if changes.is_empty() {
            self.idle_at = seen;
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
                "assigns a shard");
        }
        changes
    }
}

fn candidates(directory: &Directory) -> Candidates {
    directory
        .all()
        .filter_map(|(announcement, gone)| {
            let candidate = Candidate {
                incarnation: announcement.home?,
                life: announcement.incarnation,
                data_centre: announcement.data_centre.clone(),
                silent: gone,
                leaving: announcement.life == Life::Leaving,
                learned: announcement.learned.clone(),
            };
            Some((announcement.process.clone(), candidate))
        })
        .collect()
}
