//! Graceful shutdown and restart of every process, one by one, under load.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering::Relaxed},
    },
    time::Duration,
};

use crate::{
    caller::{Answer, chat, pay},
    deployment::Deployment,
};

/// A platform's balancer: it sends to entries that say they are ready.
#[derive(Clone)]
struct Balancer {
    entries: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Balancer {
    fn pick(&self, n: u32) -> SocketAddr {
        let entries = self.entries.lock().expect("a lock");
        entries[n as usize % entries.len()]
    }
}

/// Sends requests until told to stop; keeps the answers that are no answers.
async fn load(
    balancer: Balancer,
    key: String,
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU32>,
) -> Vec<String> {
    let mut failures = Vec::new();
    while !stop.load(Relaxed) {
        let n = sent.fetch_add(1, Relaxed);
        let entry = balancer.pick(n);
        let answer: Option<Answer> = if n.is_multiple_of(4) {
            pay(entry, &key, &format!("load-{n}")).await
        } else {
            chat(entry, &key, &[], "drafter", "hi").await
        };
        match answer {
            Some(answer) if answer.status == 200 => {}
            other => failures.push(format!("{n} through {entry}: {other:?}")),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    failures
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_cuts_off_and_refuses_nothing() {
    let mut deployment = Deployment::start().await;
    let all: Vec<SocketAddr> = deployment.entries.values().copied().collect();
    let balancer = Balancer {
        entries: Arc::new(Mutex::new(all.clone())),
    };
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU32::new(0));
    let loads: Vec<_> = (0..4)
        .map(|_| {
            tokio::spawn(load(
                balancer.clone(),
                deployment.key.clone(),
                stop.clone(),
                sent.clone(),
            ))
        })
        .collect();
    // One backend server serves the route of payments; its restart would leave none.
    let names: Vec<String> = deployment
        .names()
        .into_iter()
        .filter(|name| name != "beside-orders")
        .collect();
    for name in names {
        if let Some(entry) = deployment.entries.get(&name) {
            let rest: Vec<SocketAddr> =
                all.iter().copied().filter(|other| other != entry).collect();
            *balancer.entries.lock().expect("a lock") = rest;
        }
        let code = deployment.terminate(&name).await;
        assert_eq!(code, Some(0), "{name}");
        deployment.launch(&name, false);
        deployment.wait_ready(&name).await;
        balancer.entries.lock().expect("a lock").clone_from(&all);
    }
    stop.store(true, Relaxed);
    let mut failures = Vec::new();
    for load in loads {
        failures.extend(load.await.expect("a task"));
    }
    let sent = sent.load(Relaxed);
    assert!(sent > 100, "only {sent} requests were sent");
    assert!(
        failures.is_empty(),
        "{} of {sent} failed, first: {:?}",
        failures.len(),
        &failures[..failures.len().min(3)]
    );
    let executions = deployment.service.executions();
    let twice: Vec<_> = executions
        .iter()
        .filter(|(key, count)| key.starts_with("load-") && **count != 1)
        .collect();
    assert!(twice.is_empty(), "{twice:?}");
}
