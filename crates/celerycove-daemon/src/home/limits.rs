//! The buckets that this process owns as primary of their shards.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use celerycove_control::placement::Assignment;
use celerycove_limit::{Loan, Seat, owner::Entitlement};
use celerycove_types::id;
use celerycove_wire::method;

use crate::{peer::Peers, process::Process, share::Share};

/// The seats of this process, by shard.
pub(crate) struct Limits {
    process: Arc<Process>,
    share: Arc<Share>,
    seats: BTreeMap<id::Shard, Seat>,
    /// Estates that came before the assignment that they belong to.
    early: BTreeMap<id::Shard, method::Inherit>,
}

impl Limits {
    pub(crate) fn new(process: &Arc<Process>, share: &Arc<Share>) -> Self {
        Self {
            process: process.clone(),
            share: share.clone(),
            seats: BTreeMap::new(),
            early: BTreeMap::new(),
        }
    }

    /// How long after the last proof an owner may lend: shorter than the silence after which
    /// another owner may be named.
    fn authority(&self) -> Duration {
        self.process.settings.process.silence.0 * 3 / 4
    }

    pub(crate) fn lend(&mut self, ask: &method::Ask) -> Option<Loan> {
        let now = self.process.now();
        let age = self.share.age(now)?;
        let seat = self.seats.get_mut(&ask.shard)?;
        let view = self.share.view();
        let organisation = view.config.organisations.get(&ask.ask.organisation)?;
        let entitlement = Entitlement {
            rate: organisation.rate,
            burst: organisation.burst,
        };
        let loan = seat.lend(now, age, &ask.ask, entitlement);
        debug_assert_eq!(
            seat.check(|id| (*id == ask.ask.organisation).then_some(entitlement)),
            Ok(())
        );
        loan
    }

    /// Follows an assignment: takes the seat, or leaves it to the next owner.
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
        let (Some(seat), Some(next)) = (self.seats.remove(&shard), &placed.primary) else {
            return;
        };
        let now = self.process.now();
        let Some(estate) = seat.leave(now) else {
            return;
        };
        let inherit = method::Inherit {
            shard,
            epoch: placed.since,
            sent: now,
            estate,
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
        let (now, authority) = (self.process.now(), self.authority());
        // An owner that stays needs no new seat; one that was replaced meanwhile does, even if it
        // never heard of the owner in between.
        let stays = self
            .seats
            .get(&shard)
            .is_some_and(|seat| seat.began() == placed.since);
        if !stays {
            let first = placed.since == 1;
            let seat = Seat::begin(placed.since, now, authority, first);
            self.seats.insert(shard, seat);
        }
        if let Some(early) = self.early.remove(&shard) {
            self.inherit(early);
        }
    }

    pub(crate) fn inherit(&mut self, inherit: method::Inherit) {
        let now = self.process.now();
        let Some(seat) = self.seats.get_mut(&inherit.shard) else {
            self.early.insert(inherit.shard, inherit);
            return;
        };
        if !seat.inherit(inherit.epoch, now, inherit.sent, inherit.estate) {
            log::info!(target: "limit", shard = inherit.shard, epoch = inherit.epoch;
                "refused buckets of another epoch");
        }
    }
}
