//! Regression tests for failures, takeovers and pauses, each reproduced with a few calls.

mod one_cell;

use kspan_jobs::{
    config::ApprovalPolicy,
    engine::{JobState, Order, RunnerIx},
    id::StepId,
    runner::{
        EndKind, EndedTask, InventoryOutcome, OrderOutcome, RunnerEntry, RunningTask, StartOutcome,
    },
    spec::{JobSpec, Timetable},
};
use kspan_model::{Millis, Name, Resources};
use one_cell::*;

#[test]
fn failures_count_regardless_of_the_order_of_inventories() {
    // Runs 1 to 4 have failed on four runners. The job must fail whatever the order in which their
    // inventories arrive.
    let table = [[1, 2, 3, 4], [4, 3, 2, 1], [2, 4, 1, 3]];
    for order in table {
        let mut cell = Cell::new(&["w0", "w1", "w2", "w3"]);
        cell.submit();
        for (runner_ix, run) in order.into_iter().enumerate() {
            cell.report_ends(runner_ix, vec![failed_end(1, run)]);
        }
        cell.commit();
        assert_eq!(
            cell.engine.job_state(JOB),
            Some(JobState::Failed),
            "{order:?}"
        );
        assert!(cell.schedule().is_empty());
    }
}

#[test]
fn failure_reported_repeatedly_counts_once() {
    let mut cell = Cell::new(&["w0"]);
    cell.submit();
    for _ in 0..2 * MAX_ATTEMPTS {
        cell.report_ends(0, vec![failed_end(1, 1)]);
    }
    cell.commit();
    assert_ne!(cell.engine.job_state(JOB), Some(JobState::Failed));
}

#[test]
fn tasks_of_an_unreachable_runner_restart_after_its_lease_expires() {
    let mut cell = Cell::new(&["w0", "w1"]);
    cell.report_ends(0, Vec::new());
    cell.submit();
    assert_eq!(cell.schedule(), [0]);
    let now = Millis(cell.now);
    let started = StartOutcome::Started(now);
    cell.engine
        .record_start_outcome(now, RunnerIx(0), task(), 1, started);
    cell.report_ends(1, Vec::new());
    let mut restarted_after = None;
    for waited in (0..20_000_u64).step_by(500) {
        cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
        cell.report_ends(1, Vec::new());
        cell.advance(500);
        if cell.schedule() == [1] {
            restarted_after = Some(waited);
            break;
        }
    }
    // Lease, clock drift, lease margin and the duration of a call.
    let restarted_after = restarted_after.expect("the task restarts within 20 s");
    assert!(
        (6_000..8_000).contains(&restarted_after),
        "{restarted_after}"
    );
}

#[test]
fn lease_granted_by_a_previous_owner_delays_restarts() {
    let mut cell = Cell::new(&["w0", "w1"]);
    cell.submit();
    let records = cell.engine.take_batch();
    assert!(records.is_none(), "the job is already durable");
    // A new owner knows the job and receives one inventory from each runner; then one stops
    // answering.
    let now = Millis(cell.now);
    cell.take_over(spec(), &["w0", "w1"]);
    cell.report_running(0);
    cell.report_ends(1, Vec::new());
    for _ in 0..10 {
        cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
        cell.advance(500);
        assert!(cell.schedule().is_empty(), "after {} ms", cell.now - now.0);
    }
}

#[test]
fn new_runner_gets_no_work_until_ownership_is_confirmed() {
    let mut cell = Cell::new(&[]);
    cell.submit();
    cell.now += 1_000;
    cell.engine.upsert_runner(Millis(cell.now), entry("w0"));
    cell.commit();
    cell.report_ends(0, Vec::new());
    assert!(cell.schedule().is_empty());
    cell.engine.confirm_ownership(Millis(cell.now));
    assert_eq!(cell.schedule(), [0]);
}

#[test]
fn owner_starts_nothing_after_a_pause_until_ownership_is_confirmed() {
    let mut cell = Cell::new(&["w0"]);
    cell.report_ends(0, Vec::new());
    cell.advance(300);
    cell.submit();
    cell.now += 4_000;
    cell.engine.tick(Millis(cell.now), cell.now);
    assert!(cell.schedule().is_empty());
    cell.engine.confirm_ownership(Millis(cell.now));
    assert_eq!(cell.schedule(), [0]);
}

#[test]
fn inventory_wait_is_shorter_while_responses_are_lost() {
    let mut cell = Cell::new(&["w0", "w1"]);
    let wait = |cell: &mut Cell| {
        cell.engine
            .next_inventory_call(RunnerIx(1), Millis(cell.now))
            .wait
    };
    assert_eq!(
        wait(&mut cell),
        Millis::ZERO,
        "the clock of the runner is not known yet"
    );
    cell.report_ends(1, Vec::new());
    let usual_wait = wait(&mut cell);
    cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
    // The end of a short job that a lost response hides must be seen within the delay that such a
    // job's objective allows.
    assert!(wait(&mut cell) <= Millis(400));
    cell.advance(3_000);
    assert_eq!(wait(&mut cell), usual_wait);
}

/// Guards against room, and a whole gang, that waits for seconds until it is proved that a run isn't there: after
/// the stop no end is listed, so that the next inventory comes only when its wait is over.
#[test]
fn inventory_wait_is_shorter_while_a_run_is_in_doubt() {
    let mut cell = Cell::new(&["w0"]);
    cell.report_ends(0, Vec::new());
    cell.submit();
    assert_eq!(cell.schedule_and_send(false), [0]);
    let wait = |cell: &mut Cell| {
        let call = cell
            .engine
            .next_inventory_call(RunnerIx(0), Millis(cell.now));
        call.wait
    };
    let usual_wait = wait(&mut cell);
    let now = Millis(cell.now);
    let in_doubt = StartOutcome::InDoubt;
    cell.engine
        .record_start_outcome(now, RunnerIx(0), task(), 1, in_doubt);
    assert!(wait(&mut cell) <= Millis(200));
    let done = OrderOutcome::Done;
    cell.engine
        .record_stop_outcome(RunnerIx(0), task(), 1, done, now);
    assert!(wait(&mut cell) <= Millis(200));
    cell.report_ends(0, Vec::new());
    assert_eq!(wait(&mut cell), usual_wait);
}

#[test]
fn new_owner_stops_movable_tasks_on_a_draining_runner() {
    let mut cell = Cell::new(&[]);
    let mut spec = spec();
    spec.steps[0].long_running = true;
    cell.submit_spec(PATH, spec);
    let now = Millis(cell.now);
    let mut draining_entry = entry("w0");
    draining_entry.draining = true;
    cell.engine.upsert_runner(now, draining_entry);
    cell.engine.confirm_ownership(now);
    cell.report_running(0);
    let orders = cell.engine.take_orders();
    let stops = orders
        .iter()
        .filter(|order| matches!(order, Order::Stop(stop) if stop.task == task()));
    assert_eq!(stops.count(), 1, "{orders:?}");
}

#[test]
fn occurrences_begun_only_by_a_previous_owner_are_adopted() {
    // By the new owner's clock the second occurrence is due in one second, but w0 has already had
    // it from a previous owner whose clock was ahead.
    let step_id = |occurrence| StepId {
        job: JOB,
        occurrence,
        step: 0,
    };
    let end = |occurrence| {
        let task = step_id(occurrence).task(0);
        end_row(u64::from(occurrence) + 1, task, 1, EndKind::Done)
    };
    let running = |occurrence| running_row(step_id(occurrence).task(0), 1);
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
        cell.report_inventory(0, running, ended);
        cell.report_ends(1, Vec::new());
        cell.advance(2_000);
        assert!(cell.schedule().is_empty(), "row {row}");
        let orders = cell.engine.take_orders();
        assert!(orders.is_empty(), "row {row}: {orders:?}");
    }
}

#[test]
fn due_occurrence_waits_for_runners_that_have_not_answered() {
    let mut cell = Cell::new(&[]);
    let mut spec = spec();
    spec.timetable = Some(Timetable {
        times: 2,
        first_unix_ms: cell.now + 500,
        period: Millis(1_000),
    });
    cell.take_over(spec, &["w0", "w1"]);
    cell.report_ends(0, Vec::new());
    // A previous owner whose clock was ahead may have started the occurrence on w1.
    cell.advance(1_000);
    assert!(cell.schedule().is_empty());
    cell.report_ends(1, Vec::new());
    assert_eq!(cell.schedule(), [0]);
}

#[test]
fn runner_gets_no_work_until_its_record_is_durable() {
    let mut cell = Cell::new(&[]);
    cell.submit();
    cell.engine.upsert_runner(Millis(cell.now), entry("w0"));
    cell.engine.confirm_ownership(Millis(cell.now));
    cell.report_ends(0, Vec::new());
    assert!(cell.schedule().is_empty());
    cell.commit();
    assert_eq!(cell.schedule(), [0]);
}

#[test]
fn takeover_waits_for_runners_missing_from_the_host_list() {
    // Entries of the host list expire while the store is unavailable, and reappear some time after
    // it does.
    let mut cell = Cell::new(&["w0", "w1"]);
    (0..2).for_each(|runner_ix| cell.report_ends(runner_ix, Vec::new()));
    cell.submit();
    let runner_ix = cell.schedule_and_start()[0].0;
    cell.recover();
    let ids: Vec<Name> = cell
        .engine
        .live_runners()
        .map(|runner_ix| cell.engine.runner(runner_ix).id.clone())
        .collect();
    let previous = ids
        .iter()
        .position(|id| id.to_string() == format!("w{runner_ix}"));
    let previous = previous.expect("the runner was restored");
    let now = Millis(cell.now);
    assert_eq!(
        cell.engine.upsert_runner(now, entry(&ids[1 - previous])),
        None
    );
    cell.report_ends(1 - previous, Vec::new());
    cell.advance(1_000);
    assert!(
        cell.schedule().is_empty(),
        "the task may still be running on its previous runner"
    );
    let end = EndedTask {
        how: EndKind::Done,
        ..failed_end(1, 1)
    };
    cell.report_ends(previous, vec![end]);
    cell.commit();
    assert_eq!(cell.engine.job_state(JOB), Some(JobState::Completed));
    assert!(cell.schedule().is_empty());
}

#[test]
fn takeover_does_not_restore_a_runner_that_has_ended() {
    let mut cell = Cell::new(&["w0", "w1"]);
    (0..2).for_each(|runner_ix| cell.report_ends(runner_ix, Vec::new()));
    cell.submit();
    cell.complete_inventory_call(0, &InventoryOutcome::OtherIncarnation);
    cell.commit();
    cell.recover();
    assert_eq!(cell.engine.live_runners().count(), 1);
}

/// Guards against a task that starts elsewhere while a draining runner that is only cut off has it, and against tasks
/// that wait for such a runner although its record shows that it can't have them.
#[test]
fn takeover_waits_for_a_draining_runner_with_the_tasks_it_had() {
    // Whether the runner was draining, whether the task was started there, time after the takeover in ms, and
    // whether the task has started by then.
    let table = [
        (true, true, 6_500, false),
        (true, true, 13_500, false),
        (true, true, 14_500, true),
        (true, false, 100, true),
        (false, true, 13_500, false),
        (false, true, 14_500, true),
        (false, false, 13_500, false),
        (false, false, 14_500, true),
    ];
    for (was_draining, was_started, after_ms, starts) in table {
        let mut cell = Cell::new(&["w0"]);
        cell.report_ends(0, Vec::new());
        cell.submit();
        if was_started {
            assert_eq!(cell.schedule_and_start().len(), 1);
        }
        let now = Millis(cell.now);
        let mut draining_entry = entry("w0");
        draining_entry.draining = was_draining;
        cell.engine.upsert_runner(now, draining_entry);
        cell.engine.upsert_runner(now, entry("w1"));
        cell.commit();
        cell.recover();
        let now = Millis(cell.now);
        cell.engine.upsert_runner(now, entry("w1"));
        let runner_ix = cell
            .engine
            .live_runners()
            .find(|runner_ix| cell.engine.runner(*runner_ix).id == Name::new("w1"));
        let runner_ix = runner_ix.expect("both runners were restored").0;
        cell.report_ends(runner_ix, Vec::new());
        cell.advance(after_ms);
        assert_eq!(
            !cell.schedule().is_empty(),
            starts,
            "{was_draining} {was_started} {after_ms}"
        );
    }
}

/// Guards against a start that is sent after its ticket has expired, because it waited at the owner.
#[test]
fn start_order_is_valid_until_its_ticket_or_its_lease_ends() {
    for (validity, expected) in [(1_000, 700), (60_000, 6_000)] {
        let mut config = config();
        config.queues[0].policy.approval = Some(ApprovalPolicy {
            base_ms: 10.0,
            per_runner_ms: 0.0,
            validity: Millis(validity),
        });
        let mut cell = Cell::with_runners(config, [entry("w0")]);
        cell.engine.set_approval_hosts(&[Name::new("h")]);
        cell.report_ends(0, Vec::new());
        cell.submit();
        cell.engine.schedule(Millis(cell.now));
        let orders = cell.engine.take_orders();
        let [Order::RequestApprovals(request)] = &orders[..] else {
            panic!("expected one request for approvals: {orders:?}");
        };
        let rows = [(Name::new("w0"), Name::new("ticket"))];
        let response = Some((&rows[..], Millis(validity)));
        cell.engine
            .record_approvals(Millis(cell.now), request, response);
        cell.advance(300);
        cell.engine.schedule(Millis(cell.now));
        let orders = cell.engine.take_orders();
        let [Order::Start(start)] = &orders[..] else {
            panic!("expected one start: {orders:?}");
        };
        assert_eq!(start.valid_for, Millis(expected));
    }
}

/// Returns a job with one task of a number of cores.
fn job_of_cores(cores: u64) -> JobSpec {
    let mut spec = spec();
    spec.steps[0].size = Resources::new(cores * 1_000, 1_000, 0);
    spec
}

#[test]
fn nothing_starts_beyond_a_capacity_that_shrank() {
    // Whether the owner is replaced after the change, by one that has not read the host list yet.
    for is_replaced in [false, true] {
        let mut cell = Cell::new(&["w0"]);
        cell.report_ends(0, Vec::new());
        let shrunk = RunnerEntry {
            capacity: Resources::new(2_000, 4_000, 0),
            ..entry("w0")
        };
        cell.engine.upsert_runner(Millis(cell.now), shrunk);
        cell.commit();
        cell.submit_spec(PATH, job_of_cores(3));
        if is_replaced {
            cell.recover();
            cell.report_ends(0, Vec::new());
        }
        assert!(cell.schedule().is_empty(), "replaced: {is_replaced}");
        cell.engine.upsert_runner(Millis(cell.now), entry("w0"));
        assert_eq!(cell.schedule(), [0], "replaced: {is_replaced}");
    }
}

#[test]
fn job_is_accepted_while_the_runners_that_fit_it_have_shrunk() {
    let mut cell = Cell::new(&["w0"]);
    cell.report_ends(0, Vec::new());
    cell.advance(6_000);
    let shrunk = RunnerEntry {
        capacity: Resources::new(1_000, 4_000, 0),
        ..entry("w0")
    };
    cell.engine.upsert_runner(Millis(cell.now), shrunk);
    cell.advance(6_000);
    cell.submit_spec(PATH, job_of_cores(3));
    cell.engine.upsert_runner(Millis(cell.now), entry("w0"));
    cell.report_ends(0, Vec::new());
    assert_eq!(cell.schedule(), [0]);
}

#[test]
fn nothing_starts_beside_runs_that_exceed_a_shrunk_capacity() {
    // A best-effort task reserves no processor, but adds to what the runner runs.
    let mut cell = Cell::new(&["w0"]);
    cell.report_ends(0, Vec::new());
    cell.submit();
    assert_eq!(cell.schedule_and_start().len(), 1);
    let shrunk = RunnerEntry {
        capacity: Resources::new(2_000, 4_000, 0),
        ..entry("w0")
    };
    cell.engine.upsert_runner(Millis(cell.now), shrunk);
    let mut best_effort = job_of_cores(1);
    best_effort.steps[0].best_effort = true;
    cell.submit_spec("/q/0000000000000001", best_effort);
    assert!(cell.schedule().is_empty());
    cell.engine.upsert_runner(Millis(cell.now), entry("w0"));
    assert_eq!(cell.schedule(), [0]);
}

#[test]
fn runner_that_was_cut_off_for_long_gets_work_when_it_is_listed_again() {
    let mut cell = Cell::new(&["w0"]);
    cell.report_ends(0, Vec::new());
    cell.submit();
    assert_eq!(cell.schedule_and_start().len(), 1);
    // It reaches neither the store nor the owner until its lease has expired.
    cell.engine.unlist_runner(Millis(cell.now), &entry("w0").id);
    for _ in 0..20 {
        cell.complete_inventory_call(0, &InventoryOutcome::NoResponse);
        cell.advance(500);
    }
    assert!(cell.engine.is_dead(RunnerIx(0)));
    // The same incarnation is back; all that ran there has ended with its lease.
    let now = Millis(cell.now);
    let listed = cell.engine.upsert_runner(now, entry("w0"));
    assert_eq!(listed, Some(RunnerIx(1)));
    cell.engine.confirm_ownership(now);
    cell.commit();
    let expired = EndedTask {
        how: EndKind::LeaseExpired,
        ..failed_end(1, 1)
    };
    cell.report_ends(1, vec![expired]);
    cell.commit();
    assert_eq!(cell.schedule(), [1]);
    let explanation = cell.engine.explain(JOB, now).expect("the job is known");
    assert_eq!(explanation.steps[0].crashes, 0);
}

#[test]
fn entry_of_a_runner_that_is_certain_to_have_ended_is_ignored() {
    let mut cell = Cell::new(&["w0"]);
    cell.report_ends(0, Vec::new());
    cell.complete_inventory_call(0, &InventoryOutcome::OtherIncarnation);
    let late = cell.engine.upsert_runner(Millis(cell.now), entry("w0"));
    assert_eq!(late, None);
}

/// Guards against two runs at once: a start of an earlier run is carried out late, and the task starts once
/// more while that run is being stopped.
#[test]
fn task_waits_until_a_late_run_of_it_has_ended() {
    let mut cell = Cell::new(&["w0", "w1"]);
    cell.submit();
    cell.report_ends(0, vec![failed_end(1, 2)]);
    let late = running_row(task(), 1);
    cell.report_inventory(1, vec![late], Vec::new());
    assert!(cell.schedule().is_empty(), "the late run is being stopped");
    cell.report_ends(1, vec![end_row(1, task(), 1, EndKind::Stopped)]);
    assert_eq!(cell.schedule().len(), 1);
}

/// Returns the longest time that a task that lasts waits for its next start while each of its runs fails at once, in ms.
fn longest_wait_between_failures() -> u64 {
    let mut cell = Cell::new(&["w0"]);
    cell.report_ends(0, Vec::new());
    let mut job = spec();
    job.steps[0].long_running = true;
    cell.submit_spec(PATH, job);
    let mut longest = 0;
    for run in 1..=6 {
        let wait = (0..=20_000).step_by(100).find(|_| {
            cell.report_ends(0, Vec::new());
            cell.advance(100);
            !cell.schedule_and_send(true).is_empty()
        });
        longest = longest.max(wait.expect("the task starts"));
        cell.report_ends(0, vec![failed_end(u64::from(run), run)]);
        cell.commit();
    }
    longest
}

/// Guards against a task that lasts and has no run for longer than callers accept, because the only runner with room for it is
/// paused after failures.
#[test]
fn lasting_task_soon_uses_a_paused_runner_if_no_other_has_room() {
    let wait = longest_wait_between_failures();
    assert!((3_500..=4_500).contains(&wait), "{wait} ms");
}
