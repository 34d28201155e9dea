//! Regression tests for the lease that the next incarnation of a silent runner may have.

mod one_cell;

use kspan_jobs::{
    engine::RunnerIx,
    runner::{Inventory, InventoryOutcome, Refusal, RunnerEntry, StartOutcome},
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

/// Lets the first runner be silent. Returns the time until the task starts on the second one, in ms.
fn time_until_start_elsewhere(cell: &mut Cell) -> u64 {
    let start = (100..=24_000).step_by(100).find(|_| {
        cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
        cell.report_ends(1, Vec::new());
        cell.advance(100);
        cell.commit();
        cell.schedule();
        cell.engine.runner_of(task()) == Some(RunnerIx(1))
    });
    start.expect("the task starts elsewhere")
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
        let listed = RunnerEntry {
            started_unix_ms: 2,
            ..entry("w0")
        };
        cell.engine.upsert_runner(Millis(cell.now), listed);
        let after = time_until_start_elsewhere(&mut cell);
        let longest = settings().max_lease.0;
        assert!(
            after > longest,
            "{gap} ms between the orders: the task starts elsewhere {after} ms after the second one, which may have \
             granted {longest} ms"
        );
    }
}

/// Guards against a task that runs twice because the answer to its start shows a restart that is overlooked: the
/// former incarnation was young when its clock was last read, and the clock of the next one has gone back by less
/// than answers may be late since that reading.
#[test]
fn clock_in_an_answer_shows_the_restart_of_a_young_runner() {
    // Clock of the former incarnation when it was last read, and that of the next one in the answer 1.9 s later, in
    // ms.
    for (former, next) in [(60_000, 480), (1_050, 480)] {
        let mut cell = Cell::new(&["w0", "w1"]);
        let inventory = Inventory {
            clock: Millis(former),
            started_unix_ms: 1,
            ..Inventory::default()
        };
        cell.complete_inventory_call(0, &InventoryOutcome::Inventory(inventory));
        cell.advance(1_900);
        cell.submit();
        assert_eq!(cell.schedule_and_send(false), [0]);
        let started = StartOutcome::Started(Millis(next));
        let now = Millis(cell.now);
        cell.engine
            .record_start_outcome(now, RunnerIx(0), task(), 1, started);
        let after = time_until_start_elsewhere(&mut cell);
        let longest = settings().max_lease.0;
        assert!(
            after > longest,
            "clock {former} and then {next}: the task starts elsewhere {after} ms after a start that may have granted \
             {longest} ms"
        );
    }
}

/// Guards against work for a runner that has restarted under its id, which the clock in a refusal shows: it would be
/// judged by the incarnation before.
#[test]
fn clock_in_a_refused_start_shows_the_restart() {
    for (clock, is_restart) in [(30, true), (10_000, false)] {
        let mut cell = Cell::with_start(false);
        let now = Millis(cell.now);
        cell.engine
            .record_order_clock(RunnerIx(0), Millis(clock), now);
        let late = StartOutcome::Refused(Refusal::DeadlinePassed);
        cell.engine
            .record_start_outcome(now, RunnerIx(0), task(), 1, late);
        assert_eq!(cell.schedule().is_empty(), is_restart, "clock {clock}");
    }
}
