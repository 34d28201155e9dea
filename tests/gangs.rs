//! Attempts of gangs, with real processes: members on several runners fail in one run, which counts once.

mod harness;

use std::time::{Duration, Instant};

use harness::{
    POLL_INTERVAL, Process, TIMEOUT, call_until,
    standin::{MAX_ATTEMPTS, PREFIX, Platform, gang_job_body},
    wait_for_line, wait_for_owner, wait_for_state,
};
use serde_json::Value;

/// Number of runners, each of which has one member of a gang.
const RUNNERS: usize = 3;

const JOB: &str = "00000000000000a7";

/// Time in which an owner makes what it has learned durable.
const WRITE_TIME: Duration = Duration::from_millis(300);

fn start_processes(platform: &Platform, first: usize) -> Vec<Process> {
    let numbers = first..first + 3;
    numbers
        .map(|number| Process::start(number, platform))
        .collect()
}

async fn submit(process: &Process, body: &str) {
    let path = format!("{PREFIX}{JOB}");
    call_until("POST", &process.callers, &path, body, 200).await;
}

/// Returns the number of runs of the gang that have ended in some way.
fn ended(platform: &Platform, how: &str) -> usize {
    let runs = platform.runs();
    runs.iter().filter(|(_, run)| run.how == how).count()
}

async fn wait_for(what: &str, is_so: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !is_so() {
        assert!(started_at.elapsed() < TIMEOUT, "{what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against a gang that is given up after one run, because several of its members failed in it.
#[ntex::test]
async fn gang_starts_again_after_all_its_members_failed_in_one_run() {
    let platform = Platform::start(RUNNERS);
    let processes = start_processes(&platform, 80);
    let owner = wait_for_owner(&processes).await;
    submit(&processes[owner], &gang_job_body(RUNNERS, 300, RUNNERS, 1)).await;
    wait_for_state(&processes[owner].callers, JOB, "completed").await;
    assert_eq!(ended(&platform, "failed"), RUNNERS);
    // The first end of a member stands for all of them, so that the job may be completed before the others end.
    let all_done = || ended(&platform, "done") == RUNNERS;
    wait_for("all members end as done", all_done).await;
    assert_eq!(platform.runs().len(), 2 * RUNNERS);
}

/// Guards against the same where a new owner learns of some of the failures. Runners that the former owner can't
/// reach report theirs later.
#[ntex::test]
async fn gang_starts_again_after_its_members_failed_before_and_after_a_takeover() {
    let platform = Platform::start(RUNNERS);
    let mut processes = start_processes(&platform, 83);
    let owner = wait_for_owner(&processes).await;
    submit(
        &processes[owner],
        &gang_job_body(RUNNERS, 1_500, RUNNERS, 1),
    )
    .await;
    wait_for("the gang starts", || platform.runs().len() == RUNNERS).await;
    let set_cut_off = |is_cut_off| {
        for runner in &platform.runners[1..] {
            let mut runner = runner.lock().expect("no handler panicked");
            runner.set_cut_off(is_cut_off);
        }
    };
    set_cut_off(true);
    let is_failure = |line: &Value| line["message"] == "run ended" && line["how"] == "failed";
    wait_for_line(&processes[owner], JOB, is_failure).await;
    tokio::time::sleep(WRITE_TIME).await;
    drop(processes.swap_remove(owner));
    set_cut_off(false);
    let owner = wait_for_owner(&processes).await;
    wait_for_state(&processes[owner].callers, JOB, "completed").await;
    assert_eq!(ended(&platform, "failed"), RUNNERS);
    let lines = processes[owner].lines_of(JOB);
    let learned = lines.iter().filter(|line| is_failure(line)).count();
    assert!(learned >= 1, "the new owner learns of failures: {lines:?}");
}

/// Guards against a gang without a limit, and a failed job whose log and metrics don't tell why.
#[ntex::test]
async fn gang_is_given_up_after_its_last_attempt_and_the_log_names_the_runs() {
    let platform = Platform::start(RUNNERS);
    let processes = start_processes(&platform, 86);
    let owner = &processes[wait_for_owner(&processes).await];
    submit(owner, &gang_job_body(RUNNERS, 200, 2, u32::MAX)).await;
    wait_for_state(&owner.callers, JOB, "failed").await;
    assert_eq!(ended(&platform, "failed"), 2 * MAX_ATTEMPTS as usize);
    let is_cause = |line: &Value| line["message"] == "job failed" && line["why"] == "attempts";
    let lines = wait_for_line(owner, JOB, is_cause).await;
    let runs = lines.iter().find(|line| is_cause(line));
    assert_eq!(runs.expect("waited for")["runs"], "1 2");
    let metrics = call_until("GET", &owner.admin, "/metrics", "", 200).await;
    let name = "kspan_cell_jobs_failed_total{why=\"attempts\"} 1";
    assert!(metrics.contains(name), "{name} is missing in\n{metrics}");
}
