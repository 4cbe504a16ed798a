//! What a process holds of the shared state, and how it pulls and passes it on.

use std::{sync::Arc, time::Duration};

use celerycove_config::{Config, Feed, Update};
use celerycove_control::{Placement, placement::Assignment};
use celerycove_types::{Timestamp, Violation, id};
use serde::{Deserialize, Serialize};

use crate::{
    announce::{Announcement, InForce, Spread, add_spread},
    children::Children,
    directory::{Delta, Directory, Sequence, Term},
    freshness::Freshness,
};

/// Asks upstream for what changed and passes announcements on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pull {
    /// Who asks.
    pub process: id::Process,
    /// The configuration held.
    pub version: id::Version,
    /// The placement held.
    pub placement: id::Version,
    /// The directory held: its term.
    pub term: Term,
    /// The directory held: its newest change.
    pub sequence: Sequence,
    /// Announcements of the asker and of those that pull from it, as far as upstream lacks them.
    pub announcements: Vec<Announcement>,
    /// Processes that pulled from the asker and are silent now.
    pub silent: Vec<id::Process>,
    /// How far the configuration has spread among the asker and those that pull from it.
    pub spread: Spread,
}

/// What the asker lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// How old the statement is that this is the newest.
    pub age: Duration,
    /// The newest configuration.
    pub version: id::Version,
    /// The steps to it.
    pub update: Update,
    /// The newest placement.
    pub placement: id::Version,
    /// The assignments that changed since the asker's placement.
    pub shards: Vec<(id::Shard, Assignment)>,
    /// Changes of the directory.
    pub directory: Delta,
}

/// What a process holds of the shared state.
#[derive(Debug, Clone)]
pub struct Follower {
    feed: Feed,
    placement: Arc<Placement>,
    /// The processes known.
    pub directory: Directory,
    freshness: Freshness,
    children: Children,
    silence: Duration,
}

impl Follower {
    /// Starts with nothing and no lease; a process that does not pull for `silence` is silent.
    #[must_use]
    pub fn new(lease: Duration, silence: Duration) -> Self {
        Self {
            feed: Feed::default(),
            placement: Arc::default(),
            directory: Directory::default(),
            freshness: Freshness::new(lease),
            children: Children::default(),
            silence,
        }
    }

    /// The question to upstream.
    pub fn pull(&mut self, now: Timestamp, own: Announcement) -> Pull {
        let (term, sequence) = self.directory.position();
        let silent = self.children.silent(now, self.silence);
        let spread = self.spread(&own.process, &own.data_centre);
        let process = own.process.clone();
        let mut announcements = self.children.unknown(term);
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

    /// How far the configuration has spread here and among those that pull from here.
    #[must_use]
    pub fn spread(&self, process: &id::Process, data_centre: &id::DataCentre) -> Spread {
        let mut spread = self.children.spread();
        let here = InForce {
            processes: 1,
            oldest: self.feed.config().version,
            slowest: process.clone(),
        };
        add_spread(&mut spread, Spread::from([(data_centre.clone(), here)]));
        spread
    }

    /// Takes upstream's answer to a question asked at `asked`.
    pub fn take(&mut self, asked: Timestamp, reply: Reply) {
        let newest = reply.version;
        self.feed.update(reply.update);
        if reply.placement > self.placement.version {
            Arc::make_mut(&mut self.placement).merge(reply.placement, reply.shards);
        }
        self.children.taken(reply.directory.term);
        self.directory.merge(reply.directory);
        // The statement speaks of the newest version, so it helps only who holds that version.
        if self.feed.config().version >= newest {
            self.freshness.confirm(asked, reply.age);
        }
    }

    /// Notes a process that pulls from this one.
    pub fn note(&mut self, now: Timestamp, pull: &Pull) {
        self.children.note(now, pull);
    }

    /// Answers a process that pulls from this one; `None` if nothing was ever confirmed here.
    pub fn serve(&mut self, now: Timestamp, pull: &Pull) -> Option<Reply> {
        self.note(now, pull);
        let age = self.freshness.age(now)?;
        Some(answer(
            pull,
            &self.feed,
            &self.placement,
            &self.directory,
            age,
        ))
    }

    /// Takes over what a control instance in the same process has applied.
    pub fn mirror(&mut self, feed: &Feed, placement: &Placement, confirmed: Option<Timestamp>) {
        if feed.config().version > self.feed.config().version {
            self.feed = feed.clone();
        }
        if placement.version > self.placement.version {
            self.placement = Arc::new(placement.clone());
        }
        if let Some(confirmed) = confirmed {
            self.freshness.confirm(confirmed, Duration::ZERO);
        }
    }

    /// The newest configuration held.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        self.feed.config()
    }

    /// The newest placement held.
    #[must_use]
    pub fn placement(&self) -> &Arc<Placement> {
        &self.placement
    }

    /// The lease.
    #[must_use]
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Checks that the lease speaks of something held.
    ///
    /// # Errors
    ///
    /// Returns the broken invariant.
    pub fn check(&self) -> Result<(), Violation> {
        self.placement.check()
    }
}

/// Gives what the asker lacks of some shared state.
#[must_use]
pub fn answer(
    pull: &Pull,
    feed: &Feed,
    placement: &Placement,
    directory: &Directory,
    age: Duration,
) -> Reply {
    Reply {
        age,
        version: feed.config().version,
        update: feed.since(pull.version),
        placement: placement.version,
        shards: placement.since(pull.placement),
        directory: directory.since(pull.term, pull.sequence),
    }
}
