//! Sends HTTP requests to entries.

use std::{collections::BTreeMap, net::SocketAddr};

use celerycove_daemon::http::{client, full_body};
use http_body_util::BodyExt;
use hyper::Request;
use serde_json::{Value, json};

/// A complete response.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub text: String,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// Returns the header that tells whether the request has run.
    pub fn run_status(&self) -> &str {
        self.headers
            .get("celerycove-run")
            .map_or("", String::as_str)
    }

    /// Returns the code of the error in the body.
    pub fn error_code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the message of a chat completion.
    pub fn content(&self) -> String {
        let content = &self.json()["choices"][0]["message"]["content"];
        content.as_str().unwrap_or_default().to_owned()
    }
}

/// Sends a request; returns `None` if there is no complete response.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(full_body(body.to_owned())).ok()?;
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
    Some(Response {
        status: parts.status.as_u16(),
        headers,
        text: String::from_utf8_lossy(&bytes).into_owned(),
    })
}

/// Requests a chat completion.
pub async fn chat(
    address: SocketAddr,
    key: &str,
    headers: &[(&str, &str)],
    model: &str,
    prompt: &str,
) -> Option<Response> {
    let body = json!({
        "model": model,
        "max_tokens": 20,
        "messages": [{"role": "user", "content": prompt}],
    });
    let bearer = format!("Bearer {key}");
    let mut all_headers = vec![("authorization", bearer.as_str())];
    all_headers.extend_from_slice(headers);
    send(
        address,
        "POST",
        "/v1/chat/completions",
        &all_headers,
        &body.to_string(),
    )
    .await
}

/// Opens a program and returns its id.
pub async fn open_program(address: SocketAddr, key: &str, token_budget: u64) -> String {
    let bearer = format!("Bearer {key}");
    let body = json!({"budget": {"tokens": token_budget}}).to_string();
    let response = send(
        address,
        "POST",
        "/v1/programs",
        &[("authorization", &bearer)],
        &body,
    )
    .await
    .expect("a response");
    assert_eq!(response.status, 201, "{response:?}");
    response.json()["id"].as_str().expect("an id").to_owned()
}

/// Sends the numbered call of a program.
pub async fn call_program(
    address: SocketAddr,
    key: &str,
    program: &str,
    number: u32,
    prompt: &str,
) -> Option<Response> {
    let number = number.to_string();
    let headers = [
        ("celerycove-program", program),
        ("celerycove-call", number.as_str()),
    ];
    chat(address, key, &headers, "drafter", prompt).await
}

/// Sends a payment with an idempotency key.
pub async fn pay(address: SocketAddr, key: &str, idempotency_key: &str) -> Option<Response> {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", idempotency_key),
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
