//! Room for tasks of long-running steps that have lost their runner.
//!
//! Answers the load pattern in which a full cell never has room for a large task at once, because
//! smaller ones take what comes free: a task of a long-running step that has waited for too long
//! goes before all others, and a runner is kept free of others until it fits there. Few runners
//! are kept at a time, as what they don't take waits.

use kspan_model::Millis;

use super::{Engine, RunnerIx, job::Step, runner::Runner};
use crate::{config::Policy, id::StepId, spec::StepSpec};

/// Wait after which a task of a long-running step goes before others.
const LONGEST_WAIT: Millis = Millis(1_500);

/// One in this many runners is kept free at most.
const RESERVED_PART: usize = 8;

impl Engine {
    /// Returns whether a task of a long-running step waits for too long.
    pub(super) fn is_overdue(&self, step: &Step, spec: &StepSpec, now: Millis) -> bool {
        if !spec.long_running || step.waiting == 0 {
            return false;
        }
        let accounted = self.unaccounted_until.is_none();
        let mut waiting = step.tasks.iter().filter(|task| task.may_start(accounted));
        waiting.any(|task| now.saturating_sub(task.since) >= LONGEST_WAIT)
    }

    /// Returns whether a runner could take a task of the step if nothing else were there,
    /// approvals aside.
    pub(super) fn could_take(
        &self,
        runner: &Runner,
        spec: &StepSpec,
        policy: &Policy,
        now: Millis,
    ) -> bool {
        spec.charged_resources().fits_in(runner.entry.capacity)
            && self.accepts(runner, spec, policy, now)
    }

    /// Keeps others from the runner that will have room for the step first.
    pub(super) fn reserve(&mut self, id: StepId, now: Millis) {
        if self.reserved.len() >= self.runners.len().div_ceil(RESERVED_PART) {
            return;
        }
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let Some((step, spec)) = job.step(id) else {
            return;
        };
        let policy = &job.record.policy;
        let could_take = |runner_ix: &RunnerIx| {
            let runner = &self.runners[runner_ix.0];
            let there = step.on_runner.get(runner_ix).copied().unwrap_or(0);
            spec.max_per_runner.is_none_or(|most| there < most)
                && (policy.approval.is_none() || step.approvals.was_approved(*runner_ix))
                && self.could_take(runner, spec, policy, now)
        };
        let usable = (0..self.runners.len()).map(RunnerIx).filter(could_take);
        let most_free = usable.max_by_key(|runner_ix| self.runners[runner_ix.0].free().cpu_milli);
        self.reserved.extend(most_free);
    }
}
