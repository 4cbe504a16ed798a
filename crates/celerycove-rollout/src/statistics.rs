//! Running median of latencies, and the test that compares two rates of bad answers.

mod baseline;
mod comparison;

pub use baseline::Baseline;
pub use comparison::{Comparison, Count, Finding};
