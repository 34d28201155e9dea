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
    job::{Job, Step},
    runner::Runner,
};
use crate::{id::StepId, spec::StepSpec};

/// Maximum number of runners in one request.
const MAX_RUNNERS_PER_REQUEST: usize = 40;

/// Minimum number of runners in one request, if as many are available.
const MIN_RUNNERS_PER_REQUEST: usize = 4;

/// Time before the next attempt for a step without any candidate.
const NO_CANDIDATE_RETRY_DELAY: Millis = Millis(60);

/// Time before the next attempt for a step for which no host could send a request.
const NO_HOST_RETRY_DELAY: Millis = Millis(100);

/// Capacity to request for the waiting tasks, in percent of their needs. Some of it is taken by the
/// time the response arrives.
const REQUESTED_CAPACITY_PERCENT: u64 = 150;

/// The same for steps for which runners are reserved: they have to find enough runners at a time.
const RESERVABLE_CAPACITY_PERCENT: u64 = 250;

/// Time by which an approval call may end before the reserved runners have room.
const RENEWAL_LEAD: Millis = Millis(300);

/// Maximum number of tasks for which the capacity of one runner counts.
const MAX_TASKS_PER_RUNNER: u64 = 1_000;

/// Reason to name a runner in a request, in the order in which runners are named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reason {
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
struct ApprovalCandidate {
    reason: Reason,
    is_suspect: bool,
    /// Room that a task of the step would take from large tasks.
    loss: u64,
    /// Number of tasks that the runner has room for.
    tasks: Reverse<u64>,
    runner_ix: RunnerIx,
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
        if step.waiting == 0 || step.approvals.request_in_flight || now < step.approvals.not_before
        {
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
        step.approvals.request_in_flight = true;
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
        let need = self.approval_need(id, job, step, spec, now);
        let candidates = (0..self.runners.len()).map(RunnerIx);
        let mut candidates: Vec<ApprovalCandidate> = candidates
            .filter_map(|runner_ix| self.approval_candidate(runner_ix, id, job, need, now))
            .collect();
        candidates.sort_unstable();
        let rate = u64::from(self.approval_rates.expected_percent(&job.record.queue));
        let mut requested = Vec::new();
        let mut expected_percent = 0;
        for candidate in candidates {
            let has_min = requested.len() >= MIN_RUNNERS_PER_REQUEST;
            let is_enough = match candidate.reason {
                Reason::Renewal => false,
                Reason::Approved => has_min && expected_percent >= need.percent,
                Reason::Unknown if need.has_plan => {
                    expected_percent + need.known_percent >= need.percent
                }
                Reason::Unknown => has_min && expected_percent >= need.percent,
                Reason::Discovery => expected_percent + need.known_percent >= need.percent,
            };
            if is_enough || requested.len() >= MAX_RUNNERS_PER_REQUEST {
                break;
            }
            let is_known = candidate.reason <= Reason::Approved;
            expected_percent += candidate.tasks.0 * if is_known { 100 } else { rate };
            requested.push(candidate.runner_ix);
        }
        requested
    }

    /// Returns what a request of the step has to bring.
    fn approval_need(
        &self,
        id: StepId,
        job: &Job,
        step: &Step,
        spec: &StepSpec,
        now: Millis,
    ) -> ApprovalNeed {
        let policy = &job.record.policy;
        let waiting = step.waiting as u64;
        let is_reservable = self.is_reservable(spec, policy);
        let call_time = policy
            .approval
            .map_or(Millis::ZERO, |approval| approval.call_time(step.waiting));
        let renews_at = now + call_time + RENEWAL_LEAD;
        let starts_at = self.reserved_start(id);
        let size = spec.charged_resources();
        let known: u64 = step
            .approvals
            .approved_runners()
            .map(|runner_ix| &self.runners[runner_ix.0])
            .filter(|runner| self.accepts(runner, spec, policy, now))
            .map(|runner| size.count_in(runner.entry.capacity).min(waiting))
            .sum();
        ApprovalNeed {
            is_early: is_reservable || self.is_overdue(step, spec, now),
            is_reservable,
            renews_at,
            has_plan: is_reservable && starts_at.is_some_and(|at| at <= renews_at + call_time),
            starts_soon: is_reservable && starts_at.is_some_and(|at| at <= renews_at),
            known_percent: if is_reservable { known * 100 } else { 0 },
            percent: waiting
                * if is_reservable {
                    RESERVABLE_CAPACITY_PERCENT
                } else {
                    REQUESTED_CAPACITY_PERCENT
                },
        }
    }

    fn approval_candidate(
        &self,
        runner_ix: RunnerIx,
        id: StepId,
        job: &Job,
        need: ApprovalNeed,
        now: Millis,
    ) -> Option<ApprovalCandidate> {
        let (step, spec) = job.step(id)?;
        let policy = &job.record.policy;
        let runner = &self.runners[runner_ix.0];
        let size = spec.charged_resources();
        let is_reserved = self.has_reservation(runner_ix, id);
        let renews = need.is_reservable && is_reserved && need.starts_soon;
        let valid_at = if renews { need.renews_at } else { now };
        if step.approvals.is_denied(runner_ix)
            || step.approvals.ticket(runner_ix, valid_at).is_some()
        {
            return None;
        }
        let usable = self.usable_resources(runner_ix, id, spec, now);
        let fits = size.fits_in(usable) && self.can_place(runner, spec, policy, now);
        let is_early = need.is_early && self.could_accept_when_empty(runner, spec, policy, now);
        let was_approved = step.approvals.was_approved(runner_ix);
        let reason = match (was_approved, fits) {
            (true, _) if renews => Reason::Renewal,
            // The renewals of the reserved runners are about to suffice.
            _ if need.starts_soon => return None,
            (true, true) => Reason::Approved,
            (false, true) => Reason::Unknown,
            (true, false) if need.is_reservable => return None,
            _ if is_early && (need.is_reservable || !self.is_reserved_for_other(runner_ix, id)) => {
                Reason::Discovery
            }
            _ => return None,
        };
        let room = if fits { usable } else { runner.entry.capacity };
        let tasks = size
            .count_in(room)
            .min(u64::from(step.remaining_on(runner_ix, spec)))
            .min(MAX_TASKS_PER_RUNNER);
        (tasks > 0).then(|| ApprovalCandidate {
            reason,
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

/// What an approval request of a step has to bring.
#[derive(Clone, Copy, Debug)]
struct ApprovalNeed {
    /// Whether runners without room are named too.
    is_early: bool,
    is_reservable: bool,
    /// Time at which a ticket requested now has to be valid.
    renews_at: Millis,
    /// Whether the reserved runners are expected to have room before another call could be answered
    /// and its runners used.
    has_plan: bool,
    /// Whether the reserved runners are expected to have room by then.
    starts_soon: bool,
    /// Capacity of the runners that were approved before, when empty, in percent of a task.
    known_percent: u64,
    /// Wanted capacity, in percent of a task.
    percent: u64,
}
