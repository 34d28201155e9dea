//! Why a job is where it is, for operators.

use kspan_model::Millis;
use serde::Serialize;

use super::{
    Engine, RunnerIx,
    job::{Job, Occurrence, Step, TaskState},
};
use crate::{id::JobId, record::Phase, spec::StepSpec};

/// Where a job stands, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Id of the job.
    pub job: String,
    /// Queue that it was submitted to.
    pub queue: String,
    /// Where it stands as a whole.
    pub phase: &'static str,
    /// Whether its caller may have been told so.
    pub durable: bool,
    /// Milliseconds since it was submitted.
    pub age_ms: u64,
    /// Steps that have tasks left.
    pub steps: Vec<StepExplanation>,
}

/// Where a step stands, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StepExplanation {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: usize,
    /// Tasks that wait.
    pub waiting: usize,
    /// Tasks that a runner has or was ordered to start.
    pub running: usize,
    /// Tasks that were ordered to stop and may still run.
    pub stopping: usize,
    /// Tasks that are done.
    pub done: usize,
    /// Runs that failed.
    pub failures: usize,
    /// Why tasks wait; empty where none does.
    pub why: &'static str,
    /// Runners that have tasks of the step.
    pub runners: Vec<String>,
}

impl Engine {
    /// Explains a job; `None` where there is none.
    pub fn explain(&self, id: JobId, now: Millis) -> Option<Explanation> {
        let job = self.jobs.get(&id)?;
        let phase = match job.phase {
            Phase::Active => "active",
            Phase::Completed => "completed",
            Phase::Failed => "failed",
            Phase::Cancelled => "cancelled",
        };
        let steps = job.occurrences.iter().flat_map(|occ| {
            let open = occ
                .steps
                .iter()
                .enumerate()
                .filter(|(_, step)| !step.is_done());
            open.map(|(number, step)| self.explain_step(job, occ, number, step, now))
        });
        Some(Explanation {
            job: id.to_string(),
            queue: job.record.queue.to_string(),
            phase,
            durable: job.spec_batch.max(job.phase_batch) <= self.batches.durable(),
            age_ms: now.saturating_sub(job.submitted).0,
            steps: steps.collect(),
        })
    }

    fn explain_step(
        &self,
        job: &Job,
        occurrence: &Occurrence,
        number: usize,
        step: &Step,
        now: Millis,
    ) -> StepExplanation {
        let count = |wanted: fn(TaskState) -> bool| {
            step.tasks.iter().filter(|task| wanted(task.state)).count()
        };
        let mut runners: Vec<RunnerIx> = step
            .tasks
            .iter()
            .filter_map(|task| task.state.runner())
            .collect();
        runners.sort_unstable();
        runners.dedup();
        StepExplanation {
            occurrence: occurrence.number,
            step: number,
            waiting: step.waiting,
            running: count(|state| matches!(state, TaskState::Starting(_) | TaskState::Running(_))),
            stopping: count(|state| matches!(state, TaskState::Stopping(_))),
            done: step.done,
            failures: step.tasks.iter().map(|task| task.failures.len()).sum(),
            why: self.why_waiting(job, occurrence, number, step, now),
            runners: runners
                .iter()
                .map(|runner_ix| self.runner(*runner_ix).id.to_string())
                .collect(),
        }
    }

    /// Returns the first reason for which tasks of a step wait.
    fn why_waiting(
        &self,
        job: &Job,
        occurrence: &Occurrence,
        number: usize,
        step: &Step,
        now: Millis,
    ) -> &'static str {
        let spec: &StepSpec = &job.record.spec.steps[number];
        let before_done = |step: &u32| occurrence.steps[*step as usize].is_done();
        let unaccounted = step.tasks.iter().any(|task| task.unaccounted);
        if step.waiting == 0 {
            return "";
        }
        if !spec.depends_on.iter().all(before_done) {
            return "earlier steps are not done";
        }
        if job.spec_batch > self.batches.durable() {
            return "the job is not durable yet";
        }
        if !self.is_awake() {
            return "the owner is not confirmed since it stood still";
        }
        if unaccounted && self.unaccounted_until.is_some() {
            return "runs of an earlier owner may be alive out of reach";
        }
        let policy = &job.record.policy;
        let fitting = self
            .runners
            .iter()
            .any(|runner| self.fits(runner, spec, policy, now));
        match fitting {
            false => "no runner that takes work has room",
            true if step.approvals.asking => "approvals were asked for",
            true if policy.approval.is_some() => "no runner with room is approved",
            true if spec.gang => "there is no room for all members at once",
            true => "runners with room have their share of the step",
        }
    }
}
