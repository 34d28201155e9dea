//! Invariants of the cell, checked against what runners and callers observe.

use std::collections::{BTreeMap, BTreeSet};

use kspan_jobs::{
    engine::JobState,
    id::{JobId, StepId, TaskId},
    runner::{EndKind, EndedTask, Inventory},
    spec::{JobSpec, StepSpec},
};
use kspan_model::{Name, Resources};

use super::runner::FakeRunner;

/// Time in milliseconds after the acknowledgement of a cancellation within which a task of the job
/// may still start.
const MAX_START_AFTER_CANCEL_MS: u64 = 3_000;

/// Time in milliseconds after a change of a runner's capacity for which owners may not know it.
const MAX_CAPACITY_LAG_MS: u64 = 200;

/// Longest time in milliseconds for which an order is under way.
const MAX_ORDER_DELAY_MS: u64 = 13_000;

/// Number of crashes after which the starts of a task that crashes its runners are limited.
const MAX_CRASHES: u32 = 3;

/// Number of crashes under a task from which on it may be given up, whatever caused them.
const MIN_CRASHES_TO_GIVE_UP: u32 = 2;

/// Number of such starts from which on there are too many.
const MAX_STARTS_AFTER_CRASHES: u32 = 3;

/// Incarnation of a runner, and the number of a run that completed there.
type CompletedRun = (Name, u32);

/// Failed runs of tasks: step, run number, index of the task, and incarnation of the runner.
#[derive(Default)]
struct FailedRuns(BTreeSet<(StepId, u32, u32, Name)>);

impl FailedRuns {
    fn record(&mut self, task: TaskId, run: u32, incarnation: &Name) {
        self.0
            .insert((task.step, run, task.index, incarnation.clone()));
    }

    fn of_step(&self, step: StepId) -> impl Iterator<Item = (u32, u32)> {
        let of_step = self.0.iter().filter(move |failed| failed.0 == step);
        of_step.map(|(_, run, index, _)| (*run, *index))
    }

    /// Returns the number of failed attempts of a task, or of the gang that it belongs to. A run of a gang
    /// is one attempt; members that failed twice with one run number show that two runs had it.
    fn attempts(&self, task: TaskId, is_gang: bool) -> u32 {
        let mut by_task: BTreeMap<(u32, u32), u32> = BTreeMap::new();
        let of_step = self.of_step(task.step);
        for key in of_step.filter(|(_, index)| is_gang || *index == task.index) {
            *by_task.entry(key).or_default() += 1;
        }
        let mut by_run: BTreeMap<u32, u32> = BTreeMap::new();
        for ((run, _), count) in by_task {
            let most = by_run.entry(run).or_default();
            *most = count.max(*most);
        }
        by_run.values().sum()
    }

    /// Returns the largest number of failed attempts of a task or gang of a job.
    fn max_attempts(&self, job: JobId, spec: &JobSpec) -> u32 {
        let of_job = self.0.iter().filter(|failed| failed.0.job == job);
        let attempts = of_job.map(|(step, _, index, _)| {
            let is_gang = spec.steps[step.step as usize].gang;
            self.attempts(step.task(*index), is_gang)
        });
        attempts.max().unwrap_or(0)
    }
}

/// A start as observed by a runner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObservedStart {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    pub(crate) runner_ix: usize,
    pub(crate) now: u64,
    pub(crate) fence: u64,
    /// Whether the order was delivered late.
    pub(crate) late: bool,
}

/// Invariant checks of one schedule and the violations found.
#[derive(Default)]
pub(crate) struct Checks {
    pub(crate) violations: Vec<String>,
    /// Jobs whose submission was acknowledged.
    pub(crate) accepted: BTreeSet<JobId>,
    pub(crate) cancel_sent: BTreeSet<JobId>,
    /// Latest fencing token.
    pub(crate) fence: u64,
    /// Number of observed starts, which exposes schedules in which nothing happens.
    pub(crate) starts: u64,
    specs: BTreeMap<JobId, JobSpec>,
    cancelled: BTreeMap<JobId, u64>,
    done: BTreeSet<TaskId>,
    done_acknowledged: BTreeSet<TaskId>,
    /// Completed runs by task, and those after whose completion the task was started again.
    completed_runs: BTreeMap<TaskId, Vec<CompletedRun>>,
    restarted_despite: BTreeSet<(TaskId, CompletedRun)>,
    /// Tasks whose completion a runner has listed while nothing disturbed it.
    done_listed: BTreeSet<TaskId>,
    /// Ends that an owner has been given: number of the runner, its incarnation, and number of the end.
    seen_ends: BTreeSet<(usize, u64, u64)>,
    failed_acknowledged: FailedRuns,
    failed: FailedRuns,
    crashes: BTreeMap<TaskId, u32>,
    /// Crashes of runners, whatever caused them, by the tasks that were running there.
    crashes_under: BTreeMap<TaskId, u32>,
    starts_after_crashes: BTreeMap<TaskId, u32>,
}

impl Checks {
    pub(crate) fn report(&mut self, text: String) {
        self.violations.push(text);
    }

    pub(crate) fn record_submission(&mut self, job: JobId, spec: &JobSpec) {
        self.specs.insert(job, spec.clone());
    }

    pub(crate) fn record_cancellation(&mut self, job: JobId, now: u64) {
        self.cancelled.entry(job).or_insert(now);
    }

    pub(crate) fn step_spec(&self, step: StepId) -> &StepSpec {
        &self.specs[&step.job].steps[step.step as usize]
    }

    fn size_of(&self, task: TaskId) -> Resources {
        self.step_spec(task.step).charged_resources()
    }

    /// Checks a run that started on a runner.
    pub(crate) fn record_start(&mut self, observed: ObservedStart, runners: &[FakeRunner]) {
        let ObservedStart {
            task,
            run,
            runner_ix,
            now,
            fence,
            late,
        } = observed;
        self.starts += 1;
        let Some(spec) = self.specs.get(&task.step.job).cloned() else {
            return self.report(format!("{now}: {task} started without a submitted job"));
        };
        let used = runners[runner_ix]
            .running
            .keys()
            .map(|task| self.size_of(*task));
        let used = used.fold(Resources::ZERO, Resources::saturating_add);
        let lag = if late {
            MAX_ORDER_DELAY_MS
        } else {
            MAX_CAPACITY_LAG_MS
        };
        let changed_at = runners[runner_ix].capacity_changed_at;
        let is_capacity_known = changed_at.is_none_or(|at| now > at + lag);
        if !used.fits_in(runners[runner_ix].capacity) && is_capacity_known {
            self.report(format!(
                "{now}: overcommit: {task} run {run} on {runner_ix} brings reserved resources to {used}"
            ));
        }
        let elsewhere = runners.iter().enumerate().filter(|(at, runner)| {
            *at != runner_ix && runner.is_up && runner.running.contains_key(&task)
        });
        if elsewhere.count() > 0 {
            self.report(format!(
                "{now}: concurrent runs: {task} run {run} on {runner_ix}, fence {fence}"
            ));
        }
        if self.done_acknowledged.contains(&task) {
            self.report(format!(
                "{now}: rerun after completion: {task} run {run} on {runner_ix}"
            ));
        }
        if self.done_listed.contains(&task) {
            self.report(format!(
                "{now}: rerun after listing: {task} run {run} on {runner_ix}"
            ));
        }
        let completed_runs = self.completed_runs.get(&task).into_iter().flatten();
        self.restarted_despite
            .extend(completed_runs.map(|run| (task, run.clone())));
        let step = &spec.steps[task.step.step as usize];
        for &before in &step.depends_on {
            let count = spec.steps[before as usize].count;
            let gang = spec.steps[before as usize].gang;
            let task_id = |index| {
                kspan_jobs::id::StepId {
                    step: before,
                    ..task.step
                }
                .task(index)
            };
            let done = (0..count)
                .filter(|index| self.done.contains(&task_id(*index)))
                .count();
            if done < count as usize && !(gang && done > 0) {
                self.report(format!(
                    "{now}: dependency: {task} started before step {before} was completed"
                ));
            }
        }
        if self.failed_acknowledged.attempts(task, step.gang) >= super::MAX_ATTEMPTS {
            self.report(format!(
                "{now}: attempt limit: {task} run {run} after the limit of failures"
            ));
        }
        self.check_crash_limit(&observed);
        let cancelled = self.cancelled.get(&task.step.job);
        // The owner cannot prevent the late delivery of an order that it has already sent.
        if !late && cancelled.is_some_and(|&at| now > at + MAX_START_AFTER_CANCEL_MS) {
            self.report(format!(
                "{now}: cancellation: {task} run {run} on {runner_ix}"
            ));
        }
    }

    /// Records a crash of a runner by one of its tasks.
    pub(crate) fn record_crash(&mut self, task: TaskId) {
        *self.crashes.entry(task).or_default() += 1;
    }

    /// Records that a runner crashed on which a task was running.
    pub(crate) fn record_crash_under(&mut self, task: TaskId) {
        *self.crashes_under.entry(task).or_default() += 1;
    }

    /// Returns whether a job may be given up for the crashes of runners on which one of its tasks was running.
    fn may_be_given_up(&self, job: JobId) -> bool {
        let mut of_job = self
            .crashes_under
            .iter()
            .filter(|(task, _)| task.step.job == job);
        of_job.any(|(_, crashes)| *crashes >= MIN_CRASHES_TO_GIVE_UP)
    }

    /// Checks a start of a task that may have crashed several runners. An owner can't prevent the late
    /// delivery of an order that it has already sent.
    fn check_crash_limit(&mut self, observed: &ObservedStart) {
        let ObservedStart {
            task,
            run,
            now,
            late,
            ..
        } = *observed;
        let crashes = self.crashes.get(&task).copied().unwrap_or(0);
        if crashes < MAX_CRASHES || late {
            return;
        }
        let starts = self.starts_after_crashes.entry(task).or_default();
        *starts += 1;
        if *starts >= MAX_STARTS_AFTER_CRASHES {
            self.report(format!(
                "{now}: crash limit: {task} run {run} after {crashes} crashes"
            ));
        }
    }

    /// Records a run that completed or failed.
    pub(crate) fn record_end(&mut self, incarnation: &Name, task: TaskId, run: u32, how: EndKind) {
        match how {
            EndKind::Done => {
                self.done.insert(task);
                self.completed_runs
                    .entry(task)
                    .or_default()
                    .push((incarnation.clone(), run));
            }
            EndKind::Failed => self.failed.record(task, run, incarnation),
            _ => {}
        }
    }

    /// Records the acknowledgement of an end. An end reported after the runner's lease had expired
    /// proves nothing, because the owner had to consider the run lost.
    pub(crate) fn record_ack(&mut self, incarnation: &Name, end: &EndedTask, lease_expired: bool) {
        match end.how {
            EndKind::Done if lease_expired => {}
            EndKind::Done => {
                self.done_acknowledged.insert(end.task);
                if self
                    .restarted_despite
                    .contains(&(end.task, (incarnation.clone(), end.run)))
                {
                    self.report(format!(
                        "rerun after completion, acknowledged later: {}",
                        end.task
                    ));
                }
            }
            EndKind::Failed => {
                self.failed_acknowledged
                    .record(end.task, end.run, incarnation);
            }
            _ => {}
        }
    }

    /// Records that a runner has listed a completion, and that nothing disturbed it.
    pub(crate) fn record_listing(&mut self, incarnation: &Name, task: TaskId, run: u32) {
        let is_new = self.done_listed.insert(task);
        let completed_run = (incarnation.clone(), run);
        if is_new && self.restarted_despite.contains(&(task, completed_run)) {
            self.report(format!(
                "rerun after listing, listed later: {task} run {run}"
            ));
        }
    }

    /// Records that an owner has been given the ends in an inventory.
    pub(crate) fn record_seen_ends(&mut self, number: usize, inventory: &Inventory) {
        let incarnation = inventory.started_unix_ms;
        let seen = inventory.ended.iter();
        self.seen_ends
            .extend(seen.map(|end| (number, incarnation, end.number)));
    }

    /// Checks that an end which is acknowledged has been given to an owner.
    pub(crate) fn check_is_seen(&mut self, number: usize, incarnation: u64, end: &EndedTask) {
        if !self.seen_ends.contains(&(number, incarnation, end.number)) {
            let (task, run, how) = (end.task, end.run, end.how);
            self.report(format!(
                "unseen end acknowledged: {task} run {run}, {how:?}, on {number}"
            ));
        }
    }

    /// Checks the reported state of a job at the end of the schedule.
    pub(crate) fn check_job_state(
        &mut self,
        job: JobId,
        state: Option<JobState>,
        max_attempts: u32,
    ) {
        let spec = self.specs[&job].clone();
        let cancel_sent = self.cancel_sent.contains(&job);
        match state {
            None => self.report(format!("lost job: {job} was accepted and is unknown")),
            Some(JobState::Completed) => {
                for (step, step_spec) in (0..).zip(&spec.steps) {
                    let id = kspan_jobs::id::StepId {
                        job,
                        occurrence: 0,
                        step,
                    };
                    let done =
                        (0..step_spec.count).filter(|index| self.done.contains(&id.task(*index)));
                    let done = done.count();
                    if done < step_spec.count as usize && !(step_spec.gang && done > 0) {
                        self.report(format!("wrong state: {job} is reported as completed"));
                    }
                }
            }
            Some(JobState::Failed) => {
                let max_failures = self.failed.max_attempts(job, &spec);
                let has_crashed = self.crashes.keys().any(|task| task.step.job == job);
                if has_crashed || self.may_be_given_up(job) {
                    return;
                }
                if max_failures < max_attempts {
                    self.report(format!(
                        "wrong state: {job} is reported as failed after {max_failures} failures"
                    ));
                }
            }
            Some(JobState::Cancelled) if cancel_sent => {}
            Some(JobState::Cancelled) => {
                self.report(format!("wrong state: {job} is reported as cancelled"))
            }
            Some(state) => self.report(format!(
                "unfinished: {job} is {state:?} at the end of the schedule"
            )),
        }
    }
}
