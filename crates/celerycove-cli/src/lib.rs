//! The command line for operators.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

/// Prints a line; a reader that has gone, such as `head`, is no reason to fail.
macro_rules! say {
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
