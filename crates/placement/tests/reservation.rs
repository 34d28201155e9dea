//! Reservations of gangs, and backfilling of the reserved capacity.

mod common;

use common::{batch, cell, cores, gang, plan, starts};
use kspan_model::{JobId, Millis, TaskId, document::TaskShape};
use kspan_placement::{Cell, Decision, End, JobSpec, WaitReason};

/// Returns a cell of two workers and a task that occupies one of them until 60 s. A gang that needs
/// both workers has reserved the other one, and the first from then on.
fn cell_with_reserved_gang() -> (Cell, TaskId) {
    let mut cell = cell(2, cores(4));
    cell.submit(batch(1, 1, cores(4)));
    let long = starts(&plan(&mut cell, 1))[0].task;
    cell.record_start(long, Millis(1));
    cell.submit(gang(2, 2, cores(4), false));
    assert!(starts(&plan(&mut cell, 100)).is_empty());
    assert!(matches!(
        cell.explain(JobId(2)),
        Some(WaitReason::Reserved { .. })
    ));
    (cell, long)
}

fn competing_job(id: u128, run_time: Millis, checkpoint: bool) -> JobSpec {
    let size = cores(4);
    JobSpec {
        run_time,
        shape: TaskShape { size, checkpoint },
        submitted: Millis(200),
        ..batch(id, 1, size)
    }
}

#[test]
fn task_that_ends_in_time_is_backfilled() {
    let (mut cell, long) = cell_with_reserved_gang();
    cell.submit(competing_job(3, Millis::from_secs(20), false));
    let started = starts(&plan(&mut cell, 400));
    assert_eq!(started.len(), 1);
    cell.record_end(started[0].task, End::Succeeded, Millis(20_400));
    cell.record_end(long, End::Succeeded, Millis(60_000));
    assert_eq!(starts(&plan(&mut cell, 60_300)).len(), 2);
}

#[test]
fn task_that_would_delay_the_gang_is_not_backfilled() {
    let (mut cell, _) = cell_with_reserved_gang();
    cell.submit(competing_job(3, Millis::from_secs(100), false));
    assert!(starts(&plan(&mut cell, 400)).is_empty());
}

#[test]
fn backfilled_task_is_checkpointed_when_the_gang_needs_its_capacity() {
    let (mut cell, long) = cell_with_reserved_gang();
    cell.submit(competing_job(3, Millis::from_secs(100), true));
    let started = starts(&plan(&mut cell, 400));
    assert_eq!(started.len(), 1);
    cell.record_start(started[0].task, Millis(410));
    cell.record_end(long, End::Succeeded, Millis(50_000));
    let decisions = plan(&mut cell, 50_300);
    let [
        Decision::Preempt {
            task,
            checkpoint: true,
            ..
        },
    ] = &decisions[..]
    else {
        panic!("expected a preemption of the backfilled task: {decisions:?}");
    };
    assert_eq!(*task, started[0].task);
    cell.record_end(*task, End::Checkpointed, Millis(50_400));
    let gang = starts(&plan(&mut cell, 50_500));
    assert_eq!(gang.len(), 2);
    assert!(gang.iter().all(|start| start.task.job == JobId(2)));
}

#[test]
fn other_jobs_go_first_after_a_reservation_expires() {
    let (mut cell, _) = cell_with_reserved_gang();
    // The long task has exceeded its declared run time by far.
    cell.submit(competing_job(3, Millis::from_secs(10_000), false));
    let late = starts(&plan(&mut cell, 200_000));
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].task.job, JobId(3));
}
