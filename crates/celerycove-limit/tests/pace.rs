//! Organisations that begin more programs than their rate carries, and some that do not.

use std::time::Duration;

use celerycove_limit::{Ask, Entitlement, Owner};
use celerycove_types::{Timestamp, id};

const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(40);
/// Requests that a program makes after its first, and the time between them.
const REQUESTS: u32 = 14;
const BETWEEN: Duration = Duration::from_millis(200);
/// How long a request of a program under way waits for a token before the program fails.
const PATIENCE: Duration = Duration::from_millis(375);
const OWED: Entitlement = Entitlement {
    rate: 28.0,
    burst: 28,
};
/// Percent of the burst that programs which begin leave to those under way.
const RESERVE: u8 = 20;

struct Program {
    /// When its next request comes.
    due: Timestamp,
    left: u32,
}

#[derive(Debug, Default, PartialEq, Eq)]
struct Tally {
    arrived: u32,
    begun: u32,
    failed: u32,
    finished: u32,
}

struct World {
    owner: Owner,
    programs: Vec<Program>,
    tally: Tally,
}

impl World {
    /// Asks for one token, which is spent at once.
    fn pass(&mut self, now: Timestamp, begins: bool) -> bool {
        let ask = Ask {
            organisation: id::Organisation::from("secu"),
            want: 1,
            open: Vec::new(),
            closed: Vec::new(),
            reserve: if begins { RESERVE } else { 0 },
            begins,
        };
        let loan = self.owner.lend(now, &ask, OWED);
        let spent = Ask {
            want: 0,
            open: vec![(loan.id, 0)],
            ..ask
        };
        self.owner.lend(now, &spent, OWED);
        loan.tokens == 1
    }

    fn arrive(&mut self, now: Timestamp) {
        self.tally.arrived += 1;
        if self.pass(now, true) {
            self.tally.begun += 1;
            self.programs.push(Program {
                due: now + BETWEEN,
                left: REQUESTS,
            });
        }
    }

    fn go_on(&mut self, now: Timestamp) {
        let mut programs = std::mem::take(&mut self.programs);
        programs.retain_mut(|program| {
            if program.due > now {
                return true;
            }
            if self.pass(now, false) {
                program.left -= 1;
                program.due = now + BETWEEN;
            } else if now >= program.due + PATIENCE {
                self.tally.failed += 1;
                return false;
            }
            self.tally.finished += u32::from(program.left == 0);
            program.left > 0
        });
        self.programs = programs;
    }
}

/// Lets a program arrive whenever `arrives` says so for a step.
fn play(mut arrives: impl FnMut(Timestamp) -> u32) -> Tally {
    let mut world = World {
        owner: Owner::new(1, Duration::ZERO, true),
        programs: Vec::new(),
        tally: Tally::default(),
    };
    let mut now = Duration::ZERO;
    while now < LENGTH {
        now += STEP;
        for _ in 0..arrives(now) {
            world.arrive(now);
        }
        world.go_on(now);
    }
    world.tally
}

/// One arrival each `every`.
fn steady(every: Duration) -> impl FnMut(Timestamp) -> u32 {
    move |now| u32::from(now.as_millis().is_multiple_of(every.as_millis()))
}

#[test]
fn programs_beyond_the_rate_are_refused_at_their_beginning_and_not_in_the_middle() {
    // Five programs a second where the rate carries 28 / 15 = 1.87.
    let tally = play(steady(Duration::from_millis(200)));
    assert!(tally.failed * 20 <= tally.begun, "{tally:?}");
    // The rate is put to use all the same.
    assert!(tally.finished * 15 >= 28 * 40 * 8 / 10, "{tally:?}");
}

#[test]
fn an_organisation_within_its_rate_begins_whenever_it_likes() {
    let tally = play(steady(Duration::from_millis(600)));
    assert_eq!(tally.begun, tally.arrived, "{tally:?}");
    assert_eq!(tally.failed, 0, "{tally:?}");
}

#[test]
fn five_programs_at_once_are_within_rate_and_burst_after_a_pause() {
    let tally = play(|now| 5 * u32::from(now.as_millis().is_multiple_of(5_000)));
    assert_eq!(tally.begun, tally.arrived, "{tally:?}");
    assert_eq!(tally.failed, 0, "{tally:?}");
}

#[test]
fn a_burst_of_beginnings_does_not_break_the_programs_under_way() {
    let mut calm = steady(Duration::from_millis(800));
    let mut busy = steady(Duration::from_millis(50));
    let burst = Duration::from_secs(15)..Duration::from_secs(21);
    let tally = play(|now| {
        if burst.contains(&now) {
            busy(now)
        } else {
            calm(now)
        }
    });
    assert!(tally.failed * 20 <= tally.begun, "{tally:?}");
}
