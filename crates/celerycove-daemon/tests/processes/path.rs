//! The whole path while nothing fails.

use serde_json::json;

use crate::{
    caller::{call, chat, open, pay, send},
    deployment::Deployment,
};

#[tokio::test(flavor = "multi_thread")]
async fn programs_payments_refusals_and_keys() {
    let deployment = Deployment::start().await;
    let key = &deployment.key;
    let entries: Vec<_> = deployment.entries.values().copied().collect();
    programs(&entries, key).await;
    refusals(&entries, key).await;
    streams(&entries, key).await;
    payments(&deployment, &entries, key).await;
    keys_stay_here(&deployment, key);
}

/// Calls of one program through different entries see its whole history.
async fn programs(entries: &[std::net::SocketAddr], key: &str) {
    let program = open(entries[0], key, 10_000).await;
    let first = call(entries[0], key, &program, 1, "one")
        .await
        .expect("an answer");
    assert_eq!((first.status, first.run()), (200, "done"), "{first:?}");
    let second = call(entries[1], key, &program, 2, "two")
        .await
        .expect("an answer");
    assert!(
        second.content().starts_with("answer 3 to \"two\""),
        "{second:?}"
    );
    let again = call(entries[0], key, &program, 2, "two")
        .await
        .expect("an answer");
    assert_eq!(again.content(), second.content());
    let reused = call(entries[0], key, &program, 2, "other")
        .await
        .expect("an answer");
    assert_eq!(
        (reused.status, reused.code().as_str()),
        (409, "call_reused")
    );
    let early = call(entries[0], key, &program, 4, "four")
        .await
        .expect("an answer");
    assert_eq!(
        (early.status, early.run(), early.code().as_str()),
        (409, "not-run", "call_out_of_order")
    );
    let bearer = format!("Bearer {key}");
    let path = format!("/v1/programs/{program}");
    let account = send(entries[1], "GET", &path, &[("authorization", &bearer)], "")
        .await
        .expect("an answer");
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
    .expect("an answer");
    assert_eq!(ended.status, 200);
    let late = call(entries[0], key, &program, 3, "three")
        .await
        .expect("an answer");
    assert_eq!((late.status, late.code().as_str()), (409, "program_ended"));
}

async fn refusals(entries: &[std::net::SocketAddr], key: &str) {
    let program = open(entries[0], key, 30).await;
    let dear = call(entries[0], key, &program, 1, "too dear")
        .await
        .expect("an answer");
    assert_eq!(
        (dear.status, dear.run(), dear.code().as_str()),
        (402, "not-run", "budget_exceeded")
    );
    let unknown = chat(entries[0], "cck_k1_wrong", &[], "drafter", "hi")
        .await
        .expect("an answer");
    assert_eq!((unknown.status, unknown.run()), (401, "not-run"));
    let model = chat(entries[0], key, &[], "nobody", "hi")
        .await
        .expect("an answer");
    assert_eq!(
        (model.status, model.code().as_str()),
        (404, "unknown_model")
    );
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let path = "/v1/chat/completions";
    let bad = send(
        entries[0],
        "POST",
        path,
        &headers,
        "{\"model\":\"drafter\"}",
    )
    .await
    .expect("an answer");
    assert_eq!(bad.status, 400);
    assert!(bad.text.contains("messages"), "{bad:?}");
    let long = "x".repeat(80 << 10);
    let long = send(entries[0], "POST", path, &headers, &long)
        .await
        .expect("an answer");
    assert_eq!((long.status, long.code().as_str()), (413, "body_too_large"));
    let nowhere = send(entries[0], "POST", "/nowhere", &headers, "")
        .await
        .expect("an answer");
    assert_eq!((nowhere.status, nowhere.code().as_str()), (404, "no_route"));
}

/// A streamed call ends with its end mark and leaves its answer in the history.
async fn streams(entries: &[std::net::SocketAddr], key: &str) {
    let program = open(entries[0], key, 10_000).await;
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
        .expect("an answer");
    assert!(streamed.text.ends_with("data: [DONE]\n\n"), "{streamed:?}");
    assert!(
        !streamed.text.contains("usage"),
        "the caller did not ask for the usage"
    );
    let next = call(entries[1], key, &program, 2, "after")
        .await
        .expect("an answer");
    assert!(next.content().starts_with("answer 3"), "{next:?}");
}

async fn payments(deployment: &Deployment, entries: &[std::net::SocketAddr], key: &str) {
    let (first, second) =
        tokio::join!(pay(entries[0], key, "pay-1"), pay(entries[1], key, "pay-1"));
    let both = [first.expect("an answer"), second.expect("an answer")];
    assert!(both.iter().any(|answer| answer.status == 200), "{both:?}");
    assert!(
        both.iter().all(|answer| answer.run() != "not-run"),
        "{both:?}"
    );
    let again = pay(entries[1], key, "pay-1").await.expect("an answer");
    assert_eq!((again.status, again.run()), (200, "done"));
    assert_eq!(deployment.service.executions()["pay-1"], 1);
}

/// No backend server, log line or metric shows a key, and no backend server a header of ours.
fn keys_stay_here(deployment: &Deployment, key: &str) {
    let secret = key.rsplit('_').next().expect("a secret");
    for engine in deployment.engines.values() {
        for line in engine.headers_seen() {
            let line = line.to_lowercase();
            let ours = line.starts_with("celerycove") || line.starts_with("authorization");
            assert!(!ours && !line.contains(secret), "{line}");
        }
    }
    assert!(
        !deployment.logs().contains(secret),
        "a log line shows a key"
    );
}
