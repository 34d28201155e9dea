//! Failures that were found on whole days, each replayed with a few calls.

mod one_cell;

use kspan_jobs::{
    engine::{JobState, Order, RunnerIx},
    id::StepId,
    runner::{EndKind, EndedTask, InventoryOutcome, RunningTask, StartOutcome},
    spec::Timetable,
};
use kspan_model::{Millis, Name, Resources};
use one_cell::*;

#[test]
fn failures_count_in_whatever_order_they_are_seen() {
    // Runs 1 to 4 have failed on four runners; each order of their inventories ends the job.
    let table = [[1, 2, 3, 4], [4, 3, 2, 1], [2, 4, 1, 3]];
    for order in table {
        let mut cell = Cell::new(&["w0", "w1", "w2", "w3"]);
        cell.submit();
        for (runner_ix, run) in order.into_iter().enumerate() {
            cell.hold(runner_ix, vec![failed(1, run)]);
        }
        cell.write();
        assert_eq!(
            cell.engine.job_state(JOB),
            Some(JobState::Failed),
            "{order:?}"
        );
        assert!(cell.starts().is_empty());
    }
}

#[test]
fn a_failure_that_is_listed_again_counts_once() {
    let mut cell = Cell::new(&["w0"]);
    cell.submit();
    for _ in 0..2 * MAX_ATTEMPTS {
        cell.hold(0, vec![failed(1, 1)]);
    }
    cell.write();
    assert_ne!(cell.engine.job_state(JOB), Some(JobState::Failed));
}

#[test]
fn tasks_of_a_runner_that_is_gone_start_elsewhere_after_its_lease() {
    let mut cell = Cell::new(&["w0", "w1"]);
    cell.hold(0, Vec::new());
    cell.submit();
    assert_eq!(cell.starts(), [0]);
    let now = Millis(cell.now);
    let started = StartOutcome::Started(now);
    cell.engine
        .record_start_outcome(now, RunnerIx(0), task(), 1, started);
    cell.hold(1, Vec::new());
    let mut restarted_after = None;
    for waited in (0..20_000_u64).step_by(500) {
        cell.hold_as(0, &InventoryOutcome::NoAnswer);
        cell.hold(1, Vec::new());
        cell.pass(500);
        if cell.starts() == [1] {
            restarted_after = Some(waited);
            break;
        }
    }
    // The lease, the drift of the runner's clock, the margin and a call's time.
    let restarted_after = restarted_after.expect("the task starts again");
    assert!(
        (6_000..8_000).contains(&restarted_after),
        "{restarted_after}"
    );
}

#[test]
fn a_lease_given_by_an_earlier_owner_is_waited_for() {
    let mut cell = Cell::new(&["w0", "w1"]);
    cell.submit();
    let records = cell.engine.take_batch();
    assert!(records.is_none(), "the job is durable");
    // A new owner knows the job and holds both runners once; then one is silent.
    let now = Millis(cell.now);
    cell.take_over(spec(), &["w0", "w1"]);
    cell.hold_running(0);
    cell.hold(1, Vec::new());
    for _ in 0..10 {
        cell.hold_as(0, &InventoryOutcome::NoAnswer);
        cell.pass(500);
        assert!(cell.starts().is_empty(), "after {} ms", cell.now - now.0);
    }
}

#[test]
fn a_runner_that_has_just_started_waits_for_a_proof_of_ownership() {
    let mut cell = Cell::new(&[]);
    cell.submit();
    cell.now += 1_000;
    cell.engine.upsert_runner(Millis(cell.now), entry("w0"));
    cell.write();
    cell.hold(0, Vec::new());
    assert!(cell.starts().is_empty());
    cell.engine.confirm_ownership(Millis(cell.now));
    assert_eq!(cell.starts(), [0]);
}

#[test]
fn an_owner_that_stood_still_starts_nothing_unconfirmed() {
    let mut cell = Cell::new(&["w0"]);
    cell.hold(0, Vec::new());
    cell.pass(300);
    cell.submit();
    cell.now += 4_000;
    cell.engine.tick(Millis(cell.now), cell.now);
    assert!(cell.starts().is_empty());
    cell.engine.confirm_ownership(Millis(cell.now));
    assert_eq!(cell.starts(), [0]);
}

#[test]
fn runners_wait_for_a_shorter_time_while_answers_are_lost() {
    let mut cell = Cell::new(&["w0", "w1"]);
    let wait = |cell: &mut Cell| {
        cell.engine
            .next_inventory_call(RunnerIx(1), Millis(cell.now))
            .wait
    };
    assert_eq!(wait(&mut cell), Millis::ZERO, "its clock is not known yet");
    cell.hold(1, Vec::new());
    let calm = wait(&mut cell);
    cell.hold_as(0, &InventoryOutcome::NoAnswer);
    // An end hidden by a lost answer is seen within the time that a short job may take longer.
    assert!(wait(&mut cell) <= Millis(400));
    cell.pass(3_000);
    assert_eq!(wait(&mut cell), calm);
}

#[test]
fn a_new_owner_moves_what_it_can_from_a_runner_that_leaves() {
    let mut cell = Cell::new(&[]);
    let mut spec = spec();
    spec.steps[0].long_running = true;
    cell.submit_as(PATH, spec);
    let now = Millis(cell.now);
    let mut leaving = entry("w0");
    leaving.draining = true;
    cell.engine.upsert_runner(now, leaving);
    cell.engine.confirm_ownership(now);
    cell.hold_running(0);
    let orders = cell.engine.take_orders();
    let stops = orders
        .iter()
        .filter(|order| matches!(order, Order::Stop(stop) if stop.task == task()));
    assert_eq!(stops.count(), 1, "{orders:?}");
}

#[test]
fn occurrences_that_only_an_earlier_owner_has_begun_are_taken_over() {
    // By the new owner's clock the second occurrence is due in a second; the runner w0 has had it.
    let seen = |occurrence| StepId {
        job: JOB,
        occurrence,
        step: 0,
    };
    let end = |occurrence| EndedTask {
        number: u64::from(occurrence) + 1,
        task: seen(occurrence).task(0),
        run: 1,
        how: EndKind::Done,
        checkpoint: Name::default(),
    };
    let running = |occurrence| RunningTask {
        task: seen(occurrence).task(0),
        run: 1,
        checkpoint: Name::default(),
        percent: 10,
    };
    let table: [(Vec<RunningTask>, Vec<EndedTask>); 3] = [
        (Vec::new(), vec![end(0), end(1)]),
        (vec![running(1)], vec![end(0)]),
        (vec![running(0), running(1)], Vec::new()),
    ];
    for (row, (running, ended)) in table.into_iter().enumerate() {
        let mut cell = Cell::new(&[]);
        let mut spec = spec();
        spec.steps[0].size = Resources::new(1_000, 1_000, 0);
        spec.timetable = Some(Timetable {
            times: 2,
            first_unix_ms: cell.now,
            period: Millis(1_000),
        });
        cell.take_over(spec, &["w0", "w1"]);
        cell.hold_lists(0, running, ended);
        cell.hold(1, Vec::new());
        cell.pass(2_000);
        assert!(cell.starts().is_empty(), "row {row}");
        let orders = cell.engine.take_orders();
        assert!(orders.is_empty(), "row {row}: {orders:?}");
    }
}

#[test]
fn an_occurrence_that_falls_due_waits_for_runners_out_of_reach() {
    let mut cell = Cell::new(&[]);
    let mut spec = spec();
    spec.timetable = Some(Timetable {
        times: 2,
        first_unix_ms: cell.now + 500,
        period: Millis(1_000),
    });
    cell.take_over(spec, &["w0", "w1"]);
    cell.hold(0, Vec::new());
    // An earlier owner, by a clock ahead of this one, may have begun it on w1.
    cell.pass(1_000);
    assert!(cell.starts().is_empty());
    cell.hold(1, Vec::new());
    assert_eq!(cell.starts(), [0]);
}

#[test]
fn a_runner_gets_work_only_once_later_owners_will_know_it() {
    let mut cell = Cell::new(&[]);
    cell.submit();
    cell.engine.upsert_runner(Millis(cell.now), entry("w0"));
    cell.engine.confirm_ownership(Millis(cell.now));
    cell.hold(0, Vec::new());
    assert!(cell.starts().is_empty());
    cell.write();
    assert_eq!(cell.starts(), [0]);
}

#[test]
fn a_takeover_waits_for_runners_that_the_host_list_has_forgotten() {
    // The list lapses while the store is away; runners are back in it some time after it.
    let mut cell = Cell::new(&["w0", "w1"]);
    (0..2).for_each(|runner_ix| cell.hold(runner_ix, Vec::new()));
    cell.submit();
    let runner_ix = cell.start_all()[0].0;
    cell.recover();
    let ids: Vec<Name> = cell
        .engine
        .live_runners()
        .map(|runner_ix| cell.engine.runner(runner_ix).id.clone())
        .collect();
    let busy = ids
        .iter()
        .position(|id| id.to_string() == format!("w{runner_ix}"));
    let busy = busy.expect("the new owner knows the runner");
    let now = Millis(cell.now);
    assert_eq!(cell.engine.upsert_runner(now, entry(&ids[1 - busy])), None);
    cell.hold(1 - busy, Vec::new());
    cell.pass(1_000);
    assert!(cell.starts().is_empty(), "the task may run where it was");
    let end = EndedTask {
        how: EndKind::Done,
        ..failed(1, 1)
    };
    cell.hold(busy, vec![end]);
    cell.write();
    assert_eq!(cell.engine.job_state(JOB), Some(JobState::Completed));
    assert!(cell.starts().is_empty());
}

#[test]
fn a_runner_whose_life_has_ended_is_not_waited_for() {
    let mut cell = Cell::new(&["w0", "w1"]);
    (0..2).for_each(|runner_ix| cell.hold(runner_ix, Vec::new()));
    cell.submit();
    cell.hold_as(0, &InventoryOutcome::OtherIncarnation);
    cell.write();
    cell.recover();
    assert_eq!(cell.engine.live_runners().count(), 1);
}

#[test]
fn a_takeover_waits_longest_for_runners_that_did_not_say_that_they_leave() {
    // Whether the runner was leaving, and times after the takeover at which the task starts or not.
    let table = [
        (true, 2_000, false),
        (true, 3_000, true),
        (false, 6_500, false),
        (false, 13_500, false),
        (false, 14_500, true),
    ];
    for (leaves, after_ms, starts) in table {
        let mut cell = Cell::new(&["w0"]);
        cell.hold(0, Vec::new());
        cell.submit();
        assert_eq!(cell.start_all().len(), 1);
        let now = Millis(cell.now);
        let mut leaving = entry("w0");
        leaving.draining = leaves;
        cell.engine.upsert_runner(now, leaving);
        cell.engine.upsert_runner(now, entry("w1"));
        cell.write();
        cell.recover();
        let now = Millis(cell.now);
        cell.engine.upsert_runner(now, entry("w1"));
        let runner_ix = cell
            .engine
            .live_runners()
            .find(|runner_ix| cell.engine.runner(*runner_ix).id == Name::new("w1"));
        let runner_ix = runner_ix.expect("the new owner knows both").0;
        cell.hold(runner_ix, Vec::new());
        cell.pass(after_ms);
        assert_eq!(!cell.starts().is_empty(), starts, "{leaves} {after_ms}");
    }
}
