//! Takeovers while a runner does not answer: which tasks wait for it, and for how long.

mod one_cell;

use kspan_jobs::{
    engine::{Event, RunnerIx},
    id::{JobId, StepId, TaskId},
    record::{self, RunnerRecord},
    runner::{EndKind, InventoryOutcome},
    spec::JobSpec,
};
use kspan_model::{Millis, Resources};

use one_cell::{Cell, end_row, entry, spec};

/// Longest time after a takeover within which a lasting task that a living runner has lost starts again,
/// in ms. Callers count it as lost after several seconds.
const MAX_RESTART_MS: u64 = 500;

/// Returns a job of one task that lasts and fills most of a runner.
fn lasting() -> JobSpec {
    let mut spec = spec();
    spec.steps[0].long_running = true;
    spec.steps[0].size = Resources::new(3_000, 1_000, 0);
    spec
}

fn task_of(job: u64) -> TaskId {
    let step = StepId {
        job: JobId(job),
        occurrence: 0,
        step: 0,
    };
    step.task(0)
}

/// A cell of three runners whose first two have a lasting task each. Returns the cell, the runners'
/// tasks, and the id of the first runner.
fn cell_with_lasting_tasks() -> (Cell, [TaskId; 2]) {
    let mut cell = Cell::new(&["w0", "w1"]);
    (0..2).for_each(|runner_ix| cell.report_ends(runner_ix, Vec::new()));
    cell.submit_spec("/q/000000000000000a", lasting());
    cell.submit_spec("/q/000000000000000b", lasting());
    let mut started = cell.schedule_and_start();
    started.sort_unstable();
    let tasks = [started[0].1, started[1].1];
    cell.engine.upsert_runner(Millis(cell.now), entry("w2"));
    cell.commit();
    cell.report_ends(2, Vec::new());
    (cell, tasks)
}

/// Lets calls to a runner fail, and writes what the owner records about it.
fn silence(cell: &mut Cell, runner_ix: usize, calls: usize) {
    for _ in 0..calls {
        cell.complete_inventory_call(runner_ix, &InventoryOutcome::NoResponse);
    }
    cell.commit();
}

/// Lets a new owner take over, to which all runners answer but the one called `silent`. The others
/// report that their leases have expired.
fn take_over(cell: &mut Cell, silent: &str, tasks: [TaskId; 2]) {
    cell.recover();
    for id in ["w0", "w1", "w2"] {
        cell.engine.upsert_runner(Millis(cell.now), entry(id));
    }
    let runners: Vec<(usize, String)> = cell
        .engine
        .live_runners()
        .map(|runner_ix| (runner_ix.0, cell.engine.runner(runner_ix).id.to_string()))
        .collect();
    for (runner_ix, id) in runners {
        let task = match id.as_str() {
            "w0" => Some(tasks[0]),
            "w1" => Some(tasks[1]),
            _ => None,
        };
        let lapsed = task.map(|task| end_row(1, task, 1, EndKind::LeaseExpired));
        if id != silent {
            cell.report_ends(runner_ix, lapsed.into_iter().collect());
        }
    }
    cell.commit();
}

/// Replaces a record by that of a version that went on granting leases to runners whose tasks it had listed.
fn write_as_earlier_version(cell: &mut Cell, key: &str) {
    let written = RunnerRecord::decode(&cell.store[key]).expect("a record");
    let mut bytes = record::encode(&written.entry);
    bytes.extend(record::encode(&written.tasks.expect("a list of tasks")));
    cell.store.insert(key.to_owned(), bytes);
}

/// Returns the time after which each task starts, in ms, within a limit.
fn start_times(cell: &mut Cell, limit_ms: u64) -> Vec<(u64, TaskId)> {
    let mut starts = Vec::new();
    for after in (100..=limit_ms).step_by(100) {
        cell.advance(100);
        let started = cell.schedule_and_start();
        starts.extend(started.into_iter().map(|(_, task)| (after, task)));
    }
    starts
}

/// Guards against a lasting task that stays without a run for many seconds after a takeover, because
/// another runner was lost shortly before and nobody knows what it had.
#[test]
fn lasting_task_restarts_at_once_although_another_runner_is_lost() {
    let (mut cell, tasks) = cell_with_lasting_tasks();
    silence(&mut cell, 0, 2);
    take_over(&mut cell, "w0", tasks);
    let starts = start_times(&mut cell, MAX_RESTART_MS);
    assert_eq!(starts.len(), 1, "{starts:?}");
    assert_eq!(starts[0].1, tasks[1]);
}

/// Guards against two runs of a task that may be on a runner which only other hosts reach.
#[test]
fn task_of_a_silent_runner_waits_until_its_lease_is_over() {
    // Whether the previous owner may have extended the lease after it listed the task, the time from which no
    // previous owner gives orders, and the expected start, both in ms after the takeover.
    let table = [
        (true, None, 14_000),
        (true, Some(0), 6_400),
        (true, Some(3_000), 9_400),
        (false, None, 6_400),
        (false, Some(3_000), 6_400),
    ];
    for (may_have_granted, ended_at, starts_after) in table {
        let (mut cell, tasks) = cell_with_lasting_tasks();
        silence(&mut cell, 0, 2);
        if may_have_granted {
            write_as_earlier_version(&mut cell, "rw0");
        }
        take_over(&mut cell, "w0", tasks);
        let mut starts = Vec::new();
        for after in (100..=15_000).step_by(100) {
            if ended_at.is_some_and(|at| after >= at) {
                cell.engine.record_previous_owners_ended(Millis(cell.now));
            }
            cell.advance(100);
            let started = cell.schedule_and_start();
            // The start of a task that may have crashed its runner is held until it is recorded.
            cell.commit();
            starts.extend(started.into_iter().map(|(_, task)| (after, task)));
        }
        let start = starts.iter().find(|(_, task)| *task == tasks[0]);
        let (after, _) = start.expect("the task starts");
        assert!(
            (starts_after..starts_after + 400).contains(after),
            "{may_have_granted}, {ended_at:?}: {after}"
        );
    }
}

/// Guards against a list that outlives the silence: a task that started on the runner later would
/// not be on it, and run twice after a takeover.
#[test]
fn runner_that_answers_again_gets_no_work_until_its_list_is_withdrawn() {
    let (mut cell, tasks) = cell_with_lasting_tasks();
    silence(&mut cell, 2, 2);
    cell.submit_spec("/q/000000000000000c", lasting());
    assert!(cell.schedule_and_start().is_empty(), "the runner is silent");
    cell.report_ends(2, Vec::new());
    assert!(cell.schedule_and_start().is_empty(), "the list is in force");
    cell.commit();
    assert_eq!(cell.schedule_and_start(), [(2, task_of(0xc))]);
    // The runner is lost before the owner notices.
    take_over(&mut cell, "w2", tasks);
    assert!(start_times(&mut cell, 5_000).is_empty());
}

/// A runner that missed a single call has no list: it gets work again with its next answer.
#[test]
fn single_missed_call_records_nothing() {
    let (mut cell, _) = cell_with_lasting_tasks();
    silence(&mut cell, 2, 1);
    let record = RunnerRecord::decode(&cell.store["rw2"]).expect("a record");
    assert_eq!(record.tasks, None);
    cell.report_ends(2, Vec::new());
    cell.submit_spec("/q/000000000000000c", lasting());
    assert_eq!(cell.schedule_and_start(), [(2, task_of(0xc))]);
}

/// Guards against records of runners that one version writes and another cannot read.
#[test]
fn records_of_runners_are_read_by_older_and_newer_versions() {
    for tasks in [None, Some(Vec::new()), Some(vec![task_of(1), task_of(2)])] {
        let written = RunnerRecord {
            entry: entry("w0"),
            has_no_grants: tasks.is_some(),
            tasks,
        };
        let bytes = written.encode();
        assert_eq!(RunnerRecord::decode(&bytes), Ok(written.clone()));
        assert_eq!(record::decode(&bytes), Ok(written.entry));
    }
    let old = record::encode(&entry("w1"));
    let decoded = RunnerRecord::decode(&old).expect("an older record");
    assert_eq!((decoded.entry, decoded.tasks), (entry("w1"), None));
}

/// Guards against a runner that was silent for long without a trace of it in the log.
#[test]
fn answer_after_a_silence_tells_its_duration() {
    let mut cell = Cell::new(&["w0"]);
    cell.report_ends(0, Vec::new());
    cell.engine.take_events();
    silence(&mut cell, 0, 1);
    cell.advance(700);
    silence(&mut cell, 0, 1);
    cell.report_ends(0, Vec::new());
    let answers = cell.engine.take_events().into_iter().filter_map(|event| {
        let Event::RunnerAnswered { silent, ends, .. } = event else {
            return None;
        };
        Some((silent, ends))
    });
    assert_eq!(answers.collect::<Vec<_>>(), [(Millis(700), 0)]);
    cell.report_ends(0, Vec::new());
    let is_answer = |event: &Event| matches!(event, Event::RunnerAnswered { .. });
    assert!(!cell.engine.take_events().iter().any(is_answer));
}

/// Guards against a lasting task that waits for orders which a previous owner can't have given: it extends the lease of a
/// runner no more from the time on at which it lists the runner's tasks.
#[test]
fn listed_task_waits_for_a_lease_alone_although_the_previous_owner_stays_away() {
    let (mut cell, tasks) = cell_with_lasting_tasks();
    silence(&mut cell, 0, 2);
    take_over(&mut cell, "w0", tasks);
    let start = (100..=15_000).step_by(100).find(|_| {
        cell.advance(100);
        let started = cell.schedule_and_start();
        // The start of a task that may have crashed its runner is held until it is recorded.
        cell.commit();
        let is_listed = |(_, task): &(usize, TaskId)| *task == tasks[0];
        started.iter().any(is_listed)
    });
    let after = start.expect("the task starts");
    assert!((6_400..=6_800).contains(&after), "{after} ms");
}

/// Guards against a lease that the next owner doesn't know of.
#[test]
fn lease_of_a_listed_runner_is_not_extended_until_its_list_is_withdrawn() {
    let (mut cell, _) = cell_with_lasting_tasks();
    let grants = |cell: &mut Cell| {
        let call = cell
            .engine
            .next_inventory_call(RunnerIx(0), Millis(cell.now));
        call.deadline.is_some()
    };
    assert!(grants(&mut cell));
    silence(&mut cell, 0, 2);
    cell.report_ends(0, Vec::new());
    assert!(!grants(&mut cell), "the list is in force");
    cell.commit();
    assert!(grants(&mut cell));
}
