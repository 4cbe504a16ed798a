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
    caller::{Response, chat, pay},
    deployment::Deployment,
};

/// Simulates the platform's load balancer, which sends requests only to entries that are ready.
#[derive(Clone)]
struct Balancer {
    entries: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Balancer {
    fn pick(&self, number: u32) -> SocketAddr {
        let entries = self.entries.lock().expect("lock");
        entries[number as usize % entries.len()]
    }
}

/// Sends requests until `stop` is set and returns a description of each failed one.
async fn send_load(
    balancer: Balancer,
    key: String,
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU32>,
) -> Vec<String> {
    let mut failures = Vec::new();
    while !stop.load(Relaxed) {
        let number = sent.fetch_add(1, Relaxed);
        let entry = balancer.pick(number);
        let response: Option<Response> = if number.is_multiple_of(4) {
            pay(entry, &key, &format!("load-{number}")).await
        } else {
            chat(entry, &key, &[], "drafter", "hi").await
        };
        match response {
            Some(response) if response.status == 200 => {}
            other => failures.push(format!("{number} through {entry}: {other:?}")),
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
    let senders: Vec<_> = (0..4)
        .map(|_| {
            tokio::spawn(send_load(
                balancer.clone(),
                deployment.key.clone(),
                stop.clone(),
                sent.clone(),
            ))
        })
        .collect();
    // Only one backend server serves the payment route, so its process can't be restarted without
    // an outage.
    let names: Vec<String> = deployment
        .names()
        .into_iter()
        .filter(|name| name != "beside-orders")
        .collect();
    for name in names {
        if let Some(entry) = deployment.entries.get(&name) {
            let others: Vec<SocketAddr> =
                all.iter().copied().filter(|other| other != entry).collect();
            *balancer.entries.lock().expect("lock") = others;
        }
        let code = deployment.terminate(&name).await;
        assert_eq!(code, Some(0), "{name}");
        deployment.launch(&name, false);
        deployment.wait_ready(&name).await;
        balancer.entries.lock().expect("lock").clone_from(&all);
    }
    stop.store(true, Relaxed);
    let mut failures = Vec::new();
    for sender in senders {
        failures.extend(sender.await.expect("task"));
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
    let not_once: Vec<_> = executions
        .iter()
        .filter(|(key, count)| key.starts_with("load-") && **count != 1)
        .collect();
    assert!(not_once.is_empty(), "{not_once:?}");
}
