//! How the control log is founded when the whole system starts for the first time.
//!
//! The settings name the same few control instances to all. The first of them names the members,
//! once in its life, and tells all control instances until the log has a leader. It needs no disk: an
//! instance that starts again is told that the system does not start for the first time, so nobody
//! names members twice.

use std::collections::{BTreeMap, BTreeSet};

use celerycove_control::membership;
use celerycove_types::{Timestamp, id};

use super::{
    Control,
    keep::{GATHER, ROUND},
};
use crate::{Setup, clock, link::lock, message::Frame, setup::Role};

/// What the instance that names the first members remembers.
#[derive(Debug, Default)]
pub(super) enum Founding {
    /// It names nobody: another one does, or that was done in an earlier life.
    #[default]
    Never,
    /// It waits for instances with a disk to appear.
    Gathering {
        /// Since when it has heard of one.
        since: Option<Timestamp>,
    },
    /// It has named the members.
    Named(BTreeSet<id::Process>),
}

impl Founding {
    pub(super) fn new(setup: &Setup) -> Self {
        let first = setup.seed_processes().into_iter().min();
        let fresh = setup.data.is_none() || setup.may_found();
        if setup.bootstrap && fresh && first == Some(setup.process()) {
            Self::Gathering { since: None }
        } else {
            Self::Never
        }
    }
}

impl Control {
    /// Names the first members once enough are there, and tells them until a leader is known.
    pub(super) fn found(&self) {
        if self.leader().is_some() {
            *lock(&self.founding) = Founding::Never;
            return;
        }
        let named = match &mut *lock(&self.founding) {
            Founding::Never => return,
            Founding::Named(members) => members.clone(),
            founding @ Founding::Gathering { .. } => {
                let Some(members) = self.gather(founding) else {
                    return;
                };
                log::info!(target: "place", members:? = members; "first members of the control log named");
                *founding = Founding::Named(members.clone());
                members
            }
        };
        self.spread.send_to(&Frame::Found(named.clone()), |peer| {
            peer.role == Role::Control
        });
        self.take_founders(&named);
    }

    fn gather(&self, founding: &mut Founding) -> Option<BTreeSet<id::Process>> {
        let Founding::Gathering { since } = founding else {
            return None;
        };
        let seen = self.picture.peers(Role::Control);
        let there: BTreeMap<_, _> = seen
            .into_iter()
            .filter(|seen| seen.peer.founder && seen.silent < ROUND * 4)
            .map(|seen| (seen.peer.process, seen.peer.data_centre))
            .collect();
        if there.is_empty() {
            return None;
        }
        let now = clock::now();
        let began = *since.get_or_insert(now);
        (now >= began + GATHER).then(|| membership::founders(&there, self.setup.members()))
    }

    /// Opens the log with its first members, unless it is open.
    pub(super) fn take_founders(&self, founders: &BTreeSet<id::Process>) {
        let Some(this) = self.this.upgrade().filter(|_| self.group().is_none()) else {
            return;
        };
        if let Err(error) = this.open_group(Some(founders.clone())) {
            log::error!(target: "log", error:% = error; "the control log could not be opened");
        }
    }
}
