//! Regression tests for runs that a new owner can't see and doesn't wait for.

mod one_cell;

use kspan_jobs::{
    engine::RunnerIx,
    runner::{EndKind, InventoryOutcome, RunnerEntry},
};
use kspan_model::{Millis, Name};
use one_cell::*;

/// Longest time for which an incarnation that nobody has heard may have a run after the latest call to it, in ms.
const LONGEST_DOUBT_MS: u64 = 22_600;

/// Longest time that the lease of a runner lasts after a takeover, in ms.
const LONGEST_LEASE_MS: u64 = 6_000;

/// Lets a new owner take over that knows all durable records and finds both runners in the host list, or the second
/// one alone. Returns the index of each.
fn take_over(cell: &mut Cell, is_first_listed: bool) -> [usize; 2] {
    cell.recover();
    let now = Millis(cell.now);
    if is_first_listed {
        cell.engine.upsert_runner(now, entry("w0"));
    }
    cell.engine.upsert_runner(now, entry("w1"));
    cell.engine.record_previous_owners_ended(now);
    let index_of = |id| {
        let mut live = cell.engine.live_runners();
        let found = live.find(|ix| cell.engine.runner(*ix).id == Name::new(id));
        found.expect("a known runner").0
    };
    ["w0", "w1"].map(index_of)
}

/// Returns the time until a task starts while the first runner doesn't answer, in ms.
fn time_until_start(cell: &mut Cell, [silent, answering]: [usize; 2]) -> u64 {
    let start = (100..=30_000).step_by(100).find(|_| {
        cell.complete_inventory_call(silent, &InventoryOutcome::NoResponse);
        cell.report_ends(answering, Vec::new());
        cell.advance(100);
        cell.commit();
        !cell.schedule().is_empty()
    });
    start.expect("the task starts")
}

/// Guards against a task that starts elsewhere, because of a takeover, while the next incarnation of its silent runner
/// may have it.
#[test]
fn new_owner_waits_for_a_start_in_doubt_as_long_as_the_one_before() {
    for silent_ms in [1_000, 4_000] {
        let mut cell = Cell::with_start(false);
        for _ in 0..silent_ms / 100 {
            cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
            cell.report_ends(1, Vec::new());
            cell.advance(100);
            cell.commit();
        }
        let runners = take_over(&mut cell, true);
        let after = silent_ms + time_until_start(&mut cell, runners);
        assert!(after >= LONGEST_DOUBT_MS, "{silent_ms} ms: {after} ms");
    }
}

/// Guards against a task that starts elsewhere while a runner that was draining has it and is only cut off: entries
/// expire then, too.
#[test]
fn new_owner_waits_for_a_drained_runner_that_may_be_cut_off() {
    let mut cell = Cell::with_start(true);
    cell.report_running(0);
    cell.report_ends(1, Vec::new());
    let draining = RunnerEntry {
        draining: true,
        ..entry("w0")
    };
    cell.engine.upsert_runner(Millis(cell.now), draining);
    cell.commit();
    let runners = take_over(&mut cell, false);
    let after = time_until_start(&mut cell, runners);
    assert!(after >= LONGEST_LEASE_MS, "{after} ms");
}

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
