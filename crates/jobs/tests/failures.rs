//! Regression tests for failures, takeovers and pauses, each reproduced with a few calls.

mod one_cell;

use kspan_jobs::{
    config::ApprovalPolicy,
    engine::{JobState, Order, RunnerIx},
    id::{JobId, StepId},
    record::{self, OccurrenceProgress, ProgressRecord, TaskProgress},
    runner::{
        EndKind, EndedTask, Inventory, InventoryOutcome, RunnerEntry, RunningTask, StartOutcome,
        StopOutcome,
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
    let end = |occurrence| EndedTask {
        number: u64::from(occurrence) + 1,
        task: step_id(occurrence).task(0),
        run: 1,
        how: EndKind::Done,
        checkpoint: Name::default(),
    };
    let running = |occurrence| RunningTask {
        task: step_id(occurrence).task(0),
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

#[test]
fn takeover_waits_longer_for_runners_that_were_not_draining() {
    // Whether the runner was draining, time after the takeover in ms, and whether the task has
    // started by then.
    let table = [
        (true, 2_000, false),
        (true, 3_000, true),
        (false, 6_500, false),
        (false, 13_500, false),
        (false, 14_500, true),
    ];
    for (was_draining, after_ms, starts) in table {
        let mut cell = Cell::new(&["w0"]);
        cell.report_ends(0, Vec::new());
        cell.submit();
        assert_eq!(cell.schedule_and_start().len(), 1);
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
            "{was_draining} {after_ms}"
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

/// Returns the runner on which the task starts within two seconds. After a crash of its runner a start
/// waits for the record of the crash.
fn next_runner(cell: &mut Cell) -> Option<usize> {
    (0..20).find_map(|_| {
        cell.advance(100);
        cell.commit();
        cell.schedule().first().copied()
    })
}

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
    RunningTask {
        task: task(),
        run: 1,
        checkpoint: Name::default(),
        percent: 10,
    }
}

/// Guards against a task that is started elsewhere while the next incarnation of its runner has it: an
/// order names the runner's id alone, so that the incarnation that gets it may be another one.
#[test]
fn start_that_reached_the_next_incarnation_is_not_repeated_elsewhere() {
    for is_answered in [false, true] {
        let mut cell = Cell::new(&["w0", "w1"]);
        cell.report_ends(0, Vec::new());
        cell.submit();
        assert_eq!(cell.schedule_and_send(is_answered), [0]);
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
    let mut cell = Cell::new(&["w0", "w1"]);
    cell.report_ends(0, Vec::new());
    cell.submit();
    assert_eq!(cell.schedule_and_send(false), [0]);
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
        .record_stop_outcome(RunnerIx(2), task(), 1, StopOutcome::Done, now);
    let empty = inventory_of(&cell, 2, Vec::new());
    cell.complete_inventory_call(2, &empty);
    assert_eq!(next_runner(&mut cell), Some(1));
}

/// Guards against a delay where nothing is in doubt: the runs that the inventories of the incarnation
/// have listed ended with it.
#[test]
fn run_that_the_ended_incarnation_had_starts_elsewhere_at_once() {
    let mut cell = Cell::new(&["w0", "w1"]);
    cell.report_ends(0, Vec::new());
    cell.submit();
    assert_eq!(cell.schedule_and_send(true), [0]);
    cell.report_running(0);
    cell.report_ends(1, Vec::new());
    let restarted = inventory_of(&cell, 2, Vec::new());
    cell.complete_inventory_call(0, &restarted);
    assert_eq!(next_runner(&mut cell), Some(1));
}

/// Guards against a task that runs twice because the host list claims a restart that the runner itself
/// does not confirm.
#[test]
fn restart_is_believed_once_the_runner_confirms_it() {
    let mut cell = Cell::new(&["w0", "w1"]);
    cell.report_ends(0, Vec::new());
    cell.submit();
    assert_eq!(cell.schedule_and_send(true), [0]);
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
    assert_eq!(next_runner(&mut cell), Some(2));
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

/// Guards against a lease of the next incarnation that is thought to have expired: its first deadlines
/// are on the clock of the one before, and it bounds them by its longest lease alone.
#[test]
fn lease_of_the_next_incarnation_may_be_the_longest_one() {
    let mut cell = Cell::new(&["w0", "w1"]);
    cell.report_ends(0, Vec::new());
    cell.submit();
    assert_eq!(cell.schedule_and_send(false), [0]);
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

/// Returns how many jobs of the queue have no started task, and whether the waiting one is said to be
/// queued.
fn pending(cell: &Cell) -> (usize, Option<JobState>) {
    let pending = cell.engine.queued_jobs(&Name::new("q"));
    (pending, cell.engine.job_state(WAITING_JOB))
}

const WAITING_JOB: JobId = JobId(0xb);
const WAITING_PATH: &str = "/q/000000000000000b";

/// A cell with a job that fills its runner and one that waits.
fn cell_with_a_waiting_job() -> Cell {
    let mut cell = Cell::new(&["w0"]);
    cell.report_ends(0, Vec::new());
    cell.submit();
    assert_eq!(cell.schedule_and_start().len(), 1);
    cell.submit_spec(WAITING_PATH, spec());
    cell
}

/// Guards against waiting jobs that are taken for started ones by the second of two owners, after the
/// first has recorded that their tasks may have been on a runner that crashed.
#[test]
fn waiting_jobs_are_counted_after_two_takeovers_beside_a_crash() {
    let mut cell = cell_with_a_waiting_job();
    assert_eq!(pending(&cell), (1, Some(JobState::Queued)));
    cell.recover();
    cell.complete_inventory_call(0, &InventoryOutcome::OtherIncarnation);
    cell.commit();
    assert!(cell.store.contains_key("p000000000000000b"));
    cell.recover();
    let (count, state) = pending(&cell);
    assert!(
        count >= 1 && state == Some(JobState::Queued),
        "{count}, {state:?}"
    );
}

/// Guards against a started job that counts as waiting after a takeover: whether it has started is
/// written with its progress, and isn't read from which tasks the progress names.
#[test]
fn started_jobs_are_not_counted_after_a_takeover() {
    let mut cell = cell_with_a_waiting_job();
    cell.report_progress(0, 10);
    cell.complete_inventory_call(0, &InventoryOutcome::OtherIncarnation);
    cell.commit();
    assert!(cell.store.contains_key("p000000000000000a"));
    cell.recover();
    assert_eq!(cell.engine.job_state(JOB), Some(JobState::Running));
    assert_eq!(pending(&cell), (1, Some(JobState::Queued)));
}

/// Guards against a failed start of a job, of which only the end was seen, that leaves it as queued.
#[test]
fn job_whose_only_run_was_seen_at_its_end_has_started() {
    let mut cell = Cell::new(&["w0"]);
    cell.submit();
    cell.report_ends(0, vec![failed_end(1, 1)]);
    assert_eq!(cell.engine.job_state(JOB), Some(JobState::Running));
    cell.commit();
    cell.recover();
    assert_eq!(cell.engine.job_state(JOB), Some(JobState::Running));
}

/// Guards against progress of the version before that is misread: it lists the occurrence of a job
/// whether or not a task of it has started.
#[test]
fn older_progress_tells_by_its_tasks_whether_a_job_has_started() {
    let waiting = TaskProgress {
        run: 0,
        ..TaskProgress::default()
    };
    let ended = TaskProgress {
        run: 2,
        ..TaskProgress::default()
    };
    let table = [(vec![], false), (vec![waiting], false), (vec![ended], true)];
    for (tasks, has_started) in table {
        let progress = ProgressRecord {
            occurrences: vec![OccurrenceProgress { number: 0, tasks }],
            ..ProgressRecord::default()
        };
        let bytes = record::encode(&progress);
        // The version before wrote neither of the last two fields, and the one before it no lists of
        // crashes either.
        for length in [bytes.len() - 2, bytes.len() - 4] {
            let decoded = ProgressRecord::decode(&bytes[..length]).expect("an older record");
            assert_eq!(decoded.has_started, has_started, "{progress:?}");
        }
    }
}

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
    let mut cell = Cell::new(&["w0", "w1"]);
    cell.report_ends(0, Vec::new());
    cell.submit();
    assert_eq!(cell.schedule_and_send(true), [0]);
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
    let mut cell = Cell::new(&["w0", "w1"]);
    cell.report_ends(0, Vec::new());
    cell.submit();
    assert_eq!(cell.schedule_and_send(true), [0]);
    cell.report_ends(1, Vec::new());
    let last = partial_inventory(&cell, Vec::new(), false);
    cell.complete_inventory_call(0, &last);
    assert!(next_runner(&mut cell).is_some());
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
