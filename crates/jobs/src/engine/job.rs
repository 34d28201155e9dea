//! In-memory state of a job: its occurrences, steps and tasks.

use kspan_model::Millis;
use rustc_hash::FxHashMap;

use super::{
    approvals::Approvals,
    attempts::GangFailures,
    gangs::AdoptedRun,
    memory::JobSize,
    parts::Parts,
    quota::TeamIx,
    runner::RunnerIx,
    task::{Task, TaskState},
    tasks::Tasks,
};
use crate::{
    id::{JobId, StepId, TaskId},
    record::{CrashRecord, EndedRecord, JobRecord, Phase},
    spec::{JobSpec, MAX_TASKS, StepSpec},
};

/// Interval at which a job that waits beyond its objective is reported again.
const LATE_REPORT_INTERVAL: Millis = Millis(5_000);

/// Number of failed runs from which a task counts as failing repeatedly. A single failure says more
/// about the runner.
const REPEATED_FAILURES: usize = 2;

/// Maximum number of occurrences of a job that have begun and are not completed. A timetable may be
/// due billions of times at once, and each occurrence takes memory and is written with the job's
/// progress. Those beyond the bound begin as earlier ones complete.
const MAX_BEGUN_OCCURRENCES: u64 = 1_000;

/// Maximum run number that is taken over from a runner or a record. A higher one would leave none
/// for the next starts.
pub(super) const MAX_RUN: u32 = u32::MAX / 2;

#[derive(Clone, Debug)]
pub(super) struct Step {
    pub(super) tasks: Tasks,
    pub(super) done: usize,
    pub(super) waiting: usize,
    pub(super) approvals: Approvals,
    /// Failed runs of the gang that the tasks are.
    pub(super) gang_failures: GangFailures,
    /// The run of the gang that this owner has adopted, whole or in part.
    pub(super) adopted: Option<AdoptedRun>,
    /// Number of the step's tasks on each runner.
    pub(super) tasks_by_runner: FxHashMap<RunnerIx, u32>,
}

impl Step {
    fn new(spec: &StepSpec, now: Millis) -> Self {
        let count = spec.count as usize;
        Self {
            tasks: Tasks::new(&Task::new(now), count),
            done: 0,
            waiting: count,
            approvals: Approvals::default(),
            gang_failures: GangFailures::default(),
            adopted: None,
            tasks_by_runner: FxHashMap::default(),
        }
    }

    /// Returns whether all tasks are done.
    pub(super) fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }

    /// Returns whether all waiting tasks have failed repeatedly.
    pub(super) fn fails_repeatedly(&self) -> bool {
        let mut waiting = self
            .tasks
            .iter()
            .filter(|task| task.state == TaskState::Waiting);
        waiting.all(|task| task.failures.len() >= REPEATED_FAILURES)
    }

    /// Returns how many more tasks of the step may run on the runner.
    pub(super) fn remaining_on(&self, runner_ix: RunnerIx, spec: &StepSpec) -> u32 {
        let there = self.tasks_by_runner.get(&runner_ix).copied().unwrap_or(0);
        let max = spec.max_per_runner.unwrap_or(u32::MAX);
        max.saturating_sub(there)
    }

    /// Sets a task's state and updates the counts of the step.
    pub(super) fn set_state(&mut self, index: usize, state: TaskState, now: Millis) {
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
            *self.tasks_by_runner.entry(runner_ix).or_default() -= 1;
        }
        if let Some(runner_ix) = state.runner() {
            *self.tasks_by_runner.entry(runner_ix).or_default() += 1;
        }
        self.tasks[index].set_state(state, now);
        if state == TaskState::Done {
            self.tasks.merge_done(index);
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    pub(super) number: u32,
    /// Time at which the occurrence began.
    began: Millis,
    pub(super) steps: Vec<Step>,
}

impl Occurrence {
    pub(super) fn new(number: u32, spec: &JobSpec, now: Millis) -> Self {
        let steps = spec.steps.iter().map(|step| Step::new(step, now)).collect();
        Self {
            number,
            began: now,
            steps,
        }
    }

    /// Returns whether all steps are done.
    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    /// Marks every waiting task as possibly still running under a previous owner.
    fn mark_unverified(&mut self) {
        for step in &mut self.steps {
            step.tasks
                .change_all(|task| task.unverified = task.state == TaskState::Waiting);
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) id: JobId,
    pub(super) record: JobRecord,
    /// Memory that the job takes.
    pub(super) size: JobSize,
    pub(super) phase: Phase,
    /// Batch that makes the phase durable.
    pub(super) phase_batch: u64,
    /// Batch that makes the specification durable.
    pub(super) spec_batch: u64,
    pub(super) submitted: Millis,
    /// Team that the job's runs are charged to.
    pub(super) team: Option<TeamIx>,
    pub(super) ended_unix_ms: u64,
    /// Time at which the job ended.
    pub(super) ended_at: Option<Millis>,
    /// Whether only the end of the job is kept.
    pub(super) is_compacted: bool,
    /// Whether any task has started.
    pub(super) started: bool,
    /// Time at which the job was last reported as late.
    pub(super) reported_late_at: Option<Millis>,
    /// Number of completed occurrences.
    pub(super) occurrences_done: u32,
    /// Number of the next occurrence to begin.
    pub(super) next_occurrence: u32,
    pub(super) occurrences: Vec<Occurrence>,
    /// Parts into which the progress is split.
    pub(super) parts: Parts,
}

impl Job {
    /// Creates a job that was submitted at `now`.
    pub(super) fn new(id: JobId, record: JobRecord, now: Millis) -> Self {
        Self {
            id,
            size: JobSize::new(&record.spec),
            record,
            phase: Phase::Active,
            phase_batch: 0,
            spec_batch: 0,
            submitted: now,
            team: None,
            ended_unix_ms: 0,
            ended_at: None,
            is_compacted: false,
            started: false,
            reported_late_at: None,
            occurrences_done: 0,
            next_occurrence: 0,
            occurrences: Vec::new(),
            parts: Parts::default(),
        }
    }

    /// Creates a job that has ended and of which only the end is known.
    pub(super) fn ended(id: JobId, end: EndedRecord, now: Millis) -> Self {
        let record = JobRecord {
            queue: end.queue,
            team: end.team,
            ..JobRecord::default()
        };
        let mut job = Self::new(id, record, now);
        job.phase = end.phase;
        job.ended_unix_ms = end.ended_unix_ms;
        job.is_compacted = true;
        job
    }

    /// Returns the record of the job's end.
    pub(super) fn ended_record(&self) -> EndedRecord {
        EndedRecord {
            queue: self.record.queue.clone(),
            team: self.record.team.clone(),
            phase: self.phase,
            ended_unix_ms: self.ended_unix_ms,
        }
    }

    /// Returns whether no run of the job is known to be alive.
    pub(super) fn has_no_runs(&self) -> bool {
        let steps = self.occurrences.iter().flat_map(|occ| &occ.steps);
        let mut tasks = steps.flat_map(|step| step.tasks.iter());
        tasks.all(|task| task.state.runner().is_none())
    }

    /// Drops everything but the job's end.
    pub(super) fn compact(&mut self) {
        self.record.spec = JobSpec::default();
        self.occurrences = Vec::new();
        self.is_compacted = true;
    }

    /// Begins the occurrences that are due and returns whether there were any. Beyond the first one that is
    /// open, they begin while they fit into `free_bytes` of memory. Unless `all_verified`, a previous owner may
    /// have begun them too, so their tasks are marked as unverified.
    pub(super) fn begin_due_occurrences(
        &mut self,
        now: Millis,
        unix_ms: u64,
        all_verified: bool,
        free_bytes: u64,
    ) -> bool {
        let first = self.next_occurrence;
        let mut free_bytes = free_bytes;
        while self.next_occurrence < self.record.spec.occurrences() && self.may_begin(1) {
            let number = self.next_occurrence;
            let due = self
                .record
                .spec
                .timetable
                .map_or(0, |table| table.due_unix_ms(number));
            if due > unix_ms {
                break;
            }
            // Room for one occurrence was counted at the submission.
            if !self.occurrences.is_empty() {
                let Some(left) = free_bytes.checked_sub(self.size.per_occurrence()) else {
                    break;
                };
                free_bytes = left;
            }
            let mut begun = Occurrence::new(number, &self.record.spec, now);
            if !all_verified {
                begun.mark_unverified();
            }
            self.occurrences.push(begun);
            self.next_occurrence += 1;
        }
        self.next_occurrence > first
    }

    /// Returns whether `count` more occurrences may begin. One may always begin if there is none.
    fn may_begin(&self, count: u64) -> bool {
        let begun = self.occurrences.len() as u64 + count;
        let tasks = begun.saturating_mul(self.record.spec.tasks_per_occurrence());
        begun <= 1 || (begun <= MAX_BEGUN_OCCURRENCES && tasks <= MAX_TASKS)
    }

    /// Begins all occurrences up to one that a runner has reported. A previous owner has begun
    /// them, possibly by a clock ahead of this one, and their runs may be alive. Returns whether
    /// any occurrence began.
    pub(super) fn begin_through(&mut self, occurrence: u32, now: Millis) -> bool {
        let last = self.record.spec.occurrences();
        if self.phase != Phase::Active || occurrence < self.next_occurrence || occurrence >= last {
            return false;
        }
        // No owner has begun more occurrences than that.
        if !self.may_begin(u64::from(occurrence - self.next_occurrence) + 1) {
            return false;
        }
        for number in self.next_occurrence..=occurrence {
            let mut begun = Occurrence::new(number, &self.record.spec, now);
            begun.mark_unverified();
            self.occurrences.push(begun);
        }
        self.next_occurrence = occurrence + 1;
        true
    }

    /// Removes completed occurrences and returns whether the whole job is completed.
    pub(super) fn remove_done_occurrences(&mut self) -> bool {
        while let Some(at) = self.occurrences.iter().position(Occurrence::is_done) {
            if self.record.spec.timetable.is_none() {
                return true;
            }
            self.occurrences.remove(at);
            self.occurrences_done += 1;
        }
        self.occurrences_done == self.record.spec.occurrences()
    }

    /// Returns the time from which the objective of the oldest occurrence counts.
    pub(super) fn oldest_occurrence_began(&self) -> Millis {
        let oldest = self.occurrences.first();
        let timed = oldest.filter(|_| self.record.spec.timetable.is_some());
        timed.map_or(self.submitted, |occurrence| occurrence.began)
    }

    /// Returns a step with its specification.
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

    /// Returns a step with its specification.
    pub(super) fn step_mut(&mut self, id: StepId) -> Option<(&mut Step, &StepSpec)> {
        let mut occurrences = self.occurrences.iter_mut();
        let occurrence = occurrences.find(|occ| occ.number == id.occurrence)?;
        let number = id.step as usize;
        Some((
            occurrence.steps.get_mut(number)?,
            &self.record.spec.steps[number],
        ))
    }

    /// Returns the ids of the steps whose dependencies are completed and that have waiting tasks.
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
                            .all(|&dependency| occ.steps[dependency as usize].is_done())
                });
            ready.map(|(number, _)| StepId {
                job: self.id,
                occurrence: occ.number,
                step: u32::try_from(number).expect("a job has few steps"),
            })
        })
    }

    /// Returns the ids of the steps that wait only for tasks that are running, with the indices of the
    /// steps of these tasks.
    pub(super) fn upcoming_steps(&self) -> impl Iterator<Item = (StepId, Vec<usize>)> + '_ {
        self.occurrences.iter().flat_map(move |occ| {
            let specs = self.record.spec.steps.iter().enumerate();
            specs.filter_map(move |(number, spec)| {
                let open = spec
                    .depends_on
                    .iter()
                    .map(|&dependency| dependency as usize);
                let open: Vec<usize> = open.filter(|&on| !occ.steps[on].is_done()).collect();
                let is_upcoming = !open.is_empty()
                    && occ.steps[number].waiting > 0
                    && open.iter().all(|&on| occ.steps[on].waiting == 0);
                let id = StepId {
                    job: self.id,
                    occurrence: occ.number,
                    step: u32::try_from(number).ok()?,
                };
                is_upcoming.then_some((id, open))
            })
        })
    }

    /// Returns the tasks of all occurrences that have begun, with their ids.
    pub(super) fn tasks(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        self.occurrences.iter().flat_map(move |occ| {
            (0..).zip(&occ.steps).flat_map(move |(number, step)| {
                let id = StepId {
                    job: self.id,
                    occurrence: occ.number,
                    step: number,
                };
                let tasks = (0..).zip(step.tasks.iter());
                tasks.map(move |(index, task)| (id.task(index), task))
            })
        })
    }

    /// Returns whether the job is to be reported if it is late.
    pub(super) fn is_late_report_due(&self, now: Millis) -> bool {
        let latest = self.reported_late_at;
        latest.is_none_or(|latest| now >= latest + LATE_REPORT_INTERVAL)
    }

    /// Marks the tasks as verified for which `is_verified` holds.
    pub(super) fn verify_tasks(&mut self, is_verified: impl Fn(TaskId) -> bool) {
        let job = self.id;
        for occ in &mut self.occurrences {
            for (number, step) in (0..).zip(&mut occ.steps) {
                let id = StepId {
                    job,
                    occurrence: occ.number,
                    step: number,
                };
                step.tasks.verify(|index| {
                    let index = u32::try_from(index).unwrap_or(u32::MAX);
                    is_verified(id.task(index))
                });
            }
        }
    }

    /// Marks the unverified tasks that may have started as ones that may have been on a runner that
    /// crashed. Returns whether there were any.
    pub(super) fn mark_unaccounted(&mut self) -> bool {
        let ready: Vec<StepId> = self.ready_steps().collect();
        let mut is_changed = false;
        for id in ready {
            let Some((step, _)) = self.step_mut(id) else {
                continue;
            };
            step.tasks.change_all(|task| {
                is_changed |= task.unverified && !task.unaccounted;
                task.unaccounted |= task.unverified;
            });
        }
        is_changed
    }

    /// Removes the crash records of an incarnation. Returns whether there were any.
    pub(super) fn forget_crashes_of(&mut self, incarnation: u64) -> bool {
        self.remove_crash_records(|record| record.incarnation == incarnation)
    }

    /// Removes those that are not certain. Returns whether there were any.
    pub(super) fn forget_possible_crashes_of(&mut self, incarnation: u64) -> bool {
        self.remove_crash_records(|record| record.incarnation == incarnation && !record.is_certain)
    }

    fn remove_crash_records(&mut self, matches: impl Fn(&CrashRecord) -> bool) -> bool {
        let steps = self.occurrences.iter_mut().flat_map(|occ| &mut occ.steps);
        let mut is_changed = false;
        for step in steps {
            step.tasks
                .change_all(|task| is_changed |= task.crashes.remove(&matches));
        }
        is_changed
    }

    /// Marks every waiting task as possibly still running under a previous owner.
    pub(super) fn mark_unverified(&mut self) {
        self.occurrences
            .iter_mut()
            .for_each(Occurrence::mark_unverified);
    }
}
