//! The buckets that this process owns as primary of their shards.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use celerycove_control::placement::Assignment;
use celerycove_limit::{
    Loan, Owner,
    owner::{Entitlement, LONGEST_LOAN},
};
use celerycove_types::id;
use celerycove_wire::method;

use crate::{peer::Peers, process::Process, share::Share};

/// The owners of this process, by shard.
pub(crate) struct Limits {
    process: Arc<Process>,
    share: Arc<Share>,
    owners: BTreeMap<id::Shard, (id::Epoch, Owner)>,
}

impl Limits {
    pub(crate) fn new(process: &Arc<Process>, share: &Arc<Share>) -> Self {
        Self {
            process: process.clone(),
            share: share.clone(),
            owners: BTreeMap::new(),
        }
    }

    /// How old the proof may be that this process still owns, before it lends nothing: shorter
    /// than the silence after which another owner may be named.
    fn authority(&self) -> Duration {
        self.process.settings.process.silence.0 * 3 / 4
    }

    pub(crate) fn lend(&mut self, ask: &method::Ask) -> Option<Loan> {
        let now = self.process.now();
        let age = self.share.age(now)?;
        if age >= self.authority() {
            return None;
        }
        let (_, owner) = self.owners.get_mut(&ask.shard)?;
        let view = self.share.view();
        let organisation = view.config.organisations.get(&ask.ask.organisation)?;
        let entitlement = Entitlement {
            rate: organisation.rate,
            burst: organisation.burst,
        };
        let loan = owner.lend(now, &ask.ask, entitlement);
        debug_assert_eq!(
            owner.check(|id| (*id == ask.ask.organisation).then_some(entitlement)),
            Ok(())
        );
        Some(loan)
    }

    /// Follows an assignment: begins to own, or hands over.
    pub(crate) fn assign(
        &mut self,
        shard: id::Shard,
        placed: &Assignment,
        primary: bool,
        peers: &Arc<Peers>,
    ) {
        if primary {
            self.begin(shard, placed);
            return;
        }
        let Some((_, owner)) = self.owners.remove(&shard) else {
            return;
        };
        let Some(next) = &placed.primary else {
            return;
        };
        let inherit = method::Inherit {
            shard,
            epoch: placed.epoch,
            sent: self.process.now(),
            buckets: owner.bequeath(),
        };
        let (peers, next) = (peers.clone(), next.process.clone());
        tokio::spawn(async move {
            // Without the hand-over, the next owner waits until every loan has run out.
            if let Err(error) = peers.ask::<_, ()>(&next, method::INHERIT, &inherit).await {
                log::info!(target: "limit", shard, to:% = next, error:% = error;
                    "could not hand buckets over");
            }
        });
    }

    fn begin(&mut self, shard: id::Shard, placed: &Assignment) {
        if let Some((epoch, _)) = self.owners.get_mut(&shard) {
            // The owner stays; only the backups changed.
            *epoch = placed.epoch;
            return;
        }
        let first = placed.epoch == 1;
        let wait = if first {
            Duration::ZERO
        } else {
            self.authority() + LONGEST_LOAN
        };
        let owner = Owner::new(placed.epoch, self.process.now() + wait);
        self.owners.insert(shard, (placed.epoch, owner));
    }

    pub(crate) fn inherit(&mut self, inherit: method::Inherit) {
        let now = self.process.now();
        let (_, owner) = self.owners.entry(inherit.shard).or_insert_with(|| {
            // The hand-over may come before the assignment.
            (inherit.epoch, Owner::new(inherit.epoch, now))
        });
        owner.inherit(now, inherit.sent, inherit.buckets);
    }
}
