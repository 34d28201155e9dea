//! Regression tests for what accepted jobs take at the owner, measured. A process has these tests alone, and
//! what they measured stays allocated, so that none reuses the memory of another.

mod one_cell;

use std::sync::{Mutex, MutexGuard, PoisonError};

use kspan_jobs::{
    engine::{Engine, JobState},
    id::{JobId, StepId, TaskId},
    record::{DurableState, JobRecord},
    runner::{EndKind, EndedTask},
    spec::{JobSpec, StepSpec, Timetable},
};
use kspan_model::{Millis, Name, Resources};
use one_cell::*;

/// Ends of tasks that are reported at once. More would take memory of their own.
const REPORTED_AT_ONCE: usize = 500;

/// Keeps other tests of this process from taking memory while one measures it.
fn measuring() -> MutexGuard<'static, ()> {
    static MEASURING: Mutex<()> = Mutex::new(());
    MEASURING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the resident memory of the process, in bytes.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("Linux");
    let pages = statm.split_whitespace().nth(1).expect("resident pages");
    pages.parse::<u64>().expect("a number") * 4_096
}

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

/// Guards against a state for each task of a step whose turn is far away, and of one whose tasks are done.
/// Sixteen jobs of 781 bytes took 260 MB.
#[test]
fn tasks_that_are_alike_take_little_memory() {
    let _measuring = measuring();
    const JOBS: u64 = 16;
    const MAX_BYTES: u64 = 40_000_000;
    let before = resident_bytes();
    let mut cell = Cell::new(&["w0"]);
    let record = JobRecord {
        queue: Name::new("q"),
        policy: config().queues[0].policy.clone(),
        spec: many_tasks(),
        ..JobRecord::default()
    };
    let state = DurableState {
        jobs: (0..JOBS).map(|job| (JobId(job), record.clone())).collect(),
        ..DurableState::default()
    };
    let now = Millis(cell.now);
    cell.engine = Engine::recover(settings(), now, cell.now, state);
    cell.engine.configure(config());
    cell.engine.upsert_runner(now, entry("w0"));
    cell.engine.confirm_ownership(now);
    cell.commit();
    let after_recovery = resident_bytes().saturating_sub(before);
    assert!(after_recovery < MAX_BYTES, "{after_recovery} bytes");
    cell.report_ends(0, Vec::new());
    cell.advance(500);
    let started = cell.schedule_and_start();
    assert_eq!(started.len() as u64, JOBS, "their first tasks");
    let mut number = 0;
    for job in 0..JOBS {
        let mut tasks = tasks_of(job, &record.spec);
        tasks.pop();
        report(&mut cell, &mut number, &tasks, EndKind::Done, "");
    }
    assert_eq!(cell.engine.totals().waiting as u64, JOBS);
    let at_end = resident_bytes().saturating_sub(before);
    println!("{after_recovery} bytes after the recovery, {at_end} at the end");
    assert!(at_end < MAX_BYTES, "{at_end} bytes");
    // The last tasks are found among those that are done.
    let last: Vec<TaskId> = (0..JOBS)
        .filter_map(|job| tasks_of(job, &record.spec).pop())
        .collect();
    report(&mut cell, &mut number, &last, EndKind::Done, "");
    let state = |job| cell.engine.job_state(JobId(job));
    assert!((0..JOBS).all(|job| state(job) == Some(JobState::Completed)));
    std::mem::forget(cell);
}

/// Guards against an estimate that is less than what jobs take once the states of all their tasks differ.
#[test]
fn estimate_covers_what_jobs_take() {
    let _measuring = measuring();
    let recurring = JobSpec {
        timetable: Some(Timetable {
            times: 100,
            first_unix_ms: 0,
            period: Millis::ZERO,
        }),
        ..job_of(vec![step_of(10); 10])
    };
    let table = [
        ("one task", 20_000, job_of(vec![step_of(1)])),
        ("a wide step", 20, job_of(vec![step_of(10_000)])),
        ("odd steps", 100, job_of(vec![step_of(65); 30])),
        ("steps of one task", 100, job_of(vec![step_of(1); 1_000])),
        ("occurrences", 20, recurring),
    ];
    for (name, jobs, spec) in table {
        let mut cell = Cell::new(&["w0"]);
        let before = resident_bytes();
        for job in 0..jobs {
            let path = path(job);
            let submitted = cell.try_submit(&path, spec.clone(), None);
            assert!(submitted.is_ok(), "{name}");
            if let Some(batch) = cell.engine.take_batch() {
                cell.engine.mark_durable(batch.number);
            }
        }
        let mut number = 0;
        for job in 0..jobs {
            let tasks = tasks_of(job, &spec);
            report(
                &mut cell,
                &mut number,
                &tasks,
                EndKind::Failed,
                "1234567890",
            );
        }
        let taken = resident_bytes().saturating_sub(before);
        cell.advance(100);
        let estimated = cell.engine.totals().job_bytes;
        println!("{name}: {taken} bytes, {estimated} estimated");
        assert!(
            taken <= estimated,
            "{name}: {taken} bytes, {estimated} estimated"
        );
        assert!(
            estimated <= 8 * taken,
            "{name}: {taken} bytes, {estimated} estimated"
        );
        std::mem::forget(cell);
    }
}
