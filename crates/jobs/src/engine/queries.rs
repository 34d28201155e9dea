//! Queries for callers and operators.

use kspan_model::{Name, Resources};

use super::{Engine, Runner, RunnerIx, task::TaskState};
use crate::{
    id::{JobId, TaskId},
    record::Phase,
    runner::RunnerEntry,
    team::Access,
};

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks completed.
    Completed,
    /// A task reached its maximum number of failed runs.
    Failed,
    /// The job was cancelled.
    Cancelled,
    /// The specification is not durable yet.
    Pending,
}

/// Totals for metrics and the state dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Number of active jobs.
    pub active_jobs: usize,
    /// Number of jobs in memory, ended ones included.
    pub known_jobs: usize,
    /// Memory that active jobs may take in all, in bytes, as estimated for all their tasks.
    pub job_bytes: u64,
    /// Number of runners that have answered and have not ended, draining ones included.
    pub runners: usize,
    /// Total resources of those runners.
    pub capacity: Resources,
    /// Reserved resources of those runners.
    pub used: Resources,
    /// Largest number of free accelerators on one of those runners.
    pub largest_free_accelerators: u64,
    /// Number of running tasks.
    pub running: usize,
    /// Number of waiting tasks in occurrences that have begun.
    pub waiting: usize,
}

impl Engine {
    /// Returns whether runs of a previous owner may exist that are not known yet.
    pub fn has_unverified_runs(&self) -> bool {
        self.unverified_until.is_some()
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.config.version
    }

    /// Returns whether a runner has refused the owner's fencing token.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns the queue that serves the path, and the job id that the path names; `None` if no
    /// queue serves it.
    pub fn find_queue(&self, host: &str, path: &str) -> Option<(Name, Option<JobId>)> {
        let (queue, rest) = self.config.find(host, path)?;
        Some((queue.name.clone(), rest.parse().ok()))
    }

    /// Checks the key of a call to a path; `None` if no queue serves the path.
    pub fn access(&self, host: &str, path: &str, key: Option<&str>) -> Option<Access> {
        let (queue, _) = self.config.find(host, path)?;
        Some(self.config.access(queue, key))
    }

    /// Returns whether calls to the path have to carry a key.
    pub fn needs_key(&self, host: &str, path: &str) -> bool {
        let queue = self.config.find(host, path);
        self.config.teams.is_some() && queue.is_some_and(|(queue, _)| !queue.is_public)
    }

    /// Returns the team that submitted a job; `None` if the job is unknown or has no team.
    pub fn team_of(&self, id: JobId) -> Option<&Name> {
        self.jobs.get(&id)?.record.team.as_ref()
    }

    /// Returns the state of a job. An end is reported only once it is durable.
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        let job = self.jobs.get(&id)?;
        if job.spec_batch > self.batches.durable() {
            return Some(JobState::Pending);
        }
        let is_end_durable = job.phase_batch <= self.batches.durable();
        Some(match job.phase {
            Phase::Completed if is_end_durable => JobState::Completed,
            Phase::Failed if is_end_durable => JobState::Failed,
            Phase::Cancelled if is_end_durable => JobState::Cancelled,
            _ if job.started => JobState::Running,
            _ => JobState::Queued,
        })
    }

    /// Returns the batch that makes a job durable; `None` if there is no such job.
    pub fn spec_batch(&self, id: JobId) -> Option<u64> {
        self.jobs.get(&id).map(|job| job.spec_batch)
    }

    /// Returns the number of accepted jobs of a queue that have no started task.
    pub fn queued_jobs(&self, queue: &Name) -> usize {
        let jobs = self.active.iter().filter_map(|id| self.jobs.get(id));
        let waiting = jobs.filter(|job| job.record.queue == *queue && !job.started);
        waiting
            .filter(|job| job.spec_batch <= self.batches.durable())
            .count()
    }

    /// Returns a runner's entry in the host list.
    ///
    /// # Panics
    ///
    /// Panics if the engine did not issue the index.
    pub fn runner(&self, runner_ix: RunnerIx) -> &RunnerEntry {
        &self.runners[runner_ix.0].entry
    }

    /// Returns whether the runner's incarnation is known to have ended.
    pub fn is_dead(&self, runner_ix: RunnerIx) -> bool {
        self.runners[runner_ix.0].dead
    }

    /// Returns the runners that are not known to have ended.
    pub fn live_runners(&self) -> impl Iterator<Item = RunnerIx> + '_ {
        let live = self
            .runners
            .iter()
            .enumerate()
            .filter(|(_, runner)| !runner.dead);
        live.map(|(ix, _)| RunnerIx(ix))
    }

    /// Returns the resources reserved on a runner.
    pub fn used(&self, runner_ix: RunnerIx) -> Resources {
        self.runners[runner_ix.0].used
    }

    /// Returns the runner that may have the task.
    pub fn runner_of(&self, task: TaskId) -> Option<RunnerIx> {
        let (step, _) = self.jobs.get(&task.step.job)?.step(task.step)?;
        step.tasks.get(task.index as usize)?.state.runner()
    }

    /// Returns totals over all jobs and runners.
    pub fn totals(&self) -> Totals {
        let mut totals = Totals {
            active_jobs: self.active.len(),
            known_jobs: self.jobs.len(),
            job_bytes: self.job_bytes,
            ..Totals::default()
        };
        let answering = |runner: &&Runner| runner.has_answered && !runner.dead;
        for runner in self.runners.iter().filter(answering) {
            totals.runners += 1;
            totals.capacity = totals.capacity.saturating_add(runner.entry.capacity);
            totals.used = totals.used.saturating_add(runner.used);
            let free = runner.free().accelerators;
            totals.largest_free_accelerators = totals.largest_free_accelerators.max(free);
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
