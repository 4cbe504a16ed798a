//! Tests that an organisation gets its rate and burst, whichever entries its traffic comes through.

use std::{collections::VecDeque, time::Duration};

use celerycove_limit::{Holder, Owner, Ownership, owner::Entitlement};
use celerycove_types::id;
use quickcheck::{Arbitrary, Gen};

const ENTRIES: usize = 4;
const STEP: Duration = Duration::from_millis(1);
const MAX_WAIT: Duration = Duration::from_secs(3);

/// Simulates entries that lease tokens as the daemon's do, with queues of requests waiting for
/// tokens.
struct Simulation {
    owner: Owner,
    entitlement: Entitlement,
    holders: Vec<Holder>,
    waiting: Vec<VecDeque<Duration>>,
    refused: u32,
    admitted: u32,
}

impl Simulation {
    fn organisation() -> id::Organisation {
        "zilina".into()
    }

    fn step(&mut self, now: Duration) {
        for entry in 0..ENTRIES {
            while let Some(arrived) = self.waiting[entry].front().copied() {
                if self.holders[entry].spend(now) {
                    self.admitted += 1;
                } else if now >= arrived + MAX_WAIT {
                    self.refused += 1;
                } else {
                    break;
                }
                self.waiting[entry].pop_front();
            }
            self.request_tokens(entry, now);
        }
    }

    fn request_tokens(&mut self, entry: usize, now: Duration) {
        let organisation = Self::organisation();
        let holder = &self.holders[entry];
        if let Some(returned) = holder.return_expired(now, &organisation) {
            self.owner.grant(now, &returned, self.entitlement);
        }
        let waiting = u32::try_from(self.waiting[entry].len()).unwrap_or(u32::MAX);
        if waiting == 0 {
            return;
        }
        let request = holder.request(now, &organisation, waiting);
        let lease = self.owner.grant(now, &request, self.entitlement);
        holder.accept(now, &lease);
        if lease.tokens == 0 && !lease.outstanding {
            self.refused += waiting;
            self.waiting[entry].clear();
        }
    }
}

#[test]
fn traffic_within_the_rate_is_not_refused() {
    let mut random = Gen::from_size_and_seed(100, 11);
    let entitlement = Entitlement {
        rate: 100.0,
        burst: 20,
    };
    let mut simulation = Simulation {
        owner: Owner::new(1, Duration::ZERO, true),
        entitlement,
        holders: (0..ENTRIES).map(|_| Holder::default()).collect(),
        waiting: vec![VecDeque::new(); ENTRIES],
        refused: 0,
        admitted: 0,
    };
    let mut now = Duration::from_secs(1);
    // A steady 95% of the rate; every 500 requests, the traffic alternates between a random entry
    // per request and a single entry.
    for n in 0..20_000_u32 {
        now += Duration::from_micros(10_526);
        let is_random_entry = (n / 500).is_multiple_of(2);
        let entry = if is_random_entry {
            usize::arbitrary(&mut random) % ENTRIES
        } else {
            (n as usize / 1000) % ENTRIES
        };
        simulation.waiting[entry].push_back(now);
        simulation.step(now);
        for _ in 0..3 {
            simulation.step(now + STEP);
        }
    }
    for _ in 0..4000 {
        now += STEP;
        simulation.step(now);
    }
    assert_eq!(simulation.admitted + simulation.refused, 20_000);
    assert!(
        simulation.refused <= 2,
        "{} of 20000 were refused",
        simulation.refused
    );
}

#[test]
fn one_entry_can_spend_the_whole_burst() {
    let entitlement = Entitlement {
        rate: 10.0,
        burst: 50,
    };
    let mut owner = Owner::new(1, Duration::ZERO, true);
    let holder = Holder::default();
    let now = Duration::from_secs(1);
    let mut admitted = 0;
    for _ in 0..20 {
        let request = holder.request(now, &Simulation::organisation(), 50);
        let lease = owner.grant(now, &request, entitlement);
        holder.accept(now, &lease);
        while holder.spend(now) {
            admitted += 1;
        }
    }
    assert_eq!(admitted, 50);
}

#[test]
fn state_handed_over_to_another_epoch_is_refused() {
    let proof_validity = Duration::from_secs(2);
    let now = Duration::from_secs(100);
    let hand_over = |ownership: Ownership| {
        ownership
            .hand_over(now)
            .expect("an owner that leases tokens")
    };
    let mut ownership = Ownership::new(7, now, proof_validity, false);
    let handed_over = hand_over(Ownership::new(1, now, proof_validity, true));
    assert!(
        !ownership.take_over(6, now, now, handed_over.clone()),
        "another owner was in between"
    );
    let request = Holder::default().request(now, &Simulation::organisation(), 1);
    let entitlement = Entitlement {
        rate: 10.0,
        burst: 50,
    };
    let lease = ownership
        .grant(now, Duration::ZERO, &request, entitlement)
        .expect("a valid proof of ownership");
    assert_eq!(
        (lease.tokens, lease.outstanding),
        (0, true),
        "earlier leases may still be valid"
    );
    assert!(ownership.take_over(7, now, now, handed_over));
    let lease = ownership
        .grant(now, Duration::ZERO, &request, entitlement)
        .expect("a valid proof of ownership");
    assert_eq!(lease.tokens, 1);
    assert!(
        ownership
            .grant(now, proof_validity, &request, entitlement)
            .is_none(),
        "the proof of ownership has expired"
    );
}

#[test]
fn requests_with_a_reserve_leave_it_to_others() {
    let entitlement = Entitlement {
        rate: 10.0,
        burst: 10,
    };
    let mut owner = Owner::new(1, Duration::ZERO, true);
    let request = |reserve| celerycove_limit::Request {
        organisation: "zilina".into(),
        want: 100,
        open: Vec::new(),
        closed: Vec::new(),
        reserve,
    };
    let mut leased = 0;
    loop {
        let lease = owner.grant(Duration::ZERO, &request(40), entitlement);
        leased += lease.tokens;
        if lease.tokens == 0 {
            // Only the reserve of 40% is left in the bucket.
            assert!(lease.retry > Duration::ZERO);
            break;
        }
    }
    assert_eq!(leased, 6);
    assert!(owner.grant(Duration::ZERO, &request(0), entitlement).tokens > 0);
}
