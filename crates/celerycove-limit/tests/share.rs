//! Shares of rate and burst through moving traffic and changes of the allotter.

use std::{collections::BTreeMap, time::Duration};

use celerycove_limit::share::{Allotment, Allotter, LASTS, Report, WHOLE};
use celerycove_types::{Timestamp, id};
use quickcheck::quickcheck;

fn entries(count: usize) -> Vec<id::Process> {
    (0..count).map(|n| format!("entry-{n}").into()).collect()
}

fn ask(
    allotter: &mut Allotter,
    now: Timestamp,
    entry: &id::Process,
    all: &[id::Process],
    allotment: &mut Allotment,
) -> u32 {
    let organisation: id::Organisation = "zilina".into();
    let report = allotment.report(now);
    let reports = BTreeMap::from([(organisation.clone(), report)]);
    let part = allotter.divide(now, entry, all, &reports)[&organisation];
    allotment.take(now, now, part);
    part
}

#[test]
fn shares_follow_traffic_that_moves_to_one_entry() {
    let all = entries(4);
    let mut allotter = Allotter::new(Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut allotments: Vec<Allotment> = all.iter().map(|_| Allotment::new(now)).collect();
    for step in 0..20_u32 {
        now = Duration::from_millis(500) * step;
        for (entry, allotment) in all.iter().zip(&mut allotments) {
            allotment.entitle(now, 100.0, 100.0);
            if entry.as_ref() == "entry-2" {
                (0..20).for_each(|_| allotment.want(now));
            }
            ask(&mut allotter, now, entry, &all, allotment);
            assert_eq!(allotter.check(now), Ok(()));
        }
    }
    let held = allotments[2].report(now).held;
    assert!(held > WHOLE / 4 * 3, "{held}");
}

#[test]
fn a_new_allotter_gives_nothing_away_that_a_silent_entry_may_hold() {
    let all = entries(2);
    let now = Duration::from_secs(100);
    let mut allotter = Allotter::new(now);
    let mut allotment = Allotment::new(now);
    assert_eq!(ask(&mut allotter, now, &all[0], &all, &mut allotment), 0);
    let later = now + LASTS * 2;
    assert!(ask(&mut allotter, later, &all[0], &all, &mut allotment) > 0);
}

#[test]
fn a_new_allotter_divides_as_soon_as_all_entries_have_reported() {
    let all = entries(2);
    let now = Duration::from_secs(100);
    let mut allotter = Allotter::new(now);
    let mut allotments = [Allotment::new(now), Allotment::new(now)];
    for round in 0..3 {
        for (entry, allotment) in all.iter().zip(&mut allotments) {
            let part = ask(&mut allotter, now, entry, &all, allotment);
            assert_eq!(part > 0, round > 0 || entry == &all[1]);
        }
    }
}

#[test]
fn a_share_that_was_not_renewed_ends() {
    let mut allotment = Allotment::new(Duration::ZERO);
    allotment.entitle(Duration::ZERO, 10.0, 10.0);
    allotment.take(Duration::ZERO, Duration::ZERO, WHOLE);
    assert!(allotment.spend(LASTS / 2));
    assert!(!allotment.spend(LASTS));
}

#[test]
fn a_small_share_still_passes_one_request_at_a_time() {
    let mut allotment = Allotment::new(Duration::ZERO);
    allotment.entitle(Duration::ZERO, 5.0, 5.0);
    allotment.take(Duration::ZERO, Duration::ZERO, WHOLE / 20);
    assert!(allotment.spend(Duration::from_millis(3_999)) || allotment.next_token() < LASTS);
}

quickcheck! {
    /// In any order of reports, lost answers and changes of the allotter, the shares in force
    /// never add up to more than the whole.
    fn shares_never_exceed_the_whole(steps: Vec<(u8, u8, u16)>) -> bool {
        let all = entries(5);
        let organisation: id::Organisation = "zilina".into();
        let mut now = LASTS * 3;
        let mut allotter = Allotter::new(Duration::ZERO);
        let mut held: Vec<(u32, Timestamp)> = vec![(0, Duration::ZERO); all.len()];
        for (who, what, wait) in steps {
            now += Duration::from_millis(u64::from(wait % 700));
            let at = usize::from(who) % all.len();
            if what % 31 == 30 {
                allotter = Allotter::new(now);
                continue;
            }
            let report = Report {
                held: if now < held[at].1 { held[at].0 } else { 0 },
                demand: f64::from(what),
            };
            let reports = BTreeMap::from([(organisation.clone(), report)]);
            let part = allotter.divide(now, &all[at], &all, &reports)[&organisation];
            // Every seventh answer is lost.
            if what % 7 != 0 {
                held[at] = (part, now + LASTS);
            }
            let sum: u64 = held
                .iter()
                .filter(|(_, until)| now < *until)
                .map(|(part, _)| u64::from(*part))
                .sum();
            if sum > u64::from(WHOLE) {
                return false;
            }
        }
        true
    }
}
