//! Runs of gangs that can't become whole.
//!
//! The members of a gang work only together, and a runner ends a member that has waited too long for the
//! others. Until then its room is lost. The owner therefore stops the members of a run as soon as it knows that
//! one of them will never be there, whatever the reason. This module alone decides that, from the states of the
//! members: a member whose start may still succeed, or that a runner may have which hasn't answered since a
//! takeover, ends nothing for a part of the time that runners let the others wait.
//!
//! Failure pattern: an owner is lost while a gang starts, and a runner that it had ordered to start a member stays
//! silent. The next owner adopts the other members without knowing for how long they have waited, so that a
//! time counted from the adoption alone ends after the runners' own. Members that show work wait for nobody.
//!
//! The start order of a member is sent again and again for a part of the time that runners let the others wait, as
//! it is idempotent and the work of a whole gang depends on it.

use derive_more::Display;
use kspan_model::Millis;
use rustc_hash::FxHashMap;

use super::{
    Engine, Event,
    job::Step,
    task::{Task, TaskState},
};
use crate::{
    id::{StepId, TaskId},
    record::Phase,
    runner::RunningTask,
    spec::StepSpec,
};

/// Part of the time that runners let members wait, for which the start order of a member is sent, in percent.
const START_TIME_PERCENT: u64 = 50;

/// Part of that time after which a run is stopped if a member has not started, in percent. It leaves time for the
/// last attempt and for the stops.
const MAX_WAIT_PERCENT: u64 = 60;

/// Part of that time after the adoption of a member, after which a run that shows no work is stopped if only
/// silent runners can have the missing members, in percent. Its members may have waited for up to the rest of it
/// under the previous owner. A run that is whole nevertheless loses no more than a percent of its work, or what
/// it did in this time.
const MAX_WAIT_FOR_SILENT_PERCENT: u64 = 25;

/// Reason why a gang's run can't become whole.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum GangLoss {
    /// A member has no run, and none is on its way.
    #[display("no run")]
    NoRun,
    /// The run of a member is being stopped.
    #[display("stopped")]
    Stopped,
    /// Members have runs with different numbers.
    #[display("another run")]
    OtherRun,
    /// A member did not start in time.
    #[display("not started in time")]
    NotStarted,
    /// No runner that has answered since a takeover lists a member.
    #[display("not found in time")]
    NotFound,
}

/// Whether the members of a gang that are present have waited for too long for others.
#[derive(Clone, Copy, Debug)]
struct Lateness {
    /// For members that this owner has ordered.
    is_late: bool,
    /// For members that a runner may have which hasn't answered since a takeover.
    is_late_for_unknown: bool,
}

/// A run of a gang of which this owner has adopted members.
#[derive(Clone, Debug)]
pub(super) struct AdoptedRun {
    run: u32,
    /// Time of the first adoption.
    since: Millis,
    /// Progress of each member at its adoption, in percent.
    percents: FxHashMap<u32, u32>,
    /// Whether the run was whole when an inventory listed it, as members make progress only together.
    is_at_work: bool,
}

impl AdoptedRun {
    fn new(run: u32, since: Millis) -> Self {
        Self {
            run,
            since,
            percents: FxHashMap::default(),
            is_at_work: false,
        }
    }

    /// Records a row of an inventory. A member that resumes from a checkpoint may show the progress of an
    /// earlier run while it waits.
    fn record(&mut self, row: &RunningTask) {
        let adopted_at = *self.percents.entry(row.task.index).or_insert(row.percent);
        let is_of_this_run = row.percent > 0 && row.checkpoint.is_empty();
        self.is_at_work |= row.percent != adopted_at || is_of_this_run;
    }
}

impl Step {
    /// Records the adoption of a member of a gang.
    pub(super) fn record_adopted_member(&mut self, row: &RunningTask, now: Millis) {
        let known = self.adopted.take().filter(|known| known.run == row.run);
        let adopted = known.unwrap_or_else(|| AdoptedRun::new(row.run, now));
        self.adopted.insert(adopted).record(row);
    }

    /// Records what an inventory says of a member of an adopted run.
    pub(super) fn record_adopted_progress(&mut self, row: &RunningTask) {
        let adopted = self.adopted.as_mut();
        if let Some(adopted) = adopted.filter(|adopted| adopted.run == row.run) {
            adopted.record(row);
        }
    }
}

impl Engine {
    /// Returns for how long the start order of a member is sent.
    pub(super) fn gang_start_time(&self) -> Millis {
        self.part_of_gang_wait(START_TIME_PERCENT)
    }

    fn part_of_gang_wait(&self, percent: u64) -> Millis {
        Millis(self.cfg.gang_wait.saturating_mul(percent).0 / 100)
    }

    /// Stops the runs of gangs that can't become whole.
    pub(super) fn settle_gangs(&mut self, now: Millis) {
        let gangs: Vec<StepId> = self.live_gangs.iter().copied().collect();
        for step in gangs {
            self.settle_gang(step, now);
        }
    }

    /// Stops a gang's run if it can't become whole.
    pub(super) fn settle_gang(&mut self, id: StepId, now: Millis) {
        let job = self.jobs.get(&id.job);
        let active = job.filter(|job| job.phase == Phase::Active);
        let Some((step, spec)) = active.and_then(|job| job.step(id)) else {
            self.live_gangs.remove(&id);
            return;
        };
        let Some(run) = newest_run(step) else {
            self.live_gangs.remove(&id);
            return;
        };
        if let Some((index, why)) = self.gang_loss(step, spec, run, now) {
            self.stop_gang(id.task(index), run, why, now);
        }
    }

    /// Returns the first member without which a run can't become whole, and why it isn't there.
    fn gang_loss(
        &self,
        step: &Step,
        spec: &StepSpec,
        run: u32,
        now: Millis,
    ) -> Option<(u32, GangLoss)> {
        let max_wait = self.part_of_gang_wait(MAX_WAIT_PERCENT);
        let present = step
            .tasks
            .iter()
            .filter(|task| matches!(task.state, TaskState::Running(_)));
        let first = present.map(|task| task.state_since).min();
        let lateness = Lateness {
            is_late: first.is_some_and(|first| now >= first + max_wait),
            is_late_for_unknown: self.is_late_for_unknown(step, spec, run, now),
        };
        let mut members = (0..).zip(step.tasks.iter());
        members.find_map(|(index, task)| Some((index, self.member_loss(task, run, lateness)?)))
    }

    /// Returns whether the members of an adopted run may be ended soon as they have waited for too long. Long-running
    /// tasks report no progress, so that nothing tells whether they wait.
    fn is_late_for_unknown(&self, step: &Step, spec: &StepSpec, run: u32, now: Millis) -> bool {
        let adopted = step.adopted.as_ref();
        let waiting = adopted.filter(|adopted| adopted.run == run && !adopted.is_at_work);
        let Some(adopted) = waiting.filter(|_| !spec.long_running) else {
            return false;
        };
        let waited = now.saturating_sub(adopted.since);
        let is_due = |percent| waited >= self.part_of_gang_wait(percent);
        is_due(MAX_WAIT_PERCENT)
            || is_due(MAX_WAIT_FOR_SILENT_PERCENT) && self.are_unaccounted_runners_silent()
    }

    /// Returns whether each runner that may have unknown runs of a previous owner has left a call of this one without
    /// an answer.
    fn are_unaccounted_runners_silent(&self) -> bool {
        let runners = self.runners.iter();
        let mut unaccounted = runners.filter(|runner| runner.is_unaccounted());
        unaccounted.all(|runner| runner.missed_responses > 0)
    }

    /// Returns why a member will never be in a run; `None` if it is there or may come.
    fn member_loss(&self, task: &Task, run: u32, lateness: Lateness) -> Option<GangLoss> {
        match task.state {
            TaskState::Starting(_) | TaskState::Running(_) if task.run != run => {
                Some(GangLoss::OtherRun)
            }
            TaskState::Starting(_) => lateness.is_late.then_some(GangLoss::NotStarted),
            TaskState::Stopping(_) => Some(GangLoss::Stopped),
            TaskState::Waiting => {
                let may_be_unknown = task.unverified && self.unverified_until.is_some();
                let may_come = may_be_unknown && task.run < run;
                if may_come {
                    lateness.is_late_for_unknown.then_some(GangLoss::NotFound)
                } else {
                    Some(GangLoss::NoRun)
                }
            }
            TaskState::Running(_) | TaskState::Done => None,
        }
    }

    /// Stops the members of a gang's run, without one of which it can't become whole.
    fn stop_gang(&mut self, missing: TaskId, run: u32, why: GangLoss, now: Millis) {
        let stopped =
            self.stop_matching_runs(missing.step.job, now, |task| task.step == missing.step);
        self.live_gangs.remove(&missing.step);
        self.events.push(Event::GangStopped {
            missing,
            run,
            why,
            stopped,
        });
    }
}

/// Returns the highest number of a run that is to go on.
fn newest_run(step: &Step) -> Option<u32> {
    let tasks = step.tasks.iter();
    let active = tasks.filter(|task| task.state.active_runner().is_some());
    active.map(|task| task.run).max()
}
