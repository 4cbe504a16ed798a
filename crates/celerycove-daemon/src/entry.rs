//! The entry role: the HTTP API for callers. It admits requests, has program calls granted by the
//! program's home, chooses a backend server and streams the answer.

mod admit;
mod body;
mod chat;
mod dispatch;
mod home;
mod limit;
mod pools;
mod program;
mod refuse;
mod service;
mod sse;

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use celerycove_settings::Entry as Setting;
use celerycove_types::id;
use celerycove_wire::header;
use hyper::{Method, Request, Response, body::Incoming, header::HeaderValue};
use rand::{SeedableRng, rngs::StdRng};

use crate::{
    entry::{limit::Limiter, pools::Pools, refuse::Refusal},
    home::Replicas,
    http::{Body, Handler, HttpClient, client},
    peer::Peers,
    process::Process,
    state::SharedState,
};

/// The HTTP handler of requests from callers.
pub struct Entry {
    process: Arc<Process>,
    state: Arc<SharedState>,
    peers: Arc<Peers>,
    replicas: Option<Arc<Replicas>>,
    setting: Setting,
    limiter: Arc<Limiter>,
    pools: Pools,
    client: HttpClient,
    rng: Mutex<StdRng>,
    request_count: AtomicU64,
}

impl Entry {
    /// Creates the handler and starts the task that returns unused rate-limit tokens.
    #[must_use]
    pub fn new(
        process: Arc<Process>,
        state: Arc<SharedState>,
        peers: Arc<Peers>,
        replicas: Option<Arc<Replicas>>,
        setting: Setting,
    ) -> Arc<Self> {
        let limiter = Limiter::start(
            &process,
            &state,
            &peers,
            replicas.as_ref(),
            setting.max_wait.0,
        );
        Arc::new(Self {
            pools: Pools::new(process.data_centre.clone()),
            rng: Mutex::new(StdRng::seed_from_u64(process.incarnation)),
            client: client(),
            request_count: AtomicU64::new(0),
            process,
            state,
            peers,
            replicas,
            setting,
            limiter,
        })
    }

    /// Returns a request id that is unique over processes and their incarnations.
    fn next_request_id(&self) -> id::Request {
        let count = self.request_count.fetch_add(1, Relaxed);
        let process = &self.process;
        format!("{}-{:x}-{count:x}", process.name, process.incarnation).into()
    }

    fn with_rng<T>(&self, work: impl FnOnce(&mut StdRng) -> T) -> T {
        work(&mut self.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns how long an entry retries a request before it refuses it.
    fn retry_timeout(&self) -> Duration {
        self.setting.max_wait.0
    }

    async fn answer(
        self: &Arc<Self>,
        request_id: &id::Request,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Refusal> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        match (&method, path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => self.chat(request_id, request).await,
            (&Method::GET, "/v1/models") => self.list_models(&request),
            (&Method::POST, "/v1/programs") => self.open_program(request_id, request).await,
            (&Method::GET | &Method::DELETE, path) if path.starts_with("/v1/programs/") => {
                self.show_or_end_program(&request).await
            }
            _ => self.call_service(request_id, request).await,
        }
    }
}

impl Handler for Entry {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let began = self.process.now();
        let request_id = self.next_request_id();
        let mut response = match self.answer(&request_id, request).await {
            Ok(response) => response,
            Err(refusal) => {
                log::info!(target: "entry",
                    request:% = request_id, code = refusal.code, run:% = refusal.run;
                    "refused");
                self.process.metrics.refusal(refusal.code);
                refusal.response()
            }
        };
        if let Ok(value) = HeaderValue::from_str(&request_id) {
            response.headers_mut().insert(header::REQUEST, value);
        }
        self.process.metrics.request(response.status().as_u16());
        let elapsed = self.process.now().saturating_sub(began);
        self.process.metrics.first_byte(elapsed);
        response
    }
}
