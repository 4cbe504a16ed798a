//! One request on its way: the backend servers that were given it, and what came of that.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use celerycove_fleet::{
    Index,
    config::{Route, ServiceName},
};
use celerycove_route::direct::{Choice, Ending, Need};
use celerycove_types::{Timestamp, id};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, StatusCode, Uri, body::Incoming, header, http::response::Parts,
};

use super::{
    Entry, Refusal,
    pool::{Lease, SendError},
};
use crate::{
    clock,
    dialect::{Answer, Attempt, Call},
    link::lock,
};

/// Less time than this is not worth a backend server's work.
const TOO_SHORT: Duration = Duration::from_millis(8);
/// How many backend servers may decline or be out of reach before the request is refused.
const MOST_TRIES: u32 = 5;
/// The longest answer of a plain service that is held whole before it is passed on.
const LONGEST_ANSWER: usize = 16 << 20;
/// An answer of an idempotent request that takes this many times its aim is sought elsewhere.
const PATIENCE: u32 = 3;
/// No answer is sought elsewhere sooner: a moment of load is no failure.
const LEAST_PATIENCE: Duration = Duration::from_millis(450);
/// The first event of a stream that may be resumed is sought elsewhere after this time.
const STREAM_PATIENCE: Duration = Duration::from_millis(1_500);

/// A request that was let in.
pub(super) struct Task {
    pub(super) entry: Arc<Entry>,
    pub(super) index: Arc<Index>,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) organisation: Option<id::Organisation>,
    pub(super) request: id::Request,
    pub(super) call: Call,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) began: Timestamp,
    pub(super) deadline: Timestamp,
    /// When the caller itself gives up.
    pub(super) patience: Timestamp,
    pub(super) affinity: u64,
    pub(super) urgency: Option<u8>,
    pub(super) avoid: Vec<id::Backend>,
    /// Backend servers that may have run it.
    pub(super) sent: u32,
    pub(super) tries: u32,
}

/// An answer that has begun.
pub(super) struct Exchange {
    pub(super) choice: Choice,
    pub(super) head: Parts,
    pub(super) answer: Answer,
    pub(super) body: Incoming,
    pub(super) lease: Lease,
}

/// A whole answer.
pub(super) struct Whole {
    pub(super) head: Parts,
    pub(super) body: Bytes,
}

/// What one backend server did with the request.
enum Step {
    Answered(Box<Exchange>),
    /// It has not run there.
    NotRun,
    /// It may have run there; what the caller is told if it is not repeated.
    Unknown(Refusal),
}

impl Task {
    /// Finds a backend server that begins to answer.
    pub(super) async fn exchange(&mut self, last_event: Option<u64>) -> Result<Exchange, Refusal> {
        loop {
            let now = clock::now();
            if self.deadline.saturating_sub(now) < TOO_SHORT {
                return Err(self.too_late());
            }
            let Some(choice) = self.choose(now) else {
                return Err(self.none_left());
            };
            self.log_choice(&choice);
            self.tries += 1;
            match self.step(choice, last_event).await {
                Step::Answered(exchange) => return Ok(*exchange),
                Step::NotRun if self.tries >= MOST_TRIES => return Err(self.none_left()),
                Step::NotRun => {}
                Step::Unknown(_) if self.may_repeat() => {}
                Step::Unknown(refusal) => return Err(refusal),
            }
        }
    }

    /// Finds a backend server that answers whole.
    pub(super) async fn whole(&mut self) -> Result<Whole, Refusal> {
        loop {
            let exchange = self.exchange(self.call.last_event).await?;
            let status = exchange.head.status;
            let Some(whole) = self.collect(exchange).await else {
                if self.may_repeat() {
                    continue;
                }
                return Err(Refusal::Failed);
            };
            let failed = status.is_server_error();
            if !failed || !self.may_repeat() {
                return Ok(whole);
            }
        }
    }

    /// Whether another backend server may be given the request though one may have run it.
    pub(super) fn may_repeat(&self) -> bool {
        let left = self.deadline.saturating_sub(clock::now());
        self.route.is_repeatable() && self.sent < self.route.max_attempts.max(1) && left > TOO_SHORT
    }

    fn too_late(&self) -> Refusal {
        if self.sent > 0 {
            Refusal::TimedOut
        } else {
            Refusal::TooLate
        }
    }

    fn none_left(&self) -> Refusal {
        match (self.sent, self.tries) {
            (0, 0) => Refusal::NoServer,
            (0, _) => Refusal::Declined,
            _ => Refusal::Failed,
        }
    }

    fn choose(&mut self, now: Timestamp) -> Option<Choice> {
        let need = Need {
            affinity: self.affinity,
            prompt: &self.call.prompt,
            avoid: &self.avoid,
        };
        lock(&self.entry.servers).choose(now, &self.service, &need)
    }

    async fn step(&mut self, choice: Choice, last_event: Option<u64>) -> Step {
        let key = (choice.backend.clone(), choice.born);
        let lease = self.entry.pool.lease(key, choice.address).await;
        let mut lease = match lease {
            Ok(lease) => lease,
            Err(error) => {
                self.note(&choice, Ending::Failed, "unreachable", &error);
                self.avoid.push(choice.backend);
                return Step::NotRun;
            }
        };
        let request = match self.request(&choice, last_event) {
            Ok(request) => request,
            Err(error) => {
                self.note(&choice, Ending::Abandoned, "unsendable", &error);
                self.avoid.push(choice.backend);
                return Step::NotRun;
            }
        };
        let guard = Occupied::new(self, &choice);
        let sent = tokio::time::timeout(self.first_limit(), lease.send(request)).await;
        guard.disarm();
        match sent {
            Ok(Ok(response)) => self.judge(choice, response.into_parts(), lease),
            Ok(Err(SendError::NotSent)) => {
                // A connection that was closed while idle says nothing of the backend server.
                let ending = if lease.reused {
                    Ending::Abandoned
                } else {
                    self.avoid.push(choice.backend.clone());
                    Ending::Failed
                };
                self.note(&choice, ending, "not sent", &"the connection was closed");
                Step::NotRun
            }
            Ok(Err(SendError::Broken(error))) => {
                self.note(&choice, Ending::Failed, "broken", &error);
                self.fail(choice);
                Step::Unknown(Refusal::Failed)
            }
            Err(_) => {
                // Where the request's own time was short, its end says nothing of the server.
                let ended = self.deadline <= clock::now();
                let ending = if ended {
                    Ending::Abandoned
                } else {
                    Ending::Failed
                };
                self.note(&choice, ending, "no answer in time", &"silence");
                self.fail(choice);
                Step::Unknown(Refusal::TimedOut)
            }
        }
    }

    fn fail(&mut self, choice: Choice) {
        self.sent += 1;
        self.avoid.push(choice.backend);
    }

    /// How long the head of an answer may take.
    fn first_limit(&self) -> Duration {
        let left = self.deadline.saturating_sub(clock::now());
        let elsewhere =
            self.route.is_repeatable() && self.sent + 1 < self.route.max_attempts.max(1);
        if !elsewhere {
            return left;
        }
        let patience = if self.call.prompt.is_empty() {
            (self.route.aim * PATIENCE).max(LEAST_PATIENCE)
        } else {
            STREAM_PATIENCE
        };
        left.min(patience)
    }

    fn judge(&mut self, choice: Choice, (head, body): (Parts, Incoming), lease: Lease) -> Step {
        let answer = self.entry.dialect.answer(&head);
        let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        if answer.declined || misdirected {
            lock(&self.entry.servers).end(
                clock::now(),
                &self.service,
                &choice.backend,
                Ending::Declined,
                answer.load,
            );
            self.log_attempt(&choice, "declined", &head.status);
            self.avoid.push(choice.backend);
            return Step::NotRun;
        }
        if answer.request.as_ref() != Some(&self.request) {
            // Whatever this is, it answers something else.
            self.note(
                &choice,
                Ending::Failed,
                "answer to another request",
                &head.status,
            );
            self.fail(choice);
            return Step::Unknown(Refusal::Failed);
        }
        self.sent += 1;
        if let Some(load) = answer.load {
            let mut servers = lock(&self.entry.servers);
            servers.tell(clock::now(), &self.service, &choice.backend, load);
        }
        Step::Answered(Box::new(Exchange {
            choice,
            head,
            answer,
            body,
            lease,
        }))
    }

    fn request(
        &self,
        choice: &Choice,
        last_event: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut headers = self.headers.clone();
        let attempt = Attempt {
            backend: &choice.backend,
            left: Some(self.patience.saturating_sub(clock::now())),
            organisation: self.organisation.as_ref(),
            last_event,
            urgency: self.urgency,
        };
        self.entry.dialect.dress(&mut headers, &attempt);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.uri.clone())
            .body(Full::new(self.body.clone()))?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Reads an answer to its end; `None` if it broke off.
    pub(super) async fn collect(&mut self, exchange: Exchange) -> Option<Whole> {
        let Exchange {
            choice,
            head,
            answer,
            body,
            lease,
        } = exchange;
        let left = self.deadline.saturating_sub(clock::now());
        let guard = Occupied::new(self, &choice);
        let collected = Limited::new(body, LONGEST_ANSWER).collect();
        let collected = tokio::time::timeout(left, collected).await;
        guard.disarm();
        let Ok(Ok(collected)) = collected else {
            self.note(&choice, Ending::Failed, "broken off", &head.status);
            self.avoid.push(choice.backend);
            return None;
        };
        if keeps_open(&head) {
            lease.give_back(answer.idle);
        }
        if head.status.is_server_error() {
            self.note(
                &choice,
                Ending::Erred,
                "answered with an error",
                &head.status,
            );
        } else {
            self.note(&choice, Ending::Answered, "answered", &head.status);
        }
        Some(Whole {
            head,
            body: collected.to_bytes(),
        })
    }

    /// Judges the backend server and writes the attempt's line.
    pub(super) fn note(
        &self,
        choice: &Choice,
        ending: Ending,
        what: &'static str,
        detail: &dyn std::fmt::Display,
    ) {
        let now = clock::now();
        lock(&self.entry.servers).end(now, &self.service, &choice.backend, ending, None);
        self.log_attempt(choice, what, detail);
    }

    fn log_attempt(&self, choice: &Choice, what: &'static str, detail: &dyn std::fmt::Display) {
        self.entry.metrics.attempt(what);
        if what != "answered" {
            log::info!(target: "attempt", request:% = self.request, backend:% = choice.backend,
                detail:% = detail, sent = self.sent, tries = self.tries,
                elapsed_ms = clock::millis(clock::now().saturating_sub(self.began)); "{what}");
        }
    }

    fn log_choice(&self, choice: &Choice) {
        log::info!(target: "route", request:% = self.request, backend:% = choice.backend,
            service:% = self.service, version = self.index.config().version,
            candidates = choice.candidates, cached = choice.cached,
            expected_ms = clock::millis(choice.expected),
            heard_ms = clock::millis(choice.heard),
            left_ms = clock::millis(self.deadline.saturating_sub(clock::now())); "chosen");
    }
}

/// Whether the connection stays open after an answer.
pub(super) fn keeps_open(head: &Parts) -> bool {
    let mut options = head.headers.get_all(header::CONNECTION).iter();
    !options.any(|value| {
        let value = value.to_str().unwrap_or("close");
        value.to_ascii_lowercase().contains("close")
    })
}

/// Takes a request off a backend server's account if its caller leaves meanwhile.
pub(super) struct Occupied {
    entry: Arc<Entry>,
    service: ServiceName,
    backend: Option<id::Backend>,
}

impl Occupied {
    pub(super) fn new(task: &Task, choice: &Choice) -> Self {
        Self {
            entry: task.entry.clone(),
            service: task.service.clone(),
            backend: Some(choice.backend.clone()),
        }
    }

    pub(super) fn disarm(mut self) {
        self.backend = None;
    }
}

impl Drop for Occupied {
    fn drop(&mut self) {
        if let Some(backend) = &self.backend {
            let mut servers = lock(&self.entry.servers);
            let now = clock::now();
            servers.end(now, &self.service, backend, Ending::Abandoned, None);
        }
    }
}
