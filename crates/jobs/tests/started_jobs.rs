//! Regression tests for the states of jobs that callers see after a takeover.

mod one_cell;

use kspan_jobs::{
    engine::JobState,
    id::JobId,
    record::{self, OccurrenceProgress, ProgressRecord, TaskProgress},
    runner::InventoryOutcome,
};
use kspan_model::Name;
use one_cell::*;

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
