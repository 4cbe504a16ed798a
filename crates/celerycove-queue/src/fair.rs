//! Weighted fair scheduling between organisations, least attained service first within each.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use celerycove_types::{Timestamp, id};

/// A request to be scheduled.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Identifies the dispatch; never reused.
    pub id: id::Request,
    /// The organisation that the request is accounted to.
    pub organisation: id::Organisation,
    /// The organisation's weight in fair sharing.
    pub weight: u32,
    /// The program (a series of related requests) that the request belongs to, if any.
    pub program: Option<id::Program>,
    /// Tokens that earlier requests of the same program have used.
    pub attained_tokens: id::Tokens,
    /// Upper estimate of the cost, in tokens or units of engine time.
    pub cost: f64,
    /// The latest time at which the request may start, if limited.
    pub deadline: Option<Timestamp>,
    /// Whether the request must be dispatched at most once.
    pub at_most_once: bool,
}

#[derive(Debug)]
struct QueuedJob {
    job: Job,
    enqueued_at: Timestamp,
}

/// The scheduling state of one organisation.
#[derive(Debug, Default)]
struct Flow {
    queued: Vec<QueuedJob>,
    /// Cost served, divided by weight; comparable between flows that are backlogged at the same
    /// time.
    weighted_service: f64,
    running: u32,
}

/// The time in the queue after which a job's score halves, so that jobs of expensive programs
/// don't starve.
const AGEING_HALF_LIFE: Duration = Duration::from_secs(2);

/// Queued requests, grouped by organisation.
#[derive(Debug, Default)]
pub struct Scheduler {
    flows: BTreeMap<id::Organisation, Flow>,
    queued_ids: BTreeSet<id::Request>,
    /// The weighted service of the flow that was last selected; a flow that becomes active starts
    /// from here.
    virtual_time: f64,
}

impl Scheduler {
    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queued_ids.len()
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queued_ids.is_empty()
    }

    /// Returns whether a request is queued.
    #[must_use]
    pub fn contains(&self, id: &id::Request) -> bool {
        self.queued_ids.contains(id)
    }

    /// Returns the number of queued requests of an organisation.
    #[must_use]
    pub fn queued_of(&self, organisation: &str) -> usize {
        self.flows
            .get(organisation)
            .map_or(0, |flow| flow.queued.len())
    }

    /// Returns the number of organisations with queued requests.
    #[must_use]
    pub fn backlogged(&self) -> usize {
        let flows = self.flows.values();
        flows.filter(|flow| !flow.queued.is_empty()).count()
    }

    /// Adds a request. `now` may lie in the past for a request that keeps an earlier place.
    pub fn push(&mut self, job: Job, now: Timestamp) {
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(job.organisation.clone()).or_default();
        if flow.queued.is_empty() && flow.running == 0 {
            // An idle flow earns no credit for the capacity that others used in the meantime.
            flow.weighted_service = flow.weighted_service.max(virtual_time);
        }
        self.queued_ids.insert(job.id.clone());
        flow.queued.push(QueuedJob {
            job,
            enqueued_at: now,
        });
    }

    /// Removes and returns the request to run next.
    pub fn pop(&mut self, now: Timestamp) -> Option<Job> {
        let flow = self
            .flows
            .values_mut()
            .filter(|flow| !flow.queued.is_empty())
            .min_by(|a, b| a.weighted_service.total_cmp(&b.weighted_service))?;
        self.virtual_time = self.virtual_time.max(flow.weighted_service);
        let next = next_index(&flow.queued, now)?;
        let job = flow.queued.remove(next).job;
        flow.weighted_service += job.cost / f64::from(job.weight.max(1));
        flow.running += 1;
        self.queued_ids.remove(&job.id);
        Some(job)
    }

    /// Records the end of a running request and charges its actual cost instead of the estimate.
    pub fn finish(&mut self, job: &Job, cost: f64) {
        if let Some(flow) = self.flows.get_mut(&job.organisation) {
            flow.running = flow.running.saturating_sub(1);
            flow.weighted_service += (cost - job.cost) / f64::from(job.weight.max(1));
        }
        self.flows.retain(|_, flow| {
            flow.running > 0 || !flow.queued.is_empty() || flow.weighted_service > self.virtual_time
        });
    }

    /// Removes a queued request.
    pub fn remove(&mut self, id: &id::Request) -> Option<Job> {
        for flow in self.flows.values_mut() {
            if let Some(at) = flow.queued.iter().position(|q| q.job.id == *id) {
                self.queued_ids.remove(id);
                return Some(flow.queued.remove(at).job);
            }
        }
        None
    }

    /// Removes the newest request of the organisation with the largest backlog for its weight.
    pub fn shed(&mut self) -> Option<Job> {
        let flow = self
            .flows
            .values_mut()
            .filter(|flow| !flow.queued.is_empty())
            .max_by(|a, b| relative_backlog(a).total_cmp(&relative_backlog(b)))?;
        let job = flow.queued.pop()?.job;
        self.queued_ids.remove(&job.id);
        Some(job)
    }

    /// Removes all queued requests.
    pub fn drain(&mut self) -> Vec<Job> {
        self.queued_ids.clear();
        self.flows
            .values_mut()
            .flat_map(|flow| flow.queued.drain(..))
            .map(|queued| queued.job)
            .collect()
    }

    /// Removes the requests whose deadline has passed.
    pub fn drain_expired(&mut self, now: Timestamp) -> Vec<Job> {
        let mut expired = Vec::new();
        for flow in self.flows.values_mut() {
            let is_expired = |q: &mut QueuedJob| q.job.deadline.is_some_and(|d| d <= now);
            expired.extend(flow.queued.extract_if(.., is_expired).map(|q| q.job));
        }
        for job in &expired {
            self.queued_ids.remove(&job.id);
        }
        expired
    }

    /// Returns the estimated cost of all queued requests.
    #[must_use]
    pub fn cost(&self) -> f64 {
        self.flows
            .values()
            .flat_map(|flow| &flow.queued)
            .map(|queued| queued.job.cost)
            .sum()
    }
}

/// Returns the number of queued requests per unit of weight.
fn relative_backlog(flow: &Flow) -> f64 {
    let weight = flow.queued.last().map_or(1, |q| q.job.weight.max(1));
    let queued = u32::try_from(flow.queued.len()).unwrap_or(u32::MAX);
    f64::from(queued) / f64::from(weight)
}

/// Selects the job with the lowest score: the service attained by its program plus its own cost,
/// discounted by its time in the queue.
fn next_index(queued: &[QueuedJob], now: Timestamp) -> Option<usize> {
    let score = |q: &QueuedJob| {
        let half_lives =
            now.saturating_sub(q.enqueued_at).as_secs_f64() / AGEING_HALF_LIFE.as_secs_f64();
        let attained = u32::try_from(q.job.attained_tokens).unwrap_or(u32::MAX);
        (f64::from(attained) + q.job.cost) / half_lives.exp2()
    };
    (0..queued.len()).min_by(|a, b| {
        let (a, b) = (&queued[*a], &queued[*b]);
        score(a)
            .total_cmp(&score(b))
            .then_with(|| a.enqueued_at.cmp(&b.enqueued_at))
            .then_with(|| a.job.id.cmp(&b.job.id))
    })
}
