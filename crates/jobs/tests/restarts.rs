//! Regression tests for runners that start again under the id that they had.

mod one_cell;

use kspan_jobs::{
    engine::{Event, JobState, Order, RunnerIx},
    runner::{
        EndKind, Inventory, InventoryOutcome, OrderOutcome, RunnerEntry, RunningTask, StartOutcome,
    },
};
use kspan_model::{Millis, Name};
use one_cell::*;

/// Inventory of the incarnation of a runner that started at a time.
fn inventory_of(cell: &Cell, started_unix_ms: u64, running: Vec<RunningTask>) -> InventoryOutcome {
    InventoryOutcome::Inventory(Inventory {
        clock: Millis(cell.now),
        started_unix_ms,
        running,
        ..Inventory::default()
    })
}

fn first_run() -> RunningTask {
    running_row(task(), 1)
}

/// Guards against a task that is started elsewhere while the next incarnation of its runner has it: an
/// order names the runner's id alone, so that the incarnation that gets it may be another one.
#[test]
fn start_that_reached_the_next_incarnation_is_not_repeated_elsewhere() {
    for is_answered in [false, true] {
        let mut cell = Cell::with_start(is_answered);
        cell.report_ends(1, Vec::new());
        let restarted = inventory_of(&cell, 2, vec![first_run()]);
        cell.complete_inventory_call(0, &restarted);
        assert!(cell.schedule().is_empty(), "answered: {is_answered}");
        assert_eq!(cell.engine.runner_of(task()), Some(RunnerIx(2)));
        let orders = cell.engine.take_orders();
        assert!(orders.is_empty(), "the run goes on: {orders:?}");
    }
}

/// Guards against the same where the order is still on its way when the restart is noticed.
#[test]
fn start_in_flight_at_a_restart_is_stopped_before_the_task_starts_elsewhere() {
    let mut cell = Cell::with_start(false);
    cell.report_ends(1, Vec::new());
    let restarted = inventory_of(&cell, 2, Vec::new());
    cell.complete_inventory_call(0, &restarted);
    let orders = cell.engine.take_orders();
    let stops = orders.iter().filter_map(|order| match order {
        Order::Stop(stop) => Some((stop.runner_ix, stop.task, stop.run)),
        _ => None,
    });
    assert_eq!(stops.collect::<Vec<_>>(), [(RunnerIx(2), task(), 1)]);
    assert!(cell.schedule().is_empty());
    // Once the stop is answered, the runner refuses the start.
    let now = Millis(cell.now);
    cell.engine
        .record_stop_outcome(RunnerIx(2), task(), 1, OrderOutcome::Done, now);
    let empty = inventory_of(&cell, 2, Vec::new());
    cell.complete_inventory_call(2, &empty);
    assert_eq!(cell.next_start(), Some(1));
}

/// Guards against a delay where nothing is in doubt: the runs that the inventories of the incarnation
/// have listed ended with it.
#[test]
fn run_that_the_ended_incarnation_had_starts_elsewhere_at_once() {
    let mut cell = Cell::with_start(true);
    cell.report_running(0);
    cell.report_ends(1, Vec::new());
    let restarted = inventory_of(&cell, 2, Vec::new());
    cell.complete_inventory_call(0, &restarted);
    assert_eq!(cell.next_start(), Some(1));
}

/// Guards against a task that runs twice because the host list claims a restart that the runner itself
/// does not confirm.
#[test]
fn restart_is_believed_once_the_runner_confirms_it() {
    let mut cell = Cell::with_start(true);
    cell.report_running(0);
    cell.report_ends(1, Vec::new());
    let mut claimed = entry("w0");
    claimed.started_unix_ms = 7;
    let now = Millis(cell.now);
    assert_eq!(cell.engine.upsert_runner(now, claimed.clone()), None);
    assert!(cell.schedule().is_empty(), "the task may be running on w0");
    cell.report_running(0);
    assert!(cell.schedule().is_empty(), "the runner has not restarted");
    assert_eq!(cell.engine.runner_of(task()), Some(RunnerIx(0)));
    // A restart that is confirmed is handled at once, and the new incarnation gets work.
    cell.engine.upsert_runner(now, claimed);
    let restarted = inventory_of(&cell, 7, Vec::new());
    cell.complete_inventory_call(0, &restarted);
    cell.complete_inventory_call(1, &InventoryOutcome::OtherIncarnation);
    let empty = inventory_of(&cell, 7, Vec::new());
    cell.complete_inventory_call(2, &empty);
    assert_eq!(cell.next_start(), Some(2));
}

/// Guards against ends of the next incarnation that are forgotten by the runner unseen: it numbers its
/// ends anew, and a number of the incarnation before covers them.
#[test]
fn ends_are_not_acknowledged_to_a_runner_that_may_have_restarted() {
    let mut cell = Cell::new(&["w0"]);
    cell.submit();
    cell.report_ends(0, vec![failed_end(7, 1)]);
    cell.commit();
    let next_ack = |cell: &mut Cell| {
        let now = Millis(cell.now);
        cell.engine.next_inventory_call(RunnerIx(0), now).ack
    };
    assert_eq!(next_ack(&mut cell), 7);
    cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
    assert_eq!(next_ack(&mut cell), 0);
    cell.report_ends(0, Vec::new());
    assert_eq!(next_ack(&mut cell), 7);
}

/// Guards against the same where the runner restarts between two calls that are answered: a call that
/// acknowledges nothing new has no number, so that it takes no end from the next incarnation.
#[test]
fn answered_acknowledgements_are_not_repeated() {
    let mut cell = Cell::new(&["w0"]);
    cell.submit();
    cell.report_ends(0, vec![failed_end(7, 1)]);
    cell.commit();
    let now = Millis(cell.now);
    let call = cell.engine.next_inventory_call(RunnerIx(0), now);
    assert_eq!(call.ack, 7);
    let answer = inventory_of(&cell, 1, Vec::new());
    cell.engine
        .record_inventory(now, cell.now, RunnerIx(0), call.sequence, &answer);
    assert_eq!(cell.engine.next_inventory_call(RunnerIx(0), now).ack, 0);
    cell.report_ends(0, vec![failed_end(8, 2)]);
    cell.commit();
    assert_eq!(cell.engine.next_inventory_call(RunnerIx(0), now).ack, 8);
}

/// Guards against calls that give the next incarnation deadlines and numbers of the one before, because it has
/// answered an order in the meantime.
#[test]
fn answer_to_an_order_does_not_confirm_the_incarnation() {
    for (missed, clock) in [(1, 10_000), (0, 30)] {
        let mut cell = Cell::new(&["w0"]);
        cell.submit();
        cell.report_ends(0, vec![failed_end(7, 1)]);
        cell.commit();
        assert_eq!(cell.schedule_and_send(false), [0]);
        for _ in 0..missed {
            cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
        }
        let now = Millis(cell.now);
        let started = StartOutcome::Started(Millis(clock));
        cell.engine
            .record_start_outcome(now, RunnerIx(0), task(), 2, started);
        let call = cell.engine.next_inventory_call(RunnerIx(0), now);
        assert_eq!((call.ack, call.deadline), (0, None), "clock {clock}");
    }
}

/// Guards against a lease of the next incarnation that is thought to have expired: its first deadlines
/// are on the clock of the one before, and it bounds them by its longest lease alone.
#[test]
fn lease_of_the_next_incarnation_may_be_the_longest_one() {
    let mut cell = Cell::with_start(false);
    let restarted = inventory_of(&cell, 2, vec![first_run()]);
    cell.complete_inventory_call(0, &restarted);
    cell.report_ends(1, Vec::new());
    for waited in (0..10_000_u64).step_by(500) {
        cell.complete_inventory_call(2, &InventoryOutcome::NoResponse);
        cell.report_ends(1, Vec::new());
        assert!(cell.schedule().is_empty(), "after {waited} ms");
        cell.advance(500);
    }
}

/// Returns the time after which the task starts elsewhere, in ms, once a new owner has taken over to which
/// the runner of the task does not answer, and no previous owner is left.
fn start_after_takeover(cell: &mut Cell, listed: &RunnerEntry) -> u64 {
    cell.recover();
    let now = Millis(cell.now);
    cell.engine.upsert_runner(now, listed.clone());
    cell.engine.upsert_runner(now, entry("w1"));
    cell.commit();
    cell.report_ends(1, Vec::new());
    cell.commit();
    cell.engine.record_previous_owners_ended(now);
    let start = (100..=24_000).step_by(100).find(|_| {
        cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
        cell.advance(100);
        let starts = cell.schedule();
        cell.commit();
        !starts.is_empty()
    });
    start.expect("the task starts")
}

/// Guards against a task that runs twice after a takeover: a runner that restarted under its id may have
/// been granted the longest lease by deadlines on the clock of its former incarnation.
#[test]
fn new_owner_waits_for_the_longest_lease_of_a_restarted_runner() {
    let longest = 10_600..11_200;
    let ordinary = 6_400..7_000;
    // Start time that the host list names, whether the previous owner knew of the restart, how long ago it
    // was, and when the task starts.
    let table = [
        (2, false, 0, longest.clone()),
        (2, true, 0, longest),
        (2, true, 12_000, ordinary.clone()),
        (1, false, 0, ordinary),
    ];
    for (started_unix_ms, is_known, ago, expected) in table {
        let mut cell = Cell::with_start(true);
        cell.commit();
        let listed = RunnerEntry {
            started_unix_ms,
            ..entry("w0")
        };
        let mut runner_ix = 0;
        if is_known {
            let restarted = inventory_of(&cell, started_unix_ms, vec![first_run()]);
            cell.complete_inventory_call(0, &restarted);
            cell.engine.upsert_runner(Millis(cell.now), listed.clone());
            runner_ix = 2;
        }
        for _ in (0..ago).step_by(1_000) {
            cell.advance(1_000);
            let running = inventory_of(&cell, started_unix_ms, vec![first_run()]);
            cell.complete_inventory_call(runner_ix, &running);
        }
        cell.commit();
        let after = start_after_takeover(&mut cell, &listed);
        assert!(
            expected.contains(&after),
            "started at {started_unix_ms}, known {is_known}, {ago} ms ago: {after} ms"
        );
    }
}

/// Guards against an owner that gives up its role because a runner refuses a stop for an incarnation that has
/// ended: the calls to the next one have a higher fencing token.
#[test]
fn refused_stop_of_an_ended_incarnation_does_not_end_the_ownership() {
    let mut cell = Cell::new(&["w0"]);
    cell.report_ends(0, Vec::new());
    cell.submit();
    assert_eq!(cell.schedule_and_send(false), [0]);
    let restarted = inventory_of(&cell, 2, Vec::new());
    cell.complete_inventory_call(0, &restarted);
    let now = Millis(cell.now);
    let engine = &mut cell.engine;
    engine.record_stop_outcome(RunnerIx(0), task(), 1, OrderOutcome::Fenced, now);
    assert!(!engine.is_fenced());
    engine.record_stop_outcome(RunnerIx(1), task(), 1, OrderOutcome::Fenced, now);
    assert!(engine.is_fenced());
}

/// Guards against work for an incarnation that still executes orders for the one before: one of them may
/// grant it another lease, or start a run.
#[test]
fn next_incarnation_gets_work_once_it_has_answered_a_call_of_its_own() {
    let mut cell = Cell::new(&["w0"]);
    cell.report_ends(0, Vec::new());
    let mut listed = entry("w0");
    listed.started_unix_ms = 2;
    cell.engine.upsert_runner(Millis(cell.now), listed);
    let restarted = inventory_of(&cell, 2, Vec::new());
    cell.complete_inventory_call(0, &restarted);
    cell.submit();
    assert_eq!(cell.next_start(), None);
    let empty = inventory_of(&cell, 2, Vec::new());
    cell.complete_inventory_call(1, &empty);
    assert_eq!(cell.next_start(), Some(1));
}

/// Guards against the same where the owner is lost before an inventory confirms the restart that an answer to
/// an order has shown.
#[test]
fn restart_that_an_answer_shows_is_known_to_the_next_owner() {
    // A call of the previous owner may be carried out late, too, and grant the incarnation the longest lease.
    for (clock, expected) in [(30, 22_600..23_200), (10_000, 6_400..7_000)] {
        let mut cell = Cell::with_start(false);
        let (now, started) = (Millis(cell.now), StartOutcome::Started(Millis(clock)));
        cell.engine
            .record_start_outcome(now, RunnerIx(0), task(), 1, started);
        cell.commit();
        let after = start_after_takeover(&mut cell, &entry("w0"));
        assert!(expected.contains(&after), "clock {clock}: {after} ms");
    }
}

/// Guards against a record of a restart that makes each later takeover wait longer, although its runner was
/// lost.
#[test]
fn record_of_a_restart_ends_with_the_wait_for_its_runner() {
    let mut cell = Cell::with_start(true);
    let restarted = inventory_of(&cell, 2, vec![first_run()]);
    cell.complete_inventory_call(0, &restarted);
    cell.commit();
    assert!(cell.store.contains_key("sw0"));
    let listed = RunnerEntry {
        started_unix_ms: 2,
        ..entry("w0")
    };
    start_after_takeover(&mut cell, &listed);
    cell.advance(500);
    cell.commit();
    assert!(!cell.store.contains_key("sw0"));
}

/// Guards against a task that runs twice because its runner restarted, was sent an order on the clock of its
/// former incarnation, and was cut off before it answered an inventory call.
#[test]
fn run_of_an_incarnation_that_was_never_heard_outlasts_the_lease() {
    // How the restart shows, and the time after which the task starts elsewhere, in ms. Calls without an answer
    // may be executed 12 s later, and grant the longest lease then.
    let table = [
        ("nowhere", 22_600..23_200),
        ("host list", 22_600..23_200),
        ("answer to the start", 10_600..11_200),
    ];
    for (shown_by, expected) in table {
        let mut cell = Cell::new(&["w0", "w1"]);
        cell.advance(100);
        cell.report_ends(0, Vec::new());
        cell.submit();
        assert_eq!(cell.schedule_and_send(false), [0]);
        cell.report_ends(1, Vec::new());
        let now = Millis(cell.now);
        match shown_by {
            "host list" => {
                let listed = RunnerEntry {
                    started_unix_ms: 2,
                    ..entry("w0")
                };
                cell.engine.upsert_runner(now, listed);
            }
            "answer to the start" => {
                let started = StartOutcome::Started(Millis(30));
                cell.engine
                    .record_start_outcome(now, RunnerIx(0), task(), 1, started);
            }
            _ => {}
        }
        let after = time_until_start(&mut cell, 0);
        assert!(expected.contains(&after), "{shown_by}: {after} ms");
    }
}

/// Returns the time until a task starts elsewhere while its runner doesn't answer, in ms.
fn time_until_start(cell: &mut Cell, silent: usize) -> u64 {
    let start = (100..=24_000).step_by(100).find(|_| {
        cell.complete_inventory_call(silent, &InventoryOutcome::NoResponse);
        cell.report_ends(1, Vec::new());
        cell.advance(100);
        cell.commit();
        !cell.schedule().is_empty()
    });
    start.expect("the task starts")
}

/// Guards against a task that starts elsewhere while the next incarnation of its runner may have it, and against a
/// wait for that where nothing is in doubt.
#[test]
fn task_waits_for_the_next_incarnation_only_if_that_may_have_its_run() {
    // Whether the start was answered by the clock of the known incarnation, whether the run was listed, and the time
    // after which the task starts elsewhere, in ms.
    let table = [
        (true, true, 6_400..7_100),
        (true, false, 6_400..7_100),
        (false, true, 6_400..7_100),
        (false, false, 22_600..23_200),
    ];
    for (is_answered, is_listed, expected) in table {
        let mut cell = Cell::with_start(is_answered);
        if is_listed {
            cell.report_running(0);
        }
        cell.report_ends(1, Vec::new());
        let after = time_until_start(&mut cell, 0);
        let case = (is_answered, is_listed);
        assert!(expected.contains(&after), "{case:?}: {after} ms");
    }
}

/// Guards against the same where the restart shows only after the former incarnation was presumed to have
/// ended.
#[test]
fn incarnation_after_a_presumed_end_may_have_the_longest_lease() {
    let mut cell = Cell::new(&["w0", "w1"]);
    cell.report_ends(0, Vec::new());
    cell.engine
        .unlist_runner(Millis(cell.now), &Name::new("w0"));
    for _ in 0..80 {
        cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
        cell.advance(100);
    }
    cell.submit();
    let listed = RunnerEntry {
        started_unix_ms: 2,
        ..entry("w0")
    };
    let added = cell.engine.upsert_runner(Millis(cell.now), listed);
    assert_eq!(added, Some(RunnerIx(2)));
    // A late start of the task, whose run was not listed before.
    let running = inventory_of(&cell, 2, vec![first_run()]);
    cell.complete_inventory_call(2, &running);
    cell.report_ends(1, Vec::new());
    let after = time_until_start(&mut cell, 2);
    assert!((10_000..11_200).contains(&after), "{after} ms");
}

/// Guards against work for an incarnation that nobody has heard: its clock starts anew, lower or higher than
/// that of the one before. The answers to all orders tell it.
#[test]
fn answer_by_another_clock_shows_a_restart() {
    // Difference of the clock from the one expected, in ms, and whether the runner gets more work.
    let table = [
        (-9_000, false),
        (-1_000, true),
        (0, true),
        (1_000, true),
        (9_000, false),
    ];
    for (difference, gets_work) in table {
        for is_start in [true, false] {
            let mut cell = Cell::with_start(false);
            cell.advance(300);
            let now = Millis(cell.now);
            let clock = Millis(cell.now.saturating_add_signed(difference));
            if is_start {
                let started = StartOutcome::Started(clock);
                cell.engine
                    .record_start_outcome(now, RunnerIx(0), task(), 1, started);
            } else {
                cell.engine.record_order_clock(RunnerIx(0), clock, now);
            }
            let call = cell.engine.next_inventory_call(RunnerIx(0), now);
            let case = format!("{difference} ms, start {is_start}");
            assert_eq!(call.deadline.is_some(), gets_work, "{case}");
        }
    }
}

/// Guards against a task that starts again although its runner, whose end was presumed while the host list lacked
/// it, answers with the end of the run.
#[test]
fn end_that_a_runner_lists_after_its_presumed_end_is_applied() {
    let mut cell = Cell::with_start(true);
    cell.report_running(0);
    cell.engine
        .unlist_runner(Millis(cell.now), &Name::new("w0"));
    for _ in 0..80 {
        cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
        cell.advance(100);
    }
    let now = Millis(cell.now);
    assert!(cell.engine.is_called(RunnerIx(0), now));
    assert_eq!(
        cell.engine.live_runners().collect::<Vec<_>>(),
        [RunnerIx(1)]
    );
    cell.report_ends(0, vec![end_row(1, task(), 1, EndKind::Done)]);
    cell.report_ends(1, Vec::new());
    assert!(cell.schedule().is_empty());
    cell.commit();
    assert_eq!(cell.engine.job_state(JOB), Some(JobState::Completed));
    // The runner counts as heard under a new index, and is no longer called under the former one.
    assert!(!cell.engine.is_called(RunnerIx(0), now));
    assert!(cell.engine.is_called(RunnerIx(2), now));
}

/// Guards against a task that runs twice because an entry of another writer names a later start at another
/// address while its runner is cut off, and against a runner that such an entry hides for good.
#[test]
fn entry_alone_ends_no_run_of_a_silent_runner() {
    let moved = RunnerEntry {
        addr: Name::new("w9"),
        started_unix_ms: 7,
        ..entry("w0")
    };
    // Whether the entry comes before the first call without an answer, and whether the runner is heard again.
    for (is_early, returns) in [(true, false), (false, false), (true, true), (false, true)] {
        let mut cell = Cell::with_start(true);
        cell.report_running(0);
        cell.report_ends(1, Vec::new());
        let now = Millis(cell.now);
        if is_early {
            cell.engine.upsert_runner(now, moved.clone());
        }
        cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
        if !is_early {
            cell.engine.upsert_runner(now, moved.clone());
        }
        // The entry of the runner itself, which it writes all the while.
        cell.engine.upsert_runner(now, entry("w0"));
        let silent_for = if returns { 5_000 } else { 12_000 };
        let start = (100..=silent_for).step_by(100).find(|_| {
            cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
            cell.report_ends(1, Vec::new());
            cell.advance(100);
            cell.commit();
            !cell.schedule().is_empty()
        });
        let what = format!("early {is_early}, returns {returns}: {start:?}");
        if returns {
            assert_eq!(start, None, "{what}");
            cell.report_running(0);
            assert!(!cell.engine.is_dead(RunnerIx(0)), "{what}");
            assert_eq!(cell.engine.runner_of(task()), Some(RunnerIx(0)), "{what}");
        } else {
            let after = start.expect("the task starts");
            assert!((6_400..7_100).contains(&after), "{what}");
        }
    }
}

/// Returns a cell whose first runner, with a run, is presumed to have ended, just after the host list dropped it or long
/// after.
fn cell_with_presumed_end(unlisted_at: u64) -> Cell {
    let mut cell = Cell::with_start(true);
    cell.report_running(0);
    cell.report_ends(1, Vec::new());
    for at in (0..8_000).step_by(100) {
        if at == unlisted_at {
            cell.engine
                .unlist_runner(Millis(cell.now), &Name::new("w0"));
        }
        cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
        cell.advance(100);
        cell.commit();
    }
    assert!(cell.engine.is_dead(RunnerIx(0)));
    cell
}

/// Guards against calls in quick succession to a runner whose end was presumed, and that a refusal shows to be certain
/// or the owner to have been replaced.
#[test]
fn refusal_after_a_presumed_end_ends_the_calls() {
    for (refusal, is_fenced) in [
        (InventoryOutcome::OtherIncarnation, false),
        (InventoryOutcome::Fenced, true),
    ] {
        let mut cell = cell_with_presumed_end(0);
        cell.complete_inventory_call(0, &refusal);
        let is_called = cell.engine.is_called(RunnerIx(0), Millis(cell.now));
        assert_eq!(is_called, is_fenced, "{refusal:?}");
        assert_eq!(cell.engine.is_fenced(), is_fenced, "{refusal:?}");
    }
}

/// Guards against orders for a runner that answers after its presumed end, before it has answered a call with its own
/// fencing token: they have no connection and are refused one after the other.
#[test]
fn runner_gets_no_work_before_it_answers_again_after_its_presumed_end() {
    let mut cell = cell_with_presumed_end(6_300);
    cell.report_ends(0, Vec::new());
    cell.commit();
    assert!(cell.schedule().iter().all(|runner_ix| *runner_ix != 2));
}

/// Guards against crashes of a runner that aren't counted any more because its next incarnation answers after the
/// presumed end.
#[test]
fn restart_after_a_presumed_end_is_counted_as_a_crash() {
    for (started_unix_ms, expected) in [(1, 1), (2, 2)] {
        let mut cell = cell_with_presumed_end(0);
        cell.engine.take_events();
        let answer = inventory_of(&cell, started_unix_ms, Vec::new());
        cell.complete_inventory_call(0, &answer);
        cell.report_ends(1, Vec::new());
        assert_eq!(cell.next_start(), Some(1));
        cell.report_run_progress(1, 2, 10);
        let restarted = inventory_of(&cell, 2, Vec::new());
        cell.complete_inventory_call(1, &restarted);
        let events = cell.engine.take_events();
        let counts = events.iter().filter_map(|event| match event {
            Event::CrashCounted { count, .. } => Some(*count),
            _ => None,
        });
        assert_eq!(counts.max(), Some(expected), "born {started_unix_ms}");
    }
}
