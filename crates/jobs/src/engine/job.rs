//! A job in memory: occurrences, steps and tasks.

use kspan_model::{Millis, Name};
use rustc_hash::FxHashMap;

use super::{advice::Approvals, runner::RunnerIx};
use crate::{
    id::{JobId, StepId},
    record::{FailedRun, JobRecord, OccurrenceProgress, Phase, ProgressRecord, TaskProgress},
    spec::{JobSpec, StepSpec},
};

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskState {
    /// It has no run that may still be alive.
    Waiting,
    /// A start was ordered and is not proved yet.
    Starting(RunnerIx),
    /// A runner has it.
    Running(RunnerIx),
    /// It was ordered to stop and may still run.
    Stopping(RunnerIx),
    /// It is done.
    Done,
}

impl TaskState {
    /// Returns the runner that may have the task.
    pub(super) fn runner(self) -> Option<RunnerIx> {
        match self {
            Self::Starting(ix) | Self::Running(ix) | Self::Stopping(ix) => Some(ix),
            Self::Waiting | Self::Done => None,
        }
    }
}

/// A task.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) state: TaskState,
    /// Number of the newest start.
    pub(super) run: u32,
    /// Runs that failed; not kept for tasks that may fail without end.
    pub(super) failures: Vec<FailedRun>,
    pub(super) checkpoint: Name,
    /// When the state began.
    pub(super) since: Millis,
    /// Runner that the last run failed on.
    pub(super) shun: Option<RunnerIx>,
    /// Runs that were stopped because they stood still.
    pub(super) stalls: u32,
    /// Runs to skip before the next start, where a runner knows higher ones.
    pub(super) skip_runs: u32,
    /// Whether a run that an earlier owner ordered may be alive out of reach.
    pub(super) unaccounted: bool,
}

impl Task {
    fn new(now: Millis) -> Self {
        Self {
            state: TaskState::Waiting,
            run: 0,
            failures: Vec::new(),
            checkpoint: Name::default(),
            since: now,
            shun: None,
            stalls: 0,
            skip_runs: 0,
            unaccounted: false,
        }
    }

    /// Returns whether the task waits and may start: an earlier run that may be alive out of reach
    /// bars it until all of them are `accounted` for.
    pub(super) fn may_start(&self, accounted: bool) -> bool {
        self.state == TaskState::Waiting && (accounted || !self.unaccounted)
    }

    /// Puts the task into a state.
    pub(super) fn enter(&mut self, state: TaskState, now: Millis) {
        self.state = state;
        self.since = now;
    }

    fn has_history(&self) -> bool {
        self.state == TaskState::Done || !self.failures.is_empty() || !self.checkpoint.is_empty()
    }
}

/// A step of an occurrence.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub(super) tasks: Vec<Task>,
    pub(super) done: usize,
    pub(super) waiting: usize,
    pub(super) approvals: Approvals,
    /// Tasks of the step on each runner.
    pub(super) on_runner: FxHashMap<RunnerIx, u32>,
}

impl Step {
    fn new(spec: &StepSpec, now: Millis) -> Self {
        let count = spec.count as usize;
        Self {
            tasks: vec![Task::new(now); count],
            done: 0,
            waiting: count,
            approvals: Approvals::default(),
            on_runner: FxHashMap::default(),
        }
    }

    /// Returns whether all tasks are done.
    pub(super) fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }

    /// Moves a task to a state and keeps the counts.
    pub(super) fn enter(&mut self, index: usize, state: TaskState, now: Millis) {
        let before = self.tasks[index].state;
        match before {
            TaskState::Waiting => self.waiting -= 1,
            TaskState::Done => self.done -= 1,
            _ => {}
        }
        match state {
            TaskState::Waiting => self.waiting += 1,
            TaskState::Done => self.done += 1,
            _ => {}
        }
        if let Some(runner_ix) = before.runner() {
            *self.on_runner.entry(runner_ix).or_default() -= 1;
        }
        if let Some(runner_ix) = state.runner() {
            *self.on_runner.entry(runner_ix).or_default() += 1;
        }
        self.tasks[index].enter(state, now);
    }
}

/// One occurrence of a job.
#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    pub(super) number: u32,
    pub(super) steps: Vec<Step>,
}

impl Occurrence {
    fn new(number: u32, spec: &JobSpec, now: Millis) -> Self {
        let steps = spec.steps.iter().map(|step| Step::new(step, now)).collect();
        Self { number, steps }
    }

    /// Returns whether all steps are done.
    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    /// Marks every waiting task as one whose earlier runs may be alive.
    fn mark_unaccounted(&mut self) {
        for task in self.steps.iter_mut().flat_map(|step| &mut step.tasks) {
            task.unaccounted = task.state == TaskState::Waiting;
        }
    }
}

/// A job.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) id: JobId,
    pub(super) record: JobRecord,
    pub(super) phase: Phase,
    /// Batch whose commit makes the phase durable.
    pub(super) phase_batch: u64,
    /// Batch whose commit makes the specification durable.
    pub(super) spec_batch: u64,
    pub(super) submitted: Millis,
    pub(super) ended_unix_ms: u64,
    /// Whether any task was ever started.
    pub(super) started: bool,
    /// Number of occurrences that are done, counted from the first.
    pub(super) occurrences_done: u32,
    /// Number of the next occurrence to begin.
    pub(super) next_occurrence: u32,
    pub(super) occurrences: Vec<Occurrence>,
}

impl Job {
    /// Creates a job that was just submitted.
    pub(super) fn new(id: JobId, record: JobRecord, now: Millis) -> Self {
        Self {
            id,
            record,
            phase: Phase::Active,
            phase_batch: 0,
            spec_batch: 0,
            submitted: now,
            ended_unix_ms: 0,
            started: false,
            occurrences_done: 0,
            next_occurrence: 0,
            occurrences: Vec::new(),
        }
    }

    /// Begins the occurrences that are due; returns whether there were any. Where not all runs of
    /// earlier owners are `accounted` for, one of them may have begun these occurrences too.
    pub(super) fn begin_due(&mut self, now: Millis, unix_ms: u64, accounted: bool) -> bool {
        let first = self.next_occurrence;
        while self.next_occurrence < self.record.spec.occurrences() {
            let number = self.next_occurrence;
            let due = self
                .record
                .spec
                .timetable
                .map_or(0, |table| table.due_unix_ms(number));
            if due > unix_ms {
                break;
            }
            let mut begun = Occurrence::new(number, &self.record.spec, now);
            if !accounted {
                begun.mark_unaccounted();
            }
            self.occurrences.push(begun);
            self.next_occurrence += 1;
        }
        self.next_occurrence > first
    }

    /// Begins an occurrence that a runner has had, and all before it: an earlier owner has begun
    /// them, by a clock that may be ahead. Their runs may be alive. Returns whether any began.
    pub(super) fn begin_seen(&mut self, occurrence: u32, now: Millis) -> bool {
        let last = self.record.spec.occurrences();
        if self.phase != Phase::Active || occurrence < self.next_occurrence || occurrence >= last {
            return false;
        }
        for number in self.next_occurrence..=occurrence {
            let mut begun = Occurrence::new(number, &self.record.spec, now);
            begun.mark_unaccounted();
            self.occurrences.push(begun);
        }
        self.next_occurrence = occurrence + 1;
        true
    }

    /// Drops occurrences that are done, and returns whether the whole job is.
    pub(super) fn close_done(&mut self) -> bool {
        while let Some(at) = self.occurrences.iter().position(Occurrence::is_done) {
            if self.record.spec.timetable.is_none() {
                return true;
            }
            self.occurrences.remove(at);
            self.occurrences_done += 1;
        }
        self.occurrences_done == self.record.spec.occurrences()
    }

    /// Returns a step with what it asks for.
    pub(super) fn step(&self, id: StepId) -> Option<(&Step, &StepSpec)> {
        let occurrence = self
            .occurrences
            .iter()
            .find(|occ| occ.number == id.occurrence)?;
        let number = id.step as usize;
        Some((
            occurrence.steps.get(number)?,
            &self.record.spec.steps[number],
        ))
    }

    /// Returns a step with what it asks for.
    pub(super) fn step_mut(&mut self, id: StepId) -> Option<(&mut Step, &StepSpec)> {
        let mut occurrences = self.occurrences.iter_mut();
        let occurrence = occurrences.find(|occ| occ.number == id.occurrence)?;
        let number = id.step as usize;
        Some((
            occurrence.steps.get_mut(number)?,
            &self.record.spec.steps[number],
        ))
    }

    /// Returns the ids of the steps that may run now and have tasks waiting.
    pub(super) fn ready_steps(&self) -> impl Iterator<Item = StepId> + '_ {
        self.occurrences.iter().flat_map(move |occ| {
            let specs = self.record.spec.steps.iter();
            let ready = specs
                .zip(&occ.steps)
                .enumerate()
                .filter(|(_, (spec, step))| {
                    let depends_on = &spec.depends_on;
                    step.waiting > 0
                        && depends_on
                            .iter()
                            .all(|&on| occ.steps[on as usize].is_done())
                });
            ready.map(|(number, _)| StepId {
                job: self.id,
                occurrence: occ.number,
                step: u32::try_from(number).expect("a job has few steps"),
            })
        })
    }

    /// Returns the durable form of the progress.
    pub(super) fn progress(&self) -> ProgressRecord {
        let open = matches!(self.phase, Phase::Active);
        let occurrences = self.occurrences.iter().filter(|_| open).map(progress_of);
        ProgressRecord {
            phase: self.phase,
            ended_unix_ms: self.ended_unix_ms,
            occurrences_done: self.occurrences_done,
            occurrences: occurrences.collect(),
        }
    }

    /// Takes over durable progress. Whether other runs are alive is not known from it.
    pub(super) fn restore(&mut self, progress: &ProgressRecord, now: Millis) {
        self.phase = progress.phase;
        self.ended_unix_ms = progress.ended_unix_ms;
        self.occurrences_done = progress.occurrences_done;
        let timed = self.record.spec.timetable.is_some();
        for open in &progress.occurrences {
            let mut occurrence = Occurrence::new(open.number, &self.record.spec, now);
            for known in &open.tasks {
                restore_task(&mut occurrence, known, now);
            }
            self.next_occurrence = self.next_occurrence.max(open.number + 1);
            self.occurrences.push(occurrence);
        }
        if timed {
            // Occurrences end out of order; every one that isn't open and was begun is done.
            let begun = self.occurrences_done + u32::try_from(self.occurrences.len()).unwrap_or(0);
            self.next_occurrence = self.next_occurrence.max(begun);
        }
        self.started = !progress.occurrences.is_empty() || self.occurrences_done > 0;
    }

    /// Marks every waiting task as one whose earlier runs may be alive.
    pub(super) fn mark_unaccounted(&mut self) {
        self.occurrences
            .iter_mut()
            .for_each(Occurrence::mark_unaccounted);
    }
}

fn progress_of(occurrence: &Occurrence) -> OccurrenceProgress {
    let mut tasks = Vec::new();
    for (number, step) in (0..).zip(&occurrence.steps) {
        let known = (0..)
            .zip(&step.tasks)
            .filter(|(_, task)| task.has_history());
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
        step.enter(index, TaskState::Done, now);
    }
    let task = &mut step.tasks[index];
    task.run = known.run;
    task.failures.clone_from(&known.failures);
    task.checkpoint = known.checkpoint.clone();
}
