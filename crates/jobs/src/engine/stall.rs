//! Detection of stalled tasks on runners that still answer.
//!
//! Some runners accept work and keep answering without making progress. A task whose progress does
//! not change for longer than a slow runner needs for one percent of it is stopped and started
//! elsewhere. The runner's health record decides whether the runner is avoided as well.

use kspan_model::Millis;

use super::{Engine, Event, RunnerIx, task::TaskState};
use crate::{id::TaskId, runner::EndKind, runner::RunningTask};

/// Minimum time without progress after which a task counts as stalled. Resuming from a checkpoint
/// takes as long on a healthy runner.
const MIN_STALL_TIMEOUT: Millis = Millis(1_000);

/// The stall timeout is a task's expected run time divided by this. Even a runner slower by a much
/// larger factor still advances by a percent within it.
const STALL_TIMEOUT_DIVISOR: u64 = 4;

/// A run is suspected of a stall after its stall timeout divided by this, and its runner is then
/// polled more often.
const SUSPECT_TIMEOUT_DIVISOR: u64 = 3;

/// Maximum number of doublings of the stall timeout.
const MAX_TIMEOUT_DOUBLINGS: u32 = 6;

/// A percent of progress may take this many times as long as the average so far.
const MAX_SLOWDOWN_FACTOR: u64 = 4;

/// Minimum progress from which the end of a run is extrapolated, in percent.
const MIN_EXTRAPOLATED_PERCENT: u64 = 5;

/// Progress in percent, at a time on the runner's clock.
#[derive(Clone, Copy, Debug)]
struct ProgressReading {
    percent: u32,
    at: Millis,
}

/// Progress of a run as reported by inventories.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    first: Option<ProgressReading>,
    /// First reading with the latest percentage.
    newest: Option<ProgressReading>,
    /// Start of the interval from which the present speed is measured.
    older: Option<ProgressReading>,
    /// Start of the next interval, which replaces `older` after enough progress.
    recent: Option<ProgressReading>,
    /// Time at which the run ends if it goes on at that speed, on the owner's clock.
    measured_end: Option<Millis>,
}

impl Progress {
    /// Records a reading; returns how long the percentage has been unchanged.
    fn record(&mut self, percent: u32, at: Millis) -> Millis {
        let reading = ProgressReading { percent, at };
        self.first.get_or_insert(reading);
        let newest = self.newest.get_or_insert(reading);
        if newest.percent != percent {
            *newest = reading;
        }
        at.saturating_sub(newest.at)
    }

    /// Extrapolates the end of the run from a reading that was recorded `now`.
    fn extrapolate(&mut self, now: Millis) {
        let (Some(first), Some(newest)) = (self.first, self.newest) else {
            return;
        };
        let progress_since =
            |reading: ProgressReading| u64::from(newest.percent.saturating_sub(reading.percent));
        let recent = *self.recent.get_or_insert(first);
        let older = *self.older.get_or_insert(first);
        let done = progress_since(older);
        if done >= MIN_EXTRAPOLATED_PERCENT {
            let left = u64::from(100u32.saturating_sub(newest.percent));
            let took = newest.at.saturating_sub(older.at).0;
            self.measured_end = Some(now + Millis(took.saturating_mul(left) / done));
        }
        if progress_since(recent) >= MIN_EXTRAPOLATED_PERCENT {
            self.older = self.recent.replace(newest);
        }
    }

    /// Returns the extrapolated end of the run; `None` if too little progress was observed.
    pub(super) fn measured_end(&self) -> Option<Millis> {
        self.measured_end
    }

    /// Returns the average time per percent so far; zero if no progress was observed.
    fn time_per_percent(&self) -> Millis {
        let (Some(first), Some(newest)) = (self.first, self.newest) else {
            return Millis::ZERO;
        };
        let done = u64::from(newest.percent.saturating_sub(first.percent));
        let took = newest.at.saturating_sub(first.at).0;
        Millis(took.checked_div(done).unwrap_or(0))
    }
}

impl Engine {
    /// Records a run's progress and stops the run if it is stalled. `clock` is the runner's clock.
    pub(super) fn check_progress(
        &mut self,
        runner_ix: RunnerIx,
        row: &RunningTask,
        clock: Millis,
        now: Millis,
    ) {
        let (task, run) = (row.task, row.run);
        let Some(timeout) = self.stall_timeout(runner_ix, task, run) else {
            return;
        };
        let runner = &mut self.runners[runner_ix.0];
        let Some(placed) = runner.runs.get_mut(&(task, run)) else {
            return;
        };
        if !placed.has_measurable_progress(now) {
            placed.progress = Progress::default();
            return;
        }
        let unchanged = placed.progress.record(row.percent, clock);
        if unchanged == Millis::ZERO {
            placed.progress.extrapolate(now);
        }
        let time_per_percent = placed.progress.time_per_percent();
        let timeout = timeout.max(time_per_percent.saturating_mul(MAX_SLOWDOWN_FACTOR));
        if unchanged >= timeout {
            return self.stop_stalled_run(runner_ix, task, run, now);
        }
        if unchanged.saturating_mul(SUSPECT_TIMEOUT_DIVISOR) >= timeout {
            runner.has_suspected_stalls = true;
        }
    }

    /// Returns the stall timeout of a run; `None` if the run is not checked. Members of a gang wait
    /// for each other, and long-running tasks report no progress.
    fn stall_timeout(&self, runner_ix: RunnerIx, task: TaskId, run: u32) -> Option<Millis> {
        let (step, spec) = self.jobs.get(&task.step.job)?.step(task.step)?;
        let known = step.tasks.get(task.index as usize)?;
        let is_checked = !spec.gang && !spec.long_running;
        let is_running = known.state == TaskState::Running(runner_ix) && known.run == run;
        let share = Millis(self.run_times.expected(spec).0 / STALL_TIMEOUT_DIVISOR);
        // A task that never reports progress must still be able to finish, so each stall doubles
        // the timeout.
        let doublings = known.stall_count.min(MAX_TIMEOUT_DOUBLINGS);
        let timeout = share.max(MIN_STALL_TIMEOUT).saturating_mul(1 << doublings);
        (is_checked && is_running).then_some(timeout)
    }

    fn stop_stalled_run(&mut self, runner_ix: RunnerIx, task: TaskId, run: u32, now: Millis) {
        let id = self.runners[runner_ix.0].entry.id.clone();
        self.events.push(Event::RunStalled {
            task,
            run,
            runner: id,
        });
        self.order_stop(runner_ix, task, run, now);
        self.update_health(runner_ix, EndKind::Failed, now);
        let job = self.jobs.get_mut(&task.step.job);
        if let Some((step, _)) = job.and_then(|job| job.step_mut(task.step)) {
            let known = &mut step.tasks[task.index as usize];
            known.last_failed_on = Some(runner_ix);
            known.stall_count += 1;
        }
    }
}
