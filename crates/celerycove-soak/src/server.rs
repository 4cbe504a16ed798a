//! Stand-in backend servers, which announce themselves and misbehave for a while when told to.

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
use celerycove_platform::outside::{self, ENGINES, TOOLS, Told};
use futures_util::stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{Request, Response, StatusCode, body::Frame, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{net::TcpListener, time::Instant};

use crate::{caller, ledger::Ledger};

/// Events of one stream.
pub const EVENTS: u64 = 5;
/// The pause between two events.
const STEP: Duration = Duration::from_millis(6);
/// How long a plain service works.
const WORK: Duration = Duration::from_millis(15);
/// How often a backend server announces itself.
const BEAT: Duration = Duration::from_millis(600);
/// How long a control instance may take to answer a heartbeat.
const BEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// The part of the requests that a troubled backend server does not answer as it should.
const TROUBLED: f64 = 0.15;

type Body = BoxBody<Bytes, std::io::Error>;

/// What a backend server does with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Deed {
    Answer,
    /// Runs it and breaks off.
    BreakOff,
    /// Does not run it and says so.
    Decline,
    /// Answers under another name.
    AnswerAnother,
}

/// The data of an event.
#[must_use]
pub fn event(request: &str, number: u64) -> String {
    format!("{number} of {request}")
}

/// The answer of the plain service.
#[must_use]
pub fn answer(request: &str) -> String {
    format!("done {request}")
}

/// One backend server.
pub struct Server {
    name: String,
    service: &'static str,
    data_centre: String,
    /// The address that it tells.
    address: SocketAddr,
    ledger: Arc<Ledger>,
    rng: Mutex<ChaCha8Rng>,
    troubled_until: Mutex<Instant>,
    seq: AtomicU64,
}

impl Server {
    /// Starts a backend server that listens on one address and tells another.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(
        (number, service): (usize, &'static str),
        data_centre: String,
        (listen, address): (SocketAddr, SocketAddr),
        ledger: Arc<Ledger>,
        control: Vec<SocketAddr>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(listen).await?;
        let server = Arc::new(Self {
            name: format!("{service}-{number}"),
            service,
            data_centre,
            address,
            ledger,
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(number as u64)),
            troubled_until: Mutex::new(Instant::now()),
            seq: AtomicU64::new(0),
        });
        tokio::spawn(server.clone().serve(listener));
        tokio::spawn(server.clone().announce(control));
        Ok(server)
    }

    /// Lets it misbehave for a while.
    pub fn trouble(&self, lasts: Duration) {
        *self
            .troubled_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Instant::now() + lasts;
    }

    async fn announce(self: Arc<Self>, control: Vec<SocketAddr>) {
        let mut next = 0;
        loop {
            let seq = self.seq.fetch_add(1, SeqCst) + 1;
            let (path, body) = outside::beat(
                &self.name,
                self.service,
                &self.data_centre,
                self.address,
                (1, seq),
            );
            let at = control[next % control.len()];
            let told = caller::order(at, "PUT", &path, body);
            match tokio::time::timeout(BEAT_TIMEOUT, told).await {
                Ok(Ok((200, _))) => tokio::time::sleep(BEAT).await,
                // Whatever failed, the next instance is told.
                Ok(_) | Err(_) => next += 1,
            }
        }
    }

    async fn serve(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let server = self.clone();
            let answer = service_fn(move |request| server.clone().answer(request));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), answer);
            tokio::spawn(async move {
                // Callers see how it ends.
                let _ = connection.await;
            });
        }
    }

    fn deed(&self) -> Deed {
        let until = *self
            .troubled_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        if Instant::now() >= until || !rng.random_bool(TROUBLED) {
            return Deed::Answer;
        }
        [Deed::BreakOff, Deed::Decline, Deed::AnswerAnother][rng.random_range(0..3)]
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        let told = Told::read(request.headers());
        let deed = self.deed();
        let body = request.into_body().collect().await;
        let body = body.map_err(std::io::Error::other)?.to_bytes();
        if deed == Deed::Decline {
            let (name, value) = outside::declines();
            let response = Response::builder()
                .status(StatusCode::SERVICE_UNAVAILABLE)
                .header(name, value);
            return response
                .body(full(Bytes::new()))
                .map_err(std::io::Error::other);
        }
        self.ledger.run(&self.name, &told, &body);
        if deed == Deed::BreakOff && self.service == TOOLS {
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        let named = if deed == Deed::AnswerAnother {
            "another"
        } else {
            &told.request
        };
        let (name, value) = outside::answers(named);
        let response = Response::builder().header(name, value);
        let response = if self.service == ENGINES {
            let broken = deed == Deed::BreakOff;
            response
                .header("content-type", "text/event-stream")
                .body(events(told.request.clone(), broken))
        } else {
            tokio::time::sleep(WORK).await;
            response.body(full(answer(&told.request).into()))
        };
        response.map_err(std::io::Error::other)
    }
}

fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// A stream that ends after its last event, or breaks off in the middle.
fn events(request: String, broken: bool) -> Body {
    let chunks = stream::unfold((1, request), move |(number, request)| async move {
        if number > EVENTS {
            return None;
        }
        tokio::time::sleep(STEP).await;
        if broken && number > EVENTS / 2 {
            return Some((
                Err(std::io::ErrorKind::BrokenPipe.into()),
                (EVENTS + 1, request),
            ));
        }
        let text = format!("id: {number}\ndata: {}\n\n", event(&request, number));
        Some((Ok(Frame::data(Bytes::from(text))), (number + 1, request)))
    });
    BodyExt::boxed(StreamBody::new(chunks))
}
