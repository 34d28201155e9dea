//! Workers that fail everything, jobs that fail everywhere, and what is learned of run times.

mod common;

use common::{batch, cell, cores, plan, starts, worker};
use kspan_model::{JobId, JobResult, Millis};
use kspan_placement::{Cell, End, JobSpec};

/// Runs jobs of one task for a while; the judge tells which starts fail.
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
fn a_worker_that_fails_everything_is_put_on_probation_and_eats_no_retries() {
    let mut cell = cell(4, cores(4));
    let bad = worker(2, cores(4)).name;
    let (failed, used) = run(&mut cell, 120, |_, worker| worker == bad.as_str());
    assert!(
        failed.is_empty(),
        "no job fails for one bad worker: {failed:?}"
    );
    let on_bad = used.iter().filter(|name| **name == *bad.as_str()).count();
    assert!(on_bad <= 12, "{on_bad} starts on the bad worker");
}

#[test]
fn a_job_that_fails_everywhere_condemns_no_worker() {
    let mut cell = cell(4, cores(4));
    let (failed, _) = run(&mut cell, 120, |job, _| job % 40 == 7);
    assert_eq!(failed, [JobId(7), JobId(47), JobId(87)]);
    let snapshot = cell.snapshot();
    assert!(snapshot.workers.iter().all(|row| row.state == "available"));
}

#[test]
fn a_worker_is_let_back_after_its_probation() {
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
