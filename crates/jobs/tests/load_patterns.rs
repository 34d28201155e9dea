//! Load patterns that decisions answer, each replayed with a few calls.

mod one_cell;

use kspan_jobs::{
    engine::{Order, RunnerIx},
    runner::{EndKind, EndedTask, RunningTask, StartOutcome},
    spec::StepSpec,
};
use kspan_model::{Millis, Name, Resources};
use one_cell::*;

#[test]
fn filling_and_serving_tasks_never_share_a_runner() {
    let filling = |step: &mut StepSpec| step.best_effort = true;
    let serving = |step: &mut StepSpec| step.tail_latency_target = Some(Millis(80));
    let table: [(Change, Change, usize); 4] = [
        (filling, serving, 1),
        (serving, filling, 1),
        (serving, serving, 2),
        (filling, filling, 2),
    ];
    for (first, second, expected) in table {
        let mut cell = Cell::new(&["w0"]);
        cell.hold(0, Vec::new());
        for (path, change) in [(PATH, first), ("/q/000000000000000b", second)] {
            let mut spec = spec();
            spec.steps[0].size.cpu_milli = 1_000;
            change(&mut spec.steps[0]);
            cell.submit_as(path, spec);
        }
        assert_eq!(cell.starts().len(), expected);
    }
}

#[test]
fn a_task_that_stands_still_is_stopped_and_starts_elsewhere() {
    // Kind of step, expected time, progress each 400 ms, and whether it is stopped within 4 s.
    let table: [(Change, u64, [u32; 2], bool); 6] = [
        (|_| {}, 500, [10, 10], true),
        (|_| {}, 500, [10, 11], false),
        (|_| {}, 60_000, [10, 10], false),
        (|step| step.saves_progress = true, 500, [10, 10], true),
        (|step| step.gang = true, 500, [0, 0], false),
        (|step| step.long_running = true, 500, [100, 100], false),
    ];
    for (row, (change, expected_ms, progress, stopped)) in table.into_iter().enumerate() {
        let mut cell = Cell::new(&["w0", "w1"]);
        (0..2).for_each(|runner_ix| cell.hold(runner_ix, Vec::new()));
        let mut spec = spec();
        spec.steps[0].estimate = Millis(expected_ms);
        change(&mut spec.steps[0]);
        cell.submit_as(PATH, spec);
        let runner_ix = cell.starts()[0];
        let started = StartOutcome::Started(Millis(cell.now));
        cell.engine
            .record_start_outcome(Millis(cell.now), RunnerIx(runner_ix), task(), 1, started);
        let mut stops = Vec::new();
        for look in 0..10 {
            cell.pass(400);
            cell.hold_at(runner_ix, progress[0] + (progress[1] - progress[0]) * look);
            let orders = cell.engine.take_orders();
            stops.extend(
                orders
                    .into_iter()
                    .filter(|order| matches!(order, Order::Stop(_))),
            );
            if !stops.is_empty() {
                break;
            }
        }
        assert_eq!(!stops.is_empty(), stopped, "row {row}");
        if !stopped {
            continue;
        }
        // It starts again only when its end is listed, and not where it stood still.
        assert!(cell.starts().is_empty(), "row {row}");
        let end = EndedTask {
            how: EndKind::Stopped,
            ..failed(1, 1)
        };
        cell.hold(runner_ix, vec![end]);
        assert_eq!(cell.starts(), [1 - runner_ix], "row {row}");
    }
}

#[test]
fn a_task_that_is_slower_than_expected_is_not_taken_for_one_that_stands_still() {
    // Time that a percent of the work takes, against an expected 5 ms, and stops in 60 s.
    let table = [(400, 0), (2_000, 1), (10_000, 4)];
    for (percent_ms, most) in table {
        let mut cell = Cell::new(&["w0"]);
        cell.hold(0, Vec::new());
        cell.submit();
        let mut stops = 0;
        let mut began = cell.now;
        cell.start_all();
        for _ in 0..150 {
            cell.pass(400);
            let percent = u32::try_from((cell.now - began) / percent_ms).expect("a short test");
            let run = u32::try_from(stops + 1).expect("few stops");
            cell.hold_run_at(0, run, percent);
            let orders = cell.engine.take_orders();
            if orders.iter().any(|order| matches!(order, Order::Stop(_))) {
                stops += 1;
                let end = EndedTask {
                    how: EndKind::Stopped,
                    ..failed(stops, run)
                };
                cell.hold(0, vec![end]);
                cell.pass(20_000);
                cell.hold(0, Vec::new());
                began = cell.now;
                assert_eq!(cell.start_all().len(), 1);
            }
        }
        assert!(stops <= most, "{percent_ms} ms a percent: {stops} stops");
    }
}

#[test]
fn a_long_running_task_gets_room_in_a_cell_that_small_tasks_keep_full() {
    let mut cell = Cell::new(&["w0", "w1"]);
    (0..2).for_each(|runner_ix| cell.hold(runner_ix, Vec::new()));
    let mut small = spec();
    small.steps[0].count = 100;
    small.steps[0].size = Resources::new(1_000, 1_000, 0);
    cell.submit_as("/q/0000000000000001", small);
    let mut running = cell.start_all();
    assert_eq!(running.len(), 8, "both runners are full");

    // It needs three of a runner's four processors, which come free one by one.
    let mut lasting = spec();
    lasting.steps[0].long_running = true;
    cell.submit_as(PATH, lasting);
    let mut ends = [0, 0];
    for round in 0..12 {
        cell.pass(300);
        let (runner_ix, task) = running.remove(0);
        ends[runner_ix] += 1;
        let end = EndedTask {
            number: ends[runner_ix],
            task,
            how: EndKind::Done,
            ..failed(0, 1)
        };
        let there = running.iter().filter(|(at, _)| *at == runner_ix);
        let rows = there.map(|(_, task)| RunningTask {
            task: *task,
            run: 1,
            checkpoint: Name::default(),
            percent: round,
        });
        let rows = rows.collect();
        cell.hold_lists(runner_ix, rows, vec![end]);
        cell.write();
        running.extend(cell.start_all());
    }
    let started = running.iter().any(|(_, started)| *started == task());
    assert!(started, "after {} ms: {running:?}", 12 * 300);
    // Small tasks went on meanwhile, on the runner that was not kept free.
    assert!(
        running
            .iter()
            .filter(|(runner_ix, _)| *runner_ix == 0)
            .count()
            > 0
    );
    assert!(
        running
            .iter()
            .filter(|(runner_ix, _)| *runner_ix == 1)
            .count()
            > 0
    );
}
