//! A caller of entries.

use std::{collections::BTreeMap, net::SocketAddr};

use celerycove_daemon::http::{client, full};
use http_body_util::BodyExt;
use hyper::Request;
use serde_json::{Value, json};

/// An answer as the caller has it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub text: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    pub fn run(&self) -> &str {
        self.headers
            .get("celerycove-run")
            .map_or("", String::as_str)
    }

    pub fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    pub fn content(&self) -> String {
        let content = &self.json()["choices"][0]["message"]["content"];
        content.as_str().unwrap_or_default().to_owned()
    }
}

/// Sends a request; `None` if there is no whole answer.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(full(body.to_owned())).ok()?;
    let response = client().request(request).await.ok()?;
    let (parts, body) = response.into_parts();
    let bytes = body.collect().await.ok()?.to_bytes();
    let headers = parts
        .headers
        .iter()
        .map(|(name, value)| {
            (
                name.to_string(),
                String::from_utf8_lossy(value.as_bytes()).into_owned(),
            )
        })
        .collect();
    Some(Answer {
        status: parts.status.as_u16(),
        headers,
        text: String::from_utf8_lossy(&bytes).into_owned(),
    })
}

/// Sends a chat call.
pub async fn chat(
    address: SocketAddr,
    key: &str,
    headers: &[(&str, &str)],
    model: &str,
    text: &str,
) -> Option<Answer> {
    let body = json!({
        "model": model,
        "max_tokens": 20,
        "messages": [{"role": "user", "content": text}],
    });
    let bearer = format!("Bearer {key}");
    let mut all = vec![("authorization", bearer.as_str())];
    all.extend_from_slice(headers);
    send(
        address,
        "POST",
        "/v1/chat/completions",
        &all,
        &body.to_string(),
    )
    .await
}

/// Opens a program and gives its id.
pub async fn open(address: SocketAddr, key: &str, budget: u64) -> String {
    let bearer = format!("Bearer {key}");
    let body = json!({"budget": {"tokens": budget}}).to_string();
    let answer = send(
        address,
        "POST",
        "/v1/programs",
        &[("authorization", &bearer)],
        &body,
    )
    .await
    .expect("an answer");
    assert_eq!(answer.status, 201, "{answer:?}");
    answer.json()["id"].as_str().expect("an id").to_owned()
}

/// Sends a call of a program.
pub async fn call(
    address: SocketAddr,
    key: &str,
    program: &str,
    number: u32,
    text: &str,
) -> Option<Answer> {
    let number = number.to_string();
    let headers = [
        ("celerycove-program", program),
        ("celerycove-call", number.as_str()),
    ];
    chat(address, key, &headers, "drafter", text).await
}

/// Sends a payment under an idempotency key.
pub async fn pay(address: SocketAddr, key: &str, name: &str) -> Option<Answer> {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", name),
    ];
    send(
        address,
        "POST",
        "/orders/payments",
        &headers,
        "{\"amount\":7}",
    )
    .await
}
