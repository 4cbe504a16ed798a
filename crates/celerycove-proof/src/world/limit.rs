//! Leased rate-limit tokens while owners change, entry instances restart, clocks drift and messages
//! are delayed.

use std::time::Duration;

use celerycove_limit::{Handover, Holder, Lease, Ownership, Request, owner::Entitlement};
use celerycove_types::{Timestamp, Violation, id};
use rand::RngExt;

use crate::net::{MAX_CLOCK_DRIFT, Network, ProcessIndex};

const OWNERS: usize = 3;
const ENTRIES: usize = 3;
/// The process that assigns owners; it stands in for the control log.
const CONTROL: ProcessIndex = OWNERS + ENTRIES;
const PROCESSES: usize = CONTROL + 1;
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// How long an owner may lend after the control process has confirmed its ownership.
const OWNERSHIP_PROOF_VALIDITY: Duration = Duration::from_millis(700);
/// Time within which tokens must be lent again after all faults have stopped.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);

#[derive(Debug, Clone)]
enum Input {
    Tick,
    /// Asks which process is the owner.
    QueryOwner(Requester),
    /// The current epoch, the epoch since which its owner has served, and the owner.
    Owner(id::Epoch, id::Epoch, ProcessIndex, Requester),
    Request(Requester, Request),
    Lease(Lease, Requester),
    /// State that the previous owner hands over to the owner of an epoch, and when it was sent.
    Handover(id::Epoch, Timestamp, Handover),
}

/// The sender of a request and the time on its own clock. A reply to an earlier incarnation of the
/// process is ignored.
#[derive(Debug, Clone, Copy)]
struct Requester {
    process: ProcessIndex,
    incarnation: u64,
    sent_at: Timestamp,
}

#[derive(Default)]
struct Owner {
    epoch: id::Epoch,
    /// When the latest query was sent that the control process answered, on this process's clock.
    ownership_proved: Option<Timestamp>,
    /// The buckets that it owns; `None` while another process is the owner.
    lender: Option<Ownership>,
    /// A handover that arrived before this process learned of the epoch, and when it was sent.
    early_handover: Option<(id::Epoch, Timestamp, Handover)>,
}

struct Entry {
    /// Tokens on lease from the owner.
    tokens: Holder,
    owner: ProcessIndex,
    /// Requests that arrive, as a multiple of the rate.
    demand: f64,
}

struct Simulation {
    net: Network<Input>,
    entitlement: Entitlement,
    owners: Vec<Owner>,
    entries: Vec<Entry>,
    epoch: id::Epoch,
    owner_since: id::Epoch,
    owner: ProcessIndex,
    /// Level of the reference token bucket, refilled in true time.
    reference_tokens: f64,
    refilled_at: Timestamp,
    spent: u64,
    /// Counts the restarts of each process.
    incarnations: Vec<u64>,
    faults_enabled: bool,
}

/// Runs `steps` steps with faults, then stops the faults and checks that progress resumes. `step`
/// is set to the step that runs. Returns the number of tokens spent.
///
/// # Errors
///
/// Returns the first invariant violation.
pub fn run(seed: u64, steps: usize, step: &mut usize) -> Result<u64, Violation> {
    let mut simulation = Simulation::new(seed);
    for current in 0..steps {
        *step = current;
        simulation.step()?;
    }
    simulation.check_recovery()?;
    Ok(simulation.spent)
}

fn organisation() -> id::Organisation {
    "org".into()
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut net = Network::new(seed, PROCESSES);
        let entitlement = Entitlement {
            rate: net.rng.random_range(2.0..200.0),
            burst: net.rng.random_range(1..100),
        };
        for process in 0..PROCESSES {
            net.schedule(TICK_INTERVAL, process, Input::Tick);
        }
        Self {
            entitlement,
            owners: (0..OWNERS).map(|_| Owner::default()).collect(),
            entries: (0..ENTRIES).map(|_| new_entry()).collect(),
            epoch: 1,
            owner_since: 1,
            owner: 0,
            reference_tokens: f64::from(entitlement.burst),
            refilled_at: net.now(),
            spent: 0,
            incarnations: vec![0; PROCESSES],
            faults_enabled: true,
            net,
        }
    }

    fn step(&mut self) -> Result<(), Violation> {
        let Some((to, input)) = self.net.next_event() else {
            return Ok(());
        };
        if matches!(input, Input::Tick) {
            self.net.schedule(TICK_INTERVAL, to, Input::Tick);
        }
        if to < OWNERS {
            self.handle_owner_input(to, input)
        } else if to < CONTROL {
            self.handle_entry_input(to, input)
        } else {
            self.handle_control_input(&input);
            Ok(())
        }
    }

    fn handle_control_input(&mut self, input: &Input) {
        match input {
            Input::QueryOwner(requester) => {
                let owner = Input::Owner(self.epoch, self.owner_since, self.owner, *requester);
                self.net.send(CONTROL, requester.process, owner);
            }
            Input::Tick if self.faults_enabled => self.inject_faults(),
            _ => {}
        }
    }

    fn inject_faults(&mut self) {
        if self.net.chance(0.03) {
            self.epoch += 1;
            let owner = self.net.random_below(OWNERS);
            if owner != self.owner {
                self.owner_since = self.epoch;
            }
            self.owner = owner;
        }
        if self.net.chance(0.02) {
            // An owner restarts and loses its state.
            let owner = self.net.random_below(OWNERS);
            self.owners[owner] = Owner::default();
            self.incarnations[owner] += 1;
            if owner == self.owner {
                self.epoch += 1;
                self.owner_since = self.epoch;
            }
        }
        if self.net.chance(0.02) {
            let entry = self.net.random_below(ENTRIES);
            self.entries[entry] = new_entry();
            self.incarnations[OWNERS + entry] += 1;
        }
        if self.net.chance(0.1) {
            let entry = self.net.random_below(ENTRIES);
            self.entries[entry].demand = self.net.rng.random_range(0.0..4.0);
        }
        if self.net.chance(0.03) {
            let process = self.net.random_below(PROCESSES);
            self.net.isolate(process, PROCESSES);
        }
        // Cuts outlast the proof of ownership, so that an owner may be replaced without learning of
        // it.
        if self.net.chance(0.02) {
            self.net.restore_links();
        }
    }

    fn handle_owner_input(&mut self, to: ProcessIndex, input: Input) -> Result<(), Violation> {
        let now = self.net.clock(to);
        match input {
            Input::Tick => {
                let requester = self.requester(to);
                self.net.send(to, CONTROL, Input::QueryOwner(requester));
            }
            Input::Owner(epoch, owner_since, owner, requester)
                if requester.incarnation == self.incarnations[to] =>
            {
                self.apply_ownership(to, epoch, owner_since, owner, requester.sent_at);
            }
            Input::Handover(epoch, sent_at, buckets) => {
                log::trace!(
                    "{:?} owner {to} receives a handover for epoch {epoch}: {buckets:?} sent {sent_at:?} now {now:?}",
                    self.net.now()
                );
                match &mut self.owners[to].lender {
                    Some(lender) => {
                        lender.take_over(epoch, now, sent_at, buckets);
                    }
                    None => self.owners[to].early_handover = Some((epoch, sent_at, buckets)),
                }
            }
            Input::Request(requester, request) => {
                let owner = &mut self.owners[to];
                let age = owner
                    .ownership_proved
                    .map(|proved| now.saturating_sub(proved));
                let entitlement = self.entitlement;
                let lease = match (&mut owner.lender, age) {
                    (Some(lender), Some(age)) => lender.grant(now, age, &request, entitlement),
                    _ => None,
                };
                if let Some(lender) = &owner.lender {
                    lender.check(|_| Some(entitlement))?;
                }
                log::trace!(
                    "{:?} owner {to} epoch {} proof age {age:?}: {request:?} answered with {lease:?}",
                    self.net.now(),
                    owner.epoch
                );
                if let Some(lease) = lease {
                    self.net
                        .send(to, requester.process, Input::Lease(lease, requester));
                }
            }
            Input::QueryOwner(_) | Input::Lease(..) | Input::Owner(..) => {}
        }
        Ok(())
    }

    fn requester(&self, process: ProcessIndex) -> Requester {
        Requester {
            process,
            incarnation: self.incarnations[process],
            sent_at: self.net.clock(process),
        }
    }

    fn apply_ownership(
        &mut self,
        to: ProcessIndex,
        epoch: id::Epoch,
        owner_since: id::Epoch,
        owner: ProcessIndex,
        sent_at: Timestamp,
    ) {
        let now = self.net.clock(to);
        let state = &mut self.owners[to];
        log::trace!("{now:?} owner {to} learns that {owner} is the owner in epoch {epoch}");
        if epoch < state.epoch {
            return;
        }
        state.ownership_proved = state.ownership_proved.max(Some(sent_at));
        if epoch == state.epoch {
            return;
        }
        state.epoch = epoch;
        if owner == to {
            let continues = state
                .lender
                .as_ref()
                .is_some_and(|lender| lender.epoch() == owner_since);
            if !continues {
                state.lender = Some(Ownership::new(
                    owner_since,
                    now,
                    OWNERSHIP_PROOF_VALIDITY,
                    owner_since == 1,
                ));
            }
            if let (Some(lender), Some((epoch, sent_at, buckets))) =
                (&mut state.lender, state.early_handover.take())
            {
                lender.take_over(epoch, now, sent_at, buckets);
            }
        } else if let Some(buckets) = state.lender.take().and_then(|lender| lender.hand_over(now)) {
            let handover = Input::Handover(owner_since, now, buckets);
            self.net.send(to, owner, handover);
        }
    }

    fn handle_entry_input(&mut self, to: ProcessIndex, input: Input) -> Result<(), Violation> {
        let entry = to - OWNERS;
        match input {
            Input::Tick => {
                if self.net.chance(0.3) {
                    let requester = self.requester(to);
                    self.net.send(to, CONTROL, Input::QueryOwner(requester));
                }
                self.spend(entry)?;
                self.request_tokens(entry);
            }
            Input::Owner(_, _, owner, _) => self.entries[entry].owner = owner,
            Input::Lease(lease, requester) if requester.incarnation == self.incarnations[to] => {
                self.entries[entry].tokens.accept(requester.sent_at, &lease);
            }
            _ => {}
        }
        Ok(())
    }

    fn request_tokens(&mut self, entry: usize) {
        let process = OWNERS + entry;
        let now = self.net.clock(process);
        let state = &self.entries[entry];
        let owner = state.owner;
        if let Some(returned) = state.tokens.return_expired(now, &organisation()) {
            let requester = self.requester(process);
            self.net
                .send(process, owner, Input::Request(requester, returned));
        }
        if self.entries[entry].tokens.needs_tokens(now) {
            let waiting = u32::try_from(self.net.random_below(20)).unwrap_or(0);
            let request = self.entries[entry]
                .tokens
                .request(now, &organisation(), waiting);
            let requester = self.requester(process);
            self.net
                .send(process, owner, Input::Request(requester, request));
        }
    }

    /// Spends tokens on the requests that arrive, and checks each spend against the reference
    /// bucket.
    fn spend(&mut self, entry: usize) -> Result<(), Violation> {
        let now = self.net.clock(OWNERS + entry);
        let wanted =
            self.entitlement.rate * TICK_INTERVAL.as_secs_f64() * self.entries[entry].demand;
        let extra = u32::from(self.net.rng.random_bool(wanted.fract()));
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wanted = wanted.floor() as u32 + extra;
        for _ in 0..wanted {
            if self.entries[entry].tokens.spend(now) {
                self.check_spend()?;
            }
        }
        Ok(())
    }

    fn check_spend(&mut self) -> Result<(), Violation> {
        const ROUNDING_TOLERANCE: f64 = 1e-3;
        let now = self.net.now();
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        // The owner's clock may run fast by the drift, and the refill with it. The rate limit allows
        // this error.
        let refill = elapsed * self.entitlement.rate * (1.0 + 2.0 * MAX_CLOCK_DRIFT);
        log::trace!(
            "{now:?} spends one of {:.2} tokens",
            self.reference_tokens + refill
        );
        self.reference_tokens =
            (self.reference_tokens + refill).min(f64::from(self.entitlement.burst)) - 1.0;
        self.refilled_at = now;
        self.spent += 1;
        Violation::unless(
            self.reference_tokens >= -ROUNDING_TOLERANCE,
            "rate-and-burst",
            || {
                format!(
                    "{} tokens over {:?} after {} requests",
                    -self.reference_tokens, self.entitlement, self.spent
                )
            },
        )
    }

    /// Stops all faults and checks that tokens are lent again.
    fn check_recovery(&mut self) -> Result<(), Violation> {
        self.faults_enabled = false;
        self.net.stop_faults();
        for entry in &mut self.entries {
            entry.demand = 1.0;
        }
        let before = self.spent;
        let deadline = self.net.now() + RECOVERY_TIMEOUT;
        while self.net.now() < deadline {
            self.step()?;
            if self.spent > before + 3 {
                return Ok(());
            }
        }
        Violation::unless(false, "lends-again", || {
            format!(
                "tokens spent: {before} before the faults stopped, {} after",
                self.spent
            )
        })
    }
}

fn new_entry() -> Entry {
    Entry {
        tokens: Holder::default(),
        owner: 0,
        demand: 1.5,
    }
}
