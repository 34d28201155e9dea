//! Regression tests for runs that a new owner adopts while the previous one may still order.

mod one_cell;

use one_cell::*;

/// Guards against a task that runs twice after a takeover: the previous owner hears of the end of a run too, by a call
/// that it sent before, and starts the task again on a runner that has not answered the new owner yet.
#[test]
fn adopted_task_starts_again_once_all_runners_have_answered() {
    let mut cell = Cell::new(&["w0", "w1"]);
    cell.take_over(spec(), &["w0", "w1"]);
    cell.report_running(0);
    assert!(cell.schedule().is_empty(), "the run is adopted");
    cell.report_ends(0, vec![failed_end(1, 1)]);
    cell.commit();
    assert!(
        cell.schedule().is_empty(),
        "the previous owner may have started the task on w1"
    );
    cell.report_ends(1, Vec::new());
    assert!(cell.next_start().is_some());
}
