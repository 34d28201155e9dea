//! Starts that are carried out late by the next incarnation of their runner, after the owner that sent them was lost:
//! real processes, and the records of the runners.

mod harness;

use std::time::{Duration, Instant};

use harness::{
    POLL_INTERVAL, Process, TIMEOUT, call_until, check_runs,
    standin::{LateStart, PREFIX, Platform, RunRecord, job_body, lasting_job_body},
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

/// Time after the end of the traffic at which a job with a task that could run must have something running.
const FINISH_TIME: Duration = Duration::from_secs(14);

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

/// Plays a start that its runner holds up until it crashes, where starts need approvals, and returns the platform once
/// the task has run elsewhere. The next incarnation carries the start out later.
async fn play_with_approvals(number: usize, is_owner_lost: bool, back_after: Duration) -> Platform {
    let platform = Platform::start_with_approvals(RUNNERS);
    let first = 400 + number * HOSTS;
    let mut processes: Vec<Process> = (first..first + HOSTS)
        .map(|number| Process::start_with_approvals(number, &platform))
        .collect();
    let owner = wait_for_owner(&processes).await;
    platform.plan_late_start(LateStart {
        back_after,
        cut_again: Duration::ZERO,
    });
    let path = format!("{PREFIX}00000000000000d0");
    let body = job_body("run 1000", &[1]);
    call_until("POST", &processes[owner].callers, &path, &body, 200).await;
    wait_until(TIMEOUT, "no start", || platform.is_start_held()).await;
    if is_owner_lost {
        tokio::time::sleep(Duration::from_secs(1)).await;
        drop(processes.swap_remove(owner));
    }
    wait_until(FINISH_TIME, "no run", || !platform.runs().is_empty()).await;
    tokio::time::sleep(back_after).await;
    platform
}

/// Guards against a job with nothing running at the end of a day: its start was sent to a runner just as that was lost, and
/// the next incarnation, which has no approval, can't carry it out.
#[ntex::test]
async fn task_of_a_start_that_needs_an_approval_runs_elsewhere_before_the_day_is_judged() {
    let plays = [false, true].into_iter().enumerate();
    let plays: Vec<_> = plays
        .map(|(number, is_owner_lost)| {
            let play = play_with_approvals(number, is_owner_lost, Duration::from_secs(18));
            (is_owner_lost, ntex::rt::spawn(play))
        })
        .collect();
    for (is_owner_lost, play) in plays {
        let platform = play.await.expect("no play panics");
        check_runs(&platform);
        assert_eq!(platform.runs().len(), 1, "owner lost: {is_owner_lost}");
        assert_eq!(platform.refused_tickets(), 1, "owner lost: {is_owner_lost}");
    }
}
