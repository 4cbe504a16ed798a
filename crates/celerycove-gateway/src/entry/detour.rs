//! Chooses the way to the leader of a log: directly, or through another instance if the leader is out
//! of reach from here, for example because the network between two data centres is cut.

use std::time::Duration;

use celerycove_types::{Timestamp, id};

/// How long a leader that did not reply is avoided before it is asked directly again.
const DETOUR_TIME: Duration = Duration::from_secs(3);

/// Where to send a request that the leader must handle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Target {
    /// To this instance, which is the leader or names it.
    Direct(id::Process),
    /// To this instance, which passes it on to the leader.
    Via(id::Process),
}

/// The leader that lately did not reply, and the instance to try next.
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

    /// Records that the leader did not reply to a request that was sent to it directly.
    pub(super) fn avoid(&mut self, now: Timestamp, leader: &id::Process) {
        self.avoided = Some((leader.clone(), now + DETOUR_TIME));
    }

    /// Returns where to send a request. `known` are the instances that can pass it on or name a
    /// leader, the most promising first.
    pub(super) fn target(
        &self,
        now: Timestamp,
        leader: Option<&id::Process>,
        known: &[id::Process],
    ) -> Option<Target> {
        let nth = |instances: Vec<&id::Process>| {
            let count = instances.len();
            (count > 0).then(|| instances[self.failures % count].clone())
        };
        let Some(leader) = leader else {
            return nth(known.iter().collect()).map(Target::Direct);
        };
        let is_avoided = self
            .avoided
            .as_ref()
            .is_some_and(|(avoided, until)| avoided == leader && now < *until);
        let others = known.iter().filter(|instance| *instance != leader);
        let via = is_avoided.then(|| nth(others.collect())).flatten();
        Some(via.map_or_else(|| Target::Direct(leader.clone()), Target::Via))
    }
}

#[cfg(test)]
#[path = "detour_tests.rs"]
mod tests;
