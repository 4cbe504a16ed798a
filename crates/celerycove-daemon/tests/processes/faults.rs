//! Faults: killed processes and cut links.

use std::time::{Duration, Instant};

use celerycove_config::Change;

use crate::{
    caller::{Response, call_program, chat, open_program, pay},
    deployment::{Deployment, TIMEOUT},
};

/// Repeats a call until it succeeds, as a caller does when an entry or a home has failed.
async fn call_until_answered(
    entries: &[std::net::SocketAddr],
    key: &str,
    program: &str,
    number: u32,
) -> Response {
    let started_at = Instant::now();
    let text = format!("turn {number}");
    loop {
        for entry in entries {
            if let Some(response) = call_program(*entry, key, program, number, &text).await
                && response.status == 200
            {
                return response;
            }
        }
        assert!(
            started_at.elapsed() < TIMEOUT,
            "call {number} of {program} has no answer"
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn program_history_survives_killed_homes() {
    let mut deployment = Deployment::start().await;
    let key = deployment.key.clone();
    let entries: Vec<_> = deployment.entries.values().copied().collect();
    let mut programs = Vec::new();
    for _ in 0..6 {
        let program = open_program(entries[0], &key, 100_000).await;
        call_until_answered(&entries, &key, &program, 1).await;
        programs.push(program);
    }
    for (number, victim) in (2..).zip(["beside-engine-0", "beside-orders", "beside-engine-2"]) {
        deployment.kill(victim);
        for program in &programs {
            let response = call_until_answered(&entries, &key, program, number).await;
            let turns = number * 2 - 1;
            let has_full_history = response
                .content()
                .starts_with(&format!("answer {turns} to"));
            assert!(has_full_history, "{program} call {number}: {response:?}");
        }
        deployment.launch(victim, false);
        deployment.wait_ready(victim).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn payments_run_at_most_once_when_an_entry_is_killed() {
    let mut deployment = Deployment::start().await;
    let key = deployment.key.clone();
    let (first, second) = (deployment.entries["entry-0"], deployment.entries["entry-1"]);
    for round in 0..3 {
        let name = format!("pay-{round}");
        let (cloned_key, cloned_name) = (key.clone(), name.clone());
        let first_payment =
            tokio::spawn(async move { pay(first, &cloned_key, &cloned_name).await });
        // The service takes 150 ms for a payment. The rounds kill the entry before the payment
        // reaches the service, while it runs, and after it has run.
        tokio::time::sleep(Duration::from_millis(20 + 90 * round)).await;
        deployment.kill("entry-0");
        let first_response = first_payment.await.expect("task");
        let final_response = pay_until_resolved(second, &key, &name).await;
        let executions = deployment
            .service
            .executions()
            .get(&name)
            .copied()
            .unwrap_or(0);
        assert!(executions <= 1, "{name} ran {executions} times");
        if final_response.run_status() == "done"
            || first_response.is_some_and(|response| response.run_status() == "done")
        {
            assert_eq!(
                executions, 1,
                "{name} was reported done: {final_response:?}"
            );
        }
        deployment.launch("entry-0", false);
        deployment.wait_ready("entry-0").await;
    }
}

/// Repeats a payment until its outcome is final.
async fn pay_until_resolved(entry: std::net::SocketAddr, key: &str, name: &str) -> Response {
    let started_at = Instant::now();
    loop {
        if let Some(response) = pay(entry, key, name).await
            && (response.status == 200 || response.error_code() == "may_have_run")
        {
            return response;
        }
        assert!(
            started_at.elapsed() < TIMEOUT,
            "{name} has no final outcome"
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_off_entry_refuses_requests_once_its_configuration_is_stale() {
    let deployment = Deployment::start().await;
    let entry = deployment.entries["entry-1"];
    let other = deployment.entries["entry-0"];
    let key = deployment.issue_key("withdrawn", "zilina").await;
    wait_for_status(|| chat(entry, &key, &[], "drafter", "hi"), 200).await;
    deployment
        .request_admin("entry-1", "POST", "/faults/cut")
        .await;
    deployment
        .propose_change(Change::Withdraw {
            id: "withdrawn".into(),
        })
        .await;
    let started_at = Instant::now();
    wait_for_status(|| chat(other, &key, &[], "drafter", "hi"), 401).await;
    // The cut-off entry does not receive the revocation, so it must refuse all requests.
    let refused = wait_for_status(|| chat(entry, &key, &[], "drafter", "hi"), 503).await;
    assert_eq!(
        (refused.error_code().as_str(), refused.run_status()),
        ("stale", "not-run")
    );
    assert!(started_at.elapsed() < TIMEOUT);
    deployment
        .request_admin("entry-1", "POST", "/faults/heal")
        .await;
    wait_for_status(|| chat(entry, &key, &[], "drafter", "hi"), 401).await;
    wait_for_status(|| chat(entry, &deployment.key, &[], "drafter", "hi"), 200).await;
}

/// Repeats a request until the response has the given status.
async fn wait_for_status<F: Future<Output = Option<Response>>>(
    request: impl Fn() -> F,
    status: u16,
) -> Response {
    let started_at = Instant::now();
    loop {
        let response = request().await;
        if let Some(response) = &response
            && response.status == status
        {
            return response.clone();
        }
        assert!(
            started_at.elapsed() < TIMEOUT,
            "waited for {status}, got {response:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
