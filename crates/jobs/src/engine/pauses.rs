//! Ends the pauses of runners for tasks that last and find no other runner.
//!
//! Failure pattern: a runner that failed all it started is paused for ever longer, and sound again soon after the pause
//! began. A task that lasts has room there alone, and no run meanwhile.

use kspan_model::Millis;

use super::{Engine, RunnerIx, job::Job};
use crate::id::StepId;

/// How long a task that lasts waits for runners that are not paused. Callers count it as lost after 9 s without a run.
const MAX_WAIT_FOR_OTHERS: Millis = Millis(4_000);

impl Engine {
    /// Ends the pause of one runner for each step whose tasks last and have waited for too long.
    pub(super) fn end_pauses_for_overdue_tasks(&mut self, now: Millis) {
        if self
            .runners
            .iter()
            .all(|runner| runner.dead || runner.health.is_available(now))
        {
            return;
        }
        let jobs = self.schedulable.iter().filter_map(|id| self.jobs.get(id));
        let steps = jobs.flat_map(|job| job.ready_steps().map(move |id| (job, id)));
        let ended = steps.filter_map(|(job, id)| self.pause_to_end(job, id, now));
        let ended: Vec<RunnerIx> = ended.collect();
        for runner_ix in ended {
            self.runners[runner_ix.0].health.end_pause();
        }
    }

    /// Returns the paused runner that a step's tasks may use, if one of them has waited for too long and no other runner
    /// can take it.
    fn pause_to_end(&self, job: &Job, id: StepId, now: Millis) -> Option<RunnerIx> {
        let (step, spec) = job.step(id)?;
        let policy = &job.record.policy;
        let is_overdue = |since: Millis| now >= since + MAX_WAIT_FOR_OTHERS;
        let mut tasks = step.tasks.iter();
        if !spec.long_running
            || !tasks.any(|task| task.is_waiting() && is_overdue(task.state_since))
        {
            return None;
        }
        let has_room = |runner_ix: &RunnerIx| {
            let runner = &self.runners[runner_ix.0];
            spec.charged_resources().fits_in(runner.free())
                && self.could_accept(runner, spec, policy, now)
                && !step.approvals.is_denied(*runner_ix)
                && step.remaining_on(*runner_ix, spec) > 0
        };
        let runners = (0..self.runners.len()).map(RunnerIx).filter(has_room);
        let health = |runner_ix: &RunnerIx| self.runners[runner_ix.0].health;
        let (others, paused): (Vec<_>, Vec<_>) =
            runners.partition(|runner_ix| health(runner_ix).is_available(now));
        let first = paused
            .into_iter()
            .min_by_key(|ix| health(ix).paused_until());
        first.filter(|_| others.is_empty())
    }
}
