//! Capacity kept beside free accelerators for tasks that use them.

mod common;

use common::{accelerated, batch, cell, cores, plan, starts};
use kspan_model::{JobId, Millis, Priority};
use kspan_placement::{End, JobSpec};

/// Returns a cell of one worker that has run a task with two cores per accelerator and expects
/// more.
fn cell_expecting_accelerated_tasks() -> kspan_placement::Cell {
    let mut cell = cell(1, accelerated(8, 4));
    cell.submit(batch(1, 1, accelerated(2, 1)));
    let task = starts(&plan(&mut cell, 1))[0].task;
    cell.record_end(task, End::Succeeded, Millis(2));
    cell
}

#[test]
fn other_tasks_leave_headroom_beside_free_accelerators() {
    let mut cell = cell_expecting_accelerated_tasks();
    cell.submit(batch(2, 1, cores(4)));
    assert!(starts(&plan(&mut cell, 3)).is_empty());
    cell.submit(batch(3, 4, accelerated(2, 1)));
    assert_eq!(starts(&plan(&mut cell, 4)).len(), 4);
}

#[test]
fn headroom_is_released_once_no_accelerated_tasks_are_expected() {
    let mut cell = cell_expecting_accelerated_tasks();
    cell.submit(batch(2, 1, cores(4)));
    assert!(starts(&plan(&mut cell, 1_000_000)).is_empty());
    assert_eq!(starts(&plan(&mut cell, 2_000_000)).len(), 1);
}

#[test]
fn urgent_tasks_ignore_accelerator_headroom() {
    let mut cell = cell_expecting_accelerated_tasks();
    cell.submit(JobSpec {
        priority: Priority::Urgent,
        ..batch(2, 1, cores(4))
    });
    let started = starts(&plan(&mut cell, 3));
    assert_eq!(started[0].task.job, JobId(2));
}
