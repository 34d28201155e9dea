//! Accelerators stay usable by the work that wants them.

mod common;

use common::{accelerated, batch, cell, cores, plan, starts};
use kspan_model::{JobId, Millis, Priority};
use kspan_placement::{End, JobSpec};

/// Work that wants two cores beside each accelerator has been seen on the one worker.
fn cell_that_expects_accelerated_work() -> kspan_placement::Cell {
    let mut cell = cell(1, accelerated(8, 4));
    cell.submit(batch(1, 1, accelerated(2, 1)));
    let task = starts(&plan(&mut cell, 1))[0].task;
    cell.record_end(task, End::Succeeded, Millis(2));
    cell
}

#[test]
fn other_work_leaves_what_free_accelerators_need_beside_them() {
    let mut cell = cell_that_expects_accelerated_work();
    cell.submit(batch(2, 1, cores(4)));
    assert!(starts(&plan(&mut cell, 3)).is_empty());
    cell.submit(batch(3, 4, accelerated(2, 1)));
    assert_eq!(starts(&plan(&mut cell, 4)).len(), 4);
}

#[test]
fn other_work_runs_once_no_accelerated_work_is_expected() {
    let mut cell = cell_that_expects_accelerated_work();
    cell.submit(batch(2, 1, cores(4)));
    assert!(starts(&plan(&mut cell, 1_000_000)).is_empty());
    assert_eq!(starts(&plan(&mut cell, 2_000_000)).len(), 1);
}

#[test]
fn urgent_work_does_not_wait_for_accelerators() {
    let mut cell = cell_that_expects_accelerated_work();
    cell.submit(JobSpec {
        priority: Priority::Urgent,
        ..batch(2, 1, cores(4))
    });
    let begun = starts(&plan(&mut cell, 3));
    assert_eq!(begun[0].task.job, JobId(2));
}
