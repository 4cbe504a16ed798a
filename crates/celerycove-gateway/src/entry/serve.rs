//! The path of a caller's request.

use std::{
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use celerycove_fleet::{
    Index,
    config::{Kind, Organisation, Route},
};
use celerycove_route::direct::affinity;
use celerycove_turn::{Begin, Outcome};
use celerycove_types::{Timestamp, id};
use hyper::{
    Request, Response,
    body::Incoming,
    header::{self, HeaderValue},
    http::request::Parts,
};

use super::{
    Entry, Refusal,
    allowance::Claim,
    chains::Chain,
    exchange::Task,
    hop::strip,
    relay::{Kept, Relay, Settlement},
};
use crate::{
    clock,
    dialect::Call,
    http::{self, Body, BodyError},
    link::lock,
};

/// How long the stores may take to begin a turn before its caller is told to come back.
const BEGIN: Duration = Duration::from_millis(2_500);
/// The part of its time for which a request may wait for its organisation's tokens.
const QUOTA_PART: u32 = 4;
/// The longest that the body of a request may take to arrive.
const BODY: Duration = Duration::from_secs(10);

/// A request that may go on: its route and whose it is.
struct Admitted {
    index: Arc<Index>,
    route: Arc<Route>,
    organisation: Option<id::Organisation>,
    priority: u8,
}

impl http::Service for Entry {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let began = clock::now();
        let (head, body) = request.into_parts();
        let call = self.dialect.call(&head);
        let name = match &call {
            Ok(call) => call.request.clone(),
            Err(_) => None,
        };
        let mut response = match call {
            Ok(call) => match self.clone().serve(began, head, body, call).await {
                Ok(response) => response,
                Err(refusal) => self.refuse(began, name.as_ref(), refusal),
            },
            Err(error) => self.refuse(began, None, Refusal::Malformed(error.field)),
        };
        if self.leaving.load(Relaxed) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    fn limits(&self) -> http::Limits {
        let index = self.index.load();
        let Some(index) = index.as_ref() else {
            return http::Limits::default();
        };
        let limits = &index.config().limits;
        http::Limits {
            head: limits.header_bytes,
            idle: limits.idle_timeout.max(limits.header_timeout),
        }
    }
}

impl Entry {
    fn refuse(
        &self,
        began: Timestamp,
        request: Option<&id::Request>,
        refusal: Refusal,
    ) -> Response<Body> {
        let took = clock::now().saturating_sub(began);
        let status = refusal.status().as_u16();
        self.metrics.answer("-", status, took);
        let request = request.map_or("-", |request| request.as_ref());
        let version = self.index.load().as_ref().map(|i| i.config().version);
        log::info!(target: "entry", request, refusal:? = refusal, status, version:? = version,
            took_ms = clock::millis(took); "refused");
        refusal.response()
    }

    async fn serve(
        self: Arc<Self>,
        began: Timestamp,
        head: Parts,
        body: Incoming,
        call: Call,
    ) -> Result<Response<Body>, Refusal> {
        let admitted = self.admit(&head, &call)?;
        let request = call
            .request
            .clone()
            .ok_or(Refusal::Malformed("request id"))?;
        let limit = admitted.index.config().limits.body_bytes;
        let body = match tokio::time::timeout(BODY, http::read(body, limit)).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::TooLong)) => return Err(Refusal::TooLong),
            Ok(Err(BodyError::Broken)) | Err(_) => return Err(Refusal::BodyBroken),
        };
        let claim = self.claim(&admitted, &call);
        if let Some(organisation) = &admitted.organisation {
            self.pay(organisation, claim, &request, &call).await?;
        }
        let payer = admitted.organisation.clone();
        let entry = self.clone();
        let task = self.task(began, head, body, call, request, admitted)?;
        let answered = if task.route.kind == Kind::Streaming {
            stream(task).await
        } else {
            plain(task).await
        };
        if let (Err(refusal), Some(payer)) = (&answered, &payer)
            && refusal.is_not_run()
        {
            entry.allowances.refund(payer, claim);
        }
        answered
    }

    /// Spends a token of the organisation's rate.
    async fn pay(
        &self,
        organisation: &id::Organisation,
        claim: Claim,
        request: &id::Request,
        call: &Call,
    ) -> Result<(), Refusal> {
        if let Err(over) = self.allowances.pass(organisation, claim).await {
            log::info!(target: "limit", request:% = request, organisation:% = organisation,
                program:? = call.program, claim:? = claim,
                rate = over.owed.rate, burst = over.owed.burst, alone = over.alone,
                retry_ms = clock::millis(over.retry); "over the organisation's rate");
            return Err(Refusal::OverRate(over.retry));
        }
        if let Some(program) = &call.program {
            lock(&self.under_way).insert(program.clone());
        }
        Ok(())
    }

    /// Finds the route and whose the request is.
    fn admit(&self, head: &Parts, call: &Call) -> Result<Admitted, Refusal> {
        let index = self.index.load_full().ok_or(Refusal::NotReady)?;
        if head_bytes(head) > index.config().limits.header_bytes {
            return Err(Refusal::HeadTooLong);
        }
        let host = head.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let route = index.route(host, head.uri.path()).ok_or(Refusal::NoRoute)?;
        let route = route.clone();
        let owner: Option<&Organisation> =
            call.key.as_ref().and_then(|key| index.organisation(key));
        if owner.is_none() && !route.open && !index.config().organisations.is_empty() {
            return Err(Refusal::Key);
        }
        let priority = owner.and_then(|owner| owner.priority);
        Ok(Admitted {
            organisation: owner.map(|owner| owner.name.clone()),
            priority: priority.unwrap_or(route.priority),
            route,
            index,
        })
    }

    /// How the request may claim tokens: one that begins a program leaves some to programs under
    /// way.
    fn claim(&self, admitted: &Admitted, call: &Call) -> Claim {
        let route = &admitted.route;
        let begins = route.kind == Kind::Streaming
            && call.previous.is_none()
            && call
                .program
                .as_ref()
                .is_some_and(|program| !lock(&self.under_way).contains(program));
        let time = call.patience.unwrap_or(route.timeout).min(route.timeout);
        if begins {
            Claim::beginning(route.priority, time / QUOTA_PART)
        } else {
            Claim::under_way(time / QUOTA_PART)
        }
    }

    fn task(
        self: Arc<Self>,
        began: Timestamp,
        head: Parts,
        body: Bytes,
        call: Call,
        request: id::Request,
        admitted: Admitted,
    ) -> Result<Task, Refusal> {
        let Admitted {
            index,
            route,
            organisation,
            priority,
        } = admitted;
        let target = route.target(rand::random()).ok_or(Refusal::NoServer)?;
        let patience = call.patience.unwrap_or(route.timeout);
        let mut headers = head.headers;
        strip(&mut headers);
        // The engine's cache holds what the program sent before, wherever its calls come in.
        let sticky = call.program.as_deref().filter(|_| !call.prompt.is_empty());
        let sticky = sticky.or(call.object.as_deref()).unwrap_or(&request);
        Ok(Task {
            affinity: affinity(sticky),
            service: target.service.clone(),
            urgency: (!call.prompt.is_empty()).then_some(priority.min(9)),
            entry: self,
            index,
            organisation,
            request,
            method: head.method,
            uri: head.uri,
            headers,
            body,
            began,
            deadline: began + patience.min(route.timeout),
            patience: began + patience,
            call,
            route,
            avoid: Vec::new(),
            sent: 0,
            tries: 0,
        })
    }
}

/// The length of a request's head as it came: the library bounds only what it has to buffer.
fn head_bytes(head: &Parts) -> usize {
    const SEPARATORS: usize = ": \r\n".len();
    let target = head
        .uri
        .path_and_query()
        .map_or(0, |uri| uri.as_str().len());
    let fields = head.headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS);
    target + fields.sum::<usize>()
}

async fn plain(mut task: Task) -> Result<Response<Body>, Refusal> {
    let whole = task.whole().await?;
    Ok(answered(&task, whole))
}

/// Passes a whole answer on and writes the request's line.
fn answered(task: &Task, whole: super::exchange::Whole) -> Response<Body> {
    let took = clock::now().saturating_sub(task.began);
    let status = whole.head.status.as_u16();
    task.entry.metrics.answer(&task.route.name, status, took);
    task.entry.metrics.first_byte(took);
    log::info!(target: "entry", request:% = task.request, route:% = task.route.name,
        organisation:? = task.organisation, program:? = task.call.program, status,
        sent = task.sent, tries = task.tries, took_ms = clock::millis(took); "answered");
    let mut head = whole.head;
    strip(&mut head.headers);
    Response::from_parts(head, http::full(whole.body))
}

/// Begins a turn, finds an engine for it and passes its stream on.
async fn stream(mut task: Task) -> Result<Response<Body>, Refusal> {
    let (mut settlement, mut kept) = (None, None);
    if task.route.retained || task.call.budget.is_some() {
        let (begun, chain) = begin(&task).await?;
        if task.route.retained {
            kept = Some(keep(&mut task, chain));
        }
        settlement = Some(begun);
    }
    let exchange = task.exchange(task.call.last_event).await?;
    let is_stream = exchange
        .head
        .headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    if !is_stream || !exchange.head.status.is_success() {
        let whole = task.collect(exchange).await.ok_or(Refusal::Failed)?;
        return Ok(answered(&task, whole));
    }
    let service = task.index.service(&task.service);
    let event_tokens = service.and_then(|service| service.event_tokens);
    let mut head = exchange.head.clone();
    strip(&mut head.headers);
    let relay = Relay {
        last: task.call.last_event,
        task,
        settlement: settlement.take(),
        kept,
        event_tokens: event_tokens.unwrap_or(1).into(),
        events: 0,
        first: None,
    };
    Ok(Response::from_parts(head, relay.start(exchange)))
}

/// Reserves the turn's tokens and looks its chain up.
async fn begin(task: &Task) -> Result<(Settlement, Chain), Refusal> {
    let turns = &task.entry.turns;
    let organisation = task.organisation.clone().unwrap_or_else(|| "".into());
    let previous = task.call.previous.clone().filter(|_| task.route.retained);
    let known = previous
        .as_ref()
        .and_then(|previous| turns.chain(&organisation, previous));
    let budget = task.call.program.clone().zip(task.call.budget);
    let begin = Begin {
        at: 0,
        request: task.request.clone(),
        organisation: organisation.clone(),
        most: task.call.tokens.map_or(0, |(_, most)| most),
        previous: previous.clone(),
        holds_chain: known.is_some(),
        retention: task.route.retention,
        budget,
    };
    let program = begin.budget.as_ref().map(|(program, _)| program.clone());
    let mut settlement = Settlement {
        turns: turns.clone(),
        request: task.request.clone(),
        organisation,
        program,
        retention: task.route.retention,
        spent: 0,
        armed: true,
    };
    let left = task.deadline.saturating_sub(clock::now());
    let asked = clock::now();
    let outcome = turns.begin(begin, BEGIN.min(left)).await;
    log::info!(target: "turn", request:% = task.request, program:? = settlement.program,
        previous:? = previous, held = known.is_some(), outcome = describe(outcome.as_ref().ok()),
        took_ms = clock::millis(clock::now().saturating_sub(asked)); "turn begun");
    match outcome {
        Ok(Outcome::Begun(chain)) => Ok((settlement, known.unwrap_or_else(|| chain.into()))),
        Ok(Outcome::OverBudget { .. }) => {
            settlement.armed = false;
            Err(Refusal::OverBudget)
        }
        Ok(Outcome::NoTurn) => {
            settlement.armed = false;
            Err(Refusal::NoTurn)
        }
        Ok(Outcome::Ended) | Err(_) => Err(Refusal::NoStore),
    }
}

fn describe(outcome: Option<&Outcome>) -> String {
    match outcome {
        Some(Outcome::Begun(chain)) => format!("begun, {} turns sent", chain.len()),
        Some(other) => format!("{other:?}"),
        None => "no store could tell".to_owned(),
    }
}

/// Puts the chain before the turn's input, as the engine is to receive it.
fn keep(task: &mut Task, chain: Chain) -> Kept {
    let input = task.body.clone();
    let length = chain.iter().map(Bytes::len).sum::<usize>() + input.len();
    let mut whole = BytesMut::with_capacity(length);
    for text in chain.iter() {
        whole.extend_from_slice(text);
    }
    whole.extend_from_slice(&input);
    task.body = whole.freeze();
    Kept {
        previous: task.call.previous.clone(),
        chain,
        text: BytesMut::from(&input[..]),
    }
}
