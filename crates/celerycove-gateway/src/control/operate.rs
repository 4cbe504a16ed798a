//! The calls of operators and backend servers.

use std::{sync::Arc, time::Duration};

use celerycove_fleet::{
    Command,
    registry::{Beat, Change, Stage},
};
use celerycove_types::id;
use hyper::{Request, Response, StatusCode, body::Incoming};

use super::Control;
use crate::{
    clock,
    dialect::Order,
    http::{self, Body},
    link::lock,
    message::{Ask, Reply, Told},
    setup::Role,
    spread::log_beat,
};

/// How long the acknowledgement of a leaving backend server waits until all entries have heard of
/// it; an entry that takes longer is about to lose its connection.
const HEARD: Duration = Duration::from_millis(500);
/// How long a question to a store may take.
const ASK_STORE: Duration = Duration::from_millis(500);

/// Serves operators and backend servers.
impl http::Service for Control {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let Some(order) = self.dialect.order(&head.method, &head.uri) else {
            log::info!(target: "operate", method:% = head.method, path = head.uri.path();
                "unknown call");
            return http::text(StatusCode::NOT_FOUND, "no such call");
        };
        let body = match http::read(body, http::LARGEST_ORDER).await {
            Ok(body) => body,
            Err(http::BodyError::TooLong) => {
                return http::text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
            }
            Err(http::BodyError::Broken) => {
                return http::text(StatusCode::BAD_REQUEST, "the body broke off");
            }
        };
        let began = clock::now();
        let named = format!("{order:?}");
        let response = self.execute(order, body).await;
        let quiet = response.status().is_success() && named.starts_with("Beat");
        if !quiet {
            let took = clock::millis(clock::now().saturating_sub(began));
            log::info!(target: "operate", order = named.as_str(), took_ms = took,
                status = response.status().as_u16(), leader:? = self.leader(); "order answered");
        }
        response
    }
}

impl Control {
    async fn execute(&self, order: Order, body: bytes::Bytes) -> Response<Body> {
        match order {
            Order::Beat(backend) => match self.dialect.beat(&backend, &body) {
                Ok(beat) => self.hear(beat).await,
                Err(error) => {
                    log::warn!(target: "registry", backend:% = backend, error:% = error;
                        "a heartbeat can't be read");
                    http::text(StatusCode::BAD_REQUEST, error.to_string())
                }
            },
            Order::Leave(backend) => self.leave(&backend).await,
            Order::Configure => self.configure(&body).await,
            Order::Read => match self.read().await {
                Reply::State(fleet) if fleet.config.version > 0 => {
                    http::json(StatusCode::OK, fleet.config.source.clone())
                }
                Reply::State(_) => unavailable("there is no configuration yet"),
                _ => unavailable("the newest configuration is not known for sure"),
            },
            Order::Evacuate(data_centre) => {
                self.move_work(Command::Evacuate(data_centre.clone()), &data_centre)
                    .await
            }
            Order::Restore(data_centre) => {
                self.move_work(Command::Restore(data_centre.clone()), &data_centre)
                    .await
            }
            Order::Retire(instance) => self.retire(&instance).await,
            Order::RetireState(instance) => self.retirement(&instance).await,
        }
    }

    async fn hear(&self, beat: Beat) -> Response<Body> {
        let leaves = beat.stage != Stage::Ready;
        let backend = beat.backend.clone();
        let told = Told {
            beat,
            age: Duration::ZERO,
        };
        let now = clock::now();
        match self.picture.hear(now, &told) {
            Change::Outdated => {}
            Change::Alive => {
                lock(&self.alive).insert(backend, now);
            }
            Change::News => {
                lock(&self.alive).insert(backend, now);
                self.tell_all(told, leaves).await;
            }
        }
        let mut response = http::json(StatusCode::OK, bytes::Bytes::from_static(b"{}"));
        response.headers_mut().remove(hyper::header::DATE);
        response
    }

    async fn leave(&self, backend: &id::Backend) -> Response<Body> {
        let left = self.picture.registry().leave(clock::now(), backend);
        if let Some(beat) = left {
            log_beat(&beat, Duration::ZERO);
            let told = Told {
                beat,
                age: Duration::ZERO,
            };
            self.tell_all(told, true).await;
        }
        http::json(StatusCode::OK, bytes::Bytes::from_static(b"{}"))
    }

    /// Passes a heartbeat on; where the backend server leaves, waits until the entries know.
    async fn tell_all(&self, told: Told, wait: bool) {
        let backend = told.beat.backend.clone();
        let mut news = self.news();
        news.beats = vec![told];
        let number = self.spread.publish(news);
        if wait && !self.spread.settled(number, HEARD).await {
            log::warn!(target: "registry", backend:% = backend;
                "not all entries have confirmed that a backend server leaves");
        }
    }

    async fn configure(&self, body: &bytes::Bytes) -> Response<Body> {
        let config = match self.dialect.config(body) {
            Ok(config) => config,
            Err(reason) => return refuse_config(None, &reason),
        };
        let version = config.version;
        if let Err(reason) = config.check() {
            return refuse_config(Some(version), &reason.to_string());
        }
        let reply = self.commit(Command::Configure(Arc::new(config))).await;
        log::info!(target: "operate", version, committed = reply == Reply::Committed;
            "configuration proposed");
        match reply {
            Reply::Committed => http::json(StatusCode::OK, bytes::Bytes::from_static(b"{}")),
            _ => unavailable("the configuration may or may not be committed"),
        }
    }

    async fn move_work(&self, command: Command, data_centre: &id::DataCentre) -> Response<Body> {
        if !self.setup.data_centres.contains(data_centre) {
            return http::text(StatusCode::NOT_FOUND, "no such data centre");
        }
        match self.commit(command).await {
            Reply::Committed => http::json(StatusCode::OK, bytes::Bytes::from_static(b"{}")),
            _ => unavailable("the order may or may not be committed"),
        }
    }

    async fn retire(&self, instance: &Arc<str>) -> Response<Body> {
        let state = self.fleet();
        if state.retiring.contains_key(instance) {
            return http::json(StatusCode::OK, self.dialect.retirement(false));
        }
        let stores = self.picture.peers(Role::Store);
        let Some(store) = stores.iter().find(|seen| seen.peer.instance == *instance) else {
            return http::text(StatusCode::NOT_FOUND, "no such store");
        };
        let staying = stores
            .iter()
            .filter(|seen| seen.silent < super::PROOF)
            .filter(|seen| !state.retiring.contains_key(&seen.peer.instance))
            .filter(|seen| seen.peer.instance != *instance)
            .count();
        if staying < self.setup.members() {
            log::info!(target: "place", instance:% = instance, staying; "too few stores would stay");
            return http::text(StatusCode::CONFLICT, "too few stores would stay");
        }
        let command = Command::Retire {
            store: store.peer.process.clone(),
            instance: instance.clone(),
        };
        match self.commit(command).await {
            Reply::Committed => http::json(StatusCode::OK, self.dialect.retirement(false)),
            _ => unavailable("the order may or may not be committed"),
        }
    }

    async fn retirement(&self, instance: &Arc<str>) -> Response<Body> {
        let Reply::State(state) = self.read().await else {
            return unavailable("the newest state is not known for sure");
        };
        let Some(store) = state.retiring.get(instance) else {
            return http::text(StatusCode::NOT_FOUND, "no such retirement");
        };
        for peer in self.picture.peers(Role::Store) {
            if peer.silent > super::PROOF || peer.peer.process == *store {
                continue;
            }
            let ask = Ask::IsMember(store.clone());
            let reply = self.links.ask(&peer.peer.process, ask, ASK_STORE).await;
            if let Ok(Reply::Member(member, count)) = reply {
                let completed = !member && count >= self.setup.members();
                log::info!(target: "place", instance:% = instance, member, count; "retirement asked");
                return http::json(StatusCode::OK, self.dialect.retirement(completed));
            }
        }
        unavailable("no store can tell")
    }
}

fn refuse_config(version: Option<id::Version>, reason: &str) -> Response<Body> {
    log::info!(target: "operate", version:? = version, reason; "configuration refused");
    http::text(StatusCode::BAD_REQUEST, reason)
}

fn unavailable(reason: &'static str) -> Response<Body> {
    http::text(StatusCode::SERVICE_UNAVAILABLE, reason)
}
