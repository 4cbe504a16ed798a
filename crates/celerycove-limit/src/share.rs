//! Rate and burst divided among entries by shares that expire.
//!
//! Tokens lent one by one (the `owner` module) need their owner several times a second; shares need
//! it once in a while, and an entry goes on alone through a change of owner. The [`Allotter`]
//! divides the whole among the entries by their demand; an [`Allotment`] is one entry's bucket.
//! Shares that may be in force never add up to more than the whole.

use std::{collections::BTreeMap, time::Duration};

use celerycove_types::{Timestamp, Violation, id};
use serde::{Deserialize, Serialize};

/// Parts of the whole, in millionths.
pub type Part = u32;
/// The whole.
pub const WHOLE: Part = 1_000_000;
/// How long a share lasts from the time it was asked for. An entry survives an election and a lost
/// owner with it; until it ends, what a silent entry holds can be given to nobody else.
pub const LASTS: Duration = Duration::from_secs(4);
/// How much longer the allotter counts a share than its entry uses it, since clocks run at slightly
/// different rates and an answer takes time.
const MARGIN: f64 = 1.1;
/// The part of the whole that is divided evenly, whatever the demand, so that an entry whose
/// traffic begins can serve at once.
const EVEN: f64 = 0.25;

/// What one entry asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The share held now.
    pub held: Part,
    /// Requests that wanted to pass lately, a second.
    pub demand: f64,
}

/// What the allotter counts for one entry and organisation.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct Grant {
    /// The most that the entry may be using.
    part: Part,
    until: Timestamp,
    demand: f64,
}

/// Divides allowances among entries.
#[derive(Debug, Clone)]
pub struct Allotter {
    /// Until then, shares of an earlier allotter may be in force that nobody has reported yet.
    settled: Timestamp,
    /// When each entry reported last.
    reported: BTreeMap<id::Process, Timestamp>,
    grants: BTreeMap<(id::Organisation, id::Process), Grant>,
}

impl Allotter {
    /// Begins to divide; an earlier allotter may have granted until now.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            settled: now + LASTS.mul_f64(MARGIN),
            reported: BTreeMap::new(),
            grants: BTreeMap::new(),
        }
    }

    /// Answers one entry's report with its new shares. `entries` are all that may hold any.
    pub fn divide<'a>(
        &mut self,
        now: Timestamp,
        entry: &id::Process,
        entries: impl IntoIterator<Item = &'a id::Process>,
        reports: &BTreeMap<id::Organisation, Report>,
    ) -> BTreeMap<id::Organisation, Part> {
        self.reported.insert(entry.clone(), now);
        let entries: Vec<&id::Process> = entries.into_iter().collect();
        let complete = now >= self.settled
            || entries
                .iter()
                .all(|entry| self.reported.contains_key(*entry));
        reports
            .iter()
            .map(|(organisation, report)| {
                let part = self.grant(now, entry, organisation, report, entries.len(), complete);
                (organisation.clone(), part)
            })
            .collect()
    }

    fn grant(
        &mut self,
        now: Timestamp,
        entry: &id::Process,
        organisation: &id::Organisation,
        report: &Report,
        entries: usize,
        complete: bool,
    ) -> Part {
        let mut taken: u64 = 0;
        let mut demand = 0.0;
        for ((_, name), grant) in self.of(organisation) {
            if name != entry && grant.until > now {
                taken += u64::from(grant.part);
                demand += grant.demand;
            }
        }
        let free = u64::from(WHOLE).saturating_sub(taken);
        // While others may hold shares unseen, an entry keeps what it reports and gets no more.
        let most = if complete {
            Part::try_from(free).unwrap_or(WHOLE)
        } else {
            report.held.min(Part::try_from(free).unwrap_or(WHOLE))
        };
        let wanted = wanted(report.demand, demand, entries.max(1));
        let part = wanted.min(most);
        let grant = Grant {
            // Until the entry has heard of a smaller share it uses the larger one.
            part: part.max(report.held),
            until: now + LASTS.mul_f64(MARGIN),
            demand: report.demand,
        };
        self.grants
            .insert((organisation.clone(), entry.clone()), grant);
        part
    }

    fn of(
        &self,
        organisation: &id::Organisation,
    ) -> impl Iterator<Item = (&(id::Organisation, id::Process), &Grant)> {
        let from = (organisation.clone(), id::Process::from(""));
        let organisation = organisation.clone();
        self.grants
            .range(from..)
            .take_while(move |((name, _), _)| *name == organisation)
    }

    /// Forgets shares that have run out.
    pub fn forget(&mut self, now: Timestamp) {
        self.grants.retain(|_, grant| grant.until > now);
    }

    /// Checks that what was granted by this allotter adds up to the whole at most.
    ///
    /// # Errors
    ///
    /// Returns the broken invariant.
    pub fn check(&self, now: Timestamp) -> Result<(), Violation> {
        let mut sums: BTreeMap<&id::Organisation, u64> = BTreeMap::new();
        for ((organisation, _), grant) in &self.grants {
            if grant.until > now {
                *sums.entry(organisation).or_default() += u64::from(grant.part);
            }
        }
        for (organisation, sum) in sums {
            Violation::unless(sum <= u64::from(WHOLE), "shares-within-whole", || {
                format!("{organisation}: {sum}")
            })?;
        }
        Ok(())
    }
}

/// The part that an entry should have: some evenly, the rest by demand.
fn wanted(own: f64, others: f64, entries: usize) -> Part {
    #[allow(clippy::cast_precision_loss)]
    let even = 1.0 / entries as f64;
    let by_demand = if own + others > 0.0 {
        own / (own + others)
    } else {
        even
    };
    let part = (EVEN * even + (1.0 - EVEN) * by_demand) * f64::from(WHOLE);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let part = part as Part;
    part.min(WHOLE)
}

/// Over how long demand is averaged: long enough to smooth single requests, short enough to follow
/// traffic that moves to another entry.
const DEMAND_SPAN: f64 = 1.5;

/// One entry's bucket of one organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct Allotment {
    rate: f64,
    burst: f64,
    part: Part,
    until: Timestamp,
    level: f64,
    at: Timestamp,
    demand: f64,
}

impl Allotment {
    /// Begins without a share.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            part: 0,
            until: now,
            level: 0.0,
            at: now,
            demand: 0.0,
        }
    }

    /// Tells what the organisation is owed over all entries.
    pub fn entitle(&mut self, now: Timestamp, rate: f64, burst: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(self.room());
    }

    /// Takes a share that was asked for at `asked`.
    pub fn take(&mut self, now: Timestamp, asked: Timestamp, part: Part) {
        self.refill(now);
        self.part = part;
        self.until = asked + LASTS;
        self.level = self.level.min(self.room());
    }

    /// Spends one token, if there is one.
    pub fn spend(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        let passes = self.level >= 1.0 && now < self.until;
        if passes {
            self.level -= 1.0;
        }
        passes
    }

    /// Notes that a request wanted to pass, whether it does or not.
    pub fn want(&mut self, now: Timestamp) {
        self.refill(now);
        self.demand += 1.0 / DEMAND_SPAN;
    }

    /// Whether the share lasts.
    #[must_use]
    pub fn is_held(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// When the next token comes, if nothing else changes.
    #[must_use]
    pub fn next_token(&self) -> Duration {
        let rate = self.rate * f64::from(self.part) / f64::from(WHOLE);
        if rate <= 0.0 {
            return LASTS;
        }
        Duration::from_secs_f64(((1.0 - self.level) / rate).clamp(0.0, LASTS.as_secs_f64()))
    }

    /// What to report to the allotter.
    pub fn report(&mut self, now: Timestamp) -> Report {
        self.refill(now);
        Report {
            held: if now < self.until { self.part } else { 0 },
            demand: self.demand,
        }
    }

    /// The bucket's size: the share of the burst, but at least one token, without which nothing
    /// could ever pass.
    fn room(&self) -> f64 {
        (self.burst * f64::from(self.part) / f64::from(WHOLE)).max(1.0)
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.demand *= (-elapsed / DEMAND_SPAN).exp();
        let rate = self.rate * f64::from(self.part) / f64::from(WHOLE);
        self.level = (self.level + elapsed * rate).min(self.room());
    }
}
