//! The admission gate of an entry while its backend servers are slow.

use std::{cell::Cell, time::Duration};

use tokio::time::{Instant, sleep, timeout};

use crate::{
    backend::Failure,
    fleet::{self, Deployment},
};

const PROGRAMS: usize = 16;
const USUAL_PAUSE: u64 = 30;
const SLOW_PAUSE: u64 = 150;
/// Longer than the six seconds of measurements before an entry knows the usual load.
const LEARNING: Duration = Duration::from_secs(9);
/// Long enough to wait for a quarter of the caller's deadline of 4 s.
const AMPLE: Duration = Duration::from_mins(1);

fn pause_streams(deployment: &Deployment, pause_ms: u64) {
    deployment.set_failures(vec![Failure::PauseStream(pause_ms); 100_000]);
}

/// Sends turns of programs in progress until told to stop. None may be refused.
async fn keep_busy(deployment: &Deployment, is_over: &Cell<bool>) {
    let programs = (0..PROGRAMS).map(async |number| {
        let program = format!("old-{number}");
        let mut turn = 0;
        while !is_over.get() {
            turn += 1;
            let id = format!("{program}-{turn}");
            let reply = deployment.program_turn(&id, &program, AMPLE).await;
            assert_eq!(reply.status, 200, "{id}");
        }
    });
    futures_util::future::join_all(programs).await;
}

/// Runs programs of one turn at the usual load, from which the entry learns how much longer turns take
/// later, and that programs end soon, so that a first turn can afford to wait.
async fn run_short_programs(deployment: &Deployment) {
    let programs = (0..100).map(async |number| {
        let id = format!("short-{number}");
        let reply = deployment.program_turn(&id, &id, AMPLE).await;
        assert_eq!(reply.status, 200, "{id}");
    });
    futures_util::future::join_all(programs).await;
    sleep(LEARNING).await;
}

fn has_executed(deployment: &Deployment, id: &str) -> bool {
    let executed = deployment.executed_requests();
    executed.iter().any(|request| request.body == id.as_bytes())
}

/// Guards against new programs that are refused or delayed at the usual load, against an overload
/// in which they are not held back, against refused, cancelled or expired first turns that run
/// nevertheless, and against a gate that stays closed.
#[test]
fn first_turns_wait_or_are_refused_only_while_backend_servers_are_slow() {
    fleet::run(async |deployment: &Deployment| {
        let is_over = Cell::new(false);
        pause_streams(deployment, USUAL_PAUSE);
        let test = async {
            run_short_programs(deployment).await;
            let calm = deployment.program_turn("calm", "calm", Duration::from_millis(900));
            assert_eq!(calm.await.status, 200);

            pause_streams(deployment, SLOW_PAUSE);
            sleep(Duration::from_millis(1_200)).await;
            let asked_at = Instant::now();
            let hasty = deployment.program_turn("hasty", "hasty", Duration::from_millis(60));
            let hasty = hasty.await;
            assert_eq!((hasty.status, hasty.retry_after.is_some()), (503, true));
            assert!(asked_at.elapsed() < Duration::from_millis(500));
            let leaving = deployment.program_turn("leaving", "leaving", AMPLE);
            let leaving = timeout(Duration::from_millis(200), leaving).await;
            assert!(leaving.is_err(), "the first turn did not wait");

            pause_streams(deployment, USUAL_PAUSE);
            sleep(Duration::from_millis(1_500)).await;
            let later = deployment.program_turn("later", "later", Duration::from_millis(900));
            assert_eq!(later.await.status, 200);
            assert!(!has_executed(deployment, "hasty"));
            assert!(!has_executed(deployment, "leaving"));
            is_over.set(true);
        };
        tokio::join!(keep_busy(deployment, &is_over), test);
    });
}

/// Guards against callers that wait at an entry that stops.
#[test]
fn a_stop_refuses_waiting_first_turns() {
    fleet::run(async |deployment: &Deployment| {
        let is_over = Cell::new(false);
        pause_streams(deployment, USUAL_PAUSE);
        let test = async {
            run_short_programs(deployment).await;
            pause_streams(deployment, SLOW_PAUSE);
            sleep(Duration::from_millis(1_200)).await;
            let stop = async {
                sleep(Duration::from_millis(100)).await;
                is_over.set(true);
                drop(deployment.stop_entry());
            };
            let asked_at = Instant::now();
            let waiting = deployment.program_turn("waiting", "waiting", AMPLE);
            let (waiting, ()) = tokio::join!(waiting, stop);
            assert_eq!(
                (waiting.status, waiting.body.as_slice()),
                (503, b"Stopping".as_slice())
            );
            assert!(asked_at.elapsed() < Duration::from_millis(500));
            assert!(!has_executed(deployment, "waiting"));
        };
        tokio::join!(keep_busy(deployment, &is_over), test);
    });
}
