//! Read-only commands.

use celerycove_config::ini_file;
use celerycove_program::request::Account;
use celerycove_sync::{Availability, directory::Entry};
use celerycove_wire::operator;
use serde::Serialize;
use serde_json::json;

use crate::{client::Client, exit::Failure, table::render};

fn print_json<T: Serialize>(value: &T) -> Result<(), Failure> {
    let text =
        serde_json::to_string_pretty(value).map_err(|error| Failure::Failed(error.to_string()))?;
    print_line!("{text}");
    Ok(())
}

pub(super) async fn config(client: &Client) -> Result<(), Failure> {
    let current = client.config().await?;
    if client.options.json {
        return print_json(&current.config);
    }
    print_line!(
        "; version {}\n{}",
        current.config.version,
        ini_file::render(&current.config)
    );
    Ok(())
}

pub(super) async fn list_keys(client: &Client) -> Result<(), Failure> {
    let config = client.config().await?.config;
    if client.options.json {
        let keys: Vec<_> = config
            .keys
            .iter()
            .map(|(id, key)| json!({"id": id, "organisation": key.organisation}))
            .collect();
        return print_json(&keys);
    }
    let rows: Vec<Vec<String>> = config
        .keys
        .iter()
        .map(|(id, key)| vec![id.to_string(), key.organisation.to_string()])
        .collect();
    print_line!("{}", render(&["KEY", "ORGANISATION"], &rows));
    Ok(())
}

fn process_state(entry: &Entry) -> &'static str {
    let failing = entry
        .announcement
        .backend
        .as_ref()
        .is_some_and(|b| b.failing);
    match (entry.gone, entry.announcement.availability) {
        (true, _) => "gone",
        (false, Availability::Leaving) => "leaving",
        (false, Availability::Serving) if failing => "failing",
        (false, Availability::Serving) => "serving",
    }
}

pub(super) async fn status(client: &Client) -> Result<(), Failure> {
    let status: operator::Status = client
        .request::<(), _>(operator::STATUS, None, true)
        .await?;
    if client.options.json {
        return print_json(&status);
    }
    print_line!(
        "version {}, leader {} in term {}, members {}",
        status.version,
        status.leader,
        status.term,
        status.members.join(", "),
    );
    print_line!(
        "shards: {} of {} served, {} learning\n",
        status.shards.served,
        status.shards.total,
        status.shards.learning
    );
    let data_centres: Vec<Vec<String>> = status
        .spread
        .iter()
        .map(|(data_centre, versions)| {
            vec![
                data_centre.to_string(),
                versions.processes.to_string(),
                versions.oldest.to_string(),
                versions.slowest.to_string(),
            ]
        })
        .collect();
    print_line!(
        "{}",
        render(
            &["DATA CENTRE", "PROCESSES", "OLDEST VERSION", "SLOWEST"],
            &data_centres
        )
    );
    let processes: Vec<Vec<String>> = status
        .processes
        .iter()
        .map(|entry| {
            let announcement = &entry.announcement;
            let backend = announcement.backend.as_ref();
            vec![
                announcement.process.to_string(),
                announcement.data_centre.to_string(),
                process_state(entry).to_owned(),
                backend.map_or_else(|| "-".to_owned(), |b| b.id.to_string()),
                announcement.address.to_string(),
            ]
        })
        .collect();
    print!(
        "{}",
        render(
            &["PROCESS", "DATA CENTRE", "STATE", "BACKEND", "ADDRESS"],
            &processes
        )
    );
    Ok(())
}

pub(super) async fn programs(client: &Client) -> Result<(), Failure> {
    let accounts: Vec<Account> = client
        .request::<(), _>(operator::PROGRAMS, None, true)
        .await?;
    if client.options.json {
        return print_json(&accounts);
    }
    let rows: Vec<Vec<String>> = accounts
        .iter()
        .map(|account| {
            let calls: u32 = account.calls.values().sum();
            vec![
                account.program.to_string(),
                account.organisation.to_string(),
                account
                    .budget
                    .map_or_else(|| "-".to_owned(), |budget| budget.to_string()),
                account.spent.to_string(),
                account.reserved.to_string(),
                calls.to_string(),
                if account.ended { "ended" } else { "open" }.to_owned(),
            ]
        })
        .collect();
    let heading = [
        "PROGRAM",
        "ORGANISATION",
        "BUDGET",
        "SPENT",
        "RESERVED",
        "CALLS",
        "STATE",
    ];
    print_line!("{}", render(&heading, &rows));
    Ok(())
}
