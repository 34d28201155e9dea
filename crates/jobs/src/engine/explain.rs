//! Explanations of a job's state, for operators.

use kspan_model::{Millis, Name, Resources};
use serde::Serialize;

use super::{
    Engine, Event, RunnerIx,
    evidence::Isolation,
    job::{Job, Occurrence, Step},
    servable::lacking_resource,
    task::{Task, TaskState},
};
use crate::{
    config::Policy,
    id::{JobId, StepId},
    record::Phase,
    spec::{Sharing, StepSpec},
};

/// State of a job and the reasons for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Id of the job.
    pub job: String,
    /// Queue that the job was submitted to.
    pub queue: String,
    /// Team that submitted the job.
    pub team: Option<String>,
    /// Whether the team submitted more than it is entitled to, so that the job ranks after others.
    pub exceeds_rate: bool,
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
    /// Number of crashes of runners that count against tasks of the step.
    pub crashes: usize,
    /// Reason why tasks wait; empty if none does.
    pub why: String,
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
            team: job.record.team.as_ref().map(Name::to_string),
            exceeds_rate: job.record.exceeds_rate,
            phase,
            durable: job.spec_batch.max(job.phase_batch) <= self.batches.durable(),
            age_ms: now.saturating_sub(job.submitted).0,
            steps: steps.collect(),
        })
    }

    /// Reports a job that can no longer meet its objective, if its tasks still wait. A pass reports
    /// one job at most, because an explanation examines all runners.
    pub(super) fn report_late_job(&mut self, id: Option<JobId>, now: Millis) {
        let Some(explanation) = id.and_then(|id| self.explain(id, now)) else {
            return;
        };
        let Some(job) = id.and_then(|id| self.jobs.get_mut(&id)) else {
            return;
        };
        let is_first = job.reported_late_at.replace(now).is_none();
        let (job, elapsed) = (job.id, now.saturating_sub(job.submitted));
        let waiting = explanation.steps.into_iter().map(|step| step.why);
        if let Some(why) = waiting.into_iter().find(|why| !why.is_empty()) {
            self.events.push(Event::JobLate {
                job,
                queue: explanation.queue,
                why,
                elapsed,
                is_first,
            });
        }
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
            running: count(|state| state.active_runner().is_some()),
            stopping: count(|state| matches!(state, TaskState::Stopping(_))),
            done: step.done,
            failures: step.all_failed_attempts(&job.record.spec.steps[number]),
            crashes: step.tasks.iter().map(|task| task.crashes.count()).sum(),
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
    ) -> String {
        let spec: &StepSpec = &job.record.spec.steps[number];
        let is_step_done = |step: &u32| occurrence.steps[*step as usize].is_done();
        let unverified = step.tasks.iter().any(|task| task.unverified);
        if step.waiting == 0 {
            return String::new();
        }
        if !spec.depends_on.iter().all(is_step_done) {
            return "steps that it depends on are not completed".to_owned();
        }
        if job.spec_batch > self.batches.durable() {
            return "the specification of the job is not durable yet".to_owned();
        }
        if !self.is_confirmed_since_gap() {
            return "ownership has not been confirmed since a gap between ticks".to_owned();
        }
        if unverified && self.unverified_until.is_some() {
            return "a run of a previous owner may be alive on a runner that has not answered"
                .to_owned();
        }
        if Self::waits_for_former_start(step, spec) {
            return "a start by a previous owner got no answer and may still be carried out"
                .to_owned();
        }
        let policy = &job.record.policy;
        let id = StepId {
            job: job.id,
            occurrence: occurrence.number,
            step: u32::try_from(number).unwrap_or(u32::MAX),
        };
        if let Some(reason) = self.cap_reason(id) {
            return reason;
        }
        let can_place = self
            .runners
            .iter()
            .any(|runner| self.can_place(runner, step, spec, policy, now));
        if !can_place {
            return self.lacking_room(spec, policy, now);
        }
        if let Some(why) = rack_wait_reason(step, now) {
            return why;
        }
        if let Some(why) = isolation_reason(step, spec, now) {
            return why;
        }
        let why = if step.approvals.pending.is_some() {
            "an approval request is in flight"
        } else if policy.approval.is_some() {
            "no runner with enough free resources is approved"
        } else if spec.gang {
            "not all members of the gang fit at the same time"
        } else {
            "runners with enough free resources are at the step's limit per runner, or reserved"
        };
        why.to_owned()
    }

    /// Describes what the runners that accept tasks of a step lack for one more.
    fn lacking_room(&self, spec: &StepSpec, policy: &Policy, now: Millis) -> String {
        let accepting = self
            .runners
            .iter()
            .filter(|runner| self.accepts(runner, spec, policy, now));
        let size = spec.charged_resources();
        let (mut runners, mut largest) = (0, Resources::ZERO);
        for runner in accepting {
            runners += 1;
            largest = largest.component_max(runner.free());
        }
        if runners == 0 {
            return "no runner of the service accepts work of the step".to_owned();
        }
        if size.fits_in(largest) && spec.sharing() != Sharing::Ordinary {
            return "runners with enough free resources have tasks that the step's interfere with; it \
                    shares one soon"
                .to_owned();
        }
        let lacking = lacking_resource(size, largest).unwrap_or("with all that a task needs free");
        format!(
            "none of {runners} runners is one {lacking}: a task needs {size}, the most free is {largest}"
        )
    }
}

/// Describes why tasks wait under which runners crashed.
fn isolation_reason(step: &Step, spec: &StepSpec, now: Millis) -> Option<String> {
    let waiting = |task: &&Task| task.state == TaskState::Waiting;
    let tasks = step.tasks.iter().filter(waiting);
    if tasks.clone().any(|task| !task.crashes_allow_start(now)) {
        return Some("it is not known yet whether an earlier run crashed its runner".to_owned());
    }
    let isolated = tasks.filter(|task| task.isolation(spec, now) != Isolation::None);
    let count = isolated.count();
    (count > 0).then(|| {
        format!("{count} wait for a runner apart from others, because runners crashed under them")
    })
}

/// Describes the wait of a step's tasks for their rack, by the one that gives it up first.
fn rack_wait_reason(step: &Step, now: Millis) -> Option<String> {
    let waiting = |task: &&Task| task.state == TaskState::Waiting;
    let tasks = step.tasks.iter().filter(waiting);
    let waits = || tasks.clone().filter_map(|task| task.wait.as_ref());
    let first = waits().min_by_key(|wait| wait.until)?;
    let (count, rack) = (waits().count(), &first.rack);
    let left = first.until.saturating_sub(now).0;
    let predicted = first.predicted.saturating_sub(now).0;
    Some(format!(
        "{count} wait for room in rack {rack}, predicted in {predicted} ms, and start elsewhere in \
         {left} ms at the latest"
    ))
}
