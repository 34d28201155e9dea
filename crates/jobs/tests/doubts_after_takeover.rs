//! Regression tests for runs that a new owner can't see and doesn't wait for.

mod one_cell;

use kspan_jobs::{engine::RunnerIx, runner::EndKind};
use one_cell::*;

/// Guards against a task that starts while one of several late runs of it has not ended.
#[test]
fn task_waits_until_each_late_run_of_it_has_ended() {
    let ids = ["w0", "w1", "w2"];
    let mut cell = Cell::new(&ids);
    cell.take_over(spec(), &ids);
    (0..3).for_each(|runner_ix| cell.report_running(runner_ix));
    cell.report_ends(0, vec![end_row(1, task(), 1, EndKind::Failed)]);
    cell.report_ends(2, vec![end_row(1, task(), 1, EndKind::Stopped)]);
    cell.report_running(1);
    cell.commit();
    assert_eq!(cell.next_start(), None);
    assert_eq!(cell.engine.runner_of(task()), None::<RunnerIx>);
}
