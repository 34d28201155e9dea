//! Selection of the runners for which a step requests approval.
//!
//! The cost of an approval call grows with the number of runners that it names. Runners without
//! free resources are therefore left out, previously approved runners come first, and no more are
//! named than the waiting tasks are expected to need. The `approvals` module chooses the host that
//! sends the request.

use std::cmp::Reverse;

use kspan_model::{Millis, Resources};

use super::{ApprovalRequest, Engine, Order, RunnerIx};
use crate::id::StepId;

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

    /// Returns the runners to name in a request: those with free resources, previously approved
    /// ones first, as many as the waiting tasks are expected to need.
    fn approval_candidates(&self, id: StepId, now: Millis) -> Vec<RunnerIx> {
        let Some(job) = self.jobs.get(&id.job) else {
            return Vec::new();
        };
        let Some((step, spec)) = job.step(id) else {
            return Vec::new();
        };
        let rate = u64::from(self.approval_rates.expected_percent(&job.record.queue));
        let policy = &job.record.policy;
        let is_overdue = self.is_overdue(step, spec, now);
        let mut candidates = Vec::new();
        for (ix, runner) in self.runners.iter().enumerate() {
            let runner_ix = RunnerIx(ix);
            let fits = self.can_place(runner, spec, policy, now);
            // Runners are reserved for overdue tasks, so approvals are requested before they have
            // free resources.
            let usable = (fits
                || is_overdue && self.could_accept_when_empty(runner, spec, policy, now))
                && !self.reserved.contains(&runner_ix)
                && !step.approvals.is_denied(runner_ix)
                && step.approvals.ticket(runner_ix, now).is_none();
            let step_tasks = step.tasks_by_runner.get(&runner_ix).copied().unwrap_or(0);
            let remaining = spec
                .max_per_runner
                .unwrap_or(u32::MAX)
                .saturating_sub(step_tasks);
            let capacity = if fits {
                runner.free()
            } else {
                runner.entry.capacity
            };
            let tasks = max_tasks_in(capacity, spec.charged_resources()).min(u64::from(remaining));
            if usable && tasks > 0 {
                let approved_before = step.approvals.was_approved(runner_ix);
                let suspect = runner.health.is_suspect();
                candidates.push((!fits, !approved_before, suspect, Reverse(tasks), runner_ix));
            }
        }
        candidates.sort_unstable();
        let needed_percent = step.waiting as u64 * REQUESTED_CAPACITY_PERCENT;
        let mut requested = Vec::new();
        let mut expected_percent = 0;
        for (_, is_new, _, tasks, runner_ix) in candidates {
            let enough =
                expected_percent >= needed_percent && requested.len() >= MIN_RUNNERS_PER_REQUEST;
            if enough || requested.len() >= MAX_RUNNERS_PER_REQUEST {
                break;
            }
            expected_percent += tasks.0 * if is_new { rate } else { 100 };
            requested.push(runner_ix);
        }
        requested
    }
}

fn max_tasks_in(free: Resources, size: Resources) -> u64 {
    let by = |free: u64, size: u64| free.checked_div(size).unwrap_or(u64::MAX);
    by(free.cpu_milli, size.cpu_milli)
        .min(by(free.memory_mib, size.memory_mib))
        .min(by(free.accelerators, size.accelerators))
        .min(1_000)
}
