//! Recognises the parts of prompts that many programs share, and which engines keep each of them.

use std::{
    collections::{BTreeMap, hash_map::Entry},
    time::Duration,
};

use celerycove_types::{Map, Timestamp, id};

use super::{Server, order::rendezvous_weight};
use crate::prefix::{Part, PartId};

/// Limit on remembered parts. A deployment has far fewer shared ones; prompts that share nothing
/// begin with a part of their own each.
const CAPACITY: usize = 1_024;
/// How long a part is remembered after a prompt last began with it.
const RETENTION: Duration = Duration::from_mins(1);
/// How often parts that are no longer in use are removed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);
/// Share of an engine's memory up to which all shared parts together are kept by every engine.
const FREE_SHARE: f64 = 0.1;
/// Share of an engine's memory that the shared parts it keeps should take.
const HOME_SHARE: f64 = 0.15;
/// Smallest share of a data centre's engines that keep a part.
const MIN_HOME_SHARE: f64 = 0.25;
/// Smallest number of engines of a data centre that keep a part.
const MIN_HOMES: u32 = 3;
/// Parts that an engine keeps on average at least, so that hardly any engine is left with none and
/// thus without work.
const MIN_PARTS_PER_ENGINE: f64 = 4.0;

/// What this entry has seen of a part with which prompts begin.
#[derive(Debug, Clone)]
struct Sighting {
    /// The affinity of the first program seen with the part, or `None` if there were several.
    owner: Option<u64>,
    tokens: id::Tokens,
    seen_at: Timestamp,
}

/// The first parts of a service's prompts, whether several programs had them, and the engines that
/// keep them.
#[derive(Debug, Clone, Default)]
pub(super) struct SharedParts {
    sightings: Map<PartId, Sighting>,
    pruned_at: Timestamp,
    /// The parts that several programs had.
    repeated: Total,
    /// The parts that one program had so far.
    single: Total,
    /// For each shared part in use, whether each engine keeps it; computed when first needed.
    homes: Map<PartId, Vec<bool>>,
    /// The share of the engines that `homes` was computed for.
    homes_share: f64,
}

/// Number and total length of parts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Total {
    count: u32,
    tokens: id::Tokens,
}

impl Total {
    fn add(&mut self, tokens: id::Tokens) {
        self.count += 1;
        self.tokens += tokens;
    }

    fn remove(&mut self, tokens: id::Tokens) {
        self.count -= 1;
        self.tokens -= tokens;
    }
}

/// A shared part at the start of a prompt.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Shared<'a> {
    /// Length of the part; zero if the prompt begins with none.
    pub(super) tokens: id::Tokens,
    /// Whether each engine keeps the part, or `None` if all do.
    homes: Option<&'a [bool]>,
}

impl Shared<'_> {
    /// Whether the engine with this index keeps the part.
    pub(super) fn is_home(&self, index: usize) -> bool {
        self.homes
            .is_none_or(|homes| homes.get(index).copied().unwrap_or(true))
    }
}

impl SharedParts {
    /// Records the first part of a program's prompt, and returns it if other programs share it.
    ///
    /// An engine that keeps such a part soon has it cached, whichever entry sent it there.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        affinity: u64,
        prompt: &[Part],
        servers: &[Server],
    ) -> Shared<'_> {
        let Some(first) = prompt.first() else {
            return Shared::default();
        };
        self.prune(now);
        let sighting = match self.sightings.entry(first.id) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                self.single.add(first.tokens);
                entry.insert(Sighting {
                    owner: Some(affinity),
                    tokens: first.tokens,
                    seen_at: now,
                })
            }
        };
        sighting.seen_at = now;
        if sighting.owner.is_some_and(|owner| owner != affinity) {
            sighting.owner = None;
            self.single.remove(sighting.tokens);
            self.repeated.add(sighting.tokens);
        }
        let is_single = sighting.owner.is_some();
        if is_single && !self.are_most_shared() {
            return Shared::default();
        }
        let homes = self.homes(first.id, servers);
        if is_single && homes.is_none() {
            return Shared::default();
        }
        Shared {
            tokens: first.tokens,
            homes,
        }
    }

    /// Forgets which engines keep which parts, after the engines changed.
    pub(super) fn reset_homes(&mut self) {
        self.homes.clear();
    }

    /// Removes the parts that are no longer in use.
    fn prune(&mut self, now: Timestamp) {
        let is_due = now.saturating_sub(self.pruned_at) >= PRUNE_INTERVAL;
        if !is_due && self.sightings.len() < CAPACITY {
            return;
        }
        self.pruned_at = now;
        let is_full = self.sightings.len() >= CAPACITY;
        self.sightings.retain(|_, sighting| {
            now.saturating_sub(sighting.seen_at) < RETENTION
                && !(is_full && sighting.owner.is_some())
        });
        (self.repeated, self.single) = Default::default();
        for sighting in self.sightings.values() {
            let total = if sighting.owner.is_some() {
                &mut self.single
            } else {
                &mut self.repeated
            };
            total.add(sighting.tokens);
        }
        self.homes
            .retain(|part, _| self.sightings.contains_key(part));
    }

    /// Whether a third of the parts in use are known to be shared. Then those that one program had so
    /// far are probably shared too, and an entry that has just started agrees with the others sooner.
    fn are_most_shared(&self) -> bool {
        self.repeated.count * 2 >= self.single.count
    }

    /// Returns the share of the engines that keep each shared part.
    fn share(&self, servers: &[Server]) -> f64 {
        let memory = servers.iter().map(|s| s.registration.cache_tokens).min();
        let Some(memory) = memory.flatten() else {
            return 1.0;
        };
        let mut shared = self.repeated;
        if self.are_most_shared() {
            shared.count += self.single.count;
            shared.tokens += self.single.tokens;
        }
        home_share(shared, memory)
    }

    /// Returns for each engine whether it keeps a shared part, or `None` if all of them do.
    fn homes(&mut self, part: PartId, servers: &[Server]) -> Option<&[bool]> {
        let share = self.share(servers);
        if share >= 1.0 {
            return None;
        }
        if share.to_bits() != self.homes_share.to_bits() {
            self.homes_share = share;
            self.homes.clear();
        }
        let homes = self.homes.entry(part);
        Some(homes.or_insert_with(|| select_homes(part, servers, share)))
    }

    /// Returns the shared part at the start of a prompt without recording it.
    pub(super) fn peek(&self, prompt: &[Part], servers: &[Server]) -> Homes {
        let Some(first) = prompt.first() else {
            return Homes::default();
        };
        let sighting = self.sightings.get(&first.id);
        let is_single = sighting.is_none_or(|sighting| sighting.owner.is_some());
        let share = self.share(servers);
        if is_single && (share >= 1.0 || !self.are_most_shared()) {
            return Homes::default();
        }
        Homes {
            tokens: first.tokens,
            homes: (share < 1.0).then(|| select_homes(first.id, servers, share)),
        }
    }
}

/// A shared part at the start of a prompt, and the engines that keep it.
#[derive(Debug, Clone, Default)]
pub(super) struct Homes {
    tokens: id::Tokens,
    homes: Option<Vec<bool>>,
}

impl Homes {
    pub(super) fn shared(&self) -> Shared<'_> {
        Shared {
            tokens: self.tokens,
            homes: self.homes.as_deref(),
        }
    }
}

/// Returns the share of the engines that keep a shared part, if `shared` are all of them and an engine
/// has `memory` tokens.
fn home_share(shared: Total, memory: id::Tokens) -> f64 {
    let [tokens, memory] = [shared.tokens, memory].map(to_f64);
    if tokens <= memory * FREE_SHARE {
        return 1.0;
    }
    let share = memory * HOME_SHARE / tokens;
    let min_share = MIN_PARTS_PER_ENGINE / f64::from(shared.count.max(1));
    share.max(min_share).clamp(MIN_HOME_SHARE, 1.0)
}

/// Selects the engines that keep a part by rendezvous hashing within each data centre. All entries
/// select the same ones, and those of a smaller share are among those of a larger one.
fn select_homes(part: PartId, servers: &[Server], share: f64) -> Vec<bool> {
    // Part ids of some dialects differ in a few bits only.
    let hash = part.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let hash = hash ^ (hash >> 32);
    let mut by_data_centre: BTreeMap<&id::DataCentre, Vec<(u64, usize)>> = BTreeMap::new();
    for (index, server) in servers.iter().enumerate() {
        let weight = rendezvous_weight(hash, server.name_hash);
        let group = by_data_centre.entry(&server.registration.data_centre);
        group.or_default().push((u64::MAX - weight, index));
    }
    let mut homes = vec![false; servers.len()];
    for group in by_data_centre.values_mut() {
        group.sort_unstable();
        let wanted = share * f64::from(u32::try_from(group.len()).unwrap_or(u32::MAX));
        for (place, (_, index)) in (0_u32..).zip(group.iter()) {
            homes[*index] = place < MIN_HOMES || f64::from(place) + 0.5 < wanted;
        }
    }
    homes
}

/// Converts a number of tokens; the values in use are represented exactly.
fn to_f64(tokens: id::Tokens) -> f64 {
    u32::try_from(tokens).map_or(f64::from(u32::MAX), f64::from)
}
