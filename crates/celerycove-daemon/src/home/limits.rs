//! The rate-limit token buckets that this process owns as primary of their shards.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use celerycove_control::placement::Assignment;
use celerycove_limit::{Lease, Ownership, owner::Entitlement};
use celerycove_types::id;
use celerycove_wire::method;

use crate::{peer::Peers, process::Process, state::SharedState};

/// The token buckets that this process owns, by shard.
pub(crate) struct Buckets {
    process: Arc<Process>,
    state: Arc<SharedState>,
    ownerships: BTreeMap<id::Shard, Ownership>,
    /// Buckets handed over before this process received the assignment that they belong to.
    early_handovers: BTreeMap<id::Shard, method::BucketTransfer>,
}

impl Buckets {
    pub(crate) fn new(process: &Arc<Process>, state: &Arc<SharedState>) -> Self {
        Self {
            process: process.clone(),
            state: state.clone(),
            ownerships: BTreeMap::new(),
            early_handovers: BTreeMap::new(),
        }
    }

    /// Returns how long an owner may lease tokens after its ownership was last confirmed. This is
    /// shorter than the time without contact after which another owner may be assigned.
    fn leasing_period(&self) -> Duration {
        self.process.settings.process.failure_timeout.0 * 3 / 4
    }

    /// Leases tokens; `None` if this process does not own the bucket or may not lease them now.
    pub(crate) fn lease(&mut self, request: &method::TokenRequest) -> Option<Lease> {
        let now = self.process.now();
        let age = self.state.age(now)?;
        let ownership = self.ownerships.get_mut(&request.shard)?;
        let view = self.state.view();
        let organisation = view.config.organisations.get(&request.ask.organisation)?;
        let entitlement = Entitlement {
            rate: organisation.rate,
            burst: organisation.burst,
        };
        let lease = ownership.grant(now, age, &request.ask, entitlement);
        debug_assert_eq!(
            ownership.check(|id| (*id == request.ask.organisation).then_some(entitlement)),
            Ok(())
        );
        lease
    }

    /// Applies an assignment: takes ownership of the shard's buckets as its primary; otherwise
    /// hands them over to the new primary, if this process owned them.
    pub(crate) fn assign(
        &mut self,
        shard: id::Shard,
        assignment: &Assignment,
        primary: bool,
        peers: &Arc<Peers>,
    ) {
        if primary {
            self.take_ownership(shard, assignment);
            return;
        }
        let (Some(ownership), Some(next_owner)) =
            (self.ownerships.remove(&shard), &assignment.primary)
        else {
            return;
        };
        let now = self.process.now();
        let Some(handover) = ownership.hand_over(now) else {
            return;
        };
        let transfer = method::BucketTransfer {
            shard,
            epoch: assignment.serving_since,
            sent: now,
            estate: handover,
        };
        let (peers, next_owner) = (peers.clone(), next_owner.process.clone());
        tokio::spawn(async move {
            // If the hand-over is lost, the next owner waits until every lease has expired.
            if let Err(error) = peers
                .call::<_, ()>(&next_owner, method::TRANSFER_BUCKETS, &transfer)
                .await
            {
                log::info!(target: "limit", shard, to:% = next_owner, error:% = error;
                    "could not hand over token buckets");
            }
        });
    }

    fn take_ownership(&mut self, shard: id::Shard, assignment: &Assignment) {
        let (now, leasing_period) = (self.process.now(), self.leasing_period());
        // An owner that stays the same keeps its ownership. One that was replaced in the meantime
        // gets a new ownership, even if it never received the assignment in between.
        let is_same_owner = self
            .ownerships
            .get(&shard)
            .is_some_and(|ownership| ownership.epoch() == assignment.serving_since);
        if !is_same_owner {
            let first = assignment.serving_since == 1;
            let ownership = Ownership::new(assignment.serving_since, now, leasing_period, first);
            self.ownerships.insert(shard, ownership);
        }
        if let Some(transfer) = self.early_handovers.remove(&shard) {
            self.accept_handover(transfer);
        }
    }

    /// Accepts buckets from their previous owner, now or once this process owns their shard.
    pub(crate) fn accept_handover(&mut self, transfer: method::BucketTransfer) {
        let now = self.process.now();
        let Some(ownership) = self.ownerships.get_mut(&transfer.shard) else {
            self.early_handovers.insert(transfer.shard, transfer);
            return;
        };
        if !ownership.take_over(transfer.epoch, now, transfer.sent, transfer.estate) {
            log::info!(target: "limit", shard = transfer.shard, epoch = transfer.epoch;
                "refused token buckets of another epoch");
        }
    }
}
