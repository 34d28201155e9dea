//! Processing of the ends of runs: effects on the task, its job and the runner.

use derive_more::Display;
use kspan_model::{Millis, Name};

use super::{
    Engine, Event, FailureCause, RunnerIx, crash::incarnation_hash, end_log::EndListing,
    job::MAX_RUN, overrun::Ratio, runner::PlacedRun, task::TaskState,
};
use crate::{
    id::{JobId, TaskId},
    record::{FailedRun, Phase},
    runner::{EndKind, EndedTask, is_usable_checkpoint},
};

/// How the owner learned that a run is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The runner reported the end.
    Reported(EndKind),
    /// The runner reported no end, but the run is certain to be over.
    Lost(LossReason),
}

/// Evidence that a run without a reported end is over.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LossReason {
    /// The runner's incarnation has ended.
    #[display("runner ended")]
    RunnerEnded,
    /// The runner did not answer until its lease had expired.
    #[display("lease expired")]
    LeaseExpired,
    /// The runner answered and did not list the run.
    #[display("not listed")]
    NotListed,
    /// The runner refused the start.
    #[display("start refused")]
    StartRefused,
    /// The start was not sent.
    #[display("start withdrawn")]
    StartWithdrawn,
}

impl LossReason {
    /// Returns whether the run is over although its runner may be alive.
    fn shows_living_runner(self) -> bool {
        match self {
            Self::NotListed | Self::StartRefused | Self::StartWithdrawn => true,
            Self::RunnerEnded | Self::LeaseExpired => false,
        }
    }
}

/// Run times below this are not recorded, because they say nothing about the image.
const MIN_MEASURED_RUN: Millis = Millis(20);

impl Engine {
    /// Applies the end of a run that a runner reported.
    pub(super) fn apply_end(
        &mut self,
        runner_ix: RunnerIx,
        end: &EndedTask,
        listing: EndListing,
        now: Millis,
        unix_ms: u64,
    ) {
        let key = (end.task, end.run);
        let placed = self.runners[runner_ix.0].runs.get(&key).copied();
        self.remove_run(runner_ix, end.task, end.run);
        let how = RunEnd::Reported(end.how);
        self.emit_run_ended(runner_ix, end.task, end.run, how, Some(listing), now);
        self.update_health(runner_ix, end.how, now);
        self.forget_run(runner_ix, end.task, end.run);
        let index = end.task.index as usize;
        let failed = FailedRun {
            run: end.run,
            incarnation: incarnation_hash(&self.runners[runner_ix.0].entry.id),
        };
        let Some(job) = self.jobs.get_mut(&end.task.step.job) else {
            return;
        };
        job.started = true;
        let active = job.phase == Phase::Active;
        let max_attempts = job.record.policy.max_attempts.max(1);
        let Some((step, spec)) = job.step_mut(end.task.step) else {
            return;
        };
        if index >= step.tasks.len() {
            return;
        }
        let (gang, is_long_running) = (spec.gang, spec.long_running);
        let slot = if gang { 0 } else { index };
        if is_usable_checkpoint(&end.checkpoint) && step.tasks[slot].run <= end.run {
            step.tasks[slot].checkpoint = end.checkpoint.clone();
        }
        let task = &step.tasks[index];
        let current = task.run == end.run && task.state.runner() == Some(runner_ix);
        let run_time = now.saturating_sub(task.state_since);
        if current {
            step.tasks[index].unaccounted = false;
        }
        if end.run <= MAX_RUN {
            step.tasks[index].run = step.tasks[index].run.max(end.run);
        }
        if end.how == EndKind::Done && !is_long_running {
            let was_full_speed = placed.is_none_or(|placed| placed.speed.was_full());
            let is_measured = current && run_time >= MIN_MEASURED_RUN && was_full_speed;
            let image = spec.image.clone().filter(|_| is_measured);
            if let Some(placed) = placed.filter(|_| is_measured) {
                self.record_overrun(runner_ix, &placed, now);
            }
            if active {
                self.complete_task(end.task, end.run, gang, now, unix_ms);
            }
            if let Some(image) = image {
                let is_remote = placed.is_some_and(|placed| placed.is_remote);
                let slowdown = if is_remote {
                    self.cfg.cross_rack_slowdown
                } else {
                    1
                };
                let local_run_time = Millis(run_time.0 / u64::from(slowdown.max(1)));
                self.run_times.record(&image, local_run_time);
            }
            return;
        }
        if end.how == EndKind::Failed {
            if !is_long_running {
                step.record_failure(index, failed, spec);
            }
            step.tasks[index].last_failed_on = Some(runner_ix);
        }
        // Failures of earlier runs may be learned after the task is done.
        let is_limited = !is_long_running && step.tasks[index].state != TaskState::Done;
        let attempts = step.failed_attempts(index, spec);
        let out_of_attempts = is_limited && attempts >= max_attempts as usize;
        let failed_runs = out_of_attempts.then(|| step.failed_runs(index, spec));
        if current {
            step.set_state(index, TaskState::Waiting, now);
            self.schedulable.insert(end.task.step.job);
        }
        self.batches.add_task_progress(end.task);
        if let Some(runs) = failed_runs.filter(|_| active) {
            let task = end.task;
            let cause = FailureCause::Attempts { task, runs };
            return self.fail_job(task.step.job, cause, now, unix_ms);
        }
        if gang {
            self.settle_gang(end.task.step, now);
        }
    }

    /// Records how much longer than expected a completed run took.
    fn record_overrun(&mut self, runner_ix: RunnerIx, placed: &PlacedRun, now: Millis) {
        let Some((ordered_at, expected)) = placed.ordered_at.zip(placed.expected_run_time()) else {
            return;
        };
        let actual = now.saturating_sub(ordered_at);
        let rack = self.rack_of(runner_ix);
        self.overruns
            .record(rack.as_ref(), Ratio::new(actual, expected));
    }

    /// Removes a run that neither exists on its runner nor can start there.
    pub(super) fn remove_lost_run(
        &mut self,
        runner_ix: RunnerIx,
        task: TaskId,
        run: u32,
        reason: LossReason,
        now: Millis,
    ) {
        self.emit_run_ended(runner_ix, task, run, RunEnd::Lost(reason), None, now);
        self.remove_run(runner_ix, task, run);
        if reason.shows_living_runner() {
            self.forget_run(runner_ix, task, run);
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let Some((step, spec)) = job.step_mut(task.step) else {
            return;
        };
        let gang = spec.gang;
        let index = task.index as usize;
        let Some(known) = step.tasks.get(index) else {
            return;
        };
        if known.run != run || known.state.runner() != Some(runner_ix) {
            return;
        }
        step.set_state(index, TaskState::Waiting, now);
        self.schedulable.insert(task.step.job);
        if gang {
            self.settle_gang(task.step, now);
        }
    }

    /// Marks a task as done, or all members of its gang, and stops other runs of them. The members of a gang
    /// that share the run end by themselves.
    fn complete_task(&mut self, task: TaskId, run: u32, gang: bool, now: Millis, unix_ms: u64) {
        let id = task.step.job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.started = true;
        let Some((step, _)) = job.step_mut(task.step) else {
            return;
        };
        let mut elsewhere = Vec::new();
        let all = 0..step.tasks.len();
        let one = task.index as usize..task.index as usize + 1;
        for index in if gang { all } else { one } {
            let member = &step.tasks[index];
            let is_ending = gang && member.run == run;
            if let Some(runner_ix) = member.state.runner().filter(|_| !is_ending) {
                let index = u32::try_from(index).unwrap_or(u32::MAX);
                elsewhere.push((runner_ix, task.step.task(index), member.run));
            }
            if step.tasks[index].state != TaskState::Done {
                step.set_state(index, TaskState::Done, now);
            }
        }
        let finished = job.remove_done_occurrences();
        self.schedulable.insert(id);
        if gang {
            self.batches.add_progress(id);
        } else {
            self.batches.add_task_progress(task);
        }
        for (runner_ix, task, run) in elsewhere {
            if self.runners[runner_ix.0].runs.contains_key(&(task, run)) {
                self.order_stop(runner_ix, task, run, now);
            }
        }
        if finished {
            self.end_job(id, Phase::Completed, now, unix_ms);
        }
    }

    /// Stops all runs of a job.
    pub(super) fn stop_job_runs(&mut self, id: JobId, now: Millis) {
        self.stop_matching_runs(id, now, |_| true);
    }

    /// Stops the runs of a job's tasks that match. Returns their number.
    pub(super) fn stop_matching_runs(
        &mut self,
        id: JobId,
        now: Millis,
        matches: impl Fn(TaskId) -> bool,
    ) -> usize {
        let Some(job) = self.jobs.get(&id) else {
            return 0;
        };
        let active = job.tasks().filter_map(|(id, task)| {
            let runner_ix = task.state.active_runner()?;
            matches(id).then_some((runner_ix, id, task.run))
        });
        let runs: Vec<_> = active.collect();
        let stopped = runs.len();
        for (runner_ix, task, run) in runs {
            self.order_stop(runner_ix, task, run, now);
        }
        stopped
    }

    pub(super) fn update_health(&mut self, runner_ix: RunnerIx, how: EndKind, now: Millis) {
        let runner = &mut self.runners[runner_ix.0];
        match how {
            EndKind::Done => runner.health.record_success(),
            EndKind::Failed if runner.health.record_failure(now) => {
                let id: Name = runner.entry.id.clone();
                let what = "paused after failures";
                self.events.push(Event::RunnerChanged { id, what });
            }
            _ => {}
        }
    }

    fn emit_run_ended(
        &mut self,
        runner_ix: RunnerIx,
        task: TaskId,
        run: u32,
        how: RunEnd,
        listing: Option<EndListing>,
        now: Millis,
    ) {
        let job = self.jobs.get(&task.step.job);
        let step = job
            .and_then(|job| job.step(task.step))
            .map(|(step, _)| step);
        let known = step.and_then(|step| step.tasks.get(task.index as usize));
        let elapsed = known.map_or(Millis::ZERO, |known| now.saturating_sub(known.state_since));
        let entry = &self.runners[runner_ix.0].entry;
        self.events.push(Event::RunEnded {
            task,
            run,
            runner: entry.id.clone(),
            how,
            started_unix_ms: entry.started_unix_ms,
            listing,
            elapsed,
        });
    }
}
