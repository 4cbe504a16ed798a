//! Attempts of one request at backend servers, and the rules for retrying them.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use celerycove_fleet::{
    Index,
    config::{Route, ServiceName},
};
use celerycove_quarantine::digest::{Digests, Subject};
use celerycove_rollout::{guide::Answer, order::Version};
use celerycove_route::{
    direct::{Outcome, Run, Selection},
    hedge::Permit,
};
use celerycove_types::{Timestamp, id};
use hyper::{
    HeaderMap, Method, Uri,
    body::Incoming,
    http::{response::Parts, uri::PathAndQuery},
};

use super::{
    Entry, Refusal,
    attempt::{AttemptOutcome, InFlightGuard},
    crashes::SentRequest,
    intake::Pass,
    pool::PooledConnection,
    response::{BufferError, collect, is_delimited, keeps_alive},
    rollout::Ticket,
};
use crate::{
    clock,
    dialect::{RequestMetadata, ResponseMetadata},
    link::lock,
    memory::{Part, Room},
};

/// A request with less time left than this is refused: sending it would waste a backend server's
/// work.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(8);
/// Number of attempts after which a request is refused if the last one did not run it, because the
/// backend server declined or was out of reach.
const MAX_TRIES: u32 = 5;
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
    /// Allows one extra attempt.
    pub(super) hedge_permit: Permit,
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
    pub(super) fn check_quarantine(&mut self) -> Result<(), Refusal> {
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

    /// Returns what the evidence of crashes needs to know of the request.
    fn sent_request(&mut self, sent_at: Timestamp) -> SentRequest {
        SentRequest {
            request: self.request.clone(),
            digests: self.digests(),
            organisation: self.organisation.clone().unwrap_or_else(|| "".into()),
            started: sent_at,
        }
    }

    /// Records that the connection broke on which the request had been sent.
    pub(super) fn record_break(&mut self, choice: &Selection, sent_at: Timestamp) {
        let broken = self.sent_request(sent_at);
        self.entry.record_break(choice, broken);
    }

    /// Records that a backend server answered completely. An answer that ends with its connection
    /// may have been cut short by a crash.
    pub(super) fn record_whole_answer(
        &mut self,
        choice: &Selection,
        head: &Parts,
        sent_at: Timestamp,
    ) {
        if !self.entry.crashes.is_active() {
            return;
        }
        let request = self.sent_request(sent_at);
        if is_delimited(head) {
            let digests = &request.digests;
            self.entry
                .vindicate(&request.request, digests, clock::now());
        } else {
            self.entry.record_open_end(choice, request);
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
            self.record_whole_answer(&choice, &head, sent_at);
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

    pub(super) fn log_attempt(
        &self,
        choice: &Selection,
        label: &'static str,
        detail: &dyn std::fmt::Display,
    ) {
        self.entry.metrics.record_attempt(label);
        if label != "answered" {
            log::info!(target: "attempt", request:% = self.request, backend:% = choice.backend,
                detail:% = detail, sent = self.sent, tries = self.tries,
                elapsed_ms = clock::millis(clock::now().saturating_sub(self.started)); "{label}");
        }
    }

    pub(super) fn log_choice(&self, choice: &Selection) {
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
