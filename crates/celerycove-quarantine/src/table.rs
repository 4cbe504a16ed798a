//! What a process knows of crashes and of the requests that they broke off.

use std::{collections::BTreeMap, time::Duration};

use celerycove_types::{Map, Set, Timestamp, id};

use crate::{
    Digest, Evidence,
    bound::{self, MAX_EVENTS},
    evidence::{Crash, Event, Run, Server},
    standing::{Standing, standings},
};

/// How long evidence is kept. Several of the longest quarantines, so that a request which crashes
/// each backend server that tries it stays known.
pub const LIFETIME: Duration = Duration::from_mins(30);
/// How long a trial may take before another one is allowed: longer than most requests run.
pub const TRIAL_PERIOD: Duration = Duration::from_secs(30);
/// Vindications of one request that are less than this apart are told as one: longer than a message
/// takes within a region.
const VINDICATION_INTERVAL: Duration = Duration::from_millis(100);
/// Items of one message, unless one crash has more: some ten kilobytes.
pub const MAX_ITEMS_PER_MESSAGE: usize = 128;

/// Whose news are repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Found by this process.
    Own,
    /// Told by another one.
    Told,
}

/// Whether a request may be sent to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Free,
    /// Its quarantine is over: it may be sent once, to try it.
    Trial,
    /// It may not for this long.
    Quarantined(Duration),
}

/// A request that is newly quarantined, or again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantine {
    /// The request.
    pub digest: Digest,
    /// Its organisation; empty for anonymous callers.
    pub organisation: id::Organisation,
    /// The backend servers that crashed while it ran, in order.
    pub servers: Vec<Server>,
    /// How many of these crashes it is blamed for.
    pub blamed: u32,
    /// How long it is quarantined from now on.
    pub left: Duration,
}

/// A run of a request that ended in a crash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RunRecord {
    pub(crate) target: Digest,
    pub(crate) organisation: id::Organisation,
    pub(crate) started: Timestamp,
}

/// When an item changed, and whether this process found it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Mark {
    changed_at: Timestamp,
    is_own: bool,
}

impl Mark {
    fn new(now: Timestamp, origin: Origin) -> Self {
        Self {
            changed_at: now,
            is_own: origin == Origin::Own,
        }
    }

    fn is_since(self, since: Timestamp, origin: Origin) -> bool {
        self.changed_at >= since && (self.is_own || origin == Origin::Told)
    }
}

#[derive(Debug, Clone)]
pub(crate) struct CrashRecord {
    /// The earliest time that was told of.
    pub(crate) at: Timestamp,
    pub(crate) runs: BTreeMap<Digest, RunRecord>,
    mark: Mark,
}

type Events = BTreeMap<Digest, (Timestamp, Mark)>;

/// The evidence that a process has.
#[derive(Debug, Default)]
pub struct Table {
    crashes: BTreeMap<Server, CrashRecord>,
    vindications: Events,
    trials: Events,
    /// The standing of each request; `None` once the evidence has changed.
    standings: Option<Map<Digest, Standing>>,
    /// The end of the last quarantine of each request that was returned as new.
    announced: BTreeMap<Digest, Timestamp>,
    /// The last crash that was repeated.
    repeated: Option<Server>,
}

impl Table {
    /// Whether no crash is known, so that all requests may run.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// When this incarnation of a backend server crashed, if it is known to have.
    #[must_use]
    pub fn crashed_at(&self, server: &Server) -> Option<Timestamp> {
        self.crashes.get(server).map(|crash| crash.at)
    }

    /// Whether a request ran at a known crash that it has not been vindicated of.
    pub fn is_suspect(&mut self, digest: &Digest) -> bool {
        self.standings().contains_key(digest)
    }

    /// Merges evidence and returns the part that was not known before, for other processes.
    pub fn merge(&mut self, now: Timestamp, evidence: Evidence, origin: Origin) -> Evidence {
        let mark = Mark::new(now, origin);
        let crashes = evidence.crashes.into_iter();
        let new = Evidence {
            crashes: crashes
                .filter_map(|crash| self.merge_crash(now, crash, mark))
                .collect(),
            vindications: merge_events(
                &mut self.vindications,
                now,
                evidence.vindications,
                mark,
                VINDICATION_INTERVAL,
            ),
            trials: merge_events(&mut self.trials, now, evidence.trials, mark, TRIAL_PERIOD),
        };
        self.standings = self.standings.take().filter(|_| new.is_empty());
        if !new.is_empty() {
            bound::shrink(&mut self.crashes);
            bound_events(&mut self.vindications, &self.crashes);
            bound_events(&mut self.trials, &self.crashes);
        }
        new
    }

    fn merge_crash(&mut self, now: Timestamp, crash: Crash, mark: Mark) -> Option<Crash> {
        if crash.age >= LIFETIME || crash.runs.is_empty() {
            return None;
        }
        let at = now.saturating_sub(crash.age);
        let record = self.crashes.entry(crash.server.clone());
        let record = record.or_insert_with(|| CrashRecord {
            at,
            runs: BTreeMap::new(),
            mark,
        });
        // Each way to this process only makes an age seem smaller.
        if at < record.at {
            record.at = at;
            self.standings = None;
        }
        let mut runs = Vec::new();
        for run in crash.runs {
            let started = now.saturating_sub(run.age);
            if let Some(known) = record.runs.get_mut(&run.digest) {
                if started < known.started {
                    known.started = started;
                    self.standings = None;
                }
                continue;
            }
            let added = RunRecord {
                target: run.target,
                organisation: run.organisation.clone(),
                started,
            };
            if bound::insert(record, run.digest, added) {
                runs.push(run);
            }
        }
        if runs.is_empty() {
            return None;
        }
        record.mark = Mark {
            is_own: record.mark.is_own || mark.is_own,
            ..mark
        };
        Some(Crash { runs, ..crash })
    }

    /// Records that a backend server answered a request completely, so that crashes of its earlier runs
    /// say nothing of it. It may still begin to crash backend servers later. Returns the evidence for other
    /// processes, which is empty if the request was under no suspicion.
    pub fn vindicate(&mut self, now: Timestamp, digest: Digest) -> Evidence {
        self.vindicate_late(now, Duration::ZERO, digest)
    }

    /// Does the same for an answer that ended `age` ago: crashes of runs that began since still count.
    pub fn vindicate_late(&mut self, now: Timestamp, age: Duration, digest: Digest) -> Evidence {
        if !self.is_suspect(&digest) {
            return Evidence::default();
        }
        let vindications = vec![Event { digest, age }];
        let evidence = Evidence {
            vindications,
            ..Evidence::default()
        };
        self.merge(now, evidence, Origin::Own)
    }

    /// Records that a request is tried again. Returns the evidence for other processes, which don't
    /// try it meanwhile.
    pub fn begin_trial(&mut self, now: Timestamp, digest: Digest) -> Evidence {
        let evidence = Evidence {
            trials: vec![new_event(digest)],
            ..Evidence::default()
        };
        self.merge(now, evidence, Origin::Own)
    }

    /// Returns whether a request may be sent to a backend server.
    pub fn verdict(&mut self, now: Timestamp, digest: &Digest) -> Verdict {
        let standing = self.standings().get(digest);
        let Some(until) = standing.and_then(|standing| standing.until) else {
            return Verdict::Free;
        };
        // The end of a trial that has not been decided yet.
        let trial_end = self
            .trials
            .get(digest)
            .map_or(Timestamp::ZERO, |(began, _)| *began + TRIAL_PERIOD);
        let until = until.max(trial_end);
        if now < until {
            Verdict::Quarantined(until.saturating_sub(now))
        } else {
            Verdict::Trial
        }
    }

    fn standings(&mut self) -> &Map<Digest, Standing> {
        let vindications = &self.vindications;
        let crashes = &self.crashes;
        self.standings.get_or_insert_with(|| {
            standings(crashes, |digest| {
                vindications.get(digest).map(|(at, _)| *at)
            })
        })
    }

    /// Returns the requests whose quarantine began or was prolonged since the last call.
    pub fn take_new_quarantines(&mut self, now: Timestamp) -> Vec<Quarantine> {
        let mut announced = std::mem::take(&mut self.announced);
        let quarantined = self.standings().iter().filter_map(|(digest, standing)| {
            let until = standing.until.filter(|until| *until > now)?;
            Some((*digest, standing.clone(), until))
        });
        let quarantined: Vec<_> = quarantined.collect();
        announced.retain(|digest, _| quarantined.iter().any(|(known, ..)| known == digest));
        let new = quarantined
            .into_iter()
            .filter(|(digest, _, until)| {
                announced.insert(*digest, *until).is_none_or(|e| e < *until)
            })
            .map(|(digest, standing, until)| Quarantine {
                digest,
                organisation: self.organisation(&digest),
                servers: standing.servers,
                blamed: standing.blamed,
                left: until.saturating_sub(now),
            })
            .collect();
        self.announced = announced;
        new
    }

    fn organisation(&self, digest: &Digest) -> id::Organisation {
        let mut runs = self.crashes.values().flat_map(|crash| &crash.runs);
        let run = runs.find(|(known, run)| *known == digest || run.target == *digest);
        run.map_or_else(|| "".into(), |(_, run)| run.organisation.clone())
    }

    /// Returns the number of requests that are quarantined now.
    pub fn count_quarantined(&mut self, now: Timestamp) -> usize {
        let standings = self.standings().values();
        standings
            .filter(|standing| standing.until.is_some_and(|until| until > now))
            .count()
    }

    /// Returns the number of runs that it holds, by which its memory is bounded.
    #[must_use]
    pub fn len(&self) -> usize {
        bound::run_count(&self.crashes)
    }

    /// Removes evidence that is too old.
    pub fn remove_expired(&mut self, now: Timestamp) {
        let before = self.crashes.len() + self.vindications.len();
        let is_live = |at: Timestamp, lifetime| now.saturating_sub(at) < lifetime;
        self.crashes.retain(|_, crash| is_live(crash.at, LIFETIME));
        self.vindications
            .retain(|_, (at, _)| is_live(*at, LIFETIME));
        self.trials.retain(|_, (at, _)| is_live(*at, TRIAL_PERIOD));
        if self.crashes.len() + self.vindications.len() != before {
            self.standings = None;
        }
    }

    /// Returns all evidence in messages of a bounded size, for a process that has just connected.
    #[must_use]
    pub fn messages(&self, now: Timestamp) -> Vec<Evidence> {
        let mut messages = vec![Evidence::default()];
        let mut add = |items: usize, add: &dyn Fn(&mut Evidence)| {
            if messages
                .last()
                .is_none_or(|last| last.len() + items > MAX_ITEMS_PER_MESSAGE)
            {
                messages.push(Evidence::default());
            }
            if let Some(last) = messages.last_mut() {
                add(last);
            }
        };
        for (digest, (at, _)) in &self.vindications {
            let event = event(now, *digest, *at);
            add(1, &|message| message.vindications.push(event.clone()));
        }
        for (digest, (at, _)) in &self.trials {
            let event = event(now, *digest, *at);
            add(1, &|message| message.trials.push(event.clone()));
        }
        for (server, record) in &self.crashes {
            let crash = crash(now, server, record);
            add(crash.runs.len(), &|message| {
                message.crashes.push(crash.clone());
            });
        }
        messages.retain(|message| !message.is_empty());
        messages
    }

    /// Returns part of the evidence that changed within `period`, since messages may be lost: all of
    /// it, or only what this process found. Successive calls return successive parts.
    pub fn repeat(&mut self, now: Timestamp, period: Duration, origin: Origin) -> Evidence {
        let since = now.saturating_sub(period);
        let recent = |events: &Events| {
            let events = events.iter();
            let recent = events.filter(|(_, (_, mark))| mark.is_since(since, origin));
            let recent = recent.map(|(digest, (at, _))| event(now, *digest, *at));
            recent.take(MAX_ITEMS_PER_MESSAGE / 4).collect()
        };
        let mut evidence = Evidence {
            vindications: recent(&self.vindications),
            trials: recent(&self.trials),
            ..Evidence::default()
        };
        let after = self.repeated.take();
        let (before, rest): (Vec<_>, Vec<_>) = self
            .crashes
            .iter()
            .filter(|(_, record)| record.mark.is_since(since, origin))
            .partition(|(server, _)| after.as_ref().is_some_and(|after| *server <= after));
        for (server, record) in rest.into_iter().chain(before) {
            let is_first = evidence.crashes.is_empty();
            if !is_first && evidence.len() + record.runs.len() > MAX_ITEMS_PER_MESSAGE {
                break;
            }
            evidence.crashes.push(crash(now, server, record));
            self.repeated = Some(server.clone());
        }
        evidence
    }
}

/// Merges events and returns those that were not known: less than `interval` after a known one, it may
/// be the same with another estimate of its time. Of several about one request, the latest is kept.
fn merge_events(
    known: &mut Events,
    now: Timestamp,
    events: Vec<Event>,
    mark: Mark,
    interval: Duration,
) -> Vec<Event> {
    let events = events.into_iter().filter(|event| event.age < LIFETIME);
    events
        .filter(|event| {
            let at = now.saturating_sub(event.age);
            match known.get_mut(&event.digest) {
                Some((known_at, _)) if at < *known_at + interval => {
                    *known_at = (*known_at).max(at);
                    false
                }
                _ => {
                    known.insert(event.digest, (at, mark));
                    true
                }
            }
        })
        .collect()
}

/// Removes events if there are too many: those about unknown requests first, then the oldest.
fn bound_events(events: &mut Events, crashes: &BTreeMap<Server, CrashRecord>) {
    if events.len() > MAX_EVENTS {
        let runs = crashes.values().flat_map(|crash| &crash.runs);
        let known: Set<_> = runs
            .flat_map(|(digest, run)| [*digest, run.target])
            .collect();
        let mut order: Vec<_> = events
            .iter()
            .map(|(digest, (at, _))| (known.contains(digest), *at, *digest))
            .collect();
        order.sort_unstable();
        for (_, _, digest) in order.into_iter().take(MAX_EVENTS / 16) {
            events.remove(&digest);
        }
    }
}

fn new_event(digest: Digest) -> Event {
    let age = Duration::ZERO;
    Event { digest, age }
}

fn event(now: Timestamp, digest: Digest, at: Timestamp) -> Event {
    let age = now.saturating_sub(at);
    Event { digest, age }
}

fn crash(now: Timestamp, server: &Server, record: &CrashRecord) -> Crash {
    let runs = record.runs.iter().map(|(digest, run)| Run {
        digest: *digest,
        target: run.target,
        organisation: run.organisation.clone(),
        age: now.saturating_sub(run.started),
    });
    Crash {
        server: server.clone(),
        age: now.saturating_sub(record.at),
        runs: runs.collect(),
    }
}
