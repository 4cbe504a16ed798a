//! What all commands take.

use std::{net::SocketAddr, path::PathBuf};

use getopts::{Matches, Options as Flags};

use crate::exit::Failure;

/// Where control listens for operators unless said otherwise.
const SERVER: &str = "127.0.0.1:7400";
/// The file with the operator's credential unless said otherwise.
const CREDENTIAL: &str = "data/operators";

/// What all commands take.
#[derive(Debug, Clone)]
pub struct Options {
    /// Control instances.
    pub servers: Vec<SocketAddr>,
    /// The file with the operator's credential.
    pub credential: PathBuf,
    /// Whether to print JSON.
    pub json: bool,
    /// Names the change, so that it can be sent again.
    pub request: Option<String>,
    /// The version that the change is made for.
    pub if_version: Option<u64>,
}

/// The flags that all commands take.
#[must_use]
pub fn flags() -> Flags {
    let mut flags = Flags::new();
    let server = format!("control instances, comma separated (default {SERVER})");
    let credential = format!("file with the operator's credential (default {CREDENTIAL})");
    flags.optopt("s", "server", &server, "ADDRESS");
    flags.optopt("c", "credential-file", &credential, "FILE");
    flags.optflag("j", "json", "print JSON");
    flags.optopt(
        "",
        "request-id",
        "name the change, so that it can be sent again",
        "ID",
    );
    flags.optopt(
        "",
        "if-version",
        "make the change only to this version",
        "N",
    );
    flags.optflag("h", "help", "print this text");
    flags
}

/// Reads the options out of parsed flags.
///
/// # Errors
///
/// Returns a usage failure for a malformed value.
pub fn read(matches: &Matches) -> Result<Options, Failure> {
    let servers = matches
        .opt_str("server")
        .unwrap_or_else(|| SERVER.to_owned());
    let servers = servers
        .split(',')
        .map(|server| {
            let server = server.trim();
            server.parse().map_err(|_| {
                Failure::Usage(format!(
                    "--server: {server:?} is not an address with a port"
                ))
            })
        })
        .collect::<Result<Vec<_>, _>>()?;
    let if_version = matches
        .opt_str("if-version")
        .map(|text| {
            text.parse()
                .map_err(|_| Failure::Usage(format!("--if-version: {text:?} is not a number")))
        })
        .transpose()?;
    Ok(Options {
        servers,
        credential: matches
            .opt_str("credential-file")
            .unwrap_or_else(|| CREDENTIAL.to_owned())
            .into(),
        json: matches.opt_present("json"),
        request: matches.opt_str("request-id"),
        if_version,
    })
}
