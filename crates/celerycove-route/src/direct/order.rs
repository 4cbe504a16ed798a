//! The order in which entries prefer the backend servers of a pool for a program, and how many of them
//! they compare.

use celerycove_types::{Timestamp, id};

use super::{Request, Server, shared::Shared};

/// Number of backend servers up to which all of them are considered for a request.
const SMALL_POOL: usize = 16;
/// How many backend servers of the local data centre are considered in a larger pool.
const LOCAL_CHOICES: usize = 3;
/// How many backend servers of other data centres are considered in a larger pool.
const REMOTE_CHOICES: usize = 2;
/// How many backend servers of the local data centre are considered in a larger pool besides those
/// that keep the prompt's shared part, in case those are overloaded.
const LOCAL_OTHERS: usize = 2;
/// How many of other data centres.
const REMOTE_OTHERS: usize = 1;

/// The backend servers to compare for a request.
pub(super) struct Choices {
    /// How many backend servers accept the request.
    pub(super) candidates: usize,
    /// The indexes of those to compare, each with its rank in the program's order.
    pub(super) considered: Vec<(usize, u32)>,
}

/// The place of a backend server in the order in which every entry of a data centre prefers them for a
/// program: suspect ones last, then by weight.
type Place = (bool, u64);

/// Returns the backend servers to compare for a request: all of a small pool; of a large one, the first
/// few of the order in the local data centre and in others, and those that this entry sent the
/// program's history to. Those that keep the prompt's shared part come before all others.
pub(super) fn choices(
    now: Timestamp,
    servers: &[Server],
    request: &Request<'_>,
    data_centre: &id::DataCentre,
    shared: Shared<'_>,
) -> Choices {
    let is_small = servers.len() <= SMALL_POOL;
    let limits = if is_small {
        [SMALL_POOL; 4]
    } else {
        [LOCAL_CHOICES, REMOTE_CHOICES, LOCAL_OTHERS, REMOTE_OTHERS]
    };
    let mut candidates = 0;
    // The first ones of the local data centre and of others that keep the shared part, then those
    // that don't.
    let mut first: [Vec<(Place, usize)>; 4] = Default::default();
    let mut with_history = Vec::new();
    for (index, server) in servers.iter().enumerate() {
        if server.refusal(now, request).is_some() {
            continue;
        }
        candidates += 1;
        let weight = rendezvous_weight(request.affinity, server.name_hash);
        let place = (server.is_suspect(now), u64::MAX - weight);
        let is_remote = usize::from(server.registration.data_centre != *data_centre);
        let group = is_remote + 2 * usize::from(!shared.is_home(index));
        insert_first(&mut first[group], (place, index), limits[group]);
        if !is_small && server.holds_history(request.prompt) {
            with_history.push((index, rank(limits[is_remote])));
        }
    }
    let ranked = first.iter().flat_map(|group| {
        let places = group.iter().enumerate();
        places.map(|(place, (_, index))| (*index, rank(place.min(LOCAL_CHOICES))))
    });
    let mut considered: Vec<(usize, u32)> = ranked.collect();
    with_history.retain(|(index, _)| considered.iter().all(|(other, _)| other != index));
    considered.extend(with_history);
    Choices {
        candidates,
        considered,
    }
}

/// Inserts an item into a sorted list of at most `limit` items.
fn insert_first<T: Ord>(list: &mut Vec<T>, item: T, limit: usize) {
    if list.len() == limit && list.last().is_some_and(|last| *last < item) {
        return;
    }
    let at = list.partition_point(|other| *other < item);
    list.insert(at, item);
    list.truncate(limit);
}

fn rank(place: usize) -> u32 {
    u32::try_from(place).unwrap_or(u32::MAX)
}

/// Returns the rendezvous hashing weight of a backend server, which is equal at every entry.
pub(super) fn rendezvous_weight(affinity: u64, name_hash: u64) -> u64 {
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
