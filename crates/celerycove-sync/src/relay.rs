//! Chooses from whom a process pulls.

use celerycove_control::placement::stable_hash;
use celerycove_types::id;

use crate::{announce::Life, directory::Directory};

/// How many relays a data centre has.
pub const RELAYS: usize = 2;

/// The relays of a data centre: the processes with the highest hashes among those that relay.
#[must_use]
pub fn relays(directory: &Directory, data_centre: &id::DataCentre) -> Vec<id::Process> {
    let mut able: Vec<(u64, &id::Process)> = directory
        .live()
        .filter(|a| a.relay && a.life == Life::Serving && a.data_centre == *data_centre)
        .map(|a| (stable_hash(&a.process), &a.process))
        .collect();
    able.sort_unstable_by(|a, b| b.cmp(a));
    able.into_iter()
        .take(RELAYS)
        .map(|(_, process)| process.clone())
        .collect()
}

/// From whom `me` pulls, best first; none means from control.
#[must_use]
pub fn upstream(
    directory: &Directory,
    me: &id::Process,
    data_centre: &id::DataCentre,
) -> Vec<id::Process> {
    let mut relays = relays(directory, data_centre);
    if relays.contains(me) {
        return Vec::new();
    }
    relays.sort_by_key(|relay| stable_hash(&format!("{me}/{relay}")));
    relays
}
