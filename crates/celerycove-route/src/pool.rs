//! The backend servers that one class of traffic may reach.

use std::{net::SocketAddr, sync::Arc};

use celerycove_config::{
    Config,
    select::{Class, check_access, is_drained, target_labels},
};
use celerycove_sync::{
    Announcement, Availability, Backend,
    announce::{Kind, Model},
};
use celerycove_types::{Map, id};

use crate::stats::Stats;

/// A backend server and how to reach it.
#[derive(Debug, Clone)]
pub struct Member {
    /// Id of the backend server.
    pub backend: id::Backend,
    /// Data centre of the backend server.
    pub data_centre: id::DataCentre,
    /// Process of its sidecar.
    pub process: id::Process,
    /// Address on which its sidecar listens.
    pub address: SocketAddr,
    /// Number of requests that it can run concurrently once it has warmed up.
    pub capacity: u32,
    /// Load statistics of the backend server.
    pub stats: Arc<Stats>,
}

/// What a backend server must serve to be eligible for a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Target {
    /// A model, written `name`, `name@version`, `name+adapter` or `name@version+adapter`.
    Model(String),
    /// A route of a plain service.
    Route(String),
}

/// The backend servers that one class of traffic may reach, those of the local data centre first.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    members: Vec<Member>,
    /// Number of members in the local data centre.
    local_count: usize,
    positions: Map<id::Backend, usize>,
    /// Whether a selector or a drain excluded a backend server that serves the target.
    pub has_excluded: bool,
}

impl Pool {
    /// Builds the pool for a class of traffic and a target from the sidecars' announcements.
    pub fn build<'a>(
        config: &Config,
        announcements: impl Iterator<Item = &'a Announcement>,
        class: &Class,
        target: &Target,
        data_centre: &id::DataCentre,
        stats: impl Fn(&id::Backend) -> Arc<Stats>,
    ) -> Self {
        let mut pool = Self::default();
        let mut remote = Vec::new();
        for announcement in announcements {
            let Some(backend) = &announcement.backend else {
                continue;
            };
            let Some(matched) = find_match(backend, target) else {
                continue;
            };
            let backend_data_centre = &announcement.data_centre;
            let is_excluded = is_drained(config, &backend.id, backend_data_centre)
                || !is_selected(config, class, backend, matched, target, backend_data_centre);
            if is_excluded {
                pool.has_excluded = true;
                continue;
            }
            if announcement.availability == Availability::Leaving || backend.failing {
                continue;
            }
            let member = Member {
                backend: backend.id.clone(),
                data_centre: backend_data_centre.clone(),
                process: announcement.process.clone(),
                address: announcement.address,
                capacity: backend.capacity.max(1),
                stats: stats(&backend.id),
            };
            if backend_data_centre == data_centre {
                pool.members.push(member);
            } else {
                remote.push(member);
            }
        }
        pool.local_count = pool.members.len();
        pool.members.append(&mut remote);
        pool.positions = (0..)
            .zip(&pool.members)
            .map(|(position, member)| (member.backend.clone(), position))
            .collect();
        pool
    }

    /// Returns all members, those of the local data centre first.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the number of members in the local data centre.
    #[must_use]
    pub fn local_count(&self) -> usize {
        self.local_count
    }

    /// Returns the member with the given id.
    #[must_use]
    pub fn find(&self, backend: &id::Backend) -> Option<&Member> {
        let position = self.positions.get(backend)?;
        self.members.get(*position)
    }
}

/// The part of a backend server that serves a target.
#[derive(Clone, Copy)]
enum Match<'b> {
    Route,
    Model(&'b Model),
}

/// Returns the part of the backend server that serves the target, if any.
fn find_match<'b>(backend: &'b Backend, target: &Target) -> Option<Match<'b>> {
    match (target, backend.kind) {
        (Target::Route(route), Kind::Service) => {
            (backend.route.as_ref() == Some(route)).then_some(Match::Route)
        }
        (Target::Model(requested), Kind::Engine) => {
            let (name, version, adapter) = split_model(requested);
            let model = backend.models.iter().find(|model| {
                model.name == name
                    && version.is_none_or(|v| v == model.version)
                    && adapter.is_none_or(|a| model.adapters.iter().any(|own| own == a))
            });
            model.map(Match::Model)
        }
        _ => None,
    }
}

/// Splits a model written `name@version+adapter`; version and adapter are optional.
fn split_model(model: &str) -> (&str, Option<&str>, Option<&str>) {
    let (rest, adapter) = match model.split_once('+') {
        Some((rest, adapter)) => (rest, Some(adapter)),
        None => (model, None),
    };
    match rest.split_once('@') {
        Some((name, version)) => (name, Some(version), adapter),
        None => (rest, None, adapter),
    }
}

/// Returns whether the selectors let the class of traffic reach what was matched at the backend.
fn is_selected(
    config: &Config,
    class: &Class,
    backend: &Backend,
    matched: Match<'_>,
    target: &Target,
    data_centre: &id::DataCentre,
) -> bool {
    // Collecting the labels is wasted work where no selector reads them.
    if config.selectors.is_empty() {
        return true;
    }
    let mut backend_labels = backend.labels.clone();
    if let (Match::Model(model), Target::Model(requested)) = (matched, target) {
        backend_labels.insert("model".to_owned(), model.name.clone());
        backend_labels.insert("version".to_owned(), model.version.clone());
        if let (_, _, Some(adapter)) = split_model(requested) {
            backend_labels.insert("adapter".to_owned(), adapter.to_owned());
        }
    }
    let labels = target_labels(config, &backend_labels, &backend.id, data_centre);
    check_access(config, class, &labels).is_ok()
}
