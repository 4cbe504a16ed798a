//! Dispatches one request to a backend server, again only where that is safe.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use celerycove_route::{Choice, Need, Options, Report, Stats, choose, pool::Target};
use celerycove_sync::announce::Kind;
use celerycove_types::{Timestamp, id};
use celerycove_wire::{Run, header};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header::HeaderValue,
};

use super::{Entry, pools::Traffic, refuse::Refusal};
use crate::{http::full, sidecar};

/// How many backend servers one request is sent to at most.
const ATTEMPTS: u32 = 4;
/// The pause before a request is tried again where all backend servers refused.
const PAUSE: Duration = Duration::from_millis(50);

/// What to dispatch.
pub(super) struct Order {
    pub(super) request: id::Request,
    pub(super) organisation: Option<id::Organisation>,
    pub(super) weight: u32,
    pub(super) program: Option<id::Program>,
    pub(super) attained: id::Tokens,
    pub(super) target: Target,
    pub(super) need: Need,
    /// Whether a request that may have run may be sent again.
    pub(super) repeatable: bool,
    pub(super) method: Method,
    /// Path and query at the backend server.
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// An answer on its way, and the account of the load that it stands for.
pub(super) struct Dispatched {
    pub(super) response: Response<Incoming>,
    pub(super) backend: id::Backend,
    pub(super) load: Load,
}

/// The load of one dispatch in the entry's account; ends when dropped.
pub(super) struct Load {
    stats: Arc<Stats>,
    cost: f64,
    since: Timestamp,
    waited: Duration,
}

impl Load {
    /// Notes how long the whole answer took.
    pub(super) fn served(&self, now: Timestamp) {
        let took = now.saturating_sub(self.since).saturating_sub(self.waited);
        self.stats.served(took, self.cost);
    }

    /// Notes that the answer failed.
    pub(super) fn failed(&self, now: Timestamp) {
        self.stats.failed(now);
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stats.end(self.cost);
    }
}

/// One try.
enum Tried {
    Done(Box<Dispatched>),
    NotRun(String),
    Unknown(String),
}

impl Entry {
    /// Dispatches until a backend server has answered, or until it is no longer safe or sensible.
    pub(super) async fn dispatch(&self, mut order: Order) -> Result<Dispatched, Refusal> {
        let deadline = self.process.now() + self.patience();
        let mut attempt = 0;
        let mut last = String::from("no backend server");
        loop {
            self.fresh_config()?;
            let tried = self.try_one(&order, attempt, deadline).await?;
            if let Some((backend, tried)) = tried {
                attempt += 1;
                match tried {
                    Tried::Done(dispatched) => return Ok(*dispatched),
                    Tried::Unknown(why) if !order.repeatable => {
                        return Err(Refusal::unknown(
                            "backend_failed",
                            format!("the request may have run: {why}"),
                        ));
                    }
                    Tried::NotRun(why) | Tried::Unknown(why) => last = why,
                }
                order.need.avoid.push(backend);
                self.process.metrics.retry();
            } else {
                // All have refused: start over after a pause.
                order.need.avoid.clear();
                tokio::time::sleep(PAUSE).await;
            }
            if self.process.now() >= deadline || attempt >= ATTEMPTS * 4 {
                return Err(Refusal::unavailable(
                    "no_backend",
                    format!("no backend server took the request: {last}"),
                ));
            }
            if attempt > 0 && attempt % ATTEMPTS == 0 {
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    async fn try_one(
        &self,
        order: &Order,
        attempt: u32,
        deadline: Timestamp,
    ) -> Result<Option<(id::Backend, Tried)>, Refusal> {
        let pool = self.pool(order);
        if pool.members().is_empty() {
            self.explain_empty(order, pool.forbidden)?;
            return Ok(None);
        }
        let now = self.process.now();
        let options = Options::default();
        let chosen = self.with_rng(|rng| choose(now, &pool, &order.need, &options, rng));
        let Some(choice) = chosen else {
            return Ok(None);
        };
        log::info!(target: "route",
            request:% = order.request,
            program = order.program.as_deref().unwrap_or("-"),
            organisation = order.organisation.as_deref().unwrap_or("-"),
            attempt,
            backend:% = choice.member.backend,
            reason:? = choice.reason,
            weighed = choice.weighed,
            pool = pool.members().len(),
            expected_ms = choice.expected.as_secs_f64() * 1e3;
            "chose a backend server");
        let backend = choice.member.backend.clone();
        let tried = self.send(order, attempt, &choice, deadline).await;
        Ok(Some((backend, tried)))
    }

    fn pool(&self, order: &Order) -> Arc<celerycove_route::Pool> {
        let view = self.share.view();
        let labelled = order.program.as_ref().filter(|program| {
            let subject = celerycove_config::Subject::Program((*program).clone());
            view.config.labels.contains_key(&subject)
        });
        let traffic = Traffic {
            organisation: order.organisation.clone(),
            program: labelled.cloned(),
            target: order.target.clone(),
        };
        self.pools.get(&view, &traffic)
    }

    /// Refuses at once what waiting can't help.
    fn explain_empty(&self, order: &Order, forbidden: bool) -> Result<(), Refusal> {
        let view = self.share.view();
        let announced = view.directory.all().filter_map(|(a, _)| a.backend.as_ref());
        let known = match &order.target {
            Target::Model(model) => {
                let name = model.split(['@', '+']).next().unwrap_or_default();
                let serves = |b: &celerycove_sync::Backend| {
                    b.kind == Kind::Engine && b.models.iter().any(|m| m.name == name)
                };
                announced.into_iter().any(serves)
            }
            // Routes are known by settings.
            Target::Route(_) => true,
        };
        if !known {
            return Err(Refusal::new(
                StatusCode::NOT_FOUND,
                "unknown_model",
                "no backend server serves this model",
            ));
        }
        if forbidden {
            return Err(Refusal::new(
                StatusCode::FORBIDDEN,
                "not_selected",
                "selectors or drains leave no backend server for this request",
            ));
        }
        Ok(())
    }

    async fn send(
        &self,
        order: &Order,
        attempt: u32,
        choice: &Choice<'_>,
        deadline: Timestamp,
    ) -> Tried {
        let member = choice.member;
        if self.process.links.is_cut(&member.process) {
            member.stats.failed(self.process.now());
            return Tried::NotRun("the link is cut".to_owned());
        }
        let Some(request) = self.outgoing(order, attempt, choice, deadline) else {
            return Tried::NotRun("the request can't be written".to_owned());
        };
        let mut load = Load {
            stats: member.stats.clone(),
            cost: choice.cost,
            since: self.process.now(),
            waited: Duration::ZERO,
        };
        member.stats.begin(choice.cost);
        let timeout = self.setting.answer_timeout.0;
        let sent = tokio::time::timeout(timeout, self.client.request(request)).await;
        let now = self.process.now();
        match sent {
            Ok(Ok(response)) => {
                note_load(&member.stats, now, response.headers());
                load.waited = waited(response.headers());
                self.process.metrics.queued(load.waited);
                self.judge(response, &member.backend, load)
            }
            Ok(Err(error)) if error.is_connect() => {
                member.stats.failed(now);
                self.process.metrics.dispatch("not-run");
                Tried::NotRun(error.to_string())
            }
            Ok(Err(error)) => {
                member.stats.failed(now);
                self.process.metrics.dispatch("unknown");
                Tried::Unknown(error.to_string())
            }
            Err(_) => {
                member.stats.failed(now);
                self.process.metrics.dispatch("unknown");
                Tried::Unknown("no answer in time".to_owned())
            }
        }
    }

    fn judge(&self, response: Response<Incoming>, backend: &id::Backend, load: Load) -> Tried {
        let run = response
            .headers()
            .get(header::RUN)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse::<Run>().ok());
        // Without the header the answer is not a sidecar's, and nothing is known.
        let run = run.unwrap_or(Run::Unknown);
        self.process.metrics.dispatch(run.as_str());
        let why = format!("{backend}: {}", response.status());
        match run {
            Run::Done => Tried::Done(Box::new(Dispatched {
                response,
                backend: backend.clone(),
                load,
            })),
            Run::NotRun => Tried::NotRun(why),
            Run::Unknown => {
                load.failed(self.process.now());
                Tried::Unknown(why)
            }
        }
    }

    fn outgoing(
        &self,
        order: &Order,
        attempt: u32,
        choice: &Choice<'_>,
        deadline: Timestamp,
    ) -> Option<Request<crate::http::Body>> {
        let member = choice.member;
        let uri = format!(
            "http://{}{}{}{}",
            member.address,
            sidecar::PATH,
            member.backend,
            order.path
        );
        let mut request = Request::builder()
            .method(order.method.clone())
            .uri(uri)
            .body(full(order.body.clone()))
            .ok()?;
        let headers = request.headers_mut();
        *headers = order.headers.clone();
        let left = deadline.saturating_sub(self.process.now()).as_millis();
        let own = [
            (header::CLUSTER, self.process.secret.clone()),
            (header::FROM, self.process.name.to_string()),
            (header::DISPATCH, format!("{}.{attempt}", order.request)),
            (
                header::ORGANISATION,
                order.organisation.as_deref().unwrap_or("-").to_owned(),
            ),
            (header::WEIGHT, order.weight.to_string()),
            (header::ATTAINED, order.attained.to_string()),
            (header::COST, choice.cost.to_string()),
            (header::DEADLINE, left.to_string()),
            (header::ONCE, (!order.repeatable).to_string()),
        ];
        for (name, value) in own {
            headers.insert(name, HeaderValue::from_str(&value).ok()?);
        }
        if let Some(program) = &order.program {
            headers.insert(header::PROGRAM, HeaderValue::from_str(program).ok()?);
        }
        Some(request)
    }
}

fn note_load(stats: &Stats, now: Timestamp, headers: &HeaderMap) {
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
        stats.report(now, report);
    }
}

fn waited(headers: &HeaderMap) -> Duration {
    let micros = headers
        .get(header::WAITED)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok());
    Duration::from_micros(micros.unwrap_or(0))
}
