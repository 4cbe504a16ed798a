//! Definitions and dispatch of the commands.

mod change;
mod query;

use getopts::Matches;

use crate::{client::Client, exit::Failure, options};

/// A command as it appears in `--help`.
struct Command {
    name: &'static str,
    arguments: &'static str,
    help: &'static str,
}

const COMMANDS: [Command; 17] = [
    Command {
        name: "apply",
        arguments: "FILE",
        help: "propose all changes in a file",
    },
    Command {
        name: "check",
        arguments: "FILE",
        help: "validate a file without contacting a control instance",
    },
    Command {
        name: "diff",
        arguments: "FILE",
        help: "show what apply would change",
    },
    Command {
        name: "get",
        arguments: "",
        help: "print the configuration in force, in the format that apply reads",
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
        help: "stop sending new work to a backend server or data centre",
    },
    Command {
        name: "restore",
        arguments: "KIND/ID",
        help: "resume sending work to a backend server or data centre",
    },
    Command {
        name: "rate",
        arguments: "ORGANISATION --rate N --burst N [--weight N] | ORGANISATION --remove",
        help: "set or remove the rate limit of an organisation",
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
        help: "show the control leader, shards, processes and the configuration version per data centre",
    },
    Command {
        name: "programs",
        arguments: "",
        help: "list programs with their budgets and spent tokens",
    },
    Command {
        name: "order",
        arguments: "BACKEND load MODEL VERSION | BACKEND adapter MODEL NAME | BACKEND role NAME",
        help: "send an order to an engine",
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

/// Returns the text of `--help`.
#[must_use]
pub fn usage() -> String {
    let mut text = String::from("Usage: celerycove COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands:\n");
    for command in &COMMANDS {
        let synopsis = format!("{} {}", command.name, command.arguments);
        text.extend(["  ", synopsis.trim_end(), "\n      ", command.help, "\n"]);
    }
    text.push_str("\nExit codes: 0 success, 1 failure, 2 invalid usage, 3 conflict, 4 invalid change, 5 outcome unknown.\n");
    text.push_str(&options::common_flags().usage("Options of all commands:"));
    text
}

fn find_command(arguments: &[String]) -> Option<(&'static Command, usize)> {
    COMMANDS.iter().find_map(|command| {
        let words: Vec<&str> = command.name.split(' ').collect();
        let leading = arguments.iter().take(words.len()).map(String::as_str);
        leading
            .eq(words.iter().copied())
            .then_some((command, words.len()))
    })
}

/// Parses the command line and runs the command that it names.
///
/// # Errors
///
/// Returns the failure of the command, which determines the exit code.
pub async fn run(arguments: &[String]) -> Result<(), Failure> {
    let help_requested = arguments.iter().any(|a| a == "--help" || a == "-h");
    let Some((command, word_count)) = find_command(arguments) else {
        if help_requested || arguments.is_empty() {
            print_line!("{}", usage());
            return Ok(());
        }
        return Err(Failure::Usage(format!(
            "unknown command {:?}",
            arguments[0]
        )));
    };
    let mut flags = options::common_flags();
    flags.optopt(
        "",
        "traffic",
        "traffic that the selector applies to (select)",
        "REQ",
    );
    flags.optopt(
        "",
        "target",
        "targets reserved for that traffic (select)",
        "REQ",
    );
    flags.optflag(
        "",
        "confine",
        "never send the traffic to other targets (select)",
    );
    flags.optflag("", "remove", "remove instead of setting (select, rate)");
    flags.optopt("", "rate", "requests per second (rate)", "N");
    flags.optopt("", "burst", "largest burst, in requests (rate)", "N");
    flags.optopt(
        "",
        "weight",
        "relative share of contended backend servers (rate)",
        "N",
    );
    if help_requested {
        let synopsis = format!(
            "Usage: celerycove {} {}\n\n{}",
            command.name, command.arguments, command.help
        );
        print_line!("{}", flags.usage(&synopsis));
        return Ok(());
    }
    let matches = flags
        .parse(&arguments[word_count..])
        .map_err(|error| Failure::Usage(error.to_string()))?;
    let options = options::from_matches(&matches)?;
    if command.name == "check" {
        return change::check(required_argument(&matches, 0, "FILE")?);
    }
    let client = Client::new(options)?;
    dispatch(command.name, &client, &matches).await
}

async fn dispatch(name: &str, client: &Client, matches: &Matches) -> Result<(), Failure> {
    match name {
        "apply" => change::apply(client, matches).await,
        "diff" => change::diff(client, matches).await,
        "label" => change::label(client, matches).await,
        "select" => change::select(client, matches).await,
        "drain" => change::set_drained(client, matches, true).await,
        "restore" => change::set_drained(client, matches, false).await,
        "rate" => change::rate(client, matches).await,
        "key issue" => change::issue_key(client, matches).await,
        "key withdraw" => change::withdraw_key(client, matches).await,
        "order" => change::order(client, matches).await,
        "member add" => change::change_membership(client, matches, true).await,
        "member remove" => change::change_membership(client, matches, false).await,
        "key list" => query::list_keys(client).await,
        "get" => query::config(client).await,
        "status" => query::status(client).await,
        _ => query::programs(client).await,
    }
}

fn required_argument<'a>(
    matches: &'a Matches,
    index: usize,
    name: &str,
) -> Result<&'a str, Failure> {
    matches
        .free
        .get(index)
        .map(String::as_str)
        .ok_or_else(|| Failure::Usage(format!("{name} is missing")))
}
