//! A minimal dialect for the tests: one header for each field, and configurations of `NAME=VALUE`
//! lines.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use celerycove_fleet::{
    Config, Rollout,
    config::{Kind, Limits, Organisation, Route, Service, Target},
    registry::{Heartbeat, Stage},
};
use celerycove_gateway::dialect::{
    Attempt, Dialect, MalformedField, Operation, RequestMetadata, ResponseMetadata, RolloutOrder,
};
use celerycove_route::prefix::Part;
use celerycove_types::id;
use hyper::{
    HeaderMap, Method, Uri,
    header::HeaderValue,
    http::{request, response},
};

pub struct TestDialect;

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

impl Dialect for TestDialect {
    fn request_metadata(&self, head: &request::Parts) -> Result<RequestMetadata, MalformedField> {
        let headers = &head.headers;
        let request = text(headers, "id").ok_or(MalformedField { field: "id" })?;
        Ok(RequestMetadata {
            request_id: Some(request.into()),
            timeout: Some(Duration::from_secs(4)),
            api_key: text(headers, "key"),
            program: text(headers, "program").map(Into::into),
            budget: number(headers, "budget"),
            tokens: number(headers, "most").map(|most| (0, most)),
            previous_turn: text(headers, "previous").map(Into::into),
            last_event: number(headers, "last-event-id"),
            program_deadline: number(headers, "finish").map(Duration::from_millis),
            prompt: number(headers, "prompt")
                .map(|id| Part { id, tokens: 10 })
                .into_iter()
                .collect(),
            ..RequestMetadata::default()
        })
    }

    fn rewrite_headers(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>) {
        headers.remove("key");
        let mut set = |name: &'static str, value: &str| {
            headers.insert(name, HeaderValue::from_str(value).expect("a header"));
        };
        set("expect", attempt.backend);
        if let Some(organisation) = attempt.organisation {
            set("organisation", organisation);
        }
        if let Some(event) = attempt.last_event {
            set("last-event-id", &event.to_string());
        }
    }

    fn response_metadata(&self, head: &response::Parts) -> ResponseMetadata {
        ResponseMetadata {
            request_id: text(&head.headers, "id").map(Into::into),
            declined: head.headers.contains_key("declined"),
            leaving: head.headers.contains_key("leaving"),
            ..ResponseMetadata::default()
        }
    }

    fn operation(&self, method: &Method, uri: &Uri) -> Option<Operation> {
        match (method.as_str(), uri.path()) {
            ("PUT", "/config") => Some(Operation::Configure),
            ("GET", "/config") => Some(Operation::Read),
            ("PUT", path) => Some(Operation::Beat(path.strip_prefix("/beat/")?.into())),
            ("POST", "/rollouts") => Some(Operation::StartRollout),
            ("GET", path) if path.starts_with("/rollouts/") => Some(Operation::RolloutState(
                path.strip_prefix("/rollouts/")?.into(),
            )),
            ("POST", path) => Some(match path.strip_prefix("/retire/") {
                Some(instance) => Operation::Retire(instance.into()),
                None => Operation::Evacuate(path.strip_prefix("/evacuations/")?.into()),
            }),
            ("DELETE", path) => Some(match path.strip_prefix("/beat/") {
                Some(backend) => Operation::Leave(backend.into()),
                None => Operation::Restore(path.strip_prefix("/evacuations/")?.into()),
            }),
            ("GET", path) => Some(Operation::RetireState(
                path.strip_prefix("/retire/")?.into(),
            )),
            _ => None,
        }
    }

    fn heartbeat(&self, backend: &id::Backend, body: &[u8]) -> Result<Heartbeat, MalformedField> {
        let text = String::from_utf8_lossy(body);
        let words: Vec<_> = text.split(' ').collect();
        // The incarnation and the version may be left out.
        let (address, stage, seq, born, version) = match words[..] {
            [address, stage, seq] => (address, stage, seq, "1", ""),
            [address, stage, seq, born] => (address, stage, seq, born, ""),
            [address, stage, seq, born, version] => (address, stage, seq, born, version),
            _ => return Err(MalformedField { field: "beat" }),
        };
        Ok(Heartbeat {
            backend: backend.clone(),
            started_at_ms: born.parse().map_err(|_| MalformedField { field: "born" })?,
            sequence: seq.parse().map_err(|_| MalformedField { field: "seq" })?,
            service: "app".into(),
            address: address
                .parse()
                .map_err(|_| MalformedField { field: "address" })?,
            data_centre: "a".into(),
            slots: 8,
            stage: if stage == "ready" {
                Stage::Ready
            } else {
                Stage::Leaving
            },
            cold_remaining: Duration::ZERO,
            version: version.into(),
        })
    }

    fn config(&self, body: &Bytes) -> Result<Config, String> {
        let text = String::from_utf8_lossy(body);
        let mut config = Config {
            source: body.clone(),
            ..Config::default()
        };
        for line in text.lines() {
            let (name, value) = line.split_once('=').ok_or("no equals sign")?;
            match name {
                "version" => config.version = value.parse().map_err(|_| "no version")?,
                "route" => config.routes.push(Arc::new(route(value)?)),
                "limits" => config.limits = limits(value)?,
                "service" => config.services.push(service(value)),
                _ => return Err(format!("unknown line {name}")),
            }
        }
        if config.services.is_empty() {
            config.services.push(service("app"));
        }
        config.organisations.push(Organisation {
            name: "zilina".into(),
            keys: vec!["key-1".to_owned()],
            priority: None,
            rate: 0.0,
            burst: 0.0,
        });
        Ok(config)
    }

    fn retirement_body(&self, completed: bool) -> Bytes {
        completed.to_string().into()
    }

    /// Reads `SERVICE VERSION MILLISECONDS`.
    fn rollout_order(&self, body: &[u8]) -> Result<RolloutOrder, MalformedField> {
        let text = String::from_utf8_lossy(body);
        let [service, to, duration] = text.split(' ').collect::<Vec<_>>()[..] else {
            return Err(MalformedField { field: "rollout" });
        };
        let duration = duration
            .parse()
            .map_err(|_| MalformedField { field: "duration" })?;
        Ok(RolloutOrder {
            service: service.into(),
            to: to.into(),
            duration: Duration::from_millis(duration),
        })
    }

    /// Writes `STAGE VERSION`.
    fn rollout_body(&self, rollout: &Rollout) -> Bytes {
        format!("{:?} {}", rollout.stage, rollout.to).into()
    }
}

fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        max_connections: 100,
        cold_rate: 0.0,
        event_tokens: Some(2),
        cache_tokens: None,
    }
}

/// Parses `HEAD_BYTES IDLE_MS`.
fn limits(text: &str) -> Result<Limits, String> {
    let (head, idle) = text.split_once(' ').ok_or("limits are two numbers")?;
    let idle = Duration::from_millis(idle.parse().map_err(|_| "no idle time")?);
    Ok(Limits {
        header_bytes: head.parse().map_err(|_| "no bytes")?,
        header_timeout: idle,
        idle_timeout: idle,
        ..Limits::default()
    })
}

/// Parses `KIND PREFIX SERVICE`.
fn route(text: &str) -> Result<Route, String> {
    let [kind, prefix, service] = text.split(' ').collect::<Vec<_>>()[..] else {
        return Err("a route has three words".to_owned());
    };
    Ok(Route {
        name: prefix.into(),
        host: "test".to_owned(),
        prefix: prefix.to_owned(),
        kind: match kind {
            "plain" => Kind::Idempotent,
            "once" => Kind::NonIdempotent,
            _ => Kind::Streaming,
        },
        timeout: Duration::from_secs(4),
        target_latency: Duration::from_secs(1),
        priority: 0,
        targets: vec![Target {
            service: service.into(),
            weight: 1,
        }],
        max_attempts: 3,
        stores_turns: kind == "kept",
        retention: Duration::from_mins(1),
        anonymous: false,
        sticky: false,
        resumable: kind == "resumable",
        caller_patience: Duration::from_secs(3),
    })
}
