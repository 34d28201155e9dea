//! Values that callers, runners and the store choose, out of range: no call of the engine may
//! panic, run for long or allocate without bound because of them.

mod one_cell;

use kspan_jobs::{
    engine::{JobState, Order, Submission, SubmitError},
    id::{StepId, TaskId},
    record::{self, DurableState, JobRecord},
    runner::EndKind,
    spec::{JobSpec, SpecError, StepSpec, Timetable},
};
use kspan_model::{Millis, Name, Resources};
use one_cell::*;

fn task_at(occurrence: u32, step: u32, index: u32) -> TaskId {
    let step = StepId {
        job: JOB,
        occurrence,
        step,
    };
    step.task(index)
}

/// Returns the specification of a job that recurs immediately.
fn recurring(times: u32) -> JobSpec {
    JobSpec {
        timetable: Some(Timetable {
            times,
            first_unix_ms: 0,
            period: Millis::ZERO,
        }),
        ..spec()
    }
}

/// Guards against an index into a step's tasks that a runner chooses: one inventory row ended the
/// owner's process, and that of each successor.
#[test]
fn reported_task_that_its_step_does_not_have_is_stopped() {
    for task in [
        task_at(0, 0, 1),
        task_at(0, 0, u32::MAX),
        task_at(0, 7, 0),
        task_at(9, 0, 0),
    ] {
        let mut cell = Cell::new(&["w0", "w1"]);
        cell.submit();
        cell.report_inventory(0, vec![running_row(task, 1)], Vec::new());
        let orders = cell.engine.take_orders();
        let is_stop = |order: &Order| matches!(order, Order::Stop(stop) if stop.task == task);
        assert!(orders.iter().any(is_stop), "{task}");
        // It is listed again, its runner drains and it ends: none may index the step either.
        cell.report_inventory(0, vec![running_row(task, 1)], Vec::new());
        let draining = kspan_jobs::runner::RunnerEntry {
            draining: true,
            ..entry("w0")
        };
        cell.engine.upsert_runner(Millis(cell.now), draining);
        cell.report_inventory(0, Vec::new(), Vec::new());
        cell.report_ends(0, vec![end_row(1, task, 1, EndKind::Done)]);
        cell.report_ends(1, Vec::new());
        assert_eq!(cell.schedule(), [1], "{task}: the job itself is unaffected");
    }
}

/// Guards against a caller's request for more memory than a host has: 1,000 steps of 10,000 tasks
/// fit into one request body.
#[test]
fn job_with_too_many_tasks_in_total_is_rejected() {
    let mut cell = Cell::new(&["w0"]);
    let step = |count| StepSpec {
        count,
        ..spec().steps[0].clone()
    };
    let table = [
        (vec![step(10_000); 10], None),
        (vec![step(10_000); 1_000], Some(SpecError::TotalTasks)),
        (vec![step(1); 1_000], None),
        (vec![step(1); 1_001], Some(SpecError::StepCount)),
    ];
    for (number, (steps, expected)) in (0..).zip(table) {
        let path = format!("/q/{number:016x}");
        let spec = JobSpec { steps, ..spec() };
        let now = Millis(cell.now);
        let req = Submission {
            host: HOST,
            path: &path,
            spec,
            team: None,
        };
        let outcome = cell.engine.submit(now, cell.now, req);
        assert_eq!(outcome.err(), expected.map(SubmitError::Spec), "{path}");
    }
}

/// Guards against a timetable that is due all at once: the owner looped over 4 billion occurrences
/// and allocated each of them.
#[test]
fn occurrences_that_are_due_at_once_begin_within_a_bound() {
    let mut cell = Cell::new(&["w0"]);
    cell.submit_spec(PATH, recurring(u32::MAX));
    cell.advance(1_000);
    let begun = cell.engine.totals().waiting;
    assert!((1..=1_000).contains(&begun), "{begun}");
}

/// Occurrences beyond the bound begin as earlier ones complete, so that none is lost.
#[test]
fn occurrences_beyond_the_bound_begin_once_earlier_ones_are_done() {
    let times = 1_200;
    let mut cell = Cell::new(&["w0"]);
    cell.report_ends(0, Vec::new());
    cell.submit_spec(PATH, recurring(times));
    let mut number = 0;
    let mut done = |cell: &mut Cell, occurrences: std::ops::Range<u32>| {
        let ends = occurrences.map(|occurrence| {
            number += 1;
            end_row(number, task_at(occurrence, 0, 0), 1, EndKind::Done)
        });
        let ends = ends.collect();
        cell.report_ends(0, ends);
        cell.commit();
        cell.advance(100);
    };
    done(&mut cell, 0..1_000);
    assert_eq!(cell.engine.totals().waiting, 200);
    done(&mut cell, 1_000..times);
    cell.commit();
    assert_eq!(cell.engine.job_state(JOB), Some(JobState::Completed));
}

/// Guards against an occurrence number that a runner chooses: the owner began all occurrences up to
/// it.
#[test]
fn reported_occurrence_far_ahead_begins_nothing() {
    let mut cell = Cell::new(&["w0"]);
    let mut spec = recurring(u32::MAX);
    spec.timetable.as_mut().expect("a timetable").period = Millis(1_000_000);
    cell.submit_spec(PATH, spec);
    let before = cell.engine.totals().waiting;
    let row = running_row(task_at(u32::MAX - 1, 0, 0), 1);
    cell.report_inventory(0, vec![row], Vec::new());
    assert_eq!(cell.engine.totals().waiting, before);
}

/// Guards against work that runs again: of ends that arrived in descending order, only the first
/// was applied, and all were acknowledged.
#[test]
fn ends_in_any_order_of_their_numbers_are_all_applied() {
    for order in [[1, 2, 3], [3, 2, 1], [2, 3, 1]] {
        let mut cell = Cell::new(&["w0"]);
        cell.report_ends(0, Vec::new());
        let mut spec = spec();
        spec.steps[0].count = 3;
        spec.steps[0].size = Resources::new(1_000, 1_000, 0);
        cell.submit_spec(PATH, spec);
        assert_eq!(cell.schedule_and_start().len(), 3);
        let ends = order.map(|number: u64| {
            let index = u32::try_from(number - 1).expect("a small number");
            end_row(number, task_at(0, 0, index), 1, EndKind::Done)
        });
        cell.report_ends(0, ends.to_vec());
        cell.commit();
        let state = cell.engine.job_state(JOB);
        assert_eq!(state, Some(JobState::Completed), "{order:?}");
    }
}

/// Guards against a run number that leaves no higher one for the next start.
#[test]
fn highest_run_number_does_not_keep_a_task_from_starting() {
    let mut cell = Cell::new(&["w0"]);
    cell.submit();
    cell.report_ends(0, vec![end_row(1, task(), u32::MAX, EndKind::Stopped)]);
    cell.commit();
    cell.engine.schedule(Millis(cell.now));
    let orders = cell.engine.take_orders();
    let runs = orders.iter().filter_map(|order| match order {
        Order::Start(order) => Some(order.run),
        _ => None,
    });
    assert_eq!(runs.collect::<Vec<_>>(), [1]);
}

/// Guards against a stored record that no owner could have written: each owner's process ended
/// while it recovered.
#[test]
fn record_that_violates_the_rules_for_jobs_is_not_restored() {
    let record = |steps: Vec<StepSpec>| JobRecord {
        queue: Name::new("q"),
        policy: config().queues[0].policy.clone(),
        accepted_unix_ms: 1,
        spec: JobSpec { steps, ..spec() },
        ..JobRecord::default()
    };
    let step = spec().steps[0].clone();
    let depends_on = |on| StepSpec {
        depends_on: vec![on],
        ..step.clone()
    };
    let count = StepSpec {
        count: u32::MAX,
        ..step.clone()
    };
    for steps in [
        vec![depends_on(0)],
        vec![step.clone(), depends_on(9)],
        vec![count],
    ] {
        let mut state = DurableState::default();
        let value = record::encode(&record(steps));
        assert!(state.add("j000000000000000a", &value).is_err());
        assert!(state.jobs.is_empty());
    }
}
