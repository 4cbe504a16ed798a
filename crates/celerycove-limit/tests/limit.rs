//! An organisation inside its rate, wherever its traffic comes in.

use std::{collections::VecDeque, time::Duration};

use celerycove_limit::{Owner, Purse, Seat, owner::Entitlement};
use celerycove_types::id;
use quickcheck::{Arbitrary, Gen};

const ENTRIES: usize = 4;
const STEP: Duration = Duration::from_millis(1);
const PATIENCE: Duration = Duration::from_secs(3);

/// Entries that ask the owner as the daemon does, with requests that wait for tokens.
struct World {
    owner: Owner,
    entitlement: Entitlement,
    purses: Vec<Purse>,
    waiting: Vec<VecDeque<Duration>>,
    refused: u32,
    passed: u32,
}

impl World {
    fn organisation() -> id::Organisation {
        "zilina".into()
    }

    fn serve(&mut self, now: Duration) {
        for entry in 0..ENTRIES {
            while let Some(arrived) = self.waiting[entry].front().copied() {
                if self.purses[entry].spend(now) {
                    self.passed += 1;
                } else if now >= arrived + PATIENCE {
                    self.refused += 1;
                } else {
                    break;
                }
                self.waiting[entry].pop_front();
            }
            self.ask(entry, now);
        }
    }

    fn ask(&mut self, entry: usize, now: Duration) {
        let organisation = Self::organisation();
        let purse = &self.purses[entry];
        if let Some(back) = purse.give_back(now, &organisation) {
            self.owner.lend(now, &back, self.entitlement);
        }
        let waiting = u32::try_from(self.waiting[entry].len()).unwrap_or(u32::MAX);
        if waiting == 0 {
            return;
        }
        let ask = purse.ask(now, &organisation, waiting);
        let loan = self.owner.lend(now, &ask, self.entitlement);
        purse.take(now, &loan);
        if loan.tokens == 0 && !loan.outstanding {
            self.refused += waiting;
            self.waiting[entry].clear();
        }
    }
}

#[test]
fn nothing_inside_the_rate_is_refused_while_nothing_fails() {
    let mut generator = Gen::from_size_and_seed(100, 11);
    let entitlement = Entitlement {
        rate: 100.0,
        burst: 20,
    };
    let mut world = World {
        owner: Owner::new(1, Duration::ZERO, true),
        entitlement,
        purses: (0..ENTRIES).map(|_| Purse::default()).collect(),
        waiting: vec![VecDeque::new(); ENTRIES],
        refused: 0,
        passed: 0,
    };
    let mut now = Duration::from_secs(1);
    // Steady at 95 in 100 of the rate, with the entry changing every request for a while, then
    // staying on one.
    for n in 0..20_000_u32 {
        now += Duration::from_micros(10_526);
        let moves = (n / 500).is_multiple_of(2);
        let entry = if moves {
            usize::arbitrary(&mut generator) % ENTRIES
        } else {
            (n as usize / 1000) % ENTRIES
        };
        world.waiting[entry].push_back(now);
        world.serve(now);
        for _ in 0..3 {
            world.serve(now + STEP);
        }
    }
    for _ in 0..4000 {
        now += STEP;
        world.serve(now);
    }
    assert_eq!(world.passed + world.refused, 20_000);
    assert!(
        world.refused <= 2,
        "{} of 20000 were refused",
        world.refused
    );
}

#[test]
fn a_burst_is_granted_whole_at_one_entry() {
    let entitlement = Entitlement {
        rate: 10.0,
        burst: 50,
    };
    let mut owner = Owner::new(1, Duration::ZERO, true);
    let purse = Purse::default();
    let now = Duration::from_secs(1);
    let mut passed = 0;
    for _ in 0..20 {
        let ask = purse.ask(now, &World::organisation(), 50);
        let loan = owner.lend(now, &ask, entitlement);
        purse.take(now, &loan);
        while purse.spend(now) {
            passed += 1;
        }
    }
    assert_eq!(passed, 50);
}

#[test]
fn an_estate_of_another_epoch_is_refused() {
    let authority = Duration::from_secs(2);
    let now = Duration::from_secs(100);
    let estate = |seat: Seat| seat.leave(now).expect("a seat that lends");
    let mut seat = Seat::begin(7, now, authority, false);
    let earlier = estate(Seat::begin(1, now, authority, true));
    assert!(
        !seat.inherit(6, now, now, earlier.clone()),
        "there was another owner in between"
    );
    let ask = Purse::default().ask(now, &World::organisation(), 1);
    let entitlement = Entitlement {
        rate: 10.0,
        burst: 50,
    };
    let loan = seat
        .lend(now, Duration::ZERO, &ask, entitlement)
        .expect("an answer");
    assert_eq!(
        (loan.tokens, loan.outstanding),
        (0, true),
        "earlier loans may last"
    );
    assert!(seat.inherit(7, now, now, earlier));
    let loan = seat
        .lend(now, Duration::ZERO, &ask, entitlement)
        .expect("an answer");
    assert_eq!(loan.tokens, 1);
    assert!(
        seat.lend(now, authority, &ask, entitlement).is_none(),
        "the proof is too old"
    );
}

#[test]
fn what_begins_leaves_a_reserve_to_what_is_under_way() {
    let owed = Entitlement {
        rate: 10.0,
        burst: 10,
    };
    let mut owner = Owner::new(1, Duration::ZERO, true);
    let ask = |reserve| celerycove_limit::Ask {
        organisation: "zilina".into(),
        want: 100,
        open: Vec::new(),
        closed: Vec::new(),
        reserve,
    };
    let mut beginning = 0;
    loop {
        let loan = owner.lend(Duration::ZERO, &ask(40), owed);
        beginning += loan.tokens;
        if loan.tokens == 0 {
            // Half a token short of the reserve and one more.
            assert!(loan.retry > Duration::ZERO);
            break;
        }
    }
    assert_eq!(beginning, 6);
    assert!(owner.lend(Duration::ZERO, &ask(0), owed).tokens > 0);
}
