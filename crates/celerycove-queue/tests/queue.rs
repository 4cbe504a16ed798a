//! Fair scheduling, the concurrency limit and fencing.

use std::{collections::BTreeMap, time::Duration};

use celerycove_queue::{
    Action, Event, Fence, Gate, Job, Options, Queue,
    ramp::{self, Input, Ramp, Sample},
};

fn job(n: u32, organisation: &str, attained_tokens: u64) -> Job {
    Job {
        id: format!("{organisation}-{n}").into(),
        organisation: organisation.into(),
        weight: 1,
        program: None,
        attained_tokens,
        cost: 10.0,
        deadline: None,
        at_most_once: false,
    }
}

fn open_queue(capacity: u32) -> Queue {
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

fn started_ids(actions: Vec<Action>) -> Vec<String> {
    actions
        .into_iter()
        .filter_map(|action| match action {
            Action::Start(id) => Some(id.to_string()),
            _ => None,
        })
        .collect()
}

#[test]
fn a_backlog_of_one_organisation_does_not_starve_another() {
    let mut queue = open_queue(1);
    let mut running = Vec::new();
    for n in 0..200 {
        running.extend(started_ids(
            queue.step(Duration::ZERO, Event::Arrive(job(n, "large", 0))),
        ));
    }
    running.extend(started_ids(
        queue.step(Duration::ZERO, Event::Arrive(job(0, "small", 0))),
    ));
    let mut finished_before = 0;
    while let Some(id) = running.pop() {
        if id.starts_with("small") {
            break;
        }
        finished_before += 1;
        let event = Event::Finish {
            id: id.as_str().into(),
            sample: None,
        };
        running.extend(started_ids(queue.step(Duration::from_secs(1), event)));
    }
    assert!(
        finished_before <= 2,
        "{finished_before} requests of the large organisation ran first"
    );
}

#[test]
fn a_full_queue_sheds_requests_of_the_organisation_with_the_largest_backlog() {
    let mut queue = open_queue(1);
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
fn least_attained_service_goes_first_until_ageing_outweighs_it() {
    let mut queue = open_queue(1);
    queue.step(Duration::ZERO, Event::Arrive(job(0, "o", 0)));
    queue.step(Duration::ZERO, Event::Arrive(job(1, "o", 50_000)));
    queue.step(Duration::ZERO, Event::Arrive(job(2, "o", 10)));
    let finish = |id: &str| Event::Finish {
        id: id.into(),
        sample: None,
    };
    let next = started_ids(queue.step(Duration::from_secs(1), finish("o-0")));
    assert_eq!(next, ["o-2"]);
    let after_long_wait = Duration::from_secs(40);
    queue.step(after_long_wait, Event::Arrive(job(3, "o", 10)));
    let next = started_ids(queue.step(after_long_wait, finish("o-2")));
    assert_eq!(
        next,
        ["o-1"],
        "a long time in the queue outweighs attained service"
    );
}

#[test]
fn the_limit_at_most_doubles_per_round_and_a_restart_resets_it() {
    let mut ramp = Ramp::new(ramp::Options::default(), Duration::ZERO);
    assert_eq!(ramp.limit(), 1);
    let served = Input::Sample(Sample::Served {
        took: Duration::from_millis(100),
        cost: 10.0,
    });
    let mut rounds = 0;
    while !ramp.is_warm() {
        let limit_before = ramp.limit();
        for _ in 0..limit_before {
            ramp.handle(served);
        }
        assert!(
            ramp.limit() <= limit_before * 2,
            "from {limit_before} to {}",
            ramp.limit()
        );
        rounds += 1;
        assert!(rounds < 20);
    }
    ramp.handle(Input::Restarted);
    assert_eq!((ramp.limit(), ramp.is_warm()), (1, false));
}

#[test]
fn three_slow_samples_lower_the_limit() {
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
    let warm_limit = ramp.limit();
    for _ in 0..3 {
        ramp.handle(sample(900));
    }
    assert!(
        ramp.limit() <= warm_limit / 2,
        "{} of {warm_limit}",
        ramp.limit()
    );
}

#[test]
fn an_order_with_a_lower_fencing_number_is_refused() {
    let mut fence = Fence::new(7);
    assert!(fence.admit(6).is_err());
    assert!(fence.admit(7).is_ok());
    assert!(fence.admit(9).is_ok());
    assert_eq!(fence.admit(8).map_err(|error| error.latest), Err(9));
}
