//! Which wait holds each task that could run and doesn't, since when, and until when at the latest.
//!
//! Failure pattern: a task waits for something that never shows, such as the answer of a runner that was lost, and
//! its job has nothing running meanwhile. Only the worst case ends the wait.

use derive_more::Display;
use kspan_model::{Millis, Name};
use rustc_hash::FxHashMap;

use super::{Engine, Event, Runner, RunnerIx, job::Job, task::Task};
use crate::id::TaskId;

/// Interval at which the tasks that are held are looked up.
const REPORT_INTERVAL: Millis = Millis(500);

/// Time after which a wait is reported.
const MIN_REPORTED_HOLD: Millis = Millis(1_000);

/// What keeps a task from starting.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum HoldCause {
    /// The runner of its run is silent, and the runner's lease may last.
    #[display("lease of a silent runner")]
    SilentRunner,
    /// The start of its run got no answer, and the next incarnation of the silent runner may carry it out.
    #[display("start in doubt")]
    StartInDoubt,
    /// A previous owner may have ordered a run that nobody has listed.
    #[display("run of a previous owner")]
    FormerRun,
    /// A start that a previous owner ordered got no answer.
    #[display("start in doubt by a previous owner")]
    FormerStart,
    /// A run that should not exist is being stopped.
    #[display("unwanted run")]
    UnwantedRun,
    /// It is not known yet whether earlier runs crashed their runners.
    #[display("possible crash")]
    PossibleCrash,
}

impl HoldCause {
    /// All causes.
    pub const ALL: [Self; 6] = [
        Self::SilentRunner,
        Self::StartInDoubt,
        Self::FormerRun,
        Self::FormerStart,
        Self::UnwantedRun,
        Self::PossibleCrash,
    ];
}

/// The wait that holds a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Task id.
    pub task: TaskId,
    /// What the task waits for.
    pub cause: HoldCause,
    /// Runner that it concerns, if it is one.
    pub runner: Option<Name>,
    /// Begin of the wait.
    pub since: Millis,
    /// Time at which the wait ends at the latest; `None` if it lasts until the runner answers.
    pub until: Option<Millis>,
}

/// Waits that have been reported.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportedHolds {
    causes: FxHashMap<TaskId, HoldCause>,
    latest: Option<Millis>,
}

impl Engine {
    /// Returns the waits that hold tasks which could run otherwise.
    pub fn holds(&self, now: Millis) -> Vec<Hold> {
        let mut holds = Vec::new();
        for (ix, runner) in self.runners.iter().enumerate() {
            if !runner.dead && runner.silent_since.is_some() {
                self.add_holds_of_silent_runner(RunnerIx(ix), runner, now, &mut holds);
            }
        }
        for id in &self.schedulable {
            if let Some(job) = self.jobs.get(id) {
                self.add_holds_of_job(job, now, &mut holds);
            }
        }
        holds.sort_unstable_by_key(|hold| hold.task);
        holds
    }

    fn add_holds_of_silent_runner(
        &self,
        runner_ix: RunnerIx,
        runner: &Runner,
        now: Millis,
        holds: &mut Vec<Hold>,
    ) {
        let in_doubt = runner.runs_beyond_lease(&self.cfg, now);
        let longest_doubt = runner.latest_inherited_lease_end(&self.cfg);
        for (task, run) in runner.runs.keys().copied() {
            let job = self.jobs.get(&task.step.job);
            let step = job.and_then(|job| job.step(task.step));
            let known = step.and_then(|(step, _)| step.tasks.get(task.index as usize));
            if known.is_none_or(|known| known.run != run || known.state.runner() != Some(runner_ix))
            {
                continue;
            }
            let is_in_doubt = in_doubt.binary_search(&(task, run)).is_ok();
            let (cause, until) = if is_in_doubt {
                (HoldCause::StartInDoubt, Some(longest_doubt))
            } else {
                (HoldCause::SilentRunner, runner.lease_end(&self.cfg))
            };
            holds.push(Hold {
                task,
                cause,
                runner: Some(runner.entry.id.clone()),
                since: runner.silent_since.unwrap_or(now),
                until,
            });
        }
    }

    fn add_holds_of_job(&self, job: &Job, now: Millis, holds: &mut Vec<Hold>) {
        for id in job.ready_steps() {
            let Some((step, _)) = job.step(id) else {
                continue;
            };
            for (index, task) in (0..).zip(step.tasks.iter()) {
                let all_verified = self.unverified_until.is_none();
                if task.is_waiting() && !task.may_start(all_verified, now) {
                    holds.extend(self.hold_of_waiting(id.task(index), task));
                }
            }
        }
    }

    /// Returns the wait that holds a task without a run.
    fn hold_of_waiting(&self, id: TaskId, task: &Task) -> Option<Hold> {
        let hold = |cause, runner, since, until| Hold {
            task: id,
            cause,
            runner,
            since,
            until,
        };
        if let Some(orphan) = task.orphan {
            let runner = self.runners[orphan.runner_ix.0].entry.id.clone();
            let since = task.state_since;
            return Some(hold(HoldCause::UnwantedRun, Some(runner), since, None));
        }
        if task.is_doubted {
            let (since, until) = self.former_doubts.times();
            return Some(hold(HoldCause::FormerStart, None, since, Some(until)));
        }
        if task.may_run_unseen() {
            let until = self.latest_unverified()?;
            return Some(hold(
                HoldCause::FormerRun,
                None,
                self.recovered_at,
                Some(until),
            ));
        }
        let until = task.latest_settling();
        Some(hold(
            HoldCause::PossibleCrash,
            None,
            task.state_since,
            Some(until),
        ))
    }

    /// Reports the waits that have lasted for a while, each once.
    pub(super) fn report_holds(&mut self, now: Millis) {
        let latest = self.reported_holds.latest;
        if latest.is_some_and(|latest| now < latest + REPORT_INTERVAL) {
            return;
        }
        self.reported_holds.latest = Some(now);
        let mut holds = self.holds(now);
        holds.retain(|hold| now >= hold.since + MIN_REPORTED_HOLD);
        let causes = holds.iter().map(|hold| (hold.task, hold.cause)).collect();
        let before = std::mem::replace(&mut self.reported_holds.causes, causes);
        holds.retain(|hold| before.get(&hold.task) != Some(&hold.cause));
        let held = holds.into_iter().map(|hold| Event::TaskHeld {
            waited: now.saturating_sub(hold.since),
            left: hold.until.map(|until| until.saturating_sub(now)),
            hold,
        });
        self.events.extend(held);
    }
}
