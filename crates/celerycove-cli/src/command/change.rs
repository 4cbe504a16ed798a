//! Commands that change the configuration, engines or control membership, or validate a change.

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

use super::required_argument;
use crate::{client::Client, exit::Failure};

fn read_changes(path: &str) -> Result<Vec<Change>, Failure> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| Failure::Failed(format!("could not read {path}: {error}")))?;
    ini_file::parse(&text).map_err(|errors| {
        let errors: Vec<String> = errors
            .iter()
            .map(|error| format!("{path}: {error}"))
            .collect();
        Failure::Invalid(errors.join("\n"))
    })
}

pub(super) fn check(path: &str) -> Result<(), Failure> {
    let changes = read_changes(path)?;
    print_line!("{path}: no errors in {} sections", changes.len());
    Ok(())
}

async fn propose(client: &Client, changes: Vec<Change>) -> Result<(), Failure> {
    let version = client.propose(changes).await?;
    if client.options.json {
        print_line!("{}", json!({"version": version}));
    } else {
        print_line!("accepted as version {version}");
    }
    Ok(())
}

pub(super) async fn apply(client: &Client, matches: &Matches) -> Result<(), Failure> {
    propose(
        client,
        read_changes(required_argument(matches, 0, "FILE")?)?,
    )
    .await
}

pub(super) async fn diff(client: &Client, matches: &Matches) -> Result<(), Failure> {
    let changes = read_changes(required_argument(matches, 0, "FILE")?)?;
    let mut config = client.config().await?.config;
    let version = config.version;
    let mut summaries = Vec::new();
    for change in &changes {
        let before = config.clone();
        apply_change(&mut config, change).map_err(|error| Failure::Invalid(error.to_string()))?;
        if config != before {
            summaries.push(change.summary());
        }
    }
    if client.options.json {
        print_line!("{}", json!({"version": version, "changes": summaries}));
    } else if summaries.is_empty() {
        print_line!("version {version} already contains all changes");
    } else {
        print_line!(
            "changes to version {version}:\n  {}",
            summaries.join("\n  ")
        );
    }
    Ok(())
}

fn parse_subject(matches: &Matches) -> Result<Subject, Failure> {
    required_argument(matches, 0, "KIND/ID")?.parse().map_err(
        |error: celerycove_config::document::SubjectError| Failure::Usage(error.to_string()),
    )
}

pub(super) async fn label(client: &Client, matches: &Matches) -> Result<(), Failure> {
    let subject = parse_subject(matches)?;
    let mut labels = BTreeMap::new();
    for argument in matches.free.iter().skip(1) {
        let (key, value) = match (argument.split_once('='), argument.strip_suffix('-')) {
            (Some((key, value)), _) => (key, Some(value.to_owned())),
            (None, Some(key)) => (key, None),
            (None, None) => {
                return Err(Failure::Usage(format!(
                    "{argument:?} is neither KEY=VALUE nor KEY-"
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

fn parse_requirements(
    matches: &Matches,
    flag: &str,
) -> Result<celerycove_types::Requirements, Failure> {
    matches
        .opt_str(flag)
        .unwrap_or_default()
        .parse()
        .map_err(|error| Failure::Usage(format!("--{flag}: {error}")))
}

pub(super) async fn select(client: &Client, matches: &Matches) -> Result<(), Failure> {
    let name = required_argument(matches, 0, "NAME")?.to_owned();
    let selector = if matches.opt_present("remove") {
        None
    } else {
        Some(Selector {
            traffic: parse_requirements(matches, "traffic")?,
            target: parse_requirements(matches, "target")?,
            confine: matches.opt_present("confine"),
        })
    };
    propose(client, vec![Change::Select { name, selector }]).await
}

pub(super) async fn set_drained(
    client: &Client,
    matches: &Matches,
    drained: bool,
) -> Result<(), Failure> {
    let subject = parse_subject(matches)?;
    propose(client, vec![Change::Drain { subject, drained }]).await
}

fn parse_number<T: std::str::FromStr>(
    matches: &Matches,
    flag: &str,
    default: Option<T>,
) -> Result<T, Failure> {
    match matches.opt_str(flag) {
        Some(text) => text
            .parse()
            .map_err(|_| Failure::Usage(format!("--{flag}: {text:?} is not a number"))),
        None => default.ok_or_else(|| Failure::Usage(format!("--{flag} is missing"))),
    }
}

pub(super) async fn rate(client: &Client, matches: &Matches) -> Result<(), Failure> {
    let id: id::Organisation = required_argument(matches, 0, "ORGANISATION")?.into();
    let organisation = if matches.opt_present("remove") {
        None
    } else {
        Some(Organisation {
            rate: parse_number(matches, "rate", None)?,
            burst: parse_number(matches, "burst", None)?,
            weight: parse_number(matches, "weight", Some(1))?,
        })
    };
    propose(client, vec![Change::Organisation { id, organisation }]).await
}

pub(super) async fn issue_key(client: &Client, matches: &Matches) -> Result<(), Failure> {
    let organisation: id::Organisation = required_argument(matches, 0, "ORGANISATION")?.into();
    let key_id = hex::encode(rand::random::<[u8; 6]>());
    let secret = hex::encode(rand::random::<[u8; 24]>());
    let key = Key {
        organisation: organisation.clone(),
        digest: digest(&secret),
    };
    let id: id::Key = key_id.as_str().into();
    let version = client.propose(vec![Change::Issue { id, key }]).await?;
    let full_key = format_key(&key_id, &secret);
    if client.options.json {
        print_line!(
            "{}",
            json!({"id": key_id, "organisation": organisation, "key": full_key, "version": version})
        );
    } else {
        print_line!("{full_key}");
        eprintln!(
            "issued key {key_id} to {organisation} in version {version}; the secret is not shown again"
        );
    }
    Ok(())
}

pub(super) async fn withdraw_key(client: &Client, matches: &Matches) -> Result<(), Failure> {
    let id: id::Key = required_argument(matches, 0, "KEY-ID")?.into();
    propose(client, vec![Change::Withdraw { id }]).await
}

pub(super) async fn order(client: &Client, matches: &Matches) -> Result<(), Failure> {
    let argument = |index, name| required_argument(matches, index, name).map(ToOwned::to_owned);
    let order = match required_argument(matches, 1, "ORDER")? {
        "load" => Order::Load {
            model: argument(2, "MODEL")?,
            version: argument(3, "VERSION")?,
        },
        "adapter" => Order::Adapter {
            model: argument(2, "MODEL")?,
            adapter: argument(3, "NAME")?,
        },
        "role" => Order::Role {
            role: argument(2, "NAME")?,
        },
        other => return Err(Failure::Usage(format!("unknown order {other:?}"))),
    };
    let order = operator::Order {
        backend: required_argument(matches, 0, "BACKEND")?.into(),
        order,
    };
    let fence: u64 = client.request(operator::ORDER, Some(&order), false).await?;
    print_line!("executed with fencing token {fence}");
    Ok(())
}

pub(super) async fn change_membership(
    client: &Client,
    matches: &Matches,
    add: bool,
) -> Result<(), Failure> {
    let change = operator::MemberChange {
        process: required_argument(matches, 0, "PROCESS")?.into(),
        add,
    };
    client
        .request::<_, ()>(operator::MEMBER, Some(&change), true)
        .await?;
    print_line!(
        "{} {}",
        if add { "added" } else { "removed" },
        change.process
    );
    Ok(())
}
