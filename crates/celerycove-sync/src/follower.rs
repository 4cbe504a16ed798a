//! A process's copy of the shared state, which it pulls from upstream and serves downstream.

use std::{sync::Arc, time::Duration};

use celerycove_config::{Config, Feed, Update};
use celerycove_control::{Placement, placement::Assignment};
use celerycove_types::{Timestamp, Violation, id};
use serde::{Deserialize, Serialize};

use crate::{
    announce::{Announcement, Progress, Rollout, merge_rollout},
    children::Children,
    directory::{Delta, Directory, Sequence, Term},
    freshness::Freshness,
};

/// A request to upstream for changes, which also forwards announcements.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pull {
    /// The process that pulls.
    pub process: id::Process,
    /// The configuration version that it holds.
    pub version: id::Version,
    /// The placement version that it holds.
    pub placement: id::Version,
    /// The term of the directory that it holds.
    pub term: Term,
    /// The newest change in the directory that it holds.
    pub sequence: Sequence,
    /// The announcements of the process, and those of processes downstream that upstream has not
    /// acknowledged.
    pub announcements: Vec<Announcement>,
    /// Processes downstream that have timed out.
    pub silent: Vec<id::Process>,
    /// How far the configuration has spread in the process and those downstream.
    pub spread: Rollout,
}

/// The changes since the state described by a [`Pull`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The time since this state was last confirmed to be the newest.
    pub age: Duration,
    /// The version of the newest configuration.
    pub version: id::Version,
    /// The changes that lead to the newest configuration.
    pub update: Update,
    /// The version of the newest placement.
    pub placement: id::Version,
    /// The assignments that changed since the placement of the process that pulls.
    pub shards: Vec<(id::Shard, Assignment)>,
    /// The changes to the directory.
    pub directory: Delta,
}

/// A process's copy of the shared state.
#[derive(Debug, Clone)]
pub struct Follower {
    feed: Feed,
    placement: Arc<Placement>,
    /// The directory of known processes.
    pub directory: Directory,
    freshness: Freshness,
    children: Children,
    silence_timeout: Duration,
}

impl Follower {
    /// Creates an empty copy without a valid lease.
    ///
    /// A process downstream that does not pull for `silence_timeout` is reported as silent.
    #[must_use]
    pub fn new(lease: Duration, silence_timeout: Duration) -> Self {
        Self {
            feed: Feed::default(),
            placement: Arc::default(),
            directory: Directory::default(),
            freshness: Freshness::new(lease),
            children: Children::default(),
            silence_timeout,
        }
    }

    /// Creates the next request to upstream.
    pub fn pull(&mut self, now: Timestamp, own: Announcement) -> Pull {
        let (term, sequence) = self.directory.position();
        let silent = self.children.expire_silent(now, self.silence_timeout);
        let spread = self.spread(&own.process, &own.data_centre);
        let process = own.process.clone();
        let mut announcements = self.children.next_announcements(term);
        announcements.push(own);
        Pull {
            process,
            version: self.feed.config().version,
            placement: self.placement.version,
            term,
            sequence,
            announcements,
            silent,
            spread,
        }
    }

    /// Returns how far the configuration has spread in this process and those downstream.
    #[must_use]
    pub fn spread(&self, process: &id::Process, data_centre: &id::DataCentre) -> Rollout {
        let mut spread = self.children.spread();
        let own = Progress {
            processes: 1,
            oldest: self.feed.config().version,
            slowest: process.clone(),
        };
        merge_rollout(&mut spread, Rollout::from([(data_centre.clone(), own)]));
        spread
    }

    /// Applies the reply to a pull that was sent at `requested_at`.
    pub fn apply_reply(&mut self, requested_at: Timestamp, reply: Reply) {
        let newest = reply.version;
        self.feed.apply(reply.update);
        if reply.placement > self.placement.version {
            Arc::make_mut(&mut self.placement).merge(reply.placement, reply.shards);
        }
        self.children.acknowledge(reply.directory.term);
        self.directory.merge(reply.directory);
        // The confirmation is about the newest version, so it applies only if that version is held.
        if self.feed.config().version >= newest {
            self.freshness.confirm(requested_at, reply.age);
        }
    }

    /// Records a pull by another process.
    pub fn record_pull(&mut self, now: Timestamp, pull: &Pull) {
        self.children.record_pull(now, pull);
    }

    /// Records a pull by another process and returns the reply, or `None` before the first
    /// confirmation from upstream.
    pub fn serve(&mut self, now: Timestamp, pull: &Pull) -> Option<Reply> {
        self.record_pull(now, pull);
        let age = self.freshness.age(now)?;
        Some(reply_to(
            pull,
            &self.feed,
            &self.placement,
            &self.directory,
            age,
        ))
    }

    /// Copies the state that a control instance in the same process has applied.
    pub fn mirror(&mut self, feed: &Feed, placement: &Placement, confirmed_at: Option<Timestamp>) {
        if feed.config().version > self.feed.config().version {
            self.feed = feed.clone();
        }
        if placement.version > self.placement.version {
            self.placement = Arc::new(placement.clone());
        }
        if let Some(confirmed_at) = confirmed_at {
            self.freshness.confirm(confirmed_at, Duration::ZERO);
        }
    }

    /// Returns the configuration held.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        self.feed.config()
    }

    /// Returns the placement held.
    #[must_use]
    pub fn placement(&self) -> &Arc<Placement> {
        &self.placement
    }

    /// Returns the lease on the configuration.
    #[must_use]
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Checks the invariants of the placement held.
    ///
    /// # Errors
    ///
    /// Returns the violated invariant.
    pub fn check(&self) -> Result<(), Violation> {
        self.placement.check()
    }
}

/// Creates the reply to a pull from a copy of the shared state that was confirmed `age` ago.
#[must_use]
pub fn reply_to(
    pull: &Pull,
    feed: &Feed,
    placement: &Placement,
    directory: &Directory,
    age: Duration,
) -> Reply {
    Reply {
        age,
        version: feed.config().version,
        update: feed.update_since(pull.version),
        placement: placement.version,
        shards: placement.changes_after(pull.placement),
        directory: directory.since(pull.term, pull.sequence),
    }
}
