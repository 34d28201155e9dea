//! Runs of gangs that can't become whole.
//!
//! The members of a gang work only together, and a runner ends a member that has waited too long for the
//! others. Until then its room is lost. The owner therefore stops the members of a run as soon as it knows that
//! one of them will never be there, whatever the reason. This module alone decides that, from the states of the
//! members: a member whose start may still succeed, or that a runner may have which hasn't answered since a
//! takeover, ends nothing.
//!
//! The start order of a member is sent again and again for a part of the time that runners let the others wait, as
//! it is idempotent and the work of a whole gang depends on it.

use derive_more::Display;
use kspan_model::Millis;

use super::{
    Engine, Event,
    job::{Step, Task, TaskState},
};
use crate::{
    id::{StepId, TaskId},
    record::Phase,
};

/// Part of the time that runners let members wait, for which the start order of a member is sent, in percent.
const START_TIME_PERCENT: u64 = 50;

/// Part of that time after which a run is stopped if a member has not started, in percent. It leaves time for the
/// last attempt and for the stops.
const MAX_WAIT_PERCENT: u64 = 60;

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
        let Some((step, _)) = active.and_then(|job| job.step(id)) else {
            self.live_gangs.remove(&id);
            return;
        };
        let Some(run) = newest_run(step) else {
            self.live_gangs.remove(&id);
            return;
        };
        if let Some((index, why)) = self.gang_loss(step, run, now) {
            self.stop_gang(id.task(index), run, why, now);
        }
    }

    /// Returns the first member without which a run can't become whole, and why it isn't there.
    fn gang_loss(&self, step: &Step, run: u32, now: Millis) -> Option<(u32, GangLoss)> {
        let max_wait = self.part_of_gang_wait(MAX_WAIT_PERCENT);
        let present = step
            .tasks
            .iter()
            .filter(|task| matches!(task.state, TaskState::Running(_)));
        let first = present.map(|task| task.state_since).min();
        let is_late = first.is_some_and(|first| now >= first + max_wait);
        let mut members = (0..).zip(step.tasks.iter());
        members.find_map(|(index, task)| Some((index, self.member_loss(task, run, is_late)?)))
    }

    /// Returns why a member will never be in a run; `None` if it is there or may come.
    fn member_loss(&self, task: &Task, run: u32, is_late: bool) -> Option<GangLoss> {
        match task.state {
            TaskState::Starting(_) | TaskState::Running(_) if task.run != run => {
                Some(GangLoss::OtherRun)
            }
            TaskState::Starting(_) => is_late.then_some(GangLoss::NotStarted),
            TaskState::Stopping(_) => Some(GangLoss::Stopped),
            TaskState::Waiting => {
                let may_be_unknown = task.unverified && self.unverified_until.is_some();
                let may_come = may_be_unknown && task.run < run;
                (!may_come).then_some(GangLoss::NoRun)
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
