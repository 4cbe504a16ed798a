//! Which instances should agree on a log, from who is there.

use std::{collections::BTreeMap, time::Duration};

use celerycove_types::id;

use crate::log::Members;

/// What is known of one instance that could be a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Where it stands.
    pub data_centre: id::DataCentre,
    /// How long it has been silent.
    pub silent: Duration,
    /// Whether it is to leave.
    pub retiring: bool,
}

/// What the members should be like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How many members there should be, an odd number.
    pub target: usize,
    /// After this silence a member is replaced, where another instance can take its place. Shorter
    /// than the time within which a lost instance must be made up for, longer than an election.
    pub silence: Duration,
}

/// Plans the next single change of the members, or `None` if they are as they should be.
///
/// A lost member is removed before its successor is added: that can be committed by the same
/// quorum as before, while adding first would need the successor's own vote. Nothing is changed where
/// the members after the change would have no majority of `voters` who are heard: it could not be
/// committed, and who lacks a vote could not get one.
#[must_use]
pub fn plan(
    me: &id::Process,
    members: &Members,
    voters: &Members,
    candidates: &BTreeMap<id::Process, Candidate>,
    options: Options,
) -> Option<Members> {
    let heard = |member: &&id::Process| {
        let known = candidates.get(*member);
        *member == me || known.is_some_and(|candidate| candidate.silent < options.silence)
    };
    let stand = |after: &Members| after.intersection(voters).filter(heard).count();
    let after = next(me, members, candidates, options)?;
    (stand(&after) > after.len() / 2).then_some(after)
}

fn next(
    me: &id::Process,
    members: &Members,
    candidates: &BTreeMap<id::Process, Candidate>,
    options: Options,
) -> Option<Members> {
    let lost = |member: &&id::Process| {
        let known = candidates.get(*member);
        *member != me && known.is_none_or(|candidate| candidate.silent >= options.silence)
    };
    let retiring = |member: &&id::Process| {
        candidates
            .get(*member)
            .is_some_and(|candidate| candidate.retiring)
    };
    let successor = successor(members, candidates, options);
    if members.len() < options.target
        && let Some(successor) = &successor
    {
        return Some(with(members, successor));
    }
    if members.len() > options.target {
        let surplus = members.iter().find(retiring);
        let surplus = surplus.or_else(|| members.iter().find(lost));
        let surplus = surplus.or_else(|| crowded(me, members, candidates));
        return surplus.map(|member| without(members, member));
    }
    if let Some(member) = members.iter().find(lost) {
        return successor.map(|_| without(members, member));
    }
    if let Some(member) = members.iter().find(retiring) {
        // Nothing is lost with a retiring member as long as a majority of others remains; the
        // successor, if there is one, comes first so that the copies never get fewer.
        return match successor {
            Some(successor) => Some(with(members, &successor)),
            None if members.len() > 2 => Some(without(members, member)),
            None => None,
        };
    }
    spread(me, members, candidates, successor)
}

/// Chooses the first members among instances with an empty disk: of each data centre in turn, and an
/// odd number, since an even one bears no more losses than the odd one below it.
#[must_use]
pub fn founders(there: &BTreeMap<id::Process, id::DataCentre>, most: usize) -> Members {
    let mut chosen = Members::new();
    let mut counts: BTreeMap<&id::DataCentre, usize> = BTreeMap::new();
    while chosen.len() < most {
        let left = there.iter().filter(|(name, _)| !chosen.contains(*name));
        let next = left.min_by_key(|(name, at)| {
            let count = counts.get(at).copied();
            (count.unwrap_or_default(), (*name).clone())
        });
        let Some((name, at)) = next else { break };
        *counts.entry(at).or_default() += 1;
        chosen.insert(name.clone());
    }
    if chosen.len().is_multiple_of(2) && chosen.len() > 2 {
        chosen.pop_last();
    }
    chosen
}

fn with(members: &Members, one: &id::Process) -> Members {
    let mut members = members.clone();
    members.insert(one.clone());
    members
}

fn without(members: &Members, one: &id::Process) -> Members {
    let mut members = members.clone();
    members.remove(one);
    members
}

/// How many members stand in each data centre.
fn counts<'a>(
    members: &Members,
    candidates: &'a BTreeMap<id::Process, Candidate>,
) -> BTreeMap<&'a id::DataCentre, usize> {
    let mut counts = BTreeMap::new();
    for candidate in members.iter().filter_map(|member| candidates.get(member)) {
        *counts.entry(&candidate.data_centre).or_default() += 1;
    }
    counts
}

/// The instance to add next: one that is there, in the data centre with the fewest members.
fn successor(
    members: &Members,
    candidates: &BTreeMap<id::Process, Candidate>,
    options: Options,
) -> Option<id::Process> {
    let counts = counts(members, candidates);
    candidates
        .iter()
        .filter(|(name, candidate)| {
            !members.contains(*name)
                && !candidate.retiring
                && candidate.silent < options.silence / 2
        })
        .min_by_key(|(name, candidate)| {
            let crowd = counts.get(&candidate.data_centre).copied();
            (crowd.unwrap_or_default(), (*name).clone())
        })
        .map(|(name, _)| name.clone())
}

/// A member, other than this one if possible, of the data centre with the most.
fn crowded<'a>(
    me: &id::Process,
    members: &'a Members,
    candidates: &BTreeMap<id::Process, Candidate>,
) -> Option<&'a id::Process> {
    let counts = counts(members, candidates);
    members.iter().max_by_key(|member| {
        let candidate = candidates.get(*member);
        let crowd = candidate.and_then(|known| counts.get(&known.data_centre).copied());
        (crowd.unwrap_or_default(), *member != me)
    })
}

/// Moves a member out of a data centre that holds two more than the successor's.
fn spread(
    me: &id::Process,
    members: &Members,
    candidates: &BTreeMap<id::Process, Candidate>,
    successor: Option<id::Process>,
) -> Option<Members> {
    let successor = successor?;
    let counts = counts(members, candidates);
    let there = &candidates.get(&successor)?.data_centre;
    let crowd = crowded(me, members, candidates)?;
    let here = &candidates.get(crowd)?.data_centre;
    let count = |at: &id::DataCentre| counts.get(at).copied().unwrap_or_default();
    (count(here) >= count(there) + 2).then(|| with(members, &successor))
}
