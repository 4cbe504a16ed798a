//! The order in which entries prefer the backend servers of a pool for a program, and how many of them
//! they compare.

use celerycove_types::{Timestamp, id};

use super::{Request, Server};

/// Number of backend servers up to which all of them are considered for a request.
const SMALL_POOL: usize = 16;
/// How many backend servers of the local data centre are considered in a larger pool.
const LOCAL_CHOICES: usize = 3;
/// How many backend servers of other data centres are considered in a larger pool.
const REMOTE_CHOICES: usize = 2;

/// Returns the indexes of the backend servers that accept the request, in the order in which every
/// entry of the data centre prefers them for its program.
pub(super) fn candidates(
    now: Timestamp,
    servers: &mut [Server],
    request: &Request<'_>,
    data_centre: &id::DataCentre,
) -> Vec<usize> {
    let mut accepting: Vec<_> = servers
        .iter_mut()
        .enumerate()
        .filter_map(|(index, server)| {
            let is_excluded = request.excluded.contains(&server.registration.backend);
            let accepts = !is_excluded && server.accepts_request(now);
            let is_remote = server.registration.data_centre != *data_centre;
            let weight = rendezvous_weight(request.affinity, server.name_hash);
            let order = (server.is_suspect(now), is_remote, u64::MAX - weight);
            accepts.then_some((order, index))
        })
        .collect();
    accepting.sort_unstable();
    accepting.into_iter().map(|(_, index)| index).collect()
}

/// Returns the backend servers to compare for a request, with the rank of each: all of a small pool;
/// of a large one, the first few of the order in the local data centre and in others, and those that
/// this entry sent the program's history to.
pub(super) fn considered(
    servers: &[Server],
    candidates: &[usize],
    request: &Request<'_>,
    data_centre: &id::DataCentre,
) -> Vec<(usize, u32)> {
    let is_small = candidates.len() <= SMALL_POOL;
    let (mut local, mut remote) = (0, 0);
    let ranked = candidates.iter().map(|index| {
        let server = &servers[*index];
        let (count, limit) = if server.registration.data_centre == *data_centre {
            (&mut local, LOCAL_CHOICES)
        } else {
            (&mut remote, REMOTE_CHOICES)
        };
        let rank = *count;
        *count += 1;
        let is_chosen = is_small || rank < limit || server.holds_history(request.prompt);
        is_chosen.then(|| (*index, u32::try_from(rank.min(limit)).unwrap_or(u32::MAX)))
    });
    ranked.flatten().collect()
}

/// Returns the rendezvous hashing weight of a backend server, which is equal at every entry.
fn rendezvous_weight(affinity: u64, name_hash: u64) -> u64 {
    let mut hash = affinity ^ name_hash.rotate_left(23);
    hash = hash.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    hash ^= hash >> 29;
    hash = hash.wrapping_mul(0xBF58_476D_1CE4_E5B9);
    hash ^ (hash >> 32)
}

/// Hashes a name in the same way in every process.
pub(super) fn name_hash(name: &str) -> u64 {
    let mut hash = 0x9E37_79B9_7F4A_7C15;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3);
    }
    hash ^= hash >> 29;
    hash = hash.wrapping_mul(0xBF58_476D_1CE4_E5B9);
    hash ^ (hash >> 32)
}
