//! Which runners are asked about before a step's tasks start.
//!
//! Answers the load pattern in which a call for approvals costs more the more runners it names:
//! runners without room are left out, known ones go first, and no more are named than the waiting
//! tasks are expected to need. Who asks is decided in `advice`.

use std::cmp::Reverse;

use kspan_model::{Millis, Resources};

use super::{ApprovalRequest, Engine, Order, RunnerIx};
use crate::id::StepId;

/// Most runners that one call for approvals asks about.
const MOST_ASKED: usize = 40;

/// Fewest runners that one call for approvals asks about, where there are as many.
const FEWEST_ASKED: usize = 4;

/// Time after which a step without any runner to ask about is looked at again.
const NO_ROOM_RETRY: Millis = Millis(60);

/// Time after which a step is asked about again that no host could ask about.
const NO_ADVISOR_RETRY: Millis = Millis(100);

/// Room that is asked about for each waiting task, in percent of what it needs: some of it is gone
/// when the answer comes.
const SPARE_PERCENT: u64 = 150;

impl Engine {
    /// Asks which runners may run a step, where approvals are missing for tasks that wait.
    pub(super) fn ask_for_approvals(&mut self, id: StepId, now: Millis) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let Some(policy) = job.record.policy.approval else {
            return;
        };
        let Some((step, _)) = job.step(id) else {
            return;
        };
        if step.waiting == 0 || step.approvals.asking || now < step.approvals.not_before {
            return;
        }
        let asked = self.runners_to_ask(id, now);
        let call = policy.call_time(asked.len());
        let taken = if asked.is_empty() {
            None
        } else {
            self.advisors.take(call, now)
        };
        let retry = if asked.is_empty() {
            NO_ROOM_RETRY
        } else {
            NO_ADVISOR_RETRY
        };
        let Some((step, _)) = self.jobs.get_mut(&id.job).and_then(|job| job.step_mut(id)) else {
            return;
        };
        let Some((host, expected_wait)) = taken else {
            step.approvals.not_before = now + retry;
            return;
        };
        step.approvals.asking = true;
        self.orders
            .push_back(Order::RequestApprovals(ApprovalRequest {
                step: id,
                runners: asked,
                host,
                expected_wait,
            }));
    }

    /// Returns the runners to ask about: those with room, the approved ones first, as many as
    /// the waiting tasks are expected to need.
    fn runners_to_ask(&self, id: StepId, now: Millis) -> Vec<RunnerIx> {
        let Some(job) = self.jobs.get(&id.job) else {
            return Vec::new();
        };
        let Some((step, spec)) = job.step(id) else {
            return Vec::new();
        };
        let rate = u64::from(self.approval_rates.expect(&job.record.queue));
        let policy = &job.record.policy;
        let is_overdue = self.is_overdue(step, spec, now);
        let mut candidates = Vec::new();
        for (ix, runner) in self.runners.iter().enumerate() {
            let runner_ix = RunnerIx(ix);
            let fits = self.fits(runner, spec, policy, now);
            // An overdue task gets room kept for it, so approvals are worth having before.
            let usable = (fits || is_overdue && self.could_take(runner, spec, policy, now))
                && !self.reserved.contains(&runner_ix)
                && !step.approvals.is_denied(runner_ix)
                && step.approvals.ticket(runner_ix, now).is_none();
            let there = step.on_runner.get(&runner_ix).copied().unwrap_or(0);
            let more = spec
                .max_per_runner
                .unwrap_or(u32::MAX)
                .saturating_sub(there);
            let room = if fits {
                runner.free()
            } else {
                runner.entry.capacity
            };
            let tasks = room_for(room, spec.charged_resources()).min(u64::from(more));
            if usable && tasks > 0 {
                let known = step.approvals.was_approved(runner_ix);
                let suspect = runner.health.is_suspect();
                candidates.push((!fits, !known, suspect, Reverse(tasks), runner_ix));
            }
        }
        candidates.sort_unstable();
        let needed = step.waiting as u64 * SPARE_PERCENT;
        let mut asked = Vec::new();
        let mut covered = 0;
        for (_, unknown, _, tasks, runner_ix) in candidates {
            let enough = covered >= needed && asked.len() >= FEWEST_ASKED;
            if enough || asked.len() >= MOST_ASKED {
                break;
            }
            covered += tasks.0 * if unknown { rate } else { 100 };
            asked.push(runner_ix);
        }
        asked
    }
}

fn room_for(free: Resources, size: Resources) -> u64 {
    let by = |free: u64, size: u64| free.checked_div(size).unwrap_or(u64::MAX);
    by(free.cpu_milli, size.cpu_milli)
        .min(by(free.memory_mib, size.memory_mib))
        .min(by(free.accelerators, size.accelerators))
        .min(1_000)
}
