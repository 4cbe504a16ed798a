//! Requests that the entries of a fleet have in flight at each backend server.
//!
//! Among many entries, a response with a load report reaches each of them too rarely to tell how
//! busy a backend server is. So each entry reports its own requests in flight to a control instance
//! of its data centre, which sends the sum of its data centre to all entries.

use std::{collections::BTreeMap, time::Duration};

use celerycove_types::{Map, Timestamp, id};

/// Age from which an entry's report is ignored: several reports were lost.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Age from which a data centre's sum is ignored. Until another control instance takes over from a
/// lost one, the old sum is still closer to the truth than none.
const MAX_SUM_AGE: Duration = Duration::from_secs(3);

/// Numbers of requests in flight by backend server; those without any are left out.
pub type Counts = Vec<(id::Backend, u32)>;

/// Sums up the reports of the entries of one data centre.
#[derive(Debug, Default)]
pub struct Collector {
    reports: BTreeMap<id::Process, (Timestamp, Counts)>,
}

impl Collector {
    /// Records an entry's report, which replaces its earlier one.
    pub fn record(&mut self, now: Timestamp, entry: &id::Process, counts: Counts) {
        self.reports.insert(entry.clone(), (now, counts));
    }

    /// Returns the sum of the recent reports, or `None` if there are none.
    pub fn total(&mut self, now: Timestamp) -> Option<Counts> {
        self.reports
            .retain(|_, (at, _)| now.saturating_sub(*at) < MAX_REPORT_AGE);
        let mut total: BTreeMap<&id::Backend, u32> = BTreeMap::new();
        for (backend, count) in self.reports.values().flat_map(|(_, counts)| counts) {
            *total.entry(backend).or_default() += count;
        }
        let total = total.into_iter();
        (!self.reports.is_empty()).then(|| {
            total
                .map(|(backend, count)| (backend.clone(), count))
                .collect()
        })
    }
}

/// What an entry knows of the requests of all entries.
#[derive(Debug, Clone, Default)]
pub(super) struct Demand {
    by_data_centre: BTreeMap<id::DataCentre, (Timestamp, Map<id::Backend, u32>)>,
    /// What this entry reported last; the sum of its data centre contains it.
    reported: Map<id::Backend, u32>,
}

impl Demand {
    /// Records what this entry reports.
    pub(super) fn set_reported(&mut self, counts: &Counts) {
        self.reported = counts.iter().cloned().collect();
    }

    /// Merges the sum of a data centre, which replaces its earlier one.
    pub(super) fn merge(&mut self, now: Timestamp, data_centre: id::DataCentre, total: Counts) {
        let total = total.into_iter().collect();
        self.by_data_centre.insert(data_centre, (now, total));
    }

    /// Returns the requests that the other entries have in flight at a backend server. They are
    /// unknown without a recent sum of its own data centre, whose entries send it the most.
    pub(super) fn of_others(
        &self,
        now: Timestamp,
        backend: &id::Backend,
        data_centre: &id::DataCentre,
    ) -> Option<u32> {
        let is_recent = |at: Timestamp| now.saturating_sub(at) < MAX_SUM_AGE;
        let (at, _) = self.by_data_centre.get(data_centre)?;
        if !is_recent(*at) {
            return None;
        }
        let totals = self.by_data_centre.values();
        let total: u32 = totals
            .filter(|(at, _)| is_recent(*at))
            .filter_map(|(_, total)| total.get(backend))
            .sum();
        let own = self.reported.get(backend).copied().unwrap_or_default();
        Some(total.saturating_sub(own))
    }

    /// Returns how old the sum of a data centre is, if there is one.
    pub(super) fn age(&self, now: Timestamp, data_centre: &id::DataCentre) -> Option<Duration> {
        let (at, _) = self.by_data_centre.get(data_centre)?;
        Some(now.saturating_sub(*at))
    }
}
