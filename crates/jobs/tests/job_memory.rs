//! Regression tests for the memory that accepted jobs take at the owner: a few small requests with many
//! tasks ended each process that owned the cell.

mod one_cell;

use kspan_jobs::{
    engine::{Engine, JobState, Order, Settings, SubmitError},
    id::{JobId, StepId, TaskId},
    record::DurableState,
    runner::{EndKind, EndedTask},
    spec::{JobSpec, StepSpec, Timetable},
};
use kspan_model::{Millis, Name, Resources};
use one_cell::*;

/// Bound of the tests about refusals, in bytes.
const MAX_JOB_BYTES: u64 = 10_000_000;

/// Ends of tasks that are reported at once. More would take memory of their own.
const REPORTED_AT_ONCE: usize = 500;

fn step_of(count: u32) -> StepSpec {
    StepSpec {
        count,
        size: Resources::new(1, 1, 0),
        ..StepSpec::default()
    }
}

fn job_of(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        text: Name::new("run"),
        steps,
        timetable: None,
    }
}

/// A job of one task, and of nine steps of 10,000 tasks that wait for it.
fn many_tasks() -> JobSpec {
    let waiting = StepSpec {
        depends_on: vec![0],
        ..step_of(10_000)
    };
    job_of([vec![step_of(1)], vec![waiting; 9]].concat())
}

fn path(job: u64) -> String {
    format!("/q/{job:016x}")
}

fn cell_with_bound(max_job_bytes: u64) -> Cell {
    let mut cell = Cell::new(&[]);
    let cfg = Settings {
        max_job_bytes,
        ..settings()
    };
    cell.engine = Engine::new(cfg);
    cell.engine.configure(config());
    cell.engine.upsert_runner(Millis(cell.now), entry("w0"));
    cell.engine.confirm_ownership(Millis(cell.now));
    cell.commit();
    cell.report_ends(0, Vec::new());
    cell
}

/// Replaces the owner by one with another bound that reads all records.
fn recover_with_bound(cell: &mut Cell, max_job_bytes: u64) {
    let mut state = DurableState::default();
    for (key, value) in &cell.store {
        state.add(key, value).expect("stored records decode");
    }
    let cfg = Settings {
        max_job_bytes,
        ..settings()
    };
    let now = Millis(cell.now);
    cell.engine = Engine::recover(cfg, now, cell.now, state);
    cell.engine.configure(config());
    cell.engine.upsert_runner(now, entry("w0"));
    cell.engine.confirm_ownership(now);
    cell.commit();
}

/// Returns the ids of a job's tasks.
fn tasks_of(job: u64, spec: &JobSpec) -> Vec<TaskId> {
    let occurrences = spec.occurrences();
    let numbers = (0..occurrences).flat_map(|occurrence| {
        let steps = (0..).zip(&spec.steps);
        steps.map(move |(step, spec)| (occurrence, step, spec.count))
    });
    let tasks = numbers.flat_map(|(occurrence, step, count)| {
        let id = StepId {
            job: JobId(job),
            occurrence,
            step,
        };
        (0..count).map(move |index| id.task(index))
    });
    tasks.collect()
}

/// Reports an end of each task, and forgets the records that say so.
fn report(cell: &mut Cell, number: &mut u64, tasks: &[TaskId], how: EndKind, checkpoint: &str) {
    for tasks in tasks.chunks(REPORTED_AT_ONCE) {
        let ends = tasks.iter().map(|task| {
            *number += 1;
            EndedTask {
                checkpoint: Name::new(checkpoint),
                ..end_row(*number, *task, 1, how)
            }
        });
        cell.report_ends(0, ends.collect());
        cell.engine.take_events();
        cell.engine.take_orders();
        if let Some(batch) = cell.engine.take_batch() {
            cell.engine.mark_durable(batch.number);
        }
    }
}

/// Guards against accepted jobs without a bound. Large ones are refused first, nothing of them is stored, and
/// other callers' small jobs and those accepted before go on.
#[test]
fn job_without_room_is_refused_and_others_go_on() {
    let mut cell = cell_with_bound(MAX_JOB_BYTES);
    let large = || job_of(vec![step_of(1), step_of(5_000)]);
    let mut accepted = 0;
    let refused = loop {
        match cell.try_submit(&path(accepted), large(), None) {
            Ok(_) => accepted += 1,
            Err(err) => break err,
        }
        assert!(accepted < 100);
        cell.commit();
    };
    assert!(accepted > 1, "{accepted}");
    let SubmitError::NoRoom(bytes, room) = refused else {
        panic!("{refused}");
    };
    assert!(room < bytes && bytes < MAX_JOB_BYTES / 2, "{refused}");
    assert!(!cell.engine.has_pending_batch(), "nothing to store");
    assert_eq!(cell.engine.job_state(JobId(accepted)), None);
    let again = cell.try_submit(&path(0), large(), None);
    assert!(again.is_ok_and(|again| again.known), "accepted before");
    for number in 0..500 {
        cell.submit_spec(&path(1_000 + number), spec());
    }
    assert!(cell.engine.totals().job_bytes <= MAX_JOB_BYTES);
    assert!(!cell.schedule_and_start().is_empty());

    for job in 0..accepted / 2 {
        cell.engine
            .cancel(Millis(cell.now), cell.now, HOST, &path(job));
    }
    cell.commit();
    let orders = cell.engine.take_orders();
    let stopped = orders
        .iter()
        .filter(|order| matches!(order, Order::Stop(_)));
    assert!(stopped.count() > 0, "cancelled jobs had runs");
    cell.report_ends(0, Vec::new());
    cell.advance(20_000);
    cell.commit();
    cell.advance(1_000);
    assert!(
        cell.try_submit(&path(accepted), large(), None).is_ok(),
        "room again"
    );
}

/// Guards against a caller that retries for ever what never fits.
#[test]
fn job_that_never_fits_is_refused_for_good() {
    let mut cell = cell_with_bound(MAX_JOB_BYTES);
    let err = cell.try_submit(&path(1), many_tasks(), None);
    let Err(SubmitError::TooMuchMemory(bytes, max)) = err else {
        panic!("{err:?}");
    };
    assert!(bytes > max && max == MAX_JOB_BYTES / 2);
    assert_eq!(cell.engine.job_state(JobId(1)), None);
    assert!(!cell.engine.has_pending_batch(), "nothing to store");
}

/// Guards against an owner that does not go on with jobs beyond the bound, or accepts more of them. They were
/// accepted before the bound was, or on a larger host.
#[test]
fn jobs_beyond_the_bound_are_recovered_and_go_on() {
    const JOBS: u64 = 8;
    let mut cell = cell_with_bound(1_000_000_000);
    for job in 0..JOBS {
        cell.submit_spec(&path(job), many_tasks());
    }
    recover_with_bound(&mut cell, MAX_JOB_BYTES);
    cell.report_ends(0, Vec::new());
    cell.advance(500);
    assert!(cell.engine.totals().job_bytes > MAX_JOB_BYTES);
    let started = cell.schedule_and_start();
    assert_eq!(started.len() as u64, JOBS, "their first tasks");
    let refused = cell.try_submit(&path(1_000), spec(), None);
    assert!(
        matches!(refused, Err(SubmitError::NoRoom(_, 0))),
        "{refused:?}"
    );
    for job in 0..JOBS {
        cell.engine
            .cancel(Millis(cell.now), cell.now, HOST, &path(job));
    }
    cell.commit();
    cell.report_ends(0, Vec::new());
    cell.advance(20_000);
    cell.commit();
    assert_eq!(cell.engine.totals().job_bytes, 0);
    cell.submit_spec(&path(1_000), spec());
}

/// Guards against occurrences that are due at once and exceed the bound together.
#[test]
fn occurrences_beyond_the_bound_begin_as_earlier_ones_complete() {
    let mut cell = cell_with_bound(MAX_JOB_BYTES);
    let recurring = JobSpec {
        timetable: Some(Timetable {
            times: 1_000,
            first_unix_ms: 0,
            period: Millis::ZERO,
        }),
        ..job_of(vec![step_of(100)])
    };
    cell.submit_spec(PATH, recurring.clone());
    cell.advance(100);
    let all = tasks_of(JOB.0, &recurring);
    let mut done = 0;
    let mut number = 0;
    while done < all.len() {
        let totals = cell.engine.totals();
        assert!(totals.job_bytes <= MAX_JOB_BYTES, "{}", totals.job_bytes);
        assert!(totals.waiting >= 100, "{done} of {} tasks done", all.len());
        let open = &all[done..done + totals.waiting];
        done += open.len();
        report(&mut cell, &mut number, open, EndKind::Done, "");
        cell.advance(100);
    }
    assert_eq!(cell.engine.job_state(JOB), Some(JobState::Completed));
}
