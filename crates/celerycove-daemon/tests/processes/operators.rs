//! Concurrent operators, and control leaders that are killed.

use std::time::{Duration, Instant};

use celerycove_cli::Failure;
use celerycove_config::{Change, Organisation, Selector, Subject};
use celerycove_wire::operator;

use crate::{
    caller::chat,
    deployment::{Deployment, TIMEOUT},
};

fn set_rate(organisation: &str, rate: f64) -> Change {
    Change::Organisation {
        id: organisation.into(),
        organisation: Some(Organisation {
            rate,
            burst: 10,
            weight: 1,
        }),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_apply_once_despite_races_resends_and_killed_leaders() {
    let mut deployment = Deployment::start().await;
    let version = deployment
        .client()
        .config()
        .await
        .expect("configuration")
        .config
        .version;
    one_of_two_concurrent_changes_wins(&deployment, version).await;
    let mut expected = version + 1;
    for round in 0..3_u32 {
        let status: operator::Status = deployment
            .client()
            .request::<(), _>(operator::STATUS, None, true)
            .await
            .expect("status");
        let leader = status.leader.to_string();
        deployment.kill(&leader);
        // The change is resent with the same request id until it is answered. It must be applied
        // only once.
        let mut client = deployment.client();
        client.options.request_id = Some(format!("round-{round}"));
        let change = vec![set_rate("martin", f64::from(round) + 1.0)];
        let first_version = loop {
            match client.propose(change.clone()).await {
                Ok(version) => break version,
                Err(Failure::Unknown(_) | Failure::Failed(_)) => {}
                Err(other) => panic!("{other}"),
            }
        };
        let resent_version = client.propose(change).await.expect("same outcome");
        expected += 1;
        assert_eq!((first_version, resent_version), (expected, expected));
        deployment.launch(&leader, false);
        deployment.wait_ready(&leader).await;
    }
    let config = deployment
        .client()
        .config()
        .await
        .expect("configuration")
        .config;
    assert_eq!(config.version, expected);
    assert!((config.organisations["martin"].rate - 3.0).abs() < f64::EPSILON);
}

/// Of two concurrent changes to the same version, one is accepted, and the other is rejected with a
/// conflict that names the accepted one.
async fn one_of_two_concurrent_changes_wins(deployment: &Deployment, version: u64) {
    let mut clients = [deployment.client(), deployment.client()];
    for client in &mut clients {
        client.options.if_version = Some(version);
    }
    let [a, b] = &clients;
    let (a, b) = tokio::join!(
        a.propose(vec![set_rate("martin", 5.0)]),
        b.propose(vec![set_rate("martin", 6.0)])
    );
    let accepted = [&a, &b].iter().filter(|outcome| outcome.is_ok()).count();
    assert_eq!(accepted, 1, "{a:?} {b:?}");
    let rejected = if a.is_ok() { b } else { a };
    match rejected {
        Err(Failure::Conflict {
            operator, summary, ..
        }) => {
            assert_eq!(operator, "admin");
            assert!(summary.contains("martin"), "{summary}");
        }
        other => panic!("{other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn selectors_and_drains_redirect_running_traffic() {
    let deployment = Deployment::start().await;
    let entry = deployment.entries["entry-0"];
    let key = deployment.key.clone();
    deployment.propose_change(set_rate("martin", 1000.0)).await;
    let martin = deployment.issue_key("m1", "martin").await;
    deployment
        .propose_change(Change::Select {
            name: "canary".to_owned(),
            selector: Some(Selector {
                traffic: "organisation=martin".parse().expect("requirements"),
                target: "version=3".parse().expect("requirements"),
                confine: true,
            }),
        })
        .await;
    wait_until_served_by(&deployment, entry, &martin, &["engine-2"]).await;
    wait_until_served_by(&deployment, entry, &key, &["engine-0", "engine-1"]).await;
    let middle = Subject::DataCentre("middle".into());
    let drain = |drained| Change::Drain {
        subject: middle.clone(),
        drained,
    };
    deployment.propose_change(drain(true)).await;
    wait_until_served_by(&deployment, entry, &key, &["engine-0"]).await;
    deployment.propose_change(drain(false)).await;
    wait_until_served_by(&deployment, entry, &key, &["engine-0", "engine-1"]).await;
}

/// Waits until 20 concurrent calls are served by the given backend servers only, and each of these
/// serves at least one.
async fn wait_until_served_by(
    deployment: &Deployment,
    entry: std::net::SocketAddr,
    key: &str,
    allowed: &[&str],
) {
    let started_at = Instant::now();
    loop {
        let calls = (0..20).map(|_| chat(entry, key, &[], "drafter", "hi"));
        let mut served_by = Vec::new();
        for response in futures_util::future::join_all(calls).await {
            let backend = response.and_then(|a| a.headers.get("celerycove-backend").cloned());
            served_by.push(backend.unwrap_or_default());
        }
        let only_allowed = served_by
            .iter()
            .all(|backend| allowed.contains(&backend.as_str()));
        let all_used = allowed
            .iter()
            .all(|backend| served_by.iter().any(|used| used == backend));
        if only_allowed && all_used {
            return;
        }
        assert!(
            started_at.elapsed() < TIMEOUT,
            "wanted {allowed:?}, saw {served_by:?}\n{}",
            deployment.logs().len()
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a control instance that stays away for good after one failed write.
#[tokio::test(flavor = "multi_thread")]
async fn control_instances_whose_disks_failed_take_part_again() {
    let mut deployment = Deployment::start().await;
    let status: operator::Status = deployment
        .client()
        .request::<(), _>(operator::STATUS, None, true)
        .await
        .expect("status");
    let leader = status.leader.to_string();
    let names = deployment.names();
    let others = names
        .iter()
        .filter(|name| name.starts_with("control-") && **name != leader);
    // The votes of the next election can't be saved.
    for name in others.clone() {
        deployment.block_votes(name);
    }
    deployment.kill(&leader);
    tokio::time::sleep(Duration::from_secs(4)).await;
    for name in others {
        deployment.unblock_votes(name);
    }
    let mut client = deployment.client();
    client.options.request_id = Some("after the disks".to_owned());
    let accepted = async { while client.propose(vec![set_rate("martin", 5.0)]).await.is_err() {} };
    let accepted = tokio::time::timeout(TIMEOUT, accepted).await;
    accepted.expect("two of three instances run");
}
