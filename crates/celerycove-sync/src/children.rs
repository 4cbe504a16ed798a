//! The state that a relay keeps about the processes that pull from it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use celerycove_types::{Timestamp, id};

use crate::{
    announce::{Announcement, Rollout, merge_rollout},
    directory::Term,
    follower::Pull,
};

/// A process that pulls from this relay, directly or through other relays.
#[derive(Debug, Clone)]
struct Descendant {
    announcement: Announcement,
    /// The direct child that forwarded the announcement; the process itself if it is one.
    via: id::Process,
    /// The directory term in which upstream acknowledged the announcement.
    acknowledged_in: Option<Term>,
}

/// The processes downstream of a relay: their announcements, and how far the configuration has
/// spread among them.
#[derive(Debug, Clone, Default)]
pub struct Children {
    descendants: BTreeMap<id::Process, Descendant>,
    /// When each direct child last pulled, and the rollout progress that it reported.
    last_pulls: BTreeMap<id::Process, (Timestamp, Rollout)>,
    /// The announcements in the last pull, not yet acknowledged.
    sent_announcements: Vec<Announcement>,
    /// Processes that timed out, kept until upstream has acknowledged the report.
    silent: BTreeSet<id::Process>,
    /// The silent processes reported in the last pull, not yet acknowledged.
    sent_silent: Vec<id::Process>,
}

impl Children {
    /// Records a pull by a direct child.
    pub fn record_pull(&mut self, now: Timestamp, pull: &Pull) {
        let last_pull = (now, pull.spread.clone());
        self.last_pulls.insert(pull.process.clone(), last_pull);
        for announcement in &pull.announcements {
            let known = self.descendants.get(&announcement.process);
            let is_newer = known.is_none_or(|d| announcement.is_newer(&d.announcement));
            let descendant = Descendant {
                announcement: announcement.clone(),
                via: pull.process.clone(),
                acknowledged_in: known.filter(|_| !is_newer).and_then(|d| d.acknowledged_in),
            };
            self.silent.remove(&announcement.process);
            self.descendants
                .insert(announcement.process.clone(), descendant);
        }
        for silent in &pull.silent {
            // A process whose announcements now arrive through another child is not silent.
            if self
                .descendants
                .get(silent)
                .is_some_and(|descendant| descendant.via == pull.process)
            {
                self.descendants.remove(silent);
                self.silent.insert(silent.clone());
            }
        }
    }

    /// Returns the announcements that upstream has not acknowledged in `term`, to be sent with the
    /// next pull.
    pub fn next_announcements(&mut self, term: Term) -> Vec<Announcement> {
        self.sent_announcements = self
            .descendants
            .values()
            .filter(|descendant| descendant.acknowledged_in != Some(term))
            .map(|descendant| descendant.announcement.clone())
            .collect();
        self.sent_announcements.clone()
    }

    /// Records that upstream has received what the last pull contained, in `term`.
    pub fn acknowledge(&mut self, term: Term) {
        for process in std::mem::take(&mut self.sent_silent) {
            self.silent.remove(&process);
        }
        for announcement in std::mem::take(&mut self.sent_announcements) {
            if let Some(descendant) = self.descendants.get_mut(&announcement.process)
                && descendant.announcement == announcement
            {
                descendant.acknowledged_in = Some(term);
            }
        }
    }

    /// Removes the direct children that have not pulled for `timeout`, with the processes
    /// downstream of them, and returns all silent processes that upstream has not acknowledged.
    pub fn expire_silent(&mut self, now: Timestamp, timeout: Duration) -> Vec<id::Process> {
        self.last_pulls
            .retain(|_, (last_pull, _)| now < *last_pull + timeout);
        let last_pulls = &self.last_pulls;
        let removed = self.descendants.extract_if(.., |_, descendant| {
            !last_pulls.contains_key(&descendant.via)
        });
        self.silent.extend(removed.map(|(process, _)| process));
        self.sent_silent = self.silent.iter().cloned().collect();
        self.sent_silent.clone()
    }

    /// Returns how far the configuration has spread among the processes downstream.
    #[must_use]
    pub fn spread(&self) -> Rollout {
        let mut spread = Rollout::new();
        for (_, reported) in self.last_pulls.values() {
            merge_rollout(&mut spread, reported.clone());
        }
        spread
    }
}
