//! What callers and operators may ask.

use kspan_model::{Name, Resources};

use super::{Engine, Runner, RunnerIx, job::TaskState};
use crate::{
    id::{JobId, TaskId},
    record::Phase,
    runner::RunnerEntry,
};

/// State of a job as a caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// It is being accepted.
    Pending,
}

/// Sums for metrics and the state dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Jobs that have work left.
    pub active_jobs: usize,
    /// Jobs that are remembered.
    pub known_jobs: usize,
    /// Runners that answer and take work or drain.
    pub runners: usize,
    /// Room of those runners.
    pub capacity: Resources,
    /// Room that is taken.
    pub used: Resources,
    /// Tasks that a runner has.
    pub running: usize,
    /// Tasks of begun steps that wait.
    pub waiting: usize,
}

impl Engine {
    /// Returns the version of the configuration in force; 0 before the first.
    pub fn config_version(&self) -> u64 {
        self.config.version
    }

    /// Returns whether a runner refused the owner's fence.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns whether a queue takes the path, and the job that it names.
    pub fn find_queue(&self, host: &str, path: &str) -> Option<(Name, Option<JobId>)> {
        let (queue, rest) = self.config.find(host, path)?;
        Some((queue.name.clone(), rest.parse().ok()))
    }

    /// Returns the state of a job: only what is durable is shown as an end.
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        let job = self.jobs.get(&id)?;
        if job.spec_batch > self.batches.durable() {
            return Some(JobState::Pending);
        }
        let shown = job.phase_batch <= self.batches.durable();
        Some(match job.phase {
            Phase::Completed if shown => JobState::Completed,
            Phase::Failed if shown => JobState::Failed,
            Phase::Cancelled if shown => JobState::Cancelled,
            _ if job.started => JobState::Running,
            _ => JobState::Queued,
        })
    }

    /// Returns the batch that makes a job durable; `None` where there is no such job.
    pub fn spec_batch(&self, id: JobId) -> Option<u64> {
        self.jobs.get(&id).map(|job| job.spec_batch)
    }

    /// Returns how many jobs of a queue were accepted and have no task started.
    pub fn pending_jobs(&self, queue: &Name) -> usize {
        let jobs = self.active.iter().filter_map(|id| self.jobs.get(id));
        let waiting = jobs.filter(|job| job.record.queue == *queue && !job.started);
        waiting
            .filter(|job| job.spec_batch <= self.batches.durable())
            .count()
    }

    /// Returns a runner's entry.
    ///
    /// # Panics
    ///
    /// Panics for an index that the engine did not give out.
    pub fn runner(&self, runner_ix: RunnerIx) -> &RunnerEntry {
        &self.runners[runner_ix.0].entry
    }

    /// Returns whether the runner's life has ended for certain.
    pub fn is_dead(&self, runner_ix: RunnerIx) -> bool {
        self.runners[runner_ix.0].dead
    }

    /// Returns every runner that is not known to be dead.
    pub fn live_runners(&self) -> impl Iterator<Item = RunnerIx> + '_ {
        let living = self
            .runners
            .iter()
            .enumerate()
            .filter(|(_, runner)| !runner.dead);
        living.map(|(ix, _)| RunnerIx(ix))
    }

    /// Returns the room taken on a runner, as the engine counts it.
    pub fn used(&self, runner_ix: RunnerIx) -> Resources {
        self.runners[runner_ix.0].used
    }

    /// Returns the runner that may have the task.
    pub fn runner_of(&self, task: TaskId) -> Option<RunnerIx> {
        let (step, _) = self.jobs.get(&task.step.job)?.step(task.step)?;
        step.tasks.get(task.index as usize)?.state.runner()
    }

    /// Returns sums over everything.
    pub fn totals(&self) -> Totals {
        let mut totals = Totals {
            active_jobs: self.active.len(),
            known_jobs: self.jobs.len(),
            ..Totals::default()
        };
        let answering = |runner: &&Runner| runner.held && !runner.dead;
        for runner in self.runners.iter().filter(answering) {
            totals.runners += 1;
            totals.capacity = totals.capacity.saturating_add(runner.entry.capacity);
            totals.used = totals.used.saturating_add(runner.used);
        }
        let jobs = self.active.iter().filter_map(|id| self.jobs.get(id));
        for step in jobs
            .flat_map(|job| &job.occurrences)
            .flat_map(|occ| &occ.steps)
        {
            totals.waiting += step.waiting;
            let running = |state: &TaskState| matches!(state, TaskState::Running(_));
            totals.running += step
                .tasks
                .iter()
                .filter(|task| running(&task.state))
                .count();
        }
        totals
    }
}
