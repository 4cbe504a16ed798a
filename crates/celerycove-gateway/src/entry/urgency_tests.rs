use std::time::Duration;

use super::Turn;

const IN_TIME: Option<Duration> = Some(Duration::from_secs(5));

fn turn(rank: u8, begins_program: bool, program_deadline: Option<Duration>) -> Turn {
    Turn {
        rank,
        begins_program,
        program_deadline,
        max_tokens: 100,
    }
}

/// Guards against a rank that overtakes a smaller one, and against first turns that overtake turns
/// of programs in progress.
#[test]
fn rank_decides_first_and_progress_second() {
    let turns = [0, 1, 2, 3].map(|rank| [turn(rank, false, IN_TIME), turn(rank, true, IN_TIME)]);
    let levels: Vec<u8> = turns.iter().flatten().map(Turn::priority).collect();
    assert!(levels.is_sorted_by(|a, b| a < b), "{levels:?}");
}

/// Guards against late programs of a high rank that delay programs which can finish in time.
#[test]
fn late_programs_come_last() {
    let latest_in_time = turn(u8::MAX, true, IN_TIME).priority();
    for left in [Duration::ZERO, Duration::from_millis(249)] {
        for begins_program in [false, true] {
            let late = [0, 1, 2, u8::MAX].map(|rank| turn(rank, begins_program, Some(left)));
            let levels = late.map(|turn| turn.priority());
            assert!(
                levels
                    .iter()
                    .all(|level| (latest_in_time + 1..=9).contains(level)),
                "{left:?}: {levels:?}"
            );
        }
    }
}

/// Guards against a program counted as late although an idle engine still finishes it in time.
#[test]
fn a_program_that_an_idle_engine_finishes_in_time_is_not_late() {
    assert_eq!(
        turn(0, false, Some(Duration::from_millis(250))).priority(),
        0
    );
    let mut huge = turn(0, false, IN_TIME);
    huge.max_tokens = u64::MAX;
    assert_eq!(huge.priority(), 8, "the product must not overflow");
}

/// Guards against a changed order among requests that state no program deadline.
#[test]
fn without_a_program_deadline_only_the_rank_counts() {
    let levels = [0, 1, 2].map(|rank| turn(rank, true, None).priority());
    assert_eq!(
        levels,
        [0, 1, 2].map(|rank| turn(rank, false, None).priority())
    );
    assert!(levels.is_sorted_by(|a, b| a < b), "{levels:?}");
}
