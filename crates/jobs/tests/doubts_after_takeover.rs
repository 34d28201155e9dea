//! Regression tests for runs that a new owner can't see and doesn't wait for.

mod one_cell;

use kspan_jobs::{
    config::ApprovalPolicy,
    engine::{Order, RunnerIx},
    record::{JobRecord, encode},
    runner::{EndKind, InventoryOutcome, RunnerEntry, StartOutcome},
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

/// Returns a cell of two runners, of which the first one was sent the start of the task twice and answered the second
/// attempt.
fn cell_with_second_attempt() -> Cell {
    let mut cell = Cell::new(&["w0", "w1"]);
    cell.report_ends(0, Vec::new());
    cell.submit();
    cell.engine.schedule(Millis(cell.now));
    let orders = cell.engine.take_orders();
    let [Order::Start(order)] = &orders[..] else {
        panic!("not one start: {orders:?}");
    };
    assert!(cell.engine.begin_start(order));
    cell.advance(200);
    assert!(cell.engine.begin_start(order));
    let now = Millis(cell.now);
    let started = StartOutcome::Started(now);
    cell.engine
        .record_start_outcome(now, order.runner_ix, task(), order.run, started);
    cell
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

/// Guards against the same if the previous owner sent the start again: the runner has the run, and the attempt
/// without an answer may still reach the next incarnation.
#[test]
fn new_owner_waits_for_an_earlier_copy_of_a_start() {
    // How long ago the second attempt was sent, and the time until the task starts elsewhere, in ms.
    let table = [(1_000, 22_600..23_200), (12_000, 6_400..7_000)];
    for (ago, expected) in table {
        let mut cell = cell_with_second_attempt();
        for _ in 0..ago / 1_000 {
            cell.report_running(0);
            cell.report_ends(1, Vec::new());
            cell.advance(1_000);
            cell.commit();
        }
        let runners = take_over(&mut cell, true);
        let after = time_until_start(&mut cell, runners);
        assert!(expected.contains(&after), "{ago} ms ago: {after} ms");
    }
}

/// Guards against a wait for a start without an answer although the runner shows what it has.
#[test]
fn task_of_a_start_in_doubt_starts_once_its_runner_answers_the_new_owner() {
    let mut cell = Cell::with_start(false);
    cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
    cell.commit();
    assert!(cell.store.contains_key("dw0"));
    let [doubted, other] = take_over(&mut cell, true);
    cell.commit();
    for _ in 0..4 {
        cell.report_ends(other, Vec::new());
        cell.complete_inventory_call(doubted, &InventoryOutcome::NoResponse);
        assert_eq!(cell.next_start(), None);
    }
    let explanation = cell.engine.explain(JOB, Millis(cell.now));
    let explanation = explanation.expect("the job is known");
    let reason = &explanation.steps[0].why;
    assert!(reason.contains("may still be carried out"), "{reason}");
    cell.report_ends(doubted, Vec::new());
    assert!(cell.next_start().is_some());
    assert!(!cell.store.contains_key("dw0"));
}

/// Guards against a doubt that ends with the owner that restored it: the runner is silent for the next one, too.
#[test]
fn doubt_about_a_start_outlasts_several_owners() {
    let mut cell = Cell::with_start(false);
    cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
    cell.commit();
    for _ in 0..2 {
        let [_, other] = take_over(&mut cell, true);
        cell.report_ends(other, Vec::new());
        cell.advance(2_000);
        cell.commit();
    }
    let runners = take_over(&mut cell, true);
    let after = time_until_start(&mut cell, runners);
    assert!(after >= LONGEST_DOUBT_MS, "{after} ms");
}

/// Guards against runners that are held, or approvals that are requested, for a task that waits for a start in doubt.
#[test]
fn task_of_a_start_in_doubt_keeps_nothing_from_others() {
    let mut config = config();
    config.queues[0].policy.approval = Some(ApprovalPolicy {
        base_ms: 10.0,
        per_runner_ms: 1.0,
        validity: Millis(2_500),
    });
    for is_recorded in [true, false] {
        let mut cell = Cell::with_start(false);
        if is_recorded {
            cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
        }
        cell.commit();
        // The job keeps the policy with which it was accepted.
        let key = format!("j{JOB}");
        let mut record = JobRecord::decode(&cell.store[&key]).expect("a record of the job");
        record.policy = config.queues[0].policy.clone();
        cell.store.insert(key, encode(&record));
        let [_, other] = take_over(&mut cell, true);
        cell.engine.set_approval_hosts(&[Name::new("h1")]);
        let mut requests = 0;
        for _ in 0..100 {
            cell.report_ends(other, Vec::new());
            cell.advance(100);
            cell.commit();
            cell.engine.schedule(Millis(cell.now));
            let orders = cell.engine.take_orders().into_iter();
            requests += orders
                .filter(|order| matches!(order, Order::RequestApprovals(_)))
                .count();
        }
        assert_eq!(requests == 0, is_recorded, "recorded {is_recorded}");
    }
}

/// Guards against one more write for each start: a start that is answered leaves no record.
#[test]
fn answered_start_leaves_no_record() {
    let mut cell = Cell::with_start(true);
    cell.commit();
    cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
    cell.commit();
    assert!(!cell.store.keys().any(|key| key.starts_with('d')));
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
