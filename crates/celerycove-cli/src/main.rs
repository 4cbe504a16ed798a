//! Pending.
fn main() {}
