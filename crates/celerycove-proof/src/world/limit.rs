//! Leased tokens under owners who change, entries that die, clocks that drift and late messages.

use std::time::Duration;

use celerycove_limit::{Handover, Holder, Lease, Ownership, Request, owner::Entitlement};
use celerycove_types::{Timestamp, Violation, id};
use rand::RngExt;

use crate::net::{DRIFT, Net, Place};

const OWNERS: usize = 3;
const ENTRIES: usize = 3;
/// The authority that names owners stands for the control log.
const AUTHORITY: Place = OWNERS + ENTRIES;
const PLACES: usize = AUTHORITY + 1;
const TICK: Duration = Duration::from_millis(40);
const PROOF: Duration = Duration::from_millis(700);
/// How long the run may take to lend again once all faults are healed.
const RECOVERY: Duration = Duration::from_secs(8);

#[derive(Debug, Clone)]
enum Input {
    Tick,
    /// Asks the authority who owns.
    Pull(Asker),
    /// The epoch, since which epoch its owner serves, and who it is.
    Owner(id::Epoch, id::Epoch, Place, Asker),
    Ask(Asker, Request),
    Lease(Lease, Asker),
    Inherit(id::Epoch, Timestamp, Handover),
}

/// Who asked and when by its own clock; an answer to an earlier life reaches nobody.
#[derive(Debug, Clone, Copy)]
struct Asker {
    place: Place,
    life: u64,
    asked: Timestamp,
}

#[derive(Default)]
struct Owner {
    epoch: id::Epoch,
    proved: Option<Timestamp>,
    ownership: Option<Ownership>,
    early: Option<(id::Epoch, Timestamp, Handover)>,
}

struct Entry {
    holder: Holder,
    owner: Place,
    /// How eagerly it spends now.
    demand: f64,
}

struct World {
    net: Net<Input>,
    entitlement: Entitlement,
    owners: Vec<Owner>,
    entries: Vec<Entry>,
    epoch: id::Epoch,
    since: id::Epoch,
    owner: Place,
    /// The bucket that the organisation is owed, in true time.
    level: f64,
    filled: Timestamp,
    spent: u64,
    lives: Vec<u64>,
    faults: bool,
}

/// Runs from a seed.
///
/// # Errors
///
/// Returns the first broken invariant.
pub fn run(seed: u64, steps: usize, step: &mut usize) -> Result<u64, Violation> {
    let mut world = World::new(seed);
    for at in 0..steps {
        *step = at;
        world.step()?;
    }
    world.recover()?;
    Ok(world.spent)
}

fn organisation() -> id::Organisation {
    "org".into()
}

impl World {
    fn new(seed: u64) -> Self {
        let mut net = Net::new(seed, PLACES);
        let entitlement = Entitlement {
            rate: net.rng.random_range(2.0..200.0),
            burst: net.rng.random_range(1..100),
        };
        for place in 0..PLACES {
            net.after(TICK, place, Input::Tick);
        }
        Self {
            entitlement,
            owners: (0..OWNERS).map(|_| Owner::default()).collect(),
            entries: (0..ENTRIES).map(|_| new_entry()).collect(),
            epoch: 1,
            since: 1,
            owner: 0,
            level: f64::from(entitlement.burst),
            filled: net.now(),
            spent: 0,
            lives: vec![0; PLACES],
            faults: true,
            net,
        }
    }

    fn step(&mut self) -> Result<(), Violation> {
        let Some((to, input)) = self.net.pop() else {
            return Ok(());
        };
        if matches!(input, Input::Tick) {
            self.net.after(TICK, to, Input::Tick);
        }
        if to < OWNERS {
            self.owner_input(to, input)
        } else if to < AUTHORITY {
            self.entry_input(to, input)
        } else {
            self.authority_input(&input);
            Ok(())
        }
    }

    fn authority_input(&mut self, input: &Input) {
        match input {
            Input::Pull(asker) => {
                let owner = Input::Owner(self.epoch, self.since, self.owner, *asker);
                self.net.send(AUTHORITY, asker.place, owner);
            }
            Input::Tick if self.faults => self.disturb(),
            _ => {}
        }
    }

    fn disturb(&mut self) {
        if self.net.chance(0.03) {
            self.epoch += 1;
            let owner = self.net.below(OWNERS);
            if owner != self.owner {
                self.since = self.epoch;
            }
            self.owner = owner;
        }
        if self.net.chance(0.02) {
            // An owner dies and comes back without its ownership.
            let owner = self.net.below(OWNERS);
            self.owners[owner] = Owner::default();
            self.lives[owner] += 1;
            if owner == self.owner {
                self.epoch += 1;
                self.since = self.epoch;
            }
        }
        if self.net.chance(0.02) {
            let entry = self.net.below(ENTRIES);
            self.entries[entry] = new_entry();
            self.lives[OWNERS + entry] += 1;
        }
        if self.net.chance(0.1) {
            let entry = self.net.below(ENTRIES);
            self.entries[entry].demand = self.net.rng.random_range(0.0..4.0);
        }
        if self.net.chance(0.03) {
            let place = self.net.below(PLACES);
            self.net.isolate(place, PLACES);
        }
        // Cuts outlast the proof of ownership, so that an owner may be replaced unawares.
        if self.net.chance(0.02) {
            self.net.heal();
        }
    }

    fn owner_input(&mut self, to: Place, input: Input) -> Result<(), Violation> {
        let now = self.net.clock(to);
        match input {
            Input::Tick => {
                let asker = self.asker(to);
                self.net.send(to, AUTHORITY, Input::Pull(asker));
            }
            Input::Owner(epoch, since, owner, asker) if asker.life == self.lives[to] => {
                self.follow(to, epoch, since, owner, asker.asked);
            }
            Input::Inherit(epoch, at, estate) => {
                log::trace!(
                    "{:?} owner {to} inherits in {epoch} {estate:?} sent {at:?} now {now:?}",
                    self.net.now()
                );
                match &mut self.owners[to].ownership {
                    Some(ownership) => {
                        ownership.take_over(epoch, now, at, estate);
                    }
                    None => self.owners[to].early = Some((epoch, at, estate)),
                }
            }
            Input::Ask(asker, ask) => {
                let owner = &mut self.owners[to];
                let age = owner.proved.map(|proved| now.saturating_sub(proved));
                let entitlement = self.entitlement;
                let lease = match (&mut owner.ownership, age) {
                    (Some(ownership), Some(age)) => ownership.grant(now, age, &ask, entitlement),
                    _ => None,
                };
                if let Some(ownership) = &owner.ownership {
                    ownership.check(|_| Some(entitlement))?;
                }
                log::trace!(
                    "{:?} owner {to} epoch {} age {age:?} takes {ask:?} and gives {lease:?}",
                    self.net.now(),
                    owner.epoch
                );
                if let Some(lease) = lease {
                    self.net.send(to, asker.place, Input::Lease(lease, asker));
                }
            }
            Input::Pull(_) | Input::Lease(..) | Input::Owner(..) => {}
        }
        Ok(())
    }

    fn asker(&self, place: Place) -> Asker {
        Asker {
            place,
            life: self.lives[place],
            asked: self.net.clock(place),
        }
    }

    fn follow(
        &mut self,
        to: Place,
        epoch: id::Epoch,
        since: id::Epoch,
        owner: Place,
        asked: Timestamp,
    ) {
        let now = self.net.clock(to);
        let own = &mut self.owners[to];
        log::trace!("{now:?} owner {to} hears that {owner} owns in {epoch}");
        if epoch < own.epoch {
            return;
        }
        own.proved = own.proved.max(Some(asked));
        if epoch == own.epoch {
            return;
        }
        own.epoch = epoch;
        if owner == to {
            let stays = own
                .ownership
                .as_ref()
                .is_some_and(|ownership| ownership.epoch() == since);
            if !stays {
                own.ownership = Some(Ownership::new(since, now, PROOF, since == 1));
            }
            if let (Some(ownership), Some((epoch, at, estate))) =
                (&mut own.ownership, own.early.take())
            {
                ownership.take_over(epoch, now, at, estate);
            }
        } else if let Some(estate) = own
            .ownership
            .take()
            .and_then(|ownership| ownership.hand_over(now))
        {
            let inherit = Input::Inherit(since, now, estate);
            self.net.send(to, owner, inherit);
        }
    }

    fn entry_input(&mut self, to: Place, input: Input) -> Result<(), Violation> {
        let entry = to - OWNERS;
        match input {
            Input::Tick => {
                if self.net.chance(0.3) {
                    let asker = self.asker(to);
                    self.net.send(to, AUTHORITY, Input::Pull(asker));
                }
                self.spend(entry)?;
                self.ask(entry);
            }
            Input::Owner(_, _, owner, _) => self.entries[entry].owner = owner,
            Input::Lease(lease, asker) if asker.life == self.lives[to] => {
                self.entries[entry].holder.accept(asker.asked, &lease);
            }
            _ => {}
        }
        Ok(())
    }

    fn ask(&mut self, entry: usize) {
        let place = OWNERS + entry;
        let now = self.net.clock(place);
        let state = &self.entries[entry];
        let owner = state.owner;
        if let Some(back) = state.holder.return_expired(now, &organisation()) {
            let asker = self.asker(place);
            self.net.send(place, owner, Input::Ask(asker, back));
        }
        if self.entries[entry].holder.needs_tokens(now) {
            let waiting = u32::try_from(self.net.below(20)).unwrap_or(0);
            let ask = self.entries[entry]
                .holder
                .request(now, &organisation(), waiting);
            let asker = self.asker(place);
            self.net.send(place, owner, Input::Ask(asker, ask));
        }
    }

    /// Spends what it can, and checks each spend against what the organisation is owed.
    fn spend(&mut self, entry: usize) -> Result<(), Violation> {
        let now = self.net.clock(OWNERS + entry);
        let wanted = self.entitlement.rate * TICK.as_secs_f64() * self.entries[entry].demand;
        let whole = u32::from(self.net.rng.random_bool(wanted.fract()));
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wanted = wanted.floor() as u32 + whole;
        for _ in 0..wanted {
            if self.entries[entry].holder.spend(now) {
                self.account()?;
            }
        }
        Ok(())
    }

    fn account(&mut self) -> Result<(), Violation> {
        const ROUNDING: f64 = 1e-3;
        let now = self.net.now();
        let elapsed = now.saturating_sub(self.filled).as_secs_f64();
        // The owner's clock may be fast by the drift, which every rate limit bears.
        let refill = elapsed * self.entitlement.rate * (1.0 + 2.0 * DRIFT);
        log::trace!("{now:?} spends from {:.2}", self.level + refill);
        self.level = (self.level + refill).min(f64::from(self.entitlement.burst)) - 1.0;
        self.filled = now;
        self.spent += 1;
        Violation::unless(self.level >= -ROUNDING, "rate-and-burst", || {
            format!(
                "{} over {:?} after {} requests",
                -self.level, self.entitlement, self.spent
            )
        })
    }

    /// Heals everything and expects tokens to be lent again.
    fn recover(&mut self) -> Result<(), Violation> {
        self.faults = false;
        self.net.calm();
        for entry in &mut self.entries {
            entry.demand = 1.0;
        }
        let before = self.spent;
        let deadline = self.net.now() + RECOVERY;
        while self.net.now() < deadline {
            self.step()?;
            if self.spent > before + 3 {
                return Ok(());
            }
        }
        Violation::unless(false, "lends-again", || {
            format!("{before} then {}", self.spent)
        })
    }
}

fn new_entry() -> Entry {
    Entry {
        holder: Holder::default(),
        owner: 0,
        demand: 1.5,
    }
}
