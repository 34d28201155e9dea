//! Lasting tasks of real processes while runners and owners are lost: how long a task stays without a
//! run, from the records of the runners.

mod harness;

use std::time::{Duration, Instant};

use harness::{
    POLL_INTERVAL, Process, TIMEOUT, call_until, check_runs,
    standin::{PREFIX, Platform, lasting_job_body},
    wait_for_owner,
};

/// Time without a run after which callers count a lasting task as lost.
const MAX_TIME_WITHOUT_RUN: Duration = Duration::from_secs(9);

/// Time after the last loss within which a lasting task has a run again: until the rest counts as in touch (3 s), and
/// the 7 s without a disruption after which callers count the task as lost.
const MAX_TIME_AFTER_LOSS: Duration = Duration::from_secs(10);

/// Time after a start within which an inventory lists the run.
const LISTING_TIME: Duration = Duration::from_secs(3);

/// Time for which a runner is cut off, longer than any lease.
const CUT_OFF: Duration = Duration::from_secs(8);

/// Number of hosts.
const HOSTS: usize = 3;

/// Number of runners, each with room for one lasting task.
const RUNNERS: usize = 5;

fn job(number: usize) -> String {
    format!("00000000000000a{number}")
}

/// Starts the processes of a cell, the first of which has a number. Returns them with the index of the owner.
async fn start_processes(first: usize, platform: &Platform) -> (Vec<Process>, usize) {
    let numbers = first..first + HOSTS;
    let processes = numbers.map(|number| Process::start(number, platform));
    let processes: Vec<Process> = processes.collect();
    let owner = wait_for_owner(&processes).await;
    (processes, owner)
}

/// Returns the runner of the job's latest run and the number of its runs.
fn latest_run(platform: &Platform, job: &str) -> Option<(usize, usize)> {
    let runs = platform.runs();
    let of_job = runs.iter().filter(|(_, run)| run.task.starts_with(job));
    let latest = of_job.clone().max_by_key(|(_, run)| run.began)?;
    Some((latest.0, of_job.count()))
}

async fn wait_for_run(platform: &Platform, job: &str, number: usize, limit: Duration) -> usize {
    let started_at = Instant::now();
    loop {
        if let Some((runner, count)) = latest_run(platform, job)
            && count >= number
        {
            return runner;
        }
        assert!(
            started_at.elapsed() < limit,
            "{job} has no run {number} after {limit:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against a lasting task that nobody starts again for many seconds: its lease has expired on a
/// runner that was cut off, and the new owner waits for another runner that was lost for good.
#[ntex::test]
async fn lasting_task_runs_again_soon_after_its_runner_another_one_and_the_owner_were_lost() {
    let platform = Platform::start(RUNNERS);
    let (mut processes, owner) = start_processes(60, &platform).await;
    let addr = &processes[owner].callers;
    for number in 0..2 {
        let path = format!("{PREFIX}{}", job(number));
        call_until("POST", addr, &path, &lasting_job_body(), 200).await;
    }
    let cut_off = wait_for_run(&platform, &job(0), 1, TIMEOUT).await;
    let lost = wait_for_run(&platform, &job(1), 1, TIMEOUT).await;

    let runner = |number: usize| {
        platform.runners[number]
            .lock()
            .expect("no handler panicked")
    };
    runner(cut_off).set_cut_off(true);
    // The other runner is lost, and the owner shortly after it, so that the lease of the first expires
    // about when the next owner reaches it.
    tokio::time::sleep(CUT_OFF - Duration::from_secs(3)).await;
    runner(lost).lose();
    tokio::time::sleep(Duration::from_secs(1)).await;
    drop(processes.swap_remove(owner));
    tokio::time::sleep(Duration::from_secs(2)).await;
    runner(cut_off).set_cut_off(false);

    wait_for_run(&platform, &job(0), 2, MAX_TIME_WITHOUT_RUN).await;
    wait_for_run(&platform, &job(1), 2, TIMEOUT).await;
    check_runs(&platform);
}

/// Guards against a lasting task that waits for orders of an owner whose host is gone for good: its runner was lost for
/// good a second before the host, and the owner had recorded what was there.
#[ntex::test]
async fn lasting_task_runs_again_soon_after_its_runner_and_the_host_of_the_owner_were_lost() {
    let platform = Platform::start(RUNNERS);
    let (mut processes, owner) = start_processes(70, &platform).await;
    let path = format!("{PREFIX}{}", job(0));
    let addr = &processes[owner].callers;
    call_until("POST", addr, &path, &lasting_job_body(), 200).await;
    let lost = wait_for_run(&platform, &job(0), 1, TIMEOUT).await;
    // The owner has read an inventory that lists the run.
    tokio::time::sleep(LISTING_TIME).await;

    platform.runners[lost]
        .lock()
        .expect("no handler panicked")
        .lose();
    tokio::time::sleep(Duration::from_secs(1)).await;
    drop(processes.swap_remove(owner));

    wait_for_run(&platform, &job(0), 2, MAX_TIME_AFTER_LOSS).await;
    check_runs(&platform);
}
