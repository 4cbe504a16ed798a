//! Bootstraps the control log when the whole system starts for the first time.
//!
//! The settings of all processes name the same few control instances as seeds. One of them chooses
//! the initial members. It opens its own log with them before it sends them to any other control
//! instance, and each instance that has opened its log with them sends them on until the log has a
//! leader, so that they are not lost with the one that chose them.
//!
//! A seed chooses only if its disk proves that it has not chosen before: it holds no log, and this is
//! the first start or the disk holds a record of that. A seed that has started again without that
//! record never chooses. Of the others the lowest chooses: each of them waits until it knows of every
//! lower seed that it never will.
//!
//! Two different sets are therefore never opened. Whoever has sent a set holds a log and chooses no
//! other one. A seed that has seen a lower one start again with an empty disk knows that the lower one
//! has sent nothing, and a higher one chooses nothing while this seed may choose. It takes the loss of
//! the chooser's disk to make that wrong, so a seed doesn't choose either while it is connected to an
//! instance with a log.
//!
//! If no seed has a disk, the lowest chooses in its first start only, and must not be lost before the
//! log has a leader.
//!
//! An instance with an empty disk may vote in the new log only if its disk has been with it since
//! before any log was opened: it may have lost its vote with an earlier disk. It knows that from the
//! record of the first start, or is told by the instance that is to choose.

use std::collections::{BTreeMap, BTreeSet};

use celerycove_control::membership;
use celerycove_disk::control::FirstStart;
use celerycove_types::{Timestamp, id};

use super::{
    Control,
    maintenance::{BOOTSTRAP_WAIT, ROUND_INTERVAL},
};
use crate::{
    clock,
    link::lock,
    message::{Frame, Peer},
    setup::Role,
};

/// The progress of an instance that has not opened its log.
#[derive(Debug, Default)]
pub(super) struct Bootstrap {
    /// Since when this instance has been the one to choose, and known an instance that may be a member.
    chooser_since: Option<Timestamp>,
    /// The members that it has chosen.
    chosen: Option<BTreeSet<id::Process>>,
    /// Since when a leader has been known.
    led_since: Option<Timestamp>,
}

impl Control {
    /// Chooses the initial members if that is up to this instance, and sends those it has opened its
    /// log with to all control instances until a leader is known.
    pub(super) fn advance_bootstrap(&self) {
        let now = clock::now();
        if self.leader().is_some() {
            self.open_log_of_leader(now);
            return;
        }
        let Some(members) = self.initial_members(now) else {
            return;
        };
        self.bootstrap_log(&members);
        if self.setup.data_dir.is_none() || self.replica().is_some() {
            self.broadcaster
                .send_to(&Frame::InitialMembers(members), |peer| {
                    peer.role == Role::Control
                });
        }
    }

    /// Opens the log without a vote if it has a leader and nobody has sent its initial members: this
    /// instance was not connected in time, or was killed before it opened its log.
    fn open_log_of_leader(&self, now: Timestamp) {
        if self.replica().is_some() {
            return;
        }
        let led_since = *lock(&self.bootstrap).led_since.get_or_insert(now);
        if now >= led_since + BOOTSTRAP_WAIT || !self.setup.may_vote_in_new_log() {
            self.open_log_once(None);
        }
    }

    /// Records that no log has been opened yet, so that this instance may vote in a new one though it
    /// was killed in the first start before it could record that.
    pub(super) fn record_first_start(&self) {
        if self.replica().is_none() && !self.setup.may_vote_in_new_log() {
            self.setup.record_first_start(FirstStart::Told);
        }
    }

    /// Returns the initial members that this instance has opened its log with, or has chosen.
    fn initial_members(&self, now: Timestamp) -> Option<BTreeSet<id::Process>> {
        if let Some(replica) = self.replica() {
            let status = replica.status();
            let is_new = status.applied == 0 && status.log.entries == 0;
            return (is_new && !status.members.is_empty()).then(|| status.members.clone());
        }
        let mut bootstrap = lock(&self.bootstrap);
        if bootstrap.chosen.is_none() {
            bootstrap.chosen = self.choose_initial_members(now, &mut bootstrap.chooser_since);
        }
        bootstrap.chosen.clone()
    }

    /// Returns the initial members, or `None` if another instance is to choose them or while instances
    /// may still be connecting.
    fn choose_initial_members(
        &self,
        now: Timestamp,
        chooser_since: &mut Option<Timestamp>,
    ) -> Option<BTreeSet<id::Process>> {
        let me = self.setup.process();
        let seeds = self.setup.seed_processes();
        let peers = self.broadcaster.connected_peers();
        let is_first_start = self.setup.bootstrap;
        if !is_chooser(&self.local_peer, is_first_start, &seeds, &peers) {
            *chooser_since = None;
            return None;
        }
        let known = self.fleet_state.peers(Role::Control);
        let candidates: BTreeMap<_, _> = known
            .into_iter()
            .filter(|status| status.peer.has_empty_disk && status.silent < ROUND_INTERVAL * 4)
            .map(|status| (status.peer.process, status.peer.data_centre))
            .collect();
        if candidates.is_empty() {
            return None;
        }
        self.broadcaster
            .send_to(&Frame::FirstStart, |peer| peer.role == Role::Control);
        let began = *chooser_since.get_or_insert(now);
        if now < began + BOOTSTRAP_WAIT {
            return None;
        }
        let target = self.setup.target_members();
        let members = membership::initial_members(&candidates, Some(&me), target);
        log::info!(target: "place", members:? = members; "initial members of the control log chosen");
        Some(members)
    }

    /// Opens the log with its initial members, unless it is open.
    pub(super) fn bootstrap_log(&self, initial_members: &BTreeSet<id::Process>) {
        self.open_log_once(Some(initial_members));
    }

    fn open_log_once(&self, initial_members: Option<&BTreeSet<id::Process>>) {
        let Some(this) = self
            .weak_self
            .upgrade()
            .filter(|_| self.replica().is_none())
        else {
            return;
        };
        if let Err(error) = this.open_log(initial_members.cloned()) {
            log::error!(target: "log", error:% = error; "could not open the control log");
        }
    }
}

/// Whether an instance is the one to choose the initial members, as far as it knows from what the
/// connected `peers` said of themselves.
fn is_chooser(own: &Peer, is_first_start: bool, seeds: &[id::Process], peers: &[Peer]) -> bool {
    let controls = || peers.iter().filter(|peer| peer.role == Role::Control);
    let has_log = |peer: &Peer| peer.has_disk && !peer.has_empty_disk;
    if !seeds.contains(&own.process) || controls().any(has_log) {
        return false;
    }
    let is_known = |seed: &id::Process, property: &dyn Fn(&Peer) -> bool| {
        controls().any(|peer| peer.process == *seed && property(peer))
    };
    if !own.has_disk {
        let mut others = seeds.iter().filter(|seed| **seed != own.process);
        return is_first_start
            && others.all(|seed| *seed > own.process && is_known(seed, &|peer| !peer.has_disk));
    }
    let never_chooses = |peer: &Peer| !peer.has_disk || !peer.may_bootstrap;
    let mut lower = seeds.iter().filter(|seed| **seed < own.process);
    own.may_bootstrap && lower.all(|seed| is_known(seed, &never_chooses))
}

#[cfg(test)]
#[path = "bootstrap_tests.rs"]
mod tests;
