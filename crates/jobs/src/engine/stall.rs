//! Tasks that stand still on runners that answer.
//!
//! Answers the load pattern in which some runners accept work, go on answering and never get on
//! with it: a task whose progress doesn't move for longer than a slow runner needs for one step
//! of it is stopped and starts elsewhere. Whether the runner is to blame is left to its health.

use kspan_model::Millis;

use super::{Engine, Event, RunnerIx, job::TaskState};
use crate::{id::TaskId, runner::EndKind, runner::RunningTask};

/// Shortest time without progress that counts as standing still; resuming from a checkpoint
/// takes as long on a sound runner.
const SHORTEST_STALL: Millis = Millis(1_000);

/// Share of a task's expected time without progress that counts as standing still: one part in
/// this many. A runner that is slower by far more than this still moves by a percent.
const STALL_PART: u64 = 4;

/// Share of the time to a stall after which a runner is looked at more often.
const SUSPECT_PART: u64 = 3;

/// Most doublings of the time that counts as standing still.
const MOST_DOUBLINGS: u32 = 6;

/// How many times as long as it took so far a percent of the work may take.
const PACE_FACTOR: u64 = 4;

/// Share of a run's work that is done, at a time on the runner's clock.
#[derive(Clone, Copy, Debug)]
struct Reading {
    percent: u32,
    at: Millis,
}

/// Progress of a run as inventories show it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    first: Option<Reading>,
    /// First reading of the newest share.
    newest: Option<Reading>,
}

impl Progress {
    /// Takes in a reading; returns for how long the share has been the same.
    fn learn(&mut self, percent: u32, at: Millis) -> Millis {
        let reading = Reading { percent, at };
        self.first.get_or_insert(reading);
        let newest = self.newest.get_or_insert(reading);
        if newest.percent != percent {
            *newest = reading;
        }
        at.saturating_sub(newest.at)
    }

    /// Returns how long a percent took so far; none where no progress was seen.
    fn pace(&self) -> Millis {
        let (Some(first), Some(newest)) = (self.first, self.newest) else {
            return Millis::ZERO;
        };
        let done = u64::from(newest.percent.saturating_sub(first.percent));
        let took = newest.at.saturating_sub(first.at).0;
        Millis(took.checked_div(done).unwrap_or(0))
    }
}

impl Engine {
    /// Takes in a run's progress, and stops the run if it stands still. `clock` is the runner's.
    pub(super) fn watch_progress(
        &mut self,
        runner_ix: RunnerIx,
        row: &RunningTask,
        clock: Millis,
        now: Millis,
    ) {
        let (task, run) = (row.task, row.run);
        let Some(limit) = self.stall_limit(runner_ix, task, run) else {
            return;
        };
        let runner = &mut self.runners[runner_ix.0];
        let Some(placed) = runner.placed.get_mut(&(task, run)) else {
            return;
        };
        let still = placed.progress.learn(row.percent, clock);
        let limit = limit.max(Millis(placed.progress.pace().0 * PACE_FACTOR));
        if still >= limit {
            return self.move_stalled(runner_ix, task, run, now);
        }
        if still.0 * SUSPECT_PART >= limit.0 {
            runner.has_suspects = true;
        }
    }

    /// Returns how long the run may stand still; `None` for one that isn't watched. Members of a
    /// gang wait for each other, and a long-running task has no progress.
    fn stall_limit(&self, runner_ix: RunnerIx, task: TaskId, run: u32) -> Option<Millis> {
        let (step, spec) = self.jobs.get(&task.step.job)?.step(task.step)?;
        let known = step.tasks.get(task.index as usize)?;
        let watched = !spec.gang && !spec.long_running;
        let runs = known.state == TaskState::Running(runner_ix) && known.run == run;
        let part = Millis(self.run_times.expect(spec).0 / STALL_PART);
        // Work whose progress doesn't show, wherever it runs, has to end in spite of this.
        let doublings = known.stalls.min(MOST_DOUBLINGS);
        let limit = Millis(part.max(SHORTEST_STALL).0 << doublings);
        (watched && runs).then_some(limit)
    }

    fn move_stalled(&mut self, runner_ix: RunnerIx, task: TaskId, run: u32, now: Millis) {
        let id = self.runners[runner_ix.0].entry.id.clone();
        self.notes.push(Event::RunStalled {
            task,
            run,
            runner: id,
        });
        self.order_stop(runner_ix, task, run, now);
        self.judge_runner(runner_ix, EndKind::Failed, now);
        let job = self.jobs.get_mut(&task.step.job);
        if let Some((step, _)) = job.and_then(|job| job.step_mut(task.step)) {
            let known = &mut step.tasks[task.index as usize];
            known.shun = Some(runner_ix);
            known.stalls += 1;
        }
    }
}
