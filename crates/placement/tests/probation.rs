//! Probation: failures caused by a worker versus failures caused by a job.

mod common;

use common::{batch, cell, cores, plan, starts, worker};
use kspan_model::{JobId, JobResult, Millis};
use kspan_placement::{Cell, End, JobSpec};

/// Submits `jobs` jobs of one task over 200 rounds. `fails` decides by job and worker which starts
/// fail. Returns the failed jobs and the workers of all starts.
fn run(
    cell: &mut Cell,
    jobs: u128,
    fails: impl Fn(u128, &str) -> bool,
) -> (Vec<JobId>, Vec<String>) {
    let mut failed = Vec::new();
    let mut used = Vec::new();
    for round in 0..200_u64 {
        let now = round * 2_000;
        if u128::from(round) < jobs {
            cell.submit(JobSpec {
                retries: 1,
                submitted: Millis(now),
                ..batch(u128::from(round), 1, cores(1))
            });
        }
        for start in starts(&plan(cell, now)) {
            let is_failure = fails(start.task.job.0, start.worker.as_str());
            let end = if is_failure {
                End::Failed
            } else {
                End::Succeeded
            };
            used.push(start.worker.as_str().to_owned());
            let done = cell.record_end(start.task, end, Millis(now + 500)).done;
            failed.extend(
                done.filter(|done| done.result == JobResult::Failed)
                    .map(|done| done.job),
            );
        }
    }
    (failed, used)
}

#[test]
fn failing_worker_goes_on_probation_without_using_up_retries() {
    let mut cell = cell(4, cores(4));
    let failing = worker(2, cores(4)).name;
    let (failed, used) = run(&mut cell, 120, |_, worker| worker == failing.as_str());
    assert!(
        failed.is_empty(),
        "no job fails because of the failing worker: {failed:?}"
    );
    let on_failing = used
        .iter()
        .filter(|name| **name == *failing.as_str())
        .count();
    assert!(
        on_failing <= 12,
        "{on_failing} starts on the failing worker"
    );
}

#[test]
fn job_failing_on_every_worker_puts_no_worker_on_probation() {
    let mut cell = cell(4, cores(4));
    let (failed, _) = run(&mut cell, 120, |job, _| job % 40 == 7);
    assert_eq!(failed, [JobId(7), JobId(47), JobId(87)]);
    let snapshot = cell.snapshot();
    assert!(snapshot.workers.iter().all(|row| row.state == "available"));
}

#[test]
fn worker_accepts_tasks_again_after_a_successful_trial() {
    let mut cell = cell(1, cores(4));
    for id in 0..3 {
        cell.submit(batch(id, 1, cores(1)));
    }
    for start in starts(&plan(&mut cell, 1)) {
        cell.record_end(start.task, End::Failed, Millis(2));
    }
    assert_eq!(cell.snapshot().workers[0].state, "on probation");
    assert!(starts(&plan(&mut cell, 20_000)).is_empty());
    let trial = starts(&plan(&mut cell, 40_000));
    assert_eq!(trial.len(), 1, "one task at a time on trial");
    cell.record_end(trial[0].task, End::Succeeded, Millis(41_000));
    assert_eq!(starts(&plan(&mut cell, 42_000)).len(), 2);
}
