//! Forwards one request to the backend server once the queue lets it start.

use std::{
    pin::Pin,
    sync::{Arc, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use celerycove_queue::{Event, Job, Refusal, ramp::Sample};
use celerycove_sync::announce::Kind;
use celerycove_types::{Timestamp, id};
use celerycove_wire::{Run, header};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Request, Response, StatusCode, Uri,
    body::{Frame, Incoming, SizeHint},
    header::{HeaderName, HeaderValue},
};
use tokio::sync::{Notify, oneshot};

use super::{Sidecar, job};
use crate::http::{Body, answer, full};

/// Where sidecars take requests: the backend server's id and the path follow.
pub const PATH: &str = "/forward/";

/// Headers between two hops, which are never passed on, and the caller's key.
const OWN_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "authorization",
];

/// The place of a request in the queue, given back however the request ends.
struct Place {
    sidecar: Arc<Sidecar>,
    id: id::Request,
    state: State,
}

enum State {
    Waiting,
    Running { since: Timestamp, cost: f64 },
    Over,
}

impl Place {
    /// Ends with what the request says about the backend server.
    fn finish(&mut self, sample: Option<Sample>) {
        if matches!(self.state, State::Running { .. }) {
            let id = self.id.clone();
            self.sidecar.step(Event::Finish { id, sample });
        }
        self.state = State::Over;
    }

    fn served(&mut self) {
        if let State::Running { since, cost } = self.state {
            let took = self.sidecar.process.now().saturating_sub(since);
            self.finish(Some(Sample::Served { took, cost }));
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        match self.state {
            State::Waiting => self.sidecar.step(Event::Cancel(self.id.clone())),
            State::Running { .. } => self.finish(None),
            State::Over => {}
        }
        let aborts = &self.sidecar.aborts;
        aborts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&self.id);
    }
}

impl Sidecar {
    /// Forwards a request.
    pub async fn forward(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let Some(job) = job::read(request.headers(), self.process.now()) else {
            return self.refuse(StatusCode::BAD_REQUEST, "malformed");
        };
        self.set_gate();
        let dispatch = job.id.clone();
        let cost = job.cost;
        let arrived = self.process.now();
        let mut place = Place {
            sidecar: self.clone(),
            id: dispatch.clone(),
            state: State::Waiting,
        };
        if let Err(refusal) = self.wait(job).await {
            place.state = State::Over;
            // The dispatch that came before may have run.
            return match refusal {
                Refusal::Duplicate => self.unknown(code(refusal)),
                _ => self.refuse(StatusCode::SERVICE_UNAVAILABLE, code(refusal)),
            };
        }
        let since = self.process.now();
        place.state = State::Running { since, cost };
        let waited = since.saturating_sub(arrived);
        let abort = Arc::new(Notify::new());
        self.aborts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(dispatch.clone(), abort.clone());
        let Some(outgoing) = self.outgoing(request) else {
            place.finish(None);
            return self.refuse(StatusCode::BAD_REQUEST, "malformed");
        };
        let sent = tokio::select! {
            sent = self.client.request(outgoing) => sent,
            () = abort.notified() => return self.unknown("cancelled"),
        };
        match sent {
            Ok(response) => self.pass(response, place, &dispatch, waited),
            Err(error) if error.is_connect() => {
                place.finish(Some(Sample::Failed));
                self.refuse(StatusCode::SERVICE_UNAVAILABLE, "unreachable")
            }
            Err(error) => {
                log::info!(target: "queue", backend:% = self.id, dispatch:% = dispatch, error:% = error;
                    "the backend server gave no answer");
                place.finish(Some(Sample::Failed));
                self.unknown("no_answer")
            }
        }
    }

    async fn wait(&self, job: Job) -> Result<(), Refusal> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut starts = self.starts.lock().unwrap_or_else(PoisonError::into_inner);
            if starts.contains_key(&job.id) {
                return Err(Refusal::Duplicate);
            }
            starts.insert(job.id.clone(), sender);
        }
        self.step(Event::Arrive(job));
        receiver.await.unwrap_or(Err(Refusal::Leaving))
    }

    /// The request as the backend server sees it: without hop headers, the system's own headers
    /// and the caller's key.
    fn outgoing(&self, request: Request<Incoming>) -> Option<Request<Body>> {
        let (mut parts, body) = request.into_parts();
        let path = parts.uri.path_and_query()?.as_str();
        let rest = path.strip_prefix(PATH)?.strip_prefix(&*self.id)?;
        parts.uri = format!("http://{}{rest}", self.backend())
            .parse::<Uri>()
            .ok()?;
        let dispatch = parts.headers.get(header::DISPATCH).cloned();
        parts.headers = pass_on(&parts.headers);
        if let Some(dispatch) = dispatch {
            parts.headers.insert("x-request-id", dispatch);
        }
        let body = body.map_err(Into::into).boxed_unsync();
        Some(Request::from_parts(parts, body))
    }

    fn pass(
        self: &Arc<Self>,
        response: Response<Incoming>,
        mut place: Place,
        dispatch: &id::Request,
        waited: Duration,
    ) -> Response<Body> {
        let status = response.status();
        let echo = response.headers().get("x-request-id");
        if echo.is_some_and(|echo| echo.as_bytes() != dispatch.as_bytes()) {
            log::error!(target: "queue", backend:% = self.id, dispatch:% = dispatch;
                "the backend server answered another request");
            place.finish(Some(Sample::Failed));
            return self.unknown("crossed_answer");
        }
        self.note_boot(response.headers());
        let overloaded = matches!(status.as_u16(), 429 | 503);
        if overloaded && self.kind == Kind::Engine {
            // Engines refuse before they run.
            place.finish(Some(Sample::Failed));
            return self.refuse(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
        }
        if status.is_server_error() {
            place.finish(Some(Sample::Failed));
        }
        let (mut parts, body) = response.into_parts();
        parts.headers = pass_on(&parts.headers);
        let mut response = Response::from_parts(parts, Body::new(Guarded { body, place }));
        self.put_headers(response.headers_mut(), Run::Done, Some(waited));
        response
    }

    fn refuse(&self, status: StatusCode, code: &'static str) -> Response<Body> {
        let mut response = answer(status, "text/plain", code);
        self.put_headers(response.headers_mut(), Run::NotRun, None);
        response
    }

    fn unknown(&self, code: &'static str) -> Response<Body> {
        let mut response = answer(StatusCode::BAD_GATEWAY, "text/plain", code);
        self.put_headers(response.headers_mut(), Run::Unknown, None);
        response
    }

    fn put_headers(&self, headers: &mut HeaderMap, run: Run, waited: Option<Duration>) {
        let load = self.load();
        let load = format!("{};{};{}", load.cost, load.running, load.limit);
        put(headers, header::RUN, run.as_str());
        put(headers, header::LOAD, &load);
        put(headers, header::BACKEND, &self.id);
        if let Some(waited) = waited {
            put(headers, header::WAITED, &waited.as_micros().to_string());
        }
    }
}

fn put(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

fn pass_on(headers: &HeaderMap) -> HeaderMap {
    headers
        .iter()
        .filter(|(name, _)| {
            let name = name.as_str();
            name != "host" && !OWN_HOP.contains(&name) && !name.starts_with(header::PREFIX)
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn code(refusal: Refusal) -> &'static str {
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

/// A body that gives its place in the queue back when it ends.
struct Guarded {
    body: Incoming,
    place: Place,
}

impl hyper::body::Body for Guarded {
    type Data = Bytes;
    type Error = crate::http::BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.place.served(),
            Poll::Ready(Some(Err(_))) => self.place.finish(Some(Sample::Failed)),
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.place.served(),
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

/// An empty body for requests of the sidecar itself.
pub(super) fn empty() -> Body {
    full(Bytes::new())
}
