//! Reservation of runners for waiting tasks of long-running steps, such as those that lost their
//! runner.
//!
//! In a full cell, smaller tasks take resources as soon as they are freed, so a large task would
//! wait indefinitely. A task of a long-running step that has waited too long becomes overdue: it
//! precedes all other tasks, and a runner is reserved until the task fits there. Few runners are
//! reserved at a time, because their free resources stay unused meanwhile.

use kspan_model::Millis;

use super::{Engine, RunnerIx, job::Step, runner::Runner};
use crate::{config::Policy, id::StepId, spec::StepSpec};

/// Waiting time after which a task of a long-running step is overdue.
const OVERDUE_AFTER: Millis = Millis(1_500);

/// At most one in this many runners is reserved.
const RESERVED_DIVISOR: usize = 8;

impl Engine {
    /// Returns whether a task of a long-running step is overdue.
    pub(super) fn is_overdue(&self, step: &Step, spec: &StepSpec, now: Millis) -> bool {
        if !spec.long_running || step.waiting == 0 {
            return false;
        }
        let all_verified = self.unverified_until.is_none();
        let mut waiting = step
            .tasks
            .iter()
            .filter(|task| task.may_start(all_verified));
        waiting.any(|task| now.saturating_sub(task.state_since) >= OVERDUE_AFTER)
    }

    /// Returns whether a runner could take a task of the step if it were empty, regardless of
    /// approvals.
    pub(super) fn could_accept_when_empty(
        &self,
        runner: &Runner,
        spec: &StepSpec,
        policy: &Policy,
        now: Millis,
    ) -> bool {
        spec.charged_resources().fits_in(runner.entry.capacity)
            && self.accepts(runner, spec, policy, now)
    }

    /// Reserves the runner expected to fit the step first: of those that could take one of its
    /// tasks when empty, the one with the most free processors.
    pub(super) fn reserve_runner(&mut self, id: StepId, now: Millis) {
        if self.reserved.len() >= self.runners.len().div_ceil(RESERVED_DIVISOR) {
            return;
        }
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let Some((step, spec)) = job.step(id) else {
            return;
        };
        let policy = &job.record.policy;
        let could_accept_when_empty = |runner_ix: &RunnerIx| {
            let runner = &self.runners[runner_ix.0];
            let step_tasks = step.tasks_by_runner.get(runner_ix).copied().unwrap_or(0);
            spec.max_per_runner.is_none_or(|max| step_tasks < max)
                && (policy.approval.is_none() || step.approvals.was_approved(*runner_ix))
                && self.could_accept_when_empty(runner, spec, policy, now)
        };
        let usable = (0..self.runners.len())
            .map(RunnerIx)
            .filter(could_accept_when_empty);
        let max_free = usable.max_by_key(|runner_ix| self.runners[runner_ix.0].free().cpu_milli);
        self.reserved.extend(max_free);
    }
}
