//! End-to-end test of tasks that crash their runners: real processes of a cell against a fake of the
//! users' platform.

mod harness;

use std::time::Instant;

use harness::{
    POLL_INTERVAL, Process, TIMEOUT, call_until, check_runs,
    standin::{PREFIX, Platform, job_body},
    wait_for_owner, wait_for_state,
};

/// Number of starts of a crashing task that are allowed in all: two after the third crash.
const MAX_STARTS: usize = 5;

/// Number of hosts.
const HOSTS: usize = 3;

fn starts_of(platform: &Platform, job: &str) -> usize {
    let runs = platform.runs();
    runs.iter()
        .filter(|(_, run)| run.task.starts_with(job))
        .count()
}

async fn wait_for_starts(platform: &Platform, job: &str, count: usize) {
    let started_at = Instant::now();
    while starts_of(platform, job) < count {
        assert!(started_at.elapsed() < TIMEOUT, "{job} starts {count} times");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[ntex::test]
async fn crashing_task_is_given_up_although_all_hosts_lose_power() {
    let platform = Platform::start(4);
    let start = |first: usize| -> Vec<Process> {
        (first..first + HOSTS)
            .map(|number| Process::start(number, &platform))
            .collect()
    };
    let processes = start(40);
    wait_for_owner(&processes).await;
    let (crashing, harmless) = ("00000000000000f1", "00000000000000f2");
    let path = |id: &str| format!("{PREFIX}{id}");
    let body = job_body("run 400", &[3, 3]);
    call_until("POST", &processes[0].callers, &path(harmless), &body, 200).await;
    let body = job_body("crash 20", &[1]);
    call_until("POST", &processes[0].callers, &path(crashing), &body, 200).await;

    // All processes end at the same moment, after the second crash and right after another job was
    // accepted. None of them keeps anything.
    wait_for_starts(&platform, crashing, 2).await;
    let accepted_last = "00000000000000f3";
    let body = job_body("run 50", &[1]);
    call_until(
        "POST",
        &processes[1].callers,
        &path(accepted_last),
        &body,
        200,
    )
    .await;
    drop(processes);
    let processes = start(50);
    wait_for_owner(&processes).await;
    let addr = &processes[0].callers;
    wait_for_state(addr, crashing, "failed").await;
    wait_for_state(addr, harmless, "completed").await;
    wait_for_state(addr, accepted_last, "completed").await;
    let starts = starts_of(&platform, crashing);
    assert!((3..=MAX_STARTS).contains(&starts), "{starts} starts");
    check_runs(&platform);
}
