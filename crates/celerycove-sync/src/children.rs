//! What a relay knows of the processes that pull from it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use celerycove_types::{Timestamp, id};

use crate::{
    announce::{Announcement, Spread, add_spread},
    directory::Term,
    follower::Pull,
};

#[derive(Debug, Clone)]
struct Child {
    announcement: Announcement,
    /// The process that passed the announcement on, itself for a direct child.
    via: id::Process,
    /// The directory's term in which upstream has the announcement.
    upstream: Option<Term>,
}

/// Announcements kept for upstream, and how far the configuration has spread.
#[derive(Debug, Clone, Default)]
pub struct Children {
    known: BTreeMap<id::Process, Child>,
    direct: BTreeMap<id::Process, (Timestamp, Spread)>,
    asked: Vec<Announcement>,
    /// Processes that are silent, until upstream has been told.
    silent: BTreeSet<id::Process>,
    told: Vec<id::Process>,
}

impl Children {
    /// Notes a pull.
    pub fn note(&mut self, now: Timestamp, pull: &Pull) {
        let heard = (now, pull.spread.clone());
        self.direct.insert(pull.process.clone(), heard);
        for announcement in &pull.announcements {
            let known = self.known.get(&announcement.process);
            let newer = known.is_none_or(|c| announcement.is_newer(&c.announcement));
            let child = Child {
                announcement: announcement.clone(),
                via: pull.process.clone(),
                upstream: known.filter(|_| !newer).and_then(|c| c.upstream),
            };
            self.silent.remove(&announcement.process);
            self.known.insert(announcement.process.clone(), child);
        }
        for silent in &pull.silent {
            // A child that found another way here is not silent.
            if self
                .known
                .get(silent)
                .is_some_and(|child| child.via == pull.process)
            {
                self.known.remove(silent);
                self.silent.insert(silent.clone());
            }
        }
    }

    /// Gives the announcements that upstream lacks in `term`.
    pub fn unknown(&mut self, term: Term) -> Vec<Announcement> {
        self.asked = self
            .known
            .values()
            .filter(|child| child.upstream != Some(term))
            .map(|child| child.announcement.clone())
            .collect();
        self.asked.clone()
    }

    /// Notes that upstream took what it was last told, in `term`.
    pub fn taken(&mut self, term: Term) {
        for process in std::mem::take(&mut self.told) {
            self.silent.remove(&process);
        }
        for announcement in std::mem::take(&mut self.asked) {
            if let Some(child) = self.known.get_mut(&announcement.process)
                && child.announcement == announcement
            {
                child.upstream = Some(term);
            }
        }
    }

    /// Drops the children silent for `timeout`, and gives all that upstream has not been told of.
    pub fn silent(&mut self, now: Timestamp, timeout: Duration) -> Vec<id::Process> {
        self.direct.retain(|_, (heard, _)| now < *heard + timeout);
        let direct = &self.direct;
        let gone = self
            .known
            .extract_if(.., |_, child| !direct.contains_key(&child.via));
        self.silent.extend(gone.map(|(process, _)| process));
        self.told = self.silent.iter().cloned().collect();
        self.told.clone()
    }

    /// How far the configuration has spread among the children.
    #[must_use]
    pub fn spread(&self) -> Spread {
        let mut spread = Spread::new();
        for (_, below) in self.direct.values() {
            add_spread(&mut spread, below.clone());
        }
        spread
    }
}
