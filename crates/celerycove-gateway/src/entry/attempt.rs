//! One attempt of a request at a backend server.

use std::{pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use celerycove_fleet::config::ServiceName;
use celerycove_rollout::guide::Answer;
use celerycove_route::direct::{Outcome, Selection};
use celerycove_types::{Timestamp, id, status::is_final};
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, http::response::Parts};

use super::{
    Entry, Refusal,
    exchange::{Dispatch, Exchange},
    pool::{PooledConnection, SendError},
    rollout::Ticket,
    silence::Silence,
};
use crate::{clock, dialect::Attempt, link::lock};

/// Multiple of the route's target latency after which a request that may be repeated is retried at
/// another backend server.
const RESPONSE_TIMEOUT_FACTOR: u32 = 3;
/// Lower bound of that timeout, so that a short load peak does not count as a failure.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(450);
/// Time without a response after which a resumable stream is requested from another backend server.
const STREAM_START_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How often an attempt that is silent for longer checks whether another backend server has room.
const ALTERNATIVE_INTERVAL: Duration = Duration::from_millis(200);

/// Why a response is rejected that is not known to answer the request.
const FOREIGN: &str = "answer to another request";

/// Outcome of one attempt.
pub(super) enum AttemptOutcome {
    Responded(Box<Exchange>),
    /// The backend server has not run the request.
    NotRun,
    /// The backend server may have run the request; the refusal is returned if the request is not
    /// retried.
    MayHaveRun(Refusal),
}

/// What came of sending a request, and the connection that was used; `None` if there was no response in
/// time.
pub(super) type Reply = Option<(Result<Response<Incoming>, SendError>, PooledConnection)>;

/// A request in flight, until the head of its response. Dropping it cancels the attempt: its connection
/// is reset, and it counts as abandoned.
pub(super) struct InFlight {
    pub(super) choice: Selection,
    pub(super) sent_at: Timestamp,
    ticket: Ticket,
    guard: InFlightGuard,
    pub(super) reply: Pin<Box<dyn Future<Output = Reply> + Send>>,
}

impl Dispatch {
    pub(super) async fn attempt(
        &mut self,
        choice: Selection,
        last_event: Option<u64>,
    ) -> AttemptOutcome {
        let key = (choice.backend.clone(), choice.incarnation);
        // The caller may leave while the connection is opened.
        let guard = InFlightGuard::new(self, &choice);
        let connection = self.entry.pool.acquire(key, choice.address).await;
        guard.disarm();
        match self.send(choice, connection, last_event) {
            Ok(attempt) => self.first_answer(attempt, last_event).await,
            Err(outcome) => outcome,
        }
    }

    /// Sends the request to the selected backend server, to which a connection was opened.
    ///
    /// # Errors
    ///
    /// Returns the outcome if the request could not be sent.
    pub(super) fn send(
        &mut self,
        choice: Selection,
        connection: std::io::Result<PooledConnection>,
        last_event: Option<u64>,
    ) -> Result<InFlight, AttemptOutcome> {
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(error) => {
                self.record_attempt(&choice, Outcome::Failed, "unreachable", &error);
                self.excluded.push(choice.backend);
                return Err(AttemptOutcome::NotRun);
            }
        };
        let request = match self.build_request(&choice, last_event) {
            Ok(request) => request,
            Err(error) => {
                self.record_attempt(&choice, Outcome::Abandoned, "unsendable", &error);
                self.excluded.push(choice.backend);
                return Err(AttemptOutcome::NotRun);
            }
        };
        if !self.may_still_run_on(&choice) {
            let detail = &choice.version;
            self.record_attempt(&choice, Outcome::Abandoned, "version withdrawn", detail);
            return Err(AttemptOutcome::NotRun);
        }
        let guard = InFlightGuard::new(self, &choice);
        let ticket = self.begin_ticket(&choice);
        let left = self.deadline.saturating_sub(clock::now());
        let reply = async move {
            let response = tokio::time::timeout(left, connection.send(request)).await;
            response.ok().map(|response| (response, connection))
        };
        Ok(InFlight {
            choice,
            sent_at: clock::now(),
            ticket,
            guard,
            reply: Box::pin(reply),
        })
    }

    /// Waits for the response. Silence alone is no reason to end an attempt: one that may be repeated is
    /// given up after a while, once another backend server has room for the request beside those `tried` at
    /// the same time, or if this one is gone.
    pub(super) async fn reply(&self, attempt: &mut InFlight, tried: &[id::Backend]) -> Reply {
        let Some(timeout) = self.head_timeout(tried.len()) else {
            return (&mut attempt.reply).await;
        };
        let mut excluded = [&self.excluded, tried].concat();
        excluded.push(attempt.choice.backend.clone());
        let mut silence = Silence::new(attempt.sent_at);
        let mut check_at = attempt.sent_at + timeout;
        loop {
            tokio::select! {
                biased;
                reply = &mut attempt.reply => return reply,
                probe = silence.probed() => {
                    if silence.is_gone(probe, attempt.choice.address) {
                        return None;
                    }
                }
                () = tokio::time::sleep(check_at.saturating_sub(clock::now())) => {
                    let now = clock::now();
                    let forecast = self.forecast_backend(now, &excluded);
                    if forecast.is_some_and(|(_, other)| !other.is_suspect && !other.is_full) {
                        return None;
                    }
                    if silence.is_probe_due(now) {
                        silence.start_probe(attempt.choice.address);
                    }
                    check_at = now + ALTERNATIVE_INTERVAL;
                }
            }
        }
    }

    /// Classifies what came of sending the request.
    pub(super) fn finish(&mut self, attempt: InFlight, reply: Reply) -> AttemptOutcome {
        let InFlight {
            choice,
            sent_at,
            ticket,
            guard,
            ..
        } = attempt;
        guard.disarm();
        match reply {
            Some((Ok(response), connection)) => {
                let response = response.into_parts();
                self.classify(choice, response, connection, sent_at, ticket)
            }
            Some((Err(SendError::NotSent), connection)) => {
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
            Some((Err(SendError::Broken(error)), _)) => {
                self.record_attempt(&choice, Outcome::Failed, "broken", &error);
                self.record_break(&choice, sent_at);
                self.end_ticket(ticket, Answer::Failed);
                self.exclude_after_send(choice);
                AttemptOutcome::MayHaveRun(Refusal::Failed)
            }
            None => {
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

    pub(super) fn exclude_after_send(&mut self, choice: Selection) {
        self.sent += 1;
        self.excluded.push(choice.backend);
    }

    /// Returns how long the head of the response may take until another backend server is tried; `None` if
    /// the request may not be repeated beside `in_flight` other attempts.
    fn head_timeout(&self, in_flight: usize) -> Option<Duration> {
        let in_flight = u32::try_from(in_flight).unwrap_or(u32::MAX);
        let attempts = self.sent.saturating_add(in_flight).saturating_add(1);
        let can_retry = self.route.is_repeatable() && attempts < self.route.max_attempts.max(1);
        can_retry.then(|| {
            if self.call.prompt.is_empty() {
                (self.route.target_latency * RESPONSE_TIMEOUT_FACTOR).max(MIN_RESPONSE_TIMEOUT)
            } else {
                STREAM_START_TIMEOUT
            }
        })
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
            return self.reject_response(choice, head.status, FOREIGN);
        }
        if !is_final(head.status.as_u16()) {
            self.end_ticket(ticket, Answer::Failed);
            return self.reject_response(choice, head.status, "invalid status");
        }
        let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        // A misdirected request was answered by another backend server than the chosen one.
        if metadata.leaving && !misdirected {
            self.record_departure(&choice);
        }
        if metadata.declined || misdirected {
            // Without an identifier, it may be a late copy of an earlier refusal on this connection.
            if metadata.request_id.is_none() && connection.reused {
                self.end_ticket(ticket, Answer::Failed);
                return self.reject_response(choice, head.status, FOREIGN);
            }
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
            return self.reject_response(choice, head.status, FOREIGN);
        }
        if promises_not_run(head.status) && !self.route.is_repeatable() {
            self.end_ticket(ticket, Answer::Failed);
            self.record_attempt(&choice, Outcome::Erred, "unfounded refusal", &head.status);
            self.exclude_after_send(choice);
            return AttemptOutcome::MayHaveRun(Refusal::Failed);
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

    /// Records a response that can't be passed on and does not tell whether the request runs.
    fn reject_response(
        &mut self,
        choice: Selection,
        status: StatusCode,
        reason: &'static str,
    ) -> AttemptOutcome {
        self.record_attempt(&choice, Outcome::Failed, reason, &status);
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
}

/// Whether callers take the status for the statement that the request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
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
