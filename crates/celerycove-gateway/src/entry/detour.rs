//! Chooses the way to the leader of a log: directly, or through another instance if the leader is out
//! of reach from here, for example because the network between two data centres is cut.

use std::time::Duration;

use celerycove_types::{Timestamp, id};

/// How long a leader without a connection is avoided before it is asked directly again.
const DETOUR_TIME: Duration = Duration::from_secs(3);

/// Of this many tries, one is at an instance that is not known to take part in the log.
const TRIES_PER_OTHER: usize = 4;

/// Where to send a request that the leader must handle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Target {
    /// To this instance, which is the leader or names it.
    Direct(id::Process),
    /// To this instance, which passes it on to the leader.
    Via(id::Process),
}

/// The leader to which there was no connection lately, and the instance to try next.
#[derive(Debug, Default)]
pub(super) struct Detour {
    avoided: Option<(id::Process, Timestamp)>,
    /// Counts the failures, so that each is followed by a try at the next instance, and one that
    /// works is kept.
    failures: usize,
}

impl Detour {
    /// Records that a request got no reply, or none that helps.
    pub(super) fn record_failure(&mut self) {
        self.failures += 1;
    }

    /// Records that there is no connection to the leader.
    pub(super) fn avoid(&mut self, now: Timestamp, leader: &id::Process) {
        self.avoided = Some((leader.clone(), now + DETOUR_TIME));
    }

    /// Returns where to send a request. `members` are instances that probably take part in the log,
    /// and can pass the request on or name a leader; `others` may have joined it meanwhile.
    pub(super) fn target(
        &self,
        now: Timestamp,
        leader: Option<&id::Process>,
        members: &[id::Process],
        others: &[id::Process],
    ) -> Option<Target> {
        let Some(leader) = leader else {
            return self.next(members, others, None).map(Target::Direct);
        };
        let is_avoided = self
            .avoided
            .as_ref()
            .is_some_and(|(avoided, until)| avoided == leader && now < *until);
        let via = is_avoided.then(|| self.next(members, others, Some(leader)));
        let via = via.flatten().map(Target::Via);
        Some(via.unwrap_or_else(|| Target::Direct(leader.clone())))
    }

    /// Returns the instance to try, other than `excluded`.
    fn next(
        &self,
        members: &[id::Process],
        others: &[id::Process],
        excluded: Option<&id::Process>,
    ) -> Option<id::Process> {
        let nth = |instances: &[id::Process], number: usize| {
            let allowed: Vec<_> = instances
                .iter()
                .filter(|instance| Some(*instance) != excluded)
                .collect();
            (!allowed.is_empty()).then(|| allowed[number % allowed.len()].clone())
        };
        let is_for_others = self.failures % TRIES_PER_OTHER == TRIES_PER_OTHER - 1;
        let other = || nth(others, self.failures / TRIES_PER_OTHER);
        let member = || nth(members, self.failures - self.failures / TRIES_PER_OTHER);
        if is_for_others {
            other().or_else(member)
        } else {
            member().or_else(other)
        }
    }
}

#[cfg(test)]
#[path = "detour_tests.rs"]
mod tests;
