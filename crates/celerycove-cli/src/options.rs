//! Options that all commands accept.

use std::{net::SocketAddr, path::PathBuf};

use getopts::{Matches, Options as Flags};

use crate::exit::Failure;

/// Address of the control instance if `--server` is not given.
const DEFAULT_SERVER: &str = "127.0.0.1:7400";
/// Default path of the file with the operator's credential.
const DEFAULT_CREDENTIAL_FILE: &str = "data/operators";

/// Values of the options that all commands accept.
#[derive(Debug, Clone)]
pub struct Options {
    /// Addresses of control instances, tried in this order.
    pub servers: Vec<SocketAddr>,
    /// The file with the operator's credential.
    pub credential_file: PathBuf,
    /// Whether to print JSON instead of text.
    pub json: bool,
    /// Request id of the change; a retry under the same id does not make the change twice.
    pub request_id: Option<String>,
    /// The version that must be in force for the change to be made.
    pub if_version: Option<u64>,
}

/// Defines the flags that all commands accept.
#[must_use]
pub fn common_flags() -> Flags {
    let mut flags = Flags::new();
    let server = format!("control instances, comma separated (default {DEFAULT_SERVER})");
    let credential =
        format!("file with the operator's credential (default {DEFAULT_CREDENTIAL_FILE})");
    flags.optopt("s", "server", &server, "ADDRESS");
    flags.optopt("c", "credential-file", &credential, "FILE");
    flags.optflag("j", "json", "print JSON");
    flags.optopt(
        "",
        "request-id",
        "id of the change, which makes it safe to retry",
        "ID",
    );
    flags.optopt(
        "",
        "if-version",
        "make the change only if this version is in force",
        "N",
    );
    flags.optflag("h", "help", "print this help");
    flags
}

/// Converts parsed flags into options.
///
/// # Errors
///
/// Returns [`Failure::Usage`] for a malformed value.
pub fn from_matches(matches: &Matches) -> Result<Options, Failure> {
    let servers = matches
        .opt_str("server")
        .unwrap_or_else(|| DEFAULT_SERVER.to_owned());
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
        credential_file: matches
            .opt_str("credential-file")
            .unwrap_or_else(|| DEFAULT_CREDENTIAL_FILE.to_owned())
            .into(),
        json: matches.opt_present("json"),
        request_id: matches.opt_str("request-id"),
        if_version,
    })
}
