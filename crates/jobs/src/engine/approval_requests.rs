//! Selection of the runners for which a step requests approval.
//!
//! The cost of an approval call grows with the number of runners that it names. Runners without
//! free resources are therefore left out, previously approved runners come first, and no more are
//! named than the waiting tasks are expected to need. The `approvals` module chooses the host that
//! sends the request.
//!
//! Load pattern: a gang whose call takes longer than the runners that it names stay free. Steps for
//! which runners are reserved therefore also name runners that are busy, to learn which of them
//! they may wait for, and renew the tickets of their reserved runners shortly before these have
//! room.

use std::cmp::Reverse;

use kspan_model::Millis;

use super::{
    ApprovalRequest, Engine, Order, RunnerIx,
    approvals::{PendingRequest, is_short},
    candidate::examined,
    contention::affordable_runners,
    job::{Job, Step},
    runner::Runner,
    startable::Startable,
};
use crate::{
    config::{ApprovalPolicy, Policy},
    id::StepId,
    spec::StepSpec,
};

/// Maximum number of runners in a request of a step that does not compete for room.
const MAX_RUNNERS_PER_REQUEST: usize = 40;

/// Minimum number of runners in one request, if as many are available.
pub(super) const MIN_RUNNERS_PER_REQUEST: usize = 4;

/// Maximum number of runners that the approval service accepts in one call.
pub(super) const MAX_RUNNERS_PER_CALL: usize = 100;

/// Time before the next attempt for a step without any candidate.
const NO_CANDIDATE_RETRY_DELAY: Millis = Millis(60);

/// Time before the next attempt for a step for which no host could send a request.
const NO_HOST_RETRY_DELAY: Millis = Millis(100);

/// Capacity to request for the waiting tasks, in percent of their needs. Some of it is taken by the
/// time the response arrives.
const REQUESTED_CAPACITY_PERCENT: u64 = 150;

/// The same for steps for which runners are reserved: they have to find enough runners at a time.
const RESERVABLE_CAPACITY_PERCENT: u64 = 400;

/// Capacity for which tickets are renewed, in percent of the needs: a reserved runner may be lost or
/// keep its present tasks for longer than expected.
const RENEWED_CAPACITY_PERCENT: u64 = 250;

/// Time by which an approval call may end before the reserved runners have room.
const RENEWAL_LEAD: Millis = Millis(300);

/// Maximum number of tasks for which the capacity of one runner counts.
const MAX_TASKS_PER_RUNNER: u64 = 1_000;

/// Reason to name a runner in a request, in the order in which runners are named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Reason {
    /// The ticket of a reserved runner has to be renewed.
    Renewal,
    /// The runner was approved before and has room now.
    Approved,
    /// The runner has room now.
    Unknown,
    /// The runner may be waited for if it is approved.
    Discovery,
}

/// A runner that a request may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ApprovalCandidate {
    reason: Reason,
    /// Whether the runner is outside the rack that the step's tasks prefer.
    is_remote: bool,
    is_suspect: bool,
    /// Room that a task of the step would take from large tasks.
    loss: u64,
    /// Number of tasks that the runner has room for.
    tasks: Reverse<u64>,
    pub(super) runner_ix: RunnerIx,
}

impl ApprovalCandidate {
    /// Returns the capacity that the runner is expected to add, in percent of a task.
    /// `approval_rate` is the expected rate of approvals, in percent.
    fn expected_percent(&self, approval_rate: u64) -> u64 {
        let is_known = self.reason <= Reason::Approved;
        self.tasks.0 * if is_known { 100 } else { approval_rate }
    }
}

impl Engine {
    /// Requests approvals for a step that lacks them for its waiting tasks.
    pub(super) fn request_approvals(&mut self, id: StepId, now: Millis) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let Some(policy) = job.record.policy.approval else {
            return;
        };
        let Some((step, _)) = job.step(id) else {
            return;
        };
        if step.waiting == 0 || step.approvals.pending.is_some() || now < step.approvals.not_before
        {
            return;
        }
        if !self.approval_hosts.has_free(now) {
            let Some((step, _)) = self.jobs.get_mut(&id.job).and_then(|job| job.step_mut(id))
            else {
                return;
            };
            step.approvals.not_before = now + NO_HOST_RETRY_DELAY;
            return;
        }
        let requested = self.approval_candidates(id, now);
        let duration = policy.call_time(requested.len());
        let reserved = if requested.is_empty() {
            None
        } else {
            self.approval_hosts.reserve(duration, now)
        };
        let retry = if requested.is_empty() {
            NO_CANDIDATE_RETRY_DELAY
        } else {
            NO_HOST_RETRY_DELAY
        };
        let Some((step, _)) = self.jobs.get_mut(&id.job).and_then(|job| job.step_mut(id)) else {
            return;
        };
        let Some((host, expected_wait)) = reserved else {
            step.approvals.not_before = now + retry;
            return;
        };
        step.approvals.pending = Some(PendingRequest {
            runners: requested.clone(),
            expected_at: now + expected_wait,
        });
        self.orders
            .push_back(Order::RequestApprovals(ApprovalRequest {
                step: id,
                runners: requested,
                host,
                expected_wait,
            }));
    }

    /// Returns the runners to name in a request, as many as the waiting tasks are expected to need.
    fn approval_candidates(&self, id: StepId, now: Millis) -> Vec<RunnerIx> {
        let Some(job) = self.jobs.get(&id.job) else {
            return Vec::new();
        };
        let Some((step, spec)) = job.step(id) else {
            return Vec::new();
        };
        let policy = &job.record.policy;
        if self.is_reservable(spec, policy)
            && self.reserved_start(id).is_none()
            && self.is_reservation_limit_reached(&policy.service)
        {
            // More urgent steps wait for the same runners; calls for this one would delay theirs.
            return Vec::new();
        }
        let is_verified_soon = self
            .verified_at
            .is_none_or(|at| Self::is_approval_due(policy, at, now));
        let startable = Startable::new(step, spec, is_verified_soon, now);
        if startable.count() == 0 {
            return Vec::new();
        }
        let need = self.approval_need(id, job, step, spec, startable, now);
        let mut candidates = self.renewals(id, job, need);
        // A renewal names further runners, but they are no reason for a request of their own.
        if !need.starts_soon || !candidates.is_empty() {
            candidates.extend(self.candidates_with_room(id, job, need, now));
        }
        if need.discovers {
            candidates.extend(self.candidates_without_room(id, job, now));
        }
        candidates.sort_unstable();
        let approval_rate = u64::from(self.approval_rates.expected_percent(&job.record.queue));
        if !self.is_reservable(spec, policy) {
            let with_room_percent = candidates
                .iter()
                .filter(|candidate| candidate.reason != Reason::Discovery)
                .map(|candidate| candidate.expected_percent(approval_rate))
                .fold(0, u64::saturating_add);
            if Self::is_contended(step, with_room_percent, need.percent) {
                let with_room = (&candidates[..], with_room_percent);
                return self.contended_runners(id, job, with_room, startable, now);
            }
        }
        need.select(&candidates, approval_rate)
    }

    /// Returns the reserved runners whose tickets have to be renewed.
    fn renewals(&self, id: StepId, job: &Job, need: ApprovalNeed) -> Vec<ApprovalCandidate> {
        if !need.starts_soon {
            return Vec::new();
        }
        let renewal = |runner_ix| {
            self.approval_candidate(runner_ix, Reason::Renewal, id, job, need.renews_at)
        };
        let open = |runner_ix: &RunnerIx| self.is_open_for(*runner_ix, id, need.startable);
        self.reserved_for(id)
            .filter(open)
            .filter_map(renewal)
            .collect()
    }

    /// Returns the runners that have room for the step; beside a renewal, only those approved
    /// before that nobody has reserved.
    fn candidates_with_room(
        &self,
        id: StepId,
        job: &Job,
        need: ApprovalNeed,
        now: Millis,
    ) -> Vec<ApprovalCandidate> {
        let candidate = |at: usize| {
            let runner_ix = self.open_runners[at];
            let reason = self.reason_with_room(runner_ix, id, job, need.startable, now)?;
            let is_spare = reason == Reason::Approved && !self.is_reserved(runner_ix);
            if need.starts_soon && !is_spare {
                return None;
            }
            let candidate = self.approval_candidate(runner_ix, reason, id, job, now)?;
            let tasks = Reverse(need.startable.max_on_runner(candidate.tasks.0));
            Some(ApprovalCandidate { tasks, ..candidate })
        };
        examined(self.open_runners.len(), id, now)
            .filter_map(candidate)
            .collect()
    }

    /// Returns the runners without room that the step may wait for.
    fn candidates_without_room(
        &self,
        id: StepId,
        job: &Job,
        now: Millis,
    ) -> Vec<ApprovalCandidate> {
        examined(self.runners.len(), id, now)
            .map(RunnerIx)
            .filter(|runner_ix| self.may_discover(*runner_ix, id, job, now))
            .filter_map(|runner_ix| {
                self.approval_candidate(runner_ix, Reason::Discovery, id, job, now)
            })
            .collect()
    }

    /// Returns what a request of the step has to bring.
    fn approval_need(
        &self,
        id: StepId,
        job: &Job,
        step: &Step,
        spec: &StepSpec,
        startable: Startable,
        now: Millis,
    ) -> ApprovalNeed {
        let policy = &job.record.policy;
        let waiting = startable.count();
        let is_reservable = self.is_reservable(spec, policy);
        let percent = waiting
            * if is_reservable {
                RESERVABLE_CAPACITY_PERCENT
            } else {
                REQUESTED_CAPACITY_PERCENT
            };
        let call_time = Self::approval_time(step, policy);
        let renews_at = now + call_time + RENEWAL_LEAD;
        let starts_at = self.reserved_start(id);
        let known_percent = if is_reservable {
            100 * self.known_capacity(step, spec, policy, now)
        } else {
            0
        };
        let starts_soon = is_reservable && starts_at.is_some_and(|at| at <= renews_at);
        ApprovalNeed {
            startable,
            renews_at,
            starts_soon,
            has_plan: is_reservable && starts_at.is_some_and(|at| at <= renews_at + call_time),
            discovers: self.is_overdue(step, spec, now)
                || is_reservable && !starts_soon && known_percent < percent,
            known_percent,
            percent,
            spare_percent: waiting * RENEWED_CAPACITY_PERCENT,
            min_runners: policy.approval.map_or(0, min_runners),
        }
    }

    /// Returns how many waiting tasks of the step the approved runners have room for when empty.
    fn known_capacity(&self, step: &Step, spec: &StepSpec, policy: &Policy, now: Millis) -> u64 {
        let size = spec.charged_resources();
        let approved = step.approvals.approved_runners();
        let accepting = approved
            .map(|runner_ix| &self.runners[runner_ix.0])
            .filter(|runner| self.accepts(runner, spec, policy, now));
        accepting
            .map(|runner| {
                size.count_in(runner.entry.capacity)
                    .min(step.waiting as u64)
            })
            .sum()
    }

    /// Returns why a request names a runner that has room; `None` if the runner has none for the
    /// step.
    fn reason_with_room(
        &self,
        runner_ix: RunnerIx,
        id: StepId,
        job: &Job,
        startable: Startable,
        now: Millis,
    ) -> Option<Reason> {
        let (step, spec) = job.step(id)?;
        let runner = &self.runners[runner_ix.0];
        let has_room = self.is_open_for(runner_ix, id, startable)
            && self.can_place(runner, step, spec, &job.record.policy, now)
            && spec
                .charged_resources()
                .fits_in(self.usable_resources(runner_ix, id, spec, now));
        let is_known = step.approvals.was_approved(runner_ix);
        has_room.then_some(if is_known {
            Reason::Approved
        } else {
            Reason::Unknown
        })
    }

    /// Returns whether a request may name a runner without room that was never approved or denied.
    fn may_discover(&self, runner_ix: RunnerIx, id: StepId, job: &Job, now: Millis) -> bool {
        let Some((step, spec)) = job.step(id) else {
            return false;
        };
        let policy = &job.record.policy;
        let runner = &self.runners[runner_ix.0];
        !spec.charged_resources().fits_in(runner.free())
            && self.could_accept_when_empty(runner, spec, policy, now)
            && (self.is_reservable(spec, policy) || !self.is_reserved_for_other(runner_ix, id))
            && (spec.long_running || !step.approvals.was_approved(runner_ix))
    }

    /// Returns a runner as a candidate, unless it was denied or its ticket is valid at `valid_at`.
    fn approval_candidate(
        &self,
        runner_ix: RunnerIx,
        reason: Reason,
        id: StepId,
        job: &Job,
        valid_at: Millis,
    ) -> Option<ApprovalCandidate> {
        let (step, spec) = job.step(id)?;
        if step.approvals.is_denied(runner_ix)
            || step.approvals.ticket(runner_ix, valid_at).is_some()
        {
            return None;
        }
        let runner = &self.runners[runner_ix.0];
        let room = match reason {
            Reason::Approved | Reason::Unknown => runner.free(),
            Reason::Renewal | Reason::Discovery => runner.entry.capacity,
        };
        let tasks = spec
            .charged_resources()
            .count_in(room)
            .min(u64::from(step.remaining_on(runner_ix, spec)))
            .min(MAX_TASKS_PER_RUNNER);
        (tasks > 0).then(|| ApprovalCandidate {
            reason,
            is_remote: self.is_outside_settled_rack(runner_ix, step, spec),
            is_suspect: runner.health.is_suspect(),
            loss: self.placement_loss(runner, spec),
            tasks: Reverse(tasks),
            runner_ix,
        })
    }

    /// Returns the room that a task of the step would take from the large tasks in demand.
    fn placement_loss(&self, runner: &Runner, spec: &StepSpec) -> u64 {
        let Some(shapes) = self.demand.shapes(&runner.entry.service) else {
            return 0;
        };
        let free = runner.free();
        shapes.loss(free, free.saturating_sub(spec.charged_resources()))
    }
}

/// Returns the number of runners that a request names at least. Short calls take little of a host's time,
/// and a second call would delay the step by more than a few further runners do.
fn min_runners(approval: ApprovalPolicy) -> usize {
    if is_short(approval.call_time(MIN_RUNNERS_PER_REQUEST)) {
        let affordable = affordable_runners(approval) / 2;
        affordable.clamp(MIN_RUNNERS_PER_REQUEST, MAX_RUNNERS_PER_REQUEST)
    } else {
        MIN_RUNNERS_PER_REQUEST
    }
}

/// What an approval request of a step has to bring.
#[derive(Clone, Copy, Debug)]
struct ApprovalNeed {
    /// Tasks that may start now.
    startable: Startable,
    /// Time at which a ticket requested now has to be valid.
    renews_at: Millis,
    /// Whether the reserved runners are expected to have room by then.
    starts_soon: bool,
    /// Whether the reserved runners are expected to have room before another call could be answered
    /// and its runners used.
    has_plan: bool,
    /// Whether runners without room are named too.
    discovers: bool,
    /// Capacity of the runners that were approved before, when empty, in percent of a task.
    known_percent: u64,
    /// Wanted capacity, in percent of a task.
    percent: u64,
    /// Wanted capacity of a request that renews tickets, in percent of a task.
    spare_percent: u64,
    /// Number of runners named at least, if as many are available.
    min_runners: usize,
}

impl ApprovalNeed {
    /// Selects the runners to name from candidates in order of preference, until the expected
    /// capacity suffices. `approval_rate` is the expected rate of approvals, in percent.
    fn select(&self, candidates: &[ApprovalCandidate], approval_rate: u64) -> Vec<RunnerIx> {
        let mut requested = Vec::new();
        let mut expected_percent = 0;
        for candidate in candidates {
            if requested.len() >= MAX_RUNNERS_PER_REQUEST
                || self.is_met(candidate.reason, expected_percent, requested.len())
            {
                break;
            }
            expected_percent += candidate.expected_percent(approval_rate);
            requested.push(candidate.runner_ix);
        }
        requested
    }

    /// Returns whether the expected capacity suffices without further runners of a reason.
    fn is_met(&self, reason: Reason, expected_percent: u64, requested: usize) -> bool {
        let has_min = requested >= self.min_runners;
        let meets_need = expected_percent >= self.percent;
        let meets_need_with_known = expected_percent + self.known_percent >= self.percent;
        match reason {
            Reason::Renewal => false,
            Reason::Approved if self.starts_soon => expected_percent >= self.spare_percent,
            Reason::Unknown if self.has_plan => meets_need_with_known,
            Reason::Approved | Reason::Unknown => has_min && meets_need,
            Reason::Discovery => meets_need_with_known,
        }
    }
}
