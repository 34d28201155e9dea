//! Conversion between a job's state in memory and its durable progress.

use std::ops::Range;

use kspan_model::Millis;

use super::{
    durable::removed,
    job::{Job, MAX_RUN, Occurrence},
    parts::ChangedTasks,
    task::{Task, TaskState},
};
use crate::{
    id::StepId,
    record::{
        self, OccurrenceProgress, PartKey, PartRecord, Phase, ProgressRecord, Record, RecordKey,
        TaskCrash, TaskProgress, TaskRef,
    },
};

impl Job {
    /// Returns the records to be written after a change of some tasks. Parts go before the record of the
    /// job, which makes them count, and the parts that are no longer needed are deleted last.
    pub(super) fn progress_records(&mut self, changed: &ChangedTasks) -> Vec<Record> {
        let mut records = Vec::new();
        let mut unused = Vec::new();
        for number in self.changed_parts(changed) {
            let key = self.part_key(number);
            let part = self.part_record(number);
            if part.is_empty() {
                unused.push(key);
                continue;
            }
            let value = Some(record::encode(&part));
            let key = RecordKey::Part(key);
            records.push(Record { key, value });
        }
        let written = records.iter().filter_map(|record| match record.key {
            RecordKey::Part(key) => Some(key),
            _ => None,
        });
        self.parts.add_stored(written);
        records.push(self.progress_record());
        let unused = self.take_unused_parts(&unused);
        records.extend(removed(unused));
        records
    }

    /// Returns the record of the job, without those of its parts.
    pub(super) fn progress_record(&self) -> Record {
        Record {
            key: RecordKey::Progress(self.id),
            value: Some(record::encode(&self.progress())),
        }
    }

    /// Returns the progress of the job, without that in parts.
    fn progress(&self) -> ProgressRecord {
        let is_whole = self.parts.size() == 0;
        let part = self.collect_progress(|_, _, count| 0..if is_whole { count } else { 0 });
        ProgressRecord {
            phase: self.phase,
            ended_unix_ms: self.ended_unix_ms,
            occurrences_done: self.occurrences_done,
            occurrences: part.occurrences,
            crashes: part.crashes,
            unaccounted: part.unaccounted,
            has_started: self.started,
            tasks_per_part: self.parts.size(),
        }
    }

    /// Returns the record of one part of the progress.
    fn part_record(&self, number: u64) -> PartRecord {
        let part = self.part(number);
        let mut record =
            self.collect_progress(|occurrence, step, count| part.indices(occurrence, step, count));
        record.occurrences.retain(|occ| !occ.tasks.is_empty());
        record
    }

    /// Returns the progress of the tasks whose indices `indices` returns for an occurrence, a step and
    /// the number of its tasks.
    fn collect_progress(&self, indices: impl Fn(u32, usize, usize) -> Range<usize>) -> PartRecord {
        let mut part = PartRecord::default();
        for occurrence in self.open_occurrences() {
            let mut tasks = Vec::new();
            for (number, step) in occurrence.steps.iter().enumerate() {
                for index in indices(occurrence.number, number, step.tasks.len()) {
                    let task = &step.tasks[index];
                    let at = task_ref(occurrence.number, number, index);
                    tasks.extend(task_progress(at, task));
                    if task.state != TaskState::Done {
                        part.crashes.extend(crashes(at, task));
                        part.unaccounted.extend(task.unaccounted.then_some(at));
                    }
                }
            }
            part.occurrences.push(OccurrenceProgress {
                number: occurrence.number,
                tasks,
            });
        }
        part
    }

    /// Returns the occurrences that have begun and are not completed; none once the job has ended.
    pub(super) fn open_occurrences(&self) -> impl Iterator<Item = &Occurrence> {
        let is_active = self.phase == Phase::Active;
        self.occurrences.iter().filter(move |_| is_active)
    }

    /// Restores the job from its progress record and the records of parts. They do not tell which runs are
    /// still alive.
    pub(super) fn restore(
        &mut self,
        progress: &ProgressRecord,
        parts: &[(PartKey, PartRecord)],
        now: Millis,
    ) {
        self.phase = progress.phase;
        self.ended_unix_ms = progress.ended_unix_ms;
        self.occurrences_done = progress.occurrences_done;
        self.parts.set_stored_size(progress.tasks_per_part);
        for saved in &progress.occurrences {
            let mut occurrence = Occurrence::new(saved.number, &self.record.spec, now);
            for known in &saved.tasks {
                restore_task(&mut occurrence, known, now);
            }
            self.next_occurrence = self.next_occurrence.max(saved.number.saturating_add(1));
            self.occurrences.push(occurrence);
        }
        self.restore_evidence(&progress.crashes, &progress.unaccounted);
        let size = progress.tasks_per_part;
        for (_, part) in parts
            .iter()
            .filter(|(key, _)| size > 0 && key.tasks == size)
        {
            self.restore_part(part, now);
        }
        self.restore_gang_failures();
        self.complete_gangs(now);
        if self.record.spec.timetable.is_some() {
            // Occurrences may complete out of order: every occurrence that has begun and is not in
            // the record is completed.
            let open = u32::try_from(self.occurrences.len()).unwrap_or(0);
            let begun = self.occurrences_done.saturating_add(open);
            self.next_occurrence = self.next_occurrence.max(begun);
        }
        self.started = progress.has_started;
    }

    /// Restores the tasks of a part. Occurrences that the job's record does not have are completed, or had
    /// begun when the part was written and the job's record was not.
    fn restore_part(&mut self, part: &PartRecord, now: Millis) {
        for saved in &part.occurrences {
            let mut open = self.occurrences.iter_mut();
            let Some(occurrence) = open.find(|occ| occ.number == saved.number) else {
                continue;
            };
            for known in &saved.tasks {
                restore_task(occurrence, known, now);
            }
        }
        self.restore_evidence(&part.crashes, &part.unaccounted);
    }

    fn restore_evidence(&mut self, crashes: &[TaskCrash], unaccounted: &[TaskRef]) {
        for known in crashes {
            if let Some(task) = self.referenced_task(known.task) {
                task.crashes.record(known.crash);
            }
        }
        for known in unaccounted {
            if let Some(task) = self.referenced_task(*known) {
                task.unaccounted = true;
            }
        }
    }

    /// Counts the failed runs of the gangs.
    fn restore_gang_failures(&mut self) {
        for occurrence in &mut self.occurrences {
            let specs = self.record.spec.steps.iter();
            let gangs = specs
                .zip(&mut occurrence.steps)
                .filter(|(spec, _)| spec.gang);
            gangs.for_each(|(_, step)| step.restore_gang_failures());
        }
    }

    /// Completes the gangs of which a part of the members is known to be done, because the others are in
    /// a part that was not written.
    fn complete_gangs(&mut self, now: Millis) {
        let steps = self.occurrences.iter_mut().flat_map(|occ| {
            let specs = self.record.spec.steps.iter();
            specs.zip(&mut occ.steps)
        });
        let begun = steps.filter(|(spec, step)| spec.gang && step.done > 0 && !step.is_done());
        for (_, step) in begun {
            for index in 0..step.tasks.len() {
                step.set_state(index, TaskState::Done, now);
            }
        }
    }

    fn referenced_task(&mut self, known: TaskRef) -> Option<&mut Task> {
        let step = StepId {
            job: self.id,
            occurrence: known.occurrence,
            step: known.step,
        };
        let (step, _) = self.step_mut(step)?;
        step.tasks.get_mut(known.index as usize)
    }
}

fn task_ref(occurrence: u32, step: usize, index: usize) -> TaskRef {
    TaskRef {
        occurrence,
        step: u32::try_from(step).expect("a job has few steps"),
        index: u32::try_from(index).expect("a step has few tasks"),
    }
}

/// Returns the progress of a task, if it has any.
fn task_progress(at: TaskRef, task: &Task) -> Option<TaskProgress> {
    task.has_progress().then(|| TaskProgress {
        step: at.step,
        index: at.index,
        done: task.state == TaskState::Done,
        run: task.run,
        failures: task.failures.clone(),
        checkpoint: task.checkpoint.clone(),
    })
}

fn crashes(at: TaskRef, task: &Task) -> impl Iterator<Item = TaskCrash> {
    let records = task.crashes.records().iter();
    records.map(move |crash| TaskCrash {
        task: at,
        crash: *crash,
    })
}

fn restore_task(occurrence: &mut Occurrence, known: &TaskProgress, now: Millis) {
    let Some(step) = occurrence.steps.get_mut(known.step as usize) else {
        return;
    };
    let index = known.index as usize;
    if index >= step.tasks.len() {
        return;
    }
    let task = &mut step.tasks[index];
    task.run = known.run.min(MAX_RUN);
    task.failures.clone_from(&known.failures);
    task.checkpoint = known.checkpoint.clone();
    if known.done {
        step.set_state(index, TaskState::Done, now);
    }
}
