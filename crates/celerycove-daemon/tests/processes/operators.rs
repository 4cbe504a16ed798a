//! Operators who race, and a control log whose leader dies.

use std::time::{Duration, Instant};

use celerycove_cli::Failure;
use celerycove_config::{Change, Organisation, Selector, Subject};
use celerycove_wire::operator;

use crate::{
    caller::chat,
    deployment::{Deployment, PATIENCE},
};

fn rate(organisation: &str, rate: f64) -> Change {
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
async fn changes_survive_races_resends_and_the_death_of_leaders() {
    let mut deployment = Deployment::start().await;
    let version = deployment
        .client()
        .config()
        .await
        .expect("a configuration")
        .config
        .version;
    one_of_two_wins(&deployment, version).await;
    let mut expected = version + 1;
    for round in 0..3_u32 {
        let status: operator::Status = deployment
            .client()
            .ask::<(), _>(operator::STATUS, None, true)
            .await
            .expect("a status");
        let leader = status.leader.to_string();
        deployment.kill(&leader);
        // The change is sent again under its name until it is answered, and made once.
        let mut client = deployment.client();
        client.options.request = Some(format!("round-{round}"));
        let change = vec![rate("martin", f64::from(round) + 1.0)];
        let made = loop {
            match client.propose(change.clone()).await {
                Ok(version) => break version,
                Err(Failure::Unknown(_) | Failure::Failed(_)) => {}
                Err(other) => panic!("{other}"),
            }
        };
        let again = client.propose(change).await.expect("the same outcome");
        expected += 1;
        assert_eq!((made, again), (expected, expected));
        deployment.launch(&leader, false);
        deployment.wait_ready(&leader).await;
    }
    let config = deployment
        .client()
        .config()
        .await
        .expect("a configuration")
        .config;
    assert_eq!(config.version, expected);
    assert!((config.organisations["martin"].rate - 3.0).abs() < f64::EPSILON);
}

/// Two operators guard the same version: one is accepted, the other is told who was first.
async fn one_of_two_wins(deployment: &Deployment, version: u64) {
    let mut clients = [deployment.client(), deployment.client()];
    for client in &mut clients {
        client.options.if_version = Some(version);
    }
    let [a, b] = &clients;
    let (a, b) = tokio::join!(
        a.propose(vec![rate("martin", 5.0)]),
        b.propose(vec![rate("martin", 6.0)])
    );
    let accepted = [&a, &b].iter().filter(|outcome| outcome.is_ok()).count();
    assert_eq!(accepted, 1, "{a:?} {b:?}");
    let lost = if a.is_ok() { b } else { a };
    match lost {
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
async fn selectors_and_drains_steer_live_traffic() {
    let deployment = Deployment::start().await;
    let entry = deployment.entries["entry-0"];
    let key = deployment.key.clone();
    deployment.change(rate("martin", 1000.0)).await;
    let martin = deployment.issue("m1", "martin").await;
    deployment
        .change(Change::Select {
            name: "canary".to_owned(),
            selector: Some(Selector {
                traffic: "organisation=martin".parse().expect("requirements"),
                target: "version=3".parse().expect("requirements"),
                confine: true,
            }),
        })
        .await;
    settles(&deployment, entry, &martin, &["engine-2"]).await;
    settles(&deployment, entry, &key, &["engine-0", "engine-1"]).await;
    let middle = Subject::DataCentre("middle".into());
    let drain = |drained| Change::Drain {
        subject: middle.clone(),
        drained,
    };
    deployment.change(drain(true)).await;
    settles(&deployment, entry, &key, &["engine-0"]).await;
    deployment.change(drain(false)).await;
    settles(&deployment, entry, &key, &["engine-0", "engine-1"]).await;
}

/// Waits until twenty calls in a row are served, by these backend servers and by each of them.
async fn settles(
    deployment: &Deployment,
    entry: std::net::SocketAddr,
    key: &str,
    allowed: &[&str],
) {
    let began = Instant::now();
    loop {
        let calls = (0..20).map(|_| chat(entry, key, &[], "drafter", "hi"));
        let mut seen = Vec::new();
        for answer in futures_util::future::join_all(calls).await {
            let backend = answer.and_then(|a| a.headers.get("celerycove-backend").cloned());
            seen.push(backend.unwrap_or_default());
        }
        let only = seen
            .iter()
            .all(|backend| allowed.contains(&backend.as_str()));
        let each = allowed
            .iter()
            .all(|backend| seen.iter().any(|seen| seen == backend));
        if only && each {
            return;
        }
        assert!(
            began.elapsed() < PATIENCE,
            "wanted {allowed:?}, saw {seen:?}\n{}",
            deployment.logs().len()
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
