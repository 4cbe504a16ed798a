//! Dispatches a request to a backend server, and retries it where that is safe.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use celerycove_route::{
    Options, Report, Request as RouteRequest, Selection, Stats, pool::Target, select,
};
use celerycove_sync::announce::Kind;
use celerycove_types::{Timestamp, id};
use celerycove_wire::{Execution, header};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue,
};

use super::{Entry, pools::Traffic, refuse::Refusal};
use crate::{http::full_body, sidecar};

/// The number of attempts after which a request pauses before the next round of attempts.
const ATTEMPTS_PER_ROUND: u32 = 4;
/// The pause between two rounds, and after all backend servers have refused a request.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// A request to dispatch to a backend server.
pub(super) struct DispatchRequest {
    pub(super) request_id: id::Request,
    pub(super) organisation: Option<id::Organisation>,
    pub(super) weight: u32,
    pub(super) program: Option<id::Program>,
    /// The tokens that the program has used so far.
    pub(super) attained_tokens: id::Tokens,
    pub(super) target: Target,
    pub(super) route_request: RouteRequest,
    /// Whether a request that may have run may be sent again.
    pub(super) retryable: bool,
    pub(super) method: Method,
    /// The path and query at the backend server.
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// An answer from a backend server whose body is still to be read.
pub(super) struct Dispatched {
    pub(super) response: Response<Incoming>,
    pub(super) backend: id::Backend,
    pub(super) load: LoadGuard,
}

/// Counts the cost of one dispatch in the load statistics of its backend server until dropped.
pub(super) struct LoadGuard {
    stats: Arc<Stats>,
    cost: f64,
    started: Timestamp,
    /// The time that the request waited in the sidecar's queue.
    queue_time: Duration,
}

impl LoadGuard {
    /// Records the time that the complete answer took, without its time in the queue.
    pub(super) fn served(&self, now: Timestamp) {
        let service_time = now
            .saturating_sub(self.started)
            .saturating_sub(self.queue_time);
        self.stats.record_service_time(service_time, self.cost);
    }

    /// Records that the answer failed.
    pub(super) fn failed(&self, now: Timestamp) {
        self.stats.record_failure(now);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.stats.record_completion(self.cost);
    }
}

/// The outcome of one attempt.
enum Outcome {
    /// The backend server answered.
    Done(Box<Dispatched>),
    /// The request did not run, for this reason.
    NotRun(String),
    /// The request may have run, but there is no answer, for this reason.
    Unknown(String),
}

impl Entry {
    /// Dispatches a request until a backend server answers, a retry is no longer safe, or the retry
    /// timeout or the limit of attempts is reached.
    pub(super) async fn dispatch(
        &self,
        mut request: DispatchRequest,
    ) -> Result<Dispatched, Refusal> {
        let deadline = self.process.now() + self.retry_timeout();
        let mut attempt = 0;
        let mut last_reason = String::from("no backend server");
        loop {
            self.fresh_config()?;
            let attempted = self.attempt(&request, attempt, deadline).await?;
            if let Some((backend, outcome)) = attempted {
                attempt += 1;
                match outcome {
                    Outcome::Done(dispatched) => return Ok(*dispatched),
                    Outcome::Unknown(reason) if !request.retryable => {
                        return Err(Refusal::may_have_run(
                            "backend_failed",
                            format!("the request may have run: {reason}"),
                        ));
                    }
                    Outcome::NotRun(reason) | Outcome::Unknown(reason) => last_reason = reason,
                }
                request.route_request.excluded.push(backend);
                self.process.metrics.retry();
            } else {
                // No backend server is left to try: start over after a pause.
                request.route_request.excluded.clear();
                tokio::time::sleep(ROUND_PAUSE).await;
            }
            if self.process.now() >= deadline || attempt >= ATTEMPTS_PER_ROUND * 4 {
                return Err(Refusal::unavailable(
                    "no_backend",
                    format!("no backend server took the request: {last_reason}"),
                ));
            }
            if attempt > 0 && attempt % ATTEMPTS_PER_ROUND == 0 {
                tokio::time::sleep(ROUND_PAUSE).await;
            }
        }
    }

    /// Sends a request to one backend server; `None` if there is none left to try.
    async fn attempt(
        &self,
        request: &DispatchRequest,
        attempt: u32,
        deadline: Timestamp,
    ) -> Result<Option<(id::Backend, Outcome)>, Refusal> {
        let pool = self.pool(request);
        if pool.members().is_empty() {
            self.check_empty_pool(request, pool.has_excluded)?;
            return Ok(None);
        }
        let now = self.process.now();
        let options = Options::default();
        let chosen = self.with_rng(|rng| select(now, &pool, &request.route_request, &options, rng));
        let Some(choice) = chosen else {
            return Ok(None);
        };
        log::info!(target: "route",
            request:% = request.request_id,
            program = request.program.as_deref().unwrap_or("-"),
            organisation = request.organisation.as_deref().unwrap_or("-"),
            attempt,
            backend:% = choice.member.backend,
            reason:? = choice.reason,
            weighed = choice.candidates,
            pool = pool.members().len(),
            expected_ms = choice.expected.as_secs_f64() * 1e3;
            "chose a backend server");
        let backend = choice.member.backend.clone();
        let outcome = self.send(request, attempt, &choice, deadline).await;
        Ok(Some((backend, outcome)))
    }

    fn pool(&self, request: &DispatchRequest) -> Arc<celerycove_route::Pool> {
        let view = self.state.view();
        let labelled_program = request.program.as_ref().filter(|program| {
            let subject = celerycove_config::Subject::Program((*program).clone());
            view.config.labels.contains_key(&subject)
        });
        let traffic = Traffic {
            organisation: request.organisation.clone(),
            program: labelled_program.cloned(),
            target: request.target.clone(),
        };
        self.pools.get(&view, &traffic)
    }

    /// Refuses a request whose pool is empty for a reason that no retry overcomes.
    fn check_empty_pool(
        &self,
        request: &DispatchRequest,
        has_excluded: bool,
    ) -> Result<(), Refusal> {
        let view = self.state.view();
        let announced_backends = view.directory.all().filter_map(|(a, _)| a.backend.as_ref());
        let is_known = match &request.target {
            Target::Model(model) => {
                let name = model.split(['@', '+']).next().unwrap_or_default();
                let serves = |b: &celerycove_sync::Backend| {
                    b.kind == Kind::Engine && b.models.iter().any(|m| m.name == name)
                };
                announced_backends.into_iter().any(serves)
            }
            // Only routes in the settings become targets.
            Target::Route(_) => true,
        };
        if !is_known {
            return Err(Refusal::new(
                StatusCode::NOT_FOUND,
                "unknown_model",
                "no backend server serves this model",
            ));
        }
        if has_excluded {
            return Err(Refusal::new(
                StatusCode::FORBIDDEN,
                "not_selected",
                "selectors or drains leave no backend server for this request",
            ));
        }
        Ok(())
    }

    /// Sends a request to the chosen backend server's sidecar.
    async fn send(
        &self,
        request: &DispatchRequest,
        attempt: u32,
        choice: &Selection<'_>,
        deadline: Timestamp,
    ) -> Outcome {
        let member = choice.member;
        if self.process.links.is_cut(&member.process) {
            member.stats.record_failure(self.process.now());
            return Outcome::NotRun("the link is cut".to_owned());
        }
        let Some(outgoing) = self.sidecar_request(request, attempt, choice, deadline) else {
            return Outcome::NotRun("the request can't be written".to_owned());
        };
        let mut load = LoadGuard {
            stats: member.stats.clone(),
            cost: choice.cost,
            started: self.process.now(),
            queue_time: Duration::ZERO,
        };
        member.stats.record_dispatch(choice.cost);
        let timeout = self.setting.answer_timeout.0;
        let result = tokio::time::timeout(timeout, self.client.request(outgoing)).await;
        let now = self.process.now();
        match result {
            Ok(Ok(response)) => {
                record_load_report(&member.stats, now, response.headers());
                load.queue_time = queue_time(response.headers());
                self.process.metrics.queued(load.queue_time);
                self.outcome(response, &member.backend, load)
            }
            Ok(Err(error)) if error.is_connect() => {
                member.stats.record_failure(now);
                self.process.metrics.dispatch("not-run");
                Outcome::NotRun(error.to_string())
            }
            Ok(Err(error)) => {
                member.stats.record_failure(now);
                self.process.metrics.dispatch("unknown");
                Outcome::Unknown(error.to_string())
            }
            Err(_) => {
                member.stats.record_failure(now);
                self.process.metrics.dispatch("unknown");
                Outcome::Unknown("no answer in time".to_owned())
            }
        }
    }

    /// Determines from the sidecar's headers whether the request ran.
    fn outcome(
        &self,
        response: Response<Incoming>,
        backend: &id::Backend,
        load: LoadGuard,
    ) -> Outcome {
        let run = response
            .headers()
            .get(header::RUN)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse::<Execution>().ok());
        // An answer without the header is not from a sidecar, so the request may have run.
        let run = run.unwrap_or(Execution::Unknown);
        self.process.metrics.dispatch(run.as_str());
        let reason = format!("{backend}: {}", response.status());
        match run {
            Execution::Done => Outcome::Done(Box::new(Dispatched {
                response,
                backend: backend.clone(),
                load,
            })),
            Execution::NotRun => Outcome::NotRun(reason),
            Execution::Unknown => {
                load.failed(self.process.now());
                Outcome::Unknown(reason)
            }
        }
    }

    /// Builds the HTTP request to the sidecar; `None` if a header value is invalid.
    fn sidecar_request(
        &self,
        request: &DispatchRequest,
        attempt: u32,
        choice: &Selection<'_>,
        deadline: Timestamp,
    ) -> Option<Request<crate::http::Body>> {
        let member = choice.member;
        let uri = format!(
            "http://{}{}{}{}",
            member.address,
            sidecar::FORWARD_PATH,
            member.backend,
            request.path
        );
        let mut outgoing = Request::builder()
            .method(request.method.clone())
            .uri(uri)
            .body(full_body(request.body.clone()))
            .ok()?;
        let headers = outgoing.headers_mut();
        *headers = request.headers.clone();
        let remaining_ms = deadline.saturating_sub(self.process.now()).as_millis();
        let internal_headers = [
            (header::CLUSTER_SECRET, self.process.secret.clone()),
            (header::SENDER, self.process.name.to_string()),
            (
                header::DISPATCH,
                format!("{}.{attempt}", request.request_id),
            ),
            (
                header::ORGANISATION,
                request.organisation.as_deref().unwrap_or("-").to_owned(),
            ),
            (header::WEIGHT, request.weight.to_string()),
            (header::ATTAINED_TOKENS, request.attained_tokens.to_string()),
            (header::COST, choice.cost.to_string()),
            (header::DEADLINE_MS, remaining_ms.to_string()),
            (header::AT_MOST_ONCE, (!request.retryable).to_string()),
        ];
        for (name, value) in internal_headers {
            headers.insert(name, HeaderValue::from_str(&value).ok()?);
        }
        if let Some(program) = &request.program {
            headers.insert(header::PROGRAM, HeaderValue::from_str(program).ok()?);
        }
        Some(outgoing)
    }
}

/// Records the load that a sidecar reports, written `cost;running;limit`.
fn record_load_report(stats: &Stats, now: Timestamp, headers: &HeaderMap) {
    let text = headers
        .get(header::LOAD)
        .and_then(|value| value.to_str().ok());
    let report = text.and_then(|text| {
        let mut parts = text.split(';');
        Some(Report {
            cost: parts.next()?.parse().ok()?,
            running: parts.next()?.parse().ok()?,
            limit: parts.next()?.parse().ok()?,
        })
    });
    if let Some(report) = report {
        stats.record_report(now, report);
    }
}

/// Returns the time that a request waited in the sidecar's queue.
fn queue_time(headers: &HeaderMap) -> Duration {
    let micros = headers
        .get(header::QUEUE_WAIT_US)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok());
    Duration::from_micros(micros.unwrap_or(0))
}
