//! Selection of the relays that a process pulls from.

use celerycove_control::placement::stable_hash;
use celerycove_types::id;

use crate::{announce::Availability, directory::Directory};

/// The number of relays in each data centre.
pub const RELAYS_PER_DATA_CENTRE: usize = 2;

/// Returns the relays of a data centre: of the processes that can relay, those with the highest
/// hashes.
#[must_use]
pub fn relays(directory: &Directory, data_centre: &id::DataCentre) -> Vec<id::Process> {
    let mut candidates: Vec<(u64, &id::Process)> = directory
        .live()
        .filter(|a| {
            a.relay && a.availability == Availability::Serving && a.data_centre == *data_centre
        })
        .map(|a| (stable_hash(&a.process), &a.process))
        .collect();
    candidates.sort_unstable_by(|a, b| b.cmp(a));
    candidates
        .into_iter()
        .take(RELAYS_PER_DATA_CENTRE)
        .map(|(_, process)| process.clone())
        .collect()
}

/// Returns the relays that `process` pulls from, in order of preference.
///
/// The result is empty if `process` is a relay itself or its data centre has none; it then pulls
/// from the control instances. The order is that of rendezvous hashing, which spreads the processes
/// over the relays.
#[must_use]
pub fn upstream(
    directory: &Directory,
    process: &id::Process,
    data_centre: &id::DataCentre,
) -> Vec<id::Process> {
    let mut relays = relays(directory, data_centre);
    if relays.contains(process) {
        return Vec::new();
    }
    relays.sort_by_key(|relay| stable_hash(&format!("{process}/{relay}")));
    relays
}
