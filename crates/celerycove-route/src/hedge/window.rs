//! Usual and extra work of the last 10 s.

use celerycove_types::Timestamp;

use super::Work;

/// Number of whole seconds that are kept besides the current one.
const SECONDS: u64 = 10;
const BUCKETS: usize = 11;

/// Work by the second in which it was recorded.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    second: u64,
    usual: Work,
    extra: Work,
}

/// The work of the last 10 s. Extra work counts until it is at least 10 s old and usual work until it is
/// at most 10 s old, so that the limit holds for the exact times.
#[derive(Debug, Clone, Default)]
pub(super) struct Window {
    buckets: [Bucket; BUCKETS],
}

impl Window {
    fn bucket(&mut self, now: Timestamp) -> &mut Bucket {
        let second = now.as_secs();
        let index = usize::try_from(second % (SECONDS + 1)).unwrap_or(0);
        let bucket = &mut self.buckets[index];
        if bucket.second != second {
            *bucket = Bucket {
                second,
                ..Bucket::default()
            };
        }
        bucket
    }

    pub(super) fn add_usual(&mut self, now: Timestamp, work: Work) {
        self.bucket(now).usual += work;
    }

    pub(super) fn add_extra(&mut self, now: Timestamp, work: Work) {
        self.bucket(now).extra += work;
    }

    /// Takes back extra work that was added at `added_at`.
    pub(super) fn remove_extra(&mut self, added_at: Timestamp, work: Work) {
        let second = added_at.as_secs();
        if let Some(bucket) = self.buckets.iter_mut().find(|b| b.second == second) {
            bucket.extra = bucket.extra.saturating_sub(work);
        }
    }

    /// Returns whether this much more extra work stays within a share of the usual work.
    pub(super) fn has_room(&self, now: Timestamp, work: Work, max_share: f64) -> bool {
        let (mut usual, mut extra) = (0, work);
        for bucket in &self.buckets {
            let age = now.as_secs().saturating_sub(bucket.second);
            if age < SECONDS {
                usual += bucket.usual;
            }
            if age <= SECONDS {
                extra += bucket.extra;
            }
        }
        float(extra) <= max_share * float(usual)
    }

    /// Returns whether no work of the last 10 s is recorded.
    pub(super) fn is_empty(&self, now: Timestamp) -> bool {
        let is_old = |bucket: &Bucket| now.as_secs().saturating_sub(bucket.second) > SECONDS;
        self.buckets
            .iter()
            .all(|bucket| is_old(bucket) || bucket.usual + bucket.extra == 0)
    }
}

/// Sums of ten seconds are far below the precision of a float.
#[allow(clippy::cast_precision_loss)]
fn float(work: Work) -> f64 {
    work as f64
}
