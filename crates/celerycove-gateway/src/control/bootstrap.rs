//! Bootstraps the control log when the whole system starts for the first time.
//!
//! The settings of all processes name the same few control instances as seeds. The seed with the
//! lowest name chooses the initial members once and sends them to all control instances until the
//! log has a leader. It needs no disk to remember that: the settings of an instance that is started
//! again say that the system does not start for the first time, so the members are never chosen
//! twice.

use std::collections::{BTreeMap, BTreeSet};

use celerycove_control::membership;
use celerycove_types::{Timestamp, id};

use super::{
    Control,
    maintenance::{BOOTSTRAP_WAIT, ROUND_INTERVAL},
};
use crate::{Setup, clock, link::lock, message::Frame, setup::Role};

/// The progress of the instance that chooses the initial members.
#[derive(Debug, Default)]
pub(super) enum Bootstrap {
    /// This process chooses no members: another one does, or the log exists already.
    #[default]
    Inactive,
    /// It waits for instances with a disk to connect.
    Waiting {
        /// When the first of them was known.
        since: Option<Timestamp>,
    },
    /// It has chosen the members.
    Chosen(BTreeSet<id::Process>),
}

impl Bootstrap {
    pub(super) fn new(setup: &Setup) -> Self {
        let first_seed = setup.seed_processes().into_iter().min();
        let has_no_log = setup.data_dir.is_none() || setup.may_bootstrap_log();
        if setup.bootstrap && has_no_log && first_seed == Some(setup.process()) {
            Self::Waiting { since: None }
        } else {
            Self::Inactive
        }
    }
}

impl Control {
    /// Chooses the initial members after [`BOOTSTRAP_WAIT`], and sends them to all control
    /// instances until a leader is known.
    pub(super) fn advance_bootstrap(&self) {
        if self.leader().is_some() {
            *lock(&self.bootstrap) = Bootstrap::Inactive;
            return;
        }
        let members = match &mut *lock(&self.bootstrap) {
            Bootstrap::Inactive => return,
            Bootstrap::Chosen(members) => members.clone(),
            bootstrap @ Bootstrap::Waiting { .. } => {
                let Some(members) = self.choose_initial_members(bootstrap) else {
                    return;
                };
                log::info!(target: "place", members:? = members; "initial members of the control log chosen");
                *bootstrap = Bootstrap::Chosen(members.clone());
                members
            }
        };
        self.broadcaster
            .send_to(&Frame::InitialMembers(members.clone()), |peer| {
                peer.role == Role::Control
            });
        self.bootstrap_log(&members);
    }

    /// Returns the initial members, or `None` while instances may still be connecting.
    fn choose_initial_members(&self, bootstrap: &mut Bootstrap) -> Option<BTreeSet<id::Process>> {
        let Bootstrap::Waiting { since } = bootstrap else {
            return None;
        };
        let peers = self.fleet_state.peers(Role::Control);
        let candidates: BTreeMap<_, _> = peers
            .into_iter()
            .filter(|status| status.peer.may_bootstrap && status.silent < ROUND_INTERVAL * 4)
            .map(|status| (status.peer.process, status.peer.data_centre))
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let now = clock::now();
        let began = *since.get_or_insert(now);
        (now >= began + BOOTSTRAP_WAIT)
            .then(|| membership::initial_members(&candidates, self.setup.target_members()))
    }

    /// Opens the log with its initial members, unless it is open.
    pub(super) fn bootstrap_log(&self, initial_members: &BTreeSet<id::Process>) {
        let Some(this) = self
            .weak_self
            .upgrade()
            .filter(|_| self.replica().is_none())
        else {
            return;
        };
        if let Err(error) = this.open_log(Some(initial_members.clone())) {
            log::error!(target: "log", error:% = error; "could not open the control log");
        }
    }
}
