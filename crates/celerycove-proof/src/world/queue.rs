//! Pending.
use celerycove_types::Violation;
/// Runs.
///
/// # Errors
///
/// None.
pub fn run(_seed: u64, _steps: usize, _step: &mut usize) -> Result<u64, Violation> {
    Ok(0)
}
