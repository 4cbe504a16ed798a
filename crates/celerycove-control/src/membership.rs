//! Plans which of the reachable instances should be members of a log.

use std::{collections::BTreeMap, time::Duration};

use celerycove_types::id;

use crate::log::Members;

/// An instance that is or could become a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The data centre where it runs.
    pub data_centre: id::DataCentre,
    /// The time since it was last heard from.
    pub silent_for: Duration,
    /// Whether it is to be removed.
    pub retiring: bool,
}

/// The desired number of members, and the timeout of lost ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The desired number of members, which must be odd.
    pub target: usize,
    /// The time since the last contact after which a member counts as lost and is replaced, if
    /// another instance can take its place. It must be longer than an election, and shorter than
    /// the time within which a lost instance must be replaced.
    pub silence_timeout: Duration,
}

/// Plans the next change, of a single member; `None` if no change is needed or possible.
///
/// A lost member is removed before its successor is added: the removal needs no vote beyond the
/// quorum that exists, while adding first would need the successor's vote. No change is made if
/// reachable `voters` would not be a majority of the new members: the change could not be
/// committed, and members that may not vote could not become voters.
#[must_use]
pub fn plan(
    own_id: &id::Process,
    members: &Members,
    voters: &Members,
    candidates: &BTreeMap<id::Process, Candidate>,
    options: Options,
) -> Option<Members> {
    let is_reachable = |member: &&id::Process| {
        let candidate = candidates.get(*member);
        *member == own_id
            || candidate.is_some_and(|candidate| candidate.silent_for < options.silence_timeout)
    };
    let reachable_voters =
        |planned: &Members| planned.intersection(voters).filter(is_reachable).count();
    let planned = next_members(own_id, members, candidates, options)?;
    (reachable_voters(&planned) > planned.len() / 2).then_some(planned)
}

/// Plans the next change regardless of whether it can be committed.
fn next_members(
    own_id: &id::Process,
    members: &Members,
    candidates: &BTreeMap<id::Process, Candidate>,
    options: Options,
) -> Option<Members> {
    let is_lost = |member: &&id::Process| {
        let candidate = candidates.get(*member);
        *member != own_id
            && candidate.is_none_or(|candidate| candidate.silent_for >= options.silence_timeout)
    };
    let is_retiring = |member: &&id::Process| {
        candidates
            .get(*member)
            .is_some_and(|candidate| candidate.retiring)
    };
    let successor = successor(members, candidates, options);
    if members.len() < options.target
        && let Some(successor) = &successor
    {
        return Some(with_member(members, successor));
    }
    if members.len() > options.target {
        let surplus = members.iter().find(is_retiring);
        let surplus = surplus.or_else(|| members.iter().find(is_lost));
        let surplus = surplus.or_else(|| most_crowded_member(own_id, members, candidates));
        return surplus.map(|member| without_member(members, member));
    }
    if let Some(member) = members.iter().find(is_lost) {
        return successor.map(|_| without_member(members, member));
    }
    if let Some(member) = members.iter().find(is_retiring) {
        // The successor, if there is one, is added first, so that the number of copies never drops.
        // Without one, removing a retiring member loses nothing as long as a majority of other
        // members remains.
        return match successor {
            Some(successor) => Some(with_member(members, &successor)),
            None if members.len() > 2 => Some(without_member(members, member)),
            None => None,
        };
    }
    rebalance(own_id, members, candidates, successor)
}

/// Whether an instance may be taken away together with its disk: it is not a member, and the members
/// are as many as desired and all hold a vote, so that they bear the loss of further disks.
///
/// `members` must be committed, and `voters` those of a leader that a quorum has confirmed since the
/// question was asked: the members that a replica knows may be of any age.
#[must_use]
pub fn is_dispensable(
    instance: &id::Process,
    members: &Members,
    voters: &Members,
    options: Options,
) -> bool {
    !members.contains(instance) && members.len() >= options.target && members.is_subset(voters)
}

/// Chooses the first members of a new log among instances with an empty disk. They include `chooser`,
/// if it is one of these.
///
/// The data centres are used in turn. The number of members is odd if there are more than two,
/// since an even number tolerates no more failures than the odd number below it.
#[must_use]
pub fn initial_members(
    available: &BTreeMap<id::Process, id::DataCentre>,
    chooser: Option<&id::Process>,
    max_members: usize,
) -> Members {
    let mut members = Members::new();
    let mut counts: BTreeMap<&id::DataCentre, usize> = BTreeMap::new();
    if let Some((name, data_centre)) = chooser.and_then(|chooser| available.get_key_value(chooser))
    {
        counts.insert(data_centre, 1);
        members.insert(name.clone());
    }
    while members.len() < max_members {
        let remaining = available
            .iter()
            .filter(|(name, _)| !members.contains(*name));
        let next = remaining.min_by_key(|(name, data_centre)| {
            let count = counts.get(data_centre).copied();
            (count.unwrap_or_default(), (*name).clone())
        });
        let Some((name, data_centre)) = next else {
            break;
        };
        *counts.entry(data_centre).or_default() += 1;
        members.insert(name.clone());
    }
    if members.len().is_multiple_of(2) && members.len() > 2 {
        let last = members.iter().rfind(|member| Some(*member) != chooser);
        let last = last.cloned();
        last.map(|last| members.remove(&last));
    }
    members
}

fn with_member(members: &Members, added: &id::Process) -> Members {
    let mut members = members.clone();
    members.insert(added.clone());
    members
}

fn without_member(members: &Members, removed: &id::Process) -> Members {
    let mut members = members.clone();
    members.remove(removed);
    members
}

/// Counts the members in each data centre.
fn members_per_data_centre<'a>(
    members: &Members,
    candidates: &'a BTreeMap<id::Process, Candidate>,
) -> BTreeMap<&'a id::DataCentre, usize> {
    let mut counts = BTreeMap::new();
    for candidate in members.iter().filter_map(|member| candidates.get(member)) {
        *counts.entry(&candidate.data_centre).or_default() += 1;
    }
    counts
}

/// Returns the instance to add next: a reachable one, in the data centre with the fewest members.
fn successor(
    members: &Members,
    candidates: &BTreeMap<id::Process, Candidate>,
    options: Options,
) -> Option<id::Process> {
    let counts = members_per_data_centre(members, candidates);
    candidates
        .iter()
        .filter(|(name, candidate)| {
            !members.contains(*name)
                && !candidate.retiring
                && candidate.silent_for < options.silence_timeout / 2
        })
        .min_by_key(|(name, candidate)| {
            let count = counts.get(&candidate.data_centre).copied();
            (count.unwrap_or_default(), (*name).clone())
        })
        .map(|(name, _)| name.clone())
}

/// Returns a member in the data centre with the most members, other than this instance if possible.
fn most_crowded_member<'a>(
    own_id: &id::Process,
    members: &'a Members,
    candidates: &BTreeMap<id::Process, Candidate>,
) -> Option<&'a id::Process> {
    let counts = members_per_data_centre(members, candidates);
    members.iter().max_by_key(|member| {
        let candidate = candidates.get(*member);
        let count = candidate.and_then(|candidate| counts.get(&candidate.data_centre).copied());
        (count.unwrap_or_default(), *member != own_id)
    })
}

/// Adds the successor if the most crowded data centre has at least two members more than the
/// successor's one. The surplus member is removed from it by the next change.
fn rebalance(
    own_id: &id::Process,
    members: &Members,
    candidates: &BTreeMap<id::Process, Candidate>,
    successor: Option<id::Process>,
) -> Option<Members> {
    let successor = successor?;
    let counts = members_per_data_centre(members, candidates);
    let target = &candidates.get(&successor)?.data_centre;
    let surplus = most_crowded_member(own_id, members, candidates)?;
    let source = &candidates.get(surplus)?.data_centre;
    let count = |data_centre: &id::DataCentre| counts.get(data_centre).copied().unwrap_or_default();
    (count(source) >= count(target) + 2).then(|| with_member(members, &successor))
}
