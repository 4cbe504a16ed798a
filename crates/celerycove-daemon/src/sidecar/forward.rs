//! Forwards requests to the backend server once the queue lets them start.

use std::{
    pin::Pin,
    sync::{Arc, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use celerycove_queue::{Event, Job, Refusal, ramp::Sample};
use celerycove_sync::announce::Kind;
use celerycove_types::{Timestamp, id, status::is_final};
use celerycove_wire::{Execution, header};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Request, Response, StatusCode, Uri,
    body::{Frame, Incoming, SizeHint},
    header::{HeaderName, HeaderValue},
};
use hyper_util::client::legacy::connect::{CaptureConnection, capture_connection};
use tokio::sync::{Notify, oneshot};

use super::{Sidecar, job};
use crate::http::{Body, full_body, response};

/// The path prefix of requests to sidecars; the backend server's id and its own path follow.
pub const FORWARD_PATH: &str = "/forward/";

/// Headers that are not forwarded: the hop-by-hop headers and the caller's API key.
const DROPPED_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "authorization",
];

/// The slot of a request in the queue; freed when dropped, however the request ends.
struct Slot {
    sidecar: Arc<Sidecar>,
    id: id::Request,
    state: State,
}

enum State {
    Waiting,
    Running { since: Timestamp, cost: f64 },
    Finished,
}

impl Slot {
    /// Frees the slot. The sample is the outcome at the backend server; `None` if it says nothing
    /// about the server.
    fn finish(&mut self, sample: Option<Sample>) {
        if matches!(self.state, State::Running { .. }) {
            let id = self.id.clone();
            self.sidecar.step(Event::Finish { id, sample });
        }
        self.state = State::Finished;
    }

    fn finish_served(&mut self) {
        if let State::Running { since, cost } = self.state {
            let took = self.sidecar.process.now().saturating_sub(since);
            self.finish(Some(Sample::Served { took, cost }));
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        match self.state {
            State::Waiting => self.sidecar.step(Event::Cancel(self.id.clone())),
            State::Running { .. } => self.finish(None),
            State::Finished => {}
        }
        let signals = &self.sidecar.abort_signals;
        signals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&self.id);
    }
}

impl Sidecar {
    /// Forwards a request when the queue lets it start, and returns the answer or a refusal.
    pub async fn forward(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let Some(job) = job::parse(request.headers(), self.process.now()) else {
            return self.refuse(StatusCode::BAD_REQUEST, "malformed");
        };
        self.update_gate();
        let dispatch = job.id.clone();
        let cost = job.cost;
        let arrived = self.process.now();
        let mut slot = Slot {
            sidecar: self.clone(),
            id: dispatch.clone(),
            state: State::Waiting,
        };
        if let Err(refusal) = self.wait_for_start(job).await {
            slot.state = State::Finished;
            // The earlier dispatch with the same id may have run.
            return match refusal {
                Refusal::Duplicate => self.unknown_response(refusal_code(refusal)),
                _ => self.refuse(StatusCode::SERVICE_UNAVAILABLE, refusal_code(refusal)),
            };
        }
        let since = self.process.now();
        slot.state = State::Running { since, cost };
        let waited = since.saturating_sub(arrived);
        let abort = Arc::new(Notify::new());
        self.abort_signals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(dispatch.clone(), abort.clone());
        let Some(mut outgoing) = self.backend_request(request) else {
            slot.finish(None);
            return self.refuse(StatusCode::BAD_REQUEST, "malformed");
        };
        let connection = capture_connection(&mut outgoing);
        let sent = tokio::select! {
            sent = self.client.request(outgoing) => sent,
            () = abort.notified() => return self.unknown_response("cancelled"),
        };
        match sent {
            Ok(response) => self.relay_response(response, slot, &dispatch, waited, &connection),
            Err(error) if error.is_connect() => {
                slot.finish(Some(Sample::Failed));
                self.refuse(StatusCode::SERVICE_UNAVAILABLE, "unreachable")
            }
            Err(error) => {
                log::info!(target: "queue", backend:% = self.id, dispatch:% = dispatch, error:% = error;
                    "the backend server did not answer");
                slot.finish(Some(Sample::Failed));
                self.unknown_response("no_answer")
            }
        }
    }

    /// Waits until the queue starts or refuses the request.
    async fn wait_for_start(&self, job: Job) -> Result<(), Refusal> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut waiting = self
                .waiting_starts
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if waiting.contains_key(&job.id) {
                return Err(Refusal::Duplicate);
            }
            waiting.insert(job.id.clone(), sender);
        }
        self.step(Event::Arrive(job));
        receiver.await.unwrap_or(Err(Refusal::Leaving))
    }

    /// Builds the request to the backend server, without hop-by-hop headers, Celerycove's own
    /// headers and the caller's API key. Returns `None` if the path is not one of this sidecar.
    fn backend_request(&self, request: Request<Incoming>) -> Option<Request<Body>> {
        let (mut parts, body) = request.into_parts();
        let path = parts.uri.path_and_query()?.as_str();
        let rest = path.strip_prefix(FORWARD_PATH)?.strip_prefix(&*self.id)?;
        parts.uri = format!("http://{}{rest}", self.backend_address())
            .parse::<Uri>()
            .ok()?;
        let dispatch = parts.headers.get(header::DISPATCH).cloned();
        parts.headers = forwarded_headers(&parts.headers);
        if let Some(dispatch) = dispatch {
            parts.headers.insert("x-request-id", dispatch);
        }
        let body = body.map_err(Into::into).boxed_unsync();
        Some(Request::from_parts(parts, body))
    }

    fn relay_response(
        self: &Arc<Self>,
        response: Response<Incoming>,
        mut slot: Slot,
        dispatch: &id::Request,
        waited: Duration,
        connection: &CaptureConnection,
    ) -> Response<Body> {
        let status = response.status();
        let echoed_id = response.headers().get("x-request-id");
        if echoed_id.is_some_and(|echoed| echoed.as_bytes() != dispatch.as_bytes()) {
            log::error!(target: "queue", backend:% = self.id, dispatch:% = dispatch;
                "the backend server answered with the id of another request");
            slot.finish(Some(Sample::Failed));
            retire(connection);
            return self.unknown_response("crossed_answer");
        }
        if !is_final(status.as_u16()) {
            log::warn!(target: "queue", backend:% = self.id, dispatch:% = dispatch, status:% = status;
                "the backend server answered with an invalid status");
            slot.finish(Some(Sample::Failed));
            retire(connection);
            return self.unknown_response("invalid_status");
        }
        self.record_boot_id(response.headers());
        let overloaded = matches!(status.as_u16(), 429 | 503);
        if overloaded && self.kind == Kind::Engine {
            // An engine answers these statuses only before it runs a request. A copy of the refusal may
            // follow, and an engine need not name the request.
            slot.finish(Some(Sample::Failed));
            retire(connection);
            return self.refuse(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
        }
        if status.is_server_error() {
            slot.finish(Some(Sample::Failed));
        }
        let (mut parts, body) = response.into_parts();
        parts.headers = forwarded_headers(&parts.headers);
        let mut response = Response::from_parts(parts, Body::new(SlotBody { body, slot }));
        self.insert_report_headers(response.headers_mut(), Execution::Done, Some(waited));
        response
    }

    /// Answers that the request did not run.
    fn refuse(&self, status: StatusCode, code: &'static str) -> Response<Body> {
        let mut response = response(status, "text/plain", code);
        self.insert_report_headers(response.headers_mut(), Execution::NotRun, None);
        response
    }

    /// Answers that the request may have run.
    fn unknown_response(&self, code: &'static str) -> Response<Body> {
        let mut response = response(StatusCode::BAD_GATEWAY, "text/plain", code);
        self.insert_report_headers(response.headers_mut(), Execution::Unknown, None);
        response
    }

    /// Adds the headers that tell the entry whether the request ran and how loaded the backend
    /// server is.
    fn insert_report_headers(
        &self,
        headers: &mut HeaderMap,
        run: Execution,
        waited: Option<Duration>,
    ) {
        let load = self.load();
        let load = format!("{};{};{}", load.cost, load.running, load.limit);
        insert_header(headers, header::RUN, run.as_str());
        insert_header(headers, header::LOAD, &load);
        insert_header(headers, header::BACKEND, &self.id);
        if let Some(waited) = waited {
            insert_header(
                headers,
                header::QUEUE_WAIT_US,
                &waited.as_micros().to_string(),
            );
        }
    }
}

/// Keeps a connection from being used again: what still arrives on it could be taken for the answer to
/// another request.
fn retire(connection: &CaptureConnection) {
    if let Some(connected) = connection.connection_metadata().as_ref() {
        connected.poison();
    }
}

fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    headers
        .iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            name != "host"
                && !DROPPED_HEADERS.contains(&name)
                && !name.starts_with(header::INTERNAL_PREFIX)
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn refusal_code(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Full => "queue_full",
        Refusal::Drained => "drained",
        Refusal::Leaving => "leaving",
        Refusal::Stale => "stale",
        Refusal::Failing => "failing",
        Refusal::Deadline => "deadline",
        Refusal::Duplicate => "duplicate",
    }
}

/// A response body that frees its queue slot when it ends or is dropped.
struct SlotBody {
    body: Incoming,
    slot: Slot,
}

impl hyper::body::Body for SlotBody {
    type Data = Bytes;
    type Error = crate::http::BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.slot.finish_served(),
            Poll::Ready(Some(Err(_))) => self.slot.finish(Some(Sample::Failed)),
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.slot.finish_served(),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

pub(super) fn empty_body() -> Body {
    full_body(Bytes::new())
}
