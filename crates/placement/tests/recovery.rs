//! Regression tests for faults found by the random sequences in `properties.rs`.

mod common;

use common::{batch, cell, cores, gang, plan, service, starts, worker};
use kspan_model::{JobId, JobResult, Millis, TaskId};
use kspan_placement::{
    AdoptOutcome, CancelOutcome, Cell, End, InventoryEntry, StartRefusal, TaskState, WorkerState,
};

fn found(task: TaskId) -> InventoryEntry {
    InventoryEntry {
        task,
        size: cores(4),
        state: TaskState::Running,
        started: Millis(0),
    }
}

fn adopt(cell: &mut Cell, number: u32, task: TaskId) -> AdoptOutcome {
    cell.adopt(&worker(number, cores(4)).name, found(task))
}

#[test]
fn gang_that_needs_every_worker_retries_on_the_worker_it_failed_on() {
    let mut cell = cell(2, cores(4));
    cell.submit(gang(1, 2, cores(4), false));
    let started = starts(&plan(&mut cell, 1));
    cell.record_end(started[0].task, End::Failed, Millis(2));
    cell.record_end(started[1].task, End::Stopped, Millis(3));
    assert!(starts(&plan(&mut cell, 2_000)).is_empty());
    assert_eq!(starts(&plan(&mut cell, 8_000)).len(), 2);
}

#[test]
fn refused_start_ends_a_cancelled_job() {
    let mut cell = cell(1, cores(4));
    cell.submit(batch(1, 1, cores(4)));
    let task = starts(&plan(&mut cell, 1))[0].task;
    cell.cancel(JobId(1));
    let done = cell
        .record_start_refusal(task, StartRefusal::TooLate, Millis(2))
        .done;
    assert_eq!(done.map(|done| done.result), Some(JobResult::Cancelled));
}

#[test]
fn partially_adopted_gang_is_stopped_and_restarted() {
    let mut cell = cell(3, cores(4));
    adopt(&mut cell, 0, TaskId::new(JobId(1), 0, 4));
    cell.submit(gang(1, 2, cores(4), false));
    let decisions = plan(&mut cell, 1);
    assert_eq!(
        decisions.len(),
        1,
        "only the running task is stopped: {decisions:?}"
    );
    cell.record_end(TaskId::new(JobId(1), 0, 4), End::Stopped, Millis(2));
    let started = starts(&plan(&mut cell, 3));
    assert_eq!(started.len(), 2);
}

#[test]
fn new_owner_does_not_reuse_an_attempt() {
    let mut cell = cell(3, cores(4));
    cell.submit(gang(1, 2, cores(4), false));
    for attempt in 0..2 {
        cell.record_end(TaskId::new(JobId(1), 0, attempt), End::Stopped, Millis(1));
    }
    let started = starts(&plan(&mut cell, 60_000));
    let first = started.iter().find(|start| start.task.index == 0);
    assert_eq!(first.map(|start| start.task.attempt), Some(2));
}

#[test]
fn cancelled_job_ends_after_its_superseded_tasks() {
    let mut cell = cell(2, cores(4));
    cell.submit(service(1, 0, cores(4)));
    let task = TaskId::new(JobId(1), 0, 0);
    assert_eq!(adopt(&mut cell, 0, task), AdoptOutcome::Superseded);
    let CancelOutcome::Running(stop) = cell.cancel(JobId(1)) else {
        panic!("a task of the job was found");
    };
    assert_eq!(stop[0].task, task);
    assert!(
        cell.record_end(task, End::Stopped, Millis(2))
            .done
            .is_some()
    );
}

#[test]
fn ended_runner_beyond_the_service_size_counts_as_started() {
    let mut cell = cell(2, cores(4));
    cell.submit(service(1, 0, cores(4)));
    cell.record_end(TaskId::new(JobId(1), 3, 0), End::Stopped, Millis(1));
    assert_eq!(cell.cancel(JobId(1)), CancelOutcome::Running(Vec::new()));
}

#[test]
fn reservation_is_dropped_when_its_worker_leaves() {
    let mut cell = cell(2, cores(4));
    cell.submit(batch(1, 2, cores(4)));
    let started = starts(&plan(&mut cell, 1));
    cell.submit(gang(2, 2, cores(4), false));
    plan(&mut cell, 300);
    assert!(matches!(
        cell.explain(JobId(2)),
        Some(kspan_placement::WaitReason::Reserved { .. })
    ));
    cell.set_worker_state(&started[0].worker, WorkerState::Gone);
    cell.record_end(started[0].task, End::Lost, Millis(400));
    assert_eq!(cell.counts().workers, 1);
    assert!(cell.audit().is_empty());
}
