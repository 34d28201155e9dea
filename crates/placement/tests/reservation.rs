//! Reservations of gangs and what may use the capacity meanwhile.

mod common;

use common::{batch, cell, cores, gang, plan, starts};
use kspan_model::{JobId, Millis, TaskId, document::TaskShape};
use kspan_placement::{Cell, Decision, End, JobSpec, WaitReason};

/// Returns a cell of two workers, one of which runs a task until 60 s while a gang that needs
/// both holds the other, and that task.
fn gang_that_waits() -> (Cell, TaskId) {
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

fn other(id: u128, run_time: Millis, checkpoint: bool) -> JobSpec {
    let size = cores(4);
    JobSpec {
        run_time,
        shape: TaskShape { size, checkpoint },
        submitted: Millis(200),
        ..batch(id, 1, size)
    }
}

#[test]
fn work_that_ends_in_time_uses_the_reserved_capacity() {
    let (mut cell, long) = gang_that_waits();
    cell.submit(other(3, Millis::from_secs(20), false));
    let begun = starts(&plan(&mut cell, 400));
    assert_eq!(begun.len(), 1);
    cell.record_end(begun[0].task, End::Succeeded, Millis(20_400));
    cell.record_end(long, End::Succeeded, Millis(60_000));
    assert_eq!(starts(&plan(&mut cell, 60_300)).len(), 2);
}

#[test]
fn work_that_would_delay_the_gang_waits() {
    let (mut cell, _) = gang_that_waits();
    cell.submit(other(3, Millis::from_secs(100), false));
    assert!(starts(&plan(&mut cell, 400)).is_empty());
}

#[test]
fn work_that_can_be_checkpointed_makes_way_when_the_gang_needs_it() {
    let (mut cell, long) = gang_that_waits();
    cell.submit(other(3, Millis::from_secs(100), true));
    let begun = starts(&plan(&mut cell, 400));
    assert_eq!(begun.len(), 1);
    cell.record_start(begun[0].task, Millis(410));
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
        panic!("the backfilled task makes way: {decisions:?}");
    };
    assert_eq!(*task, begun[0].task);
    cell.record_end(*task, End::Checkpointed, Millis(50_400));
    let gang = starts(&plan(&mut cell, 50_500));
    assert_eq!(gang.len(), 2);
    assert!(gang.iter().all(|start| start.task.job == JobId(2)));
}

#[test]
fn a_reservation_expires_and_others_go_first_for_a_while() {
    let (mut cell, _) = gang_that_waits();
    // The long task overruns its declared time by far.
    cell.submit(other(3, Millis::from_secs(10_000), false));
    let late = starts(&plan(&mut cell, 200_000));
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].task.job, JobId(3));
}
