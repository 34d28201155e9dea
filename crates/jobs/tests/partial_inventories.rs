//! Regression tests for runners that list only a part of their ends.

mod one_cell;

use kspan_jobs::{
    engine::JobState,
    runner::{EndKind, EndedTask, Inventory, InventoryOutcome},
};
use kspan_model::Millis;
use one_cell::*;

/// Inventory of a runner that may have more ends than it lists.
fn partial_inventory(cell: &Cell, ended: Vec<EndedTask>, has_more_ends: bool) -> InventoryOutcome {
    InventoryOutcome::Inventory(Inventory {
        clock: Millis(cell.now),
        started_unix_ms: 1,
        ended,
        has_more_ends,
        ..Inventory::default()
    })
}

fn done_end(number: u64) -> EndedTask {
    EndedTask {
        how: EndKind::Done,
        ..failed_end(number, 1)
    }
}

/// Guards against a completed task that is started again because its end is not among those that a runner
/// lists at once.
#[test]
fn task_whose_end_is_not_listed_yet_is_not_lost() {
    let mut cell = Cell::with_start(true);
    cell.report_ends(1, Vec::new());
    for _ in 0..3 {
        let partial = partial_inventory(&cell, Vec::new(), true);
        cell.complete_inventory_call(0, &partial);
        assert!(cell.schedule().is_empty());
    }
    let last = partial_inventory(&cell, vec![done_end(501)], false);
    cell.complete_inventory_call(0, &last);
    cell.commit();
    assert_eq!(cell.engine.job_state(JOB), Some(JobState::Completed));
    // A run that is on no list is lost once all ends are listed.
    let mut cell = Cell::with_start(true);
    cell.report_ends(1, Vec::new());
    let last = partial_inventory(&cell, Vec::new(), false);
    cell.complete_inventory_call(0, &last);
    assert!(cell.next_start().is_some());
}

/// Guards against the same after a takeover: the new owner knows what a runner has once all its ends are
/// listed.
#[test]
fn new_owner_waits_for_all_ends_of_a_runner() {
    let mut cell = Cell::new(&[]);
    cell.take_over(spec(), &["w0", "w1"]);
    cell.report_ends(1, Vec::new());
    let partial = partial_inventory(&cell, Vec::new(), true);
    cell.complete_inventory_call(0, &partial);
    assert!(cell.schedule().is_empty());
    let last = partial_inventory(&cell, vec![done_end(501)], false);
    cell.complete_inventory_call(0, &last);
    cell.commit();
    assert!(cell.schedule().is_empty());
    assert_eq!(cell.engine.job_state(JOB), Some(JobState::Completed));
}
