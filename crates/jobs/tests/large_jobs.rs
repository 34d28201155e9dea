//! Regression tests for jobs whose progress would not fit into one record of the store.

mod one_cell;

use kspan_jobs::{
    engine::{JobState, RunnerIx, SubmitError},
    id::{StepId, TaskId},
    record::{
        OccurrenceProgress, PartRecord, ProgressRecord, Record, RecordKey, TaskProgress, encode,
    },
    runner::{EndKind, EndedTask, MAX_CHECKPOINT_BYTES},
    spec::{JobSpec, StepSpec, Timetable},
};
use kspan_model::{Millis, Name, Resources};
use one_cell::*;

const STEPS: u32 = 3;
const TASKS_PER_STEP: u32 = 2_000;

/// Returns a job of several steps with many tasks each.
fn large_spec() -> JobSpec {
    let step = |number: u32| StepSpec {
        count: TASKS_PER_STEP,
        size: Resources::new(1, 1, 0),
        depends_on: (number > 0).then(|| number - 1).into_iter().collect(),
        saves_progress: true,
        ..StepSpec::default()
    };
    JobSpec {
        text: Name::new("run"),
        steps: (0..STEPS).map(step).collect(),
        timetable: None,
    }
}

fn task_at(occurrence: u32, step: u32, index: u32) -> TaskId {
    let step = StepId {
        job: JOB,
        occurrence,
        step,
    };
    step.task(index)
}

/// Reports ends of tasks of a step with a checkpoint. Their numbers follow each other.
fn report(cell: &mut Cell, number: &mut u64, tasks: &[TaskId], run: u32, how: EndKind) {
    let checkpoint = Name::new(&"c".repeat(MAX_CHECKPOINT_BYTES));
    let ends = tasks.iter().map(|task| {
        *number += 1;
        EndedTask {
            number: *number,
            task: *task,
            run,
            how,
            checkpoint: checkpoint.clone(),
        }
    });
    let ends = ends.collect();
    cell.report_ends(0, ends);
}

/// Applies records to the store; panics if one is larger than the store accepts.
fn write(cell: &mut Cell, records: &[Record]) {
    for Record { key, value } in records {
        let key = key.to_string();
        let bytes = 1 + key.len() + value.as_ref().map_or(0, Vec::len);
        assert!(bytes <= settings().max_record_bytes, "{key}: {bytes} bytes");
        match value {
            Some(value) => drop(cell.store.insert(key, value.clone())),
            None => drop(cell.store.remove(&key)),
        }
    }
}

/// Writes the open batch.
fn write_batch(cell: &mut Cell) {
    if let Some(batch) = cell.engine.take_batch() {
        write(cell, &batch.records);
        cell.engine.mark_durable(batch.number);
    }
}

fn stored_parts(cell: &Cell) -> usize {
    cell.store.keys().filter(|key| key.starts_with('t')).count()
}

/// Returns the number of tasks that are not done, after a takeover.
fn open_after_takeover(cell: &Cell) -> usize {
    let mut next = Cell::new(&[]);
    next.now = cell.now;
    next.store.clone_from(&cell.store);
    next.recover();
    next.engine.totals().waiting
}

/// A cell with a large job of which some tasks of the first step have failed and others are done.
fn cell_with_progress(done: u32) -> (Cell, u64) {
    let mut cell = Cell::new(&["w0"]);
    cell.submit_spec(PATH, large_spec());
    let mut number = 0;
    let tasks: Vec<TaskId> = (0..done).map(|index| task_at(0, 0, index)).collect();
    for run in 1..MAX_ATTEMPTS {
        report(&mut cell, &mut number, &tasks, run, EndKind::Failed);
        write_batch(&mut cell);
    }
    report(&mut cell, &mut number, &tasks, MAX_ATTEMPTS, EndKind::Done);
    (cell, number)
}

/// Guards against progress that outgrows a record of the store, so that nothing can be written any more.
#[test]
fn progress_of_a_large_job_fits_into_records_to_its_end() {
    let mut cell = Cell::new(&["w0"]);
    cell.submit_spec(PATH, large_spec());
    let mut number = 0;
    for step in 0..STEPS {
        for from in (0..TASKS_PER_STEP).step_by(500) {
            let tasks: Vec<_> = (from..from + 500)
                .map(|index| task_at(0, step, index))
                .collect();
            for run in 1..MAX_ATTEMPTS {
                report(&mut cell, &mut number, &tasks, run, EndKind::Failed);
                write_batch(&mut cell);
            }
            report(&mut cell, &mut number, &tasks, MAX_ATTEMPTS, EndKind::Done);
            write_batch(&mut cell);
            let done = step * TASKS_PER_STEP + from + 500;
            if done < STEPS * TASKS_PER_STEP {
                let open = (STEPS * TASKS_PER_STEP - done) as usize;
                assert_eq!(open_after_takeover(&cell), open);
            }
        }
    }
    assert_eq!(cell.engine.job_state(JOB), Some(JobState::Completed));
    assert_eq!(stored_parts(&cell), 0, "the parts end with the job");
}

/// Guards against a change of one task that writes the progress of all others again.
#[test]
fn change_of_one_task_writes_its_part_alone() {
    let (mut cell, mut number) = cell_with_progress(TASKS_PER_STEP);
    write_batch(&mut cell);
    let parts = stored_parts(&cell);
    report(
        &mut cell,
        &mut number,
        &[task_at(0, 1, 0)],
        1,
        EndKind::Done,
    );
    let batch = cell.engine.take_batch().expect("a change");
    let bytes: usize = batch
        .records
        .iter()
        .filter_map(|record| record.value.as_ref())
        .map(Vec::len)
        .sum();
    assert!(
        parts > 5 && batch.records.len() == 2,
        "{parts} parts, {} records",
        batch.records.len()
    );
    assert!(bytes < settings().max_record_bytes, "{bytes} bytes");
}

/// Guards against done tasks that run again because an owner ended after a part of a batch was written.
#[test]
fn interrupted_batch_loses_nothing_that_was_durable() {
    let (mut cell, mut number) = cell_with_progress(1_000);
    write_batch(&mut cell);
    let all = (STEPS * TASKS_PER_STEP) as usize;
    assert_eq!(open_after_takeover(&cell), all - 1_000);
    let tasks: Vec<_> = (1_000..TASKS_PER_STEP)
        .map(|index| task_at(0, 0, index))
        .collect();
    report(&mut cell, &mut number, &tasks, 1, EndKind::Done);
    let batch = cell.engine.take_batch().expect("a change");
    assert!(batch.records.len() > 3);
    let before = cell.store.clone();
    for written in 0..=batch.records.len() {
        cell.store.clone_from(&before);
        write(&mut cell, &batch.records[..written]);
        assert!(
            open_after_takeover(&cell) <= all - 1_000,
            "{written} records"
        );
    }
    assert_eq!(open_after_takeover(&cell), all - TASKS_PER_STEP as usize);
}

/// Guards against a job that stays active for ever, because all its tasks are known to be done and its own
/// record was not written after them.
#[test]
fn job_whose_last_part_alone_was_written_is_completed() {
    let mut cell = Cell::new(&["w0"]);
    let mut spec = large_spec();
    spec.steps.truncate(1);
    cell.submit_spec(PATH, spec);
    let mut number = 0;
    let tasks: Vec<_> = (0..TASKS_PER_STEP)
        .map(|index| task_at(0, 0, index))
        .collect();
    report(&mut cell, &mut number, &tasks[1..], 1, EndKind::Done);
    write_batch(&mut cell);
    // An owner that ends before it writes the end of the job.
    let part = PartRecord {
        occurrences: vec![OccurrenceProgress {
            number: 0,
            tasks: (0..TASKS_PER_STEP)
                .map(|index| TaskProgress {
                    index,
                    done: true,
                    run: 1,
                    ..TaskProgress::default()
                })
                .collect(),
        }],
        ..PartRecord::default()
    };
    let first = cell.store.keys().find(|key| key.starts_with('t'));
    let first = first.expect("a part").clone();
    cell.store.insert(first, encode(&part));
    cell.recover();
    cell.commit();
    assert_eq!(cell.engine.job_state(JOB), Some(JobState::Completed));
    assert_eq!(stored_parts(&cell), 0);
}

/// Returns the progress record that the version before wrote: all tasks in one record.
fn whole_record(done: u32) -> Vec<u8> {
    let tasks = (0..done).map(|index| TaskProgress {
        index,
        done: true,
        run: 1,
        ..TaskProgress::default()
    });
    let tasks = tasks.collect();
    let record = ProgressRecord {
        occurrences: vec![OccurrenceProgress { number: 0, tasks }],
        ..ProgressRecord::default()
    };
    let bytes = encode(&record);
    // That version wrote neither whether the job has started nor a size of parts.
    bytes[..bytes.len() - 2].to_vec()
}

/// Guards against progress of the version before that is lost when it is first split.
#[test]
fn whole_progress_is_read_and_split_without_a_gap() {
    let mut cell = Cell::new(&["w0"]);
    cell.submit_spec(PATH, large_spec());
    let key = RecordKey::Progress(JOB).to_string();
    cell.store.insert(key, whole_record(1_500));
    let all = (STEPS * TASKS_PER_STEP) as usize;
    assert_eq!(open_after_takeover(&cell), all - 1_500);
    cell.recover();
    cell.engine.upsert_runner(Millis(cell.now), entry("w0"));
    report(&mut cell, &mut 0, &[task_at(0, 0, 1_999)], 1, EndKind::Done);
    let batch = cell.engine.take_batch().expect("a change");
    let before = cell.store.clone();
    for written in 0..=batch.records.len() {
        cell.store.clone_from(&before);
        write(&mut cell, &batch.records[..written]);
        assert!(
            open_after_takeover(&cell) <= all - 1_500,
            "{written} records"
        );
    }
    assert_eq!(open_after_takeover(&cell), all - 1_501);
}

/// Guards against parts that stay in the store after the occurrences that they belong to, or their job.
#[test]
fn parts_of_completed_occurrences_and_of_unknown_jobs_are_deleted() {
    let mut cell = Cell::new(&["w0"]);
    let mut spec = large_spec();
    spec.steps.truncate(1);
    spec.timetable = Some(Timetable {
        times: 3,
        first_unix_ms: 0,
        period: Millis(1),
    });
    cell.submit_spec(PATH, spec);
    let mut number = 0;
    for occurrence in [1, 0] {
        let tasks: Vec<_> = (0..TASKS_PER_STEP)
            .map(|index| task_at(occurrence, 0, index))
            .collect();
        report(&mut cell, &mut number, &tasks[1..], 1, EndKind::Done);
        write_batch(&mut cell);
        assert!(stored_parts(&cell) > 5);
        report(&mut cell, &mut number, &tasks[..1], 1, EndKind::Done);
        write_batch(&mut cell);
        // The first and the last part may have tasks of other occurrences.
        let parts = stored_parts(&cell);
        assert!(parts <= 2, "occurrence {occurrence}: {parts} parts");
    }
    assert_eq!(open_after_takeover(&cell), TASKS_PER_STEP as usize);
    let orphan = "t00000000000000ff.10.1";
    cell.store.insert(orphan.to_owned(), vec![0, 0, 0]);
    cell.recover();
    write_batch(&mut cell);
    assert!(!cell.store.contains_key(orphan));
}

/// Guards against a gang that is done in part, because its parts were not written together.
#[test]
fn gang_is_done_as_a_whole_after_an_interrupted_batch() {
    let mut cell = Cell::new(&["w0"]);
    let mut spec = large_spec();
    spec.steps.truncate(2);
    spec.steps[0].gang = true;
    cell.submit_spec(PATH, spec);
    report(&mut cell, &mut 0, &[task_at(0, 0, 7)], 1, EndKind::Done);
    let batch = cell.engine.take_batch().expect("a change");
    let before = cell.store.clone();
    let all = 2 * TASKS_PER_STEP as usize;
    for written in 0..=batch.records.len() {
        cell.store.clone_from(&before);
        write(&mut cell, &batch.records[..written]);
        let open = open_after_takeover(&cell);
        assert!(
            open == all || open == TASKS_PER_STEP as usize,
            "{open} open"
        );
    }
    assert_eq!(open_after_takeover(&cell), TASKS_PER_STEP as usize);
}

/// Guards against an accepted job whose specification can't be stored.
#[test]
fn job_too_large_to_be_stored_is_refused_with_its_size() {
    let mut cell = Cell::new(&["w0"]);
    let bytes = settings().max_record_bytes;
    let table = [
        (bytes / 2, true),
        (bytes - 500, true),
        (bytes, false),
        (2 * bytes, false),
    ];
    for (length, fits) in table {
        let mut spec = spec();
        spec.text = Name::new(&"x".repeat(length));
        let path = format!("/q/{length:016x}");
        let submitted = cell.try_submit(&path, spec, None);
        match submitted {
            Ok(_) => assert!(fits, "{length}"),
            Err(SubmitError::TooLarge(found, max)) => {
                assert!(!fits && found > length && max < bytes, "{length}");
            }
            Err(err) => panic!("{length}: {err}"),
        }
        write_batch(&mut cell);
    }
}

/// Guards against the list of a runner's tasks that outgrows a record. Without a list the runner may have
/// any task.
#[test]
fn record_of_a_runner_with_many_tasks_fits() {
    let mut big = entry("w0");
    big.capacity = Resources::new(1_000_000, 1_000_000, 0);
    let mut cell = Cell::with_runners(config(), [big]);
    cell.report_ends(0, Vec::new());
    for job in 0..4_u64 {
        let mut spec = large_spec();
        spec.steps
            .iter_mut()
            .for_each(|step| step.depends_on.clear());
        spec.steps.iter_mut().for_each(|step| step.count = 5_000);
        cell.submit_spec(&format!("/q/{:016x}", u64::MAX - job), spec);
    }
    let started = cell.schedule_and_start().len();
    assert!(started > 20_000, "{started}");
    for _ in 0..3 {
        cell.complete_inventory_call(0, &kspan_jobs::runner::InventoryOutcome::NoResponse);
    }
    write_batch(&mut cell);
    let stored = kspan_jobs::record::RunnerRecord::decode(&cell.store["rw0"]);
    assert_eq!(stored.map(|record| record.tasks), Ok(None));
    assert_eq!(cell.engine.used(RunnerIx(0)).cpu_milli, started as u64);
}
