//! A minimal dialect for the tests: one header for each field, and configurations of `NAME=VALUE`
//! lines.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use celerycove_fleet::{
    Config,
    config::{Kind, Limits, Organisation, Route, Service, Target},
    registry::{Heartbeat, Stage},
};
use celerycove_gateway::dialect::{Answer, Attempt, Call, Dialect, Malformed, Order};
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
    fn call(&self, head: &request::Parts) -> Result<Call, Malformed> {
        let headers = &head.headers;
        let request = text(headers, "id").ok_or(Malformed { field: "id" })?;
        Ok(Call {
            request: Some(request.into()),
            patience: Some(Duration::from_secs(4)),
            key: text(headers, "key"),
            program: text(headers, "program").map(Into::into),
            budget: number(headers, "budget"),
            tokens: number(headers, "most").map(|most| (0, most)),
            previous: text(headers, "previous").map(Into::into),
            last_event: number(headers, "last-event-id"),
            ..Call::default()
        })
    }

    fn dress(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>) {
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

    fn answer(&self, head: &response::Parts) -> Answer {
        Answer {
            request: text(&head.headers, "id").map(Into::into),
            declined: head.headers.contains_key("declined"),
            ..Answer::default()
        }
    }

    fn order(&self, method: &Method, uri: &Uri) -> Option<Order> {
        match (method.as_str(), uri.path()) {
            ("PUT", "/config") => Some(Order::Configure),
            ("GET", "/config") => Some(Order::Read),
            ("PUT", path) => Some(Order::Beat(path.strip_prefix("/beat/")?.into())),
            _ => None,
        }
    }

    fn beat(&self, backend: &id::Backend, body: &[u8]) -> Result<Heartbeat, Malformed> {
        let text = String::from_utf8_lossy(body);
        let [address, stage, seq] = text.split(' ').collect::<Vec<_>>()[..] else {
            return Err(Malformed { field: "beat" });
        };
        Ok(Heartbeat {
            backend: backend.clone(),
            started_at_ms: 1,
            sequence: seq.parse().map_err(|_| Malformed { field: "seq" })?,
            service: "app".into(),
            address: address
                .parse()
                .map_err(|_| Malformed { field: "address" })?,
            data_centre: "a".into(),
            slots: 8,
            stage: if stage == "ready" {
                Stage::Ready
            } else {
                Stage::Leaving
            },
            cold_remaining: Duration::ZERO,
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
                _ => return Err(format!("unknown line {name}")),
            }
        }
        config.services.push(Service {
            name: "app".into(),
            max_connections: 100,
            cold_rate: 0.0,
            event_tokens: Some(2),
            cache_tokens: None,
        });
        config.organisations.push(Organisation {
            name: "zilina".into(),
            keys: vec!["key-1".to_owned()],
            priority: None,
            rate: 0.0,
            burst: 0.0,
        });
        Ok(config)
    }

    fn retirement(&self, completed: bool) -> Bytes {
        completed.to_string().into()
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
    })
}
