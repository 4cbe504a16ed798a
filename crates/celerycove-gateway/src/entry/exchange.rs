//! Attempts of one request at backend servers, and the rules for retrying them.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use celerycove_fleet::{
    Index,
    config::{Route, ServiceName},
};
use celerycove_quarantine::digest::{Digests, Subject};
use celerycove_rollout::{guide::Answer, order::Version};
use celerycove_route::direct::{Outcome, Run, Selection};
use celerycove_types::{Timestamp, id};
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, StatusCode, Uri,
    body::Incoming,
    http::{response::Parts, uri::PathAndQuery},
};

use super::{
    Entry, Refusal,
    crashes::Broken,
    intake::Pass,
    pool::{PooledConnection, SendError},
    response::{BufferError, collect, is_delimited, keeps_alive},
    rollout::Ticket,
};
use crate::{
    clock,
    dialect::{Attempt, RequestMetadata, ResponseMetadata},
    link::lock,
    memory::{Part, Room},
};

/// A request with less time left than this is refused: sending it would waste a backend server's
/// work.
const MIN_TIME_LEFT: Duration = Duration::from_millis(8);
/// Number of attempts after which a request is refused if the last one did not run it, because the
/// backend server declined or was out of reach.
const MAX_TRIES: u32 = 5;
/// Multiple of the route's target latency after which a request that may be repeated is retried at
/// another backend server.
const RESPONSE_TIMEOUT_FACTOR: u32 = 3;
/// Lower bound of that timeout, so that a short load peak does not count as a failure.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(450);
/// Time without a response after which a resumable stream is requested from another backend server.
const STREAM_START_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An admitted request and the state of its attempts.
pub(super) struct Dispatch {
    pub(super) entry: Arc<Entry>,
    /// The configuration under which the request was admitted.
    pub(super) index: Arc<Index>,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) organisation: Option<id::Organisation>,
    pub(super) request: id::Request,
    pub(super) call: RequestMetadata,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// The room that the body takes.
    pub(super) body_room: Room,
    pub(super) started: Timestamp,
    /// When the request times out: the earlier of the caller's deadline and the route's timeout.
    pub(super) deadline: Timestamp,
    /// When the caller stops waiting for the response.
    pub(super) caller_deadline: Timestamp,
    /// Requests with equal affinity prefer the same backend server.
    pub(super) affinity: u64,
    /// Rank of the organisation or route, 0 first.
    pub(super) rank: u8,
    /// Priority among a model engine's requests, 0 first; `None` for other services.
    pub(super) priority: Option<u8>,
    /// The turn's pass through the admission gate, if one applies.
    pub(super) pass: Option<Pass>,
    /// Backend servers that are not tried again.
    pub(super) excluded: Vec<id::Backend>,
    /// Attempts in which a backend server may have run the request.
    pub(super) sent: u32,
    /// All attempts, including those in which the request was not run.
    pub(super) tries: u32,
    /// The body as the caller sent it.
    pub(super) caller_body: Bytes,
    /// The digests of the request, once they were needed.
    pub(super) digests: Option<Digests>,
    /// Whether a quarantined request is tried, on one backend server only.
    pub(super) is_trial: bool,
    /// The version on which it failed last.
    pub(super) failed_on: Option<Version>,
}

/// A response whose head has arrived, with the connection that its body is read from.
pub(super) struct Exchange {
    pub(super) choice: Selection,
    pub(super) head: Parts,
    /// Metadata read from the headers.
    pub(super) metadata: ResponseMetadata,
    pub(super) body: Incoming,
    pub(super) connection: PooledConnection,
    /// When the request was sent.
    pub(super) sent_at: Timestamp,
    pub(super) ticket: Ticket,
}

/// A response that was read to its end.
pub(super) struct BufferedResponse {
    pub(super) head: Parts,
    pub(super) body: Bytes,
}

/// Outcome of one attempt.
enum AttemptOutcome {
    Responded(Box<Exchange>),
    /// The backend server has not run the request.
    NotRun,
    /// The backend server may have run the request; the refusal is returned if the request is not
    /// retried.
    MayHaveRun(Refusal),
}

impl Dispatch {
    /// Tries backend servers until one begins to respond.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no further attempt is allowed.
    pub(super) async fn begin_response(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<Exchange, Refusal> {
        loop {
            let now = clock::now();
            if self.deadline.saturating_sub(now) < MIN_TIME_LEFT {
                return Err(self.timeout_refusal());
            }
            if self.sent == 0 {
                self.entry.check_stop(self.deadline)?;
            }
            self.check_quarantine()?;
            let Some(choice) = self.choose_backend(now) else {
                return Err(self.no_backend_refusal());
            };
            self.log_choice(&choice);
            self.tries += 1;
            match self.attempt(choice, last_event).await {
                AttemptOutcome::Responded(exchange) => return Ok(*exchange),
                AttemptOutcome::NotRun if self.tries >= MAX_TRIES => {
                    return Err(self.no_backend_refusal());
                }
                AttemptOutcome::NotRun => {}
                AttemptOutcome::MayHaveRun(_) if self.may_retry() => {}
                AttemptOutcome::MayHaveRun(refusal) => return Err(refusal),
            }
        }
    }

    /// Tries backend servers until one responds completely.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if no further attempt is allowed.
    pub(super) async fn buffered_response(&mut self) -> Result<BufferedResponse, Refusal> {
        loop {
            let exchange = self.begin_response(self.call.last_event).await?;
            let status = exchange.head.status;
            let response = match self.buffer(exchange).await {
                Ok(response) => response,
                Err(BufferError::Interrupted) if self.may_retry() => continue,
                Err(_) => return Err(Refusal::Failed),
            };
            let failed = status.is_server_error();
            if !failed || !self.may_retry() {
                return Ok(response);
            }
        }
    }

    /// Returns the digests of the request.
    fn digests(&mut self) -> Digests {
        let subject = Subject {
            organisation: self.organisation.as_deref(),
            method: self.method.as_str(),
            target: target(&self.uri),
            previous_turn: self.call.previous_turn.as_deref(),
            body: &self.caller_body,
        };
        *self.digests.get_or_insert_with(|| subject.digests())
    }

    /// Checks before each attempt but the first that the request has not been quarantined meanwhile.
    fn check_quarantine(&mut self) -> Result<(), Refusal> {
        if self.tries == 0 || self.is_trial || !self.entry.crashes.is_active() {
            return Ok(());
        }
        let digests = self.digests();
        match self.entry.check_quarantine(&self.request, &digests) {
            Ok(is_trial) => {
                self.is_trial = is_trial;
                Ok(())
            }
            Err(_) if self.sent > 0 => Err(Refusal::Failed),
            Err(refusal) => Err(refusal),
        }
    }

    /// Records that the connection broke on which the request had been sent.
    pub(super) fn record_break(&mut self, choice: &Selection, sent_at: Timestamp) {
        let broken = Broken {
            request: self.request.clone(),
            digests: self.digests(),
            organisation: self.organisation.clone().unwrap_or_else(|| "".into()),
            started: sent_at,
        };
        self.entry.record_break(choice, broken);
    }

    /// Records that a backend server answered completely. An answer that ends with its connection
    /// may have been cut short by a crash.
    pub(super) fn record_whole_answer(&mut self, head: &Parts) {
        if self.entry.crashes.is_active() && is_delimited(head) {
            let digests = self.digests();
            self.entry.vindicate(&self.request, &digests);
        }
    }

    /// Returns whether the request may be sent to another backend server although one may have run
    /// it.
    pub(super) fn may_retry(&self) -> bool {
        let left = self.deadline.saturating_sub(clock::now());
        self.route.is_repeatable()
            && !self.is_trial
            && self.sent < self.route.max_attempts.max(1)
            && left > MIN_TIME_LEFT
    }

    fn timeout_refusal(&self) -> Refusal {
        if self.sent > 0 {
            Refusal::TimedOut
        } else {
            Refusal::TooLate
        }
    }

    fn no_backend_refusal(&self) -> Refusal {
        match (self.sent, self.tries) {
            (0, 0) => Refusal::NoServer,
            (0, _) => Refusal::Declined,
            _ => Refusal::Failed,
        }
    }

    async fn attempt(&mut self, choice: Selection, last_event: Option<u64>) -> AttemptOutcome {
        let key = (choice.backend.clone(), choice.incarnation);
        // The caller may leave while the connection is opened.
        let guard = InFlightGuard::new(self, &choice);
        let connection = self.entry.pool.acquire(key, choice.address).await;
        guard.disarm();
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(error) => {
                self.record_attempt(&choice, Outcome::Failed, "unreachable", &error);
                self.excluded.push(choice.backend);
                return AttemptOutcome::NotRun;
            }
        };
        let request = match self.build_request(&choice, last_event) {
            Ok(request) => request,
            Err(error) => {
                self.record_attempt(&choice, Outcome::Abandoned, "unsendable", &error);
                self.excluded.push(choice.backend);
                return AttemptOutcome::NotRun;
            }
        };
        if !self.may_still_run_on(&choice) {
            let detail = &choice.version;
            self.record_attempt(&choice, Outcome::Abandoned, "version withdrawn", detail);
            return AttemptOutcome::NotRun;
        }
        let guard = InFlightGuard::new(self, &choice);
        let ticket = self.begin_ticket(&choice);
        let sent_at = clock::now();
        let response = tokio::time::timeout(self.head_timeout(), connection.send(request)).await;
        guard.disarm();
        match response {
            Ok(Ok(response)) => {
                let response = response.into_parts();
                self.classify(choice, response, connection, sent_at, ticket)
            }
            Ok(Err(SendError::NotSent)) => {
                // A pooled connection that was closed while idle is no sign of a failed backend
                // server.
                let outcome = if connection.reused {
                    Outcome::Abandoned
                } else {
                    self.excluded.push(choice.backend.clone());
                    Outcome::Failed
                };
                self.record_attempt(&choice, outcome, "not sent", &"the connection was closed");
                AttemptOutcome::NotRun
            }
            Ok(Err(SendError::Broken(error))) => {
                self.record_attempt(&choice, Outcome::Failed, "broken", &error);
                self.record_break(&choice, sent_at);
                self.end_ticket(ticket, Answer::Failed);
                self.exclude_after_send(choice);
                AttemptOutcome::MayHaveRun(Refusal::Failed)
            }
            Err(_) => {
                // If the request's own deadline expired, the backend server is not to blame.
                let expired = self.deadline <= clock::now();
                let (outcome, answer) = if expired {
                    (Outcome::Abandoned, ticket.good())
                } else {
                    (Outcome::Failed, Answer::Failed)
                };
                self.record_attempt(&choice, outcome, "no answer in time", &"silence");
                self.end_ticket(ticket, answer);
                self.exclude_after_send(choice);
                AttemptOutcome::MayHaveRun(Refusal::TimedOut)
            }
        }
    }

    fn exclude_after_send(&mut self, choice: Selection) {
        self.sent += 1;
        self.excluded.push(choice.backend);
    }

    /// Returns the time limit for the head of the response.
    fn head_timeout(&self) -> Duration {
        let left = self.deadline.saturating_sub(clock::now());
        let can_retry =
            self.route.is_repeatable() && self.sent + 1 < self.route.max_attempts.max(1);
        if !can_retry {
            return left;
        }
        let timeout = if self.call.prompt.is_empty() {
            (self.route.target_latency * RESPONSE_TIMEOUT_FACTOR).max(MIN_RESPONSE_TIMEOUT)
        } else {
            STREAM_START_TIMEOUT
        };
        left.min(timeout)
    }

    fn classify(
        &mut self,
        choice: Selection,
        (head, body): (Parts, Incoming),
        connection: PooledConnection,
        sent_at: Timestamp,
        mut ticket: Ticket,
    ) -> AttemptOutcome {
        let metadata = self.entry.dialect.response_metadata(&head);
        // The response of another request decides nothing about this one, whatever it states.
        if let Some(answered) = &metadata.request_id
            && *answered != self.request
        {
            self.end_ticket(ticket, Answer::Failed);
            return self.reject_foreign_response(choice, head.status);
        }
        let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        // A misdirected request was answered by another backend server than the chosen one.
        if metadata.leaving && !misdirected {
            self.record_departure(&choice);
        }
        if metadata.declined || misdirected {
            lock(&self.entry.servers).record_outcome(
                clock::now(),
                &self.service,
                &choice.backend,
                Outcome::Declined,
                metadata.load,
            );
            self.log_attempt(&choice, "declined", &head.status);
            self.excluded.push(choice.backend);
            return AttemptOutcome::NotRun;
        }
        if metadata.request_id.is_none() {
            self.end_ticket(ticket, Answer::Failed);
            return self.reject_foreign_response(choice, head.status);
        }
        self.sent += 1;
        ticket.note_head(head.status.is_server_error());
        if let Some(load) = metadata.load {
            let mut servers = lock(&self.entry.servers);
            servers.record_load(clock::now(), &self.service, &choice.backend, load);
        }
        AttemptOutcome::Responded(Box::new(Exchange {
            choice,
            head,
            metadata,
            body,
            connection,
            sent_at,
            ticket,
        }))
    }

    /// Records a response that is not known to answer this request, which may run nevertheless.
    fn reject_foreign_response(&mut self, choice: Selection, status: StatusCode) -> AttemptOutcome {
        self.record_attempt(
            &choice,
            Outcome::Failed,
            "answer to another request",
            &status,
        );
        self.exclude_after_send(choice);
        AttemptOutcome::MayHaveRun(Refusal::Failed)
    }

    /// Notes that a backend server has said that it leaves.
    fn record_departure(&self, choice: &Selection) {
        let mut servers = lock(&self.entry.servers);
        if servers.record_departure(clock::now(), &choice.backend, choice.incarnation) {
            log::info!(target: "route", request:% = self.request, backend:% = choice.backend,
                born = choice.incarnation; "a backend server has said that it leaves");
        }
    }

    fn build_request(
        &self,
        choice: &Selection,
        last_event: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut headers = self.headers.clone();
        let attempt = Attempt {
            backend: &choice.backend,
            remaining: Some(self.caller_deadline.saturating_sub(clock::now())),
            organisation: self.organisation.as_ref(),
            last_event,
            priority: self.priority,
        };
        self.entry.dialect.rewrite_headers(&mut headers, &attempt);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.uri.clone())
            .body(Full::new(self.body.clone()))?;
        *request.headers_mut() = headers;
        Ok(request)
    }

    /// Reads a response to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if it is interrupted or too long, or if there is no room for it.
    pub(super) async fn buffer(
        &mut self,
        exchange: Exchange,
    ) -> Result<BufferedResponse, BufferError> {
        let Exchange {
            choice,
            head,
            metadata,
            body,
            connection,
            sent_at,
            ticket,
        } = exchange;
        let left = self.deadline.saturating_sub(clock::now());
        let guard = InFlightGuard::new(self, &choice);
        let collected = collect(body, self.entry.connections.account());
        let collected = tokio::time::timeout(left, collected).await;
        guard.disarm();
        let is_in_time = collected.is_ok();
        let collected = match collected.unwrap_or(Err(BufferError::Interrupted)) {
            Ok(collected) => collected,
            Err(BufferError::NoRoom) => {
                // The backend server is not to blame.
                let detail = &head.status;
                self.record_attempt(&choice, Outcome::Abandoned, "no memory", detail);
                self.entry.log_no_room(Part::Responses);
                return Err(BufferError::NoRoom);
            }
            Err(BufferError::Interrupted) => {
                self.record_attempt(&choice, Outcome::Failed, "broken off", &head.status);
                let answer = if is_in_time {
                    self.record_break(&choice, sent_at);
                    Answer::Failed
                } else {
                    ticket.good()
                };
                self.end_ticket(ticket, answer);
                self.excluded.push(choice.backend);
                return Err(BufferError::Interrupted);
            }
        };
        connection.finish(keeps_alive(&head), metadata.idle_timeout);
        if head.status.is_server_error() {
            self.end_ticket(ticket, Answer::Failed);
            self.record_attempt(
                &choice,
                Outcome::Erred,
                "answered with an error",
                &head.status,
            );
        } else {
            let answer = ticket.good();
            self.end_ticket(ticket, answer);
            self.record_attempt(&choice, Outcome::Answered, "answered", &head.status);
            self.record_whole_answer(&head);
            if self.call.prompt.is_empty() && head.status.is_success() {
                let total = clock::now().saturating_sub(sent_at);
                let run = Run {
                    first_byte: total,
                    total,
                    prompt_read: 0,
                    generated: 0,
                    running: metadata.load.map_or(0, |load| load.running),
                };
                self.record_run(&choice, &run);
            }
        }
        Ok(BufferedResponse {
            head,
            body: collected,
        })
    }

    /// Returns how many tokens of the prompt the selected backend server probably had to read.
    pub(super) fn uncached_tokens(&self, choice: &Selection) -> id::Tokens {
        let prompt: id::Tokens = self.call.prompt.iter().map(|part| part.tokens).sum();
        prompt.saturating_sub(choice.cached_tokens)
    }

    /// Reports how long an answered request took to the backend selection.
    pub(super) fn record_run(&self, choice: &Selection, run: &Run) {
        let mut servers = lock(&self.entry.servers);
        servers.record_run(clock::now(), &self.service, &choice.backend, run);
    }

    /// Reports the attempt's outcome to the backend selection, and logs and counts it.
    pub(super) fn record_attempt(
        &self,
        choice: &Selection,
        outcome: Outcome,
        label: &'static str,
        detail: &dyn std::fmt::Display,
    ) {
        let now = clock::now();
        lock(&self.entry.servers).record_outcome(
            now,
            &self.service,
            &choice.backend,
            outcome,
            None,
        );
        self.log_attempt(choice, label, detail);
    }

    fn log_attempt(&self, choice: &Selection, label: &'static str, detail: &dyn std::fmt::Display) {
        self.entry.metrics.record_attempt(label);
        if label != "answered" {
            log::info!(target: "attempt", request:% = self.request, backend:% = choice.backend,
                detail:% = detail, sent = self.sent, tries = self.tries,
                elapsed_ms = clock::millis(clock::now().saturating_sub(self.started)); "{label}");
        }
    }

    fn log_choice(&self, choice: &Selection) {
        log::info!(target: "route", request:% = self.request, backend:% = choice.backend,
            service:% = self.service, version = self.index.config().version,
            candidates = choice.candidates, cached = choice.cached_tokens,
            expected_ms = clock::millis(choice.expected_delay),
            full = choice.is_full, wait_ms = clock::millis(choice.expected_wait),
            heard_ms = clock::millis(choice.heartbeat_age),
            left_ms = clock::millis(self.deadline.saturating_sub(clock::now())); "chosen");
    }
}

/// Returns the path and query of a request.
pub(super) fn target(uri: &Uri) -> &str {
    uri.path_and_query().map_or("", PathAndQuery::as_str)
}

/// Reports an attempt to the backend selection as abandoned if it is dropped in flight, because the
/// caller disconnected.
pub(super) struct InFlightGuard {
    entry: Arc<Entry>,
    service: ServiceName,
    backend: Option<id::Backend>,
}

impl InFlightGuard {
    pub(super) fn new(dispatch: &Dispatch, choice: &Selection) -> Self {
        Self {
            entry: dispatch.entry.clone(),
            service: dispatch.service.clone(),
            backend: Some(choice.backend.clone()),
        }
    }

    pub(super) fn disarm(mut self) {
        self.backend = None;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(backend) = &self.backend {
            let mut servers = lock(&self.entry.servers);
            let now = clock::now();
            servers.record_outcome(now, &self.service, backend, Outcome::Abandoned, None);
        }
    }
}
