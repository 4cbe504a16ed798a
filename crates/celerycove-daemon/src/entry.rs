//! Serves callers: admits, finds the program's home, chooses a backend server, streams the answer.

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
    entry::{limit::Purses, pools::Pools, refuse::Refusal},
    home::Homes,
    http::{Body, Handler, HttpClient, client},
    peer::Peers,
    process::Process,
    share::Share,
};

/// Serves callers.
pub struct Entry {
    process: Arc<Process>,
    share: Arc<Share>,
    peers: Arc<Peers>,
    homes: Option<Arc<Homes>>,
    setting: Setting,
    purses: Arc<Purses>,
    pools: Pools,
    client: HttpClient,
    rng: Mutex<StdRng>,
    requests: AtomicU64,
}

impl Entry {
    /// Creates the surface.
    #[must_use]
    pub fn new(
        process: Arc<Process>,
        share: Arc<Share>,
        peers: Arc<Peers>,
        homes: Option<Arc<Homes>>,
        setting: Setting,
    ) -> Arc<Self> {
        let purses = Purses::start(&process, &share, &peers, homes.as_ref(), setting.patience.0);
        Arc::new(Self {
            pools: Pools::new(process.data_centre.clone()),
            rng: Mutex::new(StdRng::seed_from_u64(process.incarnation)),
            client: client(),
            requests: AtomicU64::new(0),
            process,
            share,
            peers,
            homes,
            setting,
            purses,
        })
    }

    /// Names a request: unique over processes and their lives.
    fn name_request(&self) -> id::Request {
        let count = self.requests.fetch_add(1, Relaxed);
        let process = &self.process;
        format!("{}-{:x}-{count:x}", process.name, process.incarnation).into()
    }

    fn with_rng<T>(&self, work: impl FnOnce(&mut StdRng) -> T) -> T {
        work(&mut self.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn patience(&self) -> Duration {
        self.setting.patience.0
    }

    async fn answer(
        self: &Arc<Self>,
        name: &id::Request,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Refusal> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        match (&method, path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => self.chat(name, request).await,
            (&Method::GET, "/v1/models") => self.models(&request),
            (&Method::POST, "/v1/programs") => self.open_program(name, request).await,
            (&Method::GET | &Method::DELETE, path) if path.starts_with("/v1/programs/") => {
                self.one_program(&request).await
            }
            _ => self.service(name, request).await,
        }
    }
}

impl Handler for Entry {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let began = self.process.now();
        let name = self.name_request();
        let mut response = match self.answer(&name, request).await {
            Ok(response) => response,
            Err(refusal) => {
                log::info!(target: "entry", request:% = name, code = refusal.code, run:% = refusal.run;
                    "refused");
                self.process.metrics.refusal(refusal.code);
                refusal.response()
            }
        };
        if let Ok(value) = HeaderValue::from_str(&name) {
            response.headers_mut().insert(header::REQUEST, value);
        }
        self.process.metrics.request(response.status().as_u16());
        let took = self.process.now().saturating_sub(began);
        self.process.metrics.first_byte(took);
        response
    }
}
