//! Commands that change something.

use std::collections::BTreeMap;

use celerycove_config::{
    Change, Organisation, Selector, Subject,
    apply::apply as apply_change,
    document::Key,
    ini_file,
    secret::{digest, format_key},
};
use celerycove_types::{id, order::Order};
use celerycove_wire::operator;
use getopts::Matches;
use serde_json::json;

use super::argument;
use crate::{client::Client, exit::Failure};

fn read(path: &str) -> Result<Vec<Change>, Failure> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| Failure::Failed(format!("could not read {path}: {error}")))?;
    ini_file::parse(&text).map_err(|faults| {
        let faults: Vec<String> = faults
            .iter()
            .map(|fault| format!("{path}: {fault}"))
            .collect();
        Failure::Invalid(faults.join("\n"))
    })
}

pub(super) fn check(path: &str) -> Result<(), Failure> {
    let changes = read(path)?;
    say!("{path}: no faults in {} sections", changes.len());
    Ok(())
}

async fn propose(client: &Client, changes: Vec<Change>) -> Result<(), Failure> {
    let version = client.propose(changes).await?;
    if client.options.json {
        say!("{}", json!({"version": version}));
    } else {
        say!("accepted as version {version}");
    }
    Ok(())
}

pub(super) async fn apply(client: &Client, matches: &Matches) -> Result<(), Failure> {
    propose(client, read(argument(matches, 0, "FILE")?)?).await
}

pub(super) async fn diff(client: &Client, matches: &Matches) -> Result<(), Failure> {
    let changes = read(argument(matches, 0, "FILE")?)?;
    let mut config = client.config().await?.config;
    let version = config.version;
    let mut lines = Vec::new();
    for change in &changes {
        let before = config.clone();
        apply_change(&mut config, change).map_err(|error| Failure::Invalid(error.to_string()))?;
        if config != before {
            lines.push(change.summary());
        }
    }
    if client.options.json {
        say!("{}", json!({"version": version, "changes": lines}));
    } else if lines.is_empty() {
        say!("version {version} has all of it");
    } else {
        say!("against version {version}:\n  {}", lines.join("\n  "));
    }
    Ok(())
}

fn subject(matches: &Matches) -> Result<Subject, Failure> {
    argument(matches, 0, "KIND/ID")?.parse().map_err(
        |error: celerycove_config::document::SubjectError| Failure::Usage(error.to_string()),
    )
}

pub(super) async fn label(client: &Client, matches: &Matches) -> Result<(), Failure> {
    let subject = subject(matches)?;
    let mut labels = BTreeMap::new();
    for word in matches.free.iter().skip(1) {
        let (key, value) = match (word.split_once('='), word.strip_suffix('-')) {
            (Some((key, value)), _) => (key, Some(value.to_owned())),
            (None, Some(key)) => (key, None),
            (None, None) => {
                return Err(Failure::Usage(format!(
                    "{word:?} is neither KEY=VALUE nor KEY-"
                )));
            }
        };
        labels.insert(key.to_owned(), value);
    }
    if labels.is_empty() {
        return Err(Failure::Usage("KEY=VALUE is missing".to_owned()));
    }
    propose(client, vec![Change::Label { subject, labels }]).await
}

fn requirements(matches: &Matches, flag: &str) -> Result<celerycove_types::Requirements, Failure> {
    matches
        .opt_str(flag)
        .unwrap_or_default()
        .parse()
        .map_err(|error| Failure::Usage(format!("--{flag}: {error}")))
}

pub(super) async fn select(client: &Client, matches: &Matches) -> Result<(), Failure> {
    let name = argument(matches, 0, "NAME")?.to_owned();
    let selector = if matches.opt_present("remove") {
        None
    } else {
        Some(Selector {
            traffic: requirements(matches, "traffic")?,
            target: requirements(matches, "target")?,
            confine: matches.opt_present("confine"),
        })
    };
    propose(client, vec![Change::Select { name, selector }]).await
}

pub(super) async fn drain(
    client: &Client,
    matches: &Matches,
    drained: bool,
) -> Result<(), Failure> {
    let subject = subject(matches)?;
    propose(client, vec![Change::Drain { subject, drained }]).await
}

fn number<T: std::str::FromStr>(
    matches: &Matches,
    flag: &str,
    standard: Option<T>,
) -> Result<T, Failure> {
    match matches.opt_str(flag) {
        Some(text) => text
            .parse()
            .map_err(|_| Failure::Usage(format!("--{flag}: {text:?} is not a number"))),
        None => standard.ok_or_else(|| Failure::Usage(format!("--{flag} is missing"))),
    }
}

pub(super) async fn rate(client: &Client, matches: &Matches) -> Result<(), Failure> {
    let id: id::Organisation = argument(matches, 0, "ORGANISATION")?.into();
    let organisation = if matches.opt_present("remove") {
        None
    } else {
        Some(Organisation {
            rate: number(matches, "rate", None)?,
            burst: number(matches, "burst", None)?,
            weight: number(matches, "weight", Some(1))?,
        })
    };
    propose(client, vec![Change::Organisation { id, organisation }]).await
}

pub(super) async fn issue(client: &Client, matches: &Matches) -> Result<(), Failure> {
    let organisation: id::Organisation = argument(matches, 0, "ORGANISATION")?.into();
    let public = hex::encode(rand::random::<[u8; 6]>());
    let secret = hex::encode(rand::random::<[u8; 24]>());
    let key = Key {
        organisation: organisation.clone(),
        digest: digest(&secret),
    };
    let id: id::Key = public.as_str().into();
    let version = client.propose(vec![Change::Issue { id, key }]).await?;
    let presented = format_key(&public, &secret);
    if client.options.json {
        say!(
            "{}",
            json!({"id": public, "organisation": organisation, "key": presented, "version": version})
        );
    } else {
        say!("{presented}");
        eprintln!(
            "key {public} of {organisation}, in version {version}; the secret is shown only now"
        );
    }
    Ok(())
}

pub(super) async fn withdraw(client: &Client, matches: &Matches) -> Result<(), Failure> {
    let id: id::Key = argument(matches, 0, "KEY-ID")?.into();
    propose(client, vec![Change::Withdraw { id }]).await
}

pub(super) async fn order(client: &Client, matches: &Matches) -> Result<(), Failure> {
    let text = |at, name| argument(matches, at, name).map(ToOwned::to_owned);
    let order = match argument(matches, 1, "ORDER")? {
        "load" => Order::Load {
            model: text(2, "MODEL")?,
            version: text(3, "VERSION")?,
        },
        "adapter" => Order::Adapter {
            model: text(2, "MODEL")?,
            adapter: text(3, "NAME")?,
        },
        "role" => Order::Role {
            role: text(2, "NAME")?,
        },
        other => return Err(Failure::Usage(format!("unknown order {other:?}"))),
    };
    let order = operator::Order {
        backend: argument(matches, 0, "BACKEND")?.into(),
        order,
    };
    let fence: u64 = client.ask(operator::ORDER, Some(&order), false).await?;
    say!("carried out with fencing number {fence}");
    Ok(())
}

pub(super) async fn member(client: &Client, matches: &Matches, add: bool) -> Result<(), Failure> {
    let change = operator::MemberChange {
        process: argument(matches, 0, "PROCESS")?.into(),
        add,
    };
    client
        .ask::<_, ()>(operator::MEMBER, Some(&change), true)
        .await?;
    say!(
        "{} {}",
        if add { "added" } else { "removed" },
        change.process
    );
    Ok(())
}
