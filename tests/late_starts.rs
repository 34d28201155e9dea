//! Starts that are carried out late by the next incarnation of their runner, after the owner that sent them was lost:
//! real processes, and the records of the runners.

mod harness;

use std::time::{Duration, Instant};

use harness::{
    POLL_INTERVAL, Process, TIMEOUT, call_until, check_runs,
    standin::{LateStart, PREFIX, Platform, RunRecord, lasting_job_body},
    wait_for_owner,
};

/// Number of hosts.
const HOSTS: usize = 3;

/// Number of runners, each with room for one lasting task.
const RUNNERS: usize = 4;

/// Time after which a process that was killed starts again.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);

/// Time for which a runner that is in touch again may show what it has.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Time after a start within which its task has a run again: that of the longest doubt, and a takeover.
const MAX_TIME_WITHOUT_RUN: Duration = Duration::from_secs(35);

/// How many processes are killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Killed {
    Owner,
    All,
}

/// A course of events, with the times from the start, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Case {
    killed: Killed,
    killed_after_ms: u64,
    back_after_ms: u64,
    cut_again_ms: u64,
}

fn case(killed: Killed, killed_after_ms: u64, back_after_ms: u64, cut_again_ms: u64) -> Case {
    Case {
        killed,
        killed_after_ms,
        back_after_ms,
        cut_again_ms,
    }
}

/// Waits until the platform is in a state.
async fn wait_until(limit: Duration, what: &str, mut is_reached: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !is_reached() {
        assert!(started_at.elapsed() < limit, "{what} after {limit:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Plays a case with a task that lasts, and returns the platform once a run of it has lasted.
async fn play(number: usize, case: Case) -> Platform {
    let platform = Platform::start(RUNNERS);
    let first = 300 + number * HOSTS;
    let mut processes: Vec<Process> = (first..first + HOSTS)
        .map(|number| Process::start(number, &platform))
        .collect();
    let owner = wait_for_owner(&processes).await;
    platform.plan_late_start(LateStart {
        back_after: Duration::from_millis(case.back_after_ms),
        cut_again: Duration::from_millis(case.cut_again_ms),
    });
    let path = format!("{PREFIX}00000000000000c0");
    let body = lasting_job_body();
    call_until("POST", &processes[owner].callers, &path, &body, 200).await;
    wait_until(TIMEOUT, "no start", || platform.is_start_held()).await;
    tokio::time::sleep(Duration::from_millis(case.killed_after_ms)).await;
    let is_killed = |number: usize| case.killed == Killed::All || number == owner;
    let all = processes.iter_mut().enumerate();
    let mut killed: Vec<&mut Process> = all
        .filter(|(number, _)| is_killed(*number))
        .map(|(_, process)| process)
        .collect();
    killed.iter_mut().for_each(|process| process.kill());
    tokio::time::sleep(RESTART_DELAY).await;
    killed.iter_mut().for_each(|process| process.restart());
    let back_after = Duration::from_millis(case.back_after_ms + case.cut_again_ms);
    tokio::time::sleep(back_after + SETTLING_TIME).await;
    let is_at_work = |run: &RunRecord| run.ended.is_none();
    wait_until(MAX_TIME_WITHOUT_RUN, "no run", || {
        platform.runs().iter().any(|(_, run)| is_at_work(run))
    })
    .await;
    platform
}

/// Plays cases side by side, and checks that no task ran twice in any.
async fn check(first: usize, cases: &[Case]) {
    let plays = (first..).zip(cases);
    let plays: Vec<_> = plays
        .map(|(number, case)| (case, ntex::rt::spawn(play(number, *case))))
        .collect();
    for (case, play) in plays {
        let platform = play.await.expect("no play panics");
        println!("{case:?}: {:?}", platform.runs());
        check_runs(&platform);
    }
}

/// Guards against a task that runs twice because the owner is lost within a second of a start that its runner's next
/// incarnation carries out late.
#[ntex::test]
async fn task_of_a_late_start_runs_once_after_the_owner_is_lost() {
    let cases = [
        case(Killed::Owner, 500, 9_500, 6_000),
        case(Killed::Owner, 1_000, 11_500, 0),
        case(Killed::Owner, 1_500, 7_500, 6_000),
    ];
    check(0, &cases).await;
}

/// Guards against the same if all processes are killed.
#[ntex::test]
async fn task_of_a_late_start_runs_once_after_all_processes_are_killed() {
    let cases = [
        case(Killed::All, 500, 7_500, 6_000),
        case(Killed::All, 1_000, 9_500, 0),
        case(Killed::All, 1_000, 11_500, 6_000),
        case(Killed::All, 1_500, 11_500, 0),
    ];
    check(10, &cases).await;
}
