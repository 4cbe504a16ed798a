//! Calls of services that are not engines, by the routes in the settings.

use std::{sync::Arc, time::Duration};

use celerycove_program::{
    Request as HomeRequest, Response as HomeResponse,
    op::{Outcome, ServiceAnswer},
};
use celerycove_route::{Request as RouteRequest, pool::Target};
use celerycove_settings::schema::Route;
use celerycove_types::{id, label};
use celerycove_wire::{Execution, header};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
};
use sha2::{Digest, Sha256};

use super::{
    Entry,
    admit::Caller,
    chat::relay::Relay,
    dispatch::{DispatchRequest, Dispatched},
    refuse::Refusal,
};
use crate::http::{Body, full_body, response};

/// The largest answer in bytes that is recorded for retries with the same idempotency key.
const MAX_RECORDED_BYTES: usize = 64 << 10;

/// A call of a service.
struct Call {
    /// The path prefix of the route.
    prefix: String,
    route: Route,
    caller: Option<Caller>,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

impl Entry {
    pub(super) async fn call_service(
        self: &Arc<Self>,
        request_id: &id::Request,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Refusal> {
        let (prefix, route) = self.find_route(request.uri().path())?;
        let caller = if route.open {
            self.fresh_config()?;
            None
        } else {
            Some(self.authenticate(request.headers())?)
        };
        let (parts, body) = request.into_parts();
        let body = self.read_body(body).await?;
        if let Some(caller) = &caller {
            self.admit(caller).await?;
        }
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let call = Call {
            prefix,
            route,
            caller,
            method: parts.method.clone(),
            path: path.to_owned(),
            headers: forwarded_headers(&parts.headers),
            body,
        };
        if let Some(key) = parts.headers.get(header::IDEMPOTENCY_KEY) {
            let key = key.to_str().ok().filter(|key| label::is_valid(key));
            let key = key.ok_or_else(|| {
                Refusal::invalid_field(
                    "Idempotency-Key",
                    "letters, digits and -_./: are allowed, 128 at most",
                )
            })?;
            self.call_idempotent(request_id, call, key).await
        } else {
            let dispatched = self.dispatch(dispatch_request(request_id, &call)).await?;
            Ok(Relay::forward(self, dispatched))
        }
    }

    /// Finds the route with the longest prefix that matches the path.
    fn find_route(&self, path: &str) -> Result<(String, Route), Refusal> {
        self.process
            .settings
            .routes
            .iter()
            .filter(|(prefix, _)| {
                let rest = path.strip_prefix(prefix.as_str());
                rest.is_some_and(|rest| {
                    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
                })
            })
            .max_by_key(|(prefix, _)| prefix.len())
            .map(|(prefix, route)| (prefix.clone(), route.clone()))
            .ok_or_else(|| {
                Refusal::new(
                    StatusCode::NOT_FOUND,
                    "no_route",
                    "no route matches this path",
                )
            })
    }

    /// Makes a call with an idempotency key, which the home records before the call is dispatched
    /// and again when it has ended.
    async fn call_idempotent(
        self: &Arc<Self>,
        request_id: &id::Request,
        call: Call,
        key: &str,
    ) -> Result<Response<Body>, Refusal> {
        let organisation = call
            .caller
            .as_ref()
            .map_or("-", |caller| &caller.organisation);
        let key: Arc<str> = format!("{organisation}/{}/{key}", call.prefix).into();
        let running = self.process.requests.register(request_id);
        let intend = HomeRequest::Intend {
            key: key.clone(),
            digest: digest(&call).into(),
            request: request_id.clone(),
            entry: self.process.dispatcher(),
        };
        let attempt = match self.send_to_home(&key, intend).await? {
            HomeResponse::Intended { attempt } => attempt,
            HomeResponse::Served(served) => return Ok(response_of(served)),
            _ => {
                return Err(Refusal::unavailable(
                    "home_unavailable",
                    "the home gave no answer",
                ));
            }
        };
        // A task of its own continues if the caller disconnects, so that the record is always
        // concluded.
        let entry = self.clone();
        let request = dispatch_request(request_id, &call);
        let task = tokio::spawn(async move {
            let result = entry.run_idempotent(key, attempt, request).await;
            drop(running);
            result
        });
        task.await
            .unwrap_or_else(|_| Err(Refusal::may_have_run("failed", "the call may have run")))
    }

    async fn run_idempotent(
        &self,
        key: Arc<str>,
        attempt: id::Attempt,
        request: DispatchRequest,
    ) -> Result<Response<Body>, Refusal> {
        let result = match self.dispatch(request).await {
            Ok(dispatched) => self.read_answer(dispatched).await,
            Err(refusal) => Err(refusal),
        };
        let ending = match &result {
            Ok(served) => Outcome::Done(ServiceAnswer {
                body: served
                    .body
                    .clone()
                    .filter(|body| body.len() <= MAX_RECORDED_BYTES),
                ..served.clone()
            }),
            Err(refusal) if refusal.run == Execution::NotRun => Outcome::NotRun,
            Err(_) => Outcome::Unknown,
        };
        let conclude = HomeRequest::Conclude {
            key: key.clone(),
            attempt,
            ending,
        };
        let concluded = self.send_to_home(&key, conclude).await;
        match (result, concluded) {
            // The call ran, recorded or not; without the record a retry is refused as possibly run.
            (Ok(served), _) => Ok(response_of(served)),
            (Err(refusal), Ok(_)) => Err(refusal),
            (Err(refusal), Err(_)) => Err(Refusal {
                retry_after: Some(Duration::from_secs(5)),
                ..refusal
            }),
        }
    }

    /// Reads the whole answer of a service.
    async fn read_answer(&self, dispatched: Dispatched) -> Result<ServiceAnswer, Refusal> {
        let (parts, body) = dispatched.response.into_parts();
        let collected = tokio::time::timeout(self.setting.answer_timeout.0, body.collect()).await;
        if let Ok(Ok(collected)) = collected {
            dispatched.load.served(self.process.now());
            let content_type = parts.headers.get(CONTENT_TYPE);
            Ok(ServiceAnswer {
                status: parts.status.as_u16(),
                content_type: content_type
                    .and_then(|v| v.to_str().ok())
                    .map(ToOwned::to_owned),
                body: Some(collected.to_bytes().to_vec()),
            })
        } else {
            dispatched.load.failed(self.process.now());
            Err(Refusal::may_have_run(
                "answer_cut",
                "the call ran, but its answer was cut off",
            ))
        }
    }
}

fn dispatch_request(request_id: &id::Request, call: &Call) -> DispatchRequest {
    DispatchRequest {
        request_id: request_id.clone(),
        organisation: call
            .caller
            .as_ref()
            .map(|caller| caller.organisation.clone()),
        weight: call.caller.as_ref().map_or(1, |caller| caller.weight),
        program: None,
        attained_tokens: 0,
        target: Target::Route(call.prefix.clone()),
        route_request: RouteRequest {
            output_tokens: 1,
            ..RouteRequest::default()
        },
        retryable: call.route.idempotent
            || call.method == Method::GET
            || call.method == Method::HEAD,
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        body: call.body.clone(),
    }
}

/// Returns the caller's headers that are forwarded to a backend server.
pub(super) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    const FORWARDED: [&str; 5] = [
        "content-type",
        "accept",
        "accept-language",
        "idempotency-key",
        "user-agent",
    ];
    headers
        .iter()
        .filter(|(name, _)| FORWARDED.contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Returns a digest by which a reuse of the key for another call is detected.
fn digest(call: &Call) -> String {
    let mut hasher = Sha256::new();
    hasher.update(call.method.as_str());
    hasher.update([0]);
    hasher.update(&call.path);
    hasher.update([0]);
    hasher.update(&call.body);
    hex::encode(hasher.finalize())
}

/// Returns the response with a call's answer.
fn response_of(answer: ServiceAnswer) -> Response<Body> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let Some(body) = answer.body else {
        let mut response = response(
            status,
            "application/json",
            "{\"answer\":\"too long to keep\"}",
        );
        response
            .headers_mut()
            .insert(header::RUN, HeaderValue::from_static("done"));
        return response;
    };
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::RUN, HeaderValue::from_static("done"));
    if let Some(kind) = answer
        .content_type
        .and_then(|kind| HeaderValue::from_str(&kind).ok())
    {
        headers.insert(CONTENT_TYPE, kind);
    }
    response
}
