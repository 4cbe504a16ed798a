//! The commands.

mod change;
mod look;

use getopts::Matches;

use crate::{client::Client, exit::Failure, options};

/// A command: its name, its arguments and what it does.
struct Command {
    name: &'static str,
    arguments: &'static str,
    help: &'static str,
}

const COMMANDS: [Command; 17] = [
    Command {
        name: "apply",
        arguments: "FILE",
        help: "propose all that a file says",
    },
    Command {
        name: "check",
        arguments: "FILE",
        help: "look for faults in a file, without asking anybody",
    },
    Command {
        name: "diff",
        arguments: "FILE",
        help: "show what apply would change",
    },
    Command {
        name: "get",
        arguments: "",
        help: "print the configuration in force, as apply reads it",
    },
    Command {
        name: "label",
        arguments: "KIND/ID KEY=VALUE|KEY- ...",
        help: "set or remove labels",
    },
    Command {
        name: "select",
        arguments: "NAME --traffic REQ --target REQ [--confine] | NAME --remove",
        help: "set or remove a selector",
    },
    Command {
        name: "drain",
        arguments: "KIND/ID",
        help: "give a backend server or data centre no new work",
    },
    Command {
        name: "restore",
        arguments: "KIND/ID",
        help: "give it work again",
    },
    Command {
        name: "rate",
        arguments: "ORGANISATION --rate N --burst N [--weight N] | ORGANISATION --remove",
        help: "set or remove an organisation",
    },
    Command {
        name: "key issue",
        arguments: "ORGANISATION",
        help: "issue a key and show its secret once",
    },
    Command {
        name: "key withdraw",
        arguments: "KEY-ID",
        help: "withdraw a key",
    },
    Command {
        name: "key list",
        arguments: "",
        help: "list keys without their secrets",
    },
    Command {
        name: "status",
        arguments: "",
        help: "show where the configuration is in force and what is warm, cold or leaving",
    },
    Command {
        name: "programs",
        arguments: "",
        help: "list programs and what they have spent",
    },
    Command {
        name: "order",
        arguments: "BACKEND load MODEL VERSION | BACKEND adapter MODEL NAME | BACKEND role NAME",
        help: "give an order to an engine",
    },
    Command {
        name: "member add",
        arguments: "PROCESS",
        help: "add a control instance",
    },
    Command {
        name: "member remove",
        arguments: "PROCESS",
        help: "remove a control instance",
    },
];

/// The text of `--help`.
#[must_use]
pub fn usage() -> String {
    let mut text = String::from("Usage: celerycove COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands:\n");
    for command in &COMMANDS {
        let head = format!("{} {}", command.name, command.arguments);
        text.extend(["  ", head.trim_end(), "\n      ", command.help, "\n"]);
    }
    text.push_str("\nExit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict, 4 not valid, 5 outcome not known.\n");
    text.push_str(&options::flags().usage("Options of every command:"));
    text
}

fn find(arguments: &[String]) -> Option<(&'static Command, usize)> {
    COMMANDS.iter().find_map(|command| {
        let words: Vec<&str> = command.name.split(' ').collect();
        let given = arguments.iter().take(words.len()).map(String::as_str);
        given
            .eq(words.iter().copied())
            .then_some((command, words.len()))
    })
}

/// Runs the command that the arguments name.
///
/// # Errors
///
/// Returns why it failed; its exit code says so too.
pub async fn run(arguments: &[String]) -> Result<(), Failure> {
    let plain_help = arguments.iter().any(|a| a == "--help" || a == "-h");
    let Some((command, words)) = find(arguments) else {
        if plain_help || arguments.is_empty() {
            say!("{}", usage());
            return Ok(());
        }
        return Err(Failure::Usage(format!(
            "unknown command {:?}",
            arguments[0]
        )));
    };
    let mut flags = options::flags();
    flags.optopt(
        "",
        "traffic",
        "which traffic a selector speaks of (select)",
        "REQ",
    );
    flags.optopt("", "target", "which targets it speaks of (select)", "REQ");
    flags.optflag(
        "",
        "confine",
        "keep the traffic away from other targets (select)",
    );
    flags.optflag("", "remove", "remove instead of setting (select, rate)");
    flags.optopt("", "rate", "requests a second (rate)", "N");
    flags.optopt("", "burst", "requests at once (rate)", "N");
    flags.optopt("", "weight", "share of busy backend servers (rate)", "N");
    if plain_help {
        let brief = format!(
            "Usage: celerycove {} {}\n\n{}",
            command.name, command.arguments, command.help
        );
        say!("{}", flags.usage(&brief));
        return Ok(());
    }
    let matches = flags
        .parse(&arguments[words..])
        .map_err(|error| Failure::Usage(error.to_string()))?;
    let common = options::read(&matches)?;
    if command.name == "check" {
        return change::check(argument(&matches, 0, "FILE")?);
    }
    let client = Client::new(common)?;
    dispatch(command.name, &client, &matches).await
}

async fn dispatch(name: &str, client: &Client, matches: &Matches) -> Result<(), Failure> {
    match name {
        "apply" => change::apply(client, matches).await,
        "diff" => change::diff(client, matches).await,
        "label" => change::label(client, matches).await,
        "select" => change::select(client, matches).await,
        "drain" => change::drain(client, matches, true).await,
        "restore" => change::drain(client, matches, false).await,
        "rate" => change::rate(client, matches).await,
        "key issue" => change::issue(client, matches).await,
        "key withdraw" => change::withdraw(client, matches).await,
        "order" => change::order(client, matches).await,
        "member add" => change::member(client, matches, true).await,
        "member remove" => change::member(client, matches, false).await,
        "key list" => look::keys(client).await,
        "get" => look::get(client).await,
        "status" => look::status(client).await,
        _ => look::programs(client).await,
    }
}

fn argument<'a>(matches: &'a Matches, at: usize, name: &str) -> Result<&'a str, Failure> {
    matches
        .free
        .get(at)
        .map(String::as_str)
        .ok_or_else(|| Failure::Usage(format!("{name} is missing")))
}
