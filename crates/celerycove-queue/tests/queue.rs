//! Fairness, cold starts and fences.

use std::{collections::BTreeMap, time::Duration};

use celerycove_queue::{
    Action, Event, Fence, Gate, Job, Options, Queue,
    ramp::{self, Input, Ramp, Sample},
};

fn job(n: u32, organisation: &str, attained: u64) -> Job {
    Job {
        id: format!("{organisation}-{n}").into(),
        organisation: organisation.into(),
        weight: 1,
        program: None,
        attained,
        cost: 10.0,
        deadline: None,
        once: false,
    }
}

fn queue(capacity: u32) -> Queue {
    let options = Options {
        ramp: ramp::Options {
            capacity,
            ..ramp::Options::default()
        },
        ..Options::default()
    };
    let mut queue = Queue::new(options, Duration::ZERO);
    queue.step(Duration::ZERO, Event::Gate(Gate::Open));
    queue
}

fn started(actions: Vec<Action>) -> Vec<String> {
    actions
        .into_iter()
        .filter_map(|action| match action {
            Action::Start(id) => Some(id.to_string()),
            _ => None,
        })
        .collect()
}

#[test]
fn a_small_organisation_is_not_crowded_out_by_a_large_one() {
    let mut queue = queue(1);
    let mut running = Vec::new();
    for n in 0..200 {
        running.extend(started(
            queue.step(Duration::ZERO, Event::Arrive(job(n, "large", 0))),
        ));
    }
    running.extend(started(
        queue.step(Duration::ZERO, Event::Arrive(job(0, "small", 0))),
    ));
    let mut before = 0;
    while let Some(id) = running.pop() {
        if id.starts_with("small") {
            break;
        }
        before += 1;
        let event = Event::Finish {
            id: id.as_str().into(),
            sample: None,
        };
        running.extend(started(queue.step(Duration::from_secs(1), event)));
    }
    assert!(before <= 2, "{before} of the large organisation ran first");
}

#[test]
fn a_full_queue_sheds_the_organisation_that_crowds_it() {
    let mut queue = queue(1);
    let mut refused: BTreeMap<String, u32> = BTreeMap::new();
    for n in 0..400 {
        let organisation = if n % 20 == 0 { "small" } else { "large" };
        for action in queue.step(Duration::ZERO, Event::Arrive(job(n, organisation, 0))) {
            if let Action::Refuse(id, _) = action {
                let organisation = id.split('-').next().unwrap_or_default().to_owned();
                *refused.entry(organisation).or_default() += 1;
            }
        }
    }
    assert!(refused["large"] > 100, "{refused:?}");
    assert_eq!(refused.get("small"), None, "{refused:?}");
}

#[test]
fn a_program_that_had_little_goes_first_until_the_other_has_waited() {
    let mut queue = queue(1);
    queue.step(Duration::ZERO, Event::Arrive(job(0, "o", 0)));
    queue.step(Duration::ZERO, Event::Arrive(job(1, "o", 50_000)));
    queue.step(Duration::ZERO, Event::Arrive(job(2, "o", 10)));
    let finish = |id: &str| Event::Finish {
        id: id.into(),
        sample: None,
    };
    let next = started(queue.step(Duration::from_secs(1), finish("o-0")));
    assert_eq!(next, ["o-2"]);
    let late = Duration::from_secs(40);
    queue.step(late, Event::Arrive(job(3, "o", 10)));
    let next = started(queue.step(late, finish("o-2")));
    assert_eq!(next, ["o-1"], "a long wait outweighs a large past");
}

#[test]
fn a_cold_engine_is_ramped_and_a_restart_begins_again() {
    let mut ramp = Ramp::new(ramp::Options::default(), Duration::ZERO);
    assert_eq!(ramp.limit(), 1);
    let served = Input::Sample(Sample::Served {
        took: Duration::from_millis(100),
        cost: 10.0,
    });
    let mut rounds = 0;
    while !ramp.is_warm() {
        let before = ramp.limit();
        for _ in 0..before {
            ramp.handle(served);
        }
        assert!(
            ramp.limit() <= before * 2,
            "from {before} to {}",
            ramp.limit()
        );
        rounds += 1;
        assert!(rounds < 20);
    }
    ramp.handle(Input::Restarted);
    assert_eq!((ramp.limit(), ramp.is_warm()), (1, false));
}

#[test]
fn a_jump_in_latency_lowers_the_limit_without_a_mark() {
    let mut ramp = Ramp::new(ramp::Options::default(), Duration::ZERO);
    let sample = |millis| {
        Input::Sample(Sample::Served {
            took: Duration::from_millis(millis),
            cost: 10.0,
        })
    };
    for _ in 0..200 {
        ramp.handle(sample(100));
    }
    let warm = ramp.limit();
    for _ in 0..3 {
        ramp.handle(sample(900));
    }
    assert!(ramp.limit() <= warm / 2, "{} of {warm}", ramp.limit());
}

#[test]
fn an_order_with_an_old_fencing_number_is_refused() {
    let mut fence = Fence::new(7);
    assert!(fence.admit(6).is_err());
    assert!(fence.admit(7).is_ok());
    assert!(fence.admit(9).is_ok());
    assert_eq!(fence.admit(8).map_err(|error| error.latest), Err(9));
}
