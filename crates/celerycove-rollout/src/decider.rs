//! Decides, at the leader of control, how much traffic the new version gets and how a rollout ends.

use std::{collections::BTreeSet, fmt, sync::Arc, time::Duration};

use celerycove_types::{Timestamp, id};

use crate::{
    lease::{LIFETIME, Lease, Share},
    order::{Revision, Rollout},
    report::{INTERVAL, Report, Tally},
    statistics::{Comparison, Finding},
};

mod ledger;
mod schedule;

use ledger::Ledger;
use schedule::{Gate, Schedule};

/// Interval at which the elapsed time is committed.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Answers of the new version for each step that a new leader skips.
const RESUMED_ANSWERS: u64 = 10;
/// Longest time from a request until the leases reflect its answer, for answers within 400 ms.
const REPORT_LOOP: Duration = Duration::from_secs(2);
/// Fraction of an alarm's threshold from which the next step waits. Three bad answers reach 0.6;
/// waiting for them to be outweighed would take seconds at a small share.
const MAX_SUSPICION: f64 = 0.65;
/// Fewest requests by which a version is judged to leave requests unanswered.
const UNRESPONSIVE_REQUESTS: u64 = 10;

/// Bounds from the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Largest share of a service's requests that a bad version may receive.
    pub max_share: f64,
    /// Requests that a bad version may receive beyond that share.
    pub slack: u32,
    /// Time after its fiftieth bad answer by which a bad version gets no more requests.
    pub rollback: Duration,
}

/// What to send to the entries, and what to commit.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Lease for all connected entries.
    pub lease: Lease,
    /// Command to commit, repeated with every step until the rollout ends.
    pub command: Option<Decision>,
}

/// A command for the committed state.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Time since the order has advanced to this.
    Progress(Duration),
    /// End the rollout as completed.
    Complete,
    /// End the rollout as rolled back.
    RollBack(Reason),
}

/// Why a rollout is rolled back.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// The new version gives more bad answers than the old ones.
    Worse {
        /// The route concerned; `None` for all routes together.
        route: Option<Arc<str>>,
        /// Answers of the new version.
        answered: u64,
        /// Bad ones among them.
        bad: u64,
        /// Bad ones that the old version's rate explains.
        expected: f64,
    },
    /// The number of bad answers beyond what the old version's rate explains reached its limit.
    Excess {
        /// Bad answers of the new version.
        bad: u64,
        /// Bad ones that the old version's rate explains.
        expected: f64,
    },
    /// The deadline passed before the rollout was complete.
    Deadline {
        /// Ready backend servers of the new version.
        ready: usize,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Worse {
                route,
                answered,
                bad,
                expected,
            } => write!(
                f,
                "{bad} of {answered} answers were bad on {}, expected {expected:.1}",
                route.as_deref().unwrap_or("all routes")
            ),
            Self::Excess { bad, expected } => {
                write!(f, "{bad} bad answers in total, expected {expected:.1}")
            }
            Self::Deadline { ready } => {
                write!(f, "not complete at the deadline, {ready} new servers ready")
            }
        }
    }
}

/// State of one running rollout at the leader.
#[derive(Debug)]
pub struct Decider {
    service: Arc<str>,
    revision: Revision,
    duration: Duration,
    options: Options,
    started_at: Timestamp,
    elapsed_at_start: Duration,
    progress: Duration,
    ledger: Ledger,
    comparison: Comparison,
    schedule: Schedule,
    /// Requests and answers of the new version when the present step began.
    step_base: Tally,
    share: Share,
    end: Option<Decision>,
}

impl Decider {
    /// Continues a rollout of `service` from its committed elapsed time.
    #[must_use]
    pub fn new(now: Timestamp, service: Arc<str>, rollout: &Rollout, options: Options) -> Self {
        Self {
            service,
            revision: rollout.revision,
            duration: rollout.duration,
            options,
            started_at: now,
            elapsed_at_start: rollout.elapsed,
            progress: rollout.elapsed,
            ledger: Ledger::new(now),
            comparison: Comparison::default(),
            schedule: Schedule::new(rollout.duration),
            step_base: Tally::default(),
            share: Share::ZERO,
            end: None,
        }
    }

    /// Merges an entry's report. Counts are cumulative for one boot of one entry, so a lost, repeated
    /// or delayed report does no harm. A report of another service or revision is ignored.
    pub fn record(&mut self, now: Timestamp, entry: &id::Process, report: &Report) {
        if report.service == self.service && report.revision == self.revision {
            self.ledger.record(now, entry, report, &mut self.comparison);
        }
    }

    /// Takes a step. `entries` are those connected now, `ready` counts the ready backend servers of
    /// the new version. An end, once returned, is returned by every later step.
    #[must_use]
    pub fn step(&mut self, now: Timestamp, entries: &BTreeSet<id::Process>, ready: usize) -> Step {
        let elapsed = self.elapsed(now);
        self.ledger.connect(now, entries);
        let finding = self.comparison.evaluate(now);
        if self.end.is_none() {
            if let Some(finding) = finding {
                self.end = Some(Decision::RollBack(self.reason(finding)));
            } else if elapsed >= self.duration {
                self.end = Some(Decision::RollBack(Reason::Deadline { ready }));
            } else if self.is_complete(now, entries, ready) {
                self.end = Some(Decision::Complete);
            }
        }
        self.share = match &self.end {
            Some(Decision::Complete) => Share::FULL,
            Some(_) => Share::ZERO,
            None => self.next_share(now, entries, ready),
        };
        let command = self.end.clone().or_else(|| {
            (elapsed >= self.progress + PROGRESS_INTERVAL).then(|| {
                self.progress = elapsed;
                Decision::Progress(elapsed)
            })
        });
        Step {
            lease: Lease {
                service: Arc::clone(&self.service),
                revision: self.revision,
                share: self.share,
                lasts: LIFETIME,
            },
            command,
        }
    }

    /// Returns the share that is granted now.
    #[must_use]
    pub fn share(&self) -> Share {
        self.share
    }

    /// Returns what the decision rests on, for log lines.
    #[must_use]
    pub fn evidence(&self, now: Timestamp) -> Evidence {
        let (old, new) = (self.ledger.old(), self.ledger.new_version());
        let total = self.comparison.total();
        Evidence {
            new_sent: new.sent,
            all_sent: new.sent.saturating_add(old.sent),
            answered: total.answered,
            bad: total.bad,
            expected: self.comparison.expected(),
            suspicion: self.comparison.suspicion(),
            elapsed: self.elapsed(now),
        }
    }

    fn elapsed(&self, now: Timestamp) -> Duration {
        self.elapsed_at_start + now.saturating_sub(self.started_at)
    }

    fn reason(&self, finding: Finding) -> Reason {
        match finding {
            Finding::Worse {
                route,
                count,
                expected,
            } => Reason::Worse {
                route,
                answered: count.answered,
                bad: count.bad,
                expected,
            },
            Finding::Excess => Reason::Excess {
                bad: self.comparison.total().bad,
                expected: self.comparison.expected(),
            },
        }
    }

    fn is_complete(&self, now: Timestamp, entries: &BTreeSet<id::Process>, ready: usize) -> bool {
        ready > 0
            && self.share == Share::FULL
            && self.schedule.is_full()
            && self.gate(now, entries) == Gate::Open
            && self.ledger.has_left_old(now, entries)
    }

    fn next_share(
        &mut self,
        now: Timestamp,
        entries: &BTreeSet<id::Process>,
        ready: usize,
    ) -> Share {
        if ready == 0 || !self.has_collected(now, entries) {
            return Share::ZERO;
        }
        let gate = self.gate(now, entries);
        let elapsed = self.elapsed(now);
        if !self.elapsed_at_start.is_zero() {
            let most = self.most_resumed(now, gate);
            self.schedule.resume(elapsed, most);
        }
        if self.schedule.advance(elapsed, self.ledger.peak(now), gate) {
            self.step_base = self.ledger.new_version();
        }
        let share = self.schedule.share();
        if self.schedule.is_near_end() {
            return Share::from_fraction(share);
        }
        Share::from_fraction(share.min(self.ledger.allowed_share(now, &self.options)))
    }

    /// Returns the step up to which the answers so far allow a new leader to resume.
    fn most_resumed(&self, now: Timestamp, gate: Gate) -> usize {
        let answered = self.ledger.new_version().answered;
        if self.comparison.suspicion() >= MAX_SUSPICION || gate == Gate::Shut {
            0
        } else if self.ledger.peak(now) * REPORT_LOOP.as_secs_f64()
            < f64::from(self.options.slack) / 2.0
        {
            usize::MAX
        } else {
            usize::try_from(answered / RESUMED_ANSWERS).unwrap_or(usize::MAX)
        }
    }

    /// Returns whether the counts of the entries are known, after a change of the leader.
    fn has_collected(&self, now: Timestamp, entries: &BTreeSet<id::Process>) -> bool {
        let age = now.saturating_sub(self.started_at);
        age >= 2 * INTERVAL && (self.ledger.have_reported(entries) || age >= 5 * INTERVAL)
    }

    fn gate(&self, now: Timestamp, entries: &BTreeSet<id::Process>) -> Gate {
        let (old, new) = (self.ledger.old(), self.ledger.new_version());
        if is_unresponsive(old, new) {
            return Gate::Shut;
        }
        let step = new.since(self.step_base);
        // Slow answers arrive last, so the first ones do not represent the step.
        let has_answers = step.answered.saturating_mul(10) >= step.sent.saturating_mul(7);
        let is_known = self.ledger.is_in_force(now, entries, self.share);
        if has_answers && is_known && self.comparison.suspicion() < MAX_SUSPICION {
            Gate::Open
        } else {
            Gate::Waiting
        }
    }
}

/// Returns whether the new version leaves far more requests unanswered than the old one. Such
/// requests give no answer that could be counted as bad.
fn is_unresponsive(old: Tally, new: Tally) -> bool {
    #[allow(clippy::cast_precision_loss)]
    let answered = |tally: Tally| tally.answered as f64 / tally.sent.max(1) as f64;
    new.sent >= UNRESPONSIVE_REQUESTS && answered(new) < 0.3 * answered(old)
}

/// What a decision rests on.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Evidence {
    /// Requests sent to the new version, as reported.
    pub new_sent: u64,
    /// Requests sent to all versions, as reported.
    pub all_sent: u64,
    /// Answers of the new version.
    pub answered: u64,
    /// Bad answers of the new version.
    pub bad: u64,
    /// Bad answers that the old version's rate explains.
    pub expected: f64,
    /// The largest test statistic, as a fraction of its threshold.
    pub suspicion: f64,
    /// Time since the order.
    pub elapsed: Duration,
}
