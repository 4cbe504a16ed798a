//! Scores the backend servers that a request may go to, for the selection and for forecasts.

use std::time::Duration;

use celerycove_types::{Timestamp, id};

use super::{
    Request, Score, Server,
    demand::Demand,
    order::{Choices, choices, rendezvous_weight},
    score::Conditions,
    shared::Shared,
    speed::Costs,
    spill::Spill,
};

/// Why a request would not be sent to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exclusion {
    /// The request was sent to it before.
    Tried,
    /// It has said that it leaves.
    Leaving,
    /// The request may not run on its version.
    Version,
    /// The limit of its cold start is used up.
    Cold,
    /// Others come first in the program's order.
    Order,
}

/// What a request is expected to meet at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assessment {
    /// The components of the expected delay.
    pub score: Score,
    /// Whether it is ejected or silent, so that it is used only if no other is left.
    pub is_suspect: bool,
    /// Number of prompt tokens that it probably has cached.
    pub cached_tokens: id::Tokens,
    /// Whether its slots or its memory are taken.
    pub is_full: bool,
    /// Expected time until it begins to run the request.
    pub expected_wait: Duration,
}

/// A backend server of a service, as a request would find it now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The backend server.
    pub backend: id::Backend,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// What the request would meet there, or why it would not be sent there.
    pub assessment: Result<Assessment, Exclusion>,
}

/// What an entry knows about a request and its service.
pub(super) struct Context<'a> {
    pub(super) now: Timestamp,
    pub(super) request: &'a Request<'a>,
    pub(super) shared: Shared<'a>,
    pub(super) demand: &'a Demand,
    pub(super) data_centre: &'a id::DataCentre,
    pub(super) costs: Costs,
    pub(super) spill: Spill,
    /// Whether this entry's own requests take all slots of the compared local servers. That is known
    /// exactly, so that it is no reason for caution.
    pub(super) is_home_full: bool,
}

impl Context<'_> {
    /// Returns how many backend servers accept the request, and the indexes and assessments of those
    /// that are compared, with the rank of each in the program's order.
    pub(super) fn assess(&self, servers: &[Server]) -> (usize, Vec<(usize, u32, Assessment)>) {
        let Choices {
            candidates,
            considered,
        } = choices(
            self.now,
            servers,
            self.request,
            self.data_centre,
            self.shared,
        );
        let elsewhere = self.requests_of_others(servers, &considered);
        let assessed = considered.into_iter().zip(elsewhere);
        let assessed = assessed.map(|((index, rank), elsewhere)| {
            let server = &servers[index];
            let data_centre = &server.registration.data_centre;
            let conditions = Conditions {
                shared_tokens: self.shared.tokens,
                is_home: self.shared.is_home(index),
                elsewhere,
                rank,
                is_local: *data_centre == *self.data_centre,
            };
            let assessment = server.assess(self.now, self.request, conditions, &self.costs);
            (index, rank, assessment)
        });
        (candidates, assessed.collect())
    }

    /// Returns the requests of other entries at each of the compared servers, if known.
    ///
    /// Most calls have ended before a sum of them arrives. What it tells then is how busy the data
    /// centre is, but not which of its servers is: entries that all went to the idlest one of the sum
    /// would fill it. So the older the sum, the nearer a server is taken to the mean of its data centre.
    fn requests_of_others(
        &self,
        servers: &[Server],
        considered: &[(usize, u32)],
    ) -> Vec<Option<u32>> {
        let known = considered.iter().map(|(index, _)| {
            let registration = &servers[*index].registration;
            let (backend, data_centre) = (&registration.backend, &registration.data_centre);
            let requests = self.demand.of_others(self.now, backend, data_centre);
            (data_centre, requests)
        });
        let known: Vec<_> = known.collect();
        if !self.request.prompt.is_empty() || !self.costs.is_call_learned {
            return known.into_iter().map(|(_, requests)| requests).collect();
        }
        let blended = known.iter().map(|(data_centre, requests)| {
            let requests = f64::from((*requests)?);
            let same = known.iter().filter(|(other, _)| other == data_centre);
            let same = same.filter_map(|(_, requests)| *requests);
            let (sum, count) = same.fold((0.0, 0.0), |(sum, count), requests| {
                (sum + f64::from(requests), count + 1.0)
            });
            let mean: f64 = sum / count;
            let age = self.demand.age(self.now, data_centre)?;
            let weight = (-age.as_secs_f64() / self.costs.call.as_secs_f64()).exp();
            let estimate = mean + (requests - mean) * weight;
            u32::try_from(Duration::from_secs_f64(estimate.max(0.0).round()).as_secs()).ok()
        });
        blended.collect()
    }

    /// Sets `is_home_full`.
    pub(super) fn check_home(&mut self, servers: &[Server], assessed: &[(usize, u32, Assessment)]) {
        let mut local = assessed.iter().map(|(index, ..)| &servers[*index]);
        self.is_home_full = local.all(|server| {
            server.registration.data_centre != *self.data_centre
                || server.in_flight >= server.registration.slots
        });
    }

    /// Returns how many microseconds a call would wait less in another data centre, if sound servers of
    /// both accept it.
    pub(super) fn remote_gain(
        &self,
        servers: &[Server],
        assessed: &[(usize, u32, Assessment)],
    ) -> Option<i64> {
        if !self.request.prompt.is_empty() {
            return None;
        }
        let [mut local, mut remote] = [None, None];
        for (index, _, assessment) in assessed.iter().filter(|(.., a)| !a.is_suspect) {
            let is_local = servers[*index].registration.data_centre == *self.data_centre;
            let best = if is_local { &mut local } else { &mut remote };
            let delay = assessment.score.total_micros();
            *best = Some(best.map_or(delay, |best: i64| best.min(delay)));
        }
        Some(local? - remote?)
    }

    /// Returns the value by which a backend server is compared; the smallest is selected.
    pub(super) fn key(
        &self,
        servers: &[Server],
        (index, rank, assessment): &(usize, u32, Assessment),
    ) -> (bool, bool, i64, u32, usize) {
        let is_local = servers[*index].registration.data_centre == *self.data_centre;
        // The place of the program among all, the same for each of its calls.
        let place = rendezvous_weight(self.request.affinity, 0) >> 32;
        let place = u32::try_from(place).map_or(0.0, f64::from) / f64::from(u32::MAX);
        let is_kept = self.request.prompt.is_empty()
            && !is_local
            && !self.is_home_full
            && !self.spill.allows(place);
        let delay = assessment.score.total_micros();
        (assessment.is_suspect, is_kept, delay, *rank, *index)
    }

    /// Returns all backend servers, the ones that the request would go to first.
    pub(super) fn forecast(&mut self, servers: &[Server]) -> Vec<Candidate> {
        let (_, mut assessed) = self.assess(servers);
        self.check_home(servers, &assessed);
        assessed.sort_by_key(|assessed| self.key(servers, assessed));
        let others = servers.iter().enumerate();
        let others = others.filter(|(index, _)| assessed.iter().all(|(other, ..)| other != index));
        let others = others.map(|(_, server)| {
            let refusal = server.refusal(self.now, self.request);
            server.candidate(Err(refusal.unwrap_or(Exclusion::Order)))
        });
        let compared = assessed.iter();
        let compared =
            compared.map(|(index, _, assessment)| servers[*index].candidate(Ok(*assessment)));
        compared.chain(others).collect()
    }
}

impl Server {
    fn candidate(&self, assessment: Result<Assessment, Exclusion>) -> Candidate {
        Candidate {
            backend: self.registration.backend.clone(),
            incarnation: self.registration.incarnation,
            data_centre: self.registration.data_centre.clone(),
            assessment,
        }
    }

    /// Returns why it can't get a request, if so.
    pub(super) fn refusal(&self, now: Timestamp, request: &Request<'_>) -> Option<Exclusion> {
        if request.excluded.contains(&self.registration.backend) {
            Some(Exclusion::Tried)
        } else if self.is_leaving {
            Some(Exclusion::Leaving)
        } else if !request.versions.allow(&self.registration.version) {
            Some(Exclusion::Version)
        } else if now < self.registration.cold_until && self.cold_allowance(now) < 1.0 {
            Some(Exclusion::Cold)
        } else {
            None
        }
    }
}
