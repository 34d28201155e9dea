//! Regression tests for the lease that the next incarnation of a silent runner may have.

mod one_cell;

use kspan_jobs::{
    engine::RunnerIx,
    runner::{InventoryOutcome, RunnerEntry},
};
use kspan_model::{Millis, Resources};
use one_cell::*;

const OTHER_PATH: &str = "/q/000000000000000b";

/// Submits a job with a small task and sends its start to the first runner, which does not answer.
fn send_small_start(cell: &mut Cell, path: &str) {
    let mut small = spec();
    small.steps[0].size = Resources::new(1_000, 1_000, 0);
    cell.submit_spec(path, small);
    assert_eq!(cell.schedule_and_send(false), [0]);
}

/// Guards against a task that runs twice because a later order for another task, which the next incarnation of
/// its runner executes too, extends the lease of everything there.
#[test]
fn later_order_extends_the_lease_of_all_runs_of_the_next_incarnation() {
    // Time between the two orders, in ms.
    for gap in [0, 500, 1_500, 2_000] {
        let mut cell = Cell::new(&["w0", "w1"]);
        cell.report_ends(0, Vec::new());
        send_small_start(&mut cell, PATH);
        cell.advance(gap);
        send_small_start(&mut cell, OTHER_PATH);
        cell.report_ends(1, Vec::new());
        let listed = RunnerEntry {
            started_unix_ms: 2,
            ..entry("w0")
        };
        cell.engine.upsert_runner(Millis(cell.now), listed);
        let start = (100..=14_000).step_by(100).find(|_| {
            cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
            cell.report_ends(1, Vec::new());
            cell.advance(100);
            cell.commit();
            cell.schedule();
            cell.engine.runner_of(task()) == Some(RunnerIx(1))
        });
        let after = start.expect("the task starts elsewhere");
        let longest = settings().max_lease.0;
        assert!(
            after > longest,
            "{gap} ms between the orders: the task starts elsewhere {after} ms after the second one, which may have \
             granted {longest} ms"
        );
    }
}
