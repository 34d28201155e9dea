//! Which wait holds each task that could run, and until when.

mod one_cell;

use kspan_jobs::{
    engine::{Event, HoldCause},
    runner::InventoryOutcome,
};
use kspan_model::Millis;
use one_cell::*;

/// Returns the cause of the wait that holds the task, and the time that is left of it, in ms.
fn hold(cell: &Cell) -> Option<(HoldCause, Option<u64>)> {
    let now = Millis(cell.now);
    let holds = cell.engine.holds(now);
    let hold = holds.into_iter().find(|hold| hold.task == task())?;
    let left = hold.until.map(|until| until.saturating_sub(now).0);
    Some((hold.cause, left))
}

/// Guards against a task that nothing runs and no log line explains.
#[test]
fn wait_of_a_task_on_a_silent_runner_is_named_with_its_end() {
    let table = [
        (false, HoldCause::StartInDoubt, 22_000..=22_700),
        // A lease and twice the margin, on a clock that is 3% slow.
        (true, HoldCause::SilentRunner, 6_000..=6_805),
    ];
    for (is_answered, expected, left) in table {
        let mut cell = Cell::with_start(is_answered);
        if is_answered {
            cell.report_running(0);
        }
        assert_eq!(hold(&cell), None);
        cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
        let (cause, until) = hold(&cell).expect("the task is held");
        assert_eq!(cause, expected);
        let until = until.expect("the wait has an end");
        assert!(left.contains(&until), "{cause}: {until} ms");
    }
}

/// Guards against a report for each pass, or none.
#[test]
fn wait_is_reported_once_for_each_cause() {
    let mut cell = Cell::with_start(false);
    cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
    cell.advance(4_000);
    let events = cell.engine.take_events();
    let reports = events.iter().filter_map(|event| match event {
        Event::TaskHeld { hold, waited, left } => Some((hold.cause, *waited, *left)),
        _ => None,
    });
    let reports: Vec<_> = reports.collect();
    let [(HoldCause::StartInDoubt, waited, Some(left))] = reports[..] else {
        panic!("not one report: {reports:?}");
    };
    assert!(waited >= Millis(1_000) && waited < Millis(2_000));
    assert!(left > Millis(20_000));
}

/// Guards against waits after a takeover that nothing names.
#[test]
fn wait_for_a_previous_owner_is_named() {
    let mut cell = Cell::with_start(true);
    cell.report_running(0);
    cell.recover();
    cell.engine.upsert_runner(Millis(cell.now), entry("w0"));
    let (cause, left) = hold(&cell).expect("the task is held");
    assert_eq!(
        (cause, left),
        (HoldCause::FormerRun, Some(14_000)),
        "{cause}"
    );
}
