//! Runners that are kept free of new starts until a task can start there alone.
//!
//! Load pattern: in a busy cell each runner gets new tasks all the time, so a task that has to start
//! alone, because runners crashed under it, would find no place. One runner with room for it is kept
//! from other tasks until what it has is old enough not to be suspected.

use kspan_model::Millis;

use super::{
    Engine, RunnerIx,
    evidence::Isolation,
    task::{Task, TaskState},
};
use crate::id::StepId;

/// How long a runner is kept. Its runs are old enough within a part of this; after it, an approval of
/// the runner may have ended.
const MAX_KEPT: Millis = Millis(3_000);

/// At most one in this many runners of a service is kept.
const KEPT_DIVISOR: usize = 8;

/// A runner that is kept for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QuietRunner {
    runner_ix: RunnerIx,
    step: StepId,
    since: Millis,
}

impl Engine {
    /// Returns whether the runner is kept for another step.
    pub(super) fn is_kept_for_other(&self, runner_ix: RunnerIx, id: StepId) -> bool {
        let mut kept = self.quiet_runners.iter();
        kept.any(|quiet| quiet.runner_ix == runner_ix && quiet.step != id)
    }

    /// Returns whether the runner is kept for the step.
    pub(super) fn is_kept_for(&self, runner_ix: RunnerIx, id: StepId) -> bool {
        let mut kept = self.quiet_runners.iter();
        kept.any(|quiet| quiet.runner_ix == runner_ix && quiet.step == id)
    }

    /// Releases runners that are no longer needed or usable.
    pub(super) fn release_quiet_runners(&mut self, now: Millis) {
        let mut kept = std::mem::take(&mut self.quiet_runners);
        kept.retain(|quiet| {
            let runner = &self.runners[quiet.runner_ix.0];
            now < quiet.since + MAX_KEPT
                && runner.accepts_work(now, self.confirmed_at, self.batches.durable())
                && self.waiting_alone(quiet.step, now) > 0
        });
        self.quiet_runners = kept;
    }

    /// Keeps a runner for a step with a task that has to start alone and found no place.
    pub(super) fn keep_quiet_runner(&mut self, id: StepId, now: Millis) {
        let wanted = self.waiting_alone(id, now);
        let kept = self.quiet_runners.iter().filter(|quiet| quiet.step == id);
        if wanted <= kept.count() {
            return;
        }
        if let Some(runner_ix) = self.runner_to_keep(id, now) {
            self.quiet_runners.push(QuietRunner {
                runner_ix,
                step: id,
                since: now,
            });
        }
    }

    /// Returns how many waiting tasks of a step have to start alone.
    fn waiting_alone(&self, id: StepId, now: Millis) -> usize {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        let Some((step, spec)) = step else {
            return 0;
        };
        let is_waiting_alone = |task: &&Task| {
            task.state == TaskState::Waiting
                && task.crashes_allow_start(now)
                && task.isolation(spec, now) == Isolation::Alone
        };
        step.tasks.iter().filter(is_waiting_alone).count()
    }

    /// Chooses the runner with the fewest runs among those that have room for a task of the step.
    fn runner_to_keep(&self, id: StepId, now: Millis) -> Option<RunnerIx> {
        let job = self.jobs.get(&id.job)?;
        let (step, spec) = job.step(id)?;
        let policy = &job.record.policy;
        let max_kept = (self.runner_count(&policy.service) / KEPT_DIVISOR).max(1);
        if self.quiet_runners.len() >= max_kept {
            return None;
        }
        let is_usable = |runner_ix: &RunnerIx| {
            let runner = &self.runners[runner_ix.0];
            let is_kept = || {
                let mut kept = self.quiet_runners.iter();
                kept.any(|quiet| quiet.runner_ix == *runner_ix)
            };
            self.can_place(runner, step, spec, policy, now)
                && step.remaining_on(*runner_ix, spec) > 0
                && !runner.has_isolated_run()
                && !is_kept()
        };
        let usable: Vec<RunnerIx> = if policy.approval.is_some() {
            let approved = step.approvals.valid_runners(now);
            approved.filter(is_usable).collect()
        } else {
            let open = self.open_runners.iter().copied();
            open.filter(is_usable).collect()
        };
        usable.into_iter().min_by_key(|runner_ix| {
            let runner = &self.runners[runner_ix.0];
            (runner.keeps_crashing(), runner.runs.len(), *runner_ix)
        })
    }
}
