//! What must hold, judged from what runners and callers see.

use std::collections::{BTreeMap, BTreeSet};

use kspan_jobs::{
    engine::JobState,
    id::{JobId, TaskId},
    runner::{EndKind, EndedTask},
    spec::JobSpec,
};
use kspan_model::{Name, Resources};

use super::runner::FakeRunner;

/// Time after a cancellation's answer within which a task may still start.
const CANCEL_MS: u64 = 3_000;

/// Life of a runner, and the number of a run there that was done.
type DoneRun = (Name, u32);

/// A start as a runner saw it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartSeen {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    pub(crate) runner_ix: usize,
    pub(crate) now: u64,
    pub(crate) fence: u64,
    /// Whether the order was on its way for long.
    pub(crate) late: bool,
}

/// Findings of one schedule.
#[derive(Default)]
pub(crate) struct Checks {
    pub(crate) violations: Vec<String>,
    /// Jobs whose callers were told that they are accepted.
    pub(crate) accepted: BTreeSet<JobId>,
    pub(crate) cancel_sent: BTreeSet<JobId>,
    /// Newest fence.
    pub(crate) fence: u64,
    /// Starts that were seen, so that a schedule in which nothing happens is noticed.
    pub(crate) starts: u64,
    specs: BTreeMap<JobId, JobSpec>,
    cancelled: BTreeMap<JobId, u64>,
    done: BTreeSet<TaskId>,
    done_acknowledged: BTreeSet<TaskId>,
    /// Runs that were done, by task, and those after which the task was started again.
    done_runs: BTreeMap<TaskId, Vec<DoneRun>>,
    restarted_after: BTreeSet<(TaskId, DoneRun)>,
    failed_acknowledged: BTreeMap<TaskId, u32>,
    failed: BTreeMap<TaskId, u32>,
}

impl Checks {
    fn violate(&mut self, text: String) {
        self.violations.push(text);
    }

    pub(crate) fn submitted(&mut self, job: JobId, spec: &JobSpec) {
        self.specs.insert(job, spec.clone());
    }

    pub(crate) fn cancelled(&mut self, job: JobId, now: u64) {
        self.cancelled.entry(job).or_insert(now);
    }

    fn size_of(&self, task: TaskId) -> Resources {
        self.specs[&task.step.job].steps[task.step.step as usize].charged_resources()
    }

    /// A run began on a runner.
    pub(crate) fn started(&mut self, seen: StartSeen, runners: &[FakeRunner]) {
        let StartSeen {
            task,
            run,
            runner_ix,
            now,
            fence,
            late,
        } = seen;
        self.starts += 1;
        let Some(spec) = self.specs.get(&task.step.job).cloned() else {
            return self.violate(format!("{now}: {task} of no job was started"));
        };
        let used = runners[runner_ix]
            .running
            .keys()
            .map(|task| self.size_of(*task));
        let used = used.fold(Resources::ZERO, Resources::saturating_add);
        if !used.fits_in(runners[runner_ix].capacity) {
            self.violate(format!(
                "{now}: room: {task} run {run} on {runner_ix} commits {used}"
            ));
        }
        let elsewhere = runners.iter().enumerate().filter(|(at, runner)| {
            *at != runner_ix && runner.up && runner.running.contains_key(&task)
        });
        if elsewhere.count() > 0 {
            self.violate(format!(
                "{now}: two places: {task} run {run} on {runner_ix}, fence {fence}"
            ));
        }
        if self.done_acknowledged.contains(&task) {
            self.violate(format!(
                "{now}: again after done: {task} run {run} on {runner_ix}"
            ));
        }
        let done_runs = self.done_runs.get(&task).into_iter().flatten();
        self.restarted_after
            .extend(done_runs.map(|run| (task, run.clone())));
        let step = &spec.steps[task.step.step as usize];
        for &before in &step.depends_on {
            let count = spec.steps[before as usize].count;
            let gang = spec.steps[before as usize].gang;
            let of = |index| {
                kspan_jobs::id::StepId {
                    step: before,
                    ..task.step
                }
                .task(index)
            };
            let done = (0..count)
                .filter(|index| self.done.contains(&of(*index)))
                .count();
            if done < count as usize && !(gang && done > 0) {
                self.violate(format!(
                    "{now}: order: {task} before step {before} was done"
                ));
            }
        }
        if self
            .failed_acknowledged
            .get(&task)
            .is_some_and(|&times| times >= super::MAX_ATTEMPTS)
        {
            self.violate(format!("{now}: attempts: {task} run {run}"));
        }
        let cancelled = self.cancelled.get(&task.step.job);
        // An order that a runner carries out seconds late is nobody's fault.
        if !late && cancelled.is_some_and(|&at| now > at + CANCEL_MS) {
            self.violate(format!("{now}: cancelled: {task} run {run} on {runner_ix}"));
        }
    }

    /// A run ended by itself.
    pub(crate) fn ended(&mut self, life: &Name, task: TaskId, run: u32, how: EndKind) {
        match how {
            EndKind::Done => {
                self.done.insert(task);
                self.done_runs
                    .entry(task)
                    .or_default()
                    .push((life.clone(), run));
            }
            EndKind::Failed => *self.failed.entry(task).or_default() += 1,
            _ => {}
        }
    }

    /// An end was acknowledged. One that lay on the runner while its lease had lapsed is no proof
    /// to anyone: the owner had to take the run for lost.
    pub(crate) fn acknowledged(&mut self, life: &Name, end: &EndedTask, lapsed: bool) {
        match end.how {
            EndKind::Done if lapsed => {}
            EndKind::Done => {
                self.done_acknowledged.insert(end.task);
                if self
                    .restarted_after
                    .contains(&(end.task, (life.clone(), end.run)))
                {
                    self.violate(format!(
                        "again after done, acknowledged later: {}",
                        end.task
                    ));
                }
            }
            EndKind::Failed => *self.failed_acknowledged.entry(end.task).or_default() += 1,
            _ => {}
        }
    }

    /// A job's state after everything has settled.
    pub(crate) fn judge_state(&mut self, job: JobId, state: Option<JobState>, max_attempts: u32) {
        let spec = self.specs[&job].clone();
        let cancel_sent = self.cancel_sent.contains(&job);
        match state {
            None => self.violate(format!("lost: {job} was accepted and is not known")),
            Some(JobState::Completed) => {
                for (step, wanted) in (0..).zip(&spec.steps) {
                    let id = kspan_jobs::id::StepId {
                        job,
                        occurrence: 0,
                        step,
                    };
                    let done =
                        (0..wanted.count).filter(|index| self.done.contains(&id.task(*index)));
                    let done = done.count();
                    if done < wanted.count as usize && !(wanted.gang && done > 0) {
                        self.violate(format!("untrue: {job} is shown as completed"));
                    }
                }
            }
            Some(JobState::Failed) => {
                let of_job = self.failed.iter().filter(|(task, _)| task.step.job == job);
                let mut by_step: BTreeMap<u32, u32> = BTreeMap::new();
                let mut most = 0;
                for (task, times) in of_job {
                    *by_step.entry(task.step.step).or_default() += times;
                    most = most.max(*times);
                }
                let gang = |step: &u32| spec.steps[*step as usize].gang;
                let most_gang = by_step
                    .iter()
                    .filter(|(step, _)| gang(step))
                    .map(|(_, times)| *times);
                if most.max(most_gang.max().unwrap_or(0)) < max_attempts {
                    self.violate(format!(
                        "untrue: {job} is shown as failed after {most} failures"
                    ));
                }
            }
            Some(JobState::Cancelled) if cancel_sent => {}
            Some(JobState::Cancelled) => {
                self.violate(format!("untrue: {job} is shown as cancelled"))
            }
            Some(state) => self.violate(format!(
                "stuck: {job} is {state:?} after everything has settled"
            )),
        }
    }
}
