//! Explanations of a job's state, for operators.

use kspan_model::Millis;
use serde::Serialize;

use super::{
    Engine, RunnerIx,
    job::{Job, Occurrence, Step, TaskState},
};
use crate::{id::JobId, record::Phase, spec::StepSpec};

/// State of a job and the reasons for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Id of the job.
    pub job: String,
    /// Queue that the job was submitted to.
    pub queue: String,
    /// Phase of the job.
    pub phase: &'static str,
    /// Whether the phase is durable and may be reported to the caller.
    pub durable: bool,
    /// Time since the submission, in milliseconds.
    pub age_ms: u64,
    /// Steps with unfinished tasks.
    pub steps: Vec<StepExplanation>,
}

/// State of a step and the reason why its tasks wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StepExplanation {
    /// Occurrence number.
    pub occurrence: u32,
    /// Index of the step within the job.
    pub step: usize,
    /// Number of waiting tasks.
    pub waiting: usize,
    /// Number of tasks that are running or being started.
    pub running: usize,
    /// Number of tasks that are being stopped.
    pub stopping: usize,
    /// Number of completed tasks.
    pub done: usize,
    /// Number of failed runs.
    pub failures: usize,
    /// Reason why tasks wait; empty if none does.
    pub why: &'static str,
    /// Runners with tasks of the step.
    pub runners: Vec<String>,
}

impl Engine {
    /// Explains the state of a job; `None` if there is no such job.
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
            why: self.waiting_reason(job, occurrence, number, step, now),
            runners: runners
                .iter()
                .map(|runner_ix| self.runner(*runner_ix).id.to_string())
                .collect(),
        }
    }

    /// Returns the first reason why tasks of a step wait.
    fn waiting_reason(
        &self,
        job: &Job,
        occurrence: &Occurrence,
        number: usize,
        step: &Step,
        now: Millis,
    ) -> &'static str {
        let spec: &StepSpec = &job.record.spec.steps[number];
        let is_step_done = |step: &u32| occurrence.steps[*step as usize].is_done();
        let unverified = step.tasks.iter().any(|task| task.unverified);
        if step.waiting == 0 {
            return "";
        }
        if !spec.depends_on.iter().all(is_step_done) {
            return "steps that it depends on are not completed";
        }
        if job.spec_batch > self.batches.durable() {
            return "the specification of the job is not durable yet";
        }
        if !self.is_confirmed_since_gap() {
            return "ownership has not been confirmed since a gap between ticks";
        }
        if unverified && self.unverified_until.is_some() {
            return "a run of a previous owner may be alive on a runner that has not answered";
        }
        let policy = &job.record.policy;
        let can_place = self
            .runners
            .iter()
            .any(|runner| self.can_place(runner, spec, policy, now));
        match can_place {
            false => "no runner that accepts work has enough free resources",
            true if step.approvals.request_in_flight => "an approval request is in flight",
            true if policy.approval.is_some() => "no runner with enough free resources is approved",
            true if spec.gang => "not all members of the gang fit at the same time",
            true => "runners with enough free resources are at the step's limit per runner",
        }
    }
}
