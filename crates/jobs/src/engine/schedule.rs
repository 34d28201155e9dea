//! A scheduling pass: ranks the steps with waiting tasks, and places, reserves and requests approvals
//! for them in that order.

use kspan_model::{Millis, Resources};

use super::{Engine, RunnerIx, rack_forecast::RackForecast, urgency::Urgency};
use crate::{
    id::{JobId, StepId},
    record::Phase,
};

/// A step with waiting tasks whose dependencies are completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReadyStep {
    urgency: Urgency,
    step: StepId,
    /// Whether the specification of the job is durable.
    is_durable: bool,
    /// Whether runners are reserved for the step while its tasks wait.
    is_reservable: bool,
    /// Whether the run time of the tasks depends on their rack.
    has_locality: bool,
}

/// The ready steps of a scheduling pass.
#[derive(Debug)]
struct ReadySteps {
    /// The steps, the most urgent first.
    steps: Vec<ReadyStep>,
    /// Steps that are about to become ready, the most urgent first.
    upcoming: Vec<(Urgency, StepId)>,
    /// Those of them that are ready, and wait for the runs of a previous owner.
    unverified: Vec<StepId>,
    /// Steps without room on any runner, the most urgent first.
    without_room: Vec<ReadyStep>,
    /// A job that can no longer meet its objective and was not reported yet.
    late_job: Option<JobId>,
}

impl Engine {
    /// Starts waiting tasks where resources allow, in order of urgency.
    pub fn schedule(&mut self, now: Millis) {
        if self.fenced || !self.is_confirmed_since_gap() {
            return;
        }
        self.release_held_starts(now);
        self.release_quiet_runners(now);
        let all_verified = self.are_all_runs_verified(now);
        self.settle_gangs(now);
        self.update_unknown_usage(all_verified, now);
        self.reserved.clear();
        self.verified_at = self.latest_unverified();
        let ReadySteps {
            steps: ready_steps,
            upcoming,
            unverified,
            without_room,
            late_job,
        } = self.ranked_ready_steps(all_verified, now);
        let steps = ready_steps.iter().map(|ready| ready.step);
        self.open_runners = self.runners_with_room(steps.chain(unverified), now);
        if ready_steps.iter().any(|ready| ready.has_locality) {
            self.forecast = self.new_forecast();
        }
        let mut without_room = without_room.into_iter().peekable();
        for ready in ready_steps {
            if self.forecast.is_active() {
                while let Some(ahead) = without_room.next_if(|ahead| *ahead < ready) {
                    self.claim_for_waiting(ahead.step);
                }
            }
            if ready.is_durable {
                self.place_step(ready.step, all_verified, now);
                self.keep_quiet_runner(ready.step, now);
            }
            if self.is_blocked_by_cap(ready.step) {
                // Runners and approvals would be kept from steps that may start.
                self.mark_blocked_by_cap(ready.step);
                continue;
            }
            if self.forecast.is_active() && !ready.has_locality {
                self.claim_for_waiting(ready.step);
            }
            if ready.urgency.is_overdue() {
                self.reserve_for_overdue(ready.step, now);
            } else if ready.is_reservable {
                self.reserve_for_large(ready.step, now);
            }
            self.request_approvals(ready.step, now);
        }
        for (_, step) in upcoming {
            if !self.is_blocked_by_cap(step) {
                self.request_approvals(step, now);
            }
        }
        self.reserved.clear();
        self.report_blocked_teams();
        self.forecast = RackForecast::default();
        self.report_late_job(late_job, now);
    }

    /// Returns the ready steps with waiting tasks, the most urgent first. Also removes jobs without
    /// such steps from the schedulable set. Steps whose tasks may all be running under a previous
    /// owner, or be started late by its orders, or that the cap of their team blocks, are left out: they would keep
    /// runners and approval calls from steps that may start. The first request approvals shortly before they may.
    fn ranked_ready_steps(&mut self, all_verified: bool, now: Millis) -> ReadySteps {
        let max_free = self.max_free(now);
        let share_unit = self.share_unit();
        let mut ready = Vec::new();
        let mut upcoming = Vec::new();
        let mut unverified = Vec::new();
        let mut without_room = Vec::new();
        let mut blocked = Vec::new();
        let mut late_job = None;
        let mut exhausted = Vec::new();
        for id in &self.schedulable {
            let job = self.jobs.get(id).filter(|job| job.phase == Phase::Active);
            let Some(job) = job else {
                exhausted.push(*id);
                continue;
            };
            let mut steps = job.ready_steps().peekable();
            let mut later = job.upcoming_steps().peekable();
            if steps.peek().is_none() && later.peek().is_none() {
                exhausted.push(*id);
                continue;
            }
            let is_durable = job.spec_batch <= self.batches.durable();
            let urgency = self.urgency(job, share_unit, now);
            if later.peek().is_some() {
                upcoming.extend(self.upcoming_steps(job, urgency, now));
            }
            if urgency.misses_objective() && job.is_late_report_due(now) {
                late_job = Some(*id);
            }
            let policy = &job.record.policy;
            for id in steps {
                let Some((step, spec)) = job.step(id) else {
                    continue;
                };
                if self.has_former_doubts() && Self::waits_for_former_start(step, spec) {
                    continue;
                }
                if !all_verified && !step.tasks.iter().any(|task| task.may_start(false, now)) {
                    if self
                        .verified_at
                        .is_some_and(|at| Self::is_approval_due(policy, at, now))
                    {
                        upcoming.push((urgency, id));
                        unverified.push(id);
                    }
                    continue;
                }
                if self.is_blocked_by_cap(id) {
                    blocked.push(id);
                    continue;
                }
                let is_overdue = self.is_overdue(step, spec, now);
                let is_reservable = self.is_reservable(spec, policy);
                let fits = spec.charged_resources().fits_in(max_free);
                let steps = if fits || is_overdue || is_reservable {
                    &mut ready
                } else {
                    &mut without_room
                };
                steps.push(ReadyStep {
                    urgency: urgency
                        .with_overdue(is_overdue)
                        .with_repeated_failures(step.fails_repeatedly()),
                    step: id,
                    is_durable,
                    is_reservable,
                    has_locality: self.has_locality(spec),
                });
            }
        }
        for id in exhausted {
            self.schedulable.remove(&id);
        }
        for id in blocked {
            self.mark_blocked_by_cap(id);
        }
        ready.sort_unstable();
        upcoming.sort_unstable();
        if ready.iter().any(|ready| ready.has_locality) {
            without_room.sort_unstable();
        }
        ReadySteps {
            steps: ready,
            upcoming,
            unverified,
            without_room,
            late_job,
        }
    }

    /// Returns the component-wise maximum of the free resources over all runners. A task that does
    /// not fit in it fits on no runner, so that a full cell is detected once rather than for each
    /// waiting step.
    fn max_free(&self, now: Millis) -> Resources {
        let durable = self.batches.durable();
        let accepting = self
            .runners
            .iter()
            .filter(|runner| runner.accepts_work(now, self.confirmed_at, durable));
        accepting.fold(Resources::ZERO, |max, runner| {
            max.component_max(runner.free())
        })
    }

    /// Returns the runners that accept work and have free resources for a task of at least one of the
    /// steps. In a full cell these are few, so that the steps need not look at all others.
    fn runners_with_room(&self, steps: impl Iterator<Item = StepId>, now: Millis) -> Vec<RunnerIx> {
        let sizes = steps.filter_map(|id| {
            let (_, spec) = self.jobs.get(&id.job)?.step(id)?;
            Some(spec.charged_resources())
        });
        let Some(smallest) = sizes.reduce(Resources::component_min) else {
            return Vec::new();
        };
        let durable = self.batches.durable();
        let has_room = |runner_ix: &RunnerIx| {
            let runner = &self.runners[runner_ix.0];
            smallest.fits_in(runner.free()) && runner.accepts_work(now, self.confirmed_at, durable)
        };
        (0..self.runners.len())
            .map(RunnerIx)
            .filter(has_room)
            .collect()
    }
}
