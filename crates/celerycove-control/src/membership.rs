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

/// What a leader knows of the members of its log.
#[derive(Debug, Clone, Copy)]
pub struct Current<'a> {
    /// The members, as of the last entry in the log.
    pub members: &'a Members,
    /// The instances that stated lately that they may vote; see [`Node::voters`](crate::Node::voters).
    pub voters: &'a Members,
    /// The instance that the leader brings up to date.
    pub learner: Option<&'a Learner>,
}

/// An instance that a leader brings up to date, so that it can become a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Learner {
    /// The instance.
    pub process: id::Process,
    /// Whether it may vote and holds nearly all of the log.
    pub caught_up: bool,
}

/// The next step towards the desired members.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// The instance to bring up to date; see [`Event::Learn`](crate::Event::Learn).
    pub learner: Option<id::Process>,
    /// The members after the next change, of a single member; `None` if no change is possible now.
    pub members: Option<Members>,
}

/// The change that brings the members closer to the desired ones.
enum Change {
    /// None is due yet, but this instance is likely to be added next.
    Prepare(id::Process),
    Add(id::Process),
    Remove(id::Process),
}

/// Plans the next step.
///
/// The successor of a lost or retiring member is brought up to date, then added, and only then is the
/// other one removed: at no moment do fewer instances hold a vote, so that the members bear the loss
/// of as many disks as before. No change is made if reachable `voters` would not be a majority of the
/// new members: the change could not be committed, and members that may not vote could not become
/// voters.
#[must_use]
pub fn plan(
    own_id: &id::Process,
    current: Current<'_>,
    candidates: &BTreeMap<id::Process, Candidate>,
    options: Options,
) -> Plan {
    let is_reachable = |member: &&id::Process| {
        let candidate = candidates.get(*member);
        *member == own_id
            || candidate.is_some_and(|candidate| candidate.silent_for < options.silence_timeout)
    };
    let can_commit = |planned: &Members| {
        let voters = planned.intersection(current.voters);
        voters.filter(is_reachable).count() > planned.len() / 2
    };
    let mut plan = match next_change(own_id, current, candidates, options) {
        None => Plan::default(),
        Some(Change::Prepare(successor)) => Plan {
            learner: Some(successor),
            members: None,
        },
        Some(Change::Add(successor)) => {
            let learner = current.learner.filter(|learner| learner.caught_up);
            let is_ready = learner.is_some_and(|learner| learner.process == successor);
            Plan {
                members: is_ready.then(|| with_member(current.members, &successor)),
                learner: Some(successor),
            }
        }
        Some(Change::Remove(member)) => Plan {
            learner: None,
            members: Some(without_member(current.members, &member)),
        },
    };
    plan.members = plan.members.filter(can_commit);
    plan
}

/// Returns the next change, regardless of whether it can be committed.
fn next_change(
    own_id: &id::Process,
    current: Current<'_>,
    candidates: &BTreeMap<id::Process, Candidate>,
    options: Options,
) -> Option<Change> {
    let members = current.members;
    let is_silent = |member: &id::Process, timeout: Duration| {
        let candidate = candidates.get(member);
        member != own_id && candidate.is_none_or(|candidate| candidate.silent_for >= timeout)
    };
    let is_lost = |member: &&id::Process| is_silent(member, options.silence_timeout);
    let is_retiring = |member: &&id::Process| {
        candidates
            .get(*member)
            .is_some_and(|candidate| candidate.retiring)
    };
    let lost = members.iter().find(is_lost);
    let retiring = members.iter().find(is_retiring);
    if members.len() > options.target {
        let surplus = retiring.or(lost);
        let surplus = surplus.or_else(|| most_crowded_member(own_id, members, candidates));
        return surplus.cloned().map(Change::Remove);
    }
    let Some(successor) = successor(current, candidates, options) else {
        // Removing a retiring member loses nothing as long as a majority of other members remains.
        let dispensable = retiring.filter(|_| members.len() > 2 && lost.is_none());
        return dispensable.cloned().map(Change::Remove);
    };
    let is_due = members.len() < options.target
        || lost.is_some()
        || retiring.is_some()
        || is_unbalanced(own_id, members, candidates, &successor);
    // A member that falls silent may be lost: its successor needs time to catch up.
    let may_be_due = || {
        let mut members = members.iter();
        members.any(|member| is_silent(member, options.silence_timeout / 2))
    };
    if is_due {
        Some(Change::Add(successor))
    } else {
        may_be_due().then_some(Change::Prepare(successor))
    }
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

/// Returns the instance to add next: a reachable one, the learner if possible, or else in the data
/// centre with the fewest members.
fn successor(
    current: Current<'_>,
    candidates: &BTreeMap<id::Process, Candidate>,
    options: Options,
) -> Option<id::Process> {
    let counts = members_per_data_centre(current.members, candidates);
    let learner = current.learner.map(|learner| &learner.process);
    candidates
        .iter()
        .filter(|(name, candidate)| {
            !current.members.contains(*name)
                && !candidate.retiring
                && candidate.silent_for < options.silence_timeout / 2
        })
        .min_by_key(|(name, candidate)| {
            let count = counts.get(&candidate.data_centre).copied();
            let is_learner = learner == Some(*name);
            (!is_learner, count.unwrap_or_default(), (*name).clone())
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

/// Whether the most crowded data centre has at least two members more than the successor's one. The
/// surplus member is removed from it once the successor is added.
fn is_unbalanced(
    own_id: &id::Process,
    members: &Members,
    candidates: &BTreeMap<id::Process, Candidate>,
    successor: &id::Process,
) -> bool {
    let counts = members_per_data_centre(members, candidates);
    let count = |process: &id::Process| {
        let data_centre = &candidates.get(process)?.data_centre;
        Some(counts.get(data_centre).copied().unwrap_or_default())
    };
    let surplus = most_crowded_member(own_id, members, candidates);
    let counts = surplus.and_then(count).zip(count(successor));
    counts.is_some_and(|(source, target)| source >= target + 2)
}
