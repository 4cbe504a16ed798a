//! The backend servers that some traffic may reach.

use std::{net::SocketAddr, sync::Arc};

use celerycove_config::{
    Config,
    select::{Class, admits, is_drained, target_labels},
};
use celerycove_sync::{
    Announcement, Backend, Life,
    announce::{Kind, Model},
};
use celerycove_types::{Map, id};

use crate::stats::Stats;

/// One backend server and the way to it.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its id.
    pub backend: id::Backend,
    /// Where it stands.
    pub data_centre: id::DataCentre,
    /// Its sidecar.
    pub process: id::Process,
    /// Where its sidecar listens.
    pub address: SocketAddr,
    /// Requests that it can run at once when warm.
    pub capacity: u32,
    /// Its load.
    pub stats: Arc<Stats>,
}

/// What a request needs a backend server to serve.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Target {
    /// A model, perhaps written `name@version` or `name+adapter`.
    Model(String),
    /// A route of a plain service.
    Route(String),
}

/// The backend servers that some traffic may reach, local ones first.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    members: Vec<Member>,
    local: usize,
    positions: Map<id::Backend, usize>,
    /// Whether a backend server would serve the target if a selector or drain did not forbid it.
    pub forbidden: bool,
}

impl Pool {
    /// Builds the pool of a class of traffic for `target` out of what is announced.
    pub fn build<'a>(
        config: &Config,
        announced: impl Iterator<Item = &'a Announcement>,
        class: &Class,
        target: &Target,
        data_centre: &id::DataCentre,
        stats: impl Fn(&id::Backend) -> Arc<Stats>,
    ) -> Self {
        let mut pool = Self::default();
        let mut distant = Vec::new();
        for announcement in announced {
            let Some(backend) = &announcement.backend else {
                continue;
            };
            let Some(serving) = serves(backend, target) else {
                continue;
            };
            let at = &announcement.data_centre;
            let closed = is_drained(config, &backend.id, at)
                || !is_selected(config, class, backend, serving, target, at);
            if closed {
                pool.forbidden = true;
                continue;
            }
            if announcement.life == Life::Leaving || backend.failing {
                continue;
            }
            let member = Member {
                backend: backend.id.clone(),
                data_centre: at.clone(),
                process: announcement.process.clone(),
                address: announcement.address,
                capacity: backend.capacity.max(1),
                stats: stats(&backend.id),
            };
            if at == data_centre {
                pool.members.push(member);
            } else {
                distant.push(member);
            }
        }
        pool.local = pool.members.len();
        pool.members.append(&mut distant);
        pool.positions = (0..)
            .zip(&pool.members)
            .map(|(position, member)| (member.backend.clone(), position))
            .collect();
        pool
    }

    /// All members, local ones first.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// How many members are local.
    #[must_use]
    pub fn local(&self) -> usize {
        self.local
    }

    /// Finds a member.
    #[must_use]
    pub fn find(&self, backend: &id::Backend) -> Option<&Member> {
        let position = self.positions.get(backend)?;
        self.members.get(*position)
    }
}

/// What of a backend server serves a target.
#[derive(Clone, Copy)]
enum Serving<'b> {
    Route,
    Model(&'b Model),
}

/// Finds what serves the target, if the backend server does.
fn serves<'b>(backend: &'b Backend, target: &Target) -> Option<Serving<'b>> {
    match (target, backend.kind) {
        (Target::Route(route), Kind::Service) => {
            (backend.route.as_ref() == Some(route)).then_some(Serving::Route)
        }
        (Target::Model(asked), Kind::Engine) => {
            let (name, version, adapter) = parts(asked);
            let serving = backend.models.iter().find(|model| {
                model.name == name
                    && version.is_none_or(|v| v == model.version)
                    && adapter.is_none_or(|a| model.adapters.iter().any(|own| own == a))
            });
            serving.map(Serving::Model)
        }
        _ => None,
    }
}

/// Splits `name@version+adapter`.
fn parts(asked: &str) -> (&str, Option<&str>, Option<&str>) {
    let (rest, adapter) = match asked.split_once('+') {
        Some((rest, adapter)) => (rest, Some(adapter)),
        None => (asked, None),
    };
    match rest.split_once('@') {
        Some((name, version)) => (name, Some(version), adapter),
        None => (rest, None, adapter),
    }
}

/// Tells whether selectors let the class reach the backend server with this model.
fn is_selected(
    config: &Config,
    class: &Class,
    backend: &Backend,
    serving: Serving<'_>,
    target: &Target,
    at: &id::DataCentre,
) -> bool {
    // Labels are only worth gathering where a selector may look at them.
    if config.selectors.is_empty() {
        return true;
    }
    let mut own = backend.labels.clone();
    if let (Serving::Model(model), Target::Model(asked)) = (serving, target) {
        own.insert("model".to_owned(), model.name.clone());
        own.insert("version".to_owned(), model.version.clone());
        if let (_, _, Some(adapter)) = parts(asked) {
            own.insert("adapter".to_owned(), adapter.to_owned());
        }
    }
    let labels = target_labels(config, &own, &backend.id, at);
    admits(config, class, &labels).is_ok()
}
