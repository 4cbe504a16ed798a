//! Scores the backend servers that a request may go to, for the selection and for forecasts.

use std::time::Duration;

use celerycove_types::{Timestamp, id};

use super::{
    Request, Score, Server,
    demand::Demand,
    order::{Choices, choices},
    score::Conditions,
    shared::Shared,
    speed::Costs,
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
        let assessed = considered.into_iter().map(|(index, rank)| {
            let server = &servers[index];
            let registration = &server.registration;
            let (backend, data_centre) = (&registration.backend, &registration.data_centre);
            let conditions = Conditions {
                shared_tokens: self.shared.tokens,
                is_home: self.shared.is_home(index),
                elsewhere: self.demand.of_others(self.now, backend, data_centre),
                rank,
                is_local: *data_centre == *self.data_centre,
            };
            let assessment = server.assess(self.now, self.request, conditions, &self.costs);
            (index, rank, assessment)
        });
        (candidates, assessed.collect())
    }

    /// Returns all backend servers, the ones that the request would go to first.
    pub(super) fn forecast(&self, servers: &[Server]) -> Vec<Candidate> {
        let (_, mut assessed) = self.assess(servers);
        assessed.sort_by_key(|(index, rank, assessment)| assessment.key(*rank, *index));
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

impl Assessment {
    /// Returns the value by which backend servers are compared; the smallest is selected.
    pub(super) fn key(&self, rank: u32, index: usize) -> (bool, i64, u32, usize) {
        (self.is_suspect, self.score.total_micros(), rank, index)
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
