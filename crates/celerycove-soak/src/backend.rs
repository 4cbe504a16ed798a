//! Stand-in backend servers, which send heartbeats and can be made to misbehave for a while.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    time::Duration,
};

use bytes::Bytes;
use celerycove_platform::simulation::{self, ENGINE_SERVICE, ReceivedHeaders, TOOL_SERVICE};
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{Request, Response, StatusCode, body::Frame, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{net::TcpListener, time::Instant};

use crate::{caller, checker::Checker};

/// Number of events in one stream.
pub const EVENTS_PER_STREAM: u64 = 5;
/// Interval between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(6);
/// Processing time of the plain service.
const TOOL_DURATION: Duration = Duration::from_millis(15);
/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(600);
/// Maximum time that a control instance may take to answer a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Share of the requests that a misbehaving backend server does not answer correctly.
const MISBEHAVIOUR_PROBABILITY: f64 = 0.15;

type Body = BoxBody<Bytes, std::io::Error>;

/// How a backend server handles one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    Respond,
    /// Executes the request and breaks off the response.
    Abort,
    /// Does not execute the request and states so in a header.
    Reject,
    /// Executes the request and responds with the id of another one.
    WrongRequestId,
}

/// Returns the data of one event of a stream.
#[must_use]
pub fn event_data(request: &str, number: u64) -> String {
    format!("{number} of {request}")
}

/// Returns the response body of the plain service.
#[must_use]
pub fn response_text(request: &str) -> String {
    format!("done {request}")
}

/// One backend server.
pub struct Backend {
    name: String,
    service: &'static str,
    data_centre: String,
    /// The address in its heartbeats: that of its proxy.
    advertised: SocketAddr,
    checker: Arc<Checker>,
    rng: Mutex<ChaCha8Rng>,
    misbehaves_until: Mutex<Instant>,
    /// Sequence number of the last heartbeat.
    seq: AtomicU64,
}

impl Backend {
    /// Starts a backend server that listens on one address and advertises another.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(
        (number, service): (usize, &'static str),
        data_centre: String,
        (listen, advertised): (SocketAddr, SocketAddr),
        checker: Arc<Checker>,
        control: Vec<SocketAddr>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(listen).await?;
        let backend = Arc::new(Self {
            name: format!("{service}-{number}"),
            service,
            data_centre,
            advertised,
            checker,
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(number as u64)),
            misbehaves_until: Mutex::new(Instant::now()),
            seq: AtomicU64::new(0),
        });
        tokio::spawn(backend.clone().serve(listener));
        tokio::spawn(backend.clone().send_heartbeats(control));
        Ok(backend)
    }

    /// Makes it misbehave for the given time.
    pub fn misbehave_for(&self, duration: Duration) {
        *self
            .misbehaves_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Instant::now() + duration;
    }

    async fn send_heartbeats(self: Arc<Self>, control: Vec<SocketAddr>) {
        let mut control_index = 0;
        loop {
            let seq = self.seq.fetch_add(1, SeqCst) + 1;
            let (path, body) = simulation::heartbeat(
                &self.name,
                self.service,
                &self.data_centre,
                self.advertised,
                (1, seq),
            );
            let address = control[control_index % control.len()];
            let request = caller::send_admin_request(address, "PUT", &path, body);
            match tokio::time::timeout(HEARTBEAT_TIMEOUT, request).await {
                Ok(Ok((200, _))) => tokio::time::sleep(HEARTBEAT_INTERVAL).await,
                // On any failure, the next control instance is tried at once.
                Ok(_) | Err(_) => control_index += 1,
            }
        }
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let backend = self.clone();
            let handler = service_fn(move |request| backend.clone().handle(request));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), handler);
            tokio::spawn(async move {
                // Errors are observed by the callers.
                let _ = connection.await;
            });
        }
    }

    /// Selects the behaviour for the next request at random, if it misbehaves now.
    fn random_behaviour(&self) -> Behaviour {
        let until = *self
            .misbehaves_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        if Instant::now() >= until || !rng.random_bool(MISBEHAVIOUR_PROBABILITY) {
            return Behaviour::Respond;
        }
        [
            Behaviour::Abort,
            Behaviour::Reject,
            Behaviour::WrongRequestId,
        ][rng.random_range(0..3)]
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        let headers = ReceivedHeaders::read(request.headers());
        let behaviour = self.random_behaviour();
        let body = request.into_body().collect().await;
        let body = body.map_err(std::io::Error::other)?.to_bytes();
        if behaviour == Behaviour::Reject {
            let (name, value) = simulation::not_executed_header();
            let response = Response::builder()
                .status(StatusCode::SERVICE_UNAVAILABLE)
                .header(name, value);
            return response
                .body(full(Bytes::new()))
                .map_err(std::io::Error::other);
        }
        self.checker.record_execution(&self.name, &headers, &body);
        if behaviour == Behaviour::Abort && self.service == TOOL_SERVICE {
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        let response_id = if behaviour == Behaviour::WrongRequestId {
            "another"
        } else {
            &headers.request
        };
        let (name, value) = simulation::request_id_header(response_id);
        let response = Response::builder().header(name, value);
        let response = if self.service == ENGINE_SERVICE {
            let aborted = behaviour == Behaviour::Abort;
            response
                .header("content-type", "text/event-stream")
                .body(event_stream(headers.request.clone(), aborted))
        } else {
            tokio::time::sleep(TOOL_DURATION).await;
            response.body(full(response_text(&headers.request).into()))
        };
        response.map_err(std::io::Error::other)
    }
}

fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Returns a response body with all events of a stream, or one that fails in the middle if
/// `aborted`.
fn event_stream(request: String, aborted: bool) -> Body {
    let chunks = stream::unfold((1, request), move |(number, request)| async move {
        if number > EVENTS_PER_STREAM {
            return None;
        }
        tokio::time::sleep(EVENT_INTERVAL).await;
        if aborted && number > EVENTS_PER_STREAM / 2 {
            return Some((
                Err(std::io::ErrorKind::BrokenPipe.into()),
                (EVENTS_PER_STREAM + 1, request),
            ));
        }
        let text = format!("id: {number}\ndata: {}\n\n", event_data(&request, number));
        Some((Ok(Frame::data(Bytes::from(text))), (number + 1, request)))
    });
    BodyExt::boxed(StreamBody::new(chunks))
}
