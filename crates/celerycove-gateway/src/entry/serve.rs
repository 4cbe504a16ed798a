//! Handling of a caller's request: authentication, rate limit, forwarding and refusals.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use celerycove_fleet::{
    Index,
    config::{Kind, Organisation, Route},
};
use celerycove_log::limit;
use celerycove_quarantine::digest::Subject;
use celerycove_route::{direct::affinity_hash, hedge::Permit};
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
    chains::Chain,
    events::Held,
    exchange::{Dispatch, target},
    hop::strip_hop_by_hop,
    rate_limit::Claim,
    relay::{Relay, ReservationGuard, RetainedTurn},
    response::is_event_stream,
    urgency::Turn,
};
use crate::{
    clock,
    dialect::RequestMetadata,
    http::{self, Body, BodyError},
    link::lock,
    memory::{Part, Room},
};

/// Time limit for the stores to begin a turn; after that the caller is told to retry.
const BEGIN_TURN_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time limit of a request that names none, as long as no configuration with time limits is known.
const UNCONFIGURED_TIME_LIMIT: Duration = Duration::from_secs(4);
/// A request may wait for a rate limit token for its time limit divided by this number.
const TOKEN_WAIT_DIVISOR: u32 = 4;

/// Route and organisation of an authenticated request.
struct Admitted {
    index: Arc<Index>,
    route: Arc<Route>,
    organisation: Option<id::Organisation>,
    priority: u8,
}

impl http::Service for Entry {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let started = clock::now();
        let (head, body) = request.into_parts();
        let call = self.dialect.request_metadata(&head);
        let request_id = match &call {
            Ok(call) => call.request_id.clone(),
            Err(_) => None,
        };
        let mut response = match call {
            Ok(call) => {
                let served = tokio::select! {
                    biased;
                    served = self.clone().serve(started, head, body, call) => served,
                    () = self.grace_ended.notified() => Err(Refusal::TimedOut),
                };
                match served {
                    Ok(response) => response,
                    Err(refusal) => self.refuse(started, request_id.as_ref(), refusal),
                }
            }
            Err(error) => self.refuse(started, None, Refusal::Malformed(error.field)),
        };
        if self.stop.get().is_some() {
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
            max_head_bytes: limits.header_bytes,
            header_timeout: limits.idle_timeout.max(limits.header_timeout),
        }
    }
}

impl Entry {
    fn refuse(
        &self,
        started: Timestamp,
        request: Option<&id::Request>,
        refusal: Refusal,
    ) -> Response<Body> {
        let took = clock::now().saturating_sub(started);
        let status = refusal.status().as_u16();
        self.metrics.record_response("-", status, took);
        let request = request.map_or("-", |request| request.as_ref());
        let version = self.index.load().as_ref().map(|i| i.config().version);
        log::info!(target: "entry", request, refusal:? = refusal, status, version:? = version,
            took_ms = clock::millis(took); "refused");
        refusal.response()
    }

    async fn serve(
        self: Arc<Self>,
        started: Timestamp,
        head: Parts,
        body: Incoming,
        call: RequestMetadata,
    ) -> Result<Response<Body>, Refusal> {
        if self.index.load().is_none() {
            let time_limit = call.timeout.unwrap_or(UNCONFIGURED_TIME_LIMIT);
            let max_wait = self.startup.max_wait(started, time_limit);
            let is_configured = || self.index.load().is_some();
            self.startup.wait(max_wait, is_configured).await;
        }
        let admitted = self.admit(&head, &call)?;
        let request = call
            .request_id
            .clone()
            .ok_or(Refusal::Malformed("request id"))?;
        let limit = admitted.index.config().limits.body_bytes;
        let body = http::read_body(body, limit, self.connections.account()).await;
        let body = body.map_err(|error| match error {
            BodyError::TooLong => Refusal::TooLong,
            BodyError::Incomplete => Refusal::BodyBroken,
            BodyError::NoRoom => self.refuse_for_memory(Part::CallerBodies),
        })?;
        let digests = self.crashes.is_active().then(|| {
            let subject = Subject {
                organisation: admitted.organisation.as_deref(),
                method: head.method.as_str(),
                target: target(&head.uri),
                previous_turn: call.previous_turn.as_deref(),
                body: &body.0,
            };
            subject.digests()
        });
        let is_trial = match &digests {
            Some(digests) => self.check_quarantine(&request, digests)?,
            None => false,
        };
        let timeout = call.timeout.unwrap_or(admitted.route.timeout);
        self.check_stop(started + timeout.min(admitted.route.timeout))?;
        let claim = self.token_claim(&admitted, &call);
        if let Some(organisation) = &admitted.organisation {
            self.spend_token(organisation, claim, &request, &call)
                .await?;
        }
        let organisation = admitted.organisation.clone();
        let entry = self.clone();
        let mut dispatch = self.new_dispatch(started, head, body, call, request, admitted)?;
        dispatch.priority = dispatch.engine_priority(claim.begins.is_some());
        (dispatch.digests, dispatch.is_trial) = (digests, is_trial);
        let result = if dispatch.route.kind == Kind::Streaming {
            forward_stream(dispatch).await
        } else {
            forward_buffered(dispatch).await
        };
        if let (Err(refusal), Some(organisation)) = (&result, &organisation)
            && refusal.is_not_run()
        {
            entry.rate_limiter.refund(organisation, claim);
        }
        result
    }

    /// Rejects a request that is not passed on yet if this entry stops before its deadline.
    pub(super) fn check_stop(&self, deadline: Timestamp) -> Result<(), Refusal> {
        match self.stop.get() {
            Some(plan) if !plan.admits(clock::now(), deadline) => Err(Refusal::Stopping),
            _ => Ok(()),
        }
    }

    /// Logs that a part has no room for a request, and returns the refusal.
    fn refuse_for_memory(&self, part: Part) -> Refusal {
        self.log_no_room(part);
        Refusal::NoMemory
    }

    /// Logs that a part has no room.
    pub(super) fn log_no_room(&self, part: Part) {
        if let Some(limit::Admitted { held_back }) = lock(&self.no_room_lines).admit(clock::now()) {
            let account = self.connections.account();
            log::warn!(target: "entry", part = part.name(), used = account.used(part),
                limit = account.limit(part), held_back; "no room in a part of the memory");
        }
    }

    /// Spends a token of the organisation's rate limit and records that the program was admitted.
    async fn spend_token(
        &self,
        organisation: &id::Organisation,
        claim: Claim,
        request: &id::Request,
        call: &RequestMetadata,
    ) -> Result<(), Refusal> {
        if let Err(over_limit) = self.rate_limiter.acquire(organisation, claim).await {
            log::info!(target: "limit", request:% = request, organisation:% = organisation,
                program:? = call.program, claim:? = claim,
                rate = over_limit.limit.rate, burst = over_limit.limit.burst, alone = over_limit.owner_lost,
                retry_ms = clock::millis(over_limit.retry_after); "the organisation exceeds its rate limit");
            return Err(Refusal::OverRate(over_limit.retry_after));
        }
        if let Some(program) = &call.program {
            lock(&self.recent_programs).insert(program.clone());
        }
        Ok(())
    }

    /// Finds the route and authenticates the organisation.
    fn admit(&self, head: &Parts, call: &RequestMetadata) -> Result<Admitted, Refusal> {
        let index = self.index.load_full().ok_or(Refusal::NotReady)?;
        if head_bytes(head) > index.config().limits.header_bytes {
            return Err(Refusal::HeadTooLong);
        }
        let host = head.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let route = index.route(host, head.uri.path()).ok_or(Refusal::NoRoute)?;
        let route = route.clone();
        let organisation: Option<&Organisation> = call
            .api_key
            .as_ref()
            .and_then(|key| index.organisation(key));
        if organisation.is_none() && !route.anonymous && !index.config().organisations.is_empty() {
            return Err(Refusal::Key);
        }
        let priority = organisation.and_then(|organisation| organisation.priority);
        Ok(Admitted {
            organisation: organisation.map(|organisation| organisation.name.clone()),
            priority: priority.unwrap_or(route.priority),
            route,
            index,
        })
    }

    /// Returns the request's claim on rate limit tokens. The first request of a program must leave
    /// some tokens to running programs.
    fn token_claim(&self, admitted: &Admitted, call: &RequestMetadata) -> Claim {
        let route = &admitted.route;
        let begins_program = route.kind == Kind::Streaming
            && call.previous_turn.is_none()
            && call
                .program
                .as_ref()
                .is_some_and(|program| !lock(&self.recent_programs).contains(program));
        let time_limit = call.timeout.unwrap_or(route.timeout).min(route.timeout);
        if begins_program {
            Claim::new_program(route.priority, time_limit / TOKEN_WAIT_DIVISOR)
        } else {
            Claim::running_program(time_limit / TOKEN_WAIT_DIVISOR)
        }
    }

    fn new_dispatch(
        self: Arc<Self>,
        started: Timestamp,
        head: Parts,
        (body, body_room): (Bytes, Room),
        call: RequestMetadata,
        request: id::Request,
        admitted: Admitted,
    ) -> Result<Dispatch, Refusal> {
        let Admitted {
            index,
            route,
            organisation,
            priority,
        } = admitted;
        let target = route.target(rand::random()).ok_or(Refusal::NoServer)?;
        let timeout = call.timeout.unwrap_or(route.timeout);
        let mut headers = head.headers;
        strip_hop_by_hop(&mut headers);
        // Engines cache the prompt prefixes of a program, so its requests share one affinity at all
        // entries.
        let affinity_key = call.program.as_deref().filter(|_| !call.prompt.is_empty());
        let affinity_key = affinity_key
            .or(call.affinity_key.as_deref())
            .unwrap_or(&request);
        Ok(Dispatch {
            affinity: affinity_hash(affinity_key),
            service: target.service.clone(),
            rank: priority,
            priority: None,
            pass: None,
            entry: self,
            index,
            organisation,
            request,
            method: head.method,
            uri: head.uri,
            headers,
            caller_body: body.clone(),
            body,
            body_room,
            started,
            deadline: started + timeout.min(route.timeout),
            caller_deadline: started + timeout,
            call,
            route,
            excluded: Vec::new(),
            sent: 0,
            tries: 0,
            digests: None,
            is_trial: false,
            hedge_permit: Permit::default(),
            failed_on: None,
        })
    }
}

impl Dispatch {
    /// Returns the priority in an engine's queue; `None` for other services.
    fn engine_priority(&self, begins_program: bool) -> Option<u8> {
        let turn = Turn {
            rank: self.rank,
            begins_program,
            program_deadline: self.call.program_deadline,
            max_tokens: self.call.tokens.map_or(0, |(_, most)| most),
        };
        (!self.call.prompt.is_empty()).then(|| turn.priority())
    }
}

/// Returns the size of a request's head in bytes. Hyper itself limits only the part that it has to
/// buffer.
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

async fn forward_buffered(mut dispatch: Dispatch) -> Result<Response<Body>, Refusal> {
    let response = dispatch.buffered_response().await?;
    Ok(complete_response(&dispatch, response))
}

/// Forwards a complete response, and logs and counts the request.
fn complete_response(
    dispatch: &Dispatch,
    response: super::exchange::BufferedResponse,
) -> Response<Body> {
    let took = clock::now().saturating_sub(dispatch.started);
    let status = response.head.status.as_u16();
    dispatch
        .entry
        .metrics
        .record_response(&dispatch.route.name, status, took);
    dispatch.entry.metrics.record_first_byte(took);
    log::info!(target: "entry", request:% = dispatch.request, route:% = dispatch.route.name,
        organisation:? = dispatch.organisation, program:? = dispatch.call.program, status,
        sent = dispatch.sent, tries = dispatch.tries, took_ms = clock::millis(took); "answered");
    let mut head = response.head;
    strip_hop_by_hop(&mut head.headers);
    Response::from_parts(head, http::full_body(response.body))
}

/// Begins a turn if the route or a budget demands it, and forwards the stream of an engine.
async fn forward_stream(mut dispatch: Dispatch) -> Result<Response<Body>, Refusal> {
    dispatch.pass = dispatch.entry.intakes.enter(&dispatch).await?;
    if dispatch.pass.as_ref().is_some_and(|pass| pass.is_first) {
        // Also if it was refused before and has come back.
        dispatch.priority = dispatch.engine_priority(true);
    }
    let (mut reservation, mut retained) = (None, None);
    if dispatch.route.stores_turns || dispatch.call.budget.is_some() {
        let (guard, chain) = begin_turn(&dispatch).await?;
        if dispatch.route.stores_turns {
            retained = Some(prepend_chain(&mut dispatch, chain)?);
        }
        reservation = Some(guard);
    }
    if let Some(pass) = &dispatch.pass {
        pass.record_sent(&dispatch);
    }
    let exchange = dispatch.begin_response(dispatch.call.last_event).await?;
    if !is_event_stream(&exchange.head) {
        let response = dispatch.buffer(exchange).await;
        let response = response.map_err(|_| Refusal::Failed)?;
        return Ok(complete_response(&dispatch, response));
    }
    let service = dispatch.index.service(&dispatch.service);
    let event_tokens = service.and_then(|service| service.event_tokens);
    let mut head = exchange.head.clone();
    strip_hop_by_hop(&mut head.headers);
    let relay = Relay {
        status: head.status,
        last_event: dispatch.call.last_event,
        dispatch,
        reservation: reservation.take(),
        retained,
        event_tokens: event_tokens.unwrap_or(1).into(),
        event_count: 0,
        first_byte_at: None,
    };
    Ok(Response::from_parts(head, relay.start(exchange)))
}

/// Reserves the turn's tokens and looks up the chain that it continues.
async fn begin_turn(dispatch: &Dispatch) -> Result<(ReservationGuard, Chain), Refusal> {
    let turns = &dispatch.entry.turns;
    let organisation = dispatch.organisation.clone().unwrap_or_else(|| "".into());
    let previous = dispatch
        .call
        .previous_turn
        .clone()
        .filter(|_| dispatch.route.stores_turns);
    let cached = previous
        .as_ref()
        .and_then(|previous| turns.cached_chain(&organisation, previous));
    let budget = dispatch.call.program.clone().zip(dispatch.call.budget);
    let command = Begin {
        at: 0,
        request: dispatch.request.clone(),
        organisation: organisation.clone(),
        max_tokens: dispatch.call.tokens.map_or(0, |(_, most)| most),
        previous: previous.clone(),
        holds_chain: cached.is_some(),
        retention: dispatch.route.retention,
        budget,
    };
    let program = command.budget.as_ref().map(|(program, _)| program.clone());
    let mut reservation = ReservationGuard {
        turns: turns.clone(),
        request: dispatch.request.clone(),
        organisation,
        program,
        retention: dispatch.route.retention,
        spent: 0,
        pending: true,
    };
    let left = dispatch.deadline.saturating_sub(clock::now());
    let requested_at = clock::now();
    let outcome = turns.begin(command, BEGIN_TURN_TIMEOUT.min(left)).await;
    log::info!(target: "turn", request:% = dispatch.request, program:? = reservation.program,
        previous:? = previous, held = cached.is_some(), outcome = describe_outcome(outcome.as_ref().ok()),
        took_ms = clock::millis(clock::now().saturating_sub(requested_at)); "turn begun");
    match outcome {
        Ok(Outcome::Begun(chain)) => Ok((reservation, cached.unwrap_or_else(|| chain.into()))),
        Ok(Outcome::OverBudget { .. }) => {
            reservation.pending = false;
            Err(Refusal::OverBudget)
        }
        Ok(Outcome::NoTurn) => {
            reservation.pending = false;
            Err(Refusal::NoTurn)
        }
        Ok(Outcome::Ended) => Err(Refusal::NoStore(Duration::ZERO)),
        Err(unavailable) => Err(Refusal::NoStore(unavailable.return_after)),
    }
}

fn describe_outcome(outcome: Option<&Outcome>) -> String {
    match outcome {
        Some(Outcome::Begun(chain)) => format!("begun, {} turns sent", chain.len()),
        Some(other) => format!("{other:?}"),
        None => "no store could tell".to_owned(),
    }
}

/// Prepends the chain to the turn's input, since the engine needs the whole history.
fn prepend_chain(dispatch: &mut Dispatch, chain: Chain) -> Result<RetainedTurn, Refusal> {
    let input = dispatch.body.clone();
    let length = chain.iter().map(Bytes::len).sum::<usize>() + input.len();
    if !dispatch.body_room.try_extend(length) {
        return Err(dispatch.entry.refuse_for_memory(Part::CallerBodies));
    }
    let mut body = BytesMut::with_capacity(length);
    for text in chain.iter() {
        body.extend_from_slice(text);
    }
    body.extend_from_slice(&input);
    dispatch.body = body.freeze();
    Ok(RetainedTurn {
        previous: dispatch.call.previous_turn.clone(),
        chain,
        input_bytes: input.len(),
        text: BytesMut::from(&input[..]),
        held: Held::new(dispatch.entry.connections.account()),
    })
}
