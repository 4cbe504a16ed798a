use std::time::Duration;

use celerycove_types::Timestamp;

use super::Startup;

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(millis)
}

/// Guards against refusals in the moment between the start of an entry and its first configuration,
/// and against requests that are held although none is to be expected.
#[test]
fn requests_wait_only_shortly_after_the_start() {
    let startup = Startup::new(at(1_000));
    let limit = Duration::from_secs(10);
    assert_eq!(startup.max_wait(at(1_000), limit), Duration::from_secs(1));
    assert_eq!(
        startup.max_wait(at(3_900), limit),
        Duration::from_millis(100)
    );
    assert_eq!(startup.max_wait(at(60_000), limit), Duration::ZERO);
}

/// Guards against a wait that uses up the time of a short request.
#[test]
fn a_request_waits_at_most_a_quarter_of_its_time_limit() {
    let startup = Startup::new(at(0));
    let limit = Duration::from_millis(800);
    assert_eq!(startup.max_wait(at(0), limit), Duration::from_millis(200));
}

/// Guards against a lost wake-up: the configuration may arrive before or during the wait.
#[tokio::test]
async fn a_waiting_request_goes_on_with_the_configuration() {
    const MUCH_TOO_LONG: Duration = Duration::from_mins(1);
    let startup = Startup::new(at(0));
    let began = std::time::Instant::now();
    let wait = startup.wait(MUCH_TOO_LONG, || false);
    let configure = async {
        tokio::task::yield_now().await;
        startup.set_configured();
    };
    tokio::join!(wait, configure);
    startup.wait(MUCH_TOO_LONG, || true).await;
    assert!(began.elapsed() < MUCH_TOO_LONG / 2);
}
