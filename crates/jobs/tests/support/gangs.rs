//! Gangs on simulated runners: members work from the moment when all of one run are present, end together, and wait
//! for a time only.

use std::collections::{BTreeMap, BTreeSet};

use kspan_jobs::{
    id::{StepId, TaskId},
    record::{FailedRun, ProgressRecord, TaskProgress},
    runner::EndKind,
    spec::JobSpec,
};
use kspan_model::Resources;
use rand::Rng;

use super::{Event, Hazard, Simulation, runner::GANG_WAIT_MS};

/// Largest number of members. So many fit on the two smallest runners.
const MAX_MEMBERS: u32 = 4;

/// One in so many members fails where members fail often.
const FAILURE_ODDS: u32 = 3;

/// Time for which an owner must have been at work, and have had an answer from each runner, to be blamed for a
/// member that waited in vain, in milliseconds.
const MIN_WORKING_TIME_MS: u64 = 2_000;

/// Time in which such an owner stops a run that it knows can't become whole, in milliseconds.
const MAX_REACTION_MS: u64 = 200;

/// Time in which an owner stops a listed member whose gang isn't whole, although runners have not answered it, in
/// milliseconds. Runners let members wait for longer.
const MAX_WAIT_FOR_RUNNERS_MS: u64 = GANG_WAIT_MS * 60 / 100 + MAX_REACTION_MS;

/// A member of a gang on an incarnation of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Member {
    runner: usize,
    incarnation: u64,
    task: TaskId,
    run: u32,
}

impl Simulation {
    /// Turns the steps of a job into gangs.
    pub(super) fn make_gangs(&mut self, spec: &mut JobSpec) {
        if !self.hazard.has_gangs() {
            return;
        }
        for step in &mut spec.steps {
            step.gang = true;
            step.count = self.hazard_rng.random_range(2..=MAX_MEMBERS);
            step.size = Resources::new(1_000, 1_000, 0);
            step.max_per_runner = None;
        }
    }

    /// Lets a member that has started wait for the others, or the gang end if it is the last one.
    pub(super) fn plan_gang(&mut self, runner: usize, task: TaskId, run: u32, length: u64) {
        self.started_members.insert((task, run));
        if self.hazard == Hazard::UpgradedGangs {
            let will_fail = self.hazard_rng.random_range(0..FAILURE_ODDS) == 0;
            self.runners[runner].set_will_fail(task, will_fail);
        }
        let members = self.present_members(task.step, run);
        if members.len() < self.checks.step_spec(task.step).count as usize {
            self.runners[runner].begin_wait(task);
            let incarnation = self.runners[runner].incarnation;
            let member = Member {
                runner,
                incarnation,
                task,
                run,
            };
            return self.push(GANG_WAIT_MS, Event::GangWaitOver(member));
        }
        for (at, member) in members {
            self.runners[at].begin_work(member);
        }
        let step = task.step;
        self.push(length, Event::GangEnds { step, run });
    }

    /// Ends all members of a run that is whole.
    pub(super) fn end_gang(&mut self, step: StepId, run: u32) {
        let members = self.present_members(step, run);
        if members.len() < self.checks.step_spec(step).count as usize {
            return;
        }
        let has_failed = members
            .iter()
            .any(|(at, member)| self.runners[*at].running[member].will_fail);
        for (at, member) in members {
            let how = match (self.runners[at].running[&member].will_fail, has_failed) {
                (true, _) => EndKind::Failed,
                (false, true) => EndKind::GangBroken,
                (false, false) => EndKind::Done,
            };
            self.runners[at].end_member(member, how, &mut self.checks);
        }
    }

    /// Ends the members at work whose gang has lost another one.
    pub(super) fn break_gangs(&mut self) {
        if !self.hazard.has_gangs() {
            return;
        }
        let mut broken = Vec::new();
        for (at, runner) in self.runners.iter().enumerate() {
            for (task, known) in &runner.running {
                let count = self.checks.step_spec(task.step).count as usize;
                let is_whole = self.present_members(task.step, known.run).len() == count;
                if known.is_at_work && !is_whole {
                    broken.push((at, *task));
                }
            }
        }
        for (at, task) in broken {
            self.runners[at].end_member(task, EndKind::GangBroken, &mut self.checks);
        }
    }

    /// Ends a member that has waited too long, and checks whether the owner should have stopped it.
    pub(super) fn end_wait(&mut self, member: Member) {
        let Member {
            runner,
            incarnation,
            task,
            run,
        } = member;
        let known = self.runners[runner].running.get(&task).copied();
        let is_current = self.runners[runner].incarnation == incarnation;
        let waiting = known.filter(|known| is_current && known.run == run && !known.is_at_work);
        if waiting.is_none_or(|known| known.stopping_until.is_some()) {
            return;
        }
        self.check_owner_knew(task, run);
        let checks = &mut self.checks;
        self.runners[runner].end_member(task, EndKind::GangIncomplete, checks);
    }

    /// Checks that the owner has ordered a stop of a member whose gang never became whole, if it must have known: one
    /// member never started, and all runners have answered this owner, or it has known for long enough that this one waits.
    fn check_owner_knew(&mut self, task: TaskId, run: u32) {
        let count = self.checks.step_spec(task.step).count;
        let mut members = (0..count).map(|index| task.step.task(index));
        let is_one_missing = members.any(|member| !self.started_members.contains(&(member, run)));
        let owner = &self.owners[self.newest()];
        let listed_since = owner.listed_since.get(&(task, run)).copied();
        let since = |at: Option<u64>| at.map_or(0, |at| self.now - at);
        let must_know = owner.alive
            && !owner.paused
            && since(owner.working_since) >= MIN_WORKING_TIME_MS
            && (since(owner.verified_since) >= MAX_REACTION_MS
                || since(listed_since) >= MAX_WAIT_FOR_RUNNERS_MS);
        let mut stops = owner.stops.iter().map(|sent| &sent.call);
        let is_stopped = stops.any(|stop| stop.task == task && stop.run == run);
        if is_one_missing && must_know && !is_stopped {
            let now = self.now;
            self.checks.report(format!(
                "{now}: alone: {task} run {run} waited in vain, and its owner did not stop it"
            ));
        }
    }

    /// Returns the members of a run that are on runners, with their runners.
    fn present_members(&self, step: StepId, run: u32) -> BTreeSet<(usize, TaskId)> {
        let runners = self.runners.iter().enumerate();
        let present = runners
            .filter(|(_, runner)| runner.is_up)
            .flat_map(|(at, runner)| {
                let members = runner.running.iter();
                let of_run =
                    members.filter(move |(task, known)| task.step == step && known.run == run);
                of_run.map(move |(task, _)| (at, *task))
            });
        present.collect()
    }
}

/// Moves the failures of all members of gangs to the first member of each, as earlier versions recorded them.
pub(super) fn record_as_earlier_version(progress: &mut ProgressRecord) {
    for occurrence in &mut progress.occurrences {
        let mut by_step: BTreeMap<u32, Vec<FailedRun>> = BTreeMap::new();
        for task in &mut occurrence.tasks {
            let failures = by_step.entry(task.step).or_default();
            failures.append(&mut task.failures);
        }
        for (step, failures) in by_step {
            let mut tasks = occurrence.tasks.iter_mut();
            let first = tasks.find(|task| task.step == step && task.index == 0);
            if let Some(first) = first {
                first.failures = failures;
                continue;
            }
            occurrence.tasks.push(TaskProgress {
                step,
                run: failures.iter().map(|failed| failed.run).max().unwrap_or(0),
                failures,
                ..TaskProgress::default()
            });
        }
    }
}
