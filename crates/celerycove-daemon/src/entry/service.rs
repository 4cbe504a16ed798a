//! Calls of plain services.

use std::{sync::Arc, time::Duration};

use celerycove_program::{
    Request as HomeRequest, Response as HomeResponse,
    op::{Ending, Served},
};
use celerycove_route::{Need, pool::Target};
use celerycove_settings::schema::Route;
use celerycove_types::{id, label};
use celerycove_wire::{Run, header};
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
    dispatch::{Dispatched, Order},
    refuse::Refusal,
};
use crate::http::{Body, answer, full};

/// The largest answer that is kept for resends.
const LARGEST_KEPT: usize = 64 << 10;

/// A call as it came.
struct Call {
    prefix: String,
    route: Route,
    caller: Option<Caller>,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

impl Entry {
    pub(super) async fn service(
        self: &Arc<Self>,
        name: &id::Request,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Refusal> {
        let (prefix, route) = self.route(request.uri().path())?;
        let caller = if route.open {
            self.fresh_config()?;
            None
        } else {
            Some(self.authenticate(request.headers())?)
        };
        let (parts, body) = request.into_parts();
        let body = self.read(body).await?;
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
            headers: passed(&parts.headers),
            body,
        };
        if let Some(key) = parts.headers.get(header::IDEMPOTENCY_KEY) {
            let key = key.to_str().ok().filter(|key| label::is_valid(key));
            let key = key.ok_or_else(|| {
                Refusal::field(
                    "Idempotency-Key",
                    "letters, digits and -_./: are allowed, 128 at most",
                )
            })?;
            self.once(name, call, key).await
        } else {
            let dispatched = self.dispatch(order(name, &call)).await?;
            Ok(Relay::pass(self, dispatched))
        }
    }

    fn route(&self, path: &str) -> Result<(String, Route), Refusal> {
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

    /// Runs a call under its idempotency key: recorded before its single dispatch, and after.
    async fn once(
        self: &Arc<Self>,
        name: &id::Request,
        call: Call,
        key: &str,
    ) -> Result<Response<Body>, Refusal> {
        let organisation = call
            .caller
            .as_ref()
            .map_or("-", |caller| &caller.organisation);
        let key: Arc<str> = format!("{organisation}/{}/{key}", call.prefix).into();
        let running = self.process.requests.begin(name);
        let intend = HomeRequest::Intend {
            key: key.clone(),
            digest: digest(&call).into(),
            request: name.clone(),
            entry: self.process.dispatcher(),
        };
        let attempt = match self.ask_home(&key, intend).await? {
            HomeResponse::Intended { attempt } => attempt,
            HomeResponse::Served(served) => return Ok(recorded(served)),
            _ => {
                return Err(Refusal::unavailable(
                    "home_unavailable",
                    "the home gave no answer",
                ));
            }
        };
        // The rest goes on if the caller goes away, so that the record gets its ending.
        let entry = self.clone();
        let order = order(name, &call);
        let work = tokio::spawn(async move {
            let result = entry.run_once(key, attempt, order).await;
            drop(running);
            result
        });
        work.await
            .unwrap_or_else(|_| Err(Refusal::unknown("failed", "the call may have run")))
    }

    async fn run_once(
        &self,
        key: Arc<str>,
        attempt: id::Attempt,
        order: Order,
    ) -> Result<Response<Body>, Refusal> {
        let result = match self.dispatch(order).await {
            Ok(dispatched) => self.collect(dispatched).await,
            Err(refusal) => Err(refusal),
        };
        let ending = match &result {
            Ok(served) => Ending::Done(Served {
                body: served
                    .body
                    .clone()
                    .filter(|body| body.len() <= LARGEST_KEPT),
                ..served.clone()
            }),
            Err(refusal) if refusal.run == Run::NotRun => Ending::NotRun,
            Err(_) => Ending::Unknown,
        };
        let conclude = HomeRequest::Conclude {
            key: key.clone(),
            attempt,
            ending,
        };
        let concluded = self.ask_home(&key, conclude).await;
        match (result, concluded) {
            // The call ran, recorded or not; without the record a resend is refused as unknown.
            (Ok(served), _) => Ok(recorded(served)),
            (Err(refusal), Ok(_)) => Err(refusal),
            (Err(refusal), Err(_)) => Err(Refusal {
                retry_after: Some(Duration::from_secs(5)),
                ..refusal
            }),
        }
    }

    async fn collect(&self, dispatched: Dispatched) -> Result<Served, Refusal> {
        let (parts, body) = dispatched.response.into_parts();
        let collected = tokio::time::timeout(self.setting.answer_timeout.0, body.collect()).await;
        if let Ok(Ok(collected)) = collected {
            dispatched.load.served(self.process.now());
            let content_type = parts.headers.get(CONTENT_TYPE);
            Ok(Served {
                status: parts.status.as_u16(),
                content_type: content_type
                    .and_then(|v| v.to_str().ok())
                    .map(ToOwned::to_owned),
                body: Some(collected.to_bytes().to_vec()),
            })
        } else {
            dispatched.load.failed(self.process.now());
            Err(Refusal::unknown(
                "answer_cut",
                "the call ran, but its answer was cut off",
            ))
        }
    }
}

fn order(name: &id::Request, call: &Call) -> Order {
    Order {
        request: name.clone(),
        organisation: call
            .caller
            .as_ref()
            .map(|caller| caller.organisation.clone()),
        weight: call.caller.as_ref().map_or(1, |caller| caller.weight),
        program: None,
        attained: 0,
        target: Target::Route(call.prefix.clone()),
        need: Need {
            generate: 1,
            ..Need::default()
        },
        repeatable: call.route.idempotent
            || call.method == Method::GET
            || call.method == Method::HEAD,
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        body: call.body.clone(),
    }
}

/// The headers of a caller that a backend server may see.
pub(super) fn passed(headers: &HeaderMap) -> HeaderMap {
    const PASSED: [&str; 5] = [
        "content-type",
        "accept",
        "accept-language",
        "idempotency-key",
        "user-agent",
    ];
    headers
        .iter()
        .filter(|(name, _)| PASSED.contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn digest(call: &Call) -> String {
    let mut hasher = Sha256::new();
    hasher.update(call.method.as_str());
    hasher.update([0]);
    hasher.update(&call.path);
    hasher.update([0]);
    hasher.update(&call.body);
    hex::encode(hasher.finalize())
}

fn recorded(served: Served) -> Response<Body> {
    let status = StatusCode::from_u16(served.status).unwrap_or(StatusCode::OK);
    let Some(body) = served.body else {
        let mut response = answer(
            status,
            "application/json",
            "{\"answer\":\"too long to keep\"}",
        );
        response
            .headers_mut()
            .insert(header::RUN, HeaderValue::from_static("done"));
        return response;
    };
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::RUN, HeaderValue::from_static("done"));
    if let Some(kind) = served
        .content_type
        .and_then(|kind| HeaderValue::from_str(&kind).ok())
    {
        headers.insert(CONTENT_TYPE, kind);
    }
    response
}
