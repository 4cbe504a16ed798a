//! Which requests are held back after crashes, and which are not.

use std::time::Duration;

use celerycove_quarantine::{
    Digest, Evidence, Table, Verdict,
    digest::Subject,
    evidence::{Crash, Event, Run},
    table::{LIFETIME, MAX_ITEMS_PER_MESSAGE, Origin, TRIAL_PERIOD},
};
use celerycove_types::Timestamp;
use quickcheck::quickcheck;

/// Runs that a table holds at most.
const MAX_RUNS: usize = 4_096;

fn digest_of(organisation: &str, body: &str) -> Digest {
    Digest::new(&Subject {
        organisation: Some(organisation),
        method: "POST",
        target: "/x?y",
        previous_turn: None,
        body: body.as_bytes(),
    })
}

/// The digests of a request to one target.
fn digests_of(body: &[u8]) -> [Digest; 2] {
    let subject = Subject {
        organisation: Some("o"),
        method: "POST",
        target: "/x",
        previous_turn: None,
        body,
    };
    subject.digests()
}

fn digest(body: &str) -> Digest {
    digest_of("o", body)
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A crash of the only incarnation of `server` at `at`, with requests of one organisation and when
/// each was sent, told at `now`.
fn crash_of(
    organisation: &str,
    now: Timestamp,
    server: &str,
    at: f64,
    runs: &[(Digest, f64)],
) -> Evidence {
    let run = |(digest, started): &(Digest, f64)| Run {
        digest: *digest,
        // Each request has a target of its own.
        target: digest_of(organisation, &format!("target of {digest}")),
        organisation: organisation.into(),
        age: now.saturating_sub(seconds(*started)),
    };
    let crash = Crash {
        server: (server.into(), 1),
        age: now.saturating_sub(seconds(at)),
        runs: runs.iter().map(run).collect(),
    };
    Evidence {
        crashes: vec![crash],
        ..Evidence::default()
    }
}

/// Records a crash with requests that began `started` seconds after the origin of the clock.
fn record(table: &mut Table, server: &str, at: f64, runs: &[(Digest, f64)]) -> Evidence {
    let now = seconds(at);
    let evidence = crash_of("o", now, server, at, runs);
    table.merge(now, evidence, Origin::Own)
}

/// Records crashes of as many backend servers, a second apart, each by a run of its own.
fn record_crashes(table: &mut Table, digest: Digest, count: u32, first_at: f64) {
    for number in 0..count {
        let at = first_at + f64::from(number);
        record(table, &format!("s{number}"), at, &[(digest, at - 0.5)]);
    }
}

fn is_free(table: &mut Table, at: f64, digest: &Digest) -> bool {
    table.verdict(seconds(at), digest) == Verdict::Free
}

fn is_quarantined(table: &mut Table, at: f64, digest: &Digest) -> bool {
    matches!(table.verdict(seconds(at), digest), Verdict::Quarantined(_))
}

/// Guards against crash after crash by the same request: the third one quarantines it.
#[test]
fn three_crashes_one_after_the_other_quarantine_a_request() {
    let mut table = Table::default();
    let guilty = digest("guilty");
    record_crashes(&mut table, guilty, 2, 10.0);
    assert!(is_free(&mut table, 12.0, &guilty));
    record_crashes(&mut table, guilty, 3, 10.0);
    assert!(is_quarantined(&mut table, 12.0, &guilty));
    assert!(is_free(&mut table, 12.0, &digest("other")));
    let new = table.take_new_quarantines(seconds(12.0));
    assert_eq!((new.len(), new[0].digest, new[0].blamed), (1, guilty, 3));
    assert_eq!(new[0].servers.len(), 3);
    assert!(table.take_new_quarantines(seconds(12.5)).is_empty());
}

/// Guards against the same backend server counting more than once: the same crash told again, by
/// another process or with another estimate of its time, is one crash.
#[test]
fn a_crash_that_is_told_again_counts_once() {
    let mut table = Table::default();
    let request = digest("a");
    for number in 0..6 {
        let at = 10.0 + f64::from(number);
        record(&mut table, "s", at, &[(request, at - 0.5)]);
    }
    assert!(is_free(&mut table, 16.0, &request));
}

/// Guards against a slow message that makes a crash seem later than the next run, so that the crash of
/// that run would not count: the earliest estimate holds.
#[test]
fn the_earliest_time_of_a_crash_counts_whichever_message_comes_first() {
    for times in [[10.0, 10.7], [10.7, 10.0]] {
        let mut table = Table::default();
        let request = digest("a");
        for at in times {
            record(&mut table, "s0", at, &[(request, 9.5)]);
        }
        record(&mut table, "s1", 11.0, &[(request, 10.5)]);
        record(&mut table, "s2", 12.0, &[(request, 11.5)]);
        assert!(is_quarantined(&mut table, 12.0, &request));
    }
}

/// Guards against refusing requests that merely ran beside one that crashes backend servers.
#[test]
fn innocent_requests_in_the_batches_of_a_guilty_one_are_free() {
    let mut table = Table::default();
    let guilty = digest("guilty");
    let unlucky = digest("unlucky");
    for number in 0..4 {
        let at = 10.0 + f64::from(number);
        let mut runs = vec![(guilty, at - 0.5)];
        runs.extend((0..62).map(|n| (digest(&format!("{number}-{n}")), at - 0.5)));
        // It is sent on to the same backend servers as the guilty one, but later by one.
        if number > 0 {
            runs.push((unlucky, at - 0.5));
        }
        record(&mut table, &format!("s{number}"), at, &runs);
    }
    assert!(is_quarantined(&mut table, 14.0, &guilty));
    assert!(is_free(&mut table, 14.0, &unlucky));
    for number in 0..4 {
        for n in 0..62 {
            assert!(is_free(&mut table, 14.0, &digest(&format!("{number}-{n}"))));
        }
    }
}

/// Guards against requests that hide behind a guilty one for ever.
#[test]
fn a_request_that_always_runs_beside_guilty_ones_is_quarantined_after_five_crashes() {
    let mut table = Table::default();
    let hidden = digest("hidden");
    for number in 0..5 {
        let at = 10.0 + 10.0 * f64::from(number);
        let known = digest(&format!("known-{number}"));
        for earlier in 0..2 {
            let at = at - 5.0 + f64::from(earlier);
            record(
                &mut table,
                &format!("e{number}-{earlier}"),
                at,
                &[(known, at - 0.5)],
            );
        }
        let server = format!("s{number}");
        record(
            &mut table,
            &server,
            at,
            &[(known, at - 0.5), (hidden, at - 0.5)],
        );
        assert_eq!(is_quarantined(&mut table, at, &hidden), number == 4);
    }
}

/// Guards against refusing a popular request because a whole data centre was lost.
#[test]
fn equal_requests_in_flight_when_a_data_centre_is_lost_count_once() {
    let mut table = Table::default();
    let popular = digest("popular");
    for number in 0..20 {
        let at = 10.0 + f64::from(number) / 100.0;
        record(&mut table, &format!("s{number}"), at, &[(popular, 9.8)]);
    }
    assert!(is_free(&mut table, 11.0, &popular));
}

/// Guards against refusing a popular request that ran when three backend servers crashed for other
/// reasons, and ran well elsewhere.
#[test]
fn a_complete_answer_vindicates_a_request_before_and_after_its_quarantine() {
    for crashes_before in [1, 3] {
        let mut table = Table::default();
        let popular = digest("popular");
        record_crashes(&mut table, popular, crashes_before, 10.0);
        let evidence = table.vindicate(seconds(14.0), popular);
        assert_eq!(evidence.vindications.len(), 1);
        assert!(is_free(&mut table, 14.0, &popular));
        // It is told once, also if another run that began before crashes with its backend server.
        assert!(table.vindicate(seconds(14.1), popular).is_empty());
        record(&mut table, "late", 15.0, &[(popular, 13.5)]);
        assert!(table.vindicate(seconds(15.1), popular).is_empty());
        // Two more are too few after it ran well.
        for (server, at) in [("x", 20.0), ("y", 21.0)] {
            record(&mut table, server, at, &[(popular, at - 0.5)]);
        }
        assert!(is_free(&mut table, 22.0, &popular));
        assert_eq!(
            table.vindicate(seconds(22.0), popular).vindications.len(),
            1
        );
    }
}

/// Guards against a request that is never held back because a run from before it began to crash
/// backend servers was still answered.
#[test]
fn crashes_after_a_complete_answer_count_again() {
    let mut table = Table::default();
    let request = digest("a");
    record_crashes(&mut table, request, 1, 10.0);
    table.vindicate(seconds(10.2), request);
    for (server, at) in [("x", 11.0), ("y", 12.0), ("z", 13.0)] {
        record(&mut table, server, at, &[(request, at - 0.5)]);
    }
    assert!(is_quarantined(&mut table, 13.0, &request));
}

/// Records crashes of three backend servers by requests to one target, with
/// an answer to another request after each if `is_answered`, and returns whether a further one is held back.
fn is_target_quarantined(bodies: [&[u8]; 3], is_answered: bool) -> bool {
    let mut table = Table::default();
    for (number, body) in (0_u8..).zip(bodies) {
        let at = 10.0 + f64::from(number);
        let [digest, target] = digests_of(body);
        let mut evidence = crash_of(
            "o",
            seconds(at),
            &format!("s{number}"),
            at,
            &[(digest, at - 0.5)],
        );
        evidence.crashes[0].runs[0].target = target;
        table.merge(seconds(at), evidence, Origin::Own);
        if is_answered {
            for digest in digests_of(b"well") {
                table.vindicate(seconds(at + 0.1), digest);
            }
        }
    }
    let [digest, target] = digests_of(b"other");
    assert!(is_free(&mut table, 13.0, &digest));
    is_quarantined(&mut table, 13.0, &target)
}

/// Guards against requests that all crash backend servers because of the target that they name, each
/// with another body.
#[test]
fn a_target_whose_requests_crash_servers_is_quarantined() {
    assert!(is_target_quarantined([b"a", b"b", b"c"], false));
    assert!(is_target_quarantined([b"a", b"a", b"c"], false));
}

/// Guards against refusing all requests to a target because of one of them.
#[test]
fn a_target_is_free_if_one_request_may_be_to_blame_or_others_are_answered() {
    assert!(!is_target_quarantined([b"a", b"a", b"a"], false));
    assert!(!is_target_quarantined([b"a", b"b", b"c"], true));
}

/// Guards against news about requests that are under no suspicion: calm days cost no messages.
#[test]
fn answers_to_requests_under_no_suspicion_are_not_told() {
    let mut table = Table::default();
    assert!(table.vindicate(seconds(1.0), digest("a")).is_empty());
    record_crashes(&mut table, digest("b"), 1, 10.0);
    assert!(table.vindicate(seconds(11.0), digest("a")).is_empty());
    assert!(Table::default().messages(seconds(1.0)).is_empty());
    let repeated = Table::default().repeat(seconds(1.0), LIFETIME, Origin::Told);
    assert!(repeated.is_empty());
}

/// Guards against one organisation having the requests of another refused.
#[test]
fn equal_requests_of_two_organisations_are_different_ones() {
    let mut table = Table::default();
    record_crashes(&mut table, digest_of("a", "x"), 3, 10.0);
    assert!(is_quarantined(&mut table, 13.0, &digest_of("a", "x")));
    assert!(is_free(&mut table, 13.0, &digest_of("b", "x")));
}

/// Guards against two different requests with the same digest, by moving the ends of the fields.
#[test]
fn digests_tell_fields_apart() {
    let subject = Subject {
        organisation: Some("o"),
        method: "POST",
        target: "/x",
        previous_turn: Some("t"),
        body: b"b",
    };
    let others = [
        Subject {
            organisation: None,
            ..subject
        },
        Subject {
            organisation: Some(""),
            ..subject
        },
        Subject {
            method: "POST/",
            target: "x",
            ..subject
        },
        Subject {
            previous_turn: None,
            ..subject
        },
        Subject {
            previous_turn: Some(""),
            ..subject
        },
        Subject {
            previous_turn: Some("tb"),
            body: b"",
            ..subject
        },
        Subject {
            body: b"c",
            ..subject
        },
    ];
    assert_eq!(Digest::new(&subject), Digest::new(&subject));
    for other in others {
        assert_ne!(Digest::new(&subject), Digest::new(&other), "{other:?}");
    }
}

/// Guards against an organisation that sends a flood of different requests which crash backend
/// servers: memory stays bounded, and the evidence on the requests of others stays.
#[test]
fn a_flood_of_one_organisation_is_bounded_and_evicts_only_its_own_evidence() {
    let mut table = Table::default();
    let kept = digest_of("quiet", "kept");
    // The oldest, with one crash: the first to go, were it not for its organisation.
    let single = digest_of("quiet", "single");
    let evidence = crash_of("quiet", seconds(9.0), "q", 9.0, &[(single, 8.5)]);
    table.merge(seconds(9.0), evidence, Origin::Told);
    for number in 0..3 {
        let at = 10.0 + f64::from(number);
        let evidence = crash_of(
            "quiet",
            seconds(at),
            &format!("q{number}"),
            at,
            &[(kept, at - 0.5)],
        );
        table.merge(seconds(at), evidence, Origin::Told);
    }
    for number in 0..200 {
        let at = 20.0 + f64::from(number) / 10.0;
        let runs: Vec<_> = (0..200)
            .map(|n| (digest_of("flood", &format!("{number}-{n}")), at - 0.05))
            .collect();
        let evidence = crash_of("flood", seconds(at), &format!("f{number}"), at, &runs);
        table.merge(seconds(at), evidence, Origin::Told);
        assert!(table.len() <= MAX_RUNS);
    }
    assert!(table.len() > MAX_RUNS / 2);
    assert!(is_quarantined(&mut table, 40.0, &kept));
    assert!(table.is_suspect(&single));
}

/// Guards against a crash record that one organisation fills, so that the guilty request of another
/// finds no room in it.
#[test]
fn a_full_crash_record_has_room_for_another_organisation() {
    let mut table = Table::default();
    let late = digest_of("late", "x");
    for number in 0..3 {
        let (server, at) = (format!("s{number}"), 10.0 + f64::from(number));
        let flood: Vec<_> = (0..300)
            .map(|n| (digest_of("flood", &format!("{number}-{n}")), at - 0.5))
            .collect();
        let flood = crash_of("flood", seconds(at), &server, at, &flood);
        table.merge(seconds(at), flood, Origin::Told);
        let evidence = crash_of("late", seconds(at), &server, at, &[(late, at - 0.5)]);
        table.merge(seconds(at), evidence, Origin::Told);
    }
    assert!(is_quarantined(&mut table, 13.0, &late));
}

/// Guards against an entry that was cut off, or has just started, and lets the request through.
#[test]
fn an_entry_that_connects_learns_all_evidence_in_bounded_messages() {
    let mut table = Table::default();
    let guilty = digest("guilty");
    for number in 0..3 {
        let at = 10.0 + f64::from(number);
        let mut runs = vec![(guilty, at - 0.5)];
        runs.extend((0..100).map(|n| (digest(&format!("{number}-{n}")), at - 0.5)));
        record(&mut table, &format!("s{number}"), at, &runs);
    }
    let innocent = digest("0-5");
    table.vindicate(seconds(13.0), innocent);
    let messages = table.messages(seconds(14.0));
    assert!(
        messages
            .iter()
            .all(|m| m.len() <= MAX_ITEMS_PER_MESSAGE + 1)
    );
    // Its clock has another origin.
    let mut other = Table::default();
    for message in messages {
        other.merge(seconds(1_014.0), message, Origin::Told);
    }
    assert!(is_quarantined(&mut other, 1_014.0, &guilty));
    assert!(!other.is_suspect(&innocent));
}

/// Guards against lost messages: what is repeated covers all recent evidence, in bounded parts, and
/// ends some time after the last change.
#[test]
fn repeated_parts_cover_all_recent_evidence_and_end() {
    let mut table = Table::default();
    for number in 0..10 {
        let runs: Vec<_> = (0..60)
            .map(|n| (digest(&format!("{number}-{n}")), 9.5))
            .collect();
        record(&mut table, &format!("s{number}"), 10.0, &runs);
    }
    let period = seconds(60.0);
    let mut other = Table::default();
    for _ in 0..10 {
        let part = table.repeat(seconds(11.0), period, Origin::Told);
        assert!(part.len() <= 2 * MAX_ITEMS_PER_MESSAGE);
        other.merge(seconds(11.0), part, Origin::Told);
    }
    assert_eq!(other.len(), 600);
    let later = table.repeat(seconds(71.0), period, Origin::Told);
    assert!(later.is_empty());
    // What it was told is not repeated as its own.
    assert!(other.repeat(seconds(11.0), period, Origin::Own).is_empty());
}

/// Guards against a quarantine without end, and against many trials at once when it is over: one
/// crash more quarantines the request for longer.
#[test]
fn a_quarantine_ends_with_one_trial_and_a_crash_prolongs_it() {
    let mut table = Table::default();
    let request = digest("a");
    record_crashes(&mut table, request, 3, 10.0);
    let Verdict::Quarantined(first) = table.verdict(seconds(12.0), &request) else {
        panic!("free");
    };
    let end = 12.0 + first.as_secs_f64();
    assert_eq!(table.verdict(seconds(end), &request), Verdict::Trial);
    let told = table.begin_trial(seconds(end), request);
    assert_eq!(told.trials.len(), 1);
    assert!(is_quarantined(&mut table, end + 1.0, &request));
    record(&mut table, "trial", end + 2.0, &[(request, end + 0.1)]);
    let Verdict::Quarantined(second) = table.verdict(seconds(end + 2.0), &request) else {
        panic!("free");
    };
    assert!(second > first);
}

/// Guards against a trial that no one decides, because its caller left: another one is allowed.
#[test]
fn an_undecided_trial_is_followed_by_another_and_an_answer_ends_the_quarantine() {
    let mut table = Table::default();
    let request = digest("a");
    record_crashes(&mut table, request, 3, 10.0);
    let end = 12.0 + 120.0;
    table.begin_trial(seconds(end), request);
    let later = end + TRIAL_PERIOD.as_secs_f64();
    assert_eq!(table.verdict(seconds(later), &request), Verdict::Trial);
    table.begin_trial(seconds(later), request);
    table.vindicate(seconds(later + 0.5), request);
    assert!(is_free(&mut table, later + 1.0, &request));
}

/// Guards against evidence that is kept for ever.
#[test]
fn old_evidence_is_removed_and_not_taken_back() {
    let mut table = Table::default();
    record_crashes(&mut table, digest("a"), 3, 10.0);
    let old = table.messages(seconds(12.0));
    let end = seconds(13.0) + LIFETIME;
    table.remove_expired(end);
    assert!(table.is_empty());
    for mut message in old {
        for crash in &mut message.crashes {
            crash.age += LIFETIME;
        }
        assert!(table.merge(end, message, Origin::Told).is_empty());
    }
}

/// Few requests, backend servers and times, so that they meet.
fn arbitrary_evidence(now: Timestamp, items: &[(u8, u8, u8)]) -> Vec<Evidence> {
    items
        .iter()
        .map(|(kind, server, at)| {
            let request = digest(&format!("r{}", kind % 4));
            if kind % 16 == 15 {
                let age = now.saturating_sub(seconds(f64::from(*at)));
                let vindications = vec![Event {
                    digest: request,
                    age,
                }];
                return Evidence {
                    vindications,
                    ..Evidence::default()
                };
            }
            let (server, at) = (format!("s{}", server % 8), 10.0 + f64::from(*at));
            crash_of(
                "o",
                now,
                &server,
                at,
                &[(request, at - 0.5 * f64::from(kind / 64))],
            )
        })
        .collect()
}

quickcheck! {
    /// Guards against entries that decide differently because messages reached them in another order
    /// or more than once.
    fn evidence_is_merged_in_any_order_and_any_number_of_times(
        items: Vec<(u8, u8, u8)>,
        order: Vec<usize>
    ) -> bool {
        let now = seconds(300.0);
        let evidence = arbitrary_evidence(now, &items);
        let mut ordered = Table::default();
        for item in &evidence {
            ordered.merge(now, item.clone(), Origin::Told);
        }
        let mut shuffled = Table::default();
        let picked = order.iter().filter(|_| !evidence.is_empty());
        for index in picked {
            shuffled.merge(now, evidence[index % evidence.len()].clone(), Origin::Told);
        }
        for item in evidence.iter().rev() {
            shuffled.merge(now, item.clone(), Origin::Told);
        }
        let is_unchanged = evidence
            .iter()
            .all(|item| shuffled.merge(now, item.clone(), Origin::Told).is_empty());
        let requests: Vec<_> = (0..4).map(|number| digest(&format!("r{number}"))).collect();
        let verdicts = |table: &mut Table| -> Vec<_> {
            requests.iter().map(|request| table.verdict(now, request)).collect()
        };
        is_unchanged
            && ordered.messages(now) == shuffled.messages(now)
            && verdicts(&mut ordered) == verdicts(&mut shuffled)
    }
}

/// Guards against an answer that is known to be whole only some time after its end: it must excuse the
/// runs that began before its end, though they were counted meanwhile, and none that began later.
#[test]
fn a_late_vindication_holds_for_the_runs_before_the_end_of_the_answer() {
    let mut table = Table::default();
    let request = digest("a");
    record_crashes(&mut table, request, 3, 10.0);
    assert!(is_quarantined(&mut table, 12.5, &request));
    // The answer ended at 11.0, before the run of 11.5.
    let evidence = table.vindicate_late(seconds(13.0), seconds(2.0), request);
    assert_eq!(evidence.vindications.len(), 1);
    assert!(is_free(&mut table, 13.0, &request));
    assert!(table.is_suspect(&request), "of the last crash");
    record(&mut table, "s4", 14.0, &[(request, 13.5)]);
    assert!(is_free(&mut table, 14.0, &request));
    record(&mut table, "s5", 15.0, &[(request, 14.5)]);
    assert!(is_quarantined(&mut table, 15.0, &request));
}
