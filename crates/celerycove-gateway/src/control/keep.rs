//! What a control instance does from time to time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use celerycove_control::{
    log::Command as Entry,
    membership::{self, Candidate},
};
use celerycove_fleet::Command;
use celerycove_types::{Timestamp, id};

use super::{Control, DIGEST};
use crate::{
    clock,
    link::lock,
    message::{Reply, Seen, Told},
    setup::Role,
};

/// How often a leader looks at who is there.
pub(super) const ROUND: Duration = Duration::from_millis(200);
/// How long a leader waits for stores to appear before it names the first members of their log:
/// instances that start together are there within this time.
pub(super) const GATHER: Duration = Duration::from_millis(1_500);
/// An entry that was silent for so long no longer shares in allowances.
const DISMISSED: Duration = Duration::from_mins(1);
/// A new leader changes no members before it has heard who is there.
const SETTLE: Duration = Duration::from_secs(2);

/// What a control instance remembers between rounds.
#[derive(Debug, Default)]
pub(super) struct Keeping {
    digest_at: Timestamp,
    led_since: Option<(u64, Timestamp)>,
    gathering: Option<Timestamp>,
    proven: bool,
    /// The processes that entries were told of last.
    known: BTreeSet<id::Process>,
}

impl Control {
    /// Tells digests and, while leading, looks after entries, stores and members.
    pub(super) async fn keep(&self) {
        let mut rounds = tokio::time::interval(ROUND);
        rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            rounds.tick().await;
            let now = clock::now();
            self.picture.greet(&self.peer);
            for peer in self.spread.connected() {
                self.picture.greet(&peer);
            }
            self.vouch();
            if now >= lock(&self.keeping).digest_at + DIGEST {
                lock(&self.keeping).digest_at = now;
                self.digest(now);
            }
            self.found();
            match self.leads() {
                Some(term) => self.lead(now, term).await,
                None => lock(&self.keeping).led_since = None,
            }
        }
    }

    /// Tells the state again once this instance can vouch for it: processes that know none yet take
    /// it from nobody else, and it was told before a leader was known.
    fn vouch(&self) {
        let proven = self.proven();
        let before = std::mem::replace(&mut lock(&self.keeping).proven, proven);
        if proven && !before {
            log::info!(target: "spread", leader:? = self.leader(); "in touch with a majority");
            let mut news = self.news();
            news.view = self.view();
            self.spread.publish(news);
        } else if before && !proven {
            log::warn!(target: "spread", leader:? = self.leader(); "out of touch with a majority");
        }
    }

    fn digest(&self, now: Timestamp) {
        let alive = std::mem::take(&mut *lock(&self.alive));
        let mut news = self.news();
        {
            let mut registry = self.picture.registry();
            registry.forget(now);
            news.beats = alive
                .keys()
                .filter_map(|backend| registry.get(backend))
                .map(|known| Told {
                    beat: known.beat.clone(),
                    age: now.saturating_sub(known.heard),
                })
                .collect();
        }
        self.spread
            .publish_to(news, |peer| peer.role != Role::Store);
        self.tell_peers();
    }

    /// Tells everyone whom there is when that changes. How long each has been silent matters only to
    /// those who change members, and one instance that tells them is enough: the leader.
    fn tell_peers(&self) {
        let mut news = self.news();
        let seen = self.seen();
        let names: BTreeSet<_> = seen.iter().map(|seen| seen.peer.process.clone()).collect();
        news.peers = Some(seen);
        let changed = {
            let mut keeping = lock(&self.keeping);
            let changed = keeping.known != names;
            keeping.known = names;
            changed
        };
        let leads = self.leads().is_some();
        self.spread
            .publish_to(news, |peer| changed || (leads && peer.role != Role::Entry));
    }

    async fn lead(&self, now: Timestamp, term: u64) {
        let since = {
            let mut keeping = lock(&self.keeping);
            match keeping.led_since {
                Some((of, since)) if of == term => since,
                _ => {
                    keeping.led_since = Some((term, now));
                    now
                }
            }
        };
        self.take_seat(term);
        self.admit().await;
        self.found_stores(now).await;
        if now >= since + SETTLE {
            self.change_members().await;
        }
    }

    async fn admit(&self) {
        let known = self.fleet().entries.clone();
        let seen = self.picture.peers(Role::Entry);
        for entry in &seen {
            let peer = &entry.peer;
            if entry.silent < ROUND * 4 && known.get(&peer.process) != Some(&peer.data_centre) {
                let command = Command::Admit {
                    entry: peer.process.clone(),
                    data_centre: peer.data_centre.clone(),
                };
                self.decide("entry admitted", &peer.process, command).await;
            }
        }
        for entry in known.keys() {
            let silent = seen.iter().find(|seen| seen.peer.process == *entry);
            if silent.is_some_and(|seen| seen.silent >= DISMISSED) {
                let command = Command::Dismiss(entry.clone());
                self.decide("entry dismissed", entry, command).await;
            }
        }
    }

    async fn found_stores(&self, now: Timestamp) {
        if !self.fleet().founders.is_empty() {
            return;
        }
        let stores = self.picture.peers(Role::Store);
        let founders: Vec<&Seen> = stores
            .iter()
            .filter(|seen| seen.peer.founder && seen.silent < ROUND * 4)
            .collect();
        if founders.is_empty() {
            return;
        }
        let began = *lock(&self.keeping).gathering.get_or_insert(now);
        if now < began + GATHER {
            return;
        }
        let founders = founders
            .iter()
            .map(|seen| (seen.peer.process.clone(), seen.peer.data_centre.clone()));
        let members = membership::founders(&founders.collect(), self.setup.members());
        let command = Command::FoundStores(members);
        let me = self.setup.process();
        self.decide("first members of the stores' log named", &me, command)
            .await;
    }

    async fn decide(&self, what: &'static str, subject: &id::Process, command: Command) {
        let reply = self.commit_here(command).await;
        let committed = reply == Reply::Committed;
        log::info!(target: "place", subject:% = subject, committed; "{what}");
    }

    async fn change_members(&self) {
        let Some(group) = self.group() else { return };
        let status = group.status();
        let options = membership::Options {
            target: self.setup.members(),
            silence: self.setup.bounds.catch_up / 2,
        };
        let seen = self.picture.peers(Role::Control);
        let candidates = candidates(seen, &BTreeSet::new());
        let me = self.setup.process();
        if let Some(members) =
            membership::plan(&me, &status.members, &status.voters, &candidates, options)
        {
            log::info!(target: "place", before:? = status.members, after:? = members;
                "members of the control log are to change");
            group.propose(Entry::Members(members), ROUND * 4).await;
        }
    }
}

/// The instances that could be members of a log: those with a disk.
pub(crate) fn candidates(
    seen: Vec<Seen>,
    retiring: &BTreeSet<id::Process>,
) -> BTreeMap<id::Process, Candidate> {
    seen.into_iter()
        .filter(|seen| seen.peer.keeps)
        .map(|seen| {
            let candidate = Candidate {
                retiring: retiring.contains(&seen.peer.process),
                data_centre: seen.peer.data_centre,
                silent: seen.silent,
            };
            (seen.peer.process, candidate)
        })
        .collect()
}
