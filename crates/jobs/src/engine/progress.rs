//! Conversion between a job's state in memory and its durable progress.

use kspan_model::Millis;

use super::job::{Job, MAX_RUN, Occurrence, Task, TaskState};
use crate::{
    id::{StepId, TaskId},
    record::{OccurrenceProgress, Phase, ProgressRecord, TaskCrash, TaskProgress, TaskRef},
};

impl Job {
    /// Returns the progress record of the job.
    pub(super) fn progress(&self) -> ProgressRecord {
        let is_active = matches!(self.phase, Phase::Active);
        let occurrences = self
            .occurrences
            .iter()
            .filter(|_| is_active)
            .map(occurrence_progress);
        ProgressRecord {
            phase: self.phase,
            ended_unix_ms: self.ended_unix_ms,
            occurrences_done: self.occurrences_done,
            occurrences: occurrences.collect(),
            crashes: self.crashes(),
            unaccounted: self.unaccounted(),
            has_started: self.started,
        }
    }

    /// Returns the crash records of unfinished tasks; none once the job has ended.
    fn crashes(&self) -> Vec<TaskCrash> {
        let crashes = self.open_tasks().flat_map(|(id, task)| {
            let records = task.crashes.records().iter();
            records.map(move |crash| TaskCrash {
                task: task_ref(id),
                crash: *crash,
            })
        });
        crashes.collect()
    }

    /// Returns the unaccounted tasks; none once the job has ended.
    fn unaccounted(&self) -> Vec<TaskRef> {
        let unaccounted = self.open_tasks().filter(|(_, task)| task.unaccounted);
        unaccounted.map(|(id, _)| task_ref(id)).collect()
    }

    /// Returns the tasks that are not done; none once the job has ended.
    fn open_tasks(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        let is_active = self.phase == Phase::Active;
        self.tasks()
            .filter(move |(_, task)| is_active && task.state != TaskState::Done)
    }

    /// Restores the job from its progress record. The record does not tell which runs are still
    /// alive.
    pub(super) fn restore(&mut self, progress: &ProgressRecord, now: Millis) {
        self.phase = progress.phase;
        self.ended_unix_ms = progress.ended_unix_ms;
        self.occurrences_done = progress.occurrences_done;
        let has_timetable = self.record.spec.timetable.is_some();
        for saved in &progress.occurrences {
            let mut occurrence = Occurrence::new(saved.number, &self.record.spec, now);
            for known in &saved.tasks {
                restore_task(&mut occurrence, known, now);
            }
            self.next_occurrence = self.next_occurrence.max(saved.number.saturating_add(1));
            self.occurrences.push(occurrence);
        }
        for known in &progress.crashes {
            if let Some(task) = self.referenced_task(known.task) {
                task.crashes.record(known.crash);
            }
        }
        for known in &progress.unaccounted {
            if let Some(task) = self.referenced_task(*known) {
                task.unaccounted = true;
            }
        }
        if has_timetable {
            // Occurrences may complete out of order: every occurrence that has begun and is not in
            // the record is completed.
            let open = u32::try_from(self.occurrences.len()).unwrap_or(0);
            let begun = self.occurrences_done.saturating_add(open);
            self.next_occurrence = self.next_occurrence.max(begun);
        }
        self.started = progress.has_started;
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

fn task_ref(id: TaskId) -> TaskRef {
    TaskRef {
        occurrence: id.step.occurrence,
        step: id.step.step,
        index: id.index,
    }
}

fn occurrence_progress(occurrence: &Occurrence) -> OccurrenceProgress {
    let mut tasks = Vec::new();
    for (number, step) in (0..).zip(&occurrence.steps) {
        let known = (0..)
            .zip(&step.tasks)
            .filter(|(_, task)| task.has_progress());
        tasks.extend(known.map(|(index, task)| TaskProgress {
            step: number,
            index,
            done: task.state == TaskState::Done,
            run: task.run,
            failures: task.failures.clone(),
            checkpoint: task.checkpoint.clone(),
        }));
    }
    OccurrenceProgress {
        number: occurrence.number,
        tasks,
    }
}

fn restore_task(occurrence: &mut Occurrence, known: &TaskProgress, now: Millis) {
    let Some(step) = occurrence.steps.get_mut(known.step as usize) else {
        return;
    };
    let index = known.index as usize;
    if index >= step.tasks.len() {
        return;
    }
    if known.done {
        step.set_state(index, TaskState::Done, now);
    }
    let task = &mut step.tasks[index];
    task.run = known.run.min(MAX_RUN);
    task.failures.clone_from(&known.failures);
    task.checkpoint = known.checkpoint.clone();
}
