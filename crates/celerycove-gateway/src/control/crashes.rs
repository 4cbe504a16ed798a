//! Passes evidence of crashes of backend servers on between the entries.
//!
//! An entry tells the control leader and the control instances of its data centre. Each of them tells
//! all entries and the other control instances what is new, so the loss of one does not matter.

use std::time::Duration;

use celerycove_quarantine::{Evidence, table::Origin};
use celerycove_types::{Timestamp, id};

use super::Control;
use crate::{
    clock,
    link::{Sender, lock},
    message::{Frame, Peer},
    setup::Role,
};

/// How long evidence is sent again after it changed: a process that missed all of these messages has
/// been cut off, and gets the whole evidence when it connects again.
const REPEAT_PERIOD: Duration = Duration::from_mins(1);

impl Control {
    /// Merges evidence from an entry or another control instance and passes on what is new: to all
    /// from an entry, and otherwise to the entries of this data centre, which may be unable to reach
    /// the instance that told it.
    pub(super) fn merge_crashes(&self, from: &id::Process, evidence: Evidence) {
        let new = lock(&self.crashes).merge(clock::now(), evidence, Origin::Told);
        if new.is_empty() {
            return;
        }
        let controls = self.fleet_state.peers(Role::Control);
        let is_from_entry = controls.iter().all(|known| known.peer.process != *from);
        let frame = Frame::Crashes(new.into());
        self.broadcaster.send_to(&frame, |peer| {
            peer.process != *from && self.is_told(peer, is_from_entry)
        });
    }

    fn is_told(&self, peer: &Peer, to_all: bool) -> bool {
        match peer.role {
            Role::Store => false,
            Role::Control => to_all,
            Role::Entry => to_all || peer.data_centre == self.setup.data_centre,
        }
    }

    /// Sends all evidence to a process that has just connected.
    pub(super) fn send_known_crashes(&self, peer: &Peer, sender: &Sender) {
        if peer.role == Role::Store {
            return;
        }
        for message in lock(&self.crashes).messages(clock::now()) {
            sender.send(&Frame::Crashes(message.into()));
        }
    }

    /// Sends part of the recent evidence again, since messages may be lost: the leader to all, the
    /// others to the entries of their data centre.
    pub(super) fn repeat_crashes(&self, now: Timestamp) {
        let evidence = {
            let mut crashes = lock(&self.crashes);
            crashes.remove_expired(now);
            crashes.repeat(now, REPEAT_PERIOD, Origin::Told)
        };
        if !evidence.is_empty() {
            let to_all = self.leader_term().is_some();
            let frame = Frame::Crashes(evidence.into());
            self.broadcaster
                .send_to(&frame, |peer| self.is_told(peer, to_all));
        }
    }
}
