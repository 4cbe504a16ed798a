//! Processes that are killed or cut off.

use std::time::{Duration, Instant};

use celerycove_config::Change;

use crate::{
    caller::{Answer, call, chat, open, pay},
    deployment::{Deployment, PATIENCE},
};

/// Sends a call until it is answered, as a caller whose entry or home has failed does.
async fn call_until_answered(
    entries: &[std::net::SocketAddr],
    key: &str,
    program: &str,
    number: u32,
) -> Answer {
    let began = Instant::now();
    let text = format!("turn {number}");
    loop {
        for entry in entries {
            if let Some(answer) = call(*entry, key, program, number, &text).await
                && answer.status == 200
            {
                return answer;
            }
        }
        assert!(
            began.elapsed() < PATIENCE,
            "call {number} of {program} has no answer"
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn history_survives_the_death_of_homes_between_turns() {
    let mut deployment = Deployment::start().await;
    let key = deployment.key.clone();
    let entries: Vec<_> = deployment.entries.values().copied().collect();
    let mut programs = Vec::new();
    for _ in 0..6 {
        let program = open(entries[0], &key, 100_000).await;
        call_until_answered(&entries, &key, &program, 1).await;
        programs.push(program);
    }
    for (number, victim) in (2..).zip(["beside-engine-0", "beside-orders", "beside-engine-2"]) {
        deployment.kill(victim);
        for program in &programs {
            let answer = call_until_answered(&entries, &key, program, number).await;
            let turns = number * 2 - 1;
            let whole = answer.content().starts_with(&format!("answer {turns} to"));
            assert!(whole, "{program} call {number}: {answer:?}");
        }
        deployment.launch(victim, false);
        deployment.wait_ready(victim).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn payments_run_once_when_entries_die() {
    let mut deployment = Deployment::start().await;
    let key = deployment.key.clone();
    let (first, second) = (deployment.entries["entry-0"], deployment.entries["entry-1"]);
    for round in 0..3 {
        let name = format!("pay-{round}");
        let (sent_key, sent_name) = (key.clone(), name.clone());
        let sent = tokio::spawn(async move { pay(first, &sent_key, &sent_name).await });
        // The service takes 150 ms; the kill comes before, in the middle of it, or after.
        tokio::time::sleep(Duration::from_millis(20 + 90 * round)).await;
        deployment.kill("entry-0");
        let told = sent.await.expect("a task");
        let settled = settle(second, &key, &name).await;
        let ran = deployment
            .service
            .executions()
            .get(&name)
            .copied()
            .unwrap_or(0);
        assert!(ran <= 1, "{name} ran {ran} times");
        if settled.run() == "done" || told.is_some_and(|answer| answer.run() == "done") {
            assert_eq!(ran, 1, "{name} was told done: {settled:?}");
        }
        deployment.launch("entry-0", false);
        deployment.wait_ready("entry-0").await;
    }
}

/// Sends a payment again until its fate is told.
async fn settle(entry: std::net::SocketAddr, key: &str, name: &str) -> Answer {
    let began = Instant::now();
    loop {
        if let Some(answer) = pay(entry, key, name).await
            && (answer.status == 200 || answer.code() == "may_have_run")
        {
            return answer;
        }
        assert!(began.elapsed() < PATIENCE, "{name} is never settled");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_off_entry_stops_before_an_old_key_does_harm() {
    let deployment = Deployment::start().await;
    let entry = deployment.entries["entry-1"];
    let other = deployment.entries["entry-0"];
    let key = deployment.issue("leaver", "zilina").await;
    wait_for(|| chat(entry, &key, &[], "drafter", "hi"), 200).await;
    deployment.admin("entry-1", "POST", "/faults/cut").await;
    deployment
        .change(Change::Withdraw {
            id: "leaver".into(),
        })
        .await;
    let began = Instant::now();
    wait_for(|| chat(other, &key, &[], "drafter", "hi"), 401).await;
    // Cut off, it can't know of the withdrawal, so it has to stop serving altogether.
    let refused = wait_for(|| chat(entry, &key, &[], "drafter", "hi"), 503).await;
    assert_eq!(
        (refused.code().as_str(), refused.run()),
        ("stale", "not-run")
    );
    assert!(began.elapsed() < PATIENCE);
    deployment.admin("entry-1", "POST", "/faults/heal").await;
    wait_for(|| chat(entry, &key, &[], "drafter", "hi"), 401).await;
    wait_for(|| chat(entry, &deployment.key, &[], "drafter", "hi"), 200).await;
}

/// Asks until the answer has a status.
async fn wait_for<F: Future<Output = Option<Answer>>>(ask: impl Fn() -> F, status: u16) -> Answer {
    let began = Instant::now();
    loop {
        let answer = ask().await;
        if let Some(answer) = &answer
            && answer.status == status
        {
            return answer.clone();
        }
        assert!(
            began.elapsed() < PATIENCE,
            "waited for {status}, got {answer:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
