//! What the entries have reported, and what they may send before their next reports.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use celerycove_types::{Timestamp, id};

use crate::{
    decider::Options,
    lease::{LIFETIME, Share},
    report::{INTERVAL, Report, Tally},
    statistics::{Comparison, Count},
};

/// Time that a lease or a report may take on its way.
pub const DELAY: Duration = Duration::from_millis(400);
/// Half-life of the remembered peak of an entry's rate of requests.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(3);
/// Factor by which an entry's rate may exceed its recent peak.
const PEAK_MARGIN: f64 = 1.25;
/// Earlier boots of an entry whose late reports are recognised.
const MAX_RETIRED: usize = 4;
/// Routes counted separately for one entry; the others are combined.
const MAX_ROUTES: usize = 256;
/// Age up to which a report describes an entry's present state.
const FRESH: Duration = Duration::from_secs(1);

/// The state of one entry, as reported.
#[derive(Debug, Default)]
struct Entry {
    boot: Option<u64>,
    retired: VecDeque<u64>,
    routes: BTreeMap<Arc<str>, (Tally, Tally)>,
    reported_at: Option<Timestamp>,
    share_in_force: Share,
    old_in_flight: u32,
    /// Recent peak of requests per second.
    peak: f64,
    /// When it was last known to be connected, so that it may have received a lease.
    connected_at: Option<Timestamp>,
}

impl Entry {
    fn is_fresh(&self, now: Timestamp) -> bool {
        self.reported_at.is_some_and(|at| at + FRESH >= now)
    }

    fn peak(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.reported_at.unwrap_or(now));
        self.peak * 0.5_f64.powf(age.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64())
    }

    /// Longest time whose requests have not been reported when a lease sent now has expired.
    fn unreported(&self, started_at: Timestamp) -> Duration {
        let Some(connected_at) = self.connected_at else {
            return Duration::ZERO;
        };
        let known_until = self
            .reported_at
            .map_or(started_at, |at| at.saturating_sub(DELAY));
        (connected_at + DELAY + LIFETIME).saturating_sub(known_until)
    }
}

/// Cumulative counts of all entries.
#[derive(Debug)]
pub struct Ledger {
    started_at: Timestamp,
    entries: BTreeMap<id::Process, Entry>,
    old: Tally,
    new: Tally,
}

impl Ledger {
    pub fn new(now: Timestamp) -> Self {
        Self {
            started_at: now,
            entries: BTreeMap::new(),
            old: Tally::default(),
            new: Tally::default(),
        }
    }

    pub fn old(&self) -> Tally {
        self.old
    }

    pub fn new_version(&self) -> Tally {
        self.new
    }

    /// Merges a report and passes the growth of its counts to `comparison`.
    pub fn record(
        &mut self,
        now: Timestamp,
        name: &id::Process,
        report: &Report,
        comparison: &mut Comparison,
    ) {
        let entry = self.entries.entry(Arc::clone(name)).or_default();
        if entry.retired.contains(&report.boot) {
            return;
        }
        if let Some(boot) = entry.boot.filter(|boot| *boot != report.boot) {
            if entry.retired.len() == MAX_RETIRED {
                entry.retired.pop_front();
            }
            entry.retired.push_back(boot);
            entry.routes.clear();
        }
        entry.boot = Some(report.boot);
        let mut sent = 0_u64;
        for tally in &report.routes {
            let is_known = entry.routes.contains_key(&tally.route);
            if !is_known && entry.routes.len() >= MAX_ROUTES {
                continue;
            }
            let (old, new) = entry.routes.entry(Arc::clone(&tally.route)).or_default();
            let (old_growth, new_growth) = (tally.old.since(*old), tally.new.since(*new));
            *old = old.max(tally.old);
            *new = new.max(tally.new);
            self.old.add(old_growth);
            self.new.add(new_growth);
            sent = sent
                .saturating_add(old_growth.sent)
                .saturating_add(new_growth.sent);
            comparison.record(&tally.route, count(old_growth), count(new_growth));
        }
        let age = now.saturating_sub(entry.reported_at.unwrap_or(self.started_at));
        entry.peak = entry
            .peak(now)
            .max(float(sent) / age.max(INTERVAL).as_secs_f64());
        entry.reported_at = Some(now);
        entry.share_in_force = report.share_in_force;
        entry.old_in_flight = report.old_in_flight;
    }

    /// Notes which entries are connected now. An entry that was disconnected may have restarted, so
    /// its share is in force again only when it reports it.
    pub fn connect(&mut self, now: Timestamp, entries: &BTreeSet<id::Process>) {
        for (name, entry) in &mut self.entries {
            if !entries.contains(name) {
                entry.share_in_force = Share::ZERO;
            }
        }
        for name in entries {
            self.entries
                .entry(Arc::clone(name))
                .or_default()
                .connected_at = Some(now);
        }
    }

    /// Returns whether every connected entry has reported.
    pub fn have_reported(&self, entries: &BTreeSet<id::Process>) -> bool {
        self.all(entries, |entry| entry.reported_at.is_some())
    }

    /// Returns whether `share` is in force at every connected entry, by a recent report.
    pub fn is_in_force(
        &self,
        now: Timestamp,
        entries: &BTreeSet<id::Process>,
        share: Share,
    ) -> bool {
        self.all(entries, |entry| {
            entry.is_fresh(now) && entry.share_in_force >= share
        })
    }

    /// Returns whether no request can reach the old versions any more: the full share is in force at
    /// every connected entry, none of their requests is in flight on the old versions, and the
    /// leases of all others have expired.
    pub fn has_left_old(&self, now: Timestamp, entries: &BTreeSet<id::Process>) -> bool {
        !entries.is_empty()
            && self.is_in_force(now, entries, Share::FULL)
            && self.all(entries, |entry| entry.old_in_flight == 0)
            && self.entries.iter().all(|(name, entry)| {
                entries.contains(name)
                    || entry
                        .connected_at
                        .is_none_or(|at| at + DELAY + LIFETIME < now)
            })
    }

    /// Returns the recent peak rate of the service, in requests per second.
    pub fn peak(&self, now: Timestamp) -> f64 {
        self.entries.values().map(|entry| entry.peak(now)).sum()
    }

    /// Returns the largest share that keeps the requests sent to the new version, with those that
    /// outstanding leases can add, within the bound for the requests so far.
    pub fn allowed_share(&self, now: Timestamp, options: &Options) -> f64 {
        let highest = self
            .entries
            .values()
            .map(|entry| entry.peak(now))
            .fold(0.0, f64::max);
        let unreported: f64 = self
            .entries
            .values()
            .map(|entry| {
                let peak = entry.reported_at.map_or(highest, |_| entry.peak(now));
                PEAK_MARGIN * peak * entry.unreported(self.started_at).as_secs_f64()
            })
            .sum();
        if unreported < 1.0 {
            return 1.0;
        }
        let all = float(self.old.sent.saturating_add(self.new.sent));
        // A fifth of the slack is kept for programs whose requests come in lumps.
        let allowed = options.max_share * (all + unreported) + 0.8 * f64::from(options.slack);
        (allowed - float(self.new.sent)) / unreported
    }

    fn all(&self, names: &BTreeSet<id::Process>, test: impl Fn(&Entry) -> bool) -> bool {
        names
            .iter()
            .all(|name| self.entries.get(name).is_some_and(&test))
    }
}

fn count(tally: Tally) -> Count {
    Count {
        answered: tally.answered,
        bad: tally.bad(),
    }
}

#[allow(clippy::cast_precision_loss)]
fn float(count: u64) -> f64 {
    count as f64
}
