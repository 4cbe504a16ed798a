//! The HTTP API of a control instance, for operators and backend servers.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use celerycove_fleet::{
    Command,
    registry::{Change, Heartbeat, Stage},
};
use celerycove_log::limit::Admitted;
use celerycove_types::id;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
};

use super::{Control, admission};
use crate::{
    broadcast::log_backend_change,
    clock,
    dialect::Operation,
    http::{self, Body},
    link::lock,
    message::{RelayedHeartbeat, Reply, RpcRequest},
    setup::Role,
};

/// How long the response to a backend server that leaves, or to the order of a rollout, waits for the
/// acknowledgements of all entries. An entry that takes longer is about to lose its connection.
pub(super) const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a request to a store may take.
const STORE_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the state of a retirement may take to find out; shorter than the second after which an
/// operator tries another instance.
const RETIREMENT_STATE_TIMEOUT: Duration = Duration::from_millis(900);
/// How often an order is tried if others for the same data centre or service come in between.
pub(super) const MAX_ORDER_ATTEMPTS: usize = 3;
/// The most characters of a rejected heartbeat's name that are logged.
const MAX_LOGGED_CHARS: usize = 80;
/// `Retry-After` for a request that finds no room for its body: longer than most commits take.
const RETRY_AFTER_NO_ROOM_SECONDS: &str = "1";

impl http::Service for Control {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let Some(operation) = self.dialect.operation(&head.method, &head.uri) else {
            log::info!(target: "operate", method:% = head.method, path = head.uri.path();
                "unknown operation");
            return http::text_response(StatusCode::NOT_FOUND, "no such call");
        };
        let now = clock::now();
        self.note_running(now);
        if operation.changes_state() && lock(&self.standstill).may_have_waited(now) {
            log::info!(target: "operate", order:? = operation;
                "rejected a request that may have waited while this process stood still");
            return unavailable("this instance stood still; nothing was done");
        }
        let body = match admission::read(body, self.connections.account()).await {
            Ok(body) => body,
            Err(error) => return self.reject_body(&operation, error),
        };
        let began = clock::now();
        let operation_text = format!("{operation:?}");
        let response = self.execute(operation, &body.bytes).await;
        let is_routine = response.status().is_success() && operation_text.starts_with("Beat");
        if !is_routine {
            let elapsed = clock::millis(clock::now().saturating_sub(began));
            log::info!(target: "operate", order = operation_text.as_str(), took_ms = elapsed,
                status = response.status().as_u16(), leader:? = self.leader(); "operation completed");
        }
        response
    }
}

impl Control {
    /// Logs why a body is rejected and builds the response. No part of the request was carried out.
    fn reject_body(&self, operation: &Operation, error: admission::Error) -> Response<Body> {
        let text = match error {
            admission::Error::TooLong { limit } => {
                log::warn!(target: "operate", order:? = operation, limit;
                    "rejected a body that is longer than this instance can ever accept");
                let text = format!("the body is longer than {limit} bytes");
                return http::text_response(StatusCode::PAYLOAD_TOO_LARGE, text);
            }
            admission::Error::Incomplete => {
                return http::text_response(StatusCode::BAD_REQUEST, "the body broke off");
            }
            admission::Error::NoRoom { part } => {
                if let Some(Admitted { held_back }) = lock(&self.no_room_lines).admit(clock::now())
                {
                    let account = self.connections.account();
                    log::warn!(target: "operate", order:? = operation, part = part.name(),
                        used = account.used(part), limit = account.limit(part), held_back;
                        "rejected a request: other requests hold the memory for bodies");
                }
                "other requests hold the memory for bodies; nothing was done"
            }
        };
        let mut response = http::text_response(StatusCode::SERVICE_UNAVAILABLE, text);
        let delay = HeaderValue::from_static(RETRY_AFTER_NO_ROOM_SECONDS);
        response.headers_mut().insert(header::RETRY_AFTER, delay);
        response
    }

    async fn execute(&self, operation: Operation, body: &bytes::Bytes) -> Response<Body> {
        match operation {
            Operation::Beat(backend) => match self.dialect.heartbeat(&backend, body) {
                Ok(heartbeat) => match heartbeat.check(clock::wall_millis()) {
                    Ok(()) => self.receive_heartbeat(heartbeat).await,
                    Err(error) => reject_heartbeat(&backend, &error),
                },
                Err(error) => reject_heartbeat(&backend, &error),
            },
            Operation::Leave(backend) => self.leave(&backend).await,
            Operation::Configure => self.configure(body).await,
            Operation::Read => match self.read_latest().await {
                Reply::State(fleet) if fleet.config.version > 0 => {
                    http::json_response(StatusCode::OK, fleet.config.source.clone())
                }
                Reply::State(_) => unavailable("there is no configuration yet"),
                _ => unavailable("the newest configuration is not known for sure"),
            },
            Operation::Evacuate(data_centre) => self.set_evacuated(&data_centre, true).await,
            Operation::Restore(data_centre) => self.set_evacuated(&data_centre, false).await,
            Operation::Retire(instance) => self.retire(&instance).await,
            Operation::RetireState(instance) => self.retirement_state(&instance).await,
            Operation::StartRollout => self.start_rollout(body).await,
            Operation::RolloutState(service) => self.rollout_state(&service).await,
        }
    }

    /// Records a heartbeat. One that changes the backend server's state is published at once if it
    /// leaves and soon otherwise; other heartbeats are published with the next digest.
    async fn receive_heartbeat(&self, heartbeat: Heartbeat) -> Response<Body> {
        let is_leaving = heartbeat.stage != Stage::Ready;
        let backend = heartbeat.backend.clone();
        let relayed = RelayedHeartbeat {
            beat: heartbeat,
            age: Duration::ZERO,
        };
        let now = clock::now();
        match self.fleet_state.merge_own_heartbeat(now, &relayed) {
            Change::Outdated => {}
            Change::Refreshed => {
                lock(&self.recent_heartbeats).insert(backend, now);
            }
            Change::Update => {
                log_backend_change(&relayed.beat, relayed.age);
                lock(&self.recent_heartbeats).insert(backend, now);
                if is_leaving {
                    self.publish_leaving(relayed).await;
                } else {
                    self.publish_soon(relayed).await;
                }
            }
        }
        let mut response = http::json_response(StatusCode::OK, bytes::Bytes::from_static(b"{}"));
        response.headers_mut().remove(hyper::header::DATE);
        response
    }

    async fn leave(&self, backend: &id::Backend) -> Response<Body> {
        let last_heartbeat = self.fleet_state.registry().mark_left(clock::now(), backend);
        if let Some(heartbeat) = last_heartbeat {
            log_backend_change(&heartbeat, Duration::ZERO);
            let relayed = RelayedHeartbeat {
                beat: heartbeat,
                age: Duration::ZERO,
            };
            self.publish_leaving(relayed).await;
        }
        http::json_response(StatusCode::OK, bytes::Bytes::from_static(b"{}"))
    }

    /// Publishes that a backend server leaves. Returns when all entries have acknowledged it or after
    /// [`ACKNOWLEDGE_TIMEOUT`].
    async fn publish_leaving(&self, relayed: RelayedHeartbeat) {
        let backend = relayed.beat.backend.clone();
        let mut update = self.empty_update();
        update.heartbeats = vec![relayed];
        // An entry acknowledges an update once it has the state of its index, which this need not
        // wait for.
        update.index = 0;
        let number = self.broadcaster.publish_numbered(update);
        let acknowledged = self
            .broadcaster
            .wait_acknowledged(number, ACKNOWLEDGE_TIMEOUT);
        if !acknowledged.await {
            log::warn!(target: "registry", backend:% = backend;
                "not all entries have acknowledged that a backend server leaves");
        }
    }

    async fn configure(&self, body: &bytes::Bytes) -> Response<Body> {
        let config = match self.dialect.config(body) {
            Ok(config) => config,
            Err(reason) => return reject_config(None, &reason),
        };
        let version = config.version;
        if let Err(reason) = config.check() {
            return reject_config(Some(version), &reason.to_string());
        }
        let reply = self.commit(Command::Configure(Arc::new(config))).await;
        log::info!(target: "operate", version, committed = reply == Reply::Committed;
            "configuration proposed");
        match reply {
            Reply::Committed => {
                http::json_response(StatusCode::OK, bytes::Bytes::from_static(b"{}"))
            }
            _ => unavailable("the configuration may or may not be committed"),
        }
    }

    /// Commits the start or the end of an evacuation.
    ///
    /// The order may have been delayed, and its sender may have given it up, had it carried out by
    /// another instance and sent later ones. So this reads the newest state first, which takes a round
    /// trip; meanwhile hyper drops this future if the sender has closed its connection. From then on the
    /// order applies to the state that was read only, however long it takes to reach the leader.
    async fn set_evacuated(&self, data_centre: &id::DataCentre, evacuated: bool) -> Response<Body> {
        if !self.setup.data_centres.contains(data_centre) {
            return http::text_response(StatusCode::NOT_FOUND, "no such data centre");
        }
        for _ in 0..MAX_ORDER_ATTEMPTS {
            let Reply::State(fleet) = self.read_latest().await else {
                return unavailable("the newest state is not known for sure");
            };
            let revision = fleet.revision(data_centre);
            let command = Command::SetEvacuated {
                data_centre: data_centre.clone(),
                evacuated,
                revision,
            };
            match self.commit(command).await {
                Reply::Committed => {
                    return http::json_response(StatusCode::OK, bytes::Bytes::from_static(b"{}"));
                }
                Reply::Superseded => {
                    log::info!(target: "operate", data_centre:% = data_centre, evacuated, revision;
                        "an order had no effect: another one came in between");
                }
                _ => return unavailable("the order may or may not be committed"),
            }
        }
        unavailable("other orders for this data centre come in between")
    }

    /// Starts the retirement of an instance's store, unless too few stores would remain.
    async fn retire(&self, instance: &Arc<str>) -> Response<Body> {
        let fleet = self.fleet();
        if fleet.retiring.contains_key(instance) {
            return http::json_response(StatusCode::OK, self.dialect.retirement_body(false));
        }
        let stores = self.fleet_state.peers(Role::Store);
        let Some(store) = stores
            .iter()
            .find(|status| status.peer.instance == *instance)
        else {
            return http::text_response(StatusCode::NOT_FOUND, "no such store");
        };
        let remaining = stores
            .iter()
            .filter(|status| status.silent < super::QUORUM_TIMEOUT)
            .filter(|status| !fleet.retiring.contains_key(&status.peer.instance))
            .filter(|status| status.peer.instance != *instance)
            .count();
        if remaining < self.setup.target_members() {
            log::info!(target: "place", instance:% = instance, staying = remaining;
                "retirement rejected: too few stores would remain");
            return http::text_response(StatusCode::CONFLICT, "too few stores would stay");
        }
        let command = Command::Retire {
            store: store.peer.process.clone(),
            instance: instance.clone(),
        };
        match self.commit(command).await {
            Reply::Committed => {
                http::json_response(StatusCode::OK, self.dialect.retirement_body(false))
            }
            _ => unavailable("the order may or may not be committed"),
        }
    }

    /// Responds whether a retirement is completed, as the leader of the stores' log knows.
    async fn retirement_state(&self, instance: &Arc<str>) -> Response<Body> {
        let state = tokio::time::timeout(RETIREMENT_STATE_TIMEOUT, async {
            let Reply::State(fleet) = self.read_latest().await else {
                return unavailable("the newest state is not known for sure");
            };
            let Some(store) = fleet.retiring.get(instance) else {
                return http::text_response(StatusCode::NOT_FOUND, "no such retirement");
            };
            match self.is_dispensable(store).await {
                Some(completed) => {
                    http::json_response(StatusCode::OK, self.dialect.retirement_body(completed))
                }
                None => unavailable("the leader of the stores can't be asked"),
            }
        });
        state
            .await
            .unwrap_or_else(|_| unavailable("the stores took too long to reply"))
    }

    /// Asks the leader of the stores' log whether a store may be taken away; `None` if it can't be
    /// reached or can't prove that it leads. Other stores only name the leader: what they know of
    /// the members may be of any age.
    async fn is_dispensable(&self, store: &id::Process) -> Option<bool> {
        let stores = self.fleet_state.peers(Role::Store).into_iter();
        let mut next: VecDeque<id::Process> = stores
            .filter(|status| status.silent < super::QUORUM_TIMEOUT)
            .map(|status| status.peer.process)
            .collect();
        let mut asked = BTreeSet::new();
        while let Some(process) = next.pop_front() {
            if !asked.insert(process.clone()) {
                continue;
            }
            let request = RpcRequest::IsDispensable(store.clone());
            let reply = self
                .connections
                .request(&process, request, STORE_REQUEST_TIMEOUT)
                .await;
            match reply {
                Ok(Reply::Dispensable(dispensable)) => {
                    log::info!(target: "place", store:% = store, leader:% = process, dispensable;
                        "retirement checked");
                    return Some(dispensable);
                }
                Ok(Reply::NotLeader(Some(leader))) => next.push_front(leader),
                reply => log::info!(target: "place", store:% = store, asked:% = process, reply:?;
                    "a store can't tell whether a retirement is completed"),
            }
        }
        None
    }
}

/// Rejects a heartbeat that no backend server sends. It changes nothing that is known of the server.
fn reject_heartbeat(backend: &str, error: &dyn std::error::Error) -> Response<Body> {
    let logged: String = backend.chars().take(MAX_LOGGED_CHARS).collect();
    log::warn!(target: "registry", backend = logged.as_str(), error:% = error; "rejected a heartbeat");
    http::text_response(StatusCode::BAD_REQUEST, error.to_string())
}

fn reject_config(version: Option<id::Version>, reason: &str) -> Response<Body> {
    log::info!(target: "operate", version:? = version, reason; "configuration rejected");
    http::text_response(StatusCode::BAD_REQUEST, reason)
}

pub(super) fn unavailable(reason: &'static str) -> Response<Body> {
    http::text_response(StatusCode::SERVICE_UNAVAILABLE, reason)
}
