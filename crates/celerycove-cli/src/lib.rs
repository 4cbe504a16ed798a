//! Command-line client with which operators inspect and change a deployment.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

/// Prints a line to standard output and ignores write errors: a closed pipe, such as that of
/// `head`, must not fail the command.
macro_rules! print_line {
    ($($argument:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stdout(), $($argument)*);
    }};
}

pub mod client;
pub mod command;
pub mod exit;
pub mod options;
pub mod table;

pub use client::Client;
pub use exit::Failure;
