//! The order of a queue: fair between organisations, then by whole programs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use celerycove_types::{Timestamp, id};

/// A request that waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Names the dispatch; unique for ever.
    pub id: id::Request,
    /// For whom it runs.
    pub organisation: id::Organisation,
    /// The organisation's weight.
    pub weight: u32,
    /// Its program.
    pub program: Option<id::Program>,
    /// Tokens that the whole program has spent before.
    pub attained: id::Tokens,
    /// The most it is expected to cost, in tokens or units of engine time.
    pub cost: f64,
    /// When it must have started, if it must.
    pub deadline: Option<Timestamp>,
    /// Whether it must not be repeated.
    pub once: bool,
}

#[derive(Debug)]
struct Waiting {
    job: Job,
    since: Timestamp,
}

/// One organisation's part of the queue.
#[derive(Debug, Default)]
struct Part {
    waiting: Vec<Waiting>,
    /// Weighted cost served, comparable between organisations that are busy at the same time.
    served: f64,
    running: u32,
}

/// The longer a request has waited, the less its program's past counts: by half each time.
const AGEING: Duration = Duration::from_secs(2);

/// Requests waiting, by organisation.
#[derive(Debug, Default)]
pub struct Line {
    parts: BTreeMap<id::Organisation, Part>,
    ids: BTreeSet<id::Request>,
    /// The service that the last organisation chosen had had; a newcomer starts from here.
    floor: f64,
}

impl Line {
    /// How many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Whether a request waits.
    #[must_use]
    pub fn contains(&self, id: &id::Request) -> bool {
        self.ids.contains(id)
    }

    /// Adds a request.
    pub fn push(&mut self, job: Job, now: Timestamp) {
        let floor = self.floor;
        let part = self.parts.entry(job.organisation.clone()).or_default();
        if part.waiting.is_empty() && part.running == 0 {
            // Who was away gains no claim to the time that others used meanwhile.
            part.served = part.served.max(floor);
        }
        self.ids.insert(job.id.clone());
        part.waiting.push(Waiting { job, since: now });
    }

    /// Takes the request that runs next.
    pub fn pop(&mut self, now: Timestamp) -> Option<Job> {
        let part = self
            .parts
            .values_mut()
            .filter(|part| !part.waiting.is_empty())
            .min_by(|a, b| a.served.total_cmp(&b.served))?;
        self.floor = self.floor.max(part.served);
        let next = next_of(&part.waiting, now)?;
        let job = part.waiting.remove(next).job;
        part.served += job.cost / f64::from(job.weight.max(1));
        part.running += 1;
        self.ids.remove(&job.id);
        Some(job)
    }

    /// Corrects the account of a request that ended with another cost than expected.
    pub fn settle(&mut self, job: &Job, cost: f64) {
        if let Some(part) = self.parts.get_mut(&job.organisation) {
            part.running = part.running.saturating_sub(1);
            part.served += (cost - job.cost) / f64::from(job.weight.max(1));
        }
        self.parts.retain(|_, part| {
            part.running > 0 || !part.waiting.is_empty() || part.served > self.floor
        });
    }

    /// Removes a request.
    pub fn remove(&mut self, id: &id::Request) -> Option<Job> {
        for part in self.parts.values_mut() {
            if let Some(at) = part.waiting.iter().position(|w| w.job.id == *id) {
                self.ids.remove(id);
                return Some(part.waiting.remove(at).job);
            }
        }
        None
    }

    /// Removes the latest request of the organisation that has most waiting for its weight.
    pub fn shed(&mut self) -> Option<Job> {
        let part = self
            .parts
            .values_mut()
            .filter(|part| !part.waiting.is_empty())
            .max_by(|a, b| crowding(a).total_cmp(&crowding(b)))?;
        let job = part.waiting.pop()?.job;
        self.ids.remove(&job.id);
        Some(job)
    }

    /// Removes everything.
    pub fn drain(&mut self) -> Vec<Job> {
        self.ids.clear();
        self.parts
            .values_mut()
            .flat_map(|part| part.waiting.drain(..))
            .map(|waiting| waiting.job)
            .collect()
    }

    /// Removes the requests whose deadline has passed.
    pub fn expired(&mut self, now: Timestamp) -> Vec<Job> {
        let mut expired = Vec::new();
        for part in self.parts.values_mut() {
            let late = |w: &mut Waiting| w.job.deadline.is_some_and(|d| d <= now);
            expired.extend(part.waiting.extract_if(.., late).map(|w| w.job));
        }
        for job in &expired {
            self.ids.remove(&job.id);
        }
        expired
    }

    /// The cost of all that waits.
    #[must_use]
    pub fn cost(&self) -> f64 {
        self.parts
            .values()
            .flat_map(|part| &part.waiting)
            .map(|waiting| waiting.job.cost)
            .sum()
    }
}

fn crowding(part: &Part) -> f64 {
    let weight = part.waiting.last().map_or(1, |w| w.job.weight.max(1));
    let waiting = u32::try_from(part.waiting.len()).unwrap_or(u32::MAX);
    f64::from(waiting) / f64::from(weight)
}

/// Chooses within an organisation the program that has had least, discounted by waiting.
fn next_of(waiting: &[Waiting], now: Timestamp) -> Option<usize> {
    let urgency = |w: &Waiting| {
        let waited = now.saturating_sub(w.since).as_secs_f64() / AGEING.as_secs_f64();
        let attained = u32::try_from(w.job.attained).unwrap_or(u32::MAX);
        (f64::from(attained) + w.job.cost) / waited.exp2()
    };
    (0..waiting.len()).min_by(|a, b| {
        let (a, b) = (&waiting[*a], &waiting[*b]);
        urgency(a)
            .total_cmp(&urgency(b))
            .then_with(|| a.since.cmp(&b.since))
            .then_with(|| a.job.id.cmp(&b.job.id))
    })
}
