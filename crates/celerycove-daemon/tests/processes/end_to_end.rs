//! Requests from entry to backend server and back, without faults.

use serde_json::json;

use crate::{
    caller::{call_program, chat, open_program, pay, send},
    deployment::Deployment,
};

#[tokio::test(flavor = "multi_thread")]
async fn programs_refusals_streams_payments_and_secrecy() {
    let deployment = Deployment::start().await;
    let key = &deployment.key;
    let entries: Vec<_> = deployment.entries.values().copied().collect();
    program_calls_share_history(&entries, key).await;
    invalid_requests_are_refused(&entries, key).await;
    streamed_answers_enter_history(&entries, key).await;
    payments_run_once(&deployment, &entries, key).await;
    secrets_do_not_leak(&deployment, key);
}

/// Calls of one program through different entries see its complete history.
async fn program_calls_share_history(entries: &[std::net::SocketAddr], key: &str) {
    let program = open_program(entries[0], key, 10_000).await;
    let first = call_program(entries[0], key, &program, 1, "one")
        .await
        .expect("a response");
    assert_eq!(
        (first.status, first.run_status()),
        (200, "done"),
        "{first:?}"
    );
    let second = call_program(entries[1], key, &program, 2, "two")
        .await
        .expect("a response");
    assert!(
        second.content().starts_with("answer 3 to \"two\""),
        "{second:?}"
    );
    let resent = call_program(entries[0], key, &program, 2, "two")
        .await
        .expect("a response");
    assert_eq!(resent.content(), second.content());
    let reused = call_program(entries[0], key, &program, 2, "other")
        .await
        .expect("a response");
    assert_eq!(
        (reused.status, reused.error_code().as_str()),
        (409, "call_reused")
    );
    let out_of_order = call_program(entries[0], key, &program, 4, "four")
        .await
        .expect("a response");
    assert_eq!(
        (
            out_of_order.status,
            out_of_order.run_status(),
            out_of_order.error_code().as_str()
        ),
        (409, "not-run", "call_out_of_order")
    );
    let bearer = format!("Bearer {key}");
    let path = format!("/v1/programs/{program}");
    let account = send(entries[1], "GET", &path, &[("authorization", &bearer)], "")
        .await
        .expect("a response");
    assert_eq!(account.json()["calls"]["main"], 2);
    assert_eq!(account.json()["reserved"]["tokens"], 0);
    let ended = send(
        entries[0],
        "DELETE",
        &path,
        &[("authorization", &bearer)],
        "",
    )
    .await
    .expect("a response");
    assert_eq!(ended.status, 200);
    let after_end = call_program(entries[0], key, &program, 3, "three")
        .await
        .expect("a response");
    assert_eq!(
        (after_end.status, after_end.error_code().as_str()),
        (409, "program_ended")
    );
}

async fn invalid_requests_are_refused(entries: &[std::net::SocketAddr], key: &str) {
    let program = open_program(entries[0], key, 30).await;
    let over_budget = call_program(entries[0], key, &program, 1, "too dear")
        .await
        .expect("a response");
    assert_eq!(
        (
            over_budget.status,
            over_budget.run_status(),
            over_budget.error_code().as_str()
        ),
        (402, "not-run", "budget_exceeded")
    );
    let unknown_key = chat(entries[0], "cck_k1_wrong", &[], "drafter", "hi")
        .await
        .expect("a response");
    assert_eq!(
        (unknown_key.status, unknown_key.run_status()),
        (401, "not-run")
    );
    let unknown_model = chat(entries[0], key, &[], "nobody", "hi")
        .await
        .expect("a response");
    assert_eq!(
        (unknown_model.status, unknown_model.error_code().as_str()),
        (404, "unknown_model")
    );
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let path = "/v1/chat/completions";
    let invalid = send(
        entries[0],
        "POST",
        path,
        &headers,
        "{\"model\":\"drafter\"}",
    )
    .await
    .expect("a response");
    assert_eq!(invalid.status, 400);
    assert!(invalid.text.contains("messages"), "{invalid:?}");
    let long_body = "x".repeat(80 << 10);
    let too_large = send(entries[0], "POST", path, &headers, &long_body)
        .await
        .expect("a response");
    assert_eq!(
        (too_large.status, too_large.error_code().as_str()),
        (413, "body_too_large")
    );
    let no_route = send(entries[0], "POST", "/nowhere", &headers, "")
        .await
        .expect("a response");
    assert_eq!(
        (no_route.status, no_route.error_code().as_str()),
        (404, "no_route")
    );
}

/// A streamed response ends with the `[DONE]` event, and its message is added to the history.
async fn streamed_answers_enter_history(entries: &[std::net::SocketAddr], key: &str) {
    let program = open_program(entries[0], key, 10_000).await;
    let body = json!({
        "model": "drafter",
        "stream": true,
        "max_tokens": 5,
        "messages": [{"role": "user", "content": "stream"}],
    });
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("celerycove-program", program.as_str()),
        ("celerycove-call", "1"),
    ];
    let path = "/v1/chat/completions";
    let streamed = send(entries[0], "POST", path, &headers, &body.to_string())
        .await
        .expect("a response");
    assert!(streamed.text.ends_with("data: [DONE]\n\n"), "{streamed:?}");
    assert!(
        !streamed.text.contains("usage"),
        "the caller did not ask for the usage"
    );
    let next = call_program(entries[1], key, &program, 2, "after")
        .await
        .expect("a response");
    assert!(next.content().starts_with("answer 3"), "{next:?}");
}

async fn payments_run_once(deployment: &Deployment, entries: &[std::net::SocketAddr], key: &str) {
    let (first, second) =
        tokio::join!(pay(entries[0], key, "pay-1"), pay(entries[1], key, "pay-1"));
    let both = [first.expect("a response"), second.expect("a response")];
    assert!(
        both.iter().any(|response| response.status == 200),
        "{both:?}"
    );
    assert!(
        both.iter()
            .all(|response| response.run_status() != "not-run"),
        "{both:?}"
    );
    let resent = pay(entries[1], key, "pay-1").await.expect("a response");
    assert_eq!((resent.status, resent.run_status()), (200, "done"));
    assert_eq!(deployment.service.executions()["pay-1"], 1);
}

/// API keys appear neither in requests to backend servers nor in logs, and internal headers are not
/// passed on to backend servers.
fn secrets_do_not_leak(deployment: &Deployment, key: &str) {
    let secret = key.rsplit('_').next().expect("secret part of the key");
    for engine in deployment.engines.values() {
        for line in engine.headers_seen() {
            let line = line.to_lowercase();
            let internal_header =
                line.starts_with("celerycove") || line.starts_with("authorization");
            assert!(!internal_header && !line.contains(secret), "{line}");
        }
    }
    assert!(
        !deployment.logs().contains(secret),
        "a log line shows a key"
    );
}
